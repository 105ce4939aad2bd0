package election

import "time"

// renewalsPerLease is the number of renewals that a leader sends during one lease duration.
const renewalsPerLease = 4

// Step applies an event that occurs at now. It returns the effects that the caller has to perform, in order.
func (m *StateMachine) Step(now time.Time, event Event) []Effect {
	switch ev := event.(type) {
	case Tick:
		return m.tick(now)
	case RecordRead:
		return m.recordRead(now, ev)
	case LeaderKeyVacant:
		return m.leaderKeyVacant(now)
	case LeaseGranted:
		return m.leaseGranted(now, ev)
	case ClaimCompleted:
		return m.claimCompleted(now, ev)
	case LeaseRenewed:
		return m.leaseRenewed(now, ev)
	case Fenced:
		if m.leadsWith(ev.FencingToken) {
			m.log.Warn("another leader has taken over")
			return m.stepDown(now)
		}
	case TokenRewritten:
		if m.leadsWith(ev.FencingToken) {
			m.lease.tokenVersion = max(m.lease.tokenVersion, ev.TokenVersion)
		}
	case Resign:
		if m.state == Leading {
			m.noClaimBefore = now.Add(2 * m.settings.LeaseDuration)
			return m.stepDown(now)
		}
	case ProposeLevel:
		m.level.proposed = ev.Level
		if ev.StepDown && m.state == Leading {
			return m.stepDown(now)
		}
	case VoteReceived:
		// Votes extend a valid leadership but never restore one. After a lapse another controller may have led, and
		// only the lease proves that none has.
		if m.leadsWith(ev.FencingToken) && m.LeadershipValid(now) {
			m.votes.countVote(&m.settings, ev)
		}
	case NotLeadingReceived:
		m.votes.peerNotLeading(&m.settings, ev.Member, ev.Sent)
	}
	return nil
}

// leadsWith reports whether this controller is the leader with the given fencing token.
func (m *StateMachine) leadsWith(fencingToken uint64) bool {
	return m.state == Leading && fencingToken == m.lease.fencingToken
}

// tick returns the effects that are due at now.
func (m *StateMachine) tick(now time.Time) []Effect {
	var effects []Effect
	if m.mustQueryLeadership(now) && !now.Before(m.votes.nextRequestAt) {
		// The query is not tied to the next read of the leader's keys. When members start at the same time, the others
		// do not respond to the first one's query yet, and its next query would otherwise be sent only seconds later.
		m.votes.nextRequestAt = now.Add(m.settings.RetryInterval)
		effects = append(effects, QueryLeadership{})
	}
	if now.Before(m.nextActionAt) {
		return effects
	}
	switch m.state {
	case Following:
		m.transition(ReadingLeader, now.Add(m.settings.LeaseDuration))
		return append(effects, ReadRecord{})
	case Leading:
		return m.tickLeading(now, effects)
	default:
		// The response to a request is overdue. Every request is eventually reported as completed, so keep waiting.
		m.nextActionAt = now.Add(m.settings.RetryInterval)
	}
	return effects
}

// tickLeading requests votes if they are due, and renews the lease unless a renewal is in flight.
func (m *StateMachine) tickLeading(now time.Time, effects []Effect) []Effect {
	if m.settings.VoteDuration > 0 && !now.Before(m.votes.nextRequestAt) {
		request := m.votes.nextRequest(now, m.lease.renewalSentAt, &m.settings, m.lease.fencingToken)
		effects = append(effects, request)
	}
	if m.lease.renewing {
		m.nextActionAt = now.Add(m.settings.RetryInterval)
		return effects
	}
	m.lease.renewing = true
	m.nextActionAt = now.Add(m.settings.LeaseDuration / renewalsPerLease)
	return append(effects, RenewLease{m.lease.id})
}

// mustQueryLeadership reports whether this member still has to ask the others whether they lead, because it may have
// voted in an earlier incarnation.
func (m *StateMachine) mustQueryLeadership(now time.Time) bool {
	return (m.state == Following || m.state == ReadingLeader) && m.votes.recovering(now)
}

// leaderKeyVacant reads the leader's keys immediately, to claim the leadership.
func (m *StateMachine) leaderKeyVacant(now time.Time) []Effect {
	if m.state != Following {
		return nil
	}
	m.leader = ""
	m.nextActionAt = now
	return m.tick(now)
}

// recordRead records the content of the leader's keys. If this controller was reading them itself, and may claim the
// leadership, it continues by acquiring a lease.
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
	m.observeRecord(ev.Record)
	if m.state != ReadingLeader {
		return nil
	}
	return m.claimIfVacant(now, ev.Record)
}

// observeRecord updates the known leader, the highest fencing token and the feature level from the leader's keys.
func (m *StateMachine) observeRecord(r Record) {
	m.leader = ""
	if r.Held {
		m.leader = r.Leader
	}
	m.votes.highestToken = max(m.votes.highestToken, r.FencingToken)
	if r.Level > m.level.inForce {
		m.log.Info("observed a higher feature level in force",
			"from", m.level.inForce, "to", r.Level, "supported", m.settings.MaxLevel)
		m.level.inForce = r.Level
	}
}

