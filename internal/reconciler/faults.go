package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// A task that fails is the fault of its machine or of its job. A job that was submitted with a mistake fails on every
// machine, and a faulty machine fails every task. The fault is attributed by what else is known of both. Where that is
// not enough, the machine is quarantined until more is known.

const (
	maxQuarantine    = 45 * time.Second // then a machine counts as faulty, if nothing more became known
	wellRunningAfter = 15 * time.Second // a task that runs this long does well
	faultyJobStrikes = 2                // so many machines on which a job failed put it off
	maxBackoffShift  = 6                // the backoff doubles at most this often
)

// taskFailed records that a task ended with an error. Errors of several jobs show that the machine is faulty; errors
// on several machines put the job off.
func (c *Core) taskFailed(now time.Time, attempt *model.Attempt) {
	job, machine := attempt.Job, attempt.Machine
	machine.ErrorsByJob[job.Spec.ID]++
	machine.LastFailure = now
	job.RecordFailure(machine.Name)
	if job.FailedMachineCount >= faultyJobStrikes && !job.KnownGood {
		backoff := c.settings.Backoff << min(job.FailedMachineCount-faultyJobStrikes, maxBackoffShift)
		job.RetryNotBefore = now.Add(min(backoff, c.settings.MaxBackoff))
	}
	failingJobs := c.attributeFaults(now, machine)
	c.log.Warn("task failed", "task", attempt.Task, "machine", machine.Name, "job_errors", job.ConsecutiveErrors,
		"failing_jobs", failingJobs)
}

// attributeFaults decides about a machine on which tasks have failed, and returns how many jobs fail there that are
// not faulty themselves. The machine is faulty if jobs fail there that do well elsewhere. If nothing is known of the
// jobs yet it is quarantined until they have run elsewhere. So healthy machines are not released, one after the other,
// since two jobs with a mistake fail on them.
func (c *Core) attributeFaults(now time.Time, machine *model.Machine) (failingJobs int) {
	threshold := c.settings.MachineFaultErrors
	goodJobs, repeated := 0, false
	for id, errors := range machine.ErrorsByJob {
		job := c.jobs[id]
		if errors == 0 || job != nil && job.Faulty() {
			continue
		}
		failingJobs++
		if job == nil || job.KnownGood || runsElsewhere(now, job, machine) {
			goodJobs++
			repeated = repeated || errors >= threshold
		}
	}
	quarantined := !machine.QuarantinedSince.IsZero()
	tooLong := quarantined && now.Sub(machine.QuarantinedSince) > maxQuarantine
	switch {
	case goodJobs >= threshold || repeated, failingJobs >= threshold && tooLong:
		machine.QuarantinedSince = time.Time{}
		c.drain(now, machine, reasonFaulty)
	case failingJobs < threshold:
		if quarantined {
			machine.QuarantinedSince = time.Time{}
			c.passes.request()
			c.log.Info("machine quarantine ended", "machine", machine.Name)
		}
	case !quarantined && machine.State < model.MachineDraining:
		machine.QuarantinedSince = now
		c.log.Info("machine quarantined", "machine", machine.Name, "failing_jobs", failingJobs)
	}
	return failingJobs
}

// clearFaults records that a task has completed on a machine. If it was started after the last failure there, the
// machine is healthy.
func clearFaults(attempt *model.Attempt) {
	if machine := attempt.Machine; attempt.LaunchedAt.After(machine.LastFailure) {
		clear(machine.ErrorsByJob)
	}
}

// exonerate drops the failures of a cancelled job from its machines: they are no evidence any more.
func (c *Core) exonerate(job *model.Job) {
	for name := range job.MachinesWithErrors {
		if machine := c.machines[name]; machine != nil {
			delete(machine.ErrorsByJob, job.Spec.ID)
		}
	}
}

// runsElsewhere reports whether a job does well on another machine.
func runsElsewhere(now time.Time, job *model.Job, machine *model.Machine) bool {
	for _, attempt := range job.ActiveAttempts {
		if attempt.Machine != machine && attempt.Phase == model.PhaseRunning &&
			now.Sub(attempt.RunningAt) > wellRunningAfter {
			return true
		}
	}
	return false
}
