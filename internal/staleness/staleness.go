// Package staleness decides for how long a leader may renew workers' leases and start tasks by what it knows of
// cancellations.
//
// Any member confirms cancellations to users, and the leader may be the one that the state service does not answer:
// then it relies on the reports of the other members. A leader keeps a Tracker, passes it each read of the records and
// each report of a member, and compares the age of Tracker.KnownAsOf with a Bound. The package reads no clock. The
// safety argument is in docs/safety.md, "Bounded staleness of cancellations".
package staleness

import "time"

// Bound is how old a leader's knowledge of cancellations may be.
type Bound struct {
	KeepLeases time.Duration // while it answers heartbeats
	StartTasks time.Duration // while it starts tasks
}

const (
	stopSlack     = 3 * time.Second         // for workers that stop their tasks late
	maxClockDrift = 0.001                   // how far the steady clocks of two machines part, as a fraction
	minBound      = 1500 * time.Millisecond // that a leader can work with
	maxStartBound = 4 * time.Second         // enough to ask every member twice, if all is well
)

// BoundFor returns the bound with which the tasks of a cancelled job end within cancelWithin, where workers' leases
// last for lease. ok is false where no bound ensures that; then the least bound that a leader can work with is
// returned.
func BoundFor(cancelWithin, lease time.Duration) (bound Bound, ok bool) {
	keep := time.Duration(float64(cancelWithin)/(1+maxClockDrift)) - lease - stopSlack
	ok = keep >= minBound
	keep = max(keep, minBound)
	return Bound{KeepLeases: keep, StartTasks: min(keep, maxStartBound)}, ok
}

// Tracker tracks as of when a leader knows all cancellations that were acknowledged to users. It is not safe for
// concurrent use.
type Tracker struct {
	readAt         time.Time            // as of when it has read the records
	acknowledgedAt map[string]time.Time // by member: as of when it has reported all; zero: not yet
}

// NewTracker returns the tracker of a leader that has read the records as of readAt; others names the other members.
func NewTracker(others []string, readAt time.Time) *Tracker {
	tracker := &Tracker{readAt: readAt, acknowledgedAt: make(map[string]time.Time, len(others))}
	for _, member := range others {
		tracker.acknowledgedAt[member] = time.Time{}
	}
	return tracker
}

// RecordsRead notes that the records were read; requestedAt is when the read was requested.
func (t *Tracker) RecordsRead(requestedAt time.Time) { t.readAt = laterOf(t.readAt, requestedAt) }

// Acknowledged notes that a member has reported all cancellations that it has confirmed; requestedAt is when the
// report was requested. A name that is no member's is ignored.
func (t *Tracker) Acknowledged(member string, requestedAt time.Time) {
	if at, ok := t.acknowledgedAt[member]; ok {
		t.acknowledgedAt[member] = laterOf(at, requestedAt)
	}
}

// KnownAsOf returns a moment as of which every cancellation is known. Whoever confirms one to a user has written or
// read its record, and remembers it; so either the records or the reports of all other members hold it.
func (t *Tracker) KnownAsOf() time.Time {
	var earliest time.Time
	for _, at := range t.acknowledgedAt {
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
