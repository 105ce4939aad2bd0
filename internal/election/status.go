package election

import "time"

// Status describes the state of a member in the election for operators. A remaining time that is zero or negative has
// run out.
type Status struct {
	State           string
	Leader          string
	FencingToken    uint64
	LeaseRemaining  time.Duration            // the remaining time of this member's leadership by its lease alone
	ValidRemaining  time.Duration            // the remaining time of this member's leadership by its lease or by votes
	VoteDuration    time.Duration            // how long a vote lasts; zero if votes are disabled
	Votes           map[string]time.Duration // the remaining times of the votes for this leader, by member
	ClaimBlockedFor time.Duration            // how long this member's own vote still prevents it from claiming
}

// Status returns the status of this member at now.
func (m *StateMachine) Status(now time.Time) Status {
	status := Status{
		State:        m.state.String(),
		Leader:       m.leader,
		FencingToken: m.lease.fencingToken,
		VoteDuration: m.settings.VoteDuration,
		Votes:        map[string]time.Duration{},
	}
	if m.state == Leading {
		status.LeaseRemaining = m.LeaseValidUntil().Sub(now)
		status.ValidRemaining = m.ValidUntil().Sub(now)
		for member, vote := range m.votes.received {
			status.Votes[member] = vote.validUntil.Sub(now)
		}
	}
	if m.votes.blocksClaim(now) {
		status.ClaimBlockedFor = m.votes.blockedUntil.Sub(now)
	}
	return status
}
