package election

import "time"

// votes are what this member has promised, and what it was promised. Their safety is
// argued for in docs/safety.md, "Promises".
type votes struct {
	state         voteState // what this member has promised
	blockedUntil  time.Time // it claims nothing before this
	recoveryUntil time.Time // until here an earlier life of its may have promised something; zero: it has not
	castAt        time.Time // when it promised last
	castFor       string    // of the leader that it has promised last
	castToken     uint64    // and that leader's token
	castSeq       uint64    // the number of the leader's latest question that it has said yes to
	highestToken  uint64    // the highest token that it knows of: lower ones are promised nothing

	notLeading    map[string]bool         // other members that have said that they don't lead
	received      map[string]receivedVote // by member, what it has promised this leader
	nextRequestAt time.Time
	requestSeq    uint64 // of the questions of this leadership
	waivedSeq     uint64 // questions up to this one count for nothing any more
	extended      bool   // one since then was for longer than Promise
}

// receivedVote is what a member has promised a leader.
type receivedVote struct {
	validUntil  time.Time // it claims nothing
	startsUntil time.Time // and until here the leader starts tasks by it
}

// voteState is where a member stands with what it has promised.
type voteState uint8

// The states of a member's bond.
const (
	voteNone       voteState = iota // it has promised nothing
	voteRecovering                  // an earlier life of its may have promised something
	voteCast                        // it has promised a leader not to claim
)

// transition changes the bond; it is the only place that does.
func (p *votes) transition(to voteState, until time.Time) { p.state, p.blockedUntil = to, until }

// recover starts a member without memory: until the longest promise of an earlier life has
// run out, or all others have said that they don't lead, it claims nothing.
func (p *votes) recover(now time.Time, s *Settings) {
	p.received, p.notLeading = map[string]receivedVote{}, map[string]bool{}
	if s.VoteDuration > 0 && len(s.Peers) > 0 {
		longest := max(s.VoteDuration, s.OutageVoteDuration)
		p.recoveryUntil = now.Add(longest + longest/1000 + s.SafetyMargin)
		p.transition(voteRecovering, p.recoveryUntil)
	}
}

// blocksClaim tells whether this member may not claim now.
func (p *votes) blocksClaim(now time.Time) bool {
	if p.state == voteCast && !now.Before(p.blockedUntil) {
		p.withdraw()
	}
	if p.state == voteRecovering && !now.Before(p.blockedUntil) {
		p.transition(voteNone, time.Time{})
	}
	return p.state != voteNone
}

// withdraw ends what this life has promised. What an earlier one may have promised stands: guards
// against a stale leader that is promised something, steps down and gives back what the
// present one relies on.
func (p *votes) withdraw() {
	if p.recoveryUntil.IsZero() {
		p.transition(voteNone, time.Time{})
	} else {
		p.transition(voteRecovering, p.recoveryUntil)
	}
}

// recovering tells whether the others have to be asked whether they lead.
func (p *votes) recovering(now time.Time) bool {
	return p.blocksClaim(now) && p.state == voteRecovering
}

// peerNotLeading takes another member's word, as it was asked for at a moment, that it does not lead.
// What leads later is promised anew: a promise binds nobody once the leader that it was given
// to has said so since.
func (p *votes) peerNotLeading(s *Settings, member string, sent time.Time) {
	p.notLeading[member] = true
	if p.state == voteCast && member == p.castFor && !sent.Before(p.castAt) {
		p.withdraw()
	}
	if p.state != voteRecovering {
		return
	}
	for _, o := range s.Peers {
		if !p.notLeading[o] {
			return
		}
	}
	p.recoveryUntil = time.Time{}
	p.transition(voteNone, time.Time{})
}

// beginTerm begins a leadership: nothing was promised to it yet.
func (p *votes) beginTerm(token uint64) {
	p.highestToken = max(p.highestToken, token)
	p.received, p.nextRequestAt = map[string]receivedVote{}, time.Time{}
	p.requestSeq, p.waivedSeq, p.extended = 0, 0, false
}

// nextRequest is what the other members are asked for now, with the lease renewed as of a moment. While the
// state service is silent, nobody can take over whatever was promised: then it is asked for
// longer, so that a member that crashes meanwhile does not end the right soon after. Once the
// lease is renewed, what was promised for longer is waived before anything else is asked
// for, so that the others are not bound by it.
func (p *votes) nextRequest(now, renewed time.Time, s *Settings, token uint64) RequestVotes {
	p.nextRequestAt = now.Add(s.VoteDuration / 4)
	p.requestSeq++
	q := RequestVotes{FencingToken: token, Seq: p.requestSeq, Duration: s.VoteDuration, Supersedes: !p.extended}
	if s.OutageVoteDuration > s.VoteDuration && now.Sub(renewed) > s.LeaseDuration/2 {
		q.Duration, q.Supersedes, p.extended = s.OutageVoteDuration, false, true
	}
	return q
}

