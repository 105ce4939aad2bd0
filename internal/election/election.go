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
	Following      State = iota // somebody else leads, or nobody
	ReadingLeader               // reads who leads
	AcquiringLease              // asks for a lease
	Claiming                    // tries to take the leader's key with that lease
	Leading                     // holds the key; whether it may act depends on the time, see Entitled
)

func (s State) String() string {
	return [...]string{"following", "looking", "granting", "claiming", "leading"}[s]
}

// Settings are the election's times.
type Settings struct {
	Member        string
	LeaseDuration time.Duration // of the leader's lease
	SafetyMargin  time.Duration // by which the right to act ends before the lease can
	PollInterval  time.Duration // between looks at who leads
	RetryInterval time.Duration // after a failed renewal

	VoteDuration       time.Duration // how long members promise a leader not to claim; 0: they promise nothing
	OutageVoteDuration time.Duration // the same while the state service is silent; 0: no longer
	Peers              []string      // the other members

	MaxLevel featuregate.Level // the highest level that this program knows
}

// Record is the content of the leader's keys.
type Record struct {
	Held         bool // somebody holds the leader's key
	Leader       string
	LeaseID      uint64
	FencingToken uint64 // the last one given out
	TokenVersion uint64
	Level        featuregate.Level // in force; 0: there is no record of it
	LevelVersion uint64
}

// Event is what happens to the election.
type Event interface{ electionEvent() }

// The events.
type (
	Tick       struct{}
	RecordRead struct { // the leader's keys were read, or a watch has shown them
		Record Record
		Err    error
	}
	LeaderKeyVacant struct{} // a watch has shown that nobody holds the leader's key
	LeaseGranted    struct {
		LeaseID uint64
		Sent    time.Time
		Err     error
	}
	ClaimCompleted struct {
		OK           bool
		TokenVersion uint64 // of the token's key
		Err          error
	}
	LeaseRenewed struct {
		LeaseID uint64
		Sent    time.Time
		Expired bool // the lease is over
		Err     error
	}
	// Fenced: a transaction of this leader failed on the token's version.
	Fenced struct{ FencingToken uint64 }
	// TokenRewritten: this leader has written its token's record anew.
	TokenRewritten struct{ FencingToken, TokenVersion uint64 }
	// Resign: step down in order.
	Resign struct{}
	// ProposeLevel: this member has seen that the level may be raised to this by the next claim; 0: no
	// more. Again tells a leader to give up the leadership for it, and to stand again at once.
	ProposeLevel struct {
		Level    featuregate.Level
		StepDown bool
	}
	// VoteReceived: a member has promised this leader not to claim, as asked at Sent.
	VoteReceived struct {
		Member       string
		FencingToken uint64
		Sent         time.Time
		Seq          uint64        // of the question
		Duration     time.Duration // for how long; 0: an old version, for Promise
	}
	// NotLeadingReceived: another member, as asked at Sent, has said that it does not lead, so that
	// nothing that this member promised it before counts.
	NotLeadingReceived struct {
		Member string
		Sent   time.Time
	}
)

func (Tick) electionEvent()            {}
func (RecordRead) electionEvent()      {}
func (LeaderKeyVacant) electionEvent() {}
func (LeaseGranted) electionEvent()    {}
func (ClaimCompleted) electionEvent()  {}
func (LeaseRenewed) electionEvent()    {}
func (Fenced) electionEvent()          {}
func (Resign) electionEvent()          {}
func (ProposeLevel) electionEvent()    {}

func (TokenRewritten) electionEvent()     {}
func (VoteReceived) electionEvent()       {}
func (NotLeadingReceived) electionEvent() {}

// Effect is what the election wants done.
type Effect interface{ electionEffect() }

// The effects. Each of Look, Grant, Claim and Touch is answered by its event.
type (
	ReadRecord struct{}
	GrantLease struct{ Duration time.Duration }
	Claim      struct {
		LeaseID, FencingToken, TokenVersion uint64
		LevelVersion                        uint64
		NewLevel                            featuregate.Level // to be written as the level in force; 0: none is
	}
	RenewLease  struct{ LeaseID uint64 }
	RevokeLease struct{ LeaseID uint64 }
	Elected     struct{ FencingToken, TokenVersion uint64 }
	Deposed     struct{}
	// RequestVotes asks all other members for their promise to this leader.
	RequestVotes struct {
		FencingToken, Seq uint64
		Duration          time.Duration
		Supersedes        bool // nothing that was asked for longer before counts any more
	}
	// QueryLeadership asks the other members whether they lead.
	QueryLeadership struct{}
	// ReleaseVotes tells the others that this leader needs their promises no more.
	ReleaseVotes struct{ FencingToken uint64 }
)

