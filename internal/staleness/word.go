// Package staleness decides for how long a leader may keep workers' leases and start tasks by what it
// knows of cancellations. Users are told of them by any member, and a leader may be the one that
// the state service does not answer: it goes by the others' word then. It reads no clock. The
// argument is in docs/safety.md, "Cancelled is gone in time".
package staleness

import "time"

// Bound is how old a leader's knowledge of cancellations may be.
type Bound struct {
	Keep  time.Duration // while it answers workers
	Start time.Duration // while it starts tasks
}

const (
	slack = 3 * time.Second         // for workers that end their tasks late
	drift = 0.001                   // bounds how far the steady clocks of two machines part
	least = 1500 * time.Millisecond // that a leader can work with
	start = 4 * time.Second         // in which every member has been asked, and asked again, if all is well
)

// Within is the bound by which tasks of a cancelled job are gone in a time, where workers' leases
// last for another; ok is false where no bound can see to that, and the least that a leader can
// work with is given.
func Within(cancel, lease time.Duration) (b Bound, ok bool) {
	keep := time.Duration(float64(cancel)/(1+drift)) - lease - slack
	ok = keep >= least
	keep = max(keep, least)
	return Bound{Keep: keep, Start: min(keep, start)}, ok
}

// Book keeps as of when a leader knows of all cancellations that users were told of.
type Book struct {
	read time.Time            // as of when it has read the records
	told map[string]time.Time // as of when each other member has told it all
}

// New begins the book of a leader that has read the records as of a moment.
func New(others []string, read time.Time) *Book {
	b := &Book{read: read, told: map[string]time.Time{}}
	for _, o := range others {
		b.told[o] = time.Time{}
	}
	return b
}

// Read notes that the records were read; the reading was asked for at a moment.
func (b *Book) Read(sent time.Time) { b.read = later(b.read, sent) }

// Told notes that a member has told all that it has told users; it was asked at a moment.
func (b *Book) Told(member string, sent time.Time) {
	if at, ok := b.told[member]; ok {
		b.told[member] = later(at, sent)
	}
}

// Since is a moment as of which every cancellation is known: whoever tells users of one has
// written or read it, so the records hold it, and one of the members has it in mind.
func (b *Book) Since() time.Time {
	var told time.Time
	for _, at := range b.told {
		if at.IsZero() {
			return b.read
		}
		if told.IsZero() || at.Before(told) {
			told = at
		}
	}
	return later(b.read, told)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
