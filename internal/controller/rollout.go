package controller

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/glentiller/glentiller/internal/admin"
	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/featuregate"
	"github.com/glentiller/glentiller/internal/store"
)

const (
	rolloutEvery = 5 * time.Second  // between looks at what the members tell
	rolloutLife  = 30 * time.Second // of what a member tells of itself
	giveWayEvery = time.Minute      // a leader gives way for a level no more often than this
)

// standing is what this member knows of the way to the next level.
type standing struct {
	state   featuregate.State
	why     string
	members map[string]featuregate.Member
}

// rulesNow tells the front whether all members know the rules of jobs; nil: nobody watches over it,
// and the operators have seen to it.
func (n *Node) rulesNow() func() bool {
	if n.oper.Rollout == nil {
		return nil
	}
	return func() bool { return featuregate.Level(n.level.Load()) >= featuregate.Constraints }
}

// runRollout tells the others what this member's program knows, and watches over the way to the
// next level.
func (n *Node) runRollout() error {
	me := featuregate.Member{Name: n.plat.Member, Release: n.version, Can: featuregate.Can, Life: rand.Uint64()}
	listed := []string{n.plat.Member}
	for _, m := range n.plat.Members {
		listed = append(listed, m.Member)
	}
	gate := featuregate.NewGate(listed, n.oper.Rollout.SettleTime.Std())
	var lease uint64
	var gaveWay time.Time
	for ; n.ctx.Err() == nil; store.Wait(n.ctx, rolloutEvery) {
		var err error
		if lease, err = n.announce(lease, me); err != nil {
			n.log.Debug("not announced", "err", err)
			continue
		}
		known, err := n.state.Announced(n.ctx)
		if err != nil {
			n.log.Debug("members are not known", "err", err)
			continue
		}
		n.postFirst(func(now time.Time) {
			inForce := n.elect.Level()
			moved := gate.Step(now, inForce, known)
			state, why := gate.State()
			if moved {
				n.log.Info("rollout", "state", state.String(), "level", inForce, "known", featuregate.Can, "why", why)
			}
			n.rollout.Store(&standing{state, why, known})
			next := gate.Next(inForce)
			if n.oper.Rollout.Paused {
				next = 0
			}
			ev := election.Raising{To: next}
			// Not on promises: nobody could claim then.
			if r := n.right.Load(); next > 0 && r.holds() && !r.onPromises(now) && now.Sub(gaveWay) > giveWayEvery {
				n.log.Info("giving way, for the next level", "to", next, "token", r.token)
				gaveWay, ev.Again = now, true
			}
			n.elected(now, n.elect.Step(now, ev))
		})
	}
	return nil
}

// announce keeps what this member tells of itself alive. It returns the lease that it hangs on; 0:
// it has to be told anew.
func (n *Node) announce(lease uint64, me featuregate.Member) (uint64, error) {
	if lease != 0 {
		err := n.state.Touch(lease)
		if err == nil {
			return lease, nil
		}
		if !errors.Is(err, store.ErrLeaseOver) {
			return lease, err
		}
	}
	lease, err := n.state.Grant(rolloutLife)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(n.ctx, rolloutEvery)
	defer cancel()
	if err := n.state.Announce(ctx, lease, me); err != nil {
		return 0, err
	}
	return lease, nil
}

// rolloutStanding tells operators how the rollout stands; nil: it is off.
func (n *Node) rolloutStanding() *admin.Rollout {
	s := n.rollout.Load()
	if n.oper.Rollout == nil || s == nil {
		return nil
	}
	out := &admin.Rollout{Level: uint32(n.level.Load()), Knows: uint32(featuregate.Can), State: s.state.String(), Why: s.why, Held: n.oper.Rollout.Paused}
	for l := featuregate.Level(1); l <= featuregate.Can; l++ {
		out.Features = append(out.Features, admin.Feature{Name: featuregate.Features[l], Level: uint32(l), InForce: uint32(l) <= out.Level})
	}
	for _, m := range s.members {
		out.Members = append(out.Members, m)
	}
	return out
}
