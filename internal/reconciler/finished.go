package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// finishedTasks knows the jobs whose finished tasks are not on record yet. They are recorded in batches.
type finishedTasks struct {
	dirtyJobs map[string]bool
	flushAt   time.Time // of what is dirty
}

func newFinishedTasks() finishedTasks { return finishedTasks{dirtyJobs: map[string]bool{}} }

// markDirty notes that a task of a job has finished; flushAt holds unless a batch is due earlier.
func (f *finishedTasks) markDirty(job string, flushAt time.Time) {
	if len(f.dirtyJobs) == 0 {
		f.flushAt = flushAt
	}
	f.dirtyJobs[job] = true
}

// remove drops a job: its end is on record or about to be.
func (f *finishedTasks) remove(job string) { delete(f.dirtyJobs, job) }

// next is when the next batch is due; !ok: nothing waits.
func (f *finishedTasks) next() (at time.Time, ok bool) { return f.flushAt, len(f.dirtyJobs) > 0 }

func (f *finishedTasks) due(now time.Time) bool {
	return len(f.dirtyJobs) > 0 && !now.Before(f.flushAt)
}

// queueDirtyChunks queues the changed chunks of the finished-task records.
func (c *Core) queueDirtyChunks(now time.Time) {
	for id := range c.finished.dirtyJobs {
		c.finished.remove(id)
		job := c.jobs[id]
		if job == nil || job.State != model.JobActive {
			continue
		}
		for chunk := range job.DirtyChunks {
			c.commits.queueChunk(id, chunk)
			delete(job.DirtyChunks, chunk)
			job.RecordedChunks[chunk] = true
		}
	}
	c.finished.flushAt = now.Add(c.settings.FlushInterval)
}
