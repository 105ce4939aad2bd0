package controller

import (
	"context"
	"time"

	"github.com/glentiller/glentiller/internal/peer/peerpb"
	"github.com/glentiller/glentiller/internal/route"
	"github.com/glentiller/glentiller/internal/store"
)

const (
	peerProbeInterval = time.Second
	peerProbeTimeout  = 800 * time.Millisecond
)

// probePeers asks the other members whether they are there, while the state service is out of reach.
func (n *Controller) probePeers() error {
	for n.ctx.Err() == nil {
		store.Sleep(n.ctx, peerProbeInterval)
		down := n.store.UnreachableFor(time.Now())
		ask, moved := n.peerReachability.Evaluate(time.Now(), down)
		if moved {
			n.log.Info("company", "is", n.peerReachability.State().String(), "without_state", down)
		}
		if !ask {
			continue
		}
		for _, c := range n.peers {
			n.spawn(func() {
				ctx, cancel := context.WithTimeout(n.ctx, peerProbeTimeout)
				defer cancel()
				if a, err := c.RequestVote(ctx, &peerpb.PromiseAsk{Member: n.platform.Member}); err == nil && a != nil {
					n.peerReachability.ObserveContact(time.Now())
				}
			})
		}
	}
	return nil
}

// isolated tells that this member reaches nobody, and does not act for all either.
func (n *Controller) isolated() bool {
	return n.peerReachability.State() == route.Isolated && !n.lease.Load().valid()
}
