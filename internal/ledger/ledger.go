// Package ledger accounts for what teams use and why their tasks wait: integer amounts, one account a team, segments
// that are chained by their hashes, and fair shares from decayed usage. It is pure: it performs no input or output and
// reads no clock.
//
// A leader creates its Accounts from the records that it finds, calls Charge for what is used, and settles the accounts
// that DueTeams lists: it sends what Settle returns to the state service and reports the outcome by
// SettlementCompleted or SettlementRefused. The records of accounts that Unreconciled lists have to be read and passed
// to Reconcile. Old segments are merged by Fold.
//
// docs/ledger.md says what counts and why; docs/safety.md, "Ledger", why nothing is charged twice.
package ledger

import (
	"slices"
	"time"
)

const (
	// checksPerSettleInterval is how often accounts are checked within Settings.SettleInterval.
	checksPerSettleInterval = 2

	// decayWritesPerHalfLife is how often the decay of an account without charges is recorded within a half-life.
	decayWritesPerHalfLife = 16

	// maxReconcileWait is how long the end of a job waits for an account that has to be reconciled.
	maxReconcileWait = 2 * time.Second
)

// Settings are the operators' settings of the ledger.
type Settings struct {
	SettleInterval time.Duration // between settlements of one account
	HalfLife       time.Duration // of decayed usage
	Weights        Weights
	MaxRecordBytes int // of one stored segment
	Retention      Retention
	Seal           *Seal
}

// Accounts are the accounts of all teams, as one leader keeps them under one fencing token. Times are those of the
// leader's monotonic clock; the time of day only names segments.
type Accounts struct {
	settings     Settings
	fencingToken uint64
	start        time.Time
	byTeam       map[string]*account
	nextCheck    time.Time
	unreconciled int // accounts that have to be reconciled
}

// StoredAccount is the stored record of a team's account.
type StoredAccount struct {
	Open    OpenSegment
	Version uint64 // of the record; 0: there is none
	Err     error  // why this program version cannot read the record: of Open only the team is known then
}

// NewAccounts returns the accounts of a leader that has just taken over, as their records say.
func NewAccounts(now time.Time, settings Settings, fencingToken uint64, records []StoredAccount) *Accounts {
	l := &Accounts{
		settings:     settings,
		fencingToken: fencingToken,
		start:        now,
		byTeam:       map[string]*account{},
		nextCheck:    now.Add(settings.SettleInterval / checksPerSettleInterval),
	}
	for _, stored := range records {
		a := l.account(now, stored.Open.Team)
		a.record, a.version, a.unreadable = stored.Open, stored.Version, stored.Err != nil
	}
	return l
}

// account is a team's account, which is created where there is none.
func (l *Accounts) account(now time.Time, team string) *account {
	a := l.byTeam[team]
	if a == nil {
		a = &account{state: accountClean, record: newOpenSegment(team), asOf: now}
		l.byTeam[team] = a
	}
	return a
}

// Instant is a moment of the monotonic clock in whole milliseconds since the takeover. Differences of instants add up
// to that of the first and the last one, so a span that is charged in parts is charged the same as in one.
func (l *Accounts) Instant(t time.Time) uint64 {
	return uint64(max(t.Sub(l.start)/time.Millisecond, 0))
}

// Charge adds usage of one job class to a team's account.
func (l *Accounts) Charge(now time.Time, team, class string, usage Usage) {
	if usage == (Usage{}) {
		return
	}
	a := l.account(now, team)
	a.unsettled = AddUsage(a.unsettled, class, usage)
	if a.state == accountClean {
		a.transition(accountCharged)
	}
}

// NextCheck is when DueTeams is to be called next.
func (l *Accounts) NextCheck() time.Time { return l.nextCheck }

// DueTeams lists the teams whose accounts are to be settled now.
func (l *Accounts) DueTeams(now time.Time) []string {
	if now.Before(l.nextCheck) {
		return nil
	}
	l.nextCheck = now.Add(l.settings.SettleInterval / checksPerSettleInterval)
	var teams []string
	for team, a := range l.byTeam {
		if l.due(now, a) {
			teams = append(teams, team)
		}
	}
	slices.Sort(teams)
	return teams
}

// due reports whether an account is to be settled: it has had charges for long enough, or its decay has not been
// recorded for long. Without the latter the decayed usage of an idle team would stand still through one failover after
// another.
func (l *Accounts) due(now time.Time, a *account) bool {
	if a.unreadable {
		return false
	}
	age := now.Sub(a.asOf)
	switch a.state {
	case accountCharged:
		return age >= l.settings.SettleInterval
	case accountClean:
		return a.record.DecayedUsage > 0 && age > l.settings.HalfLife/decayWritesPerHalfLife
	}
	return false
}

// HasPending reports whether a settlement of the team has been made whose outcome is not known.
func (l *Accounts) HasPending(team string) bool {
	a := l.byTeam[team]
	return a != nil && a.pending != nil
}

// BlocksJobEnd reports whether the end of a job of the team has to wait for its account. It does not wait for long for
// one that has to be reconciled: a record that cannot be read must not keep every job of its team from ending.
func (l *Accounts) BlocksJobEnd(now time.Time, team string) bool {
	a := l.byTeam[team]
	if a == nil || a.pending == nil {
		return false
	}
	return a.state != accountUnreconciled || now.Sub(a.unreconciledSince) < maxReconcileWait
}

// UnrecordedUsage is what a team has used that is not on record: it may be lost with this leader.
func (l *Accounts) UnrecordedUsage(team string) Usage {
	a := l.byTeam[team]
	if a == nil {
		return Usage{}
	}
	usage := Total(a.unsettled)
	if a.pending != nil {
		usage.Add(Total(a.pending.charges))
	}
	return usage
}

// DecayedUsage is a team's decayed usage as of now, with what is not on record yet, in weighted CPU-microseconds.
func (l *Accounts) DecayedUsage(now time.Time, team string) uint64 {
	a := l.byTeam[team]
	if a == nil {
		return 0
	}
	recorded := decay(a.record.DecayedUsage, now.Sub(a.asOf), l.settings.HalfLife)
	return recorded + l.settings.Weights.cost(l.UnrecordedUsage(team))
}
