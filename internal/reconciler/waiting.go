package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

const (
	waitingInterval   = 250 * time.Millisecond // between charges of waiting; passes come up to twenty times a second
	fairShareInterval = time.Second            // between updates of teams' bands
)

// waitingTasks is why a job's tasks have been waiting since when.
type waitingTasks struct {
	cause ledger.WaitCause
	tasks uint64
	since time.Time
}

// chargeWaiting charges what has waited since the last pass to the causes of that time, and notes what keeps each job
// waiting from now on.
func (c *Core) chargeWaiting(now time.Time, shortages []scheduler.Shortage) {
	if c.accounting == nil || now.Before(c.accounting.waitingAt) {
		return
	}
	c.accounting.waitingAt = now.Add(waitingInterval)
	reasons := make(map[*model.Job]scheduler.WaitReason, len(shortages))
	for _, shortage := range shortages {
		if _, ok := reasons[shortage.Request.Job]; !ok {
			reasons[shortage.Request.Job] = shortage.Reason
		}
	}
	for _, job := range c.jobsByAge {
		tasks := job.Waiting()
		if tasks == 0 || job.State != model.JobActive {
			c.accounting.stopWaiting(now, job)
			continue
		}
		c.accounting.continueWaiting(now, job, waitingTasks{
			cause: c.waitingCause(now, job, reasons), tasks: uint64(tasks), since: now,
		})
	}
}

// waitingCause says what keeps a job's tasks waiting.
func (c *Core) waitingCause(
	now time.Time, job *model.Job, reasons map[*model.Job]scheduler.WaitReason,
) ledger.WaitCause {
	reason, short := reasons[job]
	switch {
	case !startable(job):
		return ledger.WaitDependencies
	case now.Before(job.RetryNotBefore):
		return ledger.WaitBackoff
	case c.mayAlreadyRun(job):
		return ledger.WaitFailover
	case reason == scheduler.WaitQuota, !short && c.hasQuota(job):
		return ledger.WaitQuota // what a pass neither lacks capacity for nor places is beyond the quota
	case reason == scheduler.WaitGuarantee:
		return ledger.WaitGuarantee
	case reason == scheduler.WaitFairShare:
		return ledger.WaitFairShare
	}
	return ledger.WaitCapacity
}

// hasQuota reports whether a job's team has a quota that its tasks may wait under.
func (c *Core) hasQuota(job *model.Job) bool {
	team := c.teams[job.Spec.Team]
	return team != nil && team.Quota.Limited()
}

// continueWaiting charges what a job's tasks have waited, and begins to count anew.
func (a *accounting) continueWaiting(now time.Time, job *model.Job, next waitingTasks) {
	if a != nil {
		a.chargeWait(now, job)
		a.waiting[job] = next
	}
}

// stopWaiting charges what a job's tasks have waited; none waits any more.
func (a *accounting) stopWaiting(now time.Time, job *model.Job) {
	if a != nil {
		a.chargeWait(now, job)
		delete(a.waiting, job)
	}
}

func (a *accounting) chargeWait(now time.Time, job *model.Job) {
	waited, ok := a.waiting[job]
	if !ok {
		return
	}
	if milliseconds := a.ledger.Instant(now) - a.ledger.Instant(waited.since); milliseconds > 0 {
		var usage ledger.Usage
		usage.Wait[waited.cause] = milliseconds * waited.tasks
		a.ledger.Charge(now, job.Spec.Team, job.Spec.Class, usage)
	}
}

// fairShareBand returns a team's band by fair share: teams in a lower one go first. Without fair share all are in the
// same.
func (a *accounting) fairShareBand(team string) int {
	if a == nil || !a.settings.FairShare {
		return 0
	}
	return a.fairShareBands[team]
}

// updateFairShares works teams' bands out anew by what they have used.
func (a *accounting) updateFairShares(now time.Time) {
	if a == nil || !a.settings.FairShare || now.Before(a.fairSharesAt) {
		return
	}
	a.fairSharesAt = now.Add(fairShareInterval)
	usage := func(team string) uint64 { return a.ledger.DecayedUsage(now, team) }
	for _, share := range ledger.FairShares(a.settings.Weights, usage) {
		if a.fairShareBands[share.Team] != share.Band {
			a.log.Info("fair share band", "team", share.Team, "band", share.Band, "factor", share.Factor,
				"usage_fraction", share.UsageFraction, "weight", share.Weight)
			a.fairShareBands[share.Team] = share.Band
		}
	}
}
