package store

import (
	"errors"
	"fmt"
)

// The errors of requests to the state service that callers tell apart by errors.Is.
var (
	// ErrNotExecuted says that a transaction was not carried out and never will be. Any other error
	// of a transaction leaves open whether it was, or still will be.
	ErrNotExecuted = errors.New("not executed")
	// ErrRejected says that a transaction would be rejected every time: it is too large or
	// malformed. It comes with ErrNotExecuted.
	ErrRejected = errors.New("rejected for good")
	// ErrCompacted says that the changes since a revision are no longer kept.
	ErrCompacted = errors.New("the changes since that revision are not kept any more")
	// ErrLeaseExpired says that a lease is over.
	ErrLeaseExpired = errors.New("the lease is over")
	// ErrRateLimited says that a request had no place in this client's share of the rate limits.
	ErrRateLimited = errors.New("the budget for requests is spent")
)

// The errors of the job records that callers tell apart by errors.Is.
var (
	// ErrUnknownDependency refuses a job for good that depends on one that was never accepted.
	ErrUnknownDependency = errors.New("awaits a job that was never accepted")
	// ErrServiceDependency refuses a job for good that depends on a service.
	ErrServiceDependency = errors.New("awaits a service, which is never done")
	// ErrTooLarge refuses a job for good whose records exceed the limits.
	ErrTooLarge = errors.New("too large to be kept")
	// ErrNotLoaded says that the job records have not been read since the start.
	ErrNotLoaded = errors.New("the job records have not been read yet")
	// ErrOutcomeUnknown says that a request may have been carried out, or may still be.
	ErrOutcomeUnknown = errors.New("the outcome is open")
	// ErrTooManyConflicts says that a job's record kept changing while it was read or written.
	ErrTooManyConflicts = errors.New("its record keeps changing")
)

// CommitError is a transaction that failed without a condition of it being the cause.
type CommitError struct {
	NeverExecuted bool  // it was not carried out and never will be; false: that is unknown
	Err           error // what went wrong; nil: nothing more is known
}

// Error returns the outcome and what went wrong as text.
func (e *CommitError) Error() string {
	outcome := "commit: outcome unknown"
	if e.NeverExecuted {
		outcome = "commit: " + ErrNotExecuted.Error()
	}
	if e.Err == nil {
		return outcome
	}
	return outcome + ": " + e.Err.Error()
}

// Unwrap returns what went wrong.
func (e *CommitError) Unwrap() error { return e.Err }

// Is reports that the error is ErrNotExecuted, if that is certain.
func (e *CommitError) Is(target error) bool { return target == ErrNotExecuted && e.NeverExecuted }

// RecordError is a stored record that cannot be decoded.
type RecordError struct {
	Key string
	Err error // nil: the key itself is malformed
}

// Error returns the key and what is wrong as text.
func (e *RecordError) Error() string {
	if e.Err == nil {
		return "unreadable record " + e.Key
	}
	return fmt.Sprintf("unreadable record %s: %v", e.Key, e.Err)
}

// Unwrap returns what is wrong with the record.
func (e *RecordError) Unwrap() error { return e.Err }
