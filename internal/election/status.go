package election

import "time"

// Status describes a member's part in the election to operators. Remaining times that are zero or
// negative have run out.
type Status struct {
	State           string
	Leader          string
	FencingToken    uint64
	LeaseRemaining  time.Duration            // of the leadership as the lease proves it
	ValidRemaining  time.Duration            // of the leadership as lease or votes prove it
	VoteDuration    time.Duration            // for which members vote at a time; 0: there are no votes
	Votes           map[string]time.Duration // remaining time of the votes for this leader, by member
	ClaimBlockedFor time.Duration            // for which this member's own vote keeps it from claiming
}

// Status returns this member's status.
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
