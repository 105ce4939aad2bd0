package reconciler

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
)

// LedgerSettings are what the accounting works by. docs/ledger.md defines what counts as run time; docs/safety.md,
// "Ledger", argues why nothing is charged twice.
type LedgerSettings struct {
	ledger.Settings
	FairShare bool                          // teams' shares order what goes beyond guarantees
	Weights   map[string]float64            // by team
	TimeOfDay func(now time.Time) time.Time // at a moment of the steady clock; it names segments
}

// MaxSegmentsRead is how many closed segments are read to find those that are old enough to be compacted.
const MaxSegmentsRead = 400

const (
	compactionInterval  = 5 * time.Second        // between looks through teams' closed segments
	accountReadInterval = 500 * time.Millisecond // between readings of accounts that are not reconciled
)

// accounting charges teams for what their tasks use and wait. It is nil where no ledger is kept: the methods that are
// called for every event do nothing then.
type accounting struct {
	settings *LedgerSettings
	log      *slog.Logger
	ledger   *ledger.Accounts

	waiting   map[*model.Job]waitingTasks
	waitingAt time.Time // waiting is not charged before this

	fairShareBands map[string]int // by team
	fairSharesAt   time.Time      // bands are not updated before this

	readPending         bool            // accounts that are not reconciled are being read
	readAt              time.Time       // none is read before this
	heldEnds            []record.Change // ends of jobs whose settlement's outcome is unknown
	rejectedSettlements []record.Change // by the state service; tried again later
	rejectedRetryAt     time.Time

	teamsToCompact    map[string]bool // teams whose segments may have become old enough
	compactionPending bool
	compactionAt      time.Time // none is looked through before this
}

// openAccounts continues the accounts on record. The time since the last leader settled them is not accounted: what
// it observed after that is on no record.
func (c *Core) openAccounts(now time.Time, accounts []ledger.StoredAccount) {
	settings := c.settings.Ledger
	if settings == nil {
		return
	}
	c.accounting = &accounting{
		settings:       settings,
		log:            c.log,
		ledger:         ledger.NewAccounts(now, settings.Settings, c.fencingToken, accounts),
		waiting:        map[*model.Job]waitingTasks{},
		fairShareBands: map[string]int{},
		teamsToCompact: map[string]bool{},
	}
	last := c.accounting.lastSettled(accounts)
	if last.FencingToken == 0 || last.FencingToken >= c.fencingToken {
		return // the ledger begins here, or its records were replaced
	}
	interval := &ledger.Interval{
		Start: last.SettledAt, End: settings.TimeOfDay(now),
		FencingToken: c.fencingToken, UnsettledLeaders: c.fencingToken - last.FencingToken - 1,
	}
	c.log.Info("interval not accounted", "from", interval.Start, "to", interval.End,
		"leaders_without_ledger", interval.UnsettledLeaders)
	c.commits.add(record.Change{Kind: record.PutUnaccounted, Unaccounted: interval})
}

// lastSettled returns the latest fencing token and settlement among the accounts on record.
func (a *accounting) lastSettled(accounts []ledger.StoredAccount) (last ledger.OpenSegment) {
	for _, account := range accounts {
		open := &account.Open
		if account.Err != nil {
			a.log.Error("team account unreadable", "team", open.Team,
				"err", account.Err)
			continue
		}
		if open.FencingToken >= last.FencingToken {
			last.FencingToken = open.FencingToken
			if open.SettledAt.After(last.SettledAt) {
				last.SettledAt = open.SettledAt
			}
		}
	}
	return last
}

// beginCharging takes the first message that shows an attempt running: from here on it is charged. What the leader
// did not launch itself, or had running before, is counted as taken over.
func (a *accounting) beginCharging(now time.Time, attempt *model.Attempt, phase model.Phase, takenOver bool) {
	if a == nil || !attempt.ChargedUntil.IsZero() || attempt.Job == nil {
		return
	}
	if phase != model.PhaseRunning && phase != model.PhaseCheckpointing {
		return
	}
	attempt.ChargedFrom, attempt.ChargedUntil = now, now
	usage := ledger.Usage{Starts: 1}
	if takenOver {
		usage = ledger.Usage{TakenOver: 1}
	}
	a.ledger.Charge(now, attempt.Team, attempt.Job.Spec.Class, usage)
}

