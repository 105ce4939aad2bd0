package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

// maxCancelAttempts bounds the attempts of Cancel if the job's record changes during each of them.
const maxCancelAttempts = 4

// ResolveDependencies looks up the jobs that a new job depends on, and reduces spec.Dependencies to the unfinished
// ones. dependencyCancelled reports whether one of the others is cancelled. A job in the cache is not read again:
// it was accepted, and if it has ended since, its end will reach the new job like that of any dependency. Other
// jobs are looked up in the state service. ErrUnknownDependency and ErrServiceDependency are permanent; after any
// other error a retry may succeed.
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

// CheckSize returns ErrTooLarge if the records of a new job exceed the limits of the state service.
func (j *JobCache) CheckSize(spec *model.Spec) error {
	_, _, err := encodeNewJob(spec, longestEncodedTime, j.limits)
	return err
}

// Accept writes the record of a new job, unless the job exists already. With dependencyCancelled the job is
// accepted and cancelled at once. created reports whether this call has accepted the job. If created is false and
// there is no error, record is that of the existing job. After ErrNotExecuted or ErrTooLarge it is certain that
// this call has not accepted the job; after any other error it may have.
func (j *JobCache) Accept(
	ctx context.Context, spec *model.Spec, dependencyCancelled bool, now time.Time,
) (created bool, record JobRecord, err error) {
	txn := &wire.Txn{}
	requireVersion(txn, activePrefix+spec.ID, 0)
	requireVersion(txn, endedPrefix+spec.ID, 0)
	if dependencyCancelled {
		addPut(txn, endedPrefix+spec.ID, wire.AppendEndedJob(nil, wire.StateCancelled, spec.Tasks, now))
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

// putDependencyParts writes the parts of a dependency list, and adds to the job's transaction the conditions that
// they are unchanged. Until that transaction the leader may delete them, since they belong to no unfinished job.
func (j *JobCache) putDependencyParts(ctx context.Context, parts []wire.Change, txn *wire.Txn) error {
	partsPerTxn := min(j.limits.MaxChanges, max(1, maxTxnValueBytes/j.limits.MaxValueBytes))
	for len(parts) > 0 {
		count := min(len(parts), partsPerTxn)
		revision, ok, err := j.client.Commit(ctx, &wire.Txn{Changes: parts[:count]}, false)
		if err != nil || !ok {
			// NeverExecuted refers to the job's own transaction. The one that writes the parts may have been executed.
			return &CommitError{NeverExecuted: true, Err: err}
		}
		for _, part := range parts[:count] {
			requireVersion(txn, part.Key, revision)
		}
		parts = parts[count:]
	}
	return nil
}

// resolveAccept looks up a job after the transaction that was to accept it has failed. commitErr is nil if a
// condition failed, so that the job exists already. Otherwise the outcome of the transaction is unknown, and the
// job may exist.
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

// Cancel ends a job as cancelled unless it has ended already. It returns the record of the ended job. The state is
// StateUnknown if the job was never accepted.
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
		requireVersion(txn, activePrefix+id, record.Version)
		requireVersion(txn, endedPrefix+id, 0)
		addDelete(txn, activePrefix+id)
		addPut(txn, endedPrefix+id, wire.AppendEndedJob(nil, wire.StateCancelled, record.Tasks, now))
		revision, ok, err := j.client.Commit(ctx, txn, false)
		if errors.Is(err, ErrNotExecuted) {
			return JobRecord{}, err
		}
		if err == nil && ok {
			cancelled := JobRecord{State: wire.StateCancelled, Tasks: record.Tasks, Version: revision, Timestamp: now}
			j.mu.Lock()
			defer j.mu.Unlock()
			j.applyEndAndNotify(id, cancelled)
			return cancelled, nil
		}
	}
	return JobRecord{}, fmt.Errorf("cancel job %s: %w", id, ErrTooManyConflicts)
}
