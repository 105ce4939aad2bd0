// Package staleness decides for how long a leader may keep workers' leases and start tasks by what it
// knows of cancellations. Users are told of them by any member, and a leader may be the one that
// the state service does not answer: it goes by the others' word then. It reads no clock. The
// argument is in docs/safety.md, "Cancelled is gone in time".
package staleness

import "time"

// Bound is how old a leader's knowledge of cancellations may be.
type Bound struct {
	KeepLeases time.Duration // while it answers workers
	StartTasks time.Duration // while it starts tasks
}

const (
	stopSlack     = 3 * time.Second         // for workers that end their tasks late
	maxClockDrift = 0.001                   // bounds how far the steady clocks of two machines part
	minBound      = 1500 * time.Millisecond // that a leader can work with
	maxStartBound = 4 * time.Second         // in which every member has been asked, and asked again, if all is well
)

// BoundFor is the bound by which tasks of a cancelled job are gone in a time, where workers' leases
// last for another; ok is false where no bound can see to that, and the least that a leader can
// work with is given.
func BoundFor(cancel, lease time.Duration) (b Bound, ok bool) {
	keep := time.Duration(float64(cancel)/(1+maxClockDrift)) - lease - stopSlack
	ok = keep >= minBound
	keep = max(keep, minBound)
	return Bound{KeepLeases: keep, StartTasks: min(keep, maxStartBound)}, ok
}

// Tracker keeps as of when a leader knows of all cancellations that users were told of.
type Tracker struct {
	readAt         time.Time            // as of when it has read the records
	acknowledgedAt map[string]time.Time // as of when each other member has told it all
}

// NewTracker begins the book of a leader that has read the records as of a moment.
func NewTracker(others []string, read time.Time) *Tracker {
	b := &Tracker{readAt: read, acknowledgedAt: map[string]time.Time{}}
	for _, o := range others {
		b.acknowledgedAt[o] = time.Time{}
	}
	return b
}

// RecordsRead notes that the records were read; the reading was asked for at a moment.
func (b *Tracker) RecordsRead(sent time.Time) { b.readAt = laterOf(b.readAt, sent) }

// Acknowledged notes that a member has told all that it has told users; it was asked at a moment.
func (b *Tracker) Acknowledged(member string, sent time.Time) {
	if at, ok := b.acknowledgedAt[member]; ok {
		b.acknowledgedAt[member] = laterOf(at, sent)
	}
}

// KnownAsOf is a moment as of which every cancellation is known: whoever tells users of one has
// written or read it, so the records hold it, and one of the members has it in mind.
func (b *Tracker) KnownAsOf() time.Time {
	var told time.Time
	for _, at := range b.acknowledgedAt {
		if at.IsZero() {
			return b.readAt
		}
		if told.IsZero() || at.Before(told) {
			told = at
		}
	}
	return laterOf(b.readAt, told)
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
