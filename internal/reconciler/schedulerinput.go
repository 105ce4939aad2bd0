package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// schedulerInput builds the scheduler's snapshot of the cluster for a pass. Its cost does not grow with the number of
// running tasks, because it does not examine what runs on each machine: usage is updated as attempts change state,
// and candidates for preemption are collected only where capacity is short.
func (c *Core) schedulerInput(now time.Time) *scheduler.Snapshot {
	input := &scheduler.Snapshot{
		Used:      make(map[string]model.Resources, len(c.usage.byTeam)),
		Releasing: make(map[string]model.Resources, len(c.usage.byTeam)),
		Teams:     c.teams,
	}
	c.gpus.beginPass()
	c.updateCriticalPaths(now)
	c.accounting.updateFairShares(now)
	guaranteed := c.guaranteedJobs()
	unattributed := c.addNodes(now, input)
	c.classifyNodes(input.Nodes)
	if len(c.constraints.byJob) > 0 {
		input.RulesOf = c.constraintsOf
	}
	for _, job := range c.jobsByAge {
		job.MayUseGPUMachines = len(c.gpus.demands) > 0 && c.needsGPUMachines(job)
		c.addRequests(now, input, job, guaranteed[job])
	}
	for team, usage := range c.usage.byTeam {
		input.Used[team], input.Releasing[team] = usage.Allocated.Add(unattributed), usage.Stopping
	}
	input.LoadCandidates = c.preemptionLister(now, guaranteed)
	return input
}

// addNodes adds the machines that tasks may be placed on. It returns the resources that attempts of unknown teams may
// use, which count against the quota of every team. A machine that is not reconciled yet counts with its whole
// capacity.
func (c *Core) addNodes(now time.Time, input *scheduler.Snapshot) (unattributed model.Resources) {
	unattributed = c.usage.orphans.Allocated
	input.Nodes = make([]*scheduler.Node, 0, len(c.machines))
	nodes := make([]scheduler.Node, 0, len(c.machines))
	for _, machine := range c.machines {
		if machine.Unreconciled {
			unattributed = unattributed.Add(machine.Type.Capacity)
		} else if c.placeable(now, machine) {
			nodes = append(nodes, scheduler.Node{
				Machine: machine, Free: machine.Free(), ReservedForGPU: c.gpus.reserves(machine.Type, machine.Spot),
			})
			input.Nodes = append(input.Nodes, &nodes[len(nodes)-1])
		}
	}
	return unattributed
}

// guaranteedJobs reports which jobs fit into their team's guarantee together with the team's earlier unfinished jobs.
// A job that waits for its dependencies uses no part of the guarantee.
func (c *Core) guaranteedJobs() map[*model.Job]bool {
	demand := map[string]model.Resources{}
	guaranteed := make(map[*model.Job]bool, len(c.jobsByAge))
	for _, job := range c.jobsByAge {
		spec := job.Spec
		team := c.teams[spec.Team]
		if team == nil || !startable(job) {
			continue
		}
		demand[spec.Team] = demand[spec.Team].Add(spec.Demand.Times(job.UnfinishedTasks()))
		guaranteed[job] = team.WithinGuarantee(demand[spec.Team])
	}
	return guaranteed
}

// addRequests adds requests for the waiting tasks of a job that may be started now. Each task state gets a request of
// its own; a gang is a single request.
func (c *Core) addRequests(now time.Time, input *scheduler.Snapshot, job *model.Job, guaranteed bool) {
	if !startable(job) || job.WaitingTasks() == 0 || !c.constraints.readable(job) {
		return
	}
	if c.mayAlreadyRun(job) || now.Before(job.RetryNotBefore) {
		return
	}
	isGang := job.Spec.Shape == model.Gang
	if isGang && len(job.ActiveAttempts) > 0 {
		return // tasks of the previous attempt are still active
	}
	template := scheduler.Request{
		Job: job, Waited: now.Sub(job.WaitingSince), Guaranteed: guaranteed, TasksByZone: map[string]int{},
		Rules: c.constraintsOf(job), FairShareBand: c.accounting.fairShareBand(job.Spec.Team),
	}
	for _, attempt := range job.ActiveAttempts {
		template.TasksByZone[attempt.Machine.Zone]++
	}
	add := func(state model.TaskState, restart, started bool, count int) {
		request := template
		request.TaskState, request.Restart, request.PendingTasks, request.MaxStarts = state, restart, count, count
		request.Slack, request.HasDeadline = c.slack(now, job, started, 0)
		input.Requests = append(input.Requests, &request)
	}
	if isGang {
		state := waitingGangState(job)
		restart := state == model.TaskRetry
		add(state, restart, restart, job.UnfinishedTasks())
		return
	}
	for _, state := range []model.TaskState{model.TaskRetry, model.TaskNew, model.TaskPreempted} {
		if count := job.Count(state); count > 0 {
			add(state, state == model.TaskRetry, state != model.TaskNew, count)
		}
	}
}

// waitingGangState returns the state in which the tasks of a gang wait. The tasks start together, so if any of them
// is to be restarted, it moves the new ones to the same state.
func waitingGangState(job *model.Job) model.TaskState {
	if job.Count(model.TaskRetry) == 0 {
		return model.TaskNew
	}
	for i, ok := job.TakePending(model.TaskNew); ok; i, ok = job.TakePending(model.TaskNew) {
		job.SetTask(i, model.TaskRetry)
	}
	return model.TaskRetry
}

// placeable reports whether tasks may be placed on a machine now.
func (c *Core) placeable(now time.Time, machine *model.Machine) bool {
	return c.placementObstacle(now, machine) == ""
}

// placementObstacle returns a human-readable reason why no task may be placed on a machine now. It returns "" if
// tasks may be placed there.
func (c *Core) placementObstacle(now time.Time, machine *model.Machine) string {
	switch {
	case machine.State == model.MachineBooting:
		return "booting"
	case !machine.InterruptionAt.IsZero():
		return "the cloud has given notice"
	case machine.State == model.MachineDraining || machine.State == model.MachineReleasing:
		return "given back"
	case machine.Unreconciled || machine.State != model.MachineReady:
		return "not known yet what runs on it since the takeover"
	case !machine.RecordDurable:
		return "its record is not written yet"
	case machine.Epoch <= machine.ExpiredEpoch:
		return "its worker's lease has run out"
	case now.Sub(machine.LastHeartbeat) > c.settings.UnresponsiveAfter/2:
		return "its worker is silent"
	case !machine.QuarantinedSince.IsZero():
		return "several jobs have failed on it, and it is not known yet which of them is at fault"
	case !c.livenessAllowsPlacement(machine):
		return "it seems not to hear this controller: " + machine.Detector.Reason
	}
	return ""
}
