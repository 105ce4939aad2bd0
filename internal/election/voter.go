package election

import "time"

// VoteRequest is a leader's request that a member vote for it.
type VoteRequest struct {
	Leader       string
	FencingToken uint64
	Seq          uint64        // numbers the requests of one term
	Duration     time.Duration // 0: sent by an old version, which asks for Settings.VoteDuration
	Supersedes   bool          // the leader no longer counts on longer votes for earlier requests
}

// HandleVoteRequest returns for how long from now this member votes for a leader; 0: it does not. It
// casts no vote while it claims or leads itself, nor for a leader whose fencing token is not the
// highest that it knows of.
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
	// Only the latest request may shorten a vote: an earlier one that arrives late must not.
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

// HandleVoteRelease ends this member's vote for the leader with a given fencing token, which needs
// it no longer. A vote for a later leader stays.
func (m *StateMachine) HandleVoteRelease(fencingToken uint64) {
	if m.votes.state == voteCast && m.votes.castToken == fencingToken {
		m.votes.withdraw()
	}
}
