package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// When a task fails, either its machine or its job is at fault. A job that was submitted with a mistake fails on
// every machine, and a faulty machine fails every task. The fault is attributed by what else is known of the two. If
// that is not enough, the machine is quarantined until more is known.

const (
	maxQuarantine               = 45 * time.Second // a machine that stays in quarantine for longer counts as faulty
	healthyRunTime              = 15 * time.Second // a task that has run for this long is considered healthy
	failedMachinesBeforeBackoff = 2                // a job that failed on this many machines is delayed
	maxBackoffShift             = 6                // the backoff doubles at most this many times
)

// taskFailed records that a task ended with an error. Errors of several jobs indicate that the machine is faulty.
// Errors on several machines delay the job.
func (c *Core) taskFailed(now time.Time, attempt *model.Attempt) {
	job, machine := attempt.Job, attempt.Machine
	machine.ErrorsByJob[job.Spec.ID]++
	machine.LastFailure = now
	job.RecordFailure(machine.Name)
	if job.FailedMachineCount >= failedMachinesBeforeBackoff && !job.KnownGood {
		backoff := c.settings.Backoff << min(job.FailedMachineCount-failedMachinesBeforeBackoff, maxBackoffShift)
		job.RetryNotBefore = now.Add(min(backoff, c.settings.MaxBackoff))
	}
	failingJobs := c.attributeFaults(now, machine)
	c.log.Warn("task failed", "task", attempt.Task, "machine", machine.Name, "job_errors", job.ConsecutiveErrors,
		"failing_jobs", failingJobs)
}

// attributeFaults decides whether a machine on which tasks have failed is faulty, and returns the number of jobs that
// fail there and are not faulty themselves. The machine is faulty if jobs fail there that run well elsewhere. While
// too little is known of the jobs, the machine is quarantined until they have run elsewhere. Otherwise two jobs with
// a mistake would cause healthy machines to be released, one after the other.
func (c *Core) attributeFaults(now time.Time, machine *model.Machine) (failingJobs int) {
	threshold := c.settings.MachineFaultErrors
	healthyJobs, repeatedErrors := 0, false
	for id, errors := range machine.ErrorsByJob {
		job := c.jobs[id]
		if errors == 0 || job != nil && job.Faulty() {
			continue
		}
		failingJobs++
		if job == nil || job.KnownGood || runsElsewhere(now, job, machine) {
			healthyJobs++
			repeatedErrors = repeatedErrors || errors >= threshold
		}
	}
	quarantined := !machine.QuarantinedSince.IsZero()
	quarantineExpired := quarantined && now.Sub(machine.QuarantinedSince) > maxQuarantine
	switch {
	case healthyJobs >= threshold || repeatedErrors, failingJobs >= threshold && quarantineExpired:
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

// clearMachineErrors is called when a task has completed on its machine. If the task was started after the last
// failure there, the machine is healthy, and its recorded errors are cleared.
func clearMachineErrors(attempt *model.Attempt) {
	if machine := attempt.Machine; attempt.LaunchedAt.After(machine.LastFailure) {
		clear(machine.ErrorsByJob)
	}
}

// clearJobErrors removes the errors of a cancelled job from its machines, since they are no longer evidence against
// them.
func (c *Core) clearJobErrors(job *model.Job) {
	for name := range job.MachinesWithErrors {
		if machine := c.machines[name]; machine != nil {
			delete(machine.ErrorsByJob, job.Spec.ID)
		}
	}
}

// runsElsewhere reports whether a task of a job runs well on another machine.
func runsElsewhere(now time.Time, job *model.Job, machine *model.Machine) bool {
	for _, attempt := range job.ActiveAttempts {
		if attempt.Machine != machine && attempt.Phase == model.PhaseRunning &&
			now.Sub(attempt.RunningAt) > healthyRunTime {
			return true
		}
	}
	return false
}
