package ledger

import (
	"slices"
	"strings"
	"time"
)

// State is where a team's account stands with its leader.
type State uint8

// The states of an account.
const (
	Clean   State = iota + 1 // all that it holds is on record
	Charged                  // has charges that are not on record
	Sent                     // a settlement is on its way; later charges gather behind it
	Doubted                  // the record is not what the settlement went by: it has to be read
)

func (s State) String() string { return [...]string{"none", "clean", "charged", "sent", "doubted"}[s] }

var moves = map[State][]State{
	0:       {Clean},
	Clean:   {Charged, Sent}, // Sent: a settlement that only writes down the decay
	Charged: {Sent},
	Sent:    {Clean, Charged, Doubted},
	Doubted: {Clean, Charged, Sent},
}

// Account is one team's account, as its leader keeps it: what is on record, one
// settlement at most on its way, and what was charged since.
type Account struct {
	state   State
	open    Open   // as it is on record, as far as is known
	version uint64 // of that record; 0: there is none

	next  *Settlement
	doubt time.Time // since when its record has to be read
	shut  bool      // its record cannot be read by this version: it is left as it is
	delta []Cell    // charged, and neither on record nor on its way
	since time.Time // steady: decayed use is right as of then
}

// set changes the account's state; it is the only place that does. It tells whether
// the change is allowed.
func (a *Account) set(s State) bool {
	if a.state == s {
		return true
	}
	if !slices.Contains(moves[a.state], s) {
		return false
	}
	a.state = s
	return true
}

// rest is the state of an account that has nothing on its way.
func (a *Account) rest() State {
	if len(a.delta) > 0 {
		return Charged
	}
	return Clean
}

// Settlement is one change of a team's record. It stays as it is however often it is
// sent: its condition, the version of the record that it follows, lets it be carried
// out once at most (docs/safety.md, "Ledger").
type Settlement struct {
	Version uint64 // of the record that it follows; 0: there must be none
	Open    Open
	Closed  *Page // a page that it closes
	sentAt  time.Time
	charges []Cell // what it charges
}

// Settings are what accounts go by.
type Settings struct {
	Settle  time.Duration // between settlements of one account
	Half    time.Duration // half-life of decayed use
	Weights Weights
	Most    int // bytes of a record
	Keep    Retention
	Seal    *Seal
}

// Book is the accounts of one leader, for one token. Instants go by the steady clock;
// the time of day only names pages.
type Book struct {
	set   Settings
	token uint64
	start time.Time
	teams map[string]*Account
	due   time.Time // when accounts are looked through next
	doubt int       // accounts in doubt
}

// NewBook opens the book of a leader that has just taken over, from the records.
func NewBook(now time.Time, set Settings, token uint64, records []OnRecord) *Book {
	b := &Book{set: set, token: token, start: now, teams: map[string]*Account{}, due: now.Add(set.Settle / dueParts)}
	for _, r := range records {
		a := b.account(now, r.Open.Team)
		a.open, a.version, a.shut = r.Open, r.Version, r.Err != nil
	}
	return b
}

// OnRecord is a team's record with its version; 0: there is none.
type OnRecord struct {
	Open    Open
	Version uint64
	Err     error // this version cannot read it: of the account only the team is known
}

func (b *Book) account(now time.Time, team string) *Account {
	a := b.teams[team]
	if a == nil {
		a = &Account{open: Open{Team: team, Number: 1}, since: now}
		a.set(Clean)
		b.teams[team] = a
	}
	return a
}

// Instant is a moment of the steady clock, in whole milliseconds since the takeover.
// The differences of instants add up to the difference of the first and the last, so a
// span that is charged in parts is charged the same as in one.
func (b *Book) Instant(t time.Time) uint64 { return uint64(max(t.Sub(b.start)/time.Millisecond, 0)) }

// Charge adds an amount to a team's account.
func (b *Book) Charge(now time.Time, team, class string, u Use) {
	if u == (Use{}) {
		return
	}
	a := b.account(now, team)
	a.delta = AddTo(a.delta, class, u)
	if a.state == Clean {
		a.set(Charged)
	}
}

// Due lists the teams whose accounts are to be settled now: those that have had charges
// for long enough, and those whose decay has not been written down for long. The latter
// guards against an idle team whose decayed use stands still through one takeover after
// another.
func (b *Book) Due(now time.Time) []string {
	if now.Before(b.due) {
		return nil
	}
	b.due = now.Add(b.set.Settle / dueParts)
	var out []string
	for team, a := range b.teams {
		if a.shut {
			continue
		}
		if a.state == Charged && now.Sub(a.since) >= b.set.Settle || a.state == Clean && a.open.Decayed > 0 && now.Sub(a.since) > b.set.Half/decayParts {
			out = append(out, team)
		}
	}
	slices.Sort(out)
	return out
}

// dueParts of the time between settlements pass between looks at what is due.
const dueParts = 2

// decayParts of a half-life pass at most before decay is written down.
const decayParts = 16

// Wake is when Due is to be asked next.
func (b *Book) Wake() time.Time { return b.due }

