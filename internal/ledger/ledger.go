// Package ledger accounts for the resources that teams use and for the time that their tasks wait, by cause. Each
// team has one account, which is stored as a hash chain of segments with integer amounts. A segment covers one hour,
// and old ones are merged into days and months.
//
// The package also computes the teams' fair shares. They are based on decayed usage: the past usage of a team, in
// which an amount loses half of its weight with each half-life. The package performs no input or output and reads no
// clock. Its types are not safe for concurrent use.
//
// A leader creates Accounts from the stored records and adds usage with Charge. Charges are stored by settlements:
// the leader sends the Settlement that Settle returns for each of the DueTeams to the state service, and reports the
// outcome with SettlementCompleted or SettlementRefused. It reads the records of the teams that UnreconciledTeams
// returns and passes them to Reconcile. Compact merges old segments.
//
// docs/ledger.md defines what is charged and why; docs/safety.md, "Ledger", argues why nothing is charged twice.
package ledger

import (
	"slices"
	"time"
)

const (
	// checksPerSettleInterval is the number of times per Settings.SettleInterval that DueTeams checks the accounts.
	checksPerSettleInterval = 2

	// decayWritesPerHalfLife is the number of times per half-life that the decayed usage of an account without
	// charges is recorded.
	decayWritesPerHalfLife = 16

	// maxReconcileWait bounds the time that the end of a job waits for an unreconciled account.
	maxReconcileWait = 2 * time.Second
)

// Settings are the operators' settings of the ledger.
type Settings struct {
	SettleInterval time.Duration // minimum time between periodic settlements of one account
	HalfLife       time.Duration // half-life of decayed usage; usage does not decay if it is 0
	Weights        Weights
	MaxRecordBytes int // maximum size of one stored segment
	Retention      Retention
	Hasher         *SegmentHasher
}

// Accounts holds the accounts of all teams for one leader with one fencing token. Parameters named now are times of
// the leader's monotonic clock. The time of day is used only for the stored start times of segments and times of
// settlements.
type Accounts struct {
	settings          Settings
	fencingToken      uint64
	takeoverAt        time.Time // when the leader took over
	byTeam            map[string]*teamAccount
	nextCheck         time.Time // earliest time at which DueTeams checks the accounts again
	unreconciledCount int       // number of accounts in the state accountUnreconciled
}

// StoredAccount is the stored record of a team's account.
type StoredAccount struct {
	Open    OpenSegment
	Version uint64 // version of the record; 0 if there is no record
	Err     error  // why this program version cannot read the record; only Open.Team is valid if it is not nil
}

// NewAccounts returns the accounts that a leader with the given fencing token restores from the stored records. now
// is the time of the takeover.
func NewAccounts(now time.Time, settings Settings, fencingToken uint64, records []StoredAccount) *Accounts {
	accounts := &Accounts{
		settings:     settings,
		fencingToken: fencingToken,
		takeoverAt:   now,
		byTeam:       map[string]*teamAccount{},
		nextCheck:    now.Add(settings.SettleInterval / checksPerSettleInterval),
	}
	for _, stored := range records {
		account := accounts.getOrCreate(now, stored.Open.Team)
		account.record, account.version, account.unreadable = stored.Open, stored.Version, stored.Err != nil
	}
	return accounts
}

// getOrCreate returns a team's account. It creates an empty one for a team without a stored record.
func (a *Accounts) getOrCreate(now time.Time, team string) *teamAccount {
	account := a.byTeam[team]
	if account == nil {
		account = &teamAccount{state: accountClean, record: newOpenSegment(team), recordAsOf: now}
		a.byTeam[team] = account
	}
	return account
}

// MillisSinceTakeover converts a time of the monotonic clock to whole milliseconds since the takeover. Times before the
// takeover yield 0. Charges are computed from the difference of two instants, so that rounding does not accumulate: a
// period that is charged in several parts costs the same as one that is charged at once.
func (a *Accounts) MillisSinceTakeover(t time.Time) uint64 {
	return uint64(max(t.Sub(a.takeoverAt)/time.Millisecond, 0))
}

// Charge adds the usage of one job class to a team's account. The usage is stored with the next settlement.
func (a *Accounts) Charge(now time.Time, team, class string, usage Usage) {
	if usage == (Usage{}) {
		return
	}
	account := a.getOrCreate(now, team)
	account.unsettled = AddUsage(account.unsettled, class, usage)
	if account.state == accountClean {
		account.transition(accountCharged)
	}
}

// NextCheck returns the earliest time at which DueTeams checks the accounts again.
func (a *Accounts) NextCheck() time.Time { return a.nextCheck }

// DueTeams returns the sorted names of the teams whose accounts are to be settled now. It returns nil before
// NextCheck.
func (a *Accounts) DueTeams(now time.Time) []string {
	if now.Before(a.nextCheck) {
		return nil
	}
	a.nextCheck = now.Add(a.settings.SettleInterval / checksPerSettleInterval)
	var teams []string
	for team, account := range a.byTeam {
		if a.isDue(now, account) {
			teams = append(teams, team)
		}
	}
	slices.Sort(teams)
	return teams
}

// isDue reports whether an account is to be settled: either it has charges and its record is older than the settle
// interval, or it has no charges and its decayed usage was recorded more than HalfLife/decayWritesPerHalfLife ago.
// Without the second condition the decayed usage of an idle team would not decrease if the leader changes often,
// since a new leader starts from the recorded value.
func (a *Accounts) isDue(now time.Time, account *teamAccount) bool {
	if account.unreadable {
		return false
	}
	age := now.Sub(account.recordAsOf)
	switch account.state {
	case accountCharged:
		return age >= a.settings.SettleInterval
	case accountClean:
		return account.record.DecayedUsage > 0 && age > a.settings.HalfLife/decayWritesPerHalfLife
	}
	return false
}

// HasPending reports whether the team has a settlement whose outcome is not known yet.
func (a *Accounts) HasPending(team string) bool {
	account := a.byTeam[team]
	return account != nil && account.pending != nil
}

// BlocksJobEnd reports whether the end of a job of the team has to wait because the team has a pending settlement.
// The wait for an unreconciled account is bounded by maxReconcileWait: a record that cannot be read must not keep all
// jobs of the team from ending.
func (a *Accounts) BlocksJobEnd(now time.Time, team string) bool {
	account := a.byTeam[team]
	if account == nil || account.pending == nil {
		return false
	}
	return account.state != accountUnreconciled || now.Sub(account.unreconciledSince) < maxReconcileWait
}

// UnrecordedUsage returns the usage of a team that is not known to be in its stored record. It may be lost if this
// leader fails.
func (a *Accounts) UnrecordedUsage(team string) Usage {
	account := a.byTeam[team]
	if account == nil {
		return Usage{}
	}
	usage := TotalUsage(account.unsettled)
	if account.pending != nil {
		usage.Add(TotalUsage(account.pending.charges))
	}
	return usage
}

// DecayedUsage returns a team's decayed usage at the time now, including its unrecorded usage, in weighted
// CPU-microseconds. Unrecorded usage is not decayed.
func (a *Accounts) DecayedUsage(now time.Time, team string) uint64 {
	account := a.byTeam[team]
	if account == nil {
		return 0
	}
	recorded := decay(account.record.DecayedUsage, now.Sub(account.recordAsOf), a.settings.HalfLife)
	return recorded + a.settings.Weights.cost(a.UnrecordedUsage(team))
}
