package election

import "time"

// LeadershipValid reports whether this controller may act as the leader at now.
func (m *StateMachine) LeadershipValid(now time.Time) bool {
	return m.state == Leading && now.Before(m.ValidUntil())
}

// ValidUntil returns when this controller's leadership ends unless it is extended before; zero: it
// does not lead. It is the later one of what the lease and what the votes of all other members
// prove: docs/safety.md, "Votes".
func (m *StateMachine) ValidUntil() time.Time {
	until := m.LeaseValidUntil()
	if m.state == Leading {
		if votesUntil, _ := m.votes.unanimousUntil(&m.settings); votesUntil.After(until) {
			return votesUntil
		}
	}
	return until
}

// StartsValidUntil returns until when the leader may start tasks. It is earlier than ValidUntil
// where that rests on votes for longer than VoteDuration: a member that has not answered for that
// long may have acknowledged cancellations to users since.
func (m *StateMachine) StartsValidUntil() time.Time {
	until := m.LeaseValidUntil()
	if m.state == Leading {
		if _, startsUntil := m.votes.unanimousUntil(&m.settings); startsUntil.After(until) {
			return startsUntil
		}
	}
	return until
}

// LeaseValidUntil returns when the leadership ends as far as the lease alone proves it.
func (m *StateMachine) LeaseValidUntil() time.Time {
	if m.state != Leading {
		return time.Time{}
	}
	return m.RenewalValidUntil(m.lease.renewalSentAt)
}

// RenewalValidUntil returns until when a successful renewal that was sent at a given time proves
// the leadership: for the lease's duration from the sending, less clock drift and safety margin.
// It reads settings only, so it may be called from any goroutine.
func (m *StateMachine) RenewalValidUntil(sent time.Time) time.Time {
	return sent.Add(withoutDrift(m.settings.LeaseDuration) - m.settings.SafetyMargin)
}
