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

// hear takes another member's word on cancellations, which it was asked for at a moment. The core
// has them before the book says so.
func (n *Node) hear(now, sent time.Time, member string, a *peerpb.PromiseAnswer) {
	ids, versions := a.GetCancelled(), a.GetVersions()
	told := make([]store.Cancelled, len(ids))
	for i, id := range ids {
		told[i] = store.Cancelled{ID: id, Version: math.MaxUint64} // an old version does not say it
		if len(versions) == len(ids) {
			told[i].Version = versions[i]
		}
	}
	n.jobs.Heard(told)
	n.applyChanges(now)
	n.toldBy[member] = store.Told{Life: a.GetLife(), Count: a.GetTold()}
	if n.book != nil && a.GetWhole() {
		n.book.Acknowledged(member, sent)
	}
}

// inform notes as of when the records were read.
func (n *Node) inform(now time.Time) {
	if n.book == nil {
		return
	}
	at := n.jobs.AsOf()
	n.applyChanges(now) // what that reading has brought
	n.book.RecordsRead(at)
}

// cap bounds a right by what this leader knows of cancellations. Before its core is there it
// answers nobody.
func (n *Node) cap(now time.Time, r *right) {
	if n.book == nil {
		r.informed = latest(r.lease, r.promised)
		return
	}
	since := n.book.KnownAsOf()
	r.informed, r.news = since.Add(n.bound.KeepLeases), since.Add(n.bound.StartTasks)
	if behind := !now.Before(r.informed) && now.Before(latest(r.lease, r.promised)); behind != n.behind {
		n.behind = behind
		n.log.Warn("cancellations that users were told of", "unknown", behind, "since", now.Sub(since), "most", n.bound.KeepLeases, "token", r.token)
	}
}

// ignorant tells that this leader is served, but has not come to know of cancellations for so long that
// it may act no more: another one may do better.
func (n *Node) ignorant(now time.Time) bool { return n.behind && now.Before(n.elect.LeaseUntil()) }

// keepReading has a leader read the changes of the job records, where nothing else does: the
// watch tells of changes, and not that there are none.
func (n *Node) keepReading() error {
	every := min(time.Second, n.bound.StartTasks/4)
	for n.ctx.Err() == nil {
		store.Wait(n.ctx, every)
		if n.right.Load() == nil || time.Since(n.jobs.AsOf()) < every || !n.jobs.Loaded() {
			continue
		}
		if err := n.jobs.CatchUp(n.ctx); err != nil {
			n.log.Debug("job records", "err", err)
		}
	}
	return nil
}

// informed begins the book of a leadership whose core has just been made.
func (n *Node) informed(now time.Time) {
	n.book, n.behind = staleness.NewTracker(slices.Collect(maps.Keys(n.peers)), n.jobs.AsOf()), false
	n.showRight(now)
}
