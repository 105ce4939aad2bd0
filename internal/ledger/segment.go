package ledger

import (
	"strings"
	"time"
)

// Unit is the length of the period that a segment covers.
type Unit uint8

// The units of segments.
const (
	Hour Unit = iota + 1
	Day
	Month
)

// String returns the unit's name for logs, "none" for the zero value.
func (u Unit) String() string { return [...]string{"none", "hour", "day", "month"}[u] }

// Start returns the beginning, in UTC, of the hour, day or month that contains t.
func (u Unit) Start(t time.Time) time.Time {
	t = t.UTC()
	year, month, day := t.Date()
	switch u {
	case Month:
		return time.Date(year, month, 1, 0, 0, 0, 0, time.UTC)
	case Day:
		return time.Date(year, month, day, 0, 0, 0, 0, time.UTC)
	}
	return time.Date(year, month, day, t.Hour(), 0, 0, 0, time.UTC)
}

// Segment is a closed segment of a team's account. It is immutable, except that Compact replaces the segments of one
// day or month by a single one. Segments are ordered by their numbers and not by their start times: a segment may start
// earlier than the one before it if the wall clock has jumped back in between.
type Segment struct {
	Team           string
	First, Last    uint64 // range of numbers of the hourly segments that were merged into it; equal if none were
	Unit           Unit
	Start          time.Time    // beginning of the hour, day or month that it covers, in UTC
	Usage          []ClassUsage // sorted by class
	PrevLink       string       // link of the previous segment; "" for the first one
	LastMergedLink string       // link of the last segment that was merged into it; "" if none was
	Hash           string       // hash of all fields above
}

// Link returns the value by which the next segment refers to this one. It does not change when this segment is merged
// with earlier ones, so the chain stays intact.
func (s *Segment) Link() string {
	if s.LastMergedLink != "" {
		return s.LastMergedLink
	}
	return s.Hash
}

// OpenSegment is the stored record of a team's account: the segment to which charges are added, and the state of the
// account.
type OpenSegment struct {
	Team         string
	Number       uint64       // number of the segment, starting at 1
	Settlements  uint64       // number of settlements of the account since it was created
	FencingToken uint64       // fencing token of the leader that settled the account last
	Start        time.Time    // beginning of the hour that the segment covers, in UTC
	SettledAt    time.Time    // time of day of the last settlement, at which an UnaccountedInterval may begin
	Usage        []ClassUsage // sorted by class
	PrevLink     string       // link of the previous segment; "" for the first one
	DecayedUsage uint64       // decayed usage at SettledAt, in weighted CPU-microseconds
}

// newOpenSegment returns the record of an account that was never settled.
func newOpenSegment(team string) OpenSegment { return OpenSegment{Team: team, Number: 1} }

// close returns the closed form of the segment, with its hash.
func (o *OpenSegment) close(team string, hasher *SegmentHasher) *Segment {
	closed := &Segment{
		Team:     team,
		First:    o.Number,
		Last:     o.Number,
		Unit:     Hour,
		Start:    o.Start,
		Usage:    o.Usage,
		PrevLink: o.PrevLink,
	}
	closed.Hash = hasher.Hash(closed)
	return closed
}

// StoredSegment is a closed segment and the version of its stored record.
type StoredSegment struct {
	Segment
	Version uint64
}

// The parts of the upper bound on the size of a stored segment.
const (
	recordOverheadBytes = 400 // field names, two hashes, and numbers of up to twenty digits
	classOverheadBytes  = 8   // punctuation of one class
	numberOverheadBytes = 2   // a separator and the first digit
	quotesBytes         = 2   // the quotes around a string
	maxEscapeBytes      = 6   // one escaped byte, as in \u003c
)

// RecordSizeBound returns an upper bound on the size of a stored segment in bytes. The bound is that of a JSON
// encoding.
func RecordSizeBound(team string, usage []ClassUsage) int {
	size := recordOverheadBytes + jsonStringSizeBound(team)
	for _, class := range usage {
		size += jsonStringSizeBound(class.Class) + classOverheadBytes
		for _, number := range class.Numbers() {
			size += numberOverheadBytes
			for ; number >= 10; number /= 10 {
				size++
			}
		}
	}
	return size
}

// jsonStringSizeBound returns an upper bound on the size of a JSON string in bytes. If text contains a character that
// may be escaped, the bound is that of a string whose bytes are all escaped.
func jsonStringSizeBound(text string) int {
	if strings.ContainsFunc(text, mayBeEscaped) {
		return maxEscapeBytes*len(text) + quotesBytes
	}
	return len(text) + quotesBytes
}

// mayBeEscaped reports whether a JSON encoder may escape r.
func mayBeEscaped(r rune) bool { return r < ' ' || r > '~' || strings.ContainsRune(`"\<>&`, r) }
