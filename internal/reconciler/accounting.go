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

// LedgerSettings configures the usage accounting of a Core. docs/ledger.md defines what counts as run time;
// docs/safety.md, "Ledger", argues why nothing is charged twice.
type LedgerSettings struct {
	ledger.Settings
	// FairShare orders requests beyond the teams' guarantees by the teams' fair shares.
	FairShare bool
	// Weights are the fair-share weights by team name.
	Weights map[string]float64
	// TimeOfDay converts a time of the monotonic clock to the time of day, which names ledger segments.
	TimeOfDay func(now time.Time) time.Time
}

// MaxSegmentsRead bounds the closed segments that one ReadSegments effect reads in order to find those that are old
// enough to be compacted.
const MaxSegmentsRead = 400

const (
	compactionInterval  = 5 * time.Second        // minimum time between reads of closed segments for compaction
	accountReadInterval = 500 * time.Millisecond // minimum time between reads of unreconciled accounts
)

// accounting charges the run time and the waiting time of tasks to their teams. It is nil if no ledger is kept. The
// methods that are called for every event do nothing on a nil receiver.
type accounting struct {
	settings *LedgerSettings
	log      *slog.Logger
	ledger   *ledger.Accounts

	waiting             map[*model.Job]waitingPeriod
	nextWaitingChargeAt time.Time // earliest time of the next charge for waiting

	fairShareBands        map[string]int // by team name
	nextFairShareUpdateAt time.Time      // earliest time of the next update of fairShareBands

	accountReadPending  bool            // a ReadAccounts effect for unreconciled accounts is unanswered
	nextAccountReadAt   time.Time       // earliest time of the next ReadAccounts effect
	deferredJobEnds     []record.Change // job ends that wait until their team's account is reconciled
	rejectedSettlements []record.Change // settlements that the state service rejected, to be retried
	rejectedRetryAt     time.Time       // rejectedSettlements are retried after this time

	teamsToCompact    map[string]bool // teams that may have segments old enough to be compacted
	compactionPending bool            // a read of segments or a compaction is in progress
	nextCompactionAt  time.Time       // earliest time of the next read of segments
}

// openAccounts restores the teams' accounts from their stored records. Usage between the previous leader's last
// settlement and this takeover is not accounted, because what the previous leader observed in that interval was never
// written. The interval itself is recorded.
func (c *Core) openAccounts(now time.Time, accounts []ledger.StoredAccount) {
	settings := c.settings.Ledger
	if settings == nil {
		return
	}
	c.accounting = &accounting{
		settings:       settings,
		log:            c.log,
		ledger:         ledger.NewAccounts(now, settings.Settings, c.fencingToken, accounts),
		waiting:        map[*model.Job]waitingPeriod{},
		fairShareBands: map[string]int{},
		teamsToCompact: map[string]bool{},
	}
	last := c.accounting.lastSettled(accounts)
	if last.FencingToken == 0 || last.FencingToken >= c.fencingToken {
		return // the ledger starts with this leader, or its records were replaced
	}
	interval := &ledger.UnaccountedInterval{
		Start: last.SettledAt, End: settings.TimeOfDay(now),
		FencingToken: c.fencingToken, UnsettledLeaders: c.fencingToken - last.FencingToken - 1,
	}
	c.log.Info("usage between leaders not accounted", "from", interval.Start, "to", interval.End,
		"leaders_without_ledger", interval.UnsettledLeaders)
	c.commits.add(record.Change{Kind: record.PutUnaccounted, Unaccounted: interval})
}

