package store

import (
	"context"
	"fmt"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
	"github.com/glentiller/glentiller/internal/wire"
)

// maxLookupAttempts bounds the attempts of Lookup if the job's record changes during each of them.
const maxLookupAttempts = 3

// Lookup returns the current record of a job; its state is StateUnknown if the job was never accepted. An end that
// is in the cache is returned at once. Otherwise the latest changes are read first. A job that depends on a
// cancelled job is cancelled, even if its own end is not on record yet: all controllers derive that from the record
// of the other job's cancellation (docs/safety.md, "Pipelines").
func (j *JobCache) Lookup(ctx context.Context, id string) (JobRecord, error) {
	if record := j.Peek(id); record.State.Ended() {
		return record, nil
	}
	for range maxLookupAttempts {
		if err := j.Sync(ctx); err != nil {
			return JobRecord{}, err
		}
		if record, known, err := j.deriveState(ctx, id); known || err != nil {
			return record, err
		}
		// A job that the cache does not hold has ended, was never accepted, or was accepted after Sync. In the last case
		// fetch finds its active record, and the next attempt reads the change.
		record, err := j.fetch(ctx, id)
		if err != nil || record.Spec == nil {
			return record, err
		}
	}
	return JobRecord{}, fmt.Errorf("look up job %s: %w", id, ErrTooManyConflicts)
}

// deriveState returns the state of a job that the cache holds. For this it looks up the ends of the direct and
// indirect dependencies of which the cache knows only the ID. It reports whether the cache holds the job.
func (j *JobCache) deriveState(ctx context.Context, id string) (JobRecord, bool, error) {
	for allEnded := true; ; {
		record, unresolved := j.cachedState(id)
		if len(unresolved) == 0 || !allEnded {
			return record, record.State != wire.StateUnknown, nil
		}
		for _, dependency := range unresolved {
			ended, err := j.resolveDependencyEnd(ctx, dependency)
			if err != nil {
				return JobRecord{}, false, err
			}
			allEnded = allEnded && ended
		}
	}
}

// cachedState returns the state of a job according to the cache, and the IDs of those dependencies, direct or
// indirect, whose outcome the cache does not know. Their outcome may change the state.
func (j *JobCache) cachedState(id string) (record JobRecord, unresolved []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	record = j.cachedRecord(id)
	if record.Spec == nil {
		return record, nil
	}
	if node := j.graph.Node(id); node != nil && node.State == model.DependencyFailed {
		return JobRecord{State: wire.StateCancelled, Tasks: record.Tasks}, nil
	}
	return record, j.graph.ReferencedUpstream(id)
}

// resolveDependencyEnd looks up a dependency that is not among the unfinished jobs in the cache, and adds its end
// to the dependency graph. It reports whether the dependency has ended.
func (j *JobCache) resolveDependencyEnd(ctx context.Context, id string) (bool, error) {
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

// fetch reads a job's record from the state service. The state is StateUnknown if there is none. The active record
// is read first, so that a job whose record is moved to the ended jobs between the two reads is found.
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
	j.applyEndAndNotify(id, record)
	return record, nil
}

// decodeFetched decodes an active record that fetch has read.
func (j *JobCache) decodeFetched(entry wire.Entry) (JobRecord, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	record, err := decodeActive(entry, j.dependencyParts)
	if err != nil {
		j.logDecodeError(entry.Key, err)
		return JobRecord{}, &RecordError{Key: entry.Key, Err: err}
	}
	return record, nil
}

// ReadEnds returns the ends of the given jobs. It leaves out jobs whose end is not on record, and stops at the
// first request that fails.
func (j *JobCache) ReadEnds(ctx context.Context, ids []string) []record.JobEnd {
	var ends []record.JobEnd
	for _, id := range ids {
		record := j.Peek(id)
		if !record.State.Ended() {
			var err error
			if record, err = j.fetch(ctx, id); err != nil {
				j.log.Debug("reading the end of a dependency failed", "id", id, "err", err)
				break
			}
		}
		if record.State.Ended() {
			ends = append(ends, record.jobEnd(id))
		} else {
			j.log.Warn("end of a dependency is not on record", "id", id)
		}
	}
	return ends
}
