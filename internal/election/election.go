// Package election decides who leads. It is a state machine without input or
// output: events go in with the time, effects come out. The argument for its
// safety is in docs/safety.md, "One leader".
package election

import (
	"log/slog"
	"time"

	"github.com/glentiller/glentiller/internal/featuregate"
)

// State is where this controller stands.
type State uint8

// The states of a controller in the election.
const (
	Following State = iota // somebody else leads, or nobody
	Looking                // reads who leads
	Granting               // asks for a lease
	Claiming               // tries to take the leader's key with that lease
	Leading                // holds the key; whether it may act depends on the time, see Entitled
)

func (s State) String() string {
	return [...]string{"following", "looking", "granting", "claiming", "leading"}[s]
}

// Settings are the election's times.
type Settings struct {
	Member string
	Life   time.Duration // of the leader's lease
	Margin time.Duration // by which the right to act ends before the lease can
	Look   time.Duration // between looks at who leads
	Retry  time.Duration // after a failed renewal

	Promise time.Duration // how long members promise a leader not to claim; 0: they promise nothing
	Outage  time.Duration // the same while the state service is silent; 0: no longer
	Others  []string      // the other members

	Can featuregate.Level // the highest level that this program knows
}

// Record is the content of the leader's keys.
type Record struct {
	Held         bool // somebody holds the leader's key
	Leader       string
	Lease        uint64
	Token        uint64 // the last one given out
	TokenVersion uint64
	Level        featuregate.Level // in force; 0: there is no record of it
	LevelVersion uint64
}

// Event is what happens to the election.
type Event interface{ electionEvent() }

// The events.
type (
	Tick   struct{}
	Looked struct { // the leader's keys were read, or a watch has shown them
		Record Record
		Err    error
	}
	Vacant  struct{} // a watch has shown that nobody holds the leader's key
	Granted struct {
		Lease uint64
		Sent  time.Time
		Err   error
	}
	Claimed struct {
		OK      bool
		Version uint64 // of the token's key
		Err     error
	}
	Touched struct {
		Lease uint64
		Sent  time.Time
		Lost  bool // the lease is over
		Err   error
	}
	// Fenced: a transaction of this leader failed on the token's version.
	Fenced struct{ Token uint64 }
	// Rewritten: this leader has written its token's record anew.
	Rewritten struct{ Token, Version uint64 }
	// Resign: step down in order.
	Resign struct{}
	// Raising: this member has seen that the level may be raised to this by the next claim; 0: no
	// more. Again tells a leader to give up the leadership for it, and to stand again at once.
	Raising struct {
		To    featuregate.Level
		Again bool
	}
	// PromiseBack: a member has promised this leader not to claim, as asked at Sent.
	PromiseBack struct {
		Member string
		Token  uint64
		Sent   time.Time
		Seq    uint64        // of the question
		For    time.Duration // for how long; 0: an old version, for Promise
	}
	// Unbound: another member, as asked at Sent, has said that it does not lead, so that
	// nothing that this member promised it before counts.
	Unbound struct {
		Member string
		Sent   time.Time
	}
)

func (Tick) electionEvent()    {}
func (Looked) electionEvent()  {}
func (Vacant) electionEvent()  {}
func (Granted) electionEvent() {}
func (Claimed) electionEvent() {}
func (Touched) electionEvent() {}
func (Fenced) electionEvent()  {}
func (Resign) electionEvent()  {}
func (Raising) electionEvent() {}

func (Rewritten) electionEvent()   {}
func (PromiseBack) electionEvent() {}
func (Unbound) electionEvent()     {}

// Effect is what the election wants done.
type Effect interface{ electionEffect() }

