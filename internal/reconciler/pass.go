package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// passTimer determines when scheduling passes run. A pass examines all waiting jobs, so passes are spaced out to
// leave most of the time for heartbeats and for the renewal of the leadership lease.
type passTimer struct {
	needed              bool          // the view has changed since the last pass
	lastStartedAt       time.Time     // start of the last pass
	minPause            time.Duration // minimum time between the starts of two passes, derived from the last duration
	ranPass             bool          // the last step ran a pass
	startsPaused        bool          // no task may be started
	nextConsolidationAt time.Time     // earliest time of the next move of a service replica
}

const (
	passTimeDivisor = 3               // passes take at most 1/passTimeDivisor of the time, unless maxPassPause applies
	maxPassPause    = 3 * time.Second // bounds minPause, and so the delay of waiting tasks after a long pass
)

// earliestStart returns the earliest start of the next pass. interval is the configured minimum time between passes.
func (p *passTimer) earliestStart(interval time.Duration) time.Time {
	return p.lastStartedAt.Add(max(interval, p.minPause))
}

// next returns the time at which the next pass is due. ok is false if no pass is needed or starts are paused.
func (p *passTimer) next(interval time.Duration) (at time.Time, ok bool) {
	if !p.needed || p.startsPaused {
		return time.Time{}, false
	}
	return p.earliestStart(interval), true
}

func (p *passTimer) due(now time.Time, interval time.Duration) bool {
	at, ok := p.next(interval)
	return ok && !now.Before(at)
}

// request requests a pass after a change of the view.
func (p *passTimer) request() { p.needed = true }

// begin records the start of a pass.
func (p *passTimer) begin(now time.Time) { p.needed, p.lastStartedAt, p.ranPass = false, now, true }

// pauseStarts pauses or resumes the starting of tasks, and reports whether that is a change.
func (p *passTimer) pauseStarts(paused bool) (changed bool) {
	changed = p.startsPaused != paused
	p.startsPaused = paused
	return changed
}

// observe records the duration of a step and reports whether the step ran a pass. The pause after a pass is
// proportional to that duration.
func (p *passTimer) observe(d time.Duration) (passed bool) {
	if passed, p.ranPass = p.ranPass, false; passed {
		p.minPause = min(passTimeDivisor*d, maxPassPause)
	}
	return passed
}

// runPass runs a scheduling pass: it starts waiting tasks, preempts others for them, and scales out for the tasks
// that do not fit. If no task can be considered, it consolidates service replicas instead.
func (c *Core) runPass(now time.Time) {
	c.passes.begin(now)
	if len(c.machineTypes) == 0 {
		return
	}
	input := c.schedulerInput(now)
	c.logUrgentTasksRestored(now, input.Requests)
	if len(input.Requests) == 0 {
		c.chargeWaiting(now, nil)
		c.consolidate(now, input)
		return
	}
	plan := scheduler.MakePlan(&c.settings.Scheduler, input)
	c.launchPlacements(now, plan.Placements)
	for i := range plan.Preemptions {
		c.preempt(now, &plan.Preemptions[i])
	}
	if plan.Truncated {
		// The next pass handles the remaining requests. Their shortages are not known yet, so no machines are
		// provisioned.
		c.passes.request()
		return
	}
	c.chargeWaiting(now, plan.Shortages)
	c.scaleOut(now, input, plan.Shortages)
}

// launchPlacements launches the tasks that a pass has placed. All tasks of a gang share an attempt number.
func (c *Core) launchPlacements(now time.Time, placements []scheduler.Placement) {
	var gangRequest *scheduler.Request
	var gangAttempt uint64
	for _, placement := range placements {
		request := placement.Request
		if request.Rules != nil && !c.affinityHolds(placement, placements) {
			c.passes.request() // the next pass looks for another machine
			continue
		}
		if request.Job.Spec.Shape != model.Gang {
			c.launch(now, placement, c.nextAttemptNumber())
			continue
		}
		if request != gangRequest {
			gangRequest, gangAttempt = request, c.nextAttemptNumber()
		}
		c.launch(now, placement, gangAttempt)
	}
}

