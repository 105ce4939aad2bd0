package election

import "time"

// renewalsPerLease is how many renewals a leader sends in the time of one lease.
const renewalsPerLease = 4

// Step applies an event and returns the effects to perform, in order.
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
		// Votes extend a valid leadership, they never restore one: after a lapse another
		// controller may have led, and only the lease proves that none has.
		if m.leadsWith(ev.FencingToken) && m.LeadershipValid(now) {
			m.votes.record(&m.settings, ev)
		}
	case NotLeadingReceived:
		m.votes.peerNotLeading(&m.settings, ev.Member, ev.Sent)
	}
	return nil
}

// leadsWith reports whether this controller leads with the given fencing token.
func (m *StateMachine) leadsWith(fencingToken uint64) bool {
	return m.state == Leading && fencingToken == m.lease.fencingToken
}

// tick performs what has become due.
func (m *StateMachine) tick(now time.Time) []Effect {
	var effects []Effect
	if m.mustQueryLeadership(now) && !now.Before(m.votes.nextRequestAt) {
		// Asked between reads as well: when members start together, the first one asks before the
		// others can answer, and would otherwise ask again only seconds later.
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
		// An answer is overdue. Every effect is answered in the end, so it only waits on.
		m.nextActionAt = now.Add(m.settings.RetryInterval)
	}
	return effects
}

// tickLeading requests votes and renews the lease, each when it is due.
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

// mustQueryLeadership reports whether this member, which may have voted in an earlier incarnation,
// still has to ask the others whether they lead.
func (m *StateMachine) mustQueryLeadership(now time.Time) bool {
	return (m.state == Following || m.state == ReadingLeader) && m.votes.recovering(now)
}

// leaderKeyVacant reads the leader's keys at once.
func (m *StateMachine) leaderKeyVacant(now time.Time) []Effect {
	if m.state != Following {
		return nil
	}
	m.leader = ""
	m.nextActionAt = now
	return m.tick(now)
}

// recordRead takes the content of the leader's keys. If it was read to claim the leadership, and
// nothing is in the way, it goes on to acquire a lease.
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

// observeRecord takes over what the leader's keys say.
func (m *StateMachine) observeRecord(r Record) {
	m.leader = ""
	if r.Held {
		m.leader = r.Leader
	}
	m.votes.highestToken = max(m.votes.highestToken, r.FencingToken)
	if r.Level > m.level.inForce {
		m.log.Info("feature level in force", "from", m.level.inForce, "to", r.Level, "supported", m.settings.MaxLevel)
		m.level.inForce = r.Level
	}
}

// claimIfVacant acquires a lease if this controller may claim the leadership, and otherwise returns
// to Following.
func (m *StateMachine) claimIfVacant(now time.Time, r Record) []Effect {
	switch {
	case r.Held && r.Leader == m.settings.Member:
		// An earlier incarnation of this process has left its lease behind. That process has ended, so
		// there is no need to wait until the lease expires.
		m.leader = ""
		m.transition(Following, now.Add(m.settings.RetryInterval/4))
		return []Effect{RevokeLease{r.LeaseID}}
	case r.Held, m.level.inForce > m.settings.MaxLevel:
		// A program never leads under a level that it does not support.
		m.transition(Following, now.Add(m.settings.PollInterval))
	case m.votes.blocksClaim(now):
		m.transition(Following, now.Add(m.settings.RetryInterval))
		if m.settings.OutageVoteDuration > 0 && m.votes.state == voteCast && !now.Before(m.votes.nextRequestAt) {
			// The key is vacant, and this member has voted for somebody. If that leader has
			// crashed in an outage its new incarnation says so, and the long vote ends early.
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

// leaseGranted goes on to claim the leadership. A lease that is not wanted any more is revoked.
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

// newClaim claims the leadership with a lease, and raises the feature level where it may. A record
// of the level that was lost or put back is written again: docs/safety.md, "Levels".
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

// claimCompleted begins the leadership if the claim was committed.
func (m *StateMachine) claimCompleted(now time.Time, ev ClaimCompleted) []Effect {
	if m.state != Claiming {
		return nil
	}
	if !ev.OK {
		// Another member was first, or the outcome is unknown. Revoking the lease undoes a claim
		// that was carried out, and makes one that is carried out later fail.
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

// leaseRenewed extends the leadership, or ends it if the lease has expired.
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

// stepDown ends this controller's leadership.
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