// The effects. Each of Look, Grant, Claim and Touch is answered by its event.
type (
	Look  struct{}
	Grant struct{ Life time.Duration }
	Claim struct {
		Lease, Token, TokenVersion uint64
		LevelVersion               uint64
		Raise                      featuregate.Level // to be written as the level in force; 0: none is
	}
	Touch   struct{ Lease uint64 }
	Drop    struct{ Lease uint64 }
	Elected struct{ Token, TokenVersion uint64 }
	Deposed struct{}
	// AskPromises asks all other members for their promise to this leader.
	AskPromises struct {
		Token, Seq uint64
		For        time.Duration
		Instead    bool // nothing that was asked for longer before counts any more
	}
	// AskUnbound asks the other members whether they lead.
	AskUnbound struct{}
	// Release tells the others that this leader needs their promises no more.
	Release struct{ Token uint64 }
)

func (Look) electionEffect()    {}
func (Grant) electionEffect()   {}
func (Claim) electionEffect()   {}
func (Touch) electionEffect()   {}
func (Drop) electionEffect()    {}
func (Elected) electionEffect() {}
func (Deposed) electionEffect() {}

func (AskPromises) electionEffect() {}
func (AskUnbound) electionEffect()  {}
func (Release) electionEffect()     {}

// Machine is the state of the election at one controller.
type Machine struct {
	set   Settings
	log   *slog.Logger
	state State

	leader   string
	next     time.Time // of the next look or renewal
	lease    uint64
	sent     time.Time // when the lease was asked for, or its last successful renewal sent
	token    uint64
	version  uint64
	touching bool
	holdOff  time.Time // do not stand before this

	level        featuregate.Level // in force, the highest that was ever read: it never falls
	levelRead    featuregate.Level // what the record said last
	levelVersion uint64
	raise        featuregate.Level // what the next claim may raise it to
	writes       featuregate.Level // what the claim that is out writes; 0: nothing

	promises promises
}

// New makes the state machine. now is the moment from which an earlier life of the
// process is certainly over.
func New(now time.Time, s Settings, log *slog.Logger) *Machine {
	m := &Machine{set: s, log: log}
	m.promises.begin(now, &m.set)
	return m
}

// State returns where this controller stands.
func (m *Machine) State() State { return m.state }

// Leader returns who leads as far as this controller knows; empty: unknown.
func (m *Machine) Leader() string { return m.leader }

// Token is the token of this controller's leadership.
func (m *Machine) Token() uint64 { return m.token }

// Version is the version of that token's record.
func (m *Machine) Version() uint64 { return m.version }

// RightUntil is when the right to act ends unless a renewal succeeds before.
// It counts from the sending of the last renewal that succeeded, less the drift
// of the clocks and a margin. Zero: no right.
//
// Promises of all other members may extend it: docs/safety.md, "Promises".
func (m *Machine) RightUntil() time.Time {
	until := m.LeaseUntil()
	if m.state == Leading {
		if p, _ := m.promises.proven(&m.set); p.After(until) {
			return p
		}
	}
	return until
}

// StartsUntil is until when tasks may be started by the right. It is no later than the right,
// and earlier where that rests on a promise for longer than Promise: a member that
// has answered nothing for so long may have told users of cancellations since.
func (m *Machine) StartsUntil() time.Time {
	until := m.LeaseUntil()
	if m.state == Leading {
		if _, starts := m.promises.proven(&m.set); starts.After(until) {
			return starts
		}
	}
	return until
}

// LeaseUntil is when the part of the right ends that rests on the lease.
func (m *Machine) LeaseUntil() time.Time {
	if m.state != Leading {
		return time.Time{}
	}
	return m.Proves(m.sent)
}

// Proves is until when a renewal that was sent at a moment, and succeeds, proves the right to
// act: the lease's length from the sending, less the drift of the clocks and a margin. It
// reads nothing that changes.
func (m *Machine) Proves(sent time.Time) time.Time {
	return sent.Add(m.set.Life - m.set.Life/1000 - m.set.Margin)
}

// Lease is the lease that this controller's leadership hangs on.
func (m *Machine) Lease() uint64 { return m.lease }

// Life is how long a leader's lease lasts.
func (m *Machine) Life() time.Duration { return m.set.Life }

// Entitled tells whether this controller may act for all at the time.
func (m *Machine) Entitled(now time.Time) bool {
	return m.state == Leading && now.Before(m.RightUntil())
}

