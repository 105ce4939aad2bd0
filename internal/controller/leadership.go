package controller

import (
	"time"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/store"
)

// The election's effects, and what a new leader reads before it acts.

// elected carries out the election's effects.
func (n *Node) elected(now time.Time, effects []election.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case election.Look:
			n.spawn(func() {
				r, _, err := n.state.Look(n.ctx)
				n.election(election.Looked{Record: r, Err: err})
			})
		case election.Grant:
			n.spawn(func() {
				sent := time.Now()
				lease, err := n.state.Grant(e.Life)
				n.election(election.Granted{Lease: lease, Sent: sent, Err: err})
			})
		case election.Claim:
			n.spawn(func() {
				v, ok, err := n.state.Claim(n.ctx, n.plat.Member, e)
				n.election(election.Claimed{OK: ok, Version: v, Err: err})
			})
		case election.Touch:
			token := n.elect.Token()
			n.spawn(func() { n.touch(token, e.Lease) })
		case election.Drop:
			n.spawn(func() {
				for range 3 {
					if n.state.Drop(e.Lease) == nil {
						return
					}
					store.Wait(n.ctx, 300*time.Millisecond)
				}
			})
		case election.AskPromises:
			n.askPromises(n.term, e)
		case election.AskUnbound:
			n.askUnbound()
		case election.Release:
			n.release(e.Token)
		case election.Elected:
			n.term++
			n.share(true)
			n.takeOver(n.term, e)
			n.renew(e.Token, n.elect.Lease())
		case election.Deposed:
			n.right.Store(nil) // before anybody may hear of it
			n.term++
			n.core, n.book, n.behind = nil, nil, false
			n.share(false)
		}
	}
	n.showRight(now)
	n.level.Store(uint32(n.elect.Level()))
	leader := n.elect.Leader()
	if old := n.leader.Swap(&leader); old == nil || *old != leader {
		n.leaderSince.Store(&now)
		if n.mail != nil {
			n.mail.changed(leader == "")
		}
	}
}

// election hands an event to the election, before everything else.
func (n *Node) election(ev election.Event) {
	n.postFirst(func(now time.Time) { n.elected(now, n.elect.Step(now, ev)) })
}

// postFirst hands a piece of work to the loop that goes before the inbox.
func (n *Node) postFirst(f func(now time.Time)) {
	select {
	case n.urgent <- f:
	case <-n.ctx.Done():
	}
}

// watchLeader tells the election when the leader's key is free.
func (n *Node) watchLeader() error {
	var rev uint64
	for n.ctx.Err() == nil {
		if rev == 0 {
			r, at, err := n.state.Look(n.ctx)
			if err != nil {
				store.Wait(n.ctx, 500*time.Millisecond)
				continue
			}
			rev = at
			n.election(election.Looked{Record: r})
		}
		at, vacant, leader, err := n.state.WatchLeader(n.ctx, rev)
		if err != nil {
			rev = 0
			store.Wait(n.ctx, 300*time.Millisecond)
			continue
		}
		rev = at
		if vacant {
			n.election(election.Vacant{})
		} else if leader != "" {
			n.election(election.Looked{Record: election.Record{Held: true, Leader: leader}})
		}
	}
	return nil
}

// takeOver reads what a new leader needs, and starts its core.
func (n *Node) takeOver(term uint64, e election.Elected) {
	n.spawn(func() {
		for n.ctx.Err() == nil {
			var snap *reconciler.Snapshot
			err := n.jobs.Refresh(n.ctx)
			if err == nil {
				snap, err = n.state.Records(n.ctx, n.set.Ledger != nil)
			}
			if err == nil {
				started := make(chan bool, 1)
				n.post(func(now time.Time) {
					if n.term == term {
						// Read in the loop: no change of a job can come in between.
						n.jobs.Snapshot(snap)
						n.core = reconciler.New(now, n.set, e.Token, snap, n.Types(), n.log)
						n.informed(now)
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
			store.Wait(n.ctx, 200*time.Millisecond)
		}
	})
}
