package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// attemptTokenShift is the position of the fencing token in an attempt number. The token occupies the upper bits, so
// two leaders never assign the same number.
const attemptTokenShift = 24

// checkpointMargin is added to a job's checkpoint time to give the grace period of a stop.
const checkpointMargin = 2 * time.Second

// nextAttemptNumber returns a new attempt number. Neither this leader nor any other assigns it again.
func (c *Core) nextAttemptNumber() uint64 {
	c.attemptCounter++
	return c.lastAttemptNumber()
}

// lastAttemptNumber returns the highest number that this leader or an earlier one can have assigned.
func (c *Core) lastAttemptNumber() uint64 {
	return c.fencingToken<<attemptTokenShift + c.attemptCounter
}

// attemptKey returns the key of an attempt in Machine.Attempts.
func attemptKey(attempt *model.Attempt) model.AttemptKey {
	return model.AttemptKey{Task: attempt.Task, Number: attempt.Number}
}

// adoptAttempt adds an attempt that a worker reports and that this leader has not launched. An attempt that is not
// needed is stopped at once.
func (c *Core) adoptAttempt(now time.Time, machine *model.Machine, status *model.TaskStatus) *model.Attempt {
	attempt := &model.Attempt{
		Task: status.Task, Number: status.Attempt, Machine: machine, Epoch: machine.Epoch,
		Job: c.jobs[status.Task.Job], Phase: status.Phase, LaunchedAt: now,
	}
	machine.Attempts[attemptKey(attempt)] = attempt
	job, index := attempt.Job, status.Task.Index
	if job == nil || index >= job.Spec.Tasks {
		c.adoptOrphan(now, attempt)
		return attempt
	}
	attempt.Demand, attempt.Team, attempt.Usage = job.Spec.Demand, job.Spec.Team, c.usage.ofTeam(job.Spec.Team)
	attempt.Transition(model.AttemptPresent)
	machine.CachedImages[job.Spec.Image] = now
	if status.Phase == model.PhaseExited {
		return attempt
	}
	c.accounting.beginCharging(now, attempt, status.Phase, true)
	if previous := job.ActiveAttempts[index]; previous != nil && previous.Number < status.Attempt &&
		job.Spec.Shape != model.Gang {
		// A task's attempts have increasing numbers, and each one is started only after the previous one is gone. The
		// older attempt was therefore reported by a delayed heartbeat, and the newer one is running.
		c.stopAttempt(now, previous, 0)
		delete(job.ActiveAttempts, index)
	}
	if job.ActiveAttempts[index] != nil || job.StateOf(index) == model.TaskDone {
		c.log.Warn("stopping unwanted attempt",
			"task", status.Task, "attempt", status.Attempt, "machine", machine.Name)
		c.stopAttempt(now, attempt, 0)
		return attempt
	}
	activateTask(job, attempt)
	return attempt
}

// adoptOrphan adds an attempt whose job has ended or is unknown, and stops it if it has not exited. Its demand and its
// team are not known, so until it is gone its usage is that of the whole machine and counts against every team.
func (c *Core) adoptOrphan(now time.Time, attempt *model.Attempt) {
	attempt.Job, attempt.Demand, attempt.Usage = nil, attempt.Machine.Type.Capacity, &c.usage.orphans
	attempt.Transition(model.AttemptPresent)
	if attempt.Phase != model.PhaseExited {
		c.stopAttempt(now, attempt, 0)
	}
}

// activateTask makes attempt the active attempt of its task.
func activateTask(job *model.Job, attempt *model.Attempt) {
	job.ActiveAttempts[attempt.Task.Index] = attempt
	job.SetTask(attempt.Task.Index, model.TaskActive)
	if job.Spec.Shape == model.Gang {
		job.Gang = model.GangLaunched
	}
}

// updateAttempt applies the status of an attempt that a worker has reported. The status of an attempt that has ended
// is ignored.
func (c *Core) updateAttempt(now time.Time, attempt *model.Attempt, status *model.TaskStatus) {
	if attempt.State == model.AttemptEnded || attempt.State == model.AttemptDropped {
		return
	}
	if status.Phase == model.PhaseExited {
		c.attemptExited(now, attempt, status)
		return
	}
	if attempt.State == model.AttemptLaunching {
		attempt.Transition(model.AttemptPresent)
	}
	if status.Phase == model.PhaseRunning && attempt.Phase != model.PhaseRunning {
		attempt.RunningAt = now
		c.log.Debug("attempt running", "task", attempt.Task, "machine", attempt.Machine.Name,
			"after", now.Sub(attempt.LaunchedAt))
	}
	attempt.Phase = status.Phase
	c.accounting.beginCharging(now, attempt, status.Phase, false)
}

// attemptExited ends an attempt whose exit a worker has reported, and settles its charges.
func (c *Core) attemptExited(now time.Time, attempt *model.Attempt, status *model.TaskStatus) {
	attempt.Cause, attempt.Phase, attempt.EndedAt = status.Cause, model.PhaseExited, now
	c.log.Debug("attempt ended", "task", attempt.Task, "attempt", attempt.Number, "machine", attempt.Machine.Name,
		"cause", status.Cause.String(), "checkpointed", status.Checkpointed)
	c.accounting.chargeUntil(now, attempt, now)
	if status.Cause != model.CauseDone && !status.Checkpointed {
		c.accounting.chargeWasted(now, attempt)
	}
	if job := attempt.Job; job != nil && job.State != model.JobEnded {
		c.handleExitCause(now, attempt)
	}
	c.releaseAttempt(now, attempt, model.AttemptEnded)
}