func (ReadRecord) electionEffect()  {}
func (GrantLease) electionEffect()  {}
func (Claim) electionEffect()       {}
func (RenewLease) electionEffect()  {}
func (RevokeLease) electionEffect() {}
func (Elected) electionEffect()     {}
func (Deposed) electionEffect()     {}

func (RequestVotes) electionEffect()    {}
func (QueryLeadership) electionEffect() {}
func (ReleaseVotes) electionEffect()    {}

// StateMachine is the state of the election at one controller.
type StateMachine struct {
	settings Settings
	log      *slog.Logger
	state    State

	leader        string
	nextActionAt  time.Time // of the next look or renewal
	leaseID       uint64
	renewalSentAt time.Time // when the lease was asked for, or its last successful renewal sent
	fencingToken  uint64
	tokenVersion  uint64
	renewing      bool
	noClaimBefore time.Time // do not stand before this

	level         featuregate.Level // in force, the highest that was ever read: it never falls
	recordedLevel featuregate.Level // what the record said last
	levelVersion  uint64
	proposedLevel featuregate.Level // what the next claim may raise it to
	claimedLevel  featuregate.Level // what the claim that is out writes; 0: nothing

	votes votes
}

// New makes the state machine. now is the moment from which an earlier life of the
// process is certainly over.
func New(now time.Time, s Settings, log *slog.Logger) *StateMachine {
	m := &StateMachine{settings: s, log: log}
	m.votes.recover(now, &m.settings)
	return m
}

// State returns where this controller stands.
func (m *StateMachine) State() State { return m.state }

// Leader returns who leads as far as this controller knows; empty: unknown.
func (m *StateMachine) Leader() string { return m.leader }

// FencingToken is the token of this controller's leadership.
func (m *StateMachine) FencingToken() uint64 { return m.fencingToken }

// TokenVersion is the version of that token's record.
func (m *StateMachine) TokenVersion() uint64 { return m.tokenVersion }

// ValidUntil is when the right to act ends unless a renewal succeeds before.
// It counts from the sending of the last renewal that succeeded, less the drift
// of the clocks and a margin. Zero: no right.
//
// Promises of all other members may extend it: docs/safety.md, "Promises".
func (m *StateMachine) ValidUntil() time.Time {
	until := m.LeaseValidUntil()
	if m.state == Leading {
		if p, _ := m.votes.unanimousUntil(&m.settings); p.After(until) {
			return p
		}
	}
	return until
}

// StartsValidUntil is until when tasks may be started by the right. It is no later than the right,
// and earlier where that rests on a promise for longer than Promise: a member that
// has answered nothing for so long may have told users of cancellations since.
func (m *StateMachine) StartsValidUntil() time.Time {
	until := m.LeaseValidUntil()
	if m.state == Leading {
		if _, starts := m.votes.unanimousUntil(&m.settings); starts.After(until) {
			return starts
		}
	}
	return until
}

// LeaseValidUntil is when the part of the right ends that rests on the lease.
func (m *StateMachine) LeaseValidUntil() time.Time {
	if m.state != Leading {
		return time.Time{}
	}
	return m.RenewalValidUntil(m.renewalSentAt)
}

// RenewalValidUntil is until when a renewal that was sent at a moment, and succeeds, proves the right to
// act: the lease's length from the sending, less the drift of the clocks and a margin. It
// reads nothing that changes.
func (m *StateMachine) RenewalValidUntil(sent time.Time) time.Time {
	return sent.Add(m.settings.LeaseDuration - m.settings.LeaseDuration/1000 - m.settings.SafetyMargin)
}

// LeaseID is the lease that this controller's leadership hangs on.
func (m *StateMachine) LeaseID() uint64 { return m.leaseID }

// LeaseDuration is how long a leader's lease lasts.
func (m *StateMachine) LeaseDuration() time.Duration { return m.settings.LeaseDuration }

// LeadershipValid tells whether this controller may act for all at the time.
func (m *StateMachine) LeadershipValid(now time.Time) bool {
	return m.state == Leading && now.Before(m.ValidUntil())
}

// NextTick is when the next Tick is due.
func (m *StateMachine) NextTick() time.Time {
	if m.votes.state == voteRecovering && m.state <= ReadingLeader && m.votes.nextRequestAt.Before(m.nextActionAt) {
		return m.votes.nextRequestAt
	}
	return m.nextActionAt
}

// transition changes the state; it is the only place that does.
func (m *StateMachine) transition(s State, next time.Time) {
	if m.state != s && (s == Leading || m.state == Leading) {
		m.log.Info("election", "from", m.state.String(), "to", s.String(), "token", m.fencingToken)
	}
	m.state, m.nextActionAt = s, next
}

