package controller

import (
	"sync"
	"time"

	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/store"
)

// jobChangeQueue holds the changes of the job records that the reconciler has not seen yet, in order.
type jobChangeQueue struct {
	ready chan struct{} // for the event loop: there are changes

	mu      sync.Mutex // guards changes
	changes []store.JobChange
}

// push queues changes. The job cache calls it under its lock, which the event loop takes too, so it must
// not block.
func (q *jobChangeQueue) push(changes []store.JobChange) {
	if len(changes) == 0 {
		return
	}
	q.mu.Lock()
	q.changes = append(q.changes, changes...)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// take returns the changes and empties the queue.
func (q *jobChangeQueue) take() []store.JobChange {
	q.mu.Lock()
	defer q.mu.Unlock()
	changes := q.changes
	q.changes = nil
	return changes
}

// applyJobChanges passes the queued changes of the job records to the reconciler.
func (c *Controller) applyJobChanges(now time.Time) {
	for _, change := range c.jobChanges.take() {
		c.stepReconciler(now, reconciler.JobUpdated(c.jobs.UpdateFor(change)))
	}
}
