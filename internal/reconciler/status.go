package reconciler

import (
	"fmt"

	"github.com/glentiller/glentiller/internal/model"
)

// nearQuota is the fraction of its quota from which on a team is named in the status.
const nearQuota = 0.9

// logStatus logs a summary of the view.
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
	c.log.Info("status", "jobs", len(c.jobs),
		"waiting", jobs.waitingTasks, "waiting_for_dependencies", jobs.awaitingJobs, "active", jobs.activeTasks,
		"ready", states[model.MachineReady], "booting", states[model.MachineBooting],
		"draining", states[model.MachineDraining], "unreconciled", c.takeover.unreconciled,
		"teams_near_quota", c.teamsNearQuota(), "machine_types", c.summarizeMachines(),
		"cpus", total.CPU, "cpus_used", used.CPU, "gpus", total.GPU, "gpus_used", used.GPU)
}

// jobSummary counts by job class.
type jobSummary struct {
	waitingTasks map[string]int // of jobs whose dependencies are done
	awaitingJobs map[string]int // whose dependencies are not done
	activeTasks  map[string]int
}

func (c *Core) summarizeJobs() jobSummary {
	summary := jobSummary{
		waitingTasks: map[string]int{}, awaitingJobs: map[string]int{}, activeTasks: map[string]int{},
	}
	for _, job := range c.jobs {
		class := job.Spec.Class
		if waiting := job.Waiting(); waiting > 0 && job.Dependency.State == model.DependencySatisfied {
			summary.waitingTasks[class] += waiting
		} else if waiting > 0 {
			summary.awaitingJobs[class]++
		}
		if active := len(job.ActiveAttempts); active > 0 {
			summary.activeTasks[class] += active
		}
	}
	return summary
}

// teamsNearQuota says how much of its quota each team uses that is near it.
func (c *Core) teamsNearQuota() map[string]string {
	teams := map[string]string{}
	for name, usage := range c.usage.byTeam {
		if team := c.teams[name]; team != nil && team.Quota.ExceedsFraction(usage.Allocated, nearQuota) {
			teams[name] = team.Quota.FormatUsage(usage.Allocated)
		}
	}
	return teams
}

// machineSummary sums up the machines of one type, on-demand or spot.
type machineSummary struct {
	count      int
	cpus, used float64
}

// summarizeMachines says how many machines of each type there are and which part of their CPUs is used.
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
	texts := make(map[string]string, len(summaries))
	for name, summary := range summaries {
		used := 100 * summary.used / max(summary.cpus, unknownCPUs)
		texts[name] = fmt.Sprintf("%d(%.0f%%)", summary.count, used)
	}
	return texts
}