// Step takes an event.
func (m *StateMachine) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case Tick:
		return m.tick(now)
	case LeaderKeyVacant:
		if m.state == Following {
			m.leader = ""
			m.nextActionAt = now
			return m.tick(now)
		}
	case RecordRead:
		return m.recordRead(now, ev)
	case LeaseGranted:
		if m.state != AcquiringLease {
			if ev.Err == nil {
				return []Effect{RevokeLease{ev.LeaseID}}
			}
			return nil
		}
		if ev.Err != nil {
			m.transition(Following, now.Add(m.settings.RetryInterval))
			return nil
		}
		if m.votes.blocksClaim(now) {
			m.transition(Following, now.Add(m.settings.RetryInterval/2))
			return []Effect{RevokeLease{ev.LeaseID}}
		}
		m.leaseID, m.renewalSentAt = ev.LeaseID, ev.Sent
		m.transition(Claiming, now.Add(m.settings.LeaseDuration))
		return []Effect{m.newClaim(ev.LeaseID)}
	case ClaimCompleted:
		return m.claimCompleted(now, ev)
	case LeaseRenewed:
		return m.leaseRenewed(now, ev)
	case Fenced:
		if m.state == Leading && ev.FencingToken == m.fencingToken {
			m.log.Warn("another leader has taken over")
			return m.stepDown(now)
		}
	case TokenRewritten:
		if m.state == Leading && ev.FencingToken == m.fencingToken {
			m.tokenVersion = max(m.tokenVersion, ev.TokenVersion)
		}
	case Resign:
		if m.state == Leading {
			m.noClaimBefore = now.Add(2 * m.settings.LeaseDuration)
			return m.stepDown(now)
		}
	case ProposeLevel:
		m.proposedLevel = ev.Level
		if ev.StepDown && m.state == Leading {
			return m.stepDown(now)
		}
	case VoteReceived:
		// Only while the right has not lapsed: once it has, somebody else may have led
		// since, and this leader's picture may be old. Its lease alone can tell.
		if m.state == Leading && ev.FencingToken == m.fencingToken && m.LeadershipValid(now) {
			m.votes.record(&m.settings, ev)
		}
	case NotLeadingReceived:
		m.votes.peerNotLeading(&m.settings, ev.Member, ev.Sent)
	}
	return nil
}

// newClaim asks for the leadership, and where that may be with the next level. A record of the level
// that is lost, or that has been put back, is written again: docs/safety.md, "Levels".
func (m *StateMachine) newClaim(lease uint64) Claim {
	c := Claim{LeaseID: lease, FencingToken: m.fencingToken + 1, TokenVersion: m.tokenVersion, LevelVersion: m.levelVersion}
	if to := max(m.level, min(m.proposedLevel, m.settings.MaxLevel)); to > m.recordedLevel {
		c.NewLevel = to
	}
	m.claimedLevel = c.NewLevel
	return c
}

// Level is the level in force as this member knows it: what it has read last, or has raised
// itself. It never falls.
func (m *StateMachine) Level() featuregate.Level { return m.level }

func (m *StateMachine) tick(now time.Time) []Effect {
	var out []Effect
	if m.mustQueryLeadership(now) && !now.Before(m.votes.nextRequestAt) {
		// Also between looks. Guards against members that start together, of which the
		// first asks before the others answer, and then not for seconds.
		m.votes.nextRequestAt = now.Add(m.settings.RetryInterval)
		out = append(out, QueryLeadership{})
	}
	if now.Before(m.nextActionAt) {
		return out
	}
	switch m.state {
	case Following:
		m.transition(ReadingLeader, now.Add(m.settings.LeaseDuration))
		return append(out, ReadRecord{})
	case Leading:
		if m.settings.VoteDuration > 0 && !now.Before(m.votes.nextRequestAt) {
			out = append(out, m.votes.nextRequest(now, m.renewalSentAt, &m.settings, m.fencingToken))
		}
		if m.renewing {
			m.nextActionAt = now.Add(m.settings.RetryInterval)
			return out
		}
		m.renewing = true
		m.nextActionAt = now.Add(m.settings.LeaseDuration / 4)
		return append(out, RenewLease{m.leaseID})
	default: // an answer is overdue; every effect is answered, so only wait on
		m.nextActionAt = now.Add(m.settings.RetryInterval)
	}
	return out
}

// mustQueryLeadership tells whether a member without memory still has to ask the others whether they lead.
func (m *StateMachine) mustQueryLeadership(now time.Time) bool {
	return (m.state == Following || m.state == ReadingLeader) && m.votes.recovering(now)
}

