package ledger

import (
	"slices"
	"time"
)

// Settlement is an update of a team's stored record that adds charges to it. It is committed by compare-and-swap on
// the version of the record, and its content stays the same whenever it is sent again. Therefore it is applied at
// most once (docs/safety.md, "Ledger").
type Settlement struct {
	Version   uint64       // required version of the stored record; 0 if the record must not exist
	Open      OpenSegment  // new content of the record
	Closed    *Segment     // segment that the settlement closes; nil if there is none
	createdAt time.Time    // time on the monotonic clock at which Open.DecayedUsage was computed
	charges   []ClassUsage // charges that Open contains and the former record does not
}

// IsEmpty reports whether the settlement neither adds charges nor closes a segment.
func (s *Settlement) IsEmpty() bool { return s.Closed == nil && len(s.charges) == 0 }

// Settle creates a settlement of a team's account, which is then pending until its outcome is reported. now is a time
// of the monotonic clock. Settle returns nil if a settlement is pending already or the record cannot be read.
func (a *Accounts) Settle(now, timeOfDay time.Time, team string) *Settlement {
	account := a.getOrCreate(now, team)
	if account.unreadable || account.pending != nil || !account.transition(accountSettling) {
		return nil
	}
	settlement := &Settlement{Version: account.version, Open: account.record, createdAt: now}
	settlement.Open.Usage = slices.Clone(account.record.Usage)
	a.rotateSegment(settlement, team, account.unsettled, Hour.Start(timeOfDay))
	account.unsettled = a.addCharges(settlement, team, account.unsettled)
	decayed := decay(account.record.DecayedUsage, now.Sub(account.recordAsOf), a.settings.HalfLife)
	settlement.Open.DecayedUsage = decayed + a.cost(settlement.charges)
	settlement.Open.Settlements++
	settlement.Open.FencingToken, settlement.Open.SettledAt = a.fencingToken, timeOfDay
	account.pending = settlement
	return settlement
}

// rotateSegment prepares the open segment of a settlement for charges. It closes the segment and begins a new one if
// the hour has changed or the segment has no room for the charges. In the latter case two segments have the same
// start.
func (a *Accounts) rotateSegment(settlement *Settlement, team string, charges []ClassUsage, hour time.Time) {
	open := &settlement.Open
	if len(open.Usage) == 0 {
		open.Start = hour
		return
	}
	if hour.Equal(open.Start) && a.hasRoom(open, charges) {
		return
	}
	settlement.Closed = open.close(team, a.settings.Hasher)
	open.Number++
	open.PrevLink, open.Usage, open.Start = settlement.Closed.Link(), nil, hour
}

// hasRoom reports whether an open segment can take all charges without exceeding the maximum record size.
func (a *Accounts) hasRoom(open *OpenSegment, charges []ClassUsage) bool {
	usage := slices.Clone(open.Usage)
	for _, charge := range charges {
		usage = AddUsage(usage, charge.Class, charge.Usage)
	}
	return RecordSizeBound(open.Team, usage) <= a.settings.MaxRecordBytes
}

// addCharges adds charges to a settlement and returns those for which its open segment has no room. They are left for
// the next settlement. An empty segment always takes one job class, whatever its size.
func (a *Accounts) addCharges(settlement *Settlement, team string, charges []ClassUsage) (rest []ClassUsage) {
	for _, charge := range charges {
		usage := AddUsage(slices.Clone(settlement.Open.Usage), charge.Class, charge.Usage)
		if len(usage) > 1 && RecordSizeBound(team, usage) > a.settings.MaxRecordBytes {
			rest = append(rest, charge)
			continue
		}
		settlement.Open.Usage = usage
		settlement.charges = append(settlement.charges, charge)
	}
	return rest
}

// cost returns the weighted cost of charges in CPU-microseconds. The cost of each job class is rounded down
// separately.
func (a *Accounts) cost(charges []ClassUsage) uint64 {
	var sum uint64
	for _, charge := range charges {
		sum += a.settings.Weights.cost(charge.Usage)
	}
	return sum
}

// DiscardEmptySettlement removes the pending settlement of a team if it is empty. The caller must not have sent it.
func (a *Accounts) DiscardEmptySettlement(team string) {
	if account := a.byTeam[team]; account != nil && account.pending != nil && account.pending.IsEmpty() {
		account.clearPending()
	}
}

// SettlementCompleted records that the pending settlement of a team was committed. version is the new version of the
// stored record. The call has no effect if no settlement is pending.
func (a *Accounts) SettlementCompleted(team string, version uint64) {
	account := a.byTeam[team]
	if account == nil || account.pending == nil {
		return
	}
	account.record, account.version, account.recordAsOf = account.pending.Open, version, account.pending.createdAt
	account.clearPending()
}

// SettlementRefused records that the stored record did not have the version that the pending settlement of a team
// requires. Either the settlement was committed before, or the record is not the one that this leader expects. The
// account is unreconciled until the record is passed to Reconcile.
func (a *Accounts) SettlementRefused(now time.Time, team string) {
	account := a.byTeam[team]
	if account == nil || account.pending == nil || account.state == accountUnreconciled {
		return
	}
	if account.transition(accountUnreconciled) {
		account.unreconciledSince = now
		a.unreconciledCount++
	}
}

// UnreconciledTeams returns the sorted names of the teams whose records have to be read and passed to Reconcile.
func (a *Accounts) UnreconciledTeams() []string {
	if a.unreconciledCount == 0 {
		return nil // the common case
	}
	var teams []string
	for team, account := range a.byTeam {
		if account.state == accountUnreconciled {
			teams = append(teams, team)
		}
	}
	slices.Sort(teams)
	return teams
}

// Reconcile compares the stored record of a team with its refused settlement. Only this leader writes with its
// fencing token, and it has one pending settlement per team. Therefore the record is normally either the result of
// the settlement, which then counts as completed, or the record that the settlement is based on. In the latter case
// Reconcile returns the settlement, with the current version, to be sent again.
//
// Any other record was written by a later leader, which this leader does not know of yet, or was changed by hand.
// Then foreign is true, the account continues from that record, and its next settlement contains the charges again.
// The call has no effect if the team has no refused settlement.
func (a *Accounts) Reconcile(team string, stored StoredAccount) (resend *Settlement, foreign bool) {
	account := a.byTeam[team]
	if account == nil || account.state != accountUnreconciled {
		return nil, false
	}
	a.unreconciledCount--
	record, expected := &stored.Open, &account.pending.Open
	switch {
	case record.FencingToken == a.fencingToken && record.Settlements == expected.Settlements:
		a.SettlementCompleted(team, stored.Version)
		return nil, false
	case record.Settlements == expected.Settlements-1:
		retry := *account.pending
		retry.Version = stored.Version
		account.pending, account.version = &retry, stored.Version
		account.transition(accountSettling)
		return account.pending, false
	}
	for _, charge := range account.pending.charges {
		account.unsettled = AddUsage(account.unsettled, charge.Class, charge.Usage)
	}
	account.record, account.version = *record, stored.Version
	if stored.Version == 0 {
		account.record = newOpenSegment(team)
	}
	account.clearPending()
	return nil, true
}
