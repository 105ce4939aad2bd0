package reconciler

import (
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// dependencyTracker knows which unfinished jobs depend on which, and looks up the ends of those that it knows by name
// only.
type dependencyTracker struct {
	graph           *model.DependencyGraph
	lookupAt        time.Time // ends are not looked up before this
	lookupPending   bool
	criticalPathsAt time.Time // when the critical paths are worked out anew
}

const (
	maxEndLookups       = 32                     // ends that are looked up at once
	endLookupRetryDelay = 500 * time.Millisecond // after none was found

	// criticalPathInterval is the time after which critical paths are worked out anew although the graph has not
	// changed: estimates of run times change.
	criticalPathInterval = time.Second
)

func newDependencyTracker() dependencyTracker {
	return dependencyTracker{graph: model.NewDependencyGraph()}
}

// graphChanged has the critical paths worked out with the next pass.
func (d *dependencyTracker) graphChanged(now time.Time) { d.criticalPathsAt = now }

// lookUpJobEnds requests the ends of the jobs that others depend on and that are not among the unfinished ones. A job
// starts only once the ends of all its dependencies are known.
func (c *Core) lookUpJobEnds(now time.Time) {
	if c.dependencies.lookupPending || now.Before(c.dependencies.lookupAt) {
		return
	}
	ids := c.dependencies.graph.Referenced()
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	c.dependencies.lookupPending = true
	c.emit(LookUpJobEnds{ids[:min(len(ids), maxEndLookups)]})
}

// jobEndsReceived applies the ends that were found.
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
		c.dependencies.lookupAt = now.Add(endLookupRetryDelay)
	}
}

// dependenciesSatisfied lets the tasks of a job start: all that it depends on is done, and that is durable. Its age
// counts from here.
func (c *Core) dependenciesSatisfied(now time.Time, node *model.DependencyNode) {
	job := c.jobs[node.ID]
	if job == nil {
		return
	}
	c.dequeue(job)
	c.enqueue(job)
	c.passes.request()
	c.log.Info("job dependencies done", "id", node.ID, "class", job.Spec.Class, "last", node.DecidedBy,
		"after", now.Sub(job.SubmittedAt))
}

// updateCriticalPaths works out for every job that others depend on by when it must be done so that their deadlines
// can be met, and the highest priority among them.
func (c *Core) updateCriticalPaths(now time.Time) {
	if now.Before(c.dependencies.criticalPathsAt) {
		return
	}
	c.dependencies.criticalPathsAt = now.Add(criticalPathInterval)
	visited := make(map[*model.Job]bool, len(c.jobsByAge))
	for _, job := range c.jobsByAge {
		c.updateCriticalPath(job, visited)
	}
}

// updateCriticalPath works out the critical path of one job: the deadline of the last job on it less the estimated run
// times on the longest path to it.
func (c *Core) updateCriticalPath(job *model.Job, visited map[*model.Job]bool) {
	if visited[job] {
		return
	}
	visited[job] = true
	job.DownstreamDeadlines, job.EffectivePriority = nil, job.Spec.Priority
	for id := range job.Dependency.Downstream {
		next := c.jobs[id]
		if next == nil {
			continue
		}
		c.updateCriticalPath(next, visited)
		// Production has precedence over all guarantees, since users wait for it. That is not inherited.
		job.EffectivePriority = max(job.EffectivePriority, min(next.EffectivePriority, model.PriorityHigh))
		job.DownstreamDeadlines = earliestEach(job.DownstreamDeadlines, c.latestStarts(next))
	}
}

// latestStarts returns by when a job must start to meet its deadlines and those downstream.
func (c *Core) latestStarts(job *model.Job) []time.Time {
	deadlines := earliestEach(slices.Collect(c.deadlines.ofJob(job)), job.DownstreamDeadlines)
	estimate := c.runTimes.estimate(job.Spec)
	starts := make([]time.Time, len(deadlines))
	for i, deadline := range deadlines {
		starts[i] = deadline.Add(-estimate)
	}
	return starts
}
