package store

import (
	"context"
	"time"
)

// syncState merges concurrent calls of Sync into few reads. JobCache.mu guards it.
type syncState struct {
	pending *syncBatch // served by the next read; nil if no caller waits for that read
	running bool       // whether syncLoop runs
}

// syncBatch is one read and the callers that wait for it.
type syncBatch struct {
	done chan struct{} // closed after err was set
	err  error
}

// minSyncInterval is the minimum pause between two reads, during which calls are collected for the next read.
const minSyncInterval = 25 * time.Millisecond

// Sync updates the cache: when it returns nil, the cache holds every change that was committed before the call. One
// read serves all waiting callers. It returns ErrNotLoaded if the cache is not loaded.
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

// joinSync returns the batch that serves a call made now, and starts syncLoop if it does not run. The batch is
// never the one that is being read, because that read may have begun before the call.
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

// syncLoop serves one batch after the other, until no caller waits.
func (j *JobCache) syncLoop() {
	for {
		batch := j.takePendingSync()
		if batch == nil {
			return
		}
		batch.err = j.ApplyNewChanges(context.Background())
		close(batch.done)
		// Users' polls must not use up the rate limits. Otherwise submissions, and the watch that reports the jobs on
		// which they depend, would have to wait.
		j.client.sleep(max(minSyncInterval, j.client.MinReadInterval()))
	}
}

// takePendingSync removes and returns the pending batch. If there is none, it marks syncLoop as ended and returns nil.
func (j *JobCache) takePendingSync() *syncBatch {
	j.mu.Lock()
	defer j.mu.Unlock()
	batch := j.sync.pending
	j.sync.pending = nil
	if batch == nil {
		j.sync.running = false
	}
	return batch
}
