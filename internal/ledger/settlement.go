package ledger

import (
	"slices"
	"time"
)

// Settlement is one change of a team's record. It stays the same however often it is sent: its condition, the version
// of the record that it is based on, lets it be carried out at most once (docs/safety.md, "Ledger").
type Settlement struct {
	Version uint64 // of the record that it is based on; 0: there must be none
	Open    OpenSegment
	Closed  *Segment // that it closes; nil: none
	sentAt  time.Time
	charges []ClassUsage // that it adds to the record
}

// Empty reports whether a settlement says nothing that its record does not.
func (s *Settlement) Empty() bool { return s.Closed == nil && len(s.charges) == 0 }

// Settle makes the settlement of a team's account; day is the time of day. It returns nil while one is pending or the
// record cannot be read.
func (l *Accounts) Settle(now, day time.Time, team string) *Settlement {
	a := l.account(now, team)
	if a.unreadable || a.pending != nil || !a.transition(accountSettling) {
		return nil
	}
	s := &Settlement{Version: a.version, Open: a.record, sentAt: now}
	s.Open.Usage = slices.Clone(a.record.Usage)
	l.startSegment(s, team, a.unsettled, Hour.Start(day))
	a.unsettled = l.addCharges(s, team, a.unsettled)
	decayed := decay(a.record.DecayedUsage, now.Sub(a.asOf), l.settings.HalfLife)
	s.Open.DecayedUsage = decayed + l.cost(s.charges)
	s.Open.Settlements++
	s.Open.FencingToken, s.Open.SettledAt = l.fencingToken, day
	a.pending = s
	return s
}

// startSegment closes the open segment of a settlement in another hour, or where it has no room for a job class of the
// charges: then the next one has the same start, and the next number.
func (l *Accounts) startSegment(s *Settlement, team string, charges []ClassUsage, hour time.Time) {
	open := &s.Open
	if len(open.Usage) == 0 {
		open.Start = hour
		return
	}
	if hour.Equal(open.Start) && l.fits(open, charges) {
		return
	}
	s.Closed = open.close(team, l.settings.Seal)
	open.Number++
	open.Prev, open.Usage, open.Start = s.Closed.Link(), nil, hour
}

// fits reports whether an open segment has room for charges.
func (l *Accounts) fits(open *OpenSegment, charges []ClassUsage) bool {
	usage := slices.Clone(open.Usage)
	for _, charge := range charges {
		usage = AddUsage(usage, charge.Class, charge.Usage)
	}
	return RecordSize(open.Team, usage) <= l.settings.MaxRecordBytes
}

// addCharges adds charges to a settlement as far as its segment has room, and returns the rest, which is left for the
// next one.
func (l *Accounts) addCharges(s *Settlement, team string, charges []ClassUsage) (rest []ClassUsage) {
	for _, charge := range charges {
		usage := AddUsage(slices.Clone(s.Open.Usage), charge.Class, charge.Usage)
		if len(usage) > 1 && RecordSize(team, usage) > l.settings.MaxRecordBytes {
			rest = append(rest, charge)
			continue
		}
		s.Open.Usage = usage
		s.charges = append(s.charges, charge)
	}
	return rest
}

// cost is the weighted cost of charges. It is rounded for each job class.
func (l *Accounts) cost(charges []ClassUsage) uint64 {
	var sum uint64
	for _, charge := range charges {
		sum += l.settings.Weights.cost(charge.Usage)
	}
	return sum
}

// Discard takes back an empty settlement that was not sent.
func (l *Accounts) Discard(team string) {
	if a := l.byTeam[team]; a != nil && a.pending != nil && a.pending.Empty() {
		a.clearPending()
	}
}

// SettlementCompleted notes that the pending settlement was carried out, and the version of the record since then.
func (l *Accounts) SettlementCompleted(team string, version uint64) {
	a := l.byTeam[team]
	if a == nil || a.pending == nil {
		return
	}
	a.record, a.version, a.asOf = a.pending.Open, version, a.pending.sentAt
	a.clearPending()
}

// SettlementRefused notes that the condition of the pending settlement did not hold: it was carried out before, or the
// record is not what this leader expects. The record has to be read.
func (l *Accounts) SettlementRefused(now time.Time, team string) {
	a := l.byTeam[team]
	if a == nil || a.pending == nil || a.state == accountUnreconciled {
		return
	}
	if a.transition(accountUnreconciled) {
		a.unreconciledSince = now
		l.unreconciled++
	}
}

// Unreconciled lists the teams whose records have to be read.
func (l *Accounts) Unreconciled() []string {
	if l.unreconciled == 0 {
		return nil // as almost always
	}
	var teams []string
	for team, a := range l.byTeam {
		if a.state == accountUnreconciled {
			teams = append(teams, team)
		}
	}
	slices.Sort(teams)
	return teams
}

// Reconcile compares the record of a team with its pending settlement. Only this leader writes under its fencing token,
// one settlement at a time, so the record is either the result of that settlement or what it is based on. In the first
// case Reconcile returns nil, in the second the settlement to send again. Any other record was written by a later
// leader, of which this one is about to learn, or changed by hand: then foreign is true, the account goes on from that
// record, and the next settlement contains the charges.
func (l *Accounts) Reconcile(team string, stored StoredAccount) (again *Settlement, foreign bool) {
	a := l.byTeam[team]
	if a == nil || a.state != accountUnreconciled {
		return nil, false
	}
	l.unreconciled--
	record, expected := &stored.Open, &a.pending.Open
	switch {
	case record.FencingToken == l.fencingToken && record.Settlements == expected.Settlements:
		l.SettlementCompleted(team, stored.Version)
		return nil, false
	case record.Settlements == expected.Settlements-1:
		retry := *a.pending
		retry.Version = stored.Version
		a.pending, a.version = &retry, stored.Version
		a.transition(accountSettling)
		return a.pending, false
	}
	for _, charge := range a.pending.charges {
		a.unsettled = AddUsage(a.unsettled, charge.Class, charge.Usage)
	}
	a.record, a.version = *record, stored.Version
	if stored.Version == 0 {
		a.record = newOpenSegment(team)
	}
	a.clearPending()
	return nil, true
}
