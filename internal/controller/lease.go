package controller

import (
	"errors"
	"time"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/store"
)

// leadershipLease is the right to act, as it was last renewed.
type leadershipLease struct {
	fencingToken, tokenVersion uint64
	leaseUntil                 time.Time // until when it rests on the lease at the state service
	votesUntil                 time.Time // and until when on the promises of the other members
	voteStartsUntil            time.Time // and until when tasks are started by those
	freshUntil                 time.Time // until when it may act at all by what it knows of cancellations
	freshStartsUntil           time.Time // and until when it may start tasks by that
}

func (r *leadershipLease) validUntil() time.Time {
	return earliest(latest(r.leaseUntil, r.votesUntil), r.freshUntil)
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// restsOnVotes tells that the right rests on the promises of the other members alone.
func (r *leadershipLease) restsOnVotes(now time.Time) bool {
	return !now.Before(r.leaseUntil) && now.Before(r.votesUntil)
}

// mayStartTasks tells that tasks may be started: docs/safety.md, "Promises for longer".
func (r *leadershipLease) mayStartTasks(now time.Time) bool {
	return r != nil && now.Before(earliest(latest(r.leaseUntil, r.voteStartsUntil), r.freshStartsUntil))
}

func (r *leadershipLease) valid() bool { return r != nil && time.Now().Before(r.validUntil()) }

// withLeaseUntil is the same right with a lease that holds at least until a moment.
func (r *leadershipLease) withLeaseUntil(lease time.Time) *leadershipLease {
	out := *r
	out.leaseUntil = latest(r.leaseUntil, lease)
	return &out
}

// publishLease shows the right to act as the election knows it, unless a renewal beside the loop
// has shown more already.
func (n *Controller) publishLease(now time.Time) {
	if n.election.State() != election.Leading {
		n.lease.Store(nil)
		return
	}
	for {
		old := n.lease.Load()
		r := &leadershipLease{fencingToken: n.election.FencingToken(), tokenVersion: n.election.TokenVersion(), leaseUntil: n.election.LeaseValidUntil(), votesUntil: n.election.ValidUntil(), voteStartsUntil: n.election.StartsValidUntil()}
		if old != nil && old.fencingToken == r.fencingToken {
			// Of the lease a renewal beside the loop may have shown more. Of promises the
			// election has the last word: it waives some.
			r = r.withLeaseUntil(old.leaseUntil)
			if old.restsOnVotes(now) != r.restsOnVotes(now) {
				n.log.Info("right to act", "token", r.fencingToken, "on_promises", r.restsOnVotes(now), "until", r.validUntil().Sub(now))
			}
		}
		n.limitByStaleness(now, r)
		if !n.lease.CompareAndSwap(old, r) {
			continue // a renewal came in between
		}
		if n.lapsedToken == 0 && !r.valid() {
			n.lapsedToken, n.lapsedAt = r.fencingToken, r.validUntil()
		}
		// Told only while it holds: a renewal's answer that has waited for long may prove a
		// right that has run out already.
		if n.lapsedToken != 0 && r.valid() {
			if n.lapsedToken == r.fencingToken && n.reconciler != nil {
				n.log.Info("right to act is back", "token", r.fencingToken, "lapsed", now.Sub(n.lapsedAt))
				n.reconciler.Resume(now)
			}
			n.lapsedToken = 0
		}
		return
	}
}

// renewLease renews the lease, and shows what that proves at once: the loop hears of it too, but
// nothing that holds the loop keeps the right from being renewed. It is the same right by
// the same count, from the sending (docs/safety.md, "The right to act").
func (n *Controller) renewLease(token, lease uint64) {
	sent := time.Now()
	err := n.store.RenewLease(lease)
	if err == nil {
		until := n.election.RenewalValidUntil(sent)
		for {
			r := n.lease.Load()
			if r == nil || r.fencingToken != token {
				break // it was given up meanwhile, and never comes back
			}
			if n.lease.CompareAndSwap(r, r.withLeaseUntil(until)) {
				break
			}
		}
		n.lastRenewalSent.Store(&sent)
	}
	n.postElectionEvent(election.LeaseRenewed{LeaseID: lease, Sent: sent, Expired: errors.Is(err, store.ErrLeaseExpired), Err: err})
}

// superviseRenewals watches over the renewals of one leadership beside the loop, which makes them: where
// it is late, as it is held by a pass or by too much that comes in, they are made here.
func (n *Controller) superviseRenewals(token, lease uint64) {
	life, now := n.election.LeaseDuration(), time.Now()
	n.lastRenewalSent.Store(&now)
	n.spawn(func() {
		for n.ctx.Err() == nil {
			store.Sleep(n.ctx, life/16)
			if r := n.lease.Load(); r == nil || r.fencingToken != token {
				return
			}
			if at := n.lastRenewalSent.Load(); at != nil && time.Since(*at) > life*3/8 {
				n.log.Debug("renewing beside the loop", "token", token, "last", time.Since(*at))
				n.renewLease(token, lease)
			}
		}
	})
}
