package controller

import (
	"time"

	"github.com/glentiller/glentiller/internal/effects"
	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/record"
)

const (
	revokeAttempts    = 3
	revokeRetry       = 300 * time.Millisecond
	readLeaderRetry   = 500 * time.Millisecond
	watchLeaderRetry  = 300 * time.Millisecond
	readSnapshotRetry = 200 * time.Millisecond
)

// postElectionEvent passes an event to the election, ahead of all other messages.
func (c *Controller) postElectionEvent(ev election.Event) {
	c.loop.postUrgent(func(now time.Time) { c.stepElection(now, ev) })
}

// stepElection passes an event to the election, starts the effects that it returns, and publishes the state
// of the leadership.
func (c *Controller) stepElection(now time.Time, ev election.Event) {
	for _, effect := range c.election.Step(now, ev) {
		c.performElection(effect)
	}
	c.publishLease(now)
	c.rollout.level.Store(uint32(c.election.Level()))
	leader := c.election.Leader()
	if c.leader.update(now, leader) && c.storeRelay != nil {
		c.storeRelay.leaderChanged(leader == "")
	}
}

// performElection starts an effect of the election.
func (c *Controller) performElection(effect election.Effect) {
	switch e := effect.(type) {
	case election.ReadRecord:
		c.tasks.spawn(func() { c.postElectionEvent(c.electionExecutor().ReadRecord(c.tasks.ctx)) })
	case election.GrantLease:
		c.tasks.spawn(func() { c.postElectionEvent(c.electionExecutor().GrantLease(e)) })
	case election.Claim:
		c.tasks.spawn(func() { c.postElectionEvent(c.electionExecutor().Claim(c.tasks.ctx, e)) })
	case election.RenewLease:
		token := c.election.FencingToken()
		c.tasks.spawn(func() { c.renewLease(token, e.LeaseID) })
	case election.RevokeLease:
		c.tasks.spawn(func() { c.revokeLease(e.LeaseID) })
	case election.RequestVotes:
		c.requestVotes(c.term, e)
	case election.QueryLeadership:
		c.queryLeadership()
	case election.ReleaseVotes:
		c.releaseVotes(e.FencingToken)
	case election.Elected:
		c.term++
		c.setRates(c.platform, true)
		c.takeOver(c.term, e)
		c.superviseRenewals(e.FencingToken, c.election.LeaseID())
	case election.Deposed:
		c.lease.clear() // first, so that nothing acts on it any more
		c.term++
		c.reconciler = nil
		c.cancellations.end()
		c.setRates(c.platform, false)
	}
}

// electionExecutor carries out the election's requests to the state service.
func (c *Controller) electionExecutor() effects.ElectionExecutor {
	return effects.ElectionExecutor{Member: c.platform.Member, State: c.store, Now: time.Now}
}

// revokeLease revokes a lease. One that cannot be revoked expires.
func (c *Controller) revokeLease(leaseID uint64) {
	for range revokeAttempts {
		if c.store.RevokeLease(leaseID) == nil {
			return
		}
		c.tasks.sleep(revokeRetry)
	}
}

// stepDown ends the leadership as the process ends, so that the next leader need not wait for its lease to
// expire.
func (c *Controller) stepDown(now time.Time) {
	for _, effect := range c.election.Step(now, election.Resign{}) {
		revoke, ok := effect.(election.RevokeLease)
		if !ok {
			continue
		}
		c.lease.clear()
		if err := c.store.RevokeLease(revoke.LeaseID); err != nil {
			c.log.Warn("revoking the lease failed", "err", err)
		}
	}
}

// watchLeader reports to the election who holds the leader's key, and when it is free.
func (c *Controller) watchLeader() error {
	var revision uint64
	for c.tasks.running() {
		if revision == 0 {
			record, at, err := c.store.ReadLeaderRecord(c.tasks.ctx)
			if err != nil {
				c.tasks.sleep(readLeaderRetry)
				continue
			}
			revision = at
			c.postElectionEvent(election.RecordRead{Record: record})
		}
		at, vacant, leader, err := c.store.WatchLeader(c.tasks.ctx, revision)
		if err != nil {
			revision = 0
			c.tasks.sleep(watchLeaderRetry)
			continue
		}
		revision = at
		if vacant {
			c.postElectionEvent(election.LeaderKeyVacant{})
		} else if leader != "" {
			c.postElectionEvent(election.RecordRead{Record: election.Record{Held: true, Leader: leader}})
		}
	}
	return nil
}

// takeOver reads the records for a new leader and starts its reconciler. It tries until it succeeds or the
// leadership has ended.
func (c *Controller) takeOver(term uint64, e election.Elected) {
	c.tasks.spawn(func() {
		for c.tasks.running() {
			snapshot, err := c.readSnapshot()
			if err == nil {
				c.loop.post(func(now time.Time) {
					if c.term == term {
						c.startReconciler(now, e.FencingToken, snapshot)
					}
				})
				return
			}
			c.log.Warn("takeover: reading the records failed", "err", err)
			over, err := runInLoop(c.tasks.ctx, c.loop.inbox, func(time.Time) bool { return c.term != term })
			if err == nil && over {
				return
			}
			c.tasks.sleep(readSnapshotRetry)
		}
	})
}

func (c *Controller) readSnapshot() (*record.Snapshot, error) {
	if err := c.jobs.Refresh(c.tasks.ctx); err != nil {
		return nil, err
	}
	return c.store.ReadSnapshot(c.tasks.ctx, c.settings.Ledger != nil)
}

// startReconciler makes the reconciler of a leadership from the records. The jobs are added within the
// event loop, so that no change of a job comes in between.
func (c *Controller) startReconciler(now time.Time, token uint64, snapshot *record.Snapshot) {
	c.jobs.AddToSnapshot(snapshot)
	c.reconciler = reconciler.New(now, c.settings, token, snapshot, c.MachineTypes(), c.log)
	c.beginCancellations(now)
}
