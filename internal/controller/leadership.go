package controller

import (
	"time"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/store"
)

// The election's effects, and what a new leader reads before it acts.

// applyElectionEffects carries out the election's effects.
func (n *Controller) applyElectionEffects(now time.Time, effects []election.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case election.ReadRecord:
			n.spawn(func() {
				r, _, err := n.store.ReadLeaderRecord(n.ctx)
				n.postElectionEvent(election.RecordRead{Record: r, Err: err})
			})
		case election.GrantLease:
			n.spawn(func() {
				sent := time.Now()
				lease, err := n.store.GrantLease(e.Duration)
				n.postElectionEvent(election.LeaseGranted{LeaseID: lease, Sent: sent, Err: err})
			})
		case election.Claim:
			n.spawn(func() {
				v, ok, err := n.store.ClaimLeadership(n.ctx, n.platform.Member, e)
				n.postElectionEvent(election.ClaimCompleted{OK: ok, TokenVersion: v, Err: err})
			})
		case election.RenewLease:
			token := n.election.FencingToken()
			n.spawn(func() { n.renewLease(token, e.LeaseID) })
		case election.RevokeLease:
			n.spawn(func() {
				for range 3 {
					if n.store.RevokeLease(e.LeaseID) == nil {
						return
					}
					store.Sleep(n.ctx, 300*time.Millisecond)
				}
			})
		case election.RequestVotes:
			n.requestVotes(n.term, e)
		case election.QueryLeadership:
			n.askWhoLeads()
		case election.ReleaseVotes:
			n.releaseVotes(e.FencingToken)
		case election.Elected:
			n.term++
			n.allocateRates(true)
			n.takeOver(n.term, e)
			n.superviseRenewals(e.FencingToken, n.election.LeaseID())
		case election.Deposed:
			n.lease.Store(nil) // before anybody may hear of it
			n.term++
			n.reconciler, n.staleness, n.tooStale = nil, nil, false
			n.allocateRates(false)
		}
	}
	n.publishLease(now)
	n.featureLevel.Store(uint32(n.election.Level()))
	leader := n.election.Leader()
	if old := n.leader.Swap(&leader); old == nil || *old != leader {
		n.leaderSince.Store(&now)
		if n.storeRelay != nil {
			n.storeRelay.leaderChanged(leader == "")
		}
	}
}

// postElectionEvent hands an event to the election, before everything else.
func (n *Controller) postElectionEvent(ev election.Event) {
	n.postUrgent(func(now time.Time) { n.applyElectionEffects(now, n.election.Step(now, ev)) })
}

// postUrgent hands a piece of work to the loop that goes before the inbox.
func (n *Controller) postUrgent(f func(now time.Time)) {
	select {
	case n.urgent <- f:
	case <-n.ctx.Done():
	}
}

// watchLeader tells the election when the leader's key is free.
func (n *Controller) watchLeader() error {
	var rev uint64
	for n.ctx.Err() == nil {
		if rev == 0 {
			r, at, err := n.store.ReadLeaderRecord(n.ctx)
			if err != nil {
				store.Sleep(n.ctx, 500*time.Millisecond)
				continue
			}
			rev = at
			n.postElectionEvent(election.RecordRead{Record: r})
		}
		at, vacant, leader, err := n.store.WatchLeader(n.ctx, rev)
		if err != nil {
			rev = 0
			store.Sleep(n.ctx, 300*time.Millisecond)
			continue
		}
		rev = at
		if vacant {
			n.postElectionEvent(election.LeaderKeyVacant{})
		} else if leader != "" {
			n.postElectionEvent(election.RecordRead{Record: election.Record{Held: true, Leader: leader}})
		}
	}
	return nil
}

// takeOver reads what a new leader needs, and starts its core.
func (n *Controller) takeOver(term uint64, e election.Elected) {
	n.spawn(func() {
		for n.ctx.Err() == nil {
			var snap *reconciler.Snapshot
			err := n.jobs.Refresh(n.ctx)
			if err == nil {
				snap, err = n.store.ReadSnapshot(n.ctx, n.settings.Ledger != nil)
			}
			if err == nil {
				started := make(chan bool, 1)
				n.post(func(now time.Time) {
					if n.term == term {
						// Read in the loop: no change of a job can come in between.
						n.jobs.AddToSnapshot(snap)
						n.reconciler = reconciler.New(now, n.settings, e.FencingToken, snap, n.MachineTypes(), n.log)
						n.startStaleness(now)
					}
					started <- true
				})
				return
			}
			n.log.Warn("takeover: reading the records", "err", err)
			stop := make(chan bool, 1)
			n.post(func(time.Time) { stop <- n.term != term })
			select {
			case over := <-stop:
				if over {
					return
				}
			case <-n.ctx.Done():
			}
			store.Sleep(n.ctx, 200*time.Millisecond)
		}
	})
}
