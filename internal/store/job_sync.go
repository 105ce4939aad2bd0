package store

import (
	"context"
	"time"
)

// syncState coalesces calls of Sync. JobCache.mu guards it.
type syncState struct {
	pending *syncBatch // served by the next read; nil: no caller waits for it
	running bool       // syncLoop runs
}

// syncBatch is a read that several callers wait for.
type syncBatch struct {
	done chan struct{} // closed when err is set
	err  error
}

// minSyncInterval is the least time between two reads, in which callers gather.
const minSyncInterval = 25 * time.Millisecond

// Sync brings the cache up to the present: when it returns, the cache holds every change that was
// made before the call. One read serves all who wait.
func (j *JobCache) Sync(ctx context.Context) error {
	batch, err := j.joinSync()
	if err != nil {
		return err
	}
	select {
	case <-batch.done:
		return batch.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// joinSync returns the batch that serves a call made now. That is never the one being read: its read
// may have begun before the call.
func (j *JobCache) joinSync() (*syncBatch, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.loaded {
		return nil, ErrNotLoaded
	}
	if j.sync.pending == nil {
		j.sync.pending = &syncBatch{done: make(chan struct{})}
	}
	if !j.sync.running {
		j.sync.running = true
		go j.syncLoop()
	}
	return j.sync.pending, nil
}

// syncLoop reads for one batch after the other, and ends when no caller waits any more.
func (j *JobCache) syncLoop() {
	for {
		batch := j.nextSync()
		if batch == nil {
			return
		}
		batch.err = j.CatchUp(context.Background())
		close(batch.done)
		// Polls must not use up the rate limits: submissions, and the watch that reports the jobs they
		// depend on, would wait behind them.
		j.client.sleep(max(minSyncInterval, j.client.MinReadInterval()))
	}
}

// nextSync takes the pending batch; nil: there is none, and syncLoop ends.
func (j *JobCache) nextSync() *syncBatch {
	j.mu.Lock()
	defer j.mu.Unlock()
	batch := j.sync.pending
	j.sync.pending = nil
	if batch == nil {
		j.sync.running = false
	}
	return batch
}
