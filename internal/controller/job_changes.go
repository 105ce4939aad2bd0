package controller

import (
	"sync"
	"time"

	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/store"
)

// jobChangeQueue holds the job record changes that have not been passed to the reconciler yet, in order.
type jobChangeQueue struct {
	ready chan struct{} // signals the event loop that changes are queued

	mu      sync.Mutex // guards changes
	changes []store.JobChange
}

// push queues changes. It must not block, because the job cache calls it while holding its lock, which the
// event loop acquires too.
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

// take empties the queue and returns the changes it held.
func (q *jobChangeQueue) take() []store.JobChange {
	q.mu.Lock()
	defer q.mu.Unlock()
	changes := q.changes
	q.changes = nil
	return changes
}

// applyJobChanges passes the queued job record changes to the reconciler.
func (c *Controller) applyJobChanges(now time.Time) {
	for _, change := range c.jobChanges.take() {
		c.stepReconciler(now, reconciler.JobUpdateEvent(c.jobs.UpdateFor(change)))
	}
}