// lastSettled returns an OpenSegment that holds the highest fencing token among the stored accounts and the time of
// the last settlement under it. Unreadable accounts are logged and skipped.
func (a *accounting) lastSettled(accounts []ledger.StoredAccount) (last ledger.OpenSegment) {
	for _, account := range accounts {
		open := &account.Open
		if account.Err != nil {
			a.log.Error("cannot read stored team account", "team", open.Team,
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

// beginCharging starts to charge an attempt for run time at the first message that shows it running. adopted states
// that the attempt was adopted from a worker's report, because another leader launched it or this leader had dropped
// it; it is then counted as adopted instead of started. Later calls for the same attempt have no effect.
func (a *accounting) beginCharging(now time.Time, attempt *model.Attempt, phase model.Phase, adopted bool) {
	if a == nil || !attempt.ChargedUntil.IsZero() || attempt.Job == nil {
		return
	}
	if phase != model.PhaseRunning && phase != model.PhaseCheckpointing {
		return
	}
	attempt.ChargedFrom, attempt.ChargedUntil = now, now
	usage := ledger.Usage{Starts: 1}
	if adopted {
		usage = ledger.Usage{Adopted: 1}
	}
	a.ledger.Charge(now, attempt.Team, attempt.Job.Spec.Class, usage)
}

// chargeUntil charges the run time of an attempt up to the time of a message about it. It does nothing if the attempt
// is not being charged or is already charged up to that time.
func (a *accounting) chargeUntil(now time.Time, attempt *model.Attempt, until time.Time) {
	if a == nil || attempt.ChargedUntil.IsZero() || !until.After(attempt.ChargedUntil) {
		return
	}
	milliseconds := a.ledger.MillisSinceTakeover(until) - a.ledger.MillisSinceTakeover(attempt.ChargedUntil)
	attempt.ChargedUntil = until
	a.ledger.Charge(now, attempt.Team, attempt.Job.Spec.Class, ledger.RateOf(attempt.Demand).Usage(milliseconds))
}

// chargeWasted charges as wasted the run time that has to be repeated because the attempt neither completed nor saved
// a checkpoint on exit. That is all of its run time or, if the job saves periodic checkpoints, the time since the last
// of them. Nothing is charged for services and for jobs that have ended.
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
	a.ledger.Charge(now, attempt.Team, job.Spec.Class, ledger.Usage{WastedCPU: wasted})
	attempt.ChargedFrom = attempt.ChargedUntil
}

// chargeAll charges each active attempt up to the last message from its machine.
func (c *Core) chargeAll(now time.Time) {
	for _, machine := range c.machines {
		for _, attempt := range machine.ActiveAttempts() {
			c.accounting.chargeUntil(now, attempt, machine.LastSeen)
		}
	}
}

// runAccounting queues the settlements that are due and requests the account and segment records that are to be read.
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
	c.queueDeferredJobEnds(now)
	if !accounting.accountReadPending && !now.Before(accounting.nextAccountReadAt) {
		if teams := accounting.ledger.UnreconciledTeams(); len(teams) > 0 {
			accounting.accountReadPending = true
			c.emit(ReadAccounts{teams})
		}
	}
	if len(accounting.teamsToCompact) > 0 && !accounting.compactionPending && !now.Before(accounting.nextCompactionAt) {
		// All teams close their segments at the turn of the hour, so the reads are spread over time.
		accounting.compactionPending, accounting.nextCompactionAt = true, now.Add(compactionInterval)
		c.emit(ReadSegments{slices.Min(slices.Collect(maps.Keys(accounting.teamsToCompact)))})
	}
}

// accountsReceived compares stored accounts with the pending settlements to determine whether each settlement was
// committed. A settlement that was not committed is queued again.
func (c *Core) accountsReceived(now time.Time, event AccountsReceived) {
	accounting := c.accounting
	accounting.accountReadPending = false
	accounting.nextAccountReadAt = now.Add(accountReadInterval)
	for team, account := range event.Accounts {
		settlement, foreign := accounting.ledger.Reconcile(team, account)
		if foreign {
			c.log.Error("team account record does not match the pending settlement", "team", team,
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

// segmentsReceived queues a compaction of the first run of a team's closed segments that are old enough. If there is
// none, or the segments could not be read, the team is not considered again until it closes another segment.
func (c *Core) segmentsReceived(now time.Time, event SegmentsReceived) {
	accounting := c.accounting
	settings := accounting.settings
	compacted, first, count := ledger.Compact(
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
