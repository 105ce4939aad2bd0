package election

import "time"

// promises are what this member has promised, and what it was promised. Their safety is
// argued for in docs/safety.md, "Promises".
type promises struct {
	to    bond      // what this member has promised
	until time.Time // it claims nothing before this
	born  time.Time // until here an earlier life of its may have promised something; zero: it has not
	at    time.Time // when it promised last
	name  string    // of the leader that it has promised last
	token uint64    // and that leader's token
	asked uint64    // the number of the leader's latest question that it has said yes to
	seen  uint64    // the highest token that it knows of: lower ones are promised nothing

	free    map[string]bool  // other members that have said that they don't lead
	given   map[string]given // by member, what it has promised this leader
	askAt   time.Time
	seq     uint64 // of the questions of this leadership
	waived  uint64 // questions up to this one count for nothing any more
	outages bool   // one since then was for longer than Promise
}

// given is what a member has promised a leader.
type given struct {
	until  time.Time // it claims nothing
	starts time.Time // and until here the leader starts tasks by it
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
	p.given, p.free = map[string]given{}, map[string]bool{}
	if s.Promise > 0 && len(s.Others) > 0 {
		longest := max(s.Promise, s.Outage)
		p.born = now.Add(longest + longest/1000 + s.Margin)
		p.move(bondBorn, p.born)
	}
}

// bound tells whether this member may not claim now.
func (p *promises) bound(now time.Time) bool {
	if p.to == bondHeld && !now.Before(p.until) {
		p.loose()
	}
	if p.to == bondBorn && !now.Before(p.until) {
		p.move(bondFree, time.Time{})
	}
	return p.to != bondFree
}

// loose ends what this life has promised. What an earlier one may have promised stands: guards
// against a stale leader that is promised something, steps down and gives back what the
// present one relies on.
func (p *promises) loose() {
	if p.born.IsZero() {
		p.move(bondFree, time.Time{})
	} else {
		p.move(bondBorn, p.born)
	}
}

// open tells whether the others have to be asked whether they lead.
func (p *promises) open(now time.Time) bool { return p.bound(now) && p.to == bondBorn }

// unbound takes another member's word, as it was asked for at a moment, that it does not lead.
// What leads later is promised anew: a promise binds nobody once the leader that it was given
// to has said so since.
func (p *promises) unbound(s *Settings, member string, sent time.Time) {
	p.free[member] = true
	if p.to == bondHeld && member == p.name && !sent.Before(p.at) {
		p.loose()
	}
	if p.to != bondBorn {
		return
	}
	for _, o := range s.Others {
		if !p.free[o] {
			return
		}
	}
	p.born = time.Time{}
	p.move(bondFree, time.Time{})
}

// elected begins a leadership: nothing was promised to it yet.
func (p *promises) elected(token uint64) {
	p.seen = max(p.seen, token)
	p.given, p.askAt = map[string]given{}, time.Time{}
	p.seq, p.waived, p.outages = 0, 0, false
}

// question is what the other members are asked for now, with the lease renewed as of a moment. While the
// state service is silent, nobody can take over whatever was promised: then it is asked for
// longer, so that a member that crashes meanwhile does not end the right soon after. Once the
// lease is renewed, what was promised for longer is waived before anything else is asked
// for, so that the others are not bound by it.
func (p *promises) question(now, renewed time.Time, s *Settings, token uint64) AskPromises {
	p.askAt = now.Add(s.Promise / 4)
	p.seq++
	q := AskPromises{Token: token, Seq: p.seq, For: s.Promise, Instead: !p.outages}
	if s.Outage > s.Promise && now.Sub(renewed) > s.Life/2 {
		q.For, q.Instead, p.outages = s.Outage, false, true
	}
	return q
}

// waive has what was promised for longer count for nothing any more, also what is still on its
// way. The lease was renewed: nothing rests on it.
func (p *promises) waive() {
	if p.outages {
		p.given, p.waived, p.outages, p.askAt = map[string]given{}, p.seq, false, time.Time{}
	}
}

// have notes a member's promise, as it was asked for at a moment. It counts from the
// sending, which was before the member began to keep it.
func (p *promises) have(s *Settings, ev PromiseBack) {
	if ev.Seq <= p.waived {
		return
	}
	long := ev.For
	if long == 0 {
		long = s.Promise // an old version, which promises for no other time
	}
	count := func(d time.Duration) time.Time { return ev.Sent.Add(d - d/1000 - s.Margin) }
	g := p.given[ev.Member]
	if until := count(long); until.After(g.until) {
		g.until = until
	}
	if starts := count(min(long, s.Promise)); starts.After(g.starts) {
		g.starts = starts
	}
	p.given[ev.Member] = g
}

// proven is until when all other members have promised not to claim, and until when tasks are
// started by that; zero: not all have.
func (p *promises) proven(s *Settings) (until, starts time.Time) {
	if s.Promise == 0 || len(s.Others) == 0 {
		return
	}
	for i, o := range s.Others {
		g, ok := p.given[o]
		if !ok {
			return time.Time{}, time.Time{}
		}
		if i == 0 || g.until.Before(until) {
			until = g.until
		}
		if i == 0 || g.starts.Before(starts) {
			starts = g.starts
		}
	}
	return until, starts
}

// Question is a leader's request for a promise.
type Question struct {
	Leader  string
	Token   uint64
	Seq     uint64        // numbers the questions of one leadership
	For     time.Duration // 0: an old version, which asks for Promise
	Instead bool          // the leader counts on nothing that it has asked for longer before
}

// Promise decides whether this member promises a leader not to claim, and for how long from now
// on; 0: not at all. It does not while it claims or leads itself, nor to a leader of a
// token that is not the highest one it knows of.
func (m *Machine) Promise(now time.Time, q Question) time.Duration {
	p := &m.promises
	if m.set.Promise == 0 || m.state == Granting || m.state == Claiming || m.state == Leading || q.Token < p.seen {
		return 0
	}
	if q.Token != p.token {
		p.asked = 0
	}
	long := min(q.For, max(m.set.Promise, m.set.Outage))
	if long == 0 {
		long = m.set.Promise
	}
	until := now.Add(long)
	// A question that was overtaken by a later one gives nothing back.
	if instead := q.Instead && q.Seq > p.asked; p.bound(now) && p.until.After(until) && !instead {
		until = p.until
	}
	p.seen, p.token, p.name, p.at, p.asked = q.Token, q.Token, q.Leader, now, max(p.asked, q.Seq)
	p.move(bondHeld, until)
	m.leader = q.Leader
	return long
}

// Released takes a leader's word that it needs the promise to it no more. One to a later
// leader stands.
func (m *Machine) Released(token uint64) {
	if p := &m.promises; p.to == bondHeld && p.token == token {
		p.loose()
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
		for o, g := range m.promises.given {
			s.Promises[o] = g.until.Sub(now)
		}
	}
	if m.promises.bound(now) {
		s.Bound = m.promises.until.Sub(now)
	}
	return s
}