// launch launches one pending task of a request. From then on the attempt counts as being on its machine, even before
// the worker confirms it: see docs/safety.md, "Attempts on a machine".
func (c *Core) launch(now time.Time, placement scheduler.Placement, number uint64) {
	job, machine := placement.Request.Job, placement.Node.Machine
	if !startable(job) {
		return
	}
	index, ok := job.TakePending(placement.Request.TaskState)
	if !ok || job.ActiveAttempts[index] != nil {
		return
	}
	attempt := &model.Attempt{
		Task:       model.TaskID{Job: job.Spec.ID, Index: index},
		Number:     number,
		Job:        job,
		Machine:    machine,
		Epoch:      machine.Epoch,
		Demand:     job.Spec.Demand,
		Team:       job.Spec.Team,
		Usage:      c.usage.ofTeam(job.Spec.Team),
		LaunchedAt: now,
		Choice:     placement.Choice,
	}
	attempt.Transition(model.AttemptLaunching)
	machine.Attempts[attemptKey(attempt)] = attempt
	activateTask(job, attempt)
	machine.CachedImages[job.Spec.Image] = now
	c.commandsPending[machine] = true
	c.log.Debug("launching attempt", "task", attempt.Task, "attempt", number, "machine", machine.Name,
		"restart", placement.Request.Restart)
}

// preempt stops an attempt to free capacity for another job. The attempt may save a checkpoint first, unless the
// preemption is immediate. Gangs are always stopped as a whole, with time for a checkpoint.
func (c *Core) preempt(now time.Time, preemption *scheduler.Preemption) {
	attempt, preemptor := preemption.Attempt, preemption.Preemptor
	c.log.Info("preempting task", "task", attempt.Task, "machine", attempt.Machine.Name,
		"priority", preemption.Priority.String(), "beyond_guarantee", preemption.BeyondGuarantee,
		"lost_work", preemption.LostWork, "immediate", preemption.Immediate, "for", preemptor.Job.Spec.ID,
		"priority_for", preemptor.Job.EffectivePriority.String(), "guaranteed", preemptor.Guaranteed,
		"slack", preemptor.Slack)
	attempt.Preempted = true
	if preemption.Immediate && !preemption.Gang {
		c.stopAttempt(now, attempt, 0)
	} else {
		c.stopGracefully(now, attempt)
	}
}

// consolidate moves at most one service replica per ConsolidateInterval to another machine: off an expensive machine,
// or off one that it has to itself. If there is none and Scheduler.Drain is set, it moves a replica to empty its
// machine.
func (c *Core) consolidate(now time.Time, input *scheduler.Snapshot) {
	if !c.takeover.complete() || c.settings.ConsolidateInterval == 0 || now.Before(c.passes.nextConsolidationAt) {
		return
	}
	c.passes.nextConsolidationAt = now.Add(c.settings.ConsolidateInterval)
	for _, job := range c.jobsByAge {
		if attempt := scheduler.Consolidate(&c.settings.Scheduler, now, input, job); attempt != nil {
			c.log.Info("moving service replica to consolidate machines", "task", attempt.Task,
				"machine", attempt.Machine.Name, "type", attempt.Machine.Type.Name)
			c.stopGracefully(now, attempt)
			return
		}
	}
	if !c.settings.Scheduler.Drain {
		return
	}
	if attempt := scheduler.Drain(&c.settings.Scheduler, now, input); attempt != nil {
		c.log.Info("moving service replica to drain its machine", "task", attempt.Task, "machine", attempt.Machine.Name,
			"type", attempt.Machine.Type.Name, "attempts", attempt.Machine.ActiveCount)
		c.stopGracefully(now, attempt)
	}
}