// chargeUntil charges an attempt's run time up to the moment of a message.
func (a *accounting) chargeUntil(now time.Time, attempt *model.Attempt, until time.Time) {
	if a == nil || attempt.ChargedUntil.IsZero() || !until.After(attempt.ChargedUntil) {
		return
	}
	milliseconds := a.ledger.Instant(until) - a.ledger.Instant(attempt.ChargedUntil)
	attempt.ChargedUntil = until
	a.ledger.Charge(now, attempt.Team, attempt.Job.Spec.Class, ledger.RateOf(attempt.Demand).Usage(milliseconds))
}

// chargeWasted notes the run time of an attempt that has to be repeated, since it neither completed nor saved a
// checkpoint: all of it, or what came after its last periodic checkpoint.
func (a *accounting) chargeWasted(now time.Time, attempt *model.Attempt) {
	if a == nil || attempt.ChargedUntil.IsZero() {
		return
	}
	job := attempt.Job
	if job.Spec.Shape == model.Service || job.State == model.JobEnded {
		return
	}
	ran := attempt.ChargedUntil.Sub(attempt.ChargedFrom)
	if interval := job.Spec.CheckpointInterval; interval > 0 {
		ran %= interval
	}
	wasted := ledger.RateOf(attempt.Demand).Usage(uint64(ran / time.Millisecond)).CPU
	a.ledger.Charge(now, attempt.Team, job.Spec.Class, ledger.Usage{Lost: wasted})
	attempt.ChargedFrom = attempt.ChargedUntil
}

// chargeAll charges what runs up to the last message of its machine.
func (c *Core) chargeAll(now time.Time) {
	for _, machine := range c.machines {
		for _, attempt := range machine.ActiveAttempts() {
			c.accounting.chargeUntil(now, attempt, machine.LastSeen)
		}
	}
}

// runAccounting queues what is due to be settled, read or compacted.
func (c *Core) runAccounting(now time.Time) {
	accounting := c.accounting
	if accounting == nil {
		return
	}
	if !now.Before(accounting.ledger.NextCheck()) {
		c.chargeAll(now)
		for _, team := range accounting.ledger.DueTeams(now) {
			c.commits.add(record.Change{Kind: record.SettleAccount, Team: team})
		}
	}
	if len(accounting.rejectedSettlements) > 0 && now.After(accounting.rejectedRetryAt) {
		c.commits.add(accounting.rejectedSettlements...)
		accounting.rejectedSettlements = nil
	}
	c.queueHeldEnds(now)
	if !accounting.readPending && !now.Before(accounting.readAt) {
		if teams := accounting.ledger.Unreconciled(); len(teams) > 0 {
			accounting.readPending = true
			c.emit(ReadAccounts{teams})
		}
	}
	if len(accounting.teamsToCompact) > 0 && !accounting.compactionPending && !now.Before(accounting.compactionAt) {
		// Segments of all teams are closed at the same time. They are not all read at once.
		accounting.compactionPending, accounting.compactionAt = true, now.Add(compactionInterval)
		c.emit(ReadSegments{slices.Min(slices.Collect(maps.Keys(accounting.teamsToCompact)))})
	}
}

// accountsReceived handles accounts as they are on record, to find out what became of settlements.
func (c *Core) accountsReceived(now time.Time, event AccountsReceived) {
	accounting := c.accounting
	accounting.readPending = false
	accounting.readAt = now.Add(accountReadInterval)
	for team, account := range event.Accounts {
		settlement, foreign := accounting.ledger.Reconcile(team, account)
		if foreign {
			c.log.Error("team account of unknown origin", "team", team,
				"settlements", account.Open.Settlements, "fencing_token", account.Open.FencingToken)
			continue
		}
		c.log.Info("ledger settlement reconciled", "team", team, "committed", settlement == nil,
			"settlements", account.Open.Settlements)
		if settlement != nil {
			c.commits.add(record.Change{Kind: record.SettleAccount, Team: team, Settlement: settlement})
		}
	}
}

// segmentsReceived handles a team's oldest closed segments and queues a compaction of those that are old enough.
func (c *Core) segmentsReceived(now time.Time, event SegmentsReceived) {
	accounting := c.accounting
	settings := accounting.settings
	compacted, first, count := ledger.Fold(
		&settings.Settings, event.Segments, settings.TimeOfDay(now), c.settings.MaxTxnOps)
	if count == 0 {
		delete(accounting.teamsToCompact, event.Team)
		accounting.compactionPending = false
		return
	}
	c.log.Info("ledger segments compacted", "team", event.Team, "segments", count, "into", compacted.Unit.String(),
		"from", compacted.Start)
	c.commits.add(record.Change{Kind: record.CompactAccount, Compaction: &record.Compaction{
		Sources: event.Segments[first : first+count], Result: compacted,
	}})
}
