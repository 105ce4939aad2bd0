package controller

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/peer/peerpb"
	"github.com/glentiller/glentiller/internal/staleness"
	"github.com/glentiller/glentiller/internal/store"
)

// What a leader knows of cancellations: docs/safety.md, "Cancelled is gone in time".

// learnCancellations takes another member's word on cancellations, which it was asked for at a moment. The core
// has them before the book says so.
func (n *Controller) learnCancellations(now, sent time.Time, member string, a *peerpb.PromiseAnswer) {
	ids, versions := a.GetCancelled(), a.GetVersions()
	told := make([]store.Cancellation, len(ids))
	for i, id := range ids {
		told[i] = store.Cancellation{ID: id, Version: math.MaxUint64} // an old version does not say it
		if len(versions) == len(ids) {
			told[i].Version = versions[i]
		}
	}
	n.jobs.ApplyCancellations(told)
	n.applyJobChanges(now)
	n.acknowledged[member] = store.CancellationCursor{Incarnation: a.GetLife(), Count: a.GetTold()}
	if n.staleness != nil && a.GetWhole() {
		n.staleness.Acknowledged(member, sent)
	}
}

// updateStaleness notes as of when the records were read.
func (n *Controller) updateStaleness(now time.Time) {
	if n.staleness == nil {
		return
	}
	at := n.jobs.AsOf()
	n.applyJobChanges(now) // what that reading has brought
	n.staleness.RecordsRead(at)
}

// limitByStaleness bounds a right by what this leader knows of cancellations. Before its core is there it
// answers nobody.
func (n *Controller) limitByStaleness(now time.Time, r *leadershipLease) {
	if n.staleness == nil {
		r.freshUntil = latest(r.leaseUntil, r.votesUntil)
		return
	}
	since := n.staleness.KnownAsOf()
	r.freshUntil, r.freshStartsUntil = since.Add(n.stalenessBound.KeepLeases), since.Add(n.stalenessBound.StartTasks)
	if behind := !now.Before(r.freshUntil) && now.Before(latest(r.leaseUntil, r.votesUntil)); behind != n.tooStale {
		n.tooStale = behind
		n.log.Warn("cancellations that users were told of", "unknown", behind, "since", now.Sub(since), "most", n.stalenessBound.KeepLeases, "token", r.fencingToken)
	}
}

// tooStaleToLead tells that this leader is served, but has not come to know of cancellations for so long that
// it may act no more: another one may do better.
func (n *Controller) tooStaleToLead(now time.Time) bool {
	return n.tooStale && now.Before(n.election.LeaseValidUntil())
}

// pollJobRecords has a leader read the changes of the job records, where nothing else does: the
// watch tells of changes, and not that there are none.
func (n *Controller) pollJobRecords() error {
	every := min(time.Second, n.stalenessBound.StartTasks/4)
	for n.ctx.Err() == nil {
		store.Sleep(n.ctx, every)
		if n.lease.Load() == nil || time.Since(n.jobs.AsOf()) < every || !n.jobs.Loaded() {
			continue
		}
		if err := n.jobs.CatchUp(n.ctx); err != nil {
			n.log.Debug("job records", "err", err)
		}
	}
	return nil
}

// startStaleness begins the book of a leadership whose core has just been made.
func (n *Controller) startStaleness(now time.Time) {
	n.staleness, n.tooStale = staleness.NewTracker(slices.Collect(maps.Keys(n.peers)), n.jobs.AsOf()), false
	n.publishLease(now)
}
