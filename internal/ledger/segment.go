package ledger

import (
	"strings"
	"time"
)

// Unit is the length of the time that a segment is about.
type Unit uint8

// The units of segments.
const (
	Hour Unit = iota + 1
	Day
	Month
)

func (u Unit) String() string { return [...]string{"none", "hour", "day", "month"}[u] }

// Start is the beginning, in UTC, of the unit that a time of day lies in.
func (u Unit) Start(t time.Time) time.Time {
	t = t.UTC()
	y, m, d := t.Date()
	switch u {
	case Month:
		return time.Date(y, m, 1, 0, 0, 0, 0, time.UTC)
	case Day:
		return time.Date(y, m, d, 0, 0, 0, 0, time.UTC)
	}
	return time.Date(y, m, d, t.Hour(), 0, 0, 0, time.UTC)
}

// Segment is a closed segment of a team's account. It never changes, except that segments of one day or month are
// folded into one. Segments are numbered, not dated: after a time of day that jumps back the next one merely has an
// earlier start.
type Segment struct {
	Team        string
	First, Last uint64 // the numbers of the hourly segments that it contains
	Unit        Unit
	Start       time.Time // the time of day that names it, in UTC
	Usage       []ClassUsage
	Prev        string // the link of the previous segment
	Head        string // the link of the last segment that was folded into it; "": none was
	Sum         string // the hash of everything above
}

// Link identifies the segment in the one that follows it. It stays the same when segments are folded.
func (s *Segment) Link() string {
	if s.Head != "" {
		return s.Head
	}
	return s.Sum
}

// OpenSegment is the stored record of a team's account: the segment that is being written, and the account's state.
type OpenSegment struct {
	Team         string
	Number       uint64 // of the segment
	Settlements  uint64 // how often the account was settled, ever
	FencingToken uint64 // of the leader that settled it last
	Start        time.Time
	SettledAt    time.Time // the time of day of the last settlement, for readers only
	Usage        []ClassUsage
	Prev         string // the link of the previous segment
	DecayedUsage uint64 // in weighted CPU-microseconds
}

// newOpenSegment is the record of an account that was never settled.
func newOpenSegment(team string) OpenSegment { return OpenSegment{Team: team, Number: 1} }

// close returns the segment as a closed one of a team.
func (o *OpenSegment) close(team string, seal *Seal) *Segment {
	closed := &Segment{
		Team:  team,
		First: o.Number,
		Last:  o.Number,
		Unit:  Hour,
		Start: o.Start,
		Usage: o.Usage,
		Prev:  o.Prev,
	}
	closed.Sum = seal.Sum(closed)
	return closed
}

// StoredSegment is a closed segment with the version of its record.
type StoredSegment struct {
	Segment
	Version uint64
}

// The parts of the upper bound on the size of a stored segment, in bytes.
const (
	recordOverhead = 400 // fields, two hashes, numbers of twenty digits
	classOverhead  = 8
	numberOverhead = 2 // a separator and the first digit
	quotes         = 2
	maxEscape      = 6 // of one byte
)

// RecordSize is an upper bound on the size of a stored segment in bytes, in JSON.
func RecordSize(team string, usage []ClassUsage) int {
	size := recordOverhead + jsonTextSize(team)
	for _, class := range usage {
		size += jsonTextSize(class.Class) + classOverhead
		for _, number := range class.Numbers() {
			size += numberOverhead
			for ; number >= 10; number /= 10 {
				size++
			}
		}
	}
	return size
}

// jsonTextSize is an upper bound on the size of a text in JSON, where any character may be escaped.
func jsonTextSize(text string) int {
	if strings.ContainsFunc(text, isEscaped) {
		return maxEscape*len(text) + quotes
	}
	return len(text) + quotes
}

// isEscaped reports whether JSON may escape a character.
func isEscaped(r rune) bool { return r < ' ' || r > '~' || strings.ContainsRune(`"\<>&`, r) }
