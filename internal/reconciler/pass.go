package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// passTimer says when scheduling passes run. A pass looks at everything that waits, so passes leave most of the time
// to heartbeats and to the renewal of the leadership lease.
type passTimer struct {
	needed        bool          // the view has changed since the last pass
	lastAt        time.Time     // when the last pass began
	pause         time.Duration // least time from one pass to the next, by how long the last one took
	ran           bool          // the last step ran a pass
	startsPaused  bool          // no task may be started
	consolidateAt time.Time     // no replica is moved before this
}

const (
	passTimeDivisor = 3               // passes take no more than one part in so many of the time
	maxPassPause    = 3 * time.Second // but waiting tasks do not wait longer than this for the next one
)

// earliest is when the next pass may begin; interval is the least time between passes.
func (p *passTimer) earliest(interval time.Duration) time.Time {
	return p.lastAt.Add(max(interval, p.pause))
}

// next is when the next pass is to begin; !ok: none is needed.
func (p *passTimer) next(interval time.Duration) (at time.Time, ok bool) {
	if !p.needed || p.startsPaused {
		return time.Time{}, false
	}
	return p.earliest(interval), true
}

func (p *passTimer) due(now time.Time, interval time.Duration) bool {
	at, ok := p.next(interval)
	return ok && !now.Before(at)
}

// request requests a pass, as the view has changed.
func (p *passTimer) request() { p.needed = true }

// begin notes that a pass runs now.
func (p *passTimer) begin(now time.Time) { p.needed, p.lastAt, p.ran = false, now, true }

// pauseStarts sets whether the starting of tasks is paused, and reports whether that has changed.
func (p *passTimer) pauseStarts(paused bool) (changed bool) {
	changed = p.startsPaused != paused
	p.startsPaused = paused
	return changed
}

// observe records how long a step took, and reports whether it ran a pass.
func (p *passTimer) observe(d time.Duration) (passed bool) {
	if passed, p.ran = p.ran, false; passed {
		p.pause = min(passTimeDivisor*d, maxPassPause)
	}
	return passed
}

// runPass starts waiting tasks, preempts others for them, and scales out for the rest.
func (c *Core) runPass(now time.Time) {
	c.passes.begin(now)
	if len(c.machineTypes) == 0 {
		return
	}
	input := c.schedulerInput(now)
	c.logServicesRestored(now, input.Requests)
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
		// The rest comes with the next pass. What is lacking then is not known yet, so nothing is provisioned for it.
		c.passes.request()
		return
	}
	c.chargeWaiting(now, plan.Shortages)
	c.scaleOut(now, input, plan.Shortages)
}

// launchPlacements starts the tasks that a pass has placed. All tasks of a gang share an attempt number.
func (c *Core) launchPlacements(now time.Time, placements []scheduler.Placement) {
	var gang *scheduler.Request
	var gangAttempt uint64
	for _, placement := range placements {
		request := placement.Request
		if request.Rules != nil && !c.affinityHolds(placement, placements) {
			c.passes.request() // the next pass finds another place
			continue
		}
		if request.Job.Spec.Shape != model.Gang {
			c.launch(now, placement, c.nextAttemptNumber())
			continue
		}
		if request != gang {
			gang, gangAttempt = request, c.nextAttemptNumber()
		}
		c.launch(now, placement, gangAttempt)
	}
}

// launch starts one task of a request. From here on it counts as being on the machine: see docs/safety.md, "Attempts
// on a machine".
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

// preempt stops a task to free capacity for another one.
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

// consolidate moves one service replica off a machine that is expensive, or that it has to itself.
func (c *Core) consolidate(now time.Time, input *scheduler.Snapshot) {
	if !c.takeover.complete() || c.settings.ConsolidateInterval == 0 || now.Before(c.passes.consolidateAt) {
		return
	}
	c.passes.consolidateAt = now.Add(c.settings.ConsolidateInterval)
	for _, job := range c.jobsByAge {
		if attempt := scheduler.Consolidate(&c.settings.Scheduler, now, input, job); attempt != nil {
			c.log.Info("moving replica", "task", attempt.Task, "machine", attempt.Machine.Name,
				"type", attempt.Machine.Type.Name)
			c.stopGracefully(now, attempt)
			return
		}
	}
	if !c.settings.Scheduler.Drain {
		return
	}
	if attempt := scheduler.Drain(&c.settings.Scheduler, now, input); attempt != nil {
		c.log.Info("draining replica", "task", attempt.Task, "machine", attempt.Machine.Name,
			"type", attempt.Machine.Type.Name, "attempts", attempt.Machine.ActiveCount)
		c.stopGracefully(now, attempt)
	}
}
