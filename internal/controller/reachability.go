package controller

import (
	"context"
	"time"

	"github.com/glentiller/glentiller/internal/peer/peerpb"
	"github.com/glentiller/glentiller/internal/route"
)

const (
	peerProbeInterval = time.Second
	peerProbeTimeout  = 800 * time.Millisecond
)

// probePeers periodically evaluates whether this member is isolated, and probes the other members while the
// state service is unreachable.
func (c *Controller) probePeers() error {
	for c.tasks.running() {
		c.tasks.sleep(peerProbeInterval)
		unreachableFor := c.store.UnreachableFor(time.Now())
		probe, changed := c.peerReachability.Evaluate(time.Now(), unreachableFor)
		if changed {
			c.log.Info("peer reachability changed",
				"state", c.peerReachability.State().String(), "state_service_unreachable_for", unreachableFor)
		}
		if !probe {
			continue
		}
		for _, client := range c.peers {
			c.tasks.spawn(func() {
				ctx, cancel := context.WithTimeout(c.tasks.ctx, peerProbeTimeout)
				defer cancel()
				answer, err := client.RequestVote(ctx, &peerpb.PromiseAsk{Member: c.platform.Member})
				if err == nil && answer != nil {
					c.peerReachability.ObserveContact(time.Now())
				}
			})
		}
	}
	return nil
}

// isolated reports whether this member reaches neither the state service nor any other member, and does not
// lead.
func (c *Controller) isolated() bool {
	return c.peerReachability.State() == route.Isolated && !c.lease.valid()
}
