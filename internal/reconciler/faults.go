package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// A task that fails tells of its machine or of its job. One job may have been submitted with a mistake: it
// fails on every machine, until its user cancels it. A sick machine fails every task. Who is to blame
// follows from what else is known of either, and where that is not enough the machine gets no work until
// more is.

// maxQuarantine is how long a machine is left alone at the most while nothing more becomes known.
const maxQuarantine = 45 * time.Second

// taskFailed accounts a task that ended with an error: errors of several jobs
// condemn the machine, errors on several machines put the job off.
func (c *Core) taskFailed(now time.Time, a *model.Attempt) {
	j, m := a.Job, a.Machine
	m.ErrorsByJob[j.Spec.ID]++
	m.LastFailure = now
	j.RecordFailure(m.Name)
	if j.FailedMachineCount >= 2 && !j.KnownGood {
		wait := c.settings.Backoff << min(j.FailedMachineCount-2, 6)
		j.RetryNotBefore = now.Add(min(wait, c.settings.MaxBackoff))
	}
	jobs := c.attributeFaults(now, m)
	c.log.Warn("task failed", "task", a.Task, "machine", m.Name, "errors_of_job", j.ConsecutiveErrors, "jobs_failing_here", jobs)
}

// attributeFaults looks at a machine on which tasks have failed, and says how many jobs fail there that are not at
// fault themselves. It is sick if such as do well elsewhere do; if nothing is known of them yet it is left
// alone until they have run elsewhere. Guards against healthy machines that are given back, one after the
// other, since two jobs with a mistake fail on them.
func (c *Core) attributeFaults(now time.Time, m *model.Machine) (jobs int) {
	proven, twice := 0, false
	for id, n := range m.ErrorsByJob {
		j := c.jobs[id]
		if n == 0 || j != nil && j.Faulty() {
			continue
		}
		jobs++
		if j == nil || j.KnownGood || c.runsElsewhere(now, j, m) {
			proven++
			twice = twice || n >= c.settings.MachineFaultErrors
		}
	}
	switch {
	case proven >= c.settings.MachineFaultErrors || twice,
		jobs >= c.settings.MachineFaultErrors && !m.QuarantinedSince.IsZero() && now.Sub(m.QuarantinedSince) > maxQuarantine:
		m.QuarantinedSince = time.Time{}
		c.drain(now, m, "sick")
	case jobs < c.settings.MachineFaultErrors:
		if !m.QuarantinedSince.IsZero() {
			m.QuarantinedSince, c.passNeeded = time.Time{}, true
			c.log.Info("machine is not at fault", "machine", m.Name)
		}
	case m.QuarantinedSince.IsZero() && m.State < model.MachineDraining:
		m.QuarantinedSince = now
		c.log.Info("machine or jobs at fault", "machine", m.Name, "jobs_failing_here", jobs)
	}
	return jobs
}

// clearFaults takes that a task has completed on a machine: if it was started after the last failure there, the
// machine is well.
func (c *Core) clearFaults(a *model.Attempt) {
	if m := a.Machine; a.LaunchedAt.After(m.LastFailure) {
		clear(m.ErrorsByJob)
	}
}

// exonerate takes the failures of a job that was cancelled off its machines: they tell nothing any more.
func (c *Core) exonerate(j *model.Job) {
	for name := range j.MachinesWithErrors {
		if m := c.machines[name]; m != nil {
			delete(m.ErrorsByJob, j.Spec.ID)
		}
	}
}

// runsElsewhere tells whether a job does well on another machine.
func (c *Core) runsElsewhere(now time.Time, j *model.Job, m *model.Machine) bool {
	for _, a := range j.ActiveAttempts {
		if a.Machine != m && a.Phase == model.PhaseRunning && now.Sub(a.RunningAt) > 15*time.Second {
			return true
		}
	}
	return false
}
