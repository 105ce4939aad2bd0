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
	at, _ := slices.BinarySearchFunc(c.jobsByAge, j, func(a, b *model.Job) int {
		if d := a.EligibleAt.Compare(b.EligibleAt); d != 0 {
			return d
		}
		return -1 // behind those of the same moment
	})
	c.jobsByAge = slices.Insert(c.jobsByAge, at, j)
}

func (c *Core) dequeue(j *model.Job) {
	if i := slices.Index(c.jobsByAge, j); i >= 0 {
		c.jobsByAge = slices.Delete(c.jobsByAge, i, i+1)
	}
}

// startCountingAge lets the tasks of a job start: all that it needs is done, and that is durable.
// Its age counts from here.
func (c *Core) startCountingAge(now time.Time, l *model.DependencyNode) {
	j := c.jobs[l.ID]
	if j == nil {
		return
	}
	c.dequeue(j)
	c.enqueue(j)
	c.passNeeded = true
	c.log.Info("job freed", "id", l.ID, "class", j.Spec.Class, "by", l.DecidedBy, "after", now.Sub(j.SubmittedAt))
}

// startable tells whether tasks of a job may start at all: docs/safety.md, "Pipelines".
func startable(j *model.Job) bool {
	return j.State == model.JobActive && j.Dependency.State == model.DependencySatisfied
}

const (
	maxEndLookups       = 32                     // ends that are asked for at once
	endLookupRetryDelay = 500 * time.Millisecond // after none was found
)

// lookUpJobEnds asks how the awaited jobs ended that are not among the unfinished ones. A
// job that waits for one of them starts only once that is known.
func (c *Core) lookUpJobEnds(now time.Time) {
	if c.endLookupPending || now.Before(c.endLookupAt) {
		return
	}
	ids := c.dependencies.Referenced()
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	c.endLookupPending = true
	c.emit(LookUpJobEnds{ids[:min(len(ids), maxEndLookups)]})
}

func (c *Core) jobEndsReceived(now time.Time, ev JobEndsReceived) {
	c.endLookupPending = false
	found := 0
	for _, e := range ev.Ends {
		if e.Outcome != model.OutcomeUnknown && c.jobs[e.ID] == nil {
			found++
			c.endJob(now, e)
		}
	}
	if found == 0 {
		c.endLookupAt = now.Add(endLookupRetryDelay)
	}
}

// criticalPathInterval is how often the paths behind jobs are looked over although the graph
// has not changed: what is estimated of run times changes.
const criticalPathInterval = time.Second

// updateCriticalPaths works out, for every job that others need, by when it must be done so that
// their dates can be met, and the highest rank among them.
func (c *Core) updateCriticalPaths(now time.Time) {
	if now.Before(c.criticalPathsAt) {
		return
	}
	c.criticalPathsAt = now.Add(criticalPathInterval)
	seen := make(map[*model.Job]bool, len(c.jobsByAge))
	for _, j := range c.jobsByAge {
		c.updateCriticalPath(j, seen)
	}
}

// updateCriticalPath looks at what is behind one job. Its slack goes by the last job's date less
// the estimated run times on the longest path to it, its own included.
func (c *Core) updateCriticalPath(j *model.Job, seen map[*model.Job]bool) {
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
		c.updateCriticalPath(next, seen)
		// Production stands above all guarantees, and a user waits for it: that is
		// not handed on.
		j.EffectivePriority = max(j.EffectivePriority, min(next.EffectivePriority, model.PriorityHigh))
		j.DownstreamDeadlines = earliestEach(j.DownstreamDeadlines, c.latestStarts(next))
	}
}

// latestStarts tells by when a job must start to meet its dates and those behind it.
func (c *Core) latestStarts(j *model.Job) []time.Time {
	dates := earliestEach(c.deadlinesOf(j), j.DownstreamDeadlines)
	estimate := c.runTimes.estimate(j.Spec)
	out := make([]time.Time, len(dates))
	for i, d := range dates {
		out[i] = d.Add(-estimate)
	}
	return out
}

// deadlinesOf are a job's deadline and the multiples of it that users look at.
func (c *Core) deadlinesOf(j *model.Job) []time.Time {
	if j.Spec.Deadline <= 0 {
		return nil
	}
	out := []time.Time{j.SubmittedAt.Add(j.Spec.Deadline)}
	for _, times := range c.deadlineMultiples[j.Spec.Class] {
		out = append(out, c.deadlineTimes(j, times))
	}
	return out
}

// deadlineTimes is a multiple of a job's deadline.
func (c *Core) deadlineTimes(j *model.Job, times float64) time.Time {
	return j.SubmittedAt.Add(time.Duration(times * float64(j.Spec.Deadline)))
}

// earliestEach takes the earlier one of two rows of dates, place by place. A row that is
// shorter says nothing of the later places but its last date.
func earliestEach(a, b []time.Time) []time.Time {
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