// waiveExtended has what was promised for longer count for nothing any more, also what is still on its
// way. The lease was renewed: nothing rests on it.
func (p *votes) waiveExtended() {
	if p.extended {
		p.received, p.waivedSeq, p.extended, p.nextRequestAt = map[string]receivedVote{}, p.requestSeq, false, time.Time{}
	}
}

// record notes a member's promise, as it was asked for at a moment. It counts from the
// sending, which was before the member began to keep it.
func (p *votes) record(s *Settings, ev VoteReceived) {
	if ev.Seq <= p.waivedSeq {
		return
	}
	long := ev.Duration
	if long == 0 {
		long = s.VoteDuration // an old version, which promises for no other time
	}
	count := func(d time.Duration) time.Time { return ev.Sent.Add(d - d/1000 - s.SafetyMargin) }
	g := p.received[ev.Member]
	if until := count(long); until.After(g.validUntil) {
		g.validUntil = until
	}
	if starts := count(min(long, s.VoteDuration)); starts.After(g.startsUntil) {
		g.startsUntil = starts
	}
	p.received[ev.Member] = g
}

// unanimousUntil is until when all other members have promised not to claim, and until when tasks are
// started by that; zero: not all have.
func (p *votes) unanimousUntil(s *Settings) (until, starts time.Time) {
	if s.VoteDuration == 0 || len(s.Peers) == 0 {
		return
	}
	for i, o := range s.Peers {
		g, ok := p.received[o]
		if !ok {
			return time.Time{}, time.Time{}
		}
		if i == 0 || g.validUntil.Before(until) {
			until = g.validUntil
		}
		if i == 0 || g.startsUntil.Before(starts) {
			starts = g.startsUntil
		}
	}
	return until, starts
}

// VoteRequest is a leader's request for a promise.
type VoteRequest struct {
	Leader       string
	FencingToken uint64
	Seq          uint64        // numbers the questions of one leadership
	Duration     time.Duration // 0: an old version, which asks for Promise
	Supersedes   bool          // the leader counts on nothing that it has asked for longer before
}

// HandleVoteRequest decides whether this member promises a leader not to claim, and for how long from now
// on; 0: not at all. It does not while it claims or leads itself, nor to a leader of a
// token that is not the highest one it knows of.
func (m *StateMachine) HandleVoteRequest(now time.Time, q VoteRequest) time.Duration {
	p := &m.votes
	if m.settings.VoteDuration == 0 || m.state == AcquiringLease || m.state == Claiming || m.state == Leading || q.FencingToken < p.highestToken {
		return 0
	}
	if q.FencingToken != p.castToken {
		p.castSeq = 0
	}
	long := min(q.Duration, max(m.settings.VoteDuration, m.settings.OutageVoteDuration))
	if long == 0 {
		long = m.settings.VoteDuration
	}
	until := now.Add(long)
	// A question that was overtaken by a later one gives nothing back.
	if instead := q.Supersedes && q.Seq > p.castSeq; p.blocksClaim(now) && p.blockedUntil.After(until) && !instead {
		until = p.blockedUntil
	}
	p.highestToken, p.castToken, p.castFor, p.castAt, p.castSeq = q.FencingToken, q.FencingToken, q.Leader, now, max(p.castSeq, q.Seq)
	p.transition(voteCast, until)
	m.leader = q.Leader
	return long
}

// HandleVoteRelease takes a leader's word that it needs the promise to it no more. One to a later
// leader stands.
func (m *StateMachine) HandleVoteRelease(token uint64) {
	if p := &m.votes; p.state == voteCast && p.castToken == token {
		p.withdraw()
	}
}

// Status is where a member stands, for operators. Times are what is left of them; negative
// or zero: nothing.
type Status struct {
	State           string
	Leader          string
	FencingToken    uint64
	LeaseRemaining  time.Duration            // of the right that rests on the lease
	ValidRemaining  time.Duration            // of the right, by whatever proves it
	VoteDuration    time.Duration            // how long members promise at a time; 0: promises are off
	Votes           map[string]time.Duration // by member, that was promised to this leader
	ClaimBlockedFor time.Duration            // in which this member claims nothing, for what it promised
}

// Status tells where this member stands.
func (m *StateMachine) Status(now time.Time) Status {
	s := Status{State: m.state.String(), Leader: m.leader, FencingToken: m.fencingToken, VoteDuration: m.settings.VoteDuration, Votes: map[string]time.Duration{}}
	if m.state == Leading {
		s.LeaseRemaining, s.ValidRemaining = m.LeaseValidUntil().Sub(now), m.ValidUntil().Sub(now)
		for o, g := range m.votes.received {
			s.Votes[o] = g.validUntil.Sub(now)
		}
	}
	if m.votes.blocksClaim(now) {
		s.ClaimBlockedFor = m.votes.blockedUntil.Sub(now)
	}
	return s
}
