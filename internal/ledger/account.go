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
	Clean        State = iota + 1 // all that it holds is on record
	Charged                       // has charges that are not on record
	Sent                          // a settlement is on its way; later charges gather behind it
	Unreconciled                  // the record is not what the settlement went by: it has to be read
)

func (s State) String() string { return [...]string{"none", "clean", "charged", "sent", "doubted"}[s] }

var transitions = map[State][]State{
	0:            {Clean},
	Clean:        {Charged, Sent}, // Sent: a settlement that only writes down the decay
	Charged:      {Sent},
	Sent:         {Clean, Charged, Unreconciled},
	Unreconciled: {Clean, Charged, Sent},
}

// Account is one team's account, as its leader keeps it: what is on record, one
// settlement at most on its way, and what was charged since.
type Account struct {
	state   State
	record  OpenSegment // as it is on record, as far as is known
	version uint64      // of that record; 0: there is none

	pending           *Settlement
	unreconciledSince time.Time    // since when its record has to be read
	unreadable        bool         // its record cannot be read by this version: it is left as it is
	unsettled         []ClassUsage // charged, and neither on record nor on its way
	asOf              time.Time    // steady: decayed use is right as of then
}

// transition changes the account's state; it is the only place that does. It tells whether
// the change is allowed.
func (a *Account) transition(s State) bool {
	if a.state == s {
		return true
	}
	if !slices.Contains(transitions[a.state], s) {
		return false
	}
	a.state = s
	return true
}

// settledState is the state of an account that has nothing on its way.
func (a *Account) settledState() State {
	if len(a.unsettled) > 0 {
		return Charged
	}
	return Clean
}

// Settlement is one change of a team's record. It stays as it is however often it is
// sent: its condition, the version of the record that it follows, lets it be carried
// out once at most (docs/safety.md, "Ledger").
type Settlement struct {
	Version uint64 // of the record that it follows; 0: there must be none
	Open    OpenSegment
	Closed  *Segment // a page that it closes
	sentAt  time.Time
	charges []ClassUsage // what it charges
}

// Settings are what accounts go by.
type Settings struct {
	SettleInterval time.Duration // between settlements of one account
	HalfLife       time.Duration // half-life of decayed use
	Weights        Weights
	MaxRecordBytes int // bytes of a record
	Retention      Retention
	Seal           *Seal
}

// Accounts is the accounts of one leader, for one token. Instants go by the steady clock;
// the time of day only names pages.
type Accounts struct {
	settings     Settings
	fencingToken uint64
	start        time.Time
	byTeam       map[string]*Account
	nextCheck    time.Time // when accounts are looked through next
	unreconciled int       // accounts in doubt
}

// NewAccounts opens the book of a leader that has just taken over, from the records.
func NewAccounts(now time.Time, set Settings, token uint64, records []StoredAccount) *Accounts {
	b := &Accounts{settings: set, fencingToken: token, start: now, byTeam: map[string]*Account{}, nextCheck: now.Add(set.SettleInterval / checksPerSettleInterval)}
	for _, r := range records {
		a := b.account(now, r.Open.Team)
		a.record, a.version, a.unreadable = r.Open, r.Version, r.Err != nil
	}
	return b
}

// StoredAccount is a team's record with its version; 0: there is none.
type StoredAccount struct {
	Open    OpenSegment
	Version uint64
	Err     error // this version cannot read it: of the account only the team is known
}

func (b *Accounts) account(now time.Time, team string) *Account {
	a := b.byTeam[team]
	if a == nil {
		a = &Account{record: OpenSegment{Team: team, Number: 1}, asOf: now}
		a.transition(Clean)
		b.byTeam[team] = a
	}
	return a
}

// Instant is a moment of the steady clock, in whole milliseconds since the takeover.
// The differences of instants add up to the difference of the first and the last, so a
// span that is charged in parts is charged the same as in one.
func (b *Accounts) Instant(t time.Time) uint64 {
	return uint64(max(t.Sub(b.start)/time.Millisecond, 0))
}

