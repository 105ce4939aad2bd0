package reconciler

import (
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/record"
)

// What a job has used is on record with its end, or neither is: the end of a job goes in one transaction with a
// settlement of its team's account. docs/safety.md, "Ledger".

const (
	jobEndOps        = 2 // changes that the end of a job makes
	maxSettlementOps = 2 // changes that a settlement makes at most
)

// settlingTeam returns the team whose account is settled with a change: that of a job which ends.
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

// blockedBySettlement reports whether a change has to wait: the end of a job whose team's last settlement is in
// flight or not reconciled. It returns the index of the settlement to send first; -1: the account is being read.
func (c *Core) blockedBySettlement(now time.Time, change *record.Change) (instead int, waits bool) {
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

// takeOwnCommit takes a change that needs its own transaction, and returns what goes with it and the rest of the
// changes. Settlements go together: each has a condition of its own, and where one fails all are read and sent again.
// A settlement is made here, as its transaction leaves, of all that is charged by then; one that has left before stays
// as it was.
func (c *Core) takeOwnCommit(now time.Time, first int) (batch, rest []record.Change) {
	lead := c.commits.changes[first]
	if lead.Kind == record.SettleAccount {
		c.chargeAll(now)
	}
	batch = c.settleWithJobEnd(now, &lead)
	room := c.settings.MaxTxnOps
	for i, change := range c.commits.changes {
		joins := i == first || i > first && room >= maxSettlementOps && sharesCommit(&lead) && sharesCommit(&change)
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
			continue // nothing to settle
		}
		batch = append(batch, change)
		if room--; change.Settlement.Closed != nil {
			room--
		}
	}
	return batch, rest
}

// sharesCommit reports whether a change may go in one transaction with other settlements.
func sharesCommit(change *record.Change) bool {
	return change.Kind == record.SettleAccount && !change.CommitAlone
}

// settleWithJobEnd makes the settlement that goes with the end of a job, if any.
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
	case settlement.Empty():
		c.accounting.ledger.Discard(team)
		return nil
	}
	return []record.Change{{Kind: record.SettleAccount, Team: team, Settlement: settlement}}
}

// deferRefusedEnds takes a transaction that was refused as a whole although it ended a job and settled its team's
// account: each may have been the reason. The end waits until the account is known again, and then goes in a
// transaction of its own; what the job used is in the settlement before it. It returns the other changes.
func (a *accounting) deferRefusedEnds(changes []record.Change) []record.Change {
	if a == nil || len(changes) < 2 {
		return changes
	}
	return slices.DeleteFunc(slices.Clone(changes), func(change record.Change) bool {
		if change.Kind != record.CompleteJob {
			return false
		}
		change.CommitAlone = true
		a.heldEnds = append(a.heldEnds, change)
		return true
	})
}

// queueHeldEnds queues the ends of jobs whose team's account is known again.
func (c *Core) queueHeldEnds(now time.Time) {
	c.accounting.heldEnds = slices.DeleteFunc(c.accounting.heldEnds, func(change record.Change) bool {
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
		if event.Outcome != OK {
			delete(a.teamsToCompact, change.Compaction.Result.Team) // looked through again with the next closed segment
		}
		return
	}
	open, closed := &change.Settlement.Open, change.Settlement.Closed
	if event.Outcome != OK {
		a.ledger.SettlementRefused(now, open.Team)
		return
	}
	a.ledger.SettlementCompleted(open.Team, event.Version)
	a.log.Debug("ledger settled", "team", open.Team, "settlements", open.Settlements,
		"with_job_end", len(event.Changes) > 1, "closed", closed != nil)
	if closed != nil {
		a.log.Info("ledger segment closed", "team", open.Team, "segment", closed.First, "hour", closed.Start,
			"sum", closed.Sum)
		a.teamsToCompact[open.Team] = true
	}
}

// retrySettlementLater keeps a settlement that the state service rejects, and has it tried again at a moment. Until
// then the team's account is not settled; nothing of it is lost.
func (a *accounting) retrySettlementLater(change record.Change, at time.Time) {
	a.rejectedSettlements = append(a.rejectedSettlements, change)
	a.rejectedRetryAt = at
}
