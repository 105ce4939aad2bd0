package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// A task that fails tells of its machine or of its job. One job may have been submitted with a mistake: it
// fails on every machine, until its user cancels it. A sick machine fails every task. Who is to blame
// follows from what else is known of either, and where that is not enough the machine gets no work until
// more is.

// suspectMost is how long a machine is left alone at the most while nothing more becomes known.
const suspectMost = 45 * time.Second

// failed accounts a task that ended with an error: errors of several jobs
// condemn the machine, errors on several machines put the job off.
func (c *Core) failed(now time.Time, a *model.Attempt) {
	j, m := a.Job, a.Machine
	m.Errors[j.Spec.ID]++
	m.FailedAt = now
	j.Failed(m.Name)
	if j.Strikes >= 2 && !j.Good {
		wait := c.set.Backoff << min(j.Strikes-2, 6)
		j.NotBefore = now.Add(min(wait, c.set.BackoffMost))
	}
	jobs := c.blame(now, m)
	c.log.Warn("task failed", "task", a.Task, "machine", m.Name, "errors_of_job", j.Errors, "jobs_failing_here", jobs)
}

// blame looks at a machine on which tasks have failed, and says how many jobs fail there that are not at
// fault themselves. It is sick if such as do well elsewhere do; if nothing is known of them yet it is left
// alone until they have run elsewhere. Guards against healthy machines that are given back, one after the
// other, since two jobs with a mistake fail on them.
func (c *Core) blame(now time.Time, m *model.Machine) (jobs int) {
	proven, twice := 0, false
	for id, n := range m.Errors {
		j := c.jobs[id]
		if n == 0 || j != nil && j.Faulty() {
			continue
		}
		jobs++
		if j == nil || j.Good || c.runsElsewhere(now, j, m) {
			proven++
			twice = twice || n >= c.set.SickErrors
		}
	}
	switch {
	case proven >= c.set.SickErrors || twice,
		jobs >= c.set.SickErrors && !m.Suspect.IsZero() && now.Sub(m.Suspect) > suspectMost:
		m.Suspect = time.Time{}
		c.drain(now, m, "sick")
	case jobs < c.set.SickErrors:
		if !m.Suspect.IsZero() {
			m.Suspect, c.dirty = time.Time{}, true
			c.log.Info("machine is not at fault", "machine", m.Name)
		}
	case m.Suspect.IsZero() && m.State < model.Draining:
		m.Suspect = now
		c.log.Info("machine or jobs at fault", "machine", m.Name, "jobs_failing_here", jobs)
	}
	return jobs
}

// cleared takes that a task has completed on a machine: if it was started after the last failure there, the
// machine is well.
func (c *Core) cleared(a *model.Attempt) {
	if m := a.Machine; a.LaunchedAt.After(m.FailedAt) {
		clear(m.Errors)
	}
}

// acquit takes the failures of a job that was cancelled off its machines: they tell nothing any more.
func (c *Core) acquit(j *model.Job) {
	for name := range j.FailedOn {
		if m := c.machines[name]; m != nil {
			delete(m.Errors, j.Spec.ID)
		}
	}
}

// runsElsewhere tells whether a job does well on another machine.
func (c *Core) runsElsewhere(now time.Time, j *model.Job, m *model.Machine) bool {
	for _, a := range j.Live {
		if a.Machine != m && a.Phase == model.Running && now.Sub(a.RunningAt) > 15*time.Second {
			return true
		}
	}
	return false
}