// Settle makes the settlement of a team's account; day is the time of day. nil: one is
// on its way, or the record cannot be read.
func (b *Book) Settle(now, day time.Time, team string) *Settlement {
	a := b.account(now, team)
	if a.shut || a.next != nil || !a.set(Sent) {
		return nil
	}
	s := &Settlement{Version: a.version, sentAt: now, Open: a.open}
	o := &s.Open
	o.Cells = slices.Clone(a.open.Cells)
	if hour := Hour.Start(day); len(o.Cells) == 0 {
		o.From = hour
	} else if !hour.Equal(o.From) || !b.fits(o, a.delta) {
		// Another hour, or no room for another class: the page is closed. A page
		// without room goes on under the same name with the next number.
		s.Closed = &Page{Team: team, First: o.Number, Last: o.Number, Unit: Hour, From: o.From, Cells: o.Cells, Prev: o.Prev}
		s.Closed.Sum = b.set.Seal.Sum(s.Closed)
		o.Number, o.Prev, o.Cells, o.From = o.Number+1, s.Closed.Link(), nil, hour
	}
	var rest []Cell
	var cost uint64
	for _, c := range a.delta {
		grown := AddTo(slices.Clone(o.Cells), c.Class, c.Use)
		if len(grown) > 1 && Size(team, grown) > b.set.Most {
			rest = append(rest, c) // for the next page
			continue
		}
		o.Cells = grown
		s.charges = append(s.charges, c)
		cost += b.set.Weights.cost(c.Use)
	}
	o.Decayed = decay(a.open.Decayed, now.Sub(a.since), b.set.Half) + cost
	o.Settled++
	o.Token, o.At = b.token, day
	a.delta = rest
	a.next = s
	return s
}

func (b *Book) fits(o *Open, delta []Cell) bool {
	cells := slices.Clone(o.Cells)
	for _, c := range delta {
		cells = AddTo(cells, c.Class, c.Use)
	}
	return Size(o.Team, cells) <= b.set.Most
}

// Size bounds what the record of a page takes in its JSON form.
func Size(team string, cells []Cell) int {
	n := recordOverhead + text(team)
	for _, c := range cells {
		n += text(c.Class) + cellOverhead
		for _, v := range c.Numbers() {
			for n += 2; v >= 10; v /= 10 {
				n++
			}
		}
	}
	return n
}

const (
	recordOverhead = 400 // fields, two hashes, numbers of twenty digits
	cellOverhead   = 8
)

// text bounds a text in JSON, where any letter may be escaped.
func text(s string) int {
	if strings.IndexFunc(s, func(r rune) bool {
		return r < ' ' || r > '~' || r == '"' || r == '\\' || r == '<' || r == '>' || r == '&'
	}) < 0 {
		return len(s) + 2
	}
	return 6*len(s) + 2
}

// Empty tells that a settlement says nothing that its record does not.
func (s *Settlement) Empty() bool { return s.Closed == nil && len(s.charges) == 0 }

// Drop takes back a settlement that was not sent.
func (b *Book) Drop(team string) {
	if a := b.teams[team]; a != nil && a.next != nil && a.next.Empty() {
		a.next = nil
		a.set(a.rest())
	}
}

// Settled notes that a settlement was carried out, and the version that the record has
// since.
func (b *Book) Settled(team string, version uint64) {
	a := b.teams[team]
	if a == nil || a.next == nil {
		return
	}
	a.open, a.version, a.since = a.next.Open, version, a.next.sentAt
	a.next = nil
	a.set(a.rest())
}

// Refused notes that a settlement's condition did not hold: an earlier copy of it was
// carried out, or the record is not what this leader thinks. It has to be read.
func (b *Book) Refused(now time.Time, team string) {
	if a := b.teams[team]; a != nil && a.next != nil && a.state != Doubted && a.set(Doubted) {
		a.doubt = now
		b.doubt++
	}
}

// Doubts lists the teams whose records have to be read.
func (b *Book) Doubts() []string {
	if b.doubt == 0 {
		return nil // the rule
	}
	var out []string
	for team, a := range b.teams {
		if a.state == Doubted {
			out = append(out, team)
		}
	}
	slices.Sort(out)
	return out
}

// Read takes the record of a team whose settlement is in doubt. Only this leader writes
// under its token, one settlement at a time, so the record either is that settlement or
// is what it was to follow. It returns the settlement to send once more, or nil where
// it was carried out. Anything else is a leader's record after this one's end, which this
// one is about to learn of, or somebody has changed it by hand: then the account goes on
// from there, and what was to be charged is charged with the next settlement. foreign
// tells so.
func (b *Book) Read(team string, r OnRecord) (again *Settlement, foreign bool) {
	a := b.teams[team]
	if a == nil || a.state != Doubted {
		return nil, false
	}
	b.doubt--
	switch {
	case r.Open.Token == b.token && r.Open.Settled == a.next.Open.Settled:
		b.Settled(team, r.Version)
		return nil, false
	case r.Open.Settled == a.next.Open.Settled-1:
		s := *a.next
		s.Version = r.Version
		a.next, a.version = &s, r.Version
		a.set(Sent)
		return a.next, false
	}
	for _, c := range a.next.charges {
		a.delta = AddTo(a.delta, c.Class, c.Use)
	}
	a.open, a.version, a.next = r.Open, r.Version, nil
	if r.Version == 0 {
		a.open = Open{Team: team, Number: 1}
	}
	a.set(a.rest())
	return nil, true
}

// Busy tells that a settlement of the team is on its way or in doubt.
func (b *Book) Busy(team string) bool {
	a := b.teams[team]
	return a != nil && a.next != nil
}

// mostDoubt is how long anything else waits for an account whose record has to be read.
const mostDoubt = 2 * time.Second

// HoldsUp tells that the end of a job of the team waits for its account. Guards against
// a record that cannot be read and keeps every job of its team from ending.
func (b *Book) HoldsUp(now time.Time, team string) bool {
	a := b.teams[team]
	return a != nil && a.next != nil && (a.state != Doubted || now.Sub(a.doubt) < mostDoubt)
}

// Pending is what a team has used that is not on record: it may be lost with this
// leader.
func (b *Book) Pending(team string) Use {
	a := b.teams[team]
	if a == nil {
		return Use{}
	}
	u := Total(a.delta)
	if a.next != nil {
		u.Add(Total(a.next.charges))
	}
	return u
}
