package controller

import (
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/reconciler"
)

// leadershipLease is what allows a leader to act, and until when. A published lease is never changed; a
// renewal publishes a new one. A nil lease is not valid.
type leadershipLease struct {
	fencingToken     uint64
	tokenVersion     uint64    // of the token's record at the state service
	leaseUntil       time.Time // until when the lease at the state service allows it
	votesUntil       time.Time // until when the votes of all other members allow it
	voteStartsUntil  time.Time // until when these votes allow it to start tasks
	freshUntil       time.Time // until when its knowledge of cancellations is fresh enough to act at all
	freshStartsUntil time.Time // until when that is fresh enough to start tasks
}

// grantedUntil is until when the lease or the votes allow to act, whatever is known of cancellations.
func (l *leadershipLease) grantedUntil() time.Time { return latest(l.leaseUntil, l.votesUntil) }

func (l *leadershipLease) validUntil() time.Time { return earliest(l.grantedUntil(), l.freshUntil) }

func (l *leadershipLease) valid() bool { return l != nil && time.Now().Before(l.validUntil()) }

// restsOnVotes reports whether only votes allow to act any more.
func (l *leadershipLease) restsOnVotes(now time.Time) bool {
	return !now.Before(l.leaseUntil) && now.Before(l.votesUntil)
}

// mayStartTasks reports whether tasks may be started, which ends before the lease does while the state
// service is unreachable (docs/safety.md).
func (l *leadershipLease) mayStartTasks(now time.Time) bool {
	return l != nil && now.Before(earliest(latest(l.leaseUntil, l.voteStartsUntil), l.freshStartsUntil))
}

// withLeaseUntil returns a copy whose lease at the state service lasts at least until a moment.
func (l *leadershipLease) withLeaseUntil(until time.Time) *leadershipLease {
	renewed := *l
	renewed.leaseUntil = latest(l.leaseUntil, until)
	return &renewed
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

// leaseHolder publishes the leadership lease. The event loop replaces it, renewals beside the loop extend
// it, and whatever acts for the leader checks it right before it acts.
type leaseHolder struct {
	current         atomic.Pointer[leadershipLease] // nil: this controller does not lead
	lastRenewalSent atomic.Pointer[time.Time]       // of the renewals that succeeded
}

func (h *leaseHolder) load() *leadershipLease { return h.current.Load() }

func (h *leaseHolder) valid() bool { return h.load().valid() }

// holds reports whether the lease of the leadership with this token is valid.
func (h *leaseHolder) holds(token uint64) bool {
	lease := h.load()
	return lease != nil && lease.fencingToken == token && lease.valid()
}

func (h *leaseHolder) clear() { h.current.Store(nil) }

// extend prolongs the lease of the leadership with this token. One that was cleared stays cleared.
func (h *leaseHolder) extend(token uint64, until time.Time) {
	for {
		lease := h.load()
		if lease == nil || lease.fencingToken != token {
			return
		}
		if h.current.CompareAndSwap(lease, lease.withLeaseUntil(until)) {
			return
		}
	}
}

// publishLease publishes the leadership lease as the election knows it, unless a renewal beside the loop
// has proved more already.
func (c *Controller) publishLease(now time.Time) {
	if c.election.State() != election.Leading {
		c.lease.clear()
		return
	}
	for {
		former := c.lease.load()
		lease := c.leaseOfElection(now, former)
		c.cancellations.limit(now, lease)
		if c.lease.current.CompareAndSwap(former, lease) {
			c.lapse.observe(now, lease, c.reconciler, c.log)
			return
		}
		// A renewal came in between.
	}
}

// leaseOfElection is the lease as the election knows it. A renewal beside the loop may have proved more of
// the lease at the state service, but of the votes the election decides: it waives some.
func (c *Controller) leaseOfElection(now time.Time, former *leadershipLease) *leadershipLease {
	lease := &leadershipLease{
		fencingToken:    c.election.FencingToken(),
		tokenVersion:    c.election.TokenVersion(),
		leaseUntil:      c.election.LeaseValidUntil(),
		votesUntil:      c.election.ValidUntil(),
		voteStartsUntil: c.election.StartsValidUntil(),
	}
	if former == nil || former.fencingToken != lease.fencingToken {
		return lease
	}
	lease = lease.withLeaseUntil(former.leaseUntil)
	if onVotes := lease.restsOnVotes(now); former.restsOnVotes(now) != onVotes {
		c.log.Info("leadership lease",
			"fencing_token", lease.fencingToken, "on_votes", onVotes, "remaining", lease.grantedUntil().Sub(now))
	}
	return lease
}

// leaseLapse is the time in which a leadership goes on while its lease has expired; the event loop owns it.
type leaseLapse struct {
	token uint64 // of that leadership; 0: the lease has not expired
	since time.Time
}

// observe records the lease that was just published. The reconciler resumes only while the lease is valid:
// a renewal's response that was delayed may prove a lease that has expired already.
func (l *leaseLapse) observe(now time.Time, lease *leadershipLease, core *reconciler.Core, log *slog.Logger) {
	if l.token == 0 && !lease.valid() {
		l.token, l.since = lease.fencingToken, lease.validUntil()
	}
	if l.token == 0 || !lease.valid() {
		return
	}
	if l.token == lease.fencingToken && core != nil {
		log.Info("leadership lease valid again", "fencing_token", lease.fencingToken, "lapsed", now.Sub(l.since))
		core.Resume(now)
	}
	l.token = 0
}

// renewLease renews the lease at the state service and publishes at once what that proves, so that nothing
// that holds the event loop keeps the leadership lease from being renewed. The election learns of it too,
// and counts the same time from the sending (docs/safety.md, "Leadership lease").
func (c *Controller) renewLease(token, leaseID uint64) {
	renewed := c.electionExecutor().RenewLease(leaseID)
	if renewed.Err == nil {
		c.lease.extend(token, c.election.RenewalValidUntil(renewed.Sent))
		c.lease.lastRenewalSent.Store(&renewed.Sent)
	}
	c.postElectionEvent(renewed)
}

// superviseRenewals watches the renewals of one leadership. The event loop makes them; where the loop is
// late, held by a scheduling pass or by too many messages, they are made here.
func (c *Controller) superviseRenewals(token, leaseID uint64) {
	duration, now := c.election.LeaseDuration(), time.Now()
	interval, late := duration/16, duration*3/8
	c.lease.lastRenewalSent.Store(&now)
	c.tasks.spawn(func() {
		for c.tasks.running() {
			c.tasks.sleep(interval)
			if lease := c.lease.load(); lease == nil || lease.fencingToken != token {
				return
			}
			if sent := c.lease.lastRenewalSent.Load(); sent != nil && time.Since(*sent) > late {
				c.log.Debug("renewing the lease beside the event loop", "fencing_token", token, "last", time.Since(*sent))
				c.renewLease(token, leaseID)
			}
		}
	})
}
