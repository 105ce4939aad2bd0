package store

import (
	"context"
	"fmt"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
	"github.com/glentiller/glentiller/internal/wire"
)

// maxLookups is how often Lookup tries to find a job whose record moves meanwhile.
const maxLookups = 3

// Lookup returns the present state of a job. An end that is remembered is returned at once; for
// anything else the cache is brought up to the present. A job that depends on a cancelled one is
// cancelled, whether its own end is on record yet or not: all controllers derive that from the one
// record of the cancellation (docs/safety.md, "Pipelines").
func (j *JobCache) Lookup(ctx context.Context, id string) (JobRecord, error) {
	if record := j.Peek(id); record.State.Ended() {
		return record, nil
	}
	for range maxLookups {
		if err := j.Sync(ctx); err != nil {
			return JobRecord{}, err
		}
		if record, ok, err := j.deriveState(ctx, id); ok || err != nil {
			return record, err
		}
		// The cache does not hold it: it has ended, was never submitted, or was accepted since.
		record, err := j.fetch(ctx, id)
		if err != nil || record.Spec == nil {
			return record, err
		}
	}
	return JobRecord{}, fmt.Errorf("look up job %s: %w", id, ErrTooManyConflicts)
}

// deriveState returns the state of a job that the cache holds. It looks up the ends of those of its
// dependencies, direct or not, of which the cache knows only the name. It reports whether the job is
// known.
func (j *JobCache) deriveState(ctx context.Context, id string) (JobRecord, bool, error) {
	for allEnded := true; ; {
		record, unresolved := j.cachedState(id)
		if len(unresolved) == 0 || !allEnded {
			return record, record.State != wire.StateUnknown, nil
		}
		for _, dependency := range unresolved {
			ended, err := j.resolveEnd(ctx, dependency)
			if err != nil {
				return JobRecord{}, false, err
			}
			allEnded = allEnded && ended
		}
	}
}

// cachedState returns the state of a job as far as the cache holds it, and the dependencies whose
// state could change it.
func (j *JobCache) cachedState(id string) (record JobRecord, unresolved []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	record = j.cached(id)
	if record.Spec == nil {
		return record, nil
	}
	if node := j.graph.Node(id); node != nil && node.State == model.DependencyFailed {
		return JobRecord{State: wire.StateCancelled, Tasks: record.Tasks}, nil
	}
	return record, j.graph.ReferencedUpstream(id)
}

// resolveEnd takes the end of a dependency that is not among the unfinished jobs into the graph, and
// reports whether it has ended.
func (j *JobCache) resolveEnd(ctx context.Context, id string) (bool, error) {
	j.mu.Lock()
	record, ended := j.ended.records[id]
	if ended {
		j.graph.End(id, record.State.Outcome(), record.Timestamp)
	}
	j.mu.Unlock()
	if ended {
		return true, nil
	}
	record, err := j.fetch(ctx, id)
	return record.State.Ended(), err
}

// fetch reads a job's record from the state service. It reads the active record first, since a job
// only ever moves from there to the ended ones.
func (j *JobCache) fetch(ctx context.Context, id string) (JobRecord, error) {
	entry, found, err := j.client.Get(ctx, activePrefix+id)
	if err != nil {
		return JobRecord{}, err
	}
	if found {
		return j.decodeFetched(entry)
	}
	entry, found, err = j.client.Get(ctx, endedPrefix+id)
	if err != nil || !found {
		return JobRecord{}, err
	}
	record, err := decodeEnded(entry)
	if err != nil {
		return JobRecord{}, &RecordError{Key: entry.Key, Err: err}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.recordEndAndNotify(id, record)
	return record, nil
}

// decodeFetched decodes the record of an unfinished job.
func (j *JobCache) decodeFetched(entry wire.Entry) (JobRecord, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	record, err := decodeActive(entry, j.dependencyParts)
	if err != nil {
		j.logUnreadable(entry.Key, err)
		return JobRecord{}, &RecordError{Key: entry.Key, Err: err}
	}
	return record, nil
}

// ReadEnds returns the ends of the given jobs as far as they can be read; it stops at the first
// request that fails.
func (j *JobCache) ReadEnds(ctx context.Context, ids []string) []record.JobEnd {
	var ends []record.JobEnd
	for _, id := range ids {
		record := j.Peek(id)
		if !record.State.Ended() {
			var err error
			if record, err = j.fetch(ctx, id); err != nil {
				j.log.Debug("end of a dependency not read", "id", id, "err", err)
				break
			}
		}
		if record.State.Ended() {
			ends = append(ends, record.end(id))
		} else {
			j.log.Warn("the end of a dependency is not on record", "id", id)
		}
	}
	return ends
}
