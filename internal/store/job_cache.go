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

// JobCache is this controller's copy of the job records: all unfinished jobs, and the ended jobs that it learned of
// last. Run follows the changes. Sync and Lookup bring the copy up to date before they return, so that an answer to a
// user is never older than an earlier answer of another controller. The methods are safe for concurrent use.
type JobCache struct {
	client      *Client
	log         *slog.Logger
	limits      Limits
	incarnation uint64 // identifies this run of the process
	notify      func([]JobChange)

	mu              sync.Mutex // guards the fields below
	loaded          bool
	revision        uint64               // revision up to which all changes are applied
	asOf            time.Time            // time as of which the cache is complete; zero before the first load
	active          map[string]JobRecord // unfinished jobs
	ended           endedJobs
	graph           *model.DependencyGraph
	dependencyParts map[string][]string // job IDs in the parts of dependency lists, by key
	sync            syncState
}

// JobChange says that a job was accepted or has ended. Its state is StateUnknown if the cache has missed the change
// with which the job ended.
type JobChange struct {
	ID string
	JobRecord
}

const (
	watchTimeout    = 10 * time.Second       // maximum duration of one watch
	watchRetryDelay = 300 * time.Millisecond // pause of Run after a failed read
)

// NewJobCache returns a cache that is not loaded. incarnation must differ in each run of the process. maxEnded is
// the number of ended jobs to keep. notify is called with the changes in their order. The cache is locked during
// the call, so notify must not call methods of the cache.
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
		ended:           endedJobs{records: map[string]JobRecord{}, maxJobs: maxEnded},
		graph:           model.NewDependencyGraph(),
		dependencyParts: map[string][]string{},
	}
}

// Run loads the cache and applies the changes of the job records as they happen, until the context ends. It retries
// failed reads and always returns nil.
func (j *JobCache) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := j.followChanges(ctx); err != nil && ctx.Err() == nil {
			j.log.Debug("reading job records failed", "err", err)
			Sleep(ctx, watchRetryDelay)
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

// LoadAndApplyChanges loads the cache unless it is loaded, and then applies all changes up to now.
func (j *JobCache) LoadAndApplyChanges(ctx context.Context) error {
	if !j.Loaded() {
		if err := j.load(ctx); err != nil {
			return err
		}
	}
	return j.ApplyNewChanges(ctx)
}

// ApplyNewChanges reads and applies the changes since the cache's revision, without waiting for new ones.
func (j *JobCache) ApplyNewChanges(ctx context.Context) error { return j.readChanges(ctx, 0) }

// readChanges reads and applies the changes since the cache's revision. If there are none, it waits up to the given
// time for one.
func (j *JobCache) readChanges(ctx context.Context, wait time.Duration) error {
	j.mu.Lock()
	revision := j.revision
	j.mu.Unlock()
	requestedAt := j.client.now()
	page, err := j.client.Changes(ctx, jobPrefix, revision, wait)
	if err == nil {
		j.applyChanges(page, requestedAt)
	}
	return j.invalidateIfCompacted(err)
}

// invalidateIfCompacted marks the cache as not loaded if the changes that it lacks are compacted, and returns err.
func (j *JobCache) invalidateIfCompacted(err error) error {
	if errors.Is(err, ErrCompacted) {
		j.mu.Lock()
		j.loaded = false
		j.mu.Unlock()
	}
	return err
}

// Loaded reports whether the cache is loaded. It has to be loaded again after the changes that it lacks were compacted.
func (j *JobCache) Loaded() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.loaded
}

// Revision returns the revision up to which all changes are applied, or 0 if the cache is not loaded.
func (j *JobCache) Revision() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.loaded {
		return 0
	}
	return j.revision
}

// AsOf returns the time of the latest read that the cache includes: it holds every change that was committed before
// then. The time is zero if the cache has never been loaded.
func (j *JobCache) AsOf() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.asOf
}

// Peek returns the cached record of a job, without a request to the state service. The state is StateUnknown if the
// cache does not hold the job.
func (j *JobCache) Peek(id string) JobRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.cachedRecord(id)
}

// cachedRecord is Peek for callers that hold the lock.
func (j *JobCache) cachedRecord(id string) JobRecord {
	if record, ok := j.ended.records[id]; ok {
		return record
	}
	return j.active[id]
}

// UpdateFor converts a change of a job for the reconciler. It uses the job's current record instead of the one in
// the change, because a job that was added and has ended since must not be added again. A job that the cache no
// longer holds has ended.
func (j *JobCache) UpdateFor(change JobChange) record.JobUpdate {
	job := j.Peek(change.ID)
	switch {
	case job.Spec != nil:
		added := job.unfinishedJob()
		return record.JobUpdate{Added: &added}
	case job.State == wire.StateUnknown:
		job = change.JobRecord
	}
	return record.JobUpdate{Ended: job.jobEnd(change.ID)}
}

func (j *JobCache) logDecodeError(key string, err error) {
	j.log.Error("decoding job record failed", "key", key, "err", err)
}
