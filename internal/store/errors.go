package store

import (
	"errors"
	"fmt"
)

// Errors of requests to the state service, to be tested for with errors.Is.
var (
	// ErrNotExecuted means that a transaction was not executed and never will be. After any other error of a
	// transaction it is unknown whether it was executed, and it may still be.
	ErrNotExecuted = errors.New("transaction not executed")
	// ErrRejected means that a transaction is too large or malformed, so that the state service would reject each
	// retry as well. An error that is ErrRejected is also ErrNotExecuted.
	ErrRejected = errors.New("permanently rejected by the state service")
	// ErrCompacted means that the state service no longer keeps the changes since the requested revision.
	ErrCompacted = errors.New("changes since the requested revision are compacted")
	// ErrLeaseExpired means that the state service no longer knows a lease, because it has expired or was revoked.
	ErrLeaseExpired = errors.New("lease has expired")
	// ErrRateLimited means that a request was not sent, because this client's rate limits did not admit it in time.
	ErrRateLimited = errors.New("rate limit reached, request not sent")
)

// Errors of the JobCache, to be tested for with errors.Is.
var (
	// ErrUnknownDependency permanently rejects a job that depends on a job that was never accepted, or on itself. Its
	// text is sent to users.
	ErrUnknownDependency = errors.New("awaits a job that was never accepted")
	// ErrServiceDependency permanently rejects a job that depends on a service. Its text is sent to users.
	ErrServiceDependency = errors.New("awaits a service, which is never done")
	// ErrTooLarge permanently rejects a job whose records exceed the state service's limits. Its text is sent to users.
	ErrTooLarge = errors.New("too large to be kept")
	// ErrNotLoaded means that the cache has not been loaded yet, or has to be loaded again after a compaction.
	ErrNotLoaded = errors.New("job records not loaded yet")
	// ErrOutcomeUnknown means that a request may have been executed, or may still be.
	ErrOutcomeUnknown = errors.New("outcome of the request is unknown")
	// ErrTooManyConflicts means that a job's record changed during each attempt to read or write it.
	ErrTooManyConflicts = errors.New("too many concurrent changes of the record")
)

// CommitError describes a transaction that failed for a reason other than one of its conditions.
type CommitError struct {
	NeverExecuted bool  // whether it is certain that the transaction was not executed and never will be
	Err           error // the cause; nil if it is not known
}

// Error returns the outcome of the transaction and the cause of the error.
func (e *CommitError) Error() string {
	outcome := "commit: outcome of the transaction is unknown"
	if e.NeverExecuted {
		outcome = "commit: " + ErrNotExecuted.Error()
	}
	if e.Err == nil {
		return outcome
	}
	return outcome + ": " + e.Err.Error()
}

// Unwrap returns the cause, which may be nil.
func (e *CommitError) Unwrap() error { return e.Err }

// Is reports whether target is ErrNotExecuted and it is certain that the transaction was not executed.
func (e *CommitError) Is(target error) bool { return target == ErrNotExecuted && e.NeverExecuted }

// RecordError is the error of a stored record whose key or value cannot be decoded.
type RecordError struct {
	Key string
	Err error // the cause; nil if a number in the key is out of range
}

// Error returns the key of the record and the cause of the error.
func (e *RecordError) Error() string {
	if e.Err == nil {
		return "malformed record key " + e.Key
	}
	return fmt.Sprintf("decode record %s: %v", e.Key, e.Err)
}

// Unwrap returns the cause, which may be nil.
func (e *RecordError) Unwrap() error { return e.Err }
