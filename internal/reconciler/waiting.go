package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

const (
	waitingInterval   = 250 * time.Millisecond // minimum time between charges; passes run up to 20 times per second
	fairShareInterval = time.Second            // minimum time between updates of the teams' fair-share bands
)

// waitingPeriod is a period, not charged yet, in which a constant number of a job's tasks waits for the same cause.
type waitingPeriod struct {
	cause ledger.WaitCause
	tasks uint64 // number of waiting tasks
	since time.Time
}

// chargeWaiting charges the waiting time of all jobs since the last charge to the causes that were found then, and
// determines from the shortages of this pass why each job waits from now on. It has no effect if waitingInterval has
// not passed since the last charge.
func (c *Core) chargeWaiting(now time.Time, shortages []scheduler.Shortage) {
	if c.accounting == nil || now.Before(c.accounting.nextWaitingChargeAt) {
		return
	}
	c.accounting.nextWaitingChargeAt = now.Add(waitingInterval)
	reasons := make(map[*model.Job]scheduler.WaitReason, len(shortages))
	for _, shortage := range shortages {
		if _, ok := reasons[shortage.Request.Job]; !ok {
			reasons[shortage.Request.Job] = shortage.Reason
		}
	}
	for _, job := range c.jobsByAge {
		tasks := job.WaitingTasks()
		if tasks == 0 || job.State != model.JobActive {
			c.accounting.stopWaiting(now, job)
			continue
		}
		c.accounting.restartWaiting(now, job, waitingPeriod{
			cause: c.waitingCause(now, job, reasons), tasks: uint64(tasks), since: now,
		})
	}
}

// waitingCause returns the cause for which the tasks of a job wait. reasons holds the jobs for which the last pass
// found a shortage.
func (c *Core) waitingCause(
	now time.Time, job *model.Job, reasons map[*model.Job]scheduler.WaitReason,
) ledger.WaitCause {
	reason, hasShortage := reasons[job]
	switch {
	case !startable(job):
		return ledger.WaitDependencies
	case now.Before(job.RetryNotBefore):
		return ledger.WaitBackoff
	case c.mayAlreadyRun(job):
		return ledger.WaitFailover
	case reason == scheduler.WaitQuota, !hasShortage && c.teamHasQuota(job):
		return ledger.WaitQuota // tasks that a pass neither places nor reports as a shortage exceed the quota
	case reason == scheduler.WaitGuarantee:
		return ledger.WaitGuarantee
	case reason == scheduler.WaitFairShare:
		return ledger.WaitFairShare
	}
	return ledger.WaitCapacity
}

// teamHasQuota reports whether the team of a job is limited by a quota.
func (c *Core) teamHasQuota(job *model.Job) bool {
	team := c.teams[job.Spec.Team]
	return team != nil && team.Quota.Limited()
}

// restartWaiting charges the current waiting period of a job and starts the given one.
func (a *accounting) restartWaiting(now time.Time, job *model.Job, period waitingPeriod) {
	if a != nil {
		a.chargeWait(now, job)
		a.waiting[job] = period
	}
}

// stopWaiting charges the current waiting period of a job and ends it.
func (a *accounting) stopWaiting(now time.Time, job *model.Job) {
	if a != nil {
		a.chargeWait(now, job)
		delete(a.waiting, job)
	}
}

func (a *accounting) chargeWait(now time.Time, job *model.Job) {
	period, ok := a.waiting[job]
	if !ok {
		return
	}
	if milliseconds := a.ledger.MillisSinceTakeover(now) - a.ledger.MillisSinceTakeover(period.since); milliseconds > 0 {
		var usage ledger.Usage
		usage.Wait[period.cause] = milliseconds * period.tasks
		a.ledger.Charge(now, job.Spec.Team, job.Spec.Class, usage)
	}
}

// fairShareBand returns the fair-share band of a team. Teams in lower bands are served first. All teams are in band 0
// if fair share is disabled.
func (a *accounting) fairShareBand(team string) int {
	if a == nil || !a.settings.FairShare {
		return 0
	}
	return a.fairShareBands[team]
}

// updateFairShares recomputes the teams' fair-share bands from their decayed usage, at most once per
// fairShareInterval.
func (a *accounting) updateFairShares(now time.Time) {
	if a == nil || !a.settings.FairShare || now.Before(a.nextFairShareUpdateAt) {
		return
	}
	a.nextFairShareUpdateAt = now.Add(fairShareInterval)
	usage := func(team string) uint64 { return a.ledger.DecayedUsage(now, team) }
	for _, share := range ledger.FairShares(a.settings.Weights, usage) {
		if a.fairShareBands[share.Team] != share.Band {
			a.log.Info("team fair-share band changed", "team", share.Team, "band", share.Band, "factor", share.Factor,
				"usage_fraction", share.UsageFraction, "weight", share.Weight)
			a.fairShareBands[share.Team] = share.Band
		}
	}
}
