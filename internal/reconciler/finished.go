package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// finishedTasks tracks the jobs that have finished tasks not yet written to the state service. These tasks are written
// in batches.
type finishedTasks struct {
	dirtyJobs map[string]bool // by job ID
	flushAt   time.Time       // when the next batch is due; valid if dirtyJobs is not empty
}

func newFinishedTasks() finishedTasks { return finishedTasks{dirtyJobs: map[string]bool{}} }

// markDirty records that a task of a job has finished. The batch is written at flushAt unless one is already
// scheduled.
func (f *finishedTasks) markDirty(job string, flushAt time.Time) {
	if len(f.dirtyJobs) == 0 {
		f.flushAt = flushAt
	}
	f.dirtyJobs[job] = true
}

// remove removes a job whose changed chunks are being queued, or whose end is recorded or about to be. In the latter
// case its finished tasks need no records of their own.
func (f *finishedTasks) remove(job string) { delete(f.dirtyJobs, job) }

// next returns the time at which the next batch is due. ok is false if there is nothing to write.
func (f *finishedTasks) next() (at time.Time, ok bool) { return f.flushAt, len(f.dirtyJobs) > 0 }

func (f *finishedTasks) due(now time.Time) bool {
	return len(f.dirtyJobs) > 0 && !now.Before(f.flushAt)
}

// queueDirtyChunks queues the changed chunks of finished-task records for the next transactions.
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