// Wake is when the next Tick is due.
func (m *Machine) Wake() time.Time {
	if m.promises.to == bondBorn && m.state <= Looking && m.promises.askAt.Before(m.next) {
		return m.promises.askAt
	}
	return m.next
}

// to changes the state; it is the only place that does.
func (m *Machine) to(s State, next time.Time) {
	if m.state != s && (s == Leading || m.state == Leading) {
		m.log.Info("election", "from", m.state.String(), "to", s.String(), "token", m.token)
	}
	m.state, m.next = s, next
}

// Step takes an event.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case Tick:
		return m.tick(now)
	case Vacant:
		if m.state == Following {
			m.leader = ""
			m.next = now
			return m.tick(now)
		}
	case Looked:
		return m.looked(now, ev)
	case Granted:
		if m.state != Granting {
			if ev.Err == nil {
				return []Effect{Drop{ev.Lease}}
			}
			return nil
		}
		if ev.Err != nil {
			m.to(Following, now.Add(m.set.Retry))
			return nil
		}
		if m.promises.bound(now) {
			m.to(Following, now.Add(m.set.Retry/2))
			return []Effect{Drop{ev.Lease}}
		}
		m.lease, m.sent = ev.Lease, ev.Sent
		m.to(Claiming, now.Add(m.set.Life))
		return []Effect{m.claim(ev.Lease)}
	case Claimed:
		return m.claimed(now, ev)
	case Touched:
		return m.touched(now, ev)
	case Fenced:
		if m.state == Leading && ev.Token == m.token {
			m.log.Warn("another leader has taken over")
			return m.depose(now)
		}
	case Rewritten:
		if m.state == Leading && ev.Token == m.token {
			m.version = max(m.version, ev.Version)
		}
	case Resign:
		if m.state == Leading {
			m.holdOff = now.Add(2 * m.set.Life)
			return m.depose(now)
		}
	case Raising:
		m.raise = ev.To
		if ev.Again && m.state == Leading {
			return m.depose(now)
		}
	case PromiseBack:
		// Only while the right has not lapsed: once it has, somebody else may have led
		// since, and this leader's picture may be old. Its lease alone can tell.
		if m.state == Leading && ev.Token == m.token && m.Entitled(now) {
			m.promises.have(&m.set, ev)
		}
	case Unbound:
		m.promises.unbound(&m.set, ev.Member, ev.Sent)
	}
	return nil
}

// claim asks for the leadership, and where that may be with the next level. A record of the level
// that is lost, or that has been put back, is written again: docs/safety.md, "Levels".
func (m *Machine) claim(lease uint64) Claim {
	c := Claim{Lease: lease, Token: m.token + 1, TokenVersion: m.version, LevelVersion: m.levelVersion}
	if to := max(m.level, min(m.raise, m.set.Can)); to > m.levelRead {
		c.Raise = to
	}
	m.writes = c.Raise
	return c
}

// Level is the level in force as this member knows it: what it has read last, or has raised
// itself. It never falls.
func (m *Machine) Level() featuregate.Level { return m.level }

func (m *Machine) tick(now time.Time) []Effect {
	var out []Effect
	if m.asks(now) && !now.Before(m.promises.askAt) {
		// Also between looks. Guards against members that start together, of which the
		// first asks before the others answer, and then not for seconds.
		m.promises.askAt = now.Add(m.set.Retry)
		out = append(out, AskUnbound{})
	}
	if now.Before(m.next) {
		return out
	}
	switch m.state {
	case Following:
		m.to(Looking, now.Add(m.set.Life))
		return append(out, Look{})
	case Leading:
		if m.set.Promise > 0 && !now.Before(m.promises.askAt) {
			out = append(out, m.promises.question(now, m.sent, &m.set, m.token))
		}
		if m.touching {
			m.next = now.Add(m.set.Retry)
			return out
		}
		m.touching = true
		m.next = now.Add(m.set.Life / 4)
		return append(out, Touch{m.lease})
	default: // an answer is overdue; every effect is answered, so only wait on
		m.next = now.Add(m.set.Retry)
	}
	return out
}

