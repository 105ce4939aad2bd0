package reconciler

import (
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// dependencyTracker tracks the dependencies between unfinished jobs. For dependencies on jobs that are not among the
// unfinished ones, it schedules lookups of how those jobs ended.
type dependencyTracker struct {
	graph                    *model.DependencyGraph
	nextLookupAt             time.Time // earliest time of the next LookUpJobEnds effect
	lookupPending            bool      // a LookUpJobEnds effect is unanswered
	nextCriticalPathUpdateAt time.Time // earliest time of the next update of the critical paths
}

const (
	maxEndLookups       = 32                     // jobs in one LookUpJobEnds effect
	endLookupRetryDelay = 500 * time.Millisecond // delay after a lookup that found no job end

	// criticalPathInterval is the time after which critical paths are computed again even if the dependency graph has
	// not changed, because the run time estimates change.
	criticalPathInterval = time.Second
)

func newDependencyTracker() dependencyTracker {
	return dependencyTracker{graph: model.NewDependencyGraph()}
}

// invalidateCriticalPaths causes the next pass to compute the critical paths again.
func (d *dependencyTracker) invalidateCriticalPaths(now time.Time) { d.nextCriticalPathUpdateAt = now }

// lookUpJobEnds requests the ends of jobs that others depend on and that are not among the unfinished ones. A job
// starts only after the ends of all its dependencies are known.
func (c *Core) lookUpJobEnds(now time.Time) {
	if c.dependencies.lookupPending || now.Before(c.dependencies.nextLookupAt) {
		return
	}
	ids := c.dependencies.graph.ReferencedJobs()
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	c.dependencies.lookupPending = true
	c.emit(LookUpJobEnds{ids[:min(len(ids), maxEndLookups)]})
}

// jobEndsReceived applies the job ends that a lookup found. If it found none, the next lookup is delayed.
func (c *Core) jobEndsReceived(now time.Time, event JobEndsReceived) {
	c.dependencies.lookupPending = false
	found := 0
	for _, end := range event.Ends {
		if end.Outcome != model.OutcomeUnknown && c.jobs[end.ID] == nil {
			found++
			c.endJob(now, JobEnded(end))
		}
	}
	if found == 0 {
		c.dependencies.nextLookupAt = now.Add(endLookupRetryDelay)
	}
}

// dependenciesSatisfied makes the tasks of a job startable after all its dependencies have durably completed. The age
// of the job counts from the end of the last one.
func (c *Core) dependenciesSatisfied(now time.Time, node *model.DependencyNode) {
	job := c.jobs[node.ID]
	if job == nil {
		return
	}
	c.dequeue(job)
	c.enqueue(job)
	c.passes.request()
	c.log.Info("all job dependencies completed", "id", node.ID, "class", job.Spec.Class, "last", node.DecidedBy,
		"after", now.Sub(job.SubmittedAt))
}

// updateCriticalPaths computes, for each job that others depend on, when it must finish so that the jobs downstream
// can meet their deadlines, and the highest priority that it inherits from them.
func (c *Core) updateCriticalPaths(now time.Time) {
	if now.Before(c.dependencies.nextCriticalPathUpdateAt) {
		return
	}
	c.dependencies.nextCriticalPathUpdateAt = now.Add(criticalPathInterval)
	visited := make(map[*model.Job]bool, len(c.jobsByAge))
	for _, job := range c.jobsByAge {
		c.updateCriticalPath(job, visited)
	}
}

// updateCriticalPath computes the downstream deadlines and the effective priority of one job. A downstream deadline
// is the deadline of the last job of a path less the estimated run times along the longest path to it.
func (c *Core) updateCriticalPath(job *model.Job, visited map[*model.Job]bool) {
	if visited[job] {
		return
	}
	visited[job] = true
	job.DownstreamDeadlines, job.EffectivePriority = nil, job.Spec.Priority
	for id := range job.Dependency.Downstream {
		downstream := c.jobs[id]
		if downstream == nil {
			continue
		}
		c.updateCriticalPath(downstream, visited)
		// Production priority takes precedence over all guarantees, because users wait for production jobs. It is not
		// inherited; high priority is the most that a job inherits.
		job.EffectivePriority = max(job.EffectivePriority, min(downstream.EffectivePriority, model.PriorityHigh))
		job.DownstreamDeadlines = earliestByIndex(job.DownstreamDeadlines, c.latestStarts(downstream))
	}
}

// latestStarts returns the latest times at which a job can start and still meet its own deadlines and those of the
// jobs downstream of it.
func (c *Core) latestStarts(job *model.Job) []time.Time {
	deadlines := earliestByIndex(slices.Collect(c.deadlines.deadlinesOf(job)), job.DownstreamDeadlines)
	estimate := c.runTimes.estimate(job.Spec)
	starts := make([]time.Time, len(deadlines))
	for i, deadline := range deadlines {
		starts[i] = deadline.Add(-estimate)
	}
	return starts
}
