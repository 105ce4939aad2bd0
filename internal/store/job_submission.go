package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

// maxCancelAttempts is how often Cancel tries to end a job whose record changes meanwhile.
const maxCancelAttempts = 4

// ResolveDependencies looks up the jobs that a submission depends on, and removes those that are done
// from spec.Dependencies, for good. dependencyCancelled reports that one of them is cancelled. A job
// that the cache holds was accepted, and an end that it may have had since reaches the new job like
// any other; only of other jobs the present state is read. With ErrUnknownDependency and
// ErrServiceDependency no repetition can succeed; with any other error it may.
func (j *JobCache) ResolveDependencies(ctx context.Context, spec *model.Spec) (dependencyCancelled bool, err error) {
	var unfinished []string
	for _, id := range spec.Dependencies {
		if id == spec.ID {
			return false, ErrUnknownDependency
		}
		record := j.Peek(id)
		if record.State == wire.StateUnknown {
			record, err = j.Lookup(ctx, id)
		}
		switch {
		case err != nil:
			return false, err
		case record.State == wire.StateUnknown:
			return false, ErrUnknownDependency
		case record.State == wire.StateCancelled:
			dependencyCancelled = true
		case record.State == wire.StateDone:
		case record.Spec.Shape == model.Service:
			return false, ErrServiceDependency
		default:
			unfinished = append(unfinished, id)
		}
	}
	spec.Dependencies = unfinished
	return dependencyCancelled, nil
}

// CheckSize returns ErrTooLarge if the records of a new job exceed the limits.
func (j *JobCache) CheckSize(spec *model.Spec) error {
	_, _, err := encodeNewJob(spec, latestTime, j.limits)
	return err
}

// Accept writes the record of a new job, unless the job is known already. A job that depends on a
// cancelled one is accepted and cancelled at once. created reports whether this call has accepted the
// job; if it has not, and there is no error, record is the known job's. With ErrNotExecuted and
// ErrTooLarge this call has not accepted the job; with any other error it may have.
func (j *JobCache) Accept(
	ctx context.Context, spec *model.Spec, dependencyCancelled bool, now time.Time,
) (created bool, record JobRecord, err error) {
	txn := &wire.Txn{}
	require(txn, activePrefix+spec.ID, 0)
	require(txn, endedPrefix+spec.ID, 0)
	if dependencyCancelled {
		put(txn, endedPrefix+spec.ID, wire.AppendEndedJob(nil, wire.StateCancelled, spec.Tasks, now))
	} else {
		parts, active, err := encodeNewJob(spec, now, j.limits)
		if err != nil {
			return false, JobRecord{}, err
		}
		if err := j.putDependencyParts(ctx, parts, txn); err != nil {
			return false, JobRecord{}, err
		}
		txn.Changes = []wire.Change{active}
	}
	revision, ok, err := j.client.Commit(ctx, txn, false)
	if err == nil && ok {
		return true, JobRecord{
			State: wire.StateQueued, Spec: spec, Timestamp: now, Version: revision, Tasks: spec.Tasks,
		}, nil
	}
	if errors.Is(err, ErrNotExecuted) {
		return false, JobRecord{}, err
	}
	record, err = j.resolveAccept(ctx, spec.ID, err)
	return false, record, err
}

// putDependencyParts writes the parts of a dependency list, and makes the job's transaction depend on
// them: the leader may delete them before the job owns them, and then the job is not accepted.
func (j *JobCache) putDependencyParts(ctx context.Context, parts []wire.Change, txn *wire.Txn) error {
	perTxn := min(j.limits.MaxChanges, max(1, maxTxnValueBytes/j.limits.MaxValueBytes))
	for len(parts) > 0 {
		n := min(len(parts), perTxn)
		revision, ok, err := j.client.Commit(ctx, &wire.Txn{Changes: parts[:n]}, false)
		if err != nil || !ok {
			return &CommitError{NeverExecuted: true, Err: err} // the job's own transaction
		}
		for _, part := range parts[:n] {
			require(txn, part.Key, revision)
		}
		parts = parts[n:]
	}
	return nil
}

// resolveAccept returns the present state of a job whose acceptance has failed: it is known already,
// or the outcome is unknown. commitErr is nil in the first case.
func (j *JobCache) resolveAccept(ctx context.Context, id string, commitErr error) (JobRecord, error) {
	record, err := j.Lookup(ctx, id)
	if err != nil {
		return record, err
	}
	if record.State == wire.StateUnknown {
		return record, errors.Join(commitErr, ErrOutcomeUnknown)
	}
	return record, nil
}

// Cancel ends a job as cancelled, unless it is done. It returns the state in which the job has ended,
// or StateUnknown if it was never submitted.
func (j *JobCache) Cancel(ctx context.Context, id string, now time.Time) (JobRecord, error) {
	for range maxCancelAttempts {
		if record := j.Peek(id); record.State.Ended() {
			return record, nil
		}
		record, err := j.fetch(ctx, id)
		if err != nil || record.State.Ended() || record.State == wire.StateUnknown {
			return record, err
		}
		txn := &wire.Txn{}
		require(txn, activePrefix+id, record.Version)
		require(txn, endedPrefix+id, 0)
		remove(txn, activePrefix+id)
		put(txn, endedPrefix+id, wire.AppendEndedJob(nil, wire.StateCancelled, record.Tasks, now))
		revision, ok, err := j.client.Commit(ctx, txn, false)
		if errors.Is(err, ErrNotExecuted) {
			return JobRecord{}, err
		}
		if err == nil && ok {
			cancelled := JobRecord{State: wire.StateCancelled, Tasks: record.Tasks, Version: revision, Timestamp: now}
			j.mu.Lock()
			defer j.mu.Unlock()
			j.recordEndAndNotify(id, cancelled)
			return cancelled, nil
		}
	}
	return JobRecord{}, fmt.Errorf("cancel job %s: %w", id, ErrTooManyConflicts)
}