// Charge adds an amount to a team's account.
func (b *Accounts) Charge(now time.Time, team, class string, u Usage) {
	if u == (Usage{}) {
		return
	}
	a := b.account(now, team)
	a.unsettled = AddUsage(a.unsettled, class, u)
	if a.state == Clean {
		a.transition(Charged)
	}
}

// DueTeams lists the teams whose accounts are to be settled now: those that have had charges
// for long enough, and those whose decay has not been written down for long. The latter
// guards against an idle team whose decayed use stands still through one takeover after
// another.
func (b *Accounts) DueTeams(now time.Time) []string {
	if now.Before(b.nextCheck) {
		return nil
	}
	b.nextCheck = now.Add(b.settings.SettleInterval / checksPerSettleInterval)
	var out []string
	for team, a := range b.byTeam {
		if a.unreadable {
			continue
		}
		if a.state == Charged && now.Sub(a.asOf) >= b.settings.SettleInterval || a.state == Clean && a.record.DecayedUsage > 0 && now.Sub(a.asOf) > b.settings.HalfLife/decayWritesPerHalfLife {
			out = append(out, team)
		}
	}
	slices.Sort(out)
	return out
}

// checksPerSettleInterval of the time between settlements pass between looks at what is due.
const checksPerSettleInterval = 2

// decayWritesPerHalfLife of a half-life pass at most before decay is written down.
const decayWritesPerHalfLife = 16

// NextCheck is when Due is to be asked next.
func (b *Accounts) NextCheck() time.Time { return b.nextCheck }

// Settle makes the settlement of a team's account; day is the time of day. nil: one is
// on its way, or the record cannot be read.
func (b *Accounts) Settle(now, day time.Time, team string) *Settlement {
	a := b.account(now, team)
	if a.unreadable || a.pending != nil || !a.transition(Sent) {
		return nil
	}
	s := &Settlement{Version: a.version, sentAt: now, Open: a.record}
	o := &s.Open
	o.Usage = slices.Clone(a.record.Usage)
	if hour := Hour.Start(day); len(o.Usage) == 0 {
		o.Start = hour
	} else if !hour.Equal(o.Start) || !b.fits(o, a.unsettled) {
		// Another hour, or no room for another class: the page is closed. A page
		// without room goes on under the same name with the next number.
		s.Closed = &Segment{Team: team, First: o.Number, Last: o.Number, Unit: Hour, Start: o.Start, Usage: o.Usage, Prev: o.Prev}
		s.Closed.Sum = b.settings.Seal.Sum(s.Closed)
		o.Number, o.Prev, o.Usage, o.Start = o.Number+1, s.Closed.Link(), nil, hour
	}
	var rest []ClassUsage
	var cost uint64
	for _, c := range a.unsettled {
		grown := AddUsage(slices.Clone(o.Usage), c.Class, c.Usage)
		if len(grown) > 1 && RecordSize(team, grown) > b.settings.MaxRecordBytes {
			rest = append(rest, c) // for the next page
			continue
		}
		o.Usage = grown
		s.charges = append(s.charges, c)
		cost += b.settings.Weights.cost(c.Usage)
	}
	o.DecayedUsage = decay(a.record.DecayedUsage, now.Sub(a.asOf), b.settings.HalfLife) + cost
	o.Settlements++
	o.FencingToken, o.SettledAt = b.fencingToken, day
	a.unsettled = rest
	a.pending = s
	return s
}

func (b *Accounts) fits(o *OpenSegment, delta []ClassUsage) bool {
	cells := slices.Clone(o.Usage)
	for _, c := range delta {
		cells = AddUsage(cells, c.Class, c.Usage)
	}
	return RecordSize(o.Team, cells) <= b.settings.MaxRecordBytes
}

