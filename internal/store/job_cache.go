package store

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
	"github.com/glentiller/glentiller/internal/wire"
)

// JobCache is this controller's copy of the job records. Run keeps it up to date; Sync and Lookup
// bring it up to the present for an answer that must not be older than what any other controller has
// answered a user. Its methods are safe for concurrent use.
type JobCache struct {
	client      *Client
	log         *slog.Logger
	limits      Limits
	incarnation uint64 // of this process
	notify      func([]JobChange)

	mu              sync.Mutex // guards all below
	loaded          bool
	revision        uint64               // the cache holds all changes up to this revision
	asOf            time.Time            // the cache holds all that was on record then; zero: nothing was read yet
	active          map[string]JobRecord // unfinished jobs
	ended           endedJobs
	graph           *model.DependencyGraph
	dependencyParts map[string][]string // parts of dependency lists, by key
	sync            syncState
}

// JobChange says that a job was accepted or has ended.
type JobChange struct {
	ID string
	JobRecord
}

// How long the cache waits.
const (
	watchTimeout    = 10 * time.Second       // in a watch, for a change
	followRetryWait = 300 * time.Millisecond // after a failed read
)

// NewJobCache returns an empty cache. incarnation is a number that no other incarnation of the
// process has; maxEnded is how many ended jobs are kept. notify is called with the changes, in order,
// while the cache is locked, so it must not call the cache.
func NewJobCache(
	client *Client, incarnation uint64, maxEnded int, limits Limits, notify func([]JobChange), log *slog.Logger,
) *JobCache {
	limits.MaxValueBytes = min(limits.MaxValueBytes, maxTxnValueBytes)
	return &JobCache{
		client:          client,
		log:             log,
		limits:          limits,
		incarnation:     incarnation,
		notify:          notify,
		active:          map[string]JobRecord{},
		ended:           endedJobs{records: map[string]JobRecord{}, max: maxEnded},
		graph:           model.NewDependencyGraph(),
		dependencyParts: map[string][]string{},
	}
}

// Run follows the changes of the job records until the context ends.
func (j *JobCache) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := j.followChanges(ctx); err != nil && ctx.Err() == nil {
			j.log.Debug("job records not read", "err", err)
			Sleep(ctx, followRetryWait)
		}
	}
	return nil
}

func (j *JobCache) followChanges(ctx context.Context) error {
	if !j.Loaded() {
		return j.load(ctx)
	}
	return j.readChanges(ctx, watchTimeout)
}

// Refresh loads the cache if it has not been loaded yet, and brings it up to the present.
func (j *JobCache) Refresh(ctx context.Context) error {
	if !j.Loaded() {
		if err := j.load(ctx); err != nil {
			return err
		}
	}
	return j.CatchUp(ctx)
}

// CatchUp reads and applies the changes since the cache's revision.
func (j *JobCache) CatchUp(ctx context.Context) error { return j.readChanges(ctx, 0) }

// readChanges reads and applies the changes since the cache's revision, and waits for one up to the
// given time.
func (j *JobCache) readChanges(ctx context.Context, wait time.Duration) error {
	j.mu.Lock()
	revision := j.revision
	j.mu.Unlock()
	sent := j.client.now()
	page, err := j.client.Changes(ctx, jobPrefix, revision, wait)
	if err == nil {
		j.applyChanges(page, sent)
	}
	return j.invalidateIfCompacted(err)
}

// invalidateIfCompacted has the cache loaded anew if the changes that it lacks are no longer kept.
func (j *JobCache) invalidateIfCompacted(err error) error {
	if errors.Is(err, ErrCompacted) {
		j.mu.Lock()
		j.loaded = false
		j.mu.Unlock()
	}
	return err
}

// Loaded reports whether the cache has been loaded.
func (j *JobCache) Loaded() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.loaded
}

// Revision returns up to which revision the cache holds all changes; 0: it has not been loaded.
func (j *JobCache) Revision() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.loaded {
		return 0
	}
	return j.revision
}

// AsOf returns a time as of which the cache holds all that was on record; zero: it has not been
// loaded.
func (j *JobCache) AsOf() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.asOf
}

// Peek returns what the cache holds of a job, without a request.
func (j *JobCache) Peek(id string) JobRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.cached(id)
}

// cached is Peek with the lock held.
func (j *JobCache) cached(id string) JobRecord {
	if record, ok := j.ended.records[id]; ok {
		return record
	}
	return j.active[id]
}

// UpdateFor returns what has become of a changed job. It is derived from what the cache holds now: a
// job that has ended since must not be added again. A job that the cache no longer holds has ended.
func (j *JobCache) UpdateFor(change JobChange) record.JobUpdate {
	job := j.Peek(change.ID)
	switch {
	case job.Spec != nil:
		added := job.unfinished()
		return record.JobUpdate{Added: &added}
	case job.State == wire.StateUnknown:
		job = change.JobRecord
	}
	return record.JobUpdate{Ended: job.end(change.ID)}
}

// logUnreadable logs that a job record cannot be decoded.
func (j *JobCache) logUnreadable(key string, err error) {
	j.log.Error("unreadable job record", "key", key, "err", err)
}
