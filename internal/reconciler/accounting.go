package reconciler

import (
	"maps"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// LedgerSettings is what the accounting goes by. docs/ledger.md defines what counts as run
// time; docs/safety.md, "Ledger", argues why nothing is charged twice.
type LedgerSettings struct {
	ledger.Settings
	FairShare bool                          // teams' shares order what goes beyond guarantees
	Weights   map[string]float64            // by team
	TimeOfDay func(now time.Time) time.Time // the time of day at a moment of the steady clock: it names pages
}

// accounting is a leader's accounting.
type accounting struct {
	settings         *LedgerSettings
	ledger           *ledger.Accounts
	waiting          map[*model.Job]waitingTasks
	waitingAt        time.Time // waiting is not looked over before this
	fairShareClasses map[string]int
	fairSharesAt     time.Time

	readPending         bool      // accounts in doubt are asked for
	readAt              time.Time // none is asked for before this
	heldEnds            []Change  // ends of jobs that went with a settlement that is in doubt
	rejectedSettlements []Change  // settlements that the state service has rejected: tried again at
	rejectedRetryAt     time.Time

	teamsToCompact    map[string]bool // teams whose pages may have become old enough
	compactionPending bool
	compactionAt      time.Time // none is looked through before this
}

// waitingTasks is why a job's tasks have been waiting since when.
type waitingTasks struct {
	cause ledger.WaitCause
	tasks uint64
	since time.Time
}

// openAccounts goes on from the accounts on record. The time since the last leader
// settled them is not accounted: what it saw after that nobody knows.
func (c *Core) openAccounts(now time.Time, snap *Snapshot) {
	set := c.settings.Ledger
	if set == nil {
		return
	}
	c.accounting = &accounting{settings: set, ledger: ledger.NewAccounts(now, set.Settings, c.fencingToken, snap.Accounts), waiting: map[*model.Job]waitingTasks{},
		fairShareClasses: map[string]int{}, teamsToCompact: map[string]bool{}}
	var last ledger.OpenSegment
	for _, r := range snap.Accounts {
		if r.Err != nil {
			c.log.Error("a team's account cannot be read, so nothing is charged to it", "team", r.Open.Team, "err", r.Err)
			continue
		}
		if r.Open.FencingToken >= last.FencingToken {
			last.FencingToken = r.Open.FencingToken
			if r.Open.SettledAt.After(last.SettledAt) {
				last.SettledAt = r.Open.SettledAt
			}
		}
	}
	if last.FencingToken == 0 || last.FencingToken >= c.fencingToken {
		return // the ledger begins here, or somebody has put another one in its place
	}
	s := &ledger.Interval{Start: last.SettledAt, End: set.TimeOfDay(now), FencingToken: c.fencingToken, UnsettledLeaders: c.fencingToken - last.FencingToken - 1}
	c.log.Info("not accounted", "from", s.Start, "to", s.End, "leaders_without_ledger", s.UnsettledLeaders)
	c.pendingChanges = append(c.pendingChanges, Change{Kind: PutUnaccounted, Unaccounted: s})
}

// beginCharging notes the first message that shows an attempt running: from here on it is
// charged. What the leader did not launch itself, or had running before, began unseen.
func (c *Core) beginCharging(now time.Time, a *model.Attempt, p model.Phase, taken bool) {
	if c.accounting == nil || !a.ChargedUntil.IsZero() || a.Job == nil || p != model.PhaseRunning && p != model.PhaseCheckpointing {
		return
	}
	a.ChargedFrom, a.ChargedUntil = now, now
	u := ledger.Usage{Starts: 1}
	if taken {
		u = ledger.Usage{TakenOver: 1}
	}
	c.accounting.ledger.Charge(now, a.Team, a.Job.Spec.Class, u)
}

// chargeUntil charges an attempt's run time up to the moment of a message.
func (c *Core) chargeUntil(now time.Time, a *model.Attempt, upTo time.Time) {
	if c.accounting == nil || a.ChargedUntil.IsZero() || !upTo.After(a.ChargedUntil) {
		return
	}
	b := c.accounting.ledger
	ms := b.Instant(upTo) - b.Instant(a.ChargedUntil)
	a.ChargedUntil = upTo
	b.Charge(now, a.Team, a.Job.Spec.Class, ledger.RateOf(a.Demand).Usage(ms))
}

// chargeWasted notes the run time of an attempt that has to be repeated, since it neither
// completed nor saved: all of it, or what came after the last checkpoint.
func (c *Core) chargeWasted(now time.Time, a *model.Attempt) {
	if c.accounting == nil || a.ChargedUntil.IsZero() || a.Job.Spec.Shape == model.Service || a.Job.State == model.JobEnded {
		return
	}
	ran := a.ChargedUntil.Sub(a.ChargedFrom)
	if every := a.Job.Spec.CheckpointInterval; every > 0 {
		ran %= every
	}
	c.accounting.ledger.Charge(now, a.Team, a.Job.Spec.Class, ledger.Usage{Lost: ledger.RateOf(a.Demand).Usage(uint64(ran / time.Millisecond)).CPU})
	a.ChargedFrom = a.ChargedUntil
}

// chargeWaiting charges what waited since the last look to the causes of that time, and notes
// what keeps each job waiting from now on.
func (c *Core) chargeWaiting(now time.Time, lacking []scheduler.Shortage) {
	if c.accounting == nil || now.Before(c.accounting.waitingAt) {
		return
	}
	c.accounting.waitingAt = now.Add(waitingInterval)
	why := make(map[*model.Job]scheduler.WaitReason, len(lacking))
	for _, l := range lacking {
		if _, ok := why[l.Request.Job]; !ok {
			why[l.Request.Job] = l.Reason
		}
	}
	for _, j := range c.jobsByAge {
		var w *waitingTasks
		if n := j.Waiting(); n > 0 && j.State == model.JobActive {
			w = &waitingTasks{cause: c.waitingCause(now, j, why), tasks: uint64(n), since: now}
		}
		c.recordWaiting(now, j, w)
	}
}

// waitingInterval is how fine waiting is told apart: passes come up to twenty times a second.
const waitingInterval = 250 * time.Millisecond

// waitingCause tells what keeps a job's tasks waiting.
func (c *Core) waitingCause(now time.Time, j *model.Job, why map[*model.Job]scheduler.WaitReason) ledger.WaitCause {
	reason, lacks := why[j]
	switch {
	case !startable(j):
		return ledger.WaitDependencies
	case now.Before(j.RetryNotBefore):
		return ledger.WaitBackoff
	case c.mayAlreadyRun(j):
		return ledger.WaitFailover
	case reason == scheduler.WaitQuota, !lacks && c.hasQuota(j):
		return ledger.WaitQuota // what a pass does not lack and does not place is beyond the limit
	case reason == scheduler.WaitGuarantee:
		return ledger.WaitGuarantee
	case reason == scheduler.WaitFairShare:
		return ledger.WaitFairShare
	}
	return ledger.WaitCapacity
}

// hasQuota tells whether a job's team has a limit that its tasks could wait under.
func (c *Core) hasQuota(j *model.Job) bool {
	t := c.teams[j.Spec.Team]
	return t != nil && t.Quota.Limited()
}

// recordWaiting charges what a job's tasks waited, and begins to count anew; nil: none waits.
func (c *Core) recordWaiting(now time.Time, j *model.Job, next *waitingTasks) {
	if c.accounting == nil {
		return
	}
	w, ok := c.accounting.waiting[j]
	if next != nil {
		c.accounting.waiting[j] = *next
	} else if ok {
		delete(c.accounting.waiting, j)
	}
	b := c.accounting.ledger
	if ms := b.Instant(now) - b.Instant(w.since); ok && ms > 0 {
		var u ledger.Usage
		u.Wait[w.cause] = ms * w.tasks
		b.Charge(now, j.Spec.Team, j.Spec.Class, u)
	}
}

// runAccounting queues what is due to be settled.
func (c *Core) runAccounting(now time.Time) {
	acc := c.accounting
	if acc == nil {
		return
	}
	if !now.Before(acc.ledger.NextCheck()) {
		c.chargeAll(now)
		for _, team := range acc.ledger.DueTeams(now) {
			c.pendingChanges = append(c.pendingChanges, Change{Kind: SettleAccount, Team: team})
		}
	}
	if len(acc.rejectedSettlements) > 0 && now.After(acc.rejectedRetryAt) {
		c.pendingChanges = append(c.pendingChanges, acc.rejectedSettlements...)
		acc.rejectedSettlements = nil
	}
	acc.heldEnds = slices.DeleteFunc(acc.heldEnds, func(s Change) bool {
		j := c.jobs[s.Job]
		if j != nil && acc.ledger.BlocksJobEnd(now, j.Spec.Team) {
			return false
		}
		if j != nil {
			c.pendingChanges = append(c.pendingChanges, s)
		}
		return true
	})
	if !acc.readPending && !now.Before(acc.readAt) {
		if teams := acc.ledger.Unreconciled(); len(teams) > 0 {
			acc.readPending = true
			c.emit(ReadAccounts{teams})
		}
	}
	if len(acc.teamsToCompact) > 0 && !acc.compactionPending && !now.Before(acc.compactionAt) {
		// Pages of all teams are closed at the same time. Guards against reading them
		// all at once, or when a leader has just taken over.
		acc.compactionPending, acc.compactionAt = true, now.Add(compactionInterval)
		c.emit(ReadSegments{slices.Min(slices.Collect(maps.Keys(acc.teamsToCompact)))})
	}
}

// compactionInterval is the time between looks through teams' closed pages.
const compactionInterval = 5 * time.Second

// chargeAll charges what runs up to the last message of its machine.
func (c *Core) chargeAll(now time.Time) {
	for _, m := range c.machines {
		for _, a := range m.ActiveAttempts() {
			c.chargeUntil(now, a, m.LastSeen)
		}
	}
}

// takeOwnCommit takes a save that goes alone, and with a settlement others of its kind: each
// has a condition of its own, and where one fails all are read and sent again. A
// settlement is made here, as its transaction leaves, of all that is charged by then;
// one that has left before stays as it was.
func (c *Core) takeOwnCommit(now time.Time, first int) (batch, rest []Change) {
	lead := c.pendingChanges[first]
	if lead.Kind == SettleAccount {
		c.chargeAll(now)
	}
	room := c.settings.MaxTxnOps
	if team, ok := c.settlingTeam(&lead); ok && !c.accounting.ledger.HasPending(team) {
		// What a job has used is on record with its end, or neither is.
		c.chargeAll(now)
		if s := c.accounting.ledger.Settle(now, c.accounting.settings.TimeOfDay(now), team); s != nil && !s.Empty() {
			batch = append(batch, Change{Kind: SettleAccount, Team: team, Settlement: s})
		} else if s != nil {
			c.accounting.ledger.Discard(team)
		}
	}
	for i, s := range c.pendingChanges {
		joins := i == first || lead.Kind == SettleAccount && !lead.CommitAlone && s.Kind == SettleAccount && !s.CommitAlone && i > first && room >= maxSettlementOps
		if joins && s.Kind == SettleAccount && s.Settlement == nil {
			s.Settlement = c.accounting.ledger.Settle(now, c.accounting.settings.TimeOfDay(now), s.Team)
		}
		switch {
		case !joins:
			rest = append(rest, s)
		case s.Kind != SettleAccount:
			batch = append(batch, s)
		case s.Settlement != nil:
			batch = append(batch, s)
			if room--; s.Settlement.Closed != nil {
				room--
			}
		}
	}
	return batch, rest
}

// settlingTeam tells whether a save is the end of a job that goes with a settlement of its
// team's account.
func (c *Core) settlingTeam(s *Change) (team string, ok bool) {
	if c.accounting == nil || s.Kind != CompleteJob || s.CommitAlone || c.settings.MaxTxnOps < jobEndOps+maxSettlementOps {
		return "", false
	}
	j := c.jobs[s.Job]
	if j == nil {
		return "", false
	}
	return j.Spec.Team, true
}

// jobEndOps is how many changes the end of a job makes.
const jobEndOps = 2

// blockedBySettlement tells whether a save has to wait: the end of a job whose team's last settlement
// is on its way or in doubt. It returns the save to send first; -1: the record is being
// read.
func (c *Core) blockedBySettlement(now time.Time, s *Change) (instead int, waits bool) {
	if c.accounting == nil || s.Kind != CompleteJob || len(c.accounting.rejectedSettlements) > 0 {
		return 0, false
	}
	j := c.jobs[s.Job]
	if j == nil || !c.accounting.ledger.BlocksJobEnd(now, j.Spec.Team) {
		return 0, false
	}
	return slices.IndexFunc(c.pendingChanges, func(o Change) bool { return o.Kind == SettleAccount && o.Settlement != nil && o.Team == j.Spec.Team }), true
}

// deferRefusedEnds takes a transaction that was refused whole although it ended a job and settled
// its team's account: each may have been the reason. The end waits until the account is
// known again, and then goes by itself; what it used is in the settlement before it.
func (c *Core) deferRefusedEnds(saves []Change) []Change {
	if c.accounting == nil || len(saves) < 2 {
		return saves
	}
	return slices.DeleteFunc(slices.Clone(saves), func(s Change) bool {
		if s.Kind != CompleteJob {
			return false
		}
		s.CommitAlone = true
		c.accounting.heldEnds = append(c.accounting.heldEnds, s)
		return true
	})
}

// maxSettlementOps is how many changes a settlement makes at the most.
const maxSettlementOps = 2

// settlementCompleted takes the outcome of a settlement, or of a fold.
func (c *Core) settlementCompleted(now time.Time, s Change, ev CommitCompleted) {
	acc := c.accounting
	switch {
	case s.Kind == CompactAccount:
		acc.compactionPending = false
		if ev.Outcome != OK {
			delete(acc.teamsToCompact, s.Compaction.Result.Team) // looked through again when a page is closed
		}
	case ev.Outcome == OK:
		acc.ledger.SettlementCompleted(s.Settlement.Open.Team, ev.Version)
		c.log.Debug("ledger settled", "team", s.Settlement.Open.Team, "settled", s.Settlement.Open.Settlements, "with_end", len(ev.Changes) > 1, "closed", s.Settlement.Closed != nil)
		if s.Settlement.Closed != nil {
			c.log.Info("ledger page closed", "team", s.Settlement.Open.Team, "page", s.Settlement.Closed.First, "hour", s.Settlement.Closed.Start, "sum", s.Settlement.Closed.Sum)
			acc.teamsToCompact[s.Settlement.Open.Team] = true
		}
	default:
		acc.ledger.SettlementRefused(now, s.Settlement.Open.Team)
	}
}

// retrySettlementLater keeps a settlement that the state service rejects, and tries it again much
// later: until then the team's account is not settled, and nothing of it is lost.
func (c *Core) retrySettlementLater(now time.Time, s Change) {
	c.accounting.rejectedSettlements = append(c.accounting.rejectedSettlements, s)
	c.accounting.rejectedRetryAt = now.Add(c.settings.MaxBackoff)
}

func (c *Core) accountsReceived(now time.Time, ev AccountsReceived) {
	acc := c.accounting
	acc.readPending = false
	acc.readAt = now.Add(accountReadInterval)
	for team, r := range ev.Accounts {
		s, foreign := acc.ledger.Reconcile(team, r)
		if foreign {
			c.log.Error("a team's account is not what any leader wrote; going on from there", "team", team, "settled", r.Open.Settlements, "token", r.Open.FencingToken)
			continue
		}
		c.log.Info("ledger settlement was in doubt", "team", team, "carried_out", s == nil, "settled", r.Open.Settlements)
		if s != nil {
			c.pendingChanges = append(c.pendingChanges, Change{Kind: SettleAccount, Team: team, Settlement: s})
		}
	}
}

// accountReadInterval is the time between readings of accounts in doubt.
const accountReadInterval = 500 * time.Millisecond

func (c *Core) segmentsReceived(now time.Time, ev SegmentsReceived) {
	acc, set := c.accounting, c.accounting.settings
	into, from, n := ledger.Fold(&set.Settings, ev.Segments, set.TimeOfDay(now), c.settings.MaxTxnOps)
	if n == 0 {
		delete(acc.teamsToCompact, ev.Team)
		acc.compactionPending = false
		return
	}
	c.log.Info("ledger pages folded", "team", ev.Team, "pages", n, "into", into.Unit.String(), "from", into.Start)
	c.pendingChanges = append(c.pendingChanges, Change{Kind: CompactAccount, Compaction: &Compaction{Sources: ev.Segments[from : from+n], Result: into}})
}

// MaxSegmentsRead is how many closed pages are looked through for such as are old enough.
const MaxSegmentsRead = 400

// fairShareClass is a team's band by fair share, looked over once a second.
func (c *Core) fairShareClass(team string) int {
	if c.accounting == nil || !c.accounting.settings.FairShare {
		return 0
	}
	return c.accounting.fairShareClasses[team]
}

// updateFairShares looks teams' bands over.
func (c *Core) updateFairShares(now time.Time) {
	if c.accounting == nil || !c.accounting.settings.FairShare || now.Before(c.accounting.fairSharesAt) {
		return
	}
	c.accounting.fairSharesAt = now.Add(time.Second)
	for _, s := range ledger.FairShares(c.accounting.settings.Weights, func(team string) uint64 { return c.accounting.ledger.DecayedUsage(now, team) }) {
		if c.accounting.fairShareClasses[s.Team] != s.Band {
			c.log.Info("fair share", "team", s.Team, "band", s.Band, "factor", s.Factor, "part", s.UsageFraction, "weight", s.Weight)
			c.accounting.fairShareClasses[s.Team] = s.Band
		}
	}
}
