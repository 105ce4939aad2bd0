// Package staleness limits how old a leader's knowledge of cancellations may be when the leader renews workers' leases
// or starts tasks.
//
// Every member may acknowledge cancellations to users. If the state service does not respond to the leader, the leader
// relies on the reports of the other members to learn about these cancellations. A leader keeps a Tracker, passes it
// each read of the records and each report of a member, and compares the age of Tracker.KnownAsOf with a Bound. The
// package reads no clock. The safety argument is in docs/safety.md, "Bounded staleness of cancellations".
package staleness

import "time"

// Bound is the maximum age of a leader's knowledge of cancellations.
type Bound struct {
	RenewLeases time.Duration // the maximum age at which the leader answers heartbeats, which renews workers' leases
	StartTasks  time.Duration // the maximum age at which the leader starts tasks
}

const (
	lateStopAllowance = 3 * time.Second         // the allowance for workers that stop their tasks late
	maxClockDrift     = 0.001                   // the maximum relative drift between the monotonic clocks of two machines
	minBound          = 1500 * time.Millisecond // the smallest bound with which a leader can operate
	maxStartBound     = 4 * time.Second         // enough to query every member twice if there are no faults
)

// BoundFor returns the bound with which the tasks of a cancelled job end within cancelWithin if workers' leases have
// the duration lease. ok is false if no bound ensures that. The bound is then the smallest with which a leader can
// operate.
func BoundFor(cancelWithin, lease time.Duration) (bound Bound, ok bool) {
	keep := time.Duration(float64(cancelWithin)/(1+maxClockDrift)) - lease - lateStopAllowance
	ok = keep >= minBound
	keep = max(keep, minBound)
	return Bound{RenewLeases: keep, StartTasks: min(keep, maxStartBound)}, ok
}

// Tracker tracks the time up to which a leader knows all cancellations that were acknowledged to users. It is not safe
// for concurrent use.
type Tracker struct {
	readAt     time.Time            // the time up to which the leader has read the records
	reportedAt map[string]time.Time // the time up to which each other member has reported; zero if never
}

// NewTracker returns the tracker of a leader that has read the records as of readAt. others holds the names of the
// other members.
func NewTracker(others []string, readAt time.Time) *Tracker {
	tracker := &Tracker{readAt: readAt, reportedAt: make(map[string]time.Time, len(others))}
	for _, member := range others {
		tracker.reportedAt[member] = time.Time{}
	}
	return tracker
}

// RecordsRead records that the leader has read the records. requestedAt is the time at which it requested the read.
func (t *Tracker) RecordsRead(requestedAt time.Time) { t.readAt = laterOf(t.readAt, requestedAt) }

// ReportReceived records that a member has reported all cancellations that it has acknowledged to users. requestedAt is
// the time at which the leader requested the report. A report of an unknown member is ignored.
func (t *Tracker) ReportReceived(member string, requestedAt time.Time) {
	if at, ok := t.reportedAt[member]; ok {
		t.reportedAt[member] = laterOf(at, requestedAt)
	}
}

// KnownAsOf returns a time up to which the leader knows all cancellations. A member that acknowledges a cancellation to
// a user has written or read its record, and remembers it. So both the records and the combined reports of all other
// members contain every cancellation that was acknowledged before they were requested.
func (t *Tracker) KnownAsOf() time.Time {
	var earliest time.Time
	for _, at := range t.reportedAt {
		if at.IsZero() {
			return t.readAt
		}
		if earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	return laterOf(t.readAt, earliest)
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
