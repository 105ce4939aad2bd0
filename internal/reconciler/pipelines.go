package reconciler

import (
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// enqueue puts a job into the order by the moment from which its age counts.
func (c *Core) enqueue(j *model.Job) {
	j.EligibleAt = j.Dependency.SatisfiedAt
	j.WaitingSince = j.EligibleAt
	at, _ := slices.BinarySearchFunc(c.order, j, func(a, b *model.Job) int {
		if d := a.EligibleAt.Compare(b.EligibleAt); d != 0 {
			return d
		}
		return -1 // behind those of the same moment
	})
	c.order = slices.Insert(c.order, at, j)
}

func (c *Core) dequeue(j *model.Job) {
	if i := slices.Index(c.order, j); i >= 0 {
		c.order = slices.Delete(c.order, i, i+1)
	}
}

// free lets the tasks of a job start: all that it needs is done, and that is durable.
// Its age counts from here.
func (c *Core) free(now time.Time, l *model.DependencyNode) {
	j := c.jobs[l.ID]
	if j == nil {
		return
	}
	c.dequeue(j)
	c.enqueue(j)
	c.dirty = true
	c.log.Info("job freed", "id", l.ID, "class", j.Spec.Class, "by", l.DecidedBy, "after", now.Sub(j.SubmittedAt))
}

// mayStart tells whether tasks of a job may start at all: docs/safety.md, "Pipelines".
func mayStart(j *model.Job) bool {
	return j.State == model.JobActive && j.Dependency.State == model.DependencySatisfied
}

const (
	maxLookUps = 32                     // ends that are asked for at once
	lookUpWait = 500 * time.Millisecond // after none was found
)

// lookUp asks how the awaited jobs ended that are not among the unfinished ones. A
// job that waits for one of them starts only once that is known.
func (c *Core) lookUp(now time.Time) {
	if c.looking || now.Before(c.lookAt) {
		return
	}
	ids := c.graph.Referenced()
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	c.looking = true
	c.emit(LookUp{ids[:min(len(ids), maxLookUps)]})
}

func (c *Core) endsIn(now time.Time, ev EndsIn) {
	c.looking = false
	found := 0
	for _, e := range ev.Ends {
		if e.End != model.OutcomeUnknown && c.jobs[e.ID] == nil {
			found++
			c.endJob(now, e)
		}
	}
	if found == 0 {
		c.lookAt = now.Add(lookUpWait)
	}
}

// pathsEvery is how often the paths behind jobs are looked over although the graph
// has not changed: what is estimated of run times changes.
const pathsEvery = time.Second

// paths works out, for every job that others need, by when it must be done so that
// their dates can be met, and the highest rank among them.
func (c *Core) paths(now time.Time) {
	if now.Before(c.pathsAt) {
		return
	}
	c.pathsAt = now.Add(pathsEvery)
	seen := make(map[*model.Job]bool, len(c.order))
	for _, j := range c.order {
		c.path(j, seen)
	}
}

// path looks at what is behind one job. Its slack goes by the last job's date less
// the estimated run times on the longest path to it, its own included.
func (c *Core) path(j *model.Job, seen map[*model.Job]bool) {
	if seen[j] {
		return
	}
	seen[j] = true
	j.DownstreamDeadlines, j.EffectivePriority = nil, j.Spec.Priority
	for id := range j.Dependency.Downstream {
		next := c.jobs[id]
		if next == nil {
			continue
		}
		c.path(next, seen)
		// Production stands above all guarantees, and a user waits for it: that is
		// not handed on.
		j.EffectivePriority = max(j.EffectivePriority, min(next.EffectivePriority, model.PriorityHigh))
		j.DownstreamDeadlines = earlier(j.DownstreamDeadlines, c.starts(next))
	}
}

// starts tells by when a job must start to meet its dates and those behind it.
func (c *Core) starts(j *model.Job) []time.Time {
	dates := earlier(c.dates(j), j.DownstreamDeadlines)
	estimate := c.runs.estimate(j.Spec)
	out := make([]time.Time, len(dates))
	for i, d := range dates {
		out[i] = d.Add(-estimate)
	}
	return out
}

// dates are a job's deadline and the multiples of it that users look at.
func (c *Core) dates(j *model.Job) []time.Time {
	if j.Spec.Deadline <= 0 {
		return nil
	}
	out := []time.Time{j.SubmittedAt.Add(j.Spec.Deadline)}
	for _, times := range c.times[j.Spec.Class] {
		out = append(out, c.multiple(j, times))
	}
	return out
}

// multiple is a multiple of a job's deadline.
func (c *Core) multiple(j *model.Job, times float64) time.Time {
	return j.SubmittedAt.Add(time.Duration(times * float64(j.Spec.Deadline)))
}

// earlier takes the earlier one of two rows of dates, place by place. A row that is
// shorter says nothing of the later places but its last date.
func earlier(a, b []time.Time) []time.Time {
	if len(a) == 0 {
		return b
	}
	if len(b) == 0 {
		return a
	}
	out := make([]time.Time, max(len(a), len(b)))
	for i := range out {
		x, y := a[min(i, len(a)-1)], b[min(i, len(b)-1)]
		if out[i] = x; y.Before(x) {
			out[i] = y
		}
	}
	return out
}
