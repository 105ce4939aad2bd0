package election

import "time"

// votes holds the vote that this member has cast and the votes that it has received as a leader. A member that votes
// for a leader does not claim the leadership before the vote ends. Votes normally last for Settings.VoteDuration; an
// extended vote lasts for Settings.OutageVoteDuration. The safety argument is in docs/safety.md, "Votes".
type votes struct {
	// The vote that this member has cast.
	state         voteState
	blockedUntil  time.Time // this member does not claim the leadership before this time
	recoveryUntil time.Time // a vote of an earlier incarnation may last until then; zero if there is none
	castAt        time.Time // when this member last voted
	castFor       string    // the name of the leader that it last voted for
	castToken     uint64    // the fencing token of that leader
	castSeq       uint64    // the highest number of that leader's vote requests that was granted
	highestToken  uint64    // the highest known fencing token; leaders with lower tokens get no vote

	notLeading    map[string]bool // the peers that have reported since the start that they do not lead
	nextRequestAt time.Time       // when votes are requested or peers are queried next

	// The votes that this member has received in its current term as the leader.
	received          map[string]receivedVote // by member
	requestSeq        uint64                  // the number of the last vote request of the term
	waivedSeq         uint64                  // votes for requests up to this number do not count any more
	extendedRequested bool                    // a request after waivedSeq asked for an extended vote
}

// receivedVote holds until when the votes of one member count for the leader.
type receivedVote struct {
	validUntil  time.Time // the member does not claim the leadership before this time
	startsUntil time.Time // the leader may start tasks on the strength of this vote until then
}

// voteState tells whether a vote prevents this member from claiming the leadership.
type voteState uint8

// The states of a member's own vote.
const (
	voteNone       voteState = iota // no vote prevents it
	voteRecovering                  // a vote that an earlier incarnation cast may still be in effect
	voteCast                        // a vote that this incarnation cast is in effect
)

// transition is the only method that changes the state.
func (v *votes) transition(to voteState, blockedUntil time.Time) {
	v.state, v.blockedUntil = to, blockedUntil
}

// startRecovery initializes the votes of a member that has just started and does not remember whether it has voted
// before. The member does not claim the leadership until the longest possible vote of an earlier incarnation has
// ended, or all peers have reported that they do not lead.
func (v *votes) startRecovery(now time.Time, s *Settings) {
	v.received, v.notLeading = map[string]receivedVote{}, map[string]bool{}
	if s.VoteDuration > 0 && len(s.Peers) > 0 {
		longest := max(s.VoteDuration, s.OutageVoteDuration)
		v.recoveryUntil = now.Add(extendForDrift(longest) + s.SafetyMargin)
		v.transition(voteRecovering, v.recoveryUntil)
	}
}

// blocksClaim reports whether a vote prevents this member from claiming the leadership at now. It ends expired votes.
func (v *votes) blocksClaim(now time.Time) bool {
	if v.state == voteCast && !now.Before(v.blockedUntil) {
		v.withdraw()
	}
	if v.state == voteRecovering && !now.Before(v.blockedUntil) {
		v.transition(voteNone, time.Time{})
	}
	return v.state != voteNone
}

// withdraw ends the vote that this incarnation cast. A vote of an earlier incarnation stays in effect. Otherwise a
// stale leader that gets a vote and then releases it would also end a vote that the current leader relies on.
func (v *votes) withdraw() {
	if v.recoveryUntil.IsZero() {
		v.transition(voteNone, time.Time{})
	} else {
		v.transition(voteRecovering, v.recoveryUntil)
	}
}

// recovering reports whether a vote of an earlier incarnation may still prevent this member from claiming at now.
func (v *votes) recovering(now time.Time) bool {
	return v.blocksClaim(now) && v.state == voteRecovering
}

// peerNotLeading records a peer's response that it does not lead, to a query that was sent at the given time. A vote
// for the peer that was cast before the query has no effect any more: if the peer leads later, it requests new votes.
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

// beginTerm resets the received votes at the start of a leadership.
func (v *votes) beginTerm(fencingToken uint64) {
	v.highestToken = max(v.highestToken, fencingToken)
	v.received, v.nextRequestAt = map[string]receivedVote{}, time.Time{}
	v.requestSeq, v.waivedSeq, v.extendedRequested = 0, 0, false
}

// requestsPerVote is the number of vote requests that a leader sends during one VoteDuration.
const requestsPerVote = 4

// nextRequest returns the next request for votes to all peers. lastRenewal is when the last successful renewal of the
// lease was sent.
//
// While the state service is unreachable no member can take over, regardless of votes. Extended votes are then
// requested, so that the leadership survives the crash of another member during the outage: after a restart that
// member does not remember its vote, and its process votes for nobody until it has read the records of the state
// service. After the lease is renewed, the leader waives the extended votes before it requests others, so that they do
// not block a claim.
func (v *votes) nextRequest(now, lastRenewal time.Time, s *Settings, fencingToken uint64) RequestVotes {
	v.nextRequestAt = now.Add(s.VoteDuration / requestsPerVote)
	v.requestSeq++
	request := RequestVotes{
		FencingToken: fencingToken,
		Seq:          v.requestSeq,
		Duration:     s.VoteDuration,
		Supersedes:   !v.extendedRequested,
	}
	if s.OutageVoteDuration > s.VoteDuration && now.Sub(lastRenewal) > s.LeaseDuration/2 {
		request.Duration, request.Supersedes, v.extendedRequested = s.OutageVoteDuration, false, true
	}
	return request
}

// waiveExtended discards the extended votes, including those that arrive later. The lease has been renewed, so the
// leadership does not depend on them.
func (v *votes) waiveExtended() {
	if !v.extendedRequested {
		return
	}
	v.received, v.nextRequestAt = map[string]receivedVote{}, time.Time{}
	v.waivedSeq, v.extendedRequested = v.requestSeq, false
}

// countVote takes a received vote into account. The vote counts from the time at which the request was sent, which is
// before the member cast the vote.
func (v *votes) countVote(s *Settings, ev VoteReceived) {
	if ev.Seq <= v.waivedSeq {
		return
	}
	duration := ev.Duration
	if duration == 0 {
		duration = s.VoteDuration
	}
	countsUntil := func(d time.Duration) time.Time { return ev.Sent.Add(shortenForDrift(d) - s.SafetyMargin) }
	vote := v.received[ev.Member]
	if until := countsUntil(duration); until.After(vote.validUntil) {
		vote.validUntil = until
	}
	if until := countsUntil(min(duration, s.VoteDuration)); until.After(vote.startsUntil) {
		vote.startsUntil = until
	}
	v.received[ev.Member] = vote
}

// unanimousUntil returns until when the votes of all peers are valid, and until when the leader may start tasks on the
// strength of them. Both are zero if a peer has not voted. A majority of votes would not be sufficient: if only
// the other members reached the state service, one of them could claim the leadership.
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
