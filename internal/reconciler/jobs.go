package reconciler

import (
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
)

// addJob adds an accepted job to the view. It does nothing if the job is already known.
func (c *Core) addJob(now time.Time, event JobAdded) {
	spec := event.Spec
	if c.jobs[spec.ID] != nil {
		return
	}
	job := model.NewJob(spec, event.SubmittedAt, event.Version)
	job.DependencyKeys = event.DependencyKeys
	c.jobs[spec.ID] = job
	c.addConstraints(job)
	job.Dependency = c.dependencies.graph.Add(spec.ID, spec.Dependencies, event.SubmittedAt)
	c.enqueue(job)
	if len(spec.Dependencies) > 0 {
		c.dependencies.invalidateCriticalPaths(now)
		c.endIfFinished(now, job)
	}
	if c.gpus.add(spec.Demand) {
		c.commits.add(record.Change{Kind: record.PutGPUDemand, GPUDemand: spec.Demand})
	}
	c.passes.request()
	c.log.Info("job accepted", "id", spec.ID, "class", spec.Class, "team", spec.Team, "shape", spec.Shape.String(),
		"priority", spec.Priority.String(), "tasks", spec.Tasks, "dependencies", len(spec.Dependencies),
		"dependency_state", job.Dependency.State.String())
}

// endJob removes a job that has completed or was cancelled, and propagates its end to the jobs that depend on it. Its
// attempts still count towards the usage of their machines until they have exited.
func (c *Core) endJob(now time.Time, event JobEnded) {
	if job := c.jobs[event.ID]; job != nil {
		c.removeJob(now, job, event.Outcome)
	}
	if event.Outcome == model.OutcomeUnknown {
		c.dependencies.graph.Forget(event.ID)
		return
	}
	satisfied, failed := c.dependencies.graph.End(event.ID, event.Outcome, event.EndedAt)
	for _, node := range satisfied {
		c.dependenciesSatisfied(now, node)
	}
	for _, node := range failed {
		if job := c.jobs[node.ID]; job != nil {
			c.endIfFinished(now, job)
		}
	}
}

// removeJob removes a job from the view, stops its attempts, and queues the deletion of its task and dependency
// records.
func (c *Core) removeJob(now time.Time, job *model.Job, outcome model.Outcome) {
	id := job.Spec.ID
	c.log.Info("job ended", "id", id, "done", job.Count(model.TaskDone), "active", len(job.ActiveAttempts),
		"dependents", len(job.Dependency.Downstream))
	job.Transition(model.JobEnded)
	delete(c.jobs, id)
	c.constraints.remove(job)
	c.finished.remove(id)
	for _, attempt := range job.ActiveAttempts {
		c.stopAttempt(now, attempt, 0)
	}
	for chunk := range job.RecordedChunks {
		c.commits.add(record.Change{Kind: record.DeleteTasks, Job: id, Chunk: chunk})
	}
	for _, key := range job.DependencyKeys {
		c.commits.add(record.Change{Kind: record.DeleteDependencies, Job: id, DependencyKey: key})
	}
	if outcome != model.OutcomeDone {
		c.clearJobErrors(job)
	}
	c.accounting.stopWaiting(now, job)
	c.dequeue(job)
	c.passes.request()
	if len(job.Dependency.Upstream) > 0 {
		c.dependencies.invalidateCriticalPaths(now)
	}
}

// completeTask marks a task as done, schedules its record to be written, and ends the job if it was the last task.
// Tasks of services never complete.
func (c *Core) completeTask(now time.Time, job *model.Job, index int) {
	if job.StateOf(index) == model.TaskDone || job.Spec.Shape == model.Service {
		return
	}
	job.SetTask(index, model.TaskDone)
	job.KnownGood, job.ConsecutiveErrors, job.FailedMachineCount = true, 0, 0
	job.DirtyChunks[job.Spec.ChunkOf(index)] = true
	c.finished.markDirty(job.Spec.ID, now.Add(c.settings.FlushInterval))
	c.endIfFinished(now, job)
}

// endIfFinished records the end of an active job if all its tasks are done or a job upstream of it was cancelled.
// That record covers the finished tasks of the job, so they need no further records.
func (c *Core) endIfFinished(now time.Time, job *model.Job) {
	kind := record.CompleteJob
	switch {
	case job.State != model.JobActive:
		return
	case job.Dependency.State == model.DependencyFailed:
		kind = record.CancelDependent
		c.log.Info("cancelling job because its dependency was cancelled", "id", job.Spec.ID,
			"dependency", job.Dependency.DecidedBy)
	case job.UnfinishedTasks() > 0:
		return
	}
	if job.Transition(model.JobCompleting) {
		c.commits.add(record.Change{
			Kind: kind, Job: job.Spec.ID, Version: job.RecordVersion, Tasks: job.Spec.Tasks, EndedAt: now,
		})
		c.finished.remove(job.Spec.ID)
	}
}

// enqueue inserts a job into jobsByAge, which is sorted by the time at which jobs became eligible. The job goes
// behind others with the same time.
func (c *Core) enqueue(job *model.Job) {
	job.EligibleAt = job.Dependency.SatisfiedAt
	job.WaitingSince = job.EligibleAt
	position, _ := slices.BinarySearchFunc(c.jobsByAge, job, func(a, b *model.Job) int {
		if order := a.EligibleAt.Compare(b.EligibleAt); order != 0 {
			return order
		}
		return -1
	})
	c.jobsByAge = slices.Insert(c.jobsByAge, position, job)
}

func (c *Core) dequeue(job *model.Job) {
	if i := slices.Index(c.jobsByAge, job); i >= 0 {
		c.jobsByAge = slices.Delete(c.jobsByAge, i, i+1)
	}
}

// startable reports whether tasks of a job may start: it is active and all its dependencies are satisfied. See
// docs/safety.md, "Pipelines".
func startable(job *model.Job) bool {
	return job.State == model.JobActive && job.Dependency.State == model.DependencySatisfied
}
