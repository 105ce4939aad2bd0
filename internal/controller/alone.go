package controller

import (
	"context"
	"time"

	"github.com/glentiller/glentiller/internal/peer/peerpb"
	"github.com/glentiller/glentiller/internal/route"
	"github.com/glentiller/glentiller/internal/store"
)

const (
	pingEvery = time.Second
	pingWait  = 800 * time.Millisecond
)

// keepCompany asks the other members whether they are there, while the state service is out of reach.
func (n *Node) keepCompany() error {
	for n.ctx.Err() == nil {
		store.Wait(n.ctx, pingEvery)
		down := n.state.Down(time.Now())
		ask, moved := n.company.Look(time.Now(), down)
		if moved {
			n.log.Info("company", "is", n.company.State().String(), "without_state", down)
		}
		if !ask {
			continue
		}
		for _, c := range n.peers {
			n.spawn(func() {
				ctx, cancel := context.WithTimeout(n.ctx, pingWait)
				defer cancel()
				if a, err := c.Promise(ctx, &peerpb.PromiseAsk{Member: n.plat.Member}); err == nil && a != nil {
					n.company.Met(time.Now())
				}
			})
		}
	}
	return nil
}

// alone tells that this member reaches nobody, and does not act for all either.
func (n *Node) alone() bool { return n.company.State() == route.Alone && !n.right.Load().holds() }
