package election

import "time"

// LeadershipValid reports whether this controller leads and may act as the leader at now.
func (m *StateMachine) LeadershipValid(now time.Time) bool {
	return m.state == Leading && now.Before(m.ValidUntil())
}

// ValidUntil returns when this controller's leadership ends unless it is extended before. It returns the zero time if
// this controller does not lead. The lease and the votes of all other members each prove the leadership up to some
// time, and the later one counts: docs/safety.md, "Votes".
func (m *StateMachine) ValidUntil() time.Time {
	until := m.LeaseValidUntil()
	if m.state == Leading {
		if votesUntil, _ := m.votes.unanimousUntil(&m.settings); votesUntil.After(until) {
			return votesUntil
		}
	}
	return until
}

// StartsValidUntil returns until when the leader may start tasks. It returns the zero time if this controller does not
// lead. The result is earlier than that of ValidUntil if the leadership depends on votes that last longer than
// VoteDuration, since a member that has not answered for VoteDuration may have acknowledged cancellations to users in
// the meantime.
func (m *StateMachine) StartsValidUntil() time.Time {
	until := m.LeaseValidUntil()
	if m.state == Leading {
		if _, startsUntil := m.votes.unanimousUntil(&m.settings); startsUntil.After(until) {
			return startsUntil
		}
	}
	return until
}

// LeaseValidUntil returns until when the lease alone, without votes, proves the leadership. It returns the zero time if
// this controller does not lead.
func (m *StateMachine) LeaseValidUntil() time.Time {
	if m.state != Leading {
		return time.Time{}
	}
	return m.RenewalValidUntil(m.lease.renewalSentAt)
}

// RenewalValidUntil returns until when a successful renewal that was sent at the given time proves the leadership. That
// is the lease duration after sent, less the maximum clock drift and the safety margin. The method reads only the
// settings, so it is safe for concurrent use.
func (m *StateMachine) RenewalValidUntil(sent time.Time) time.Time {
	return sent.Add(shortenForDrift(m.settings.LeaseDuration) - m.settings.SafetyMargin)
}
