package reconciler

import (
	"fmt"

	"github.com/glentiller/glentiller/internal/model"
)

// nearQuotaFraction is the fraction of its quota above which a team is listed in the status.
const nearQuotaFraction = 0.9

// logStatus logs a summary of jobs, machines and teams for operators.
func (c *Core) logStatus() {
	var states [model.MachineReleased + 1]int
	var total, used model.Resources
	for _, machine := range c.machines {
		states[machine.State]++
		if machine.State == model.MachineReady {
			total = total.Add(machine.Type.Capacity)
			used = used.Add(machine.Used)
		}
	}
	jobs := c.summarizeJobs()
	c.log.Info("cluster status", "jobs", len(c.jobs),
		"waiting", jobs.waitingTasks, "waiting_for_dependencies", jobs.blockedJobs, "active", jobs.activeTasks,
		"ready", states[model.MachineReady], "booting", states[model.MachineBooting],
		"draining", states[model.MachineDraining], "unreconciled", c.takeover.unreconciled,
		"teams_near_quota", c.teamsNearQuota(), "machine_types", c.summarizeMachines(),
		"cpus", total.CPU, "cpus_used", used.CPU, "gpus", total.GPU, "gpus_used", used.GPU)
}

// jobSummary counts tasks and jobs by job class.
type jobSummary struct {
	waitingTasks map[string]int // waiting tasks of jobs whose dependencies are satisfied
	blockedJobs  map[string]int // jobs whose dependencies are not satisfied
	activeTasks  map[string]int
}

func (c *Core) summarizeJobs() jobSummary {
	summary := jobSummary{
		waitingTasks: map[string]int{}, blockedJobs: map[string]int{}, activeTasks: map[string]int{},
	}
	for _, job := range c.jobs {
		class := job.Spec.Class
		if waiting := job.WaitingTasks(); waiting > 0 && job.Dependency.State == model.DependencySatisfied {
			summary.waitingTasks[class] += waiting
		} else if waiting > 0 {
			summary.blockedJobs[class]++
		}
		if active := len(job.ActiveAttempts); active > 0 {
			summary.activeTasks[class] += active
		}
	}
	return summary
}

// teamsNearQuota returns, by team name, the formatted usage of the teams that use more than nearQuotaFraction of
// their quota.
func (c *Core) teamsNearQuota() map[string]string {
	teams := map[string]string{}
	for name, usage := range c.usage.byTeam {
		if team := c.teams[name]; team != nil && team.Quota.ExceedsFraction(usage.Allocated, nearQuotaFraction) {
			teams[name] = team.Quota.FormatUsage(usage.Allocated)
		}
	}
	return teams
}

// machineSummary aggregates the on-demand or the spot machines of one type.
type machineSummary struct {
	count      int
	cpus, used float64
}

// summarizeMachines returns, by machine type, the number of machines and the percentage of their CPUs that is used.
// Spot machines have entries of their own, named TYPE/spot.
func (c *Core) summarizeMachines() map[string]string {
	summaries := map[string]*machineSummary{}
	for _, machine := range c.machines {
		name := machine.Type.Name
		if machine.Spot {
			name += "/spot"
		}
		summary := summaries[name]
		if summary == nil {
			summary = &machineSummary{}
			summaries[name] = summary
		}
		summary.count++
		summary.cpus += machine.Type.Capacity.CPU
		summary.used += machine.Used.CPU
	}
	summaryTexts := make(map[string]string, len(summaries))
	for name, summary := range summaries {
		used := 100 * summary.used / max(summary.cpus, unlistedTypeCPUs)
		summaryTexts[name] = fmt.Sprintf("%d(%.0f%%)", summary.count, used)
	}
	return summaryTexts
}
