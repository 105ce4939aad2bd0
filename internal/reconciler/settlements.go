package reconciler

import (
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/record"
)

// The end of a job and the usage of the job are recorded atomically: the job's end shares a transaction with a
// settlement of its team's account. See docs/safety.md, "Ledger".

const (
	jobEndOps        = 2 // operations in a transaction for the end of a job
	maxSettlementOps = 2 // maximum operations in a transaction for one settlement
)

// settlingTeam returns the team whose account is settled in the same transaction as a change. ok is false unless the
// change completes a job, may share a transaction, and fits into one together with a settlement.
func (c *Core) settlingTeam(change *record.Change) (team string, ok bool) {
	if c.accounting == nil || change.Kind != record.CompleteJob || change.CommitAlone ||
		c.settings.MaxTxnOps < jobEndOps+maxSettlementOps {
		return "", false
	}
	job := c.jobs[change.Job]
	if job == nil {
		return "", false
	}
	return job.Spec.Team, true
}

// blockedBySettlement reports whether a change has to wait because it completes a job whose team has a settlement
// that is not committed or not reconciled. sendFirst is then the index of that settlement among the queued changes,
// or -1 if it is not queued.
func (c *Core) blockedBySettlement(now time.Time, change *record.Change) (sendFirst int, blocked bool) {
	if c.accounting == nil || change.Kind != record.CompleteJob || len(c.accounting.rejectedSettlements) > 0 {
		return 0, false
	}
	job := c.jobs[change.Job]
	if job == nil || !c.accounting.ledger.BlocksJobEnd(now, job.Spec.Team) {
		return 0, false
	}
	return slices.IndexFunc(c.commits.changes, func(other record.Change) bool {
		return other.Kind == record.SettleAccount && other.Settlement != nil && other.Team == job.Spec.Team
	}), true
}

// takeOwnTransaction takes the queued change at index first, which needs its own transaction, and returns the changes
// of that transaction and the remaining ones. Settlements share a transaction. Each of them has its own condition; if
// one condition fails, all their accounts are read and the settlements are sent again. A settlement is created here,
// when its transaction is about to be sent, from everything charged so far. A settlement that was sent before is not
// changed.
func (c *Core) takeOwnTransaction(now time.Time, first int) (batch, rest []record.Change) {
	firstChange := c.commits.changes[first]
	if firstChange.Kind == record.SettleAccount {
		c.chargeAll(now)
	}
	batch = c.settleWithJobEnd(now, &firstChange)
	remainingOps := c.settings.MaxTxnOps
	for i, change := range c.commits.changes {
		joins := i == first || i > first && remainingOps >= maxSettlementOps &&
			canShareTransaction(&firstChange) && canShareTransaction(&change)
		if !joins {
			rest = append(rest, change)
			continue
		}
		if change.Kind != record.SettleAccount {
			batch = append(batch, change)
			continue
		}
		if change.Settlement == nil {
			change.Settlement = c.accounting.ledger.Settle(now, c.accounting.settings.TimeOfDay(now), change.Team)
		}
		if change.Settlement == nil {
			continue // a settlement is pending already, or the record cannot be read
		}
		batch = append(batch, change)
		if remainingOps--; change.Settlement.Closed != nil {
			remainingOps--
		}
	}
	return batch, rest
}

// canShareTransaction reports whether a change is a settlement that may share a transaction with other settlements.
func canShareTransaction(change *record.Change) bool {
	return change.Kind == record.SettleAccount && !change.CommitAlone
}

// settleWithJobEnd creates the settlement that shares the transaction of a job's end. It returns nil if no account is
// settled together with the change, a settlement is pending already, or there is nothing to settle.
func (c *Core) settleWithJobEnd(now time.Time, change *record.Change) (batch []record.Change) {
	team, ok := c.settlingTeam(change)
	if !ok || c.accounting.ledger.HasPending(team) {
		return nil
	}
	c.chargeAll(now)
	settlement := c.accounting.ledger.Settle(now, c.accounting.settings.TimeOfDay(now), team)
	switch {
	case settlement == nil:
		return nil
	case settlement.IsEmpty():
		c.accounting.ledger.DiscardEmptySettlement(team)
		return nil
	}
	return []record.Change{{Kind: record.SettleAccount, Team: team, Settlement: settlement}}
}

// deferRefusedJobEnds handles a refused transaction that contained the end of a job and a settlement of its team's
// account. Either may have caused the refusal. The end of the job is deferred until the account is reconciled and
// then committed in its own transaction; the usage of the job is part of the settlement before it. deferRefusedJobEnds
// returns the remaining changes.
func (a *accounting) deferRefusedJobEnds(changes []record.Change) []record.Change {
	if a == nil || len(changes) < 2 {
		return changes
	}
	return slices.DeleteFunc(slices.Clone(changes), func(change record.Change) bool {
		if change.Kind != record.CompleteJob {
			return false
		}
		change.CommitAlone = true
		a.deferredJobEnds = append(a.deferredJobEnds, change)
		return true
	})
}

// queueDeferredJobEnds queues the deferred job ends whose team's account is reconciled. It drops those of jobs that
// have ended in the meantime.
func (c *Core) queueDeferredJobEnds(now time.Time) {
	c.accounting.deferredJobEnds = slices.DeleteFunc(c.accounting.deferredJobEnds, func(change record.Change) bool {
		job := c.jobs[change.Job]
		if job == nil {
			return true
		}
		if c.accounting.ledger.BlocksJobEnd(now, job.Spec.Team) {
			return false
		}
		c.commits.add(change)
		return true
	})
}

// changeCompleted handles the outcome of a settlement or compaction.
func (a *accounting) changeCompleted(now time.Time, change record.Change, event CommitCompleted) {
	if change.Kind == record.CompactAccount {
		a.compactionPending = false
		if event.Outcome != OutcomeOK {
			delete(a.teamsToCompact, change.Compaction.Result.Team) // reconsidered when the next segment is closed
		}
		return
	}
	open, closed := &change.Settlement.Open, change.Settlement.Closed
	if event.Outcome != OutcomeOK {
		a.ledger.SettlementRefused(now, open.Team)
		return
	}
	a.ledger.SettlementCompleted(open.Team, event.Version)
	a.log.Debug("team account settled", "team", open.Team, "settlements", open.Settlements,
		"with_job_end", len(event.Changes) > 1, "closed", closed != nil)
	if closed != nil {
		a.log.Info("ledger segment closed", "team", open.Team, "segment", closed.First, "hour", closed.Start,
			"sum", closed.Hash)
		a.teamsToCompact[open.Team] = true
	}
}

// retrySettlementLater schedules a retry of a settlement that the state service has rejected. Until then the team's
// account is not settled, but no charges are lost.
func (a *accounting) retrySettlementLater(change record.Change, at time.Time) {
	a.rejectedSettlements = append(a.rejectedSettlements, change)
	a.rejectedRetryAt = at
}
