package election

import "time"

// VoteRequest is a leader's request that a member vote for it.
type VoteRequest struct {
	Leader       string
	FencingToken uint64
	Seq          uint64        // the number of the request within the leader's term
	Duration     time.Duration // zero if an old version sent the request, which then asks for Settings.VoteDuration
	Supersedes   bool          // the leader does not rely on longer votes for earlier requests any more
}

// HandleVoteRequest decides on a leader's request for a vote. It returns the duration of the vote from now on, or zero
// if this member does not vote for the leader. A member casts no vote while it claims the leadership or leads, and none
// for a leader with a lower fencing token than the highest that it knows.
func (m *StateMachine) HandleVoteRequest(now time.Time, request VoteRequest) time.Duration {
	v := &m.votes
	if m.settings.VoteDuration == 0 || m.state >= AcquiringLease || request.FencingToken < v.highestToken {
		return 0
	}
	if request.FencingToken != v.castToken {
		v.castSeq = 0
	}
	duration := min(request.Duration, max(m.settings.VoteDuration, m.settings.OutageVoteDuration))
	if duration == 0 {
		duration = m.settings.VoteDuration
	}
	blockedUntil := now.Add(duration)
	// Only the latest request may shorten a vote. An earlier request that arrives late must not.
	shortens := request.Supersedes && request.Seq > v.castSeq
	if v.blocksClaim(now) && v.blockedUntil.After(blockedUntil) && !shortens {
		blockedUntil = v.blockedUntil
	}
	v.highestToken, v.castToken = request.FencingToken, request.FencingToken
	v.castFor, v.castAt, v.castSeq = request.Leader, now, max(v.castSeq, request.Seq)
	v.transition(voteCast, blockedUntil)
	m.leader = request.Leader
	return duration
}

// HandleVoteRelease ends this member's vote for the leader with the given fencing token, which does not need the vote
// any more. A vote for a later leader is not affected.
func (m *StateMachine) HandleVoteRelease(fencingToken uint64) {
	if m.votes.state == voteCast && m.votes.castToken == fencingToken {
		m.votes.withdraw()
	}
}
