package controller

import (
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/reconciler"
)

// leadershipLease is the permission of a leader to act until certain times. A published lease is immutable; a
// renewal publishes a new one. A nil lease is not valid.
type leadershipLease struct {
	fencingToken     uint64
	tokenVersion     uint64    // of the fencing token's record at the state service
	leaseUntil       time.Time // end of the permission that follows from the lease at the state service
	votesUntil       time.Time // end of the permission according to the election, including the votes of all other members
	voteStartsUntil  time.Time // end of the permission to start tasks according to the election, including these votes
	freshUntil       time.Time // when the known cancellations become too stale to act at all
	freshStartsUntil time.Time // when the known cancellations become too stale to start tasks
}

// grantedUntil returns the end of the permission that follows from the lease or the votes, whichever is later.
// It does not take the staleness of cancellations into account.
func (l *leadershipLease) grantedUntil() time.Time { return latest(l.leaseUntil, l.votesUntil) }

func (l *leadershipLease) validUntil() time.Time { return earliest(l.grantedUntil(), l.freshUntil) }

func (l *leadershipLease) valid() bool { return l != nil && time.Now().Before(l.validUntil()) }

// heldByVotesOnly reports whether the lease at the state service has expired and the votes have not.
func (l *leadershipLease) heldByVotesOnly(now time.Time) bool {
	return !now.Before(l.leaseUntil) && now.Before(l.votesUntil)
}

// mayStartTasks reports whether tasks may be started. While the state service is unreachable, this permission
// ends before the leadership lease does (docs/safety.md).
func (l *leadershipLease) mayStartTasks(now time.Time) bool {
	return l != nil && now.Before(earliest(latest(l.leaseUntil, l.voteStartsUntil), l.freshStartsUntil))
}

// withLeaseUntil returns a copy with leaseUntil moved to the given time, unless it is already later.
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

// publishedLease makes the leadership lease available to all goroutines. The event loop replaces the lease,
// renewals outside the loop extend it, and each action of the leader checks it immediately beforehand.
type publishedLease struct {
	current         atomic.Pointer[leadershipLease] // nil if this controller does not lead
	lastRenewalSent atomic.Pointer[time.Time]       // when the last successful renewal was sent
}

func (p *publishedLease) load() *leadershipLease { return p.current.Load() }

func (p *publishedLease) valid() bool { return p.load().valid() }

// holds reports whether the lease is valid and belongs to the leadership with the given fencing token.
func (p *publishedLease) holds(token uint64) bool {
	lease := p.load()
	return lease != nil && lease.fencingToken == token && lease.valid()
}

func (p *publishedLease) clear() { p.current.Store(nil) }

// extend extends the lease of the leadership with the given fencing token. It does nothing if the lease was
// cleared or belongs to another leadership.
func (p *publishedLease) extend(token uint64, until time.Time) {
	for {
		lease := p.load()
		if lease == nil || lease.fencingToken != token {
			return
		}
		if p.current.CompareAndSwap(lease, lease.withLeaseUntil(until)) {
			return
		}
	}
}

// publishLease publishes the leadership lease according to the election, unless a renewal outside the loop has
// already proved a later expiry.
func (c *Controller) publishLease(now time.Time) {
	if c.election.State() != election.Leading {
		c.lease.clear()
		return
	}
	for {
		previous := c.lease.load()
		lease := c.leaseFromElection(now, previous)
		c.cancellations.limitLease(now, lease)
		if c.lease.current.CompareAndSwap(previous, lease) {
			c.lapse.observe(now, lease, c.reconciler, c.log)
			return
		}
		// A concurrent renewal has replaced the lease.
	}
}

// leaseFromElection returns the lease according to the election. For the lease at the state service, a renewal
// outside the loop may have proved a later expiry, which is kept. For the votes, the value of the election
// always applies, because the election waives some votes.
func (c *Controller) leaseFromElection(now time.Time, previous *leadershipLease) *leadershipLease {
	lease := &leadershipLease{
		fencingToken:    c.election.FencingToken(),
		tokenVersion:    c.election.TokenVersion(),
		leaseUntil:      c.election.LeaseValidUntil(),
		votesUntil:      c.election.ValidUntil(),
		voteStartsUntil: c.election.StartsValidUntil(),
	}
	if previous == nil || previous.fencingToken != lease.fencingToken {
		return lease
	}
	lease = lease.withLeaseUntil(previous.leaseUntil)
	if votesOnly := lease.heldByVotesOnly(now); previous.heldByVotesOnly(now) != votesOnly {
		c.log.Info("basis of the leadership lease changed",
			"fencing_token", lease.fencingToken, "on_votes", votesOnly, "remaining", lease.grantedUntil().Sub(now))
	}
	return lease
}

// leaseLapse records that the lease of a leadership has expired while the leadership continues. It is owned by
// the event loop.
type leaseLapse struct {
	fencingToken uint64    // fencing token of that leadership; 0 if the lease has not expired
	expiredAt    time.Time // when the lease expired
}

// observe records a lease that was just published. The reconciler resumes only if the lease is valid at that
// time, because the delayed response to a renewal may prove a lease that has already expired.
func (l *leaseLapse) observe(now time.Time, lease *leadershipLease, core *reconciler.Core, log *slog.Logger) {
	if l.fencingToken == 0 && !lease.valid() {
		l.fencingToken, l.expiredAt = lease.fencingToken, lease.validUntil()
	}
	if l.fencingToken == 0 || !lease.valid() {
		return
	}
	if l.fencingToken == lease.fencingToken && core != nil {
		log.Info("leadership lease valid again", "fencing_token", lease.fencingToken, "lapsed", now.Sub(l.expiredAt))
		core.OnLeaseRestored(now)
	}
	l.fencingToken = 0
}

// renewLease renews the lease at the state service and immediately publishes the new expiry, so that work that
// occupies the event loop cannot delay the extension of the leadership lease. The result is also passed to the
// election, which measures the lease from the same time, when the request was sent (docs/safety.md, "Leadership
// lease").
func (c *Controller) renewLease(token, leaseID uint64) {
	renewed := c.electionExecutor().RenewLease(leaseID)
	if renewed.Err == nil {
		c.lease.extend(token, c.election.RenewalValidUntil(renewed.Sent))
		c.lease.lastRenewalSent.Store(&renewed.Sent)
	}
	c.postElectionEvent(renewed)
}

// superviseRenewals monitors the renewals of one leadership. The event loop normally starts them. If the loop
// is delayed by a scheduling pass or by too many messages, so that the last successful renewal was sent more
// than 3/8 of the lease duration ago, this function's goroutine renews the lease itself.
func (c *Controller) superviseRenewals(token, leaseID uint64) {
	duration, now := c.election.LeaseDuration(), time.Now()
	interval, overdue := duration/16, duration*3/8
	c.lease.lastRenewalSent.Store(&now)
	c.tasks.spawn(func() {
		for c.tasks.running() {
			c.tasks.sleep(interval)
			if lease := c.lease.load(); lease == nil || lease.fencingToken != token {
				return
			}
			if sent := c.lease.lastRenewalSent.Load(); sent != nil && time.Since(*sent) > overdue {
				c.log.Debug("renewing the lease outside the event loop", "fencing_token", token, "last", time.Since(*sent))
				c.renewLease(token, leaseID)
			}
		}
	})
}