// asks tells whether a member without memory still has to ask the others whether they lead.
func (m *Machine) asks(now time.Time) bool {
	return (m.state == Following || m.state == Looking) && m.promises.open(now)
}

func (m *Machine) looked(now time.Time, ev Looked) []Effect {
	if m.state == Leading {
		return nil
	}
	if ev.Err != nil {
		if m.state == Looking {
			m.to(Following, now.Add(m.set.Retry))
		}
		return nil
	}
	r := ev.Record
	m.leader = ""
	if r.Held {
		m.leader = r.Leader
	}
	m.promises.seen = max(m.promises.seen, r.Token)
	if r.Level > m.level {
		m.log.Info("level in force", "from", m.level, "to", r.Level, "known", m.set.Can)
		m.level = r.Level
	}
	if m.state != Looking {
		return nil
	}
	switch {
	case r.Held && r.Leader == m.set.Member:
		// Guards against waiting for a lease that an earlier life of this very
		// process has left behind: that process is dead, nobody acts on it.
		m.leader = ""
		m.to(Following, now.Add(m.set.Retry/4))
		return []Effect{Drop{r.Lease}}
	case r.Held, m.level > m.set.Can:
		// Under a level that this program does not know it never leads.
		m.to(Following, now.Add(m.set.Look))
	case m.promises.bound(now):
		m.to(Following, now.Add(m.set.Retry))
		if m.set.Outage > 0 && m.promises.to == bondHeld && !now.Before(m.promises.askAt) {
			// Nobody holds the key, and this member is bound to somebody: does that one still
			// lead? Guards against a long wait after a leader that has crashed in an outage.
			m.promises.askAt = now.Add(m.set.Retry)
			return []Effect{AskUnbound{}}
		}
	case now.Before(m.holdOff):
		m.to(Following, now.Add(m.set.Retry))
	default:
		m.token, m.version = r.Token, r.TokenVersion
		m.levelRead, m.levelVersion = r.Level, r.LevelVersion
		m.to(Granting, now.Add(m.set.Life))
		return []Effect{Grant{m.set.Life}}
	}
	return nil
}

func (m *Machine) claimed(now time.Time, ev Claimed) []Effect {
	if m.state != Claiming {
		return nil
	}
	if !ev.OK {
		// Lost the race, or the outcome is unknown. Dropping the lease undoes a
		// claim that was carried out and kills one that comes late.
		lease := m.lease
		m.lease = 0
		m.to(Following, now.Add(m.set.Retry/2))
		return []Effect{Drop{lease}}
	}
	m.token, m.version = m.token+1, ev.Version
	if m.writes > m.level {
		m.log.Info("level raised", "from", m.level, "to", m.writes, "token", m.token)
		m.level = m.writes
	}
	m.promises.elected(m.token)
	m.leader = m.set.Member
	m.touching = false
	m.to(Leading, m.sent.Add(m.set.Life/4))
	return []Effect{Elected{Token: m.token, TokenVersion: m.version}}
}

func (m *Machine) touched(now time.Time, ev Touched) []Effect {
	if m.state != Leading || ev.Lease != m.lease {
		return nil
	}
	m.touching = false
	switch {
	case ev.Lost:
		m.log.Warn("the leader's lease is over")
		return m.depose(now)
	case ev.Err != nil:
		m.next = now.Add(m.set.Retry)
	default:
		if ev.Sent.After(m.sent) {
			m.sent = ev.Sent
		}
		if now.Before(m.LeaseUntil()) {
			m.promises.waive()
		}
		m.next = ev.Sent.Add(m.set.Life / 4)
	}
	return nil
}

func (m *Machine) depose(now time.Time) []Effect {
	lease := m.lease
	m.leader, m.lease, m.touching = "", 0, false
	m.to(Following, now.Add(m.set.Retry))
	if m.set.Promise > 0 {
		return []Effect{Deposed{}, Drop{lease}, Release{m.token}}
	}
	return []Effect{Deposed{}, Drop{lease}}
}