// claimIfVacant acquires a lease if this controller may claim the leadership. Otherwise it returns to Following.
func (m *StateMachine) claimIfVacant(now time.Time, r Record) []Effect {
	switch {
	case r.Held && r.Leader == m.settings.Member:
		// The lease belongs to an earlier incarnation of this process, which has ended. It is revoked, so that nobody
		// has to wait for its expiry.
		m.leader = ""
		m.transition(Following, now.Add(m.settings.RetryInterval/4))
		return []Effect{RevokeLease{r.LeaseID}}
	case r.Held, m.level.inForce > m.settings.MaxLevel:
		// A program must never lead under a feature level that it does not support.
		m.transition(Following, now.Add(m.settings.PollInterval))
	case m.votes.blocksClaim(now):
		m.transition(Following, now.Add(m.settings.RetryInterval))
		if m.settings.OutageVoteDuration > 0 && m.votes.state == voteCast && !now.Before(m.votes.nextRequestAt) {
			// The leader's key is vacant, but this member has voted for a leader. If that leader crashed during an
			// outage, its new incarnation responds that it does not lead, which ends the extended vote early.
			m.votes.nextRequestAt = now.Add(m.settings.RetryInterval)
			return []Effect{QueryLeadership{}}
		}
	case now.Before(m.noClaimBefore):
		m.transition(Following, now.Add(m.settings.RetryInterval))
	default:
		m.lease.fencingToken, m.lease.tokenVersion = r.FencingToken, r.TokenVersion
		m.level.recorded, m.level.version = r.Level, r.LevelVersion
		m.transition(AcquiringLease, now.Add(m.settings.LeaseDuration))
		return []Effect{GrantLease{m.settings.LeaseDuration}}
	}
	return nil
}

// leaseGranted continues by claiming the leadership. It revokes a lease that is not needed any more.
func (m *StateMachine) leaseGranted(now time.Time, ev LeaseGranted) []Effect {
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
	m.lease.id, m.lease.renewalSentAt = ev.LeaseID, ev.Sent
	m.transition(Claiming, now.Add(m.settings.LeaseDuration))
	return []Effect{m.newClaim(ev.LeaseID)}
}

// newClaim returns a claim of the leadership with a lease. The claim also raises the feature level if a higher one is
// proposed. If the record of the level has been lost or reset to a lower level, the claim restores it:
// docs/safety.md, "Levels".
func (m *StateMachine) newClaim(leaseID uint64) Claim {
	claim := Claim{
		LeaseID:      leaseID,
		FencingToken: m.lease.fencingToken + 1,
		TokenVersion: m.lease.tokenVersion,
		LevelVersion: m.level.version,
	}
	level := max(m.level.inForce, min(m.level.proposed, m.settings.MaxLevel))
	if level > m.level.recorded {
		claim.NewLevel = level
	}
	m.level.claimed = claim.NewLevel
	return claim
}

// claimCompleted starts the leadership if the claim was committed.
func (m *StateMachine) claimCompleted(now time.Time, ev ClaimCompleted) []Effect {
	if m.state != Claiming {
		return nil
	}
	if !ev.OK {
		// Another member was first, or the outcome is unknown. Revoking the lease undoes the claim if it was executed,
		// and makes it fail if it is executed later.
		leaseID := m.lease.id
		m.lease.id = 0
		m.transition(Following, now.Add(m.settings.RetryInterval/2))
		return []Effect{RevokeLease{leaseID}}
	}
	m.lease.fencingToken++
	m.lease.tokenVersion = ev.TokenVersion
	if m.level.claimed > m.level.inForce {
		m.log.Info("feature level raised",
			"from", m.level.inForce, "to", m.level.claimed, "fencing_token", m.lease.fencingToken)
		m.level.inForce = m.level.claimed
	}
	m.votes.beginTerm(m.lease.fencingToken)
	m.leader = m.settings.Member
	m.lease.renewing = false
	m.transition(Leading, m.lease.renewalSentAt.Add(m.settings.LeaseDuration/renewalsPerLease))
	return []Effect{Elected{FencingToken: m.lease.fencingToken, TokenVersion: m.lease.tokenVersion}}
}

// leaseRenewed extends the leadership after a successful renewal, and ends it if the lease has expired.
func (m *StateMachine) leaseRenewed(now time.Time, ev LeaseRenewed) []Effect {
	if m.state != Leading || ev.LeaseID != m.lease.id {
		return nil
	}
	m.lease.renewing = false
	switch {
	case ev.Expired:
		m.log.Warn("leader lease expired")
		return m.stepDown(now)
	case ev.Err != nil:
		m.nextActionAt = now.Add(m.settings.RetryInterval)
	default:
		if ev.Sent.After(m.lease.renewalSentAt) {
			m.lease.renewalSentAt = ev.Sent
		}
		if now.Before(m.LeaseValidUntil()) {
			m.votes.waiveExtended()
		}
		m.nextActionAt = ev.Sent.Add(m.settings.LeaseDuration / renewalsPerLease)
	}
	return nil
}

// stepDown ends this controller's leadership and releases its lease and its votes.
func (m *StateMachine) stepDown(now time.Time) []Effect {
	leaseID := m.lease.id
	m.leader, m.lease.id, m.lease.renewing = "", 0, false
	m.transition(Following, now.Add(m.settings.RetryInterval))
	effects := []Effect{Deposed{}, RevokeLease{leaseID}}
	if m.settings.VoteDuration > 0 {
		effects = append(effects, ReleaseVotes{m.lease.fencingToken})
	}
	return effects
}
