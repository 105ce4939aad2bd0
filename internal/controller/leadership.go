package controller

import (
	"time"

	"github.com/glentiller/glentiller/internal/effects"
	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/record"
)

const (
	revokeAttempts         = 3
	revokeRetryDelay       = 300 * time.Millisecond
	readLeaderRetryDelay   = 500 * time.Millisecond
	watchLeaderRetryDelay  = 300 * time.Millisecond
	readSnapshotRetryDelay = 200 * time.Millisecond
)

// postElectionEvent queues an event for the election in the urgent inbox of the event loop.
func (c *Controller) postElectionEvent(ev election.Event) {
	c.loop.postUrgent(func(now time.Time) { c.stepElection(now, ev) })
}

// stepElection passes an event to the election, starts the effects that it returns, and publishes the resulting
// lease, feature level and leader.
func (c *Controller) stepElection(now time.Time, ev election.Event) {
	for _, effect := range c.election.Step(now, ev) {
		c.performElectionEffect(effect)
	}
	c.publishLease(now)
	c.rollout.level.Store(uint32(c.election.Level()))
	leader := c.election.Leader()
	if c.leader.update(now, leader) && c.storeRelay != nil {
		c.storeRelay.onLeaderChanged(leader == "")
	}
}

// performElectionEffect performs an effect of the election, or starts it in the background if it needs I/O.
func (c *Controller) performElectionEffect(effect election.Effect) {
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
		c.setRateLimits(c.platform, true)
		c.takeOver(c.term, e)
		c.superviseRenewals(e.FencingToken, c.election.LeaseID())
	case election.Deposed:
		c.lease.clear() // first, so that nothing acts under this lease while the rest is reset
		c.term++
		c.reconciler = nil
		c.cancellations.stopTracking()
		c.setRateLimits(c.platform, false)
	}
}

// electionExecutor returns an executor for the requests that the election sends to the state service.
func (c *Controller) electionExecutor() effects.ElectionExecutor {
	return effects.ElectionExecutor{Member: c.platform.Member, State: c.store, Now: time.Now}
}

// revokeLease revokes a lease, with retries. A lease that cannot be revoked ends when it expires.
func (c *Controller) revokeLease(leaseID uint64) {
	for range revokeAttempts {
		if c.store.RevokeLease(leaseID) == nil {
			return
		}
		c.tasks.sleep(revokeRetryDelay)
	}
}

// stepDown resigns the leadership when the process shuts down, so that the next leader need not wait for the
// lease to expire.
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

// watchLeader watches the leader's key and reports to the election which member holds it and when it becomes
// vacant.
func (c *Controller) watchLeader() error {
	var revision uint64
	for c.tasks.running() {
		if revision == 0 {
			record, readRevision, err := c.store.ReadLeaderRecord(c.tasks.ctx)
			if err != nil {
				c.tasks.sleep(readLeaderRetryDelay)
				continue
			}
			revision = readRevision
			c.postElectionEvent(election.RecordRead{Record: record})
		}
		watchRevision, vacant, leader, err := c.store.WatchLeader(c.tasks.ctx, revision)
		if err != nil {
			revision = 0
			c.tasks.sleep(watchLeaderRetryDelay)
			continue
		}
		revision = watchRevision
		if vacant {
			c.postElectionEvent(election.LeaderKeyVacant{})
		} else if leader != "" {
			c.postElectionEvent(election.RecordRead{Record: election.Record{Held: true, Leader: leader}})
		}
	}
	return nil
}

// takeOver reads the records for a new leader and starts its reconciler. It retries until it succeeds, the
// leadership has ended or the process shuts down.
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
			ended, err := runInLoop(c.tasks.ctx, c.loop.inbox, func(time.Time) bool { return c.term != term })
			if err == nil && ended {
				return
			}
			c.tasks.sleep(readSnapshotRetryDelay)
		}
	})
}

func (c *Controller) readSnapshot() (*record.Snapshot, error) {
	if err := c.jobs.LoadAndApplyChanges(c.tasks.ctx); err != nil {
		return nil, err
	}
	return c.store.ReadSnapshot(c.tasks.ctx, c.settings.Ledger != nil)
}

// startReconciler creates the reconciler of a new leadership from the snapshot. It runs in the event loop and
// adds the jobs to the snapshot there, so that no change of a job record can be applied in between.
func (c *Controller) startReconciler(now time.Time, token uint64, snapshot *record.Snapshot) {
	c.jobs.AddToSnapshot(snapshot)
	c.reconciler = reconciler.New(now, c.settings, token, snapshot, c.MachineTypes(), c.log)
	c.startTrackingCancellations(now)
}
