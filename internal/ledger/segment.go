package ledger

import (
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"lukechampine.com/blake3"
)

// Unit is how long a time a page is about.
type Unit uint8

// The units of pages.
const (
	Hour Unit = iota + 1
	Day
	Month
)

func (u Unit) String() string { return [...]string{"none", "hour", "day", "month"}[u] }

// Start is the beginning of the unit that a time of day lies in, in UTC.
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

// Segment is a closed page of a team's account. It never changes, except that pages of
// one day or month are folded into one. Pages are numbered, not dated: a time of day
// that jumps back only gives the next page an earlier name.
type Segment struct {
	Team        string
	First, Last uint64 // the numbers of the hourly pages that are in it
	Unit        Unit
	Start       time.Time // the time that it is named by, in UTC
	Usage       []ClassUsage
	Prev        string // the link of the page before
	Head        string // the sum of the last page that was folded into it; "": none was
	Sum         string // the hash of all of this
}

// Link is what the page behind names as the one before: it does not change when pages
// are folded.
func (p *Segment) Link() string {
	if p.Head != "" {
		return p.Head
	}
	return p.Sum
}

// OpenSegment is a team's account as it is on record: the page that is being written, and
// what the account goes by.
type OpenSegment struct {
	Team         string
	Number       uint64 // of the page
	Settlements  uint64 // how often the account was settled, ever
	FencingToken uint64 // of the leader that settled it last
	Start        time.Time
	SettledAt    time.Time // the time of day when it was settled last: a name, nothing is computed from it
	Usage        []ClassUsage
	Prev         string // the link of the page before
	DecayedUsage uint64 // decayed use, in CPU-microseconds by the weights
}

// Seal computes the hashes of pages. With a key nobody can change a page unnoticed
// who does not have it; without one only accidents show.
type Seal struct{ key []byte }

// NewSeal makes a seal; an empty secret makes it a plain hash.
func NewSeal(secret []byte) *Seal {
	s := &Seal{}
	if len(secret) > 0 {
		s.key = make([]byte, 32)
		blake3.DeriveKey(s.key, "glentiller ledger pages, version 1", secret)
	}
	return s
}

// sumBytes is the length of a page's hash.
const sumBytes = 16

// Sum is the hash of a page's content.
func (s *Seal) Sum(p *Segment) string {
	h := blake3.New(sumBytes, s.key)
	_, _ = h.Write(p.canonical()) // a hash takes everything
	return hex.EncodeToString(h.Sum(nil))
}

// canonical writes all that a page holds but its sum, in one form for ever. It does not
// depend on how the state service keeps a value.
func (p *Segment) canonical() []byte {
	b := fmt.Appendf(nil, "1 %q %d %d %d %d %q %q\n", p.Team, p.First, p.Last, p.Unit, p.Start.Unix(), p.Prev, p.Head)
	for _, c := range p.Usage {
		b = strconv.AppendQuote(b, c.Class)
		numbers := c.Numbers()
		for len(numbers) > canonicalNumbers && numbers[len(numbers)-1] == 0 {
			numbers = numbers[:len(numbers)-1]
		}
		for _, n := range numbers {
			b = strconv.AppendUint(append(b, ' '), n, 10)
		}
		b = append(b, '\n')
	}
	return b
}

// canonicalNumbers is how many amounts the first version hashed: later ones that are
// zero leave the hash of a page as it was.
const canonicalNumbers = 13

// The findings of Verify.
var (
	ErrGap     = errors.New("pages are missing")
	ErrChanged = errors.New("the page was changed")
)

// Verify checks pages of one team, in order, that follow a page with the given number
// and link (0 and "": the first one follows nothing). It returns the last number and
// link, to go on from, and what is wrong with the first page that does not hold.
func (s *Seal) Verify(pages []Segment, last uint64, link string) (uint64, string, error) {
	for i := range pages {
		p := &pages[i]
		switch {
		case p.First != last+1 || p.Last < p.First:
			return last, link, fmt.Errorf("%w: page %d follows page %d", ErrGap, p.First, last)
		case p.Prev != link:
			return last, link, fmt.Errorf("page %d: %w, or the one before it: it names another before it", p.First, ErrChanged)
		case s.Sum(p) != p.Sum:
			return last, link, fmt.Errorf("page %d: %w", p.First, ErrChanged)
		}
		last, link = p.Last, p.Link()
	}
	return last, link, nil
}

// VerifyOpen checks that the open page follows the last closed one.
func (o *OpenSegment) VerifyOpen(last uint64, link string) error {
	if o.Number != last+1 {
		return fmt.Errorf("%w: the open page %d follows page %d", ErrGap, o.Number, last)
	}
	if o.Prev != link {
		return fmt.Errorf("page %d: %w: the open page names another before it", last, ErrChanged)
	}
	return nil
}

// Retention says how long pages stay as fine as they are.
type Retention struct {
	Hours time.Duration // hourly pages older than this are folded into days
	Days  time.Duration // daily pages older than this are folded into months
}

// StoredSegment is a closed page with the version of its record.
type StoredSegment struct {
	Segment
	Version uint64
}

// Fold looks for the first run of pages, in order, that are old enough to be one page
// of a day or a month, and makes it: most pages at once, and no larger than a record may
// be. It returns how many pages from which one on it replaces; 0: there is none.
func Fold(set *Settings, pages []StoredSegment, now time.Time, most int) (folded *Segment, from, count int) {
	coarser := func(p *Segment) Unit {
		switch {
		case p.Unit < Month && now.Sub(p.Start) > set.Retention.Days:
			return Month
		case p.Unit < Day && now.Sub(p.Start) > set.Retention.Hours:
			return Day
		}
		return p.Unit
	}
	for i := range pages {
		unit := coarser(&pages[i].Segment)
		into := pages[i].Segment
		into.Unit, into.Start = unit, unit.Start(into.Start)
		into.Usage = slices.Clone(into.Usage)
		n := 1
		for n < most && i+n < len(pages) {
			next := &pages[i+n].Segment
			if coarser(next) != unit || next.Unit > unit || !unit.Start(next.Start).Equal(into.Start) || next.First != into.Last+1 || unit == Hour {
				break
			}
			grown := into
			grown.Usage = slices.Clone(into.Usage)
			for _, c := range next.Usage {
				grown.Usage = AddUsage(grown.Usage, c.Class, c.Usage)
			}
			grown.Last, grown.Head = next.Last, next.Link()
			if RecordSize(grown.Team, grown.Usage) > set.MaxRecordBytes {
				break
			}
			into = grown
			n++
		}
		if n > 1 {
			into.Sum = set.Seal.Sum(&into)
			return &into, i, n
		}
	}
	return nil, 0, 0
}
