package controller

import (
	"errors"
	"time"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/store"
)

// right is the right to act, as it was last renewed.
type right struct {
	token, version uint64
	lease          time.Time // until when it rests on the lease at the state service
	promised       time.Time // and until when on the promises of the other members
	starts         time.Time // and until when tasks are started by those
	informed       time.Time // until when it may act at all by what it knows of cancellations
	news           time.Time // and until when it may start tasks by that
}

func (r *right) until() time.Time { return earliest(latest(r.lease, r.promised), r.informed) }

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

// onPromises tells that the right rests on the promises of the other members alone.
func (r *right) onPromises(now time.Time) bool { return !now.Before(r.lease) && now.Before(r.promised) }

// mayStart tells that tasks may be started: docs/safety.md, "Promises for longer".
func (r *right) mayStart(now time.Time) bool {
	return r != nil && now.Before(earliest(latest(r.lease, r.starts), r.news))
}

func (r *right) holds() bool { return r != nil && time.Now().Before(r.until()) }

// renewed is the same right with a lease that holds at least until a moment.
func (r *right) renewed(lease time.Time) *right {
	out := *r
	out.lease = latest(r.lease, lease)
	return &out
}

// showRight shows the right to act as the election knows it, unless a renewal beside the loop
// has shown more already.
func (n *Node) showRight(now time.Time) {
	if n.elect.State() != election.Leading {
		n.right.Store(nil)
		return
	}
	for {
		old := n.right.Load()
		r := &right{token: n.elect.Token(), version: n.elect.Version(), lease: n.elect.LeaseUntil(), promised: n.elect.RightUntil(), starts: n.elect.StartsUntil()}
		if old != nil && old.token == r.token {
			// Of the lease a renewal beside the loop may have shown more. Of promises the
			// election has the last word: it waives some.
			r = r.renewed(old.lease)
			if old.onPromises(now) != r.onPromises(now) {
				n.log.Info("right to act", "token", r.token, "on_promises", r.onPromises(now), "until", r.until().Sub(now))
			}
		}
		n.cap(now, r)
		if !n.right.CompareAndSwap(old, r) {
			continue // a renewal came in between
		}
		if n.lapsed == 0 && !r.holds() {
			n.lapsed, n.lapsedAt = r.token, r.until()
		}
		// Told only while it holds: a renewal's answer that has waited for long may prove a
		// right that has run out already.
		if n.lapsed != 0 && r.holds() {
			if n.lapsed == r.token && n.core != nil {
				n.log.Info("right to act is back", "token", r.token, "lapsed", now.Sub(n.lapsedAt))
				n.core.Resume(now)
			}
			n.lapsed = 0
		}
		return
	}
}

// touch renews the lease, and shows what that proves at once: the loop hears of it too, but
// nothing that holds the loop keeps the right from being renewed. It is the same right by
// the same count, from the sending (docs/safety.md, "The right to act").
func (n *Node) touch(token, lease uint64) {
	sent := time.Now()
	err := n.state.Touch(lease)
	if err == nil {
		until := n.elect.Proves(sent)
		for {
			r := n.right.Load()
			if r == nil || r.token != token {
				break // it was given up meanwhile, and never comes back
			}
			if n.right.CompareAndSwap(r, r.renewed(until)) {
				break
			}
		}
		n.touched.Store(&sent)
	}
	n.election(election.Touched{Lease: lease, Sent: sent, Lost: errors.Is(err, store.ErrLeaseOver), Err: err})
}

// renew watches over the renewals of one leadership beside the loop, which makes them: where
// it is late, as it is held by a pass or by too much that comes in, they are made here.
func (n *Node) renew(token, lease uint64) {
	life, now := n.elect.Life(), time.Now()
	n.touched.Store(&now)
	n.spawn(func() {
		for n.ctx.Err() == nil {
			store.Wait(n.ctx, life/16)
			if r := n.right.Load(); r == nil || r.token != token {
				return
			}
			if at := n.touched.Load(); at != nil && time.Since(*at) > life*3/8 {
				n.log.Debug("renewing beside the loop", "token", token, "last", time.Since(*at))
				n.touch(token, lease)
			}
		}
	})
}