func (m *StateMachine) recordRead(now time.Time, ev RecordRead) []Effect {
	if m.state == Leading {
		return nil
	}
	if ev.Err != nil {
		if m.state == ReadingLeader {
			m.transition(Following, now.Add(m.settings.RetryInterval))
		}
		return nil
	}
	r := ev.Record
	m.leader = ""
	if r.Held {
		m.leader = r.Leader
	}
	m.votes.highestToken = max(m.votes.highestToken, r.FencingToken)
	if r.Level > m.level {
		m.log.Info("level in force", "from", m.level, "to", r.Level, "known", m.settings.MaxLevel)
		m.level = r.Level
	}
	if m.state != ReadingLeader {
		return nil
	}
	switch {
	case r.Held && r.Leader == m.settings.Member:
		// Guards against waiting for a lease that an earlier life of this very
		// process has left behind: that process is dead, nobody acts on it.
		m.leader = ""
		m.transition(Following, now.Add(m.settings.RetryInterval/4))
		return []Effect{RevokeLease{r.LeaseID}}
	case r.Held, m.level > m.settings.MaxLevel:
		// Under a level that this program does not know it never leads.
		m.transition(Following, now.Add(m.settings.PollInterval))
	case m.votes.blocksClaim(now):
		m.transition(Following, now.Add(m.settings.RetryInterval))
		if m.settings.OutageVoteDuration > 0 && m.votes.state == voteCast && !now.Before(m.votes.nextRequestAt) {
			// Nobody holds the key, and this member is bound to somebody: does that one still
			// lead? Guards against a long wait after a leader that has crashed in an outage.
			m.votes.nextRequestAt = now.Add(m.settings.RetryInterval)
			return []Effect{QueryLeadership{}}
		}
	case now.Before(m.noClaimBefore):
		m.transition(Following, now.Add(m.settings.RetryInterval))
	default:
		m.fencingToken, m.tokenVersion = r.FencingToken, r.TokenVersion
		m.recordedLevel, m.levelVersion = r.Level, r.LevelVersion
		m.transition(AcquiringLease, now.Add(m.settings.LeaseDuration))
		return []Effect{GrantLease{m.settings.LeaseDuration}}
	}
	return nil
}

func (m *StateMachine) claimCompleted(now time.Time, ev ClaimCompleted) []Effect {
	if m.state != Claiming {
		return nil
	}
	if !ev.OK {
		// Lost the race, or the outcome is unknown. Dropping the lease undoes a
		// claim that was carried out and kills one that comes late.
		lease := m.leaseID
		m.leaseID = 0
		m.transition(Following, now.Add(m.settings.RetryInterval/2))
		return []Effect{RevokeLease{lease}}
	}
	m.fencingToken, m.tokenVersion = m.fencingToken+1, ev.TokenVersion
	if m.claimedLevel > m.level {
		m.log.Info("level raised", "from", m.level, "to", m.claimedLevel, "token", m.fencingToken)
		m.level = m.claimedLevel
	}
	m.votes.beginTerm(m.fencingToken)
	m.leader = m.settings.Member
	m.renewing = false
	m.transition(Leading, m.renewalSentAt.Add(m.settings.LeaseDuration/4))
	return []Effect{Elected{FencingToken: m.fencingToken, TokenVersion: m.tokenVersion}}
}

func (m *StateMachine) leaseRenewed(now time.Time, ev LeaseRenewed) []Effect {
	if m.state != Leading || ev.LeaseID != m.leaseID {
		return nil
	}
	m.renewing = false
	switch {
	case ev.Expired:
		m.log.Warn("the leader's lease is over")
		return m.stepDown(now)
	case ev.Err != nil:
		m.nextActionAt = now.Add(m.settings.RetryInterval)
	default:
		if ev.Sent.After(m.renewalSentAt) {
			m.renewalSentAt = ev.Sent
		}
		if now.Before(m.LeaseValidUntil()) {
			m.votes.waiveExtended()
		}
		m.nextActionAt = ev.Sent.Add(m.settings.LeaseDuration / 4)
	}
	return nil
}

func (m *StateMachine) stepDown(now time.Time) []Effect {
	lease := m.leaseID
	m.leader, m.leaseID, m.renewing = "", 0, false
	m.transition(Following, now.Add(m.settings.RetryInterval))
	if m.settings.VoteDuration > 0 {
		return []Effect{Deposed{}, RevokeLease{lease}, ReleaseVotes{m.fencingToken}}
	}
	return []Effect{Deposed{}, RevokeLease{lease}}
}