// RecordSize bounds what the record of a page takes in its JSON form.
func RecordSize(team string, cells []ClassUsage) int {
	n := recordOverhead + jsonTextSize(team)
	for _, c := range cells {
		n += jsonTextSize(c.Class) + cellOverhead
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

// jsonTextSize bounds a text in JSON, where any letter may be escaped.
func jsonTextSize(s string) int {
	if strings.IndexFunc(s, func(r rune) bool {
		return r < ' ' || r > '~' || r == '"' || r == '\\' || r == '<' || r == '>' || r == '&'
	}) < 0 {
		return len(s) + 2
	}
	return 6*len(s) + 2
}

// Empty tells that a settlement says nothing that its record does not.
func (s *Settlement) Empty() bool { return s.Closed == nil && len(s.charges) == 0 }

// Discard takes back a settlement that was not sent.
func (b *Accounts) Discard(team string) {
	if a := b.byTeam[team]; a != nil && a.pending != nil && a.pending.Empty() {
		a.pending = nil
		a.transition(a.settledState())
	}
}

// SettlementCompleted notes that a settlement was carried out, and the version that the record has
// since.
func (b *Accounts) SettlementCompleted(team string, version uint64) {
	a := b.byTeam[team]
	if a == nil || a.pending == nil {
		return
	}
	a.record, a.version, a.asOf = a.pending.Open, version, a.pending.sentAt
	a.pending = nil
	a.transition(a.settledState())
}

// SettlementRefused notes that a settlement's condition did not hold: an earlier copy of it was
// carried out, or the record is not what this leader thinks. It has to be read.
func (b *Accounts) SettlementRefused(now time.Time, team string) {
	if a := b.byTeam[team]; a != nil && a.pending != nil && a.state != Unreconciled && a.transition(Unreconciled) {
		a.unreconciledSince = now
		b.unreconciled++
	}
}

// Unreconciled lists the teams whose records have to be read.
func (b *Accounts) Unreconciled() []string {
	if b.unreconciled == 0 {
		return nil // the rule
	}
	var out []string
	for team, a := range b.byTeam {
		if a.state == Unreconciled {
			out = append(out, team)
		}
	}
	slices.Sort(out)
	return out
}

// Reconcile takes the record of a team whose settlement is in doubt. Only this leader writes
// under its token, one settlement at a time, so the record either is that settlement or
// is what it was to follow. It returns the settlement to send once more, or nil where
// it was carried out. Anything else is a leader's record after this one's end, which this
// one is about to learn of, or somebody has changed it by hand: then the account goes on
// from there, and what was to be charged is charged with the next settlement. foreign
// tells so.
func (b *Accounts) Reconcile(team string, r StoredAccount) (again *Settlement, foreign bool) {
	a := b.byTeam[team]
	if a == nil || a.state != Unreconciled {
		return nil, false
	}
	b.unreconciled--
	switch {
	case r.Open.FencingToken == b.fencingToken && r.Open.Settlements == a.pending.Open.Settlements:
		b.SettlementCompleted(team, r.Version)
		return nil, false
	case r.Open.Settlements == a.pending.Open.Settlements-1:
		s := *a.pending
		s.Version = r.Version
		a.pending, a.version = &s, r.Version
		a.transition(Sent)
		return a.pending, false
	}
	for _, c := range a.pending.charges {
		a.unsettled = AddUsage(a.unsettled, c.Class, c.Usage)
	}
	a.record, a.version, a.pending = r.Open, r.Version, nil
	if r.Version == 0 {
		a.record = OpenSegment{Team: team, Number: 1}
	}
	a.transition(a.settledState())
	return nil, true
}

// HasPending tells that a settlement of the team is on its way or in doubt.
func (b *Accounts) HasPending(team string) bool {
	a := b.byTeam[team]
	return a != nil && a.pending != nil
}

// maxReconcileWait is how long anything else waits for an account whose record has to be read.
const maxReconcileWait = 2 * time.Second

// BlocksJobEnd tells that the end of a job of the team waits for its account. Guards against
// a record that cannot be read and keeps every job of its team from ending.
func (b *Accounts) BlocksJobEnd(now time.Time, team string) bool {
	a := b.byTeam[team]
	return a != nil && a.pending != nil && (a.state != Unreconciled || now.Sub(a.unreconciledSince) < maxReconcileWait)
}

// UnrecordedUsage is what a team has used that is not on record: it may be lost with this
// leader.
func (b *Accounts) UnrecordedUsage(team string) Usage {
	a := b.byTeam[team]
	if a == nil {
		return Usage{}
	}
	u := Total(a.unsettled)
	if a.pending != nil {
		u.Add(Total(a.pending.charges))
	}
	return u
}
