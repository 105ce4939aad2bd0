package election

import "time"

// votes holds the vote that this member has cast and the votes that it has received as a leader. A
// member that votes for a leader does not claim the leadership until a given time. The safety
// argument is in docs/safety.md, "Votes".
type votes struct {
	// The vote that this member has cast.
	state         voteState
	blockedUntil  time.Time // this member claims nothing before
	recoveryUntil time.Time // until then a vote of an earlier incarnation may count; zero: none does
	castAt        time.Time
	castFor       string // name of the leader that was voted for last
	castToken     uint64 // fencing token of that leader
	castSeq       uint64 // the latest of that leader's vote requests that was granted
	highestToken  uint64 // the highest fencing token known: lower ones get no vote

	notLeading    map[string]bool // peers that have said, since the start, that they do not lead
	nextRequestAt time.Time       // when votes are requested or peers are asked whether they lead

	// The votes that this member has received in its present term as a leader.
	received   map[string]receivedVote // by member
	requestSeq uint64                  // of the last vote request of the term
	waivedSeq  uint64                  // votes for requests up to this one no longer count
	extended   bool                    // a request since then was for longer than VoteDuration
}

// receivedVote is what a member's votes allow a leader.
type receivedVote struct {
	validUntil  time.Time // the member claims nothing before
	startsUntil time.Time // the leader starts tasks on this vote until then
}

// voteState says whether a vote keeps this member from claiming the leadership.
type voteState uint8

// The states of a member's own vote.
const (
	voteNone       voteState = iota // none does
	voteRecovering                  // a vote of an earlier incarnation may
	voteCast                        // a vote that it remembers does
)

// transition changes the state; nothing else does.
func (v *votes) transition(to voteState, blockedUntil time.Time) {
	v.state, v.blockedUntil = to, blockedUntil
}

// recover starts a member without memory. It claims nothing until the longest vote of an earlier
// incarnation has run out, or all peers have said that they do not lead.
func (v *votes) recover(now time.Time, s *Settings) {
	v.received, v.notLeading = map[string]receivedVote{}, map[string]bool{}
	if s.VoteDuration > 0 && len(s.Peers) > 0 {
		longest := max(s.VoteDuration, s.OutageVoteDuration)
		v.recoveryUntil = now.Add(withDrift(longest) + s.SafetyMargin)
		v.transition(voteRecovering, v.recoveryUntil)
	}
}

// blocksClaim reports whether a vote keeps this member from claiming now.
func (v *votes) blocksClaim(now time.Time) bool {
	if v.state == voteCast && !now.Before(v.blockedUntil) {
		v.withdraw()
	}
	if v.state == voteRecovering && !now.Before(v.blockedUntil) {
		v.transition(voteNone, time.Time{})
	}
	return v.state != voteNone
}

// withdraw ends the vote of this incarnation. One of an earlier incarnation may still count:
// otherwise a stale leader that gets a vote and then releases it would end a vote that the present
// leader relies on.
func (v *votes) withdraw() {
	if v.recoveryUntil.IsZero() {
		v.transition(voteNone, time.Time{})
	} else {
		v.transition(voteRecovering, v.recoveryUntil)
	}
}

// recovering reports whether the peers have to be asked whether they lead.
func (v *votes) recovering(now time.Time) bool {
	return v.blocksClaim(now) && v.state == voteRecovering
}

// peerNotLeading takes a peer's answer, to a query sent at a given time, that it does not lead. A
// vote for it that was cast before the query has no effect any more: if the peer leads later, it
// requests votes anew.
func (v *votes) peerNotLeading(s *Settings, peer string, sent time.Time) {
	v.notLeading[peer] = true
	if v.state == voteCast && peer == v.castFor && !sent.Before(v.castAt) {
		v.withdraw()
	}
	if v.state != voteRecovering {
		return
	}
	for _, p := range s.Peers {
		if !v.notLeading[p] {
			return
		}
	}
	v.recoveryUntil = time.Time{}
	v.transition(voteNone, time.Time{})
}

// beginTerm begins a leadership, for which no votes have been received yet.
func (v *votes) beginTerm(fencingToken uint64) {
	v.highestToken = max(v.highestToken, fencingToken)
	v.received, v.nextRequestAt = map[string]receivedVote{}, time.Time{}
	v.requestSeq, v.waivedSeq, v.extended = 0, 0, false
}

// requestsPerVote is how many vote requests a leader sends in the time of one vote.
const requestsPerVote = 4

// nextRequest returns the next request to all peers; renewed is as of when the lease is renewed.
//
// While the state service is unreachable no member can take over, whatever the votes. Votes are
// then requested for longer, so that the leadership survives a member that crashes in the outage:
// it remembers no vote, and casts none until it has read the records. Once the lease is renewed,
// the longer votes are waived before anything else is requested, so that they block no claim.
func (v *votes) nextRequest(now, renewed time.Time, s *Settings, fencingToken uint64) RequestVotes {
	v.nextRequestAt = now.Add(s.VoteDuration / requestsPerVote)
	v.requestSeq++
	request := RequestVotes{
		FencingToken: fencingToken,
		Seq:          v.requestSeq,
		Duration:     s.VoteDuration,
		Supersedes:   !v.extended,
	}
	if s.OutageVoteDuration > s.VoteDuration && now.Sub(renewed) > s.LeaseDuration/2 {
		request.Duration, request.Supersedes, v.extended = s.OutageVoteDuration, false, true
	}
	return request
}

// waiveExtended discards the longer votes, those that arrive later included. The lease is renewed,
// so the leadership does not rest on them.
func (v *votes) waiveExtended() {
	if !v.extended {
		return
	}
	v.received, v.nextRequestAt = map[string]receivedVote{}, time.Time{}
	v.waivedSeq, v.extended = v.requestSeq, false
}

// record counts a received vote. Its time counts from the sending of the request, which was before
// the member cast it.
func (v *votes) record(s *Settings, ev VoteReceived) {
	if ev.Seq <= v.waivedSeq {
		return
	}
	duration := ev.Duration
	if duration == 0 {
		duration = s.VoteDuration
	}
	countsUntil := func(d time.Duration) time.Time { return ev.Sent.Add(withoutDrift(d) - s.SafetyMargin) }
	vote := v.received[ev.Member]
	if until := countsUntil(duration); until.After(vote.validUntil) {
		vote.validUntil = until
	}
	if until := countsUntil(min(duration, s.VoteDuration)); until.After(vote.startsUntil) {
		vote.startsUntil = until
	}
	v.received[ev.Member] = vote
}

// unanimousUntil returns until when the votes of all peers count, and until when tasks are started
// on them; zero: some peer has not voted. A majority would not do: a minority that alone reaches
// the state service could claim the leadership.
func (v *votes) unanimousUntil(s *Settings) (validUntil, startsUntil time.Time) {
	if s.VoteDuration == 0 || len(s.Peers) == 0 {
		return time.Time{}, time.Time{}
	}
	for i, peer := range s.Peers {
		vote, ok := v.received[peer]
		if !ok {
			return time.Time{}, time.Time{}
		}
		if i == 0 || vote.validUntil.Before(validUntil) {
			validUntil = vote.validUntil
		}
		if i == 0 || vote.startsUntil.Before(startsUntil) {
			startsUntil = vote.startsUntil
		}
	}
	return validUntil, startsUntil
}
