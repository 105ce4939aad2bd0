package election

import "time"

// promises are what this member has promised, and what it was promised. Their safety is
// argued for in docs/safety.md, "Promises".
type promises struct {
	to    bond      // what this member has promised
	until time.Time // it claims nothing before this
	token uint64    // of the leader that it has promised last
	seen  uint64    // the highest token that it knows of: lower ones are promised nothing

	free  map[string]bool      // other members that have said that they don't lead
	given map[string]time.Time // by member, until when it has promised this leader not to claim
	askAt time.Time
}

// bond is where a member stands with what it has promised.
type bond uint8

// The states of a member's bond.
const (
	bondFree bond = iota // it has promised nothing
	bondBorn             // an earlier life of its may have promised something
	bondHeld             // it has promised a leader not to claim
)

// move changes the bond; it is the only place that does.
func (p *promises) move(to bond, until time.Time) { p.to, p.until = to, until }

// begin starts a member without memory: until the longest promise of an earlier life has
// run out, or all others have said that they don't lead, it claims nothing.
func (p *promises) begin(now time.Time, s *Settings) {
	p.given, p.free = map[string]time.Time{}, map[string]bool{}
	if s.Promise > 0 && len(s.Others) > 0 {
		p.move(bondBorn, now.Add(s.Promise+s.Promise/1000+s.Margin))
	}
}

// bound tells whether this member may not claim now.
func (p *promises) bound(now time.Time) bool {
	if p.to != bondFree && !now.Before(p.until) {
		p.move(bondFree, time.Time{})
	}
	return p.to != bondFree
}

// open tells whether the others have to be asked whether they lead.
func (p *promises) open(now time.Time) bool { return p.bound(now) && p.to == bondBorn }

// unbound takes another member's word that it does not lead. What leads later is promised
// anew.
func (p *promises) unbound(s *Settings, member string) {
	if p.free[member] = true; p.to != bondBorn {
		return
	}
	for _, o := range s.Others {
		if !p.free[o] {
			return
		}
	}
	p.move(bondFree, time.Time{})
}

// elected begins a leadership: nothing was promised to it yet.
func (p *promises) elected(token uint64) {
	p.seen = max(p.seen, token)
	p.given, p.askAt = map[string]time.Time{}, time.Time{}
}

// have notes a member's promise, as it was asked for at a moment. It counts from the
// sending, which was before the member began to keep it.
func (p *promises) have(s *Settings, member string, sent time.Time) {
	if until := sent.Add(s.Promise - s.Promise/1000 - s.Margin); until.After(p.given[member]) {
		p.given[member] = until
	}
}

// proven is until when all other members have promised not to claim; zero: not all have.
func (p *promises) proven(s *Settings) (until time.Time) {
	if s.Promise == 0 || len(s.Others) == 0 {
		return time.Time{}
	}
	for i, o := range s.Others {
		at, ok := p.given[o]
		if !ok {
			return time.Time{}
		}
		if i == 0 || at.Before(until) {
			until = at
		}
	}
	return until
}

// Promise decides whether this member promises a leader not to claim, from now on for the
// time that is set. It does not while it claims or leads itself, nor to a leader of a
// token that is not the highest one it knows of.
func (m *Machine) Promise(now time.Time, leader string, token uint64) bool {
	p := &m.promises
	if m.set.Promise == 0 || m.state == Granting || m.state == Claiming || m.state == Leading || token < p.seen {
		return false
	}
	p.seen, p.token = token, token
	until := now.Add(m.set.Promise)
	if p.bound(now) && p.until.After(until) {
		until = p.until
	}
	p.move(bondHeld, until)
	m.leader = leader
	return true
}

// Released takes a leader's word that it needs the promise to it no more. One to a later
// leader stands.
func (m *Machine) Released(token uint64) {
	if p := &m.promises; p.to == bondHeld && p.token == token {
		p.move(bondFree, time.Time{})
	}
}

// Standing is where a member stands, for operators. Times are what is left of them; negative
// or zero: nothing.
type Standing struct {
	State    string
	Leader   string
	Token    uint64
	Lease    time.Duration            // of the right that rests on the lease
	Right    time.Duration            // of the right, by whatever proves it
	Each     time.Duration            // how long members promise at a time; 0: promises are off
	Promises map[string]time.Duration // by member, that was promised to this leader
	Bound    time.Duration            // in which this member claims nothing, for what it promised
}

// Standing tells where this member stands.
func (m *Machine) Standing(now time.Time) Standing {
	s := Standing{State: m.state.String(), Leader: m.leader, Token: m.token, Each: m.set.Promise, Promises: map[string]time.Duration{}}
	if m.state == Leading {
		s.Lease, s.Right = m.LeaseUntil().Sub(now), m.RightUntil().Sub(now)
		for o, until := range m.promises.given {
			s.Promises[o] = until.Sub(now)
		}
	}
	if m.promises.bound(now) {
		s.Bound = m.promises.until.Sub(now)
	}
	return s
}