// handleExitCause applies the cause of an attempt's exit to its task, job and machine.
func (c *Core) handleExitCause(now time.Time, attempt *model.Attempt) {
	job, index := attempt.Job, attempt.Task.Index
	switch attempt.Cause {
	case model.CauseDone:
		if !attempt.RunningAt.IsZero() && !job.Restarted(index) {
			c.runTimes.observe(job.Spec, now.Sub(attempt.RunningAt))
		}
		if job.Spec.Shape == model.Gang {
			// A gang runs as one unit: when one of its tasks is done, all of them are.
			for i := range job.Spec.Tasks {
				c.completeTask(now, job, i)
			}
		} else {
			c.completeTask(now, job, index)
		}
		attempt.Machine.ErrorsByJob[job.Spec.ID] = 0
		clearMachineErrors(attempt)
	case model.CauseError:
		c.taskFailed(now, attempt)
	case model.CauseNoCapacity, model.CauseAttemptConflict, model.CauseUnknownJob:
		c.log.Warn("launch command refused by worker", "task", attempt.Task, "machine", attempt.Machine.Name,
			"cause", attempt.Cause.String())
		job.RetryNotBefore = now.Add(c.settings.Backoff / 4)
	}
}

// releaseAttempt frees what an attempt holds on its machine and moves the attempt to the given state. Unless its task
// is done, the task goes back to the queue. A gang that has lost a task is stopped.
func (c *Core) releaseAttempt(now time.Time, attempt *model.Attempt, state model.AttemptState) {
	attempt.Transition(state)
	if attempt.Machine.ActiveCount == 0 {
		attempt.Machine.EmptySince = now
	}
	c.passes.request()
	job, index := attempt.Job, attempt.Task.Index
	if job == nil || job.ActiveAttempts[index] != attempt {
		return
	}
	delete(job.ActiveAttempts, index)
	if job.State == model.JobEnded {
		return
	}
	if job.StateOf(index) != model.TaskDone {
		if job.WaitingTasks() == 0 {
			job.WaitingSince = now
		}
		if attempt.Preempted && job.Spec.Shape != model.Gang {
			job.SetTask(index, model.TaskPreempted)
		} else {
			job.SetTask(index, model.TaskRetry)
		}
	}
	if job.Spec.Shape == model.Gang {
		if len(job.ActiveAttempts) == 0 {
			job.Gang = model.GangIdle
		} else if job.UnfinishedTasks() > 0 {
			c.breakGang(now, job)
		}
	}
}

// dropAttempt drops an attempt that is gone although its worker has not reported its exit. It charges the run time up
// to the machine's last message, and records as wasted the part that has to be repeated. An attempt whose exit was
// reported has already been charged.
func (c *Core) dropAttempt(now time.Time, attempt *model.Attempt) {
	if attempt.Active() {
		c.accounting.chargeUntil(now, attempt, attempt.Machine.LastSeen)
		c.accounting.chargeWasted(now, attempt)
		c.releaseAttempt(now, attempt, model.AttemptDropped)
	} else if attempt.State == model.AttemptEnded {
		attempt.Transition(model.AttemptDropped)
	}
}

// dropAttempts drops all attempts on a machine.
func (c *Core) dropAttempts(now time.Time, machine *model.Machine, reason string) {
	if count := machine.ActiveCount; count > 0 {
		c.log.Info("attempts lost", "machine", machine.Name, "count", count, "reason", reason)
	}
	for key, attempt := range machine.Attempts {
		delete(machine.Attempts, key)
		c.dropAttempt(now, attempt)
	}
}

// stopAttempt marks an attempt as stopping and schedules its stop command. The grace period is the time that the
// attempt has to save a checkpoint.
func (c *Core) stopAttempt(now time.Time, attempt *model.Attempt, grace time.Duration) {
	if attempt.RequestStop(now, grace) {
		attempt.CommandedState = 0
		c.commandsPending[attempt.Machine] = true
	}
}

// stopGracefully stops an attempt and leaves it time to save a checkpoint. The tasks of a gang are stopped together.
func (c *Core) stopGracefully(now time.Time, attempt *model.Attempt) {
	job := attempt.Job
	if job == nil || job.Spec.Shape != model.Gang {
		c.stopAttempt(now, attempt, gracePeriod(attempt))
		return
	}
	if job.Gang == model.GangLaunched {
		job.Gang = model.GangStopping
		for _, member := range job.ActiveAttempts {
			c.stopAttempt(now, member, gracePeriod(member))
		}
	}
}

// gracePeriod returns the time that an attempt has to save a checkpoint when it is stopped. It is zero if the job has
// ended or saves no checkpoints.
func gracePeriod(attempt *model.Attempt) time.Duration {
	if attempt.Job == nil || attempt.Job.Spec.CheckpointInterval == 0 {
		return 0
	}
	return attempt.Job.Spec.CheckpointTime + checkpointMargin
}

// breakGang stops the remaining tasks of a gang that has lost a task, since they make no progress without it. The
// gang's next attempt starts after all of them are gone.
func (c *Core) breakGang(now time.Time, job *model.Job) {
	if job.Gang == model.GangBroken || job.Gang == model.GangStopping {
		return
	}
	job.Gang = model.GangBroken
	for _, attempt := range job.ActiveAttempts {
		c.stopAttempt(now, attempt, 0)
	}
}

// gangComplete reports whether all unfinished tasks of a gang are active, have the same attempt number and are not
// being stopped.
func gangComplete(job *model.Job) bool {
	var number uint64
	for _, attempt := range job.ActiveAttempts {
		if number != 0 && attempt.Number != number || attempt.State == model.AttemptStopping {
			return false
		}
		number = attempt.Number
	}
	return len(job.ActiveAttempts) == job.UnfinishedTasks()
}
