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
	rolloutInterval = 5 * time.Second  // between looks at what the members tell
	announcementTTL = 30 * time.Second // of what a member tells of itself
	resignInterval  = time.Minute      // a leader gives way for a level no more often than this
)

// rolloutStatus is what this member knows of the way to the next level.
type rolloutStatus struct {
	state   featuregate.State
	reason  string
	members map[string]featuregate.Member
}

// rulesSupported tells the front whether all members know the rules of jobs; nil: nobody watches over it,
// and the operators have seen to it.
func (n *Controller) rulesSupported() func() bool {
	if n.operator.Rollout == nil {
		return nil
	}
	return func() bool { return featuregate.Level(n.featureLevel.Load()) >= featuregate.Constraints }
}

// runRollout tells the others what this member's program knows, and watches over the way to the
// next level.
func (n *Controller) runRollout() error {
	me := featuregate.Member{Name: n.platform.Member, Release: n.release, Supported: featuregate.Supported, Incarnation: rand.Uint64()}
	listed := []string{n.platform.Member}
	for _, m := range n.platform.Members {
		listed = append(listed, m.Member)
	}
	gate := featuregate.NewGate(listed, n.operator.Rollout.SettleTime.Std())
	var lease uint64
	var gaveWay time.Time
	for ; n.ctx.Err() == nil; store.Sleep(n.ctx, rolloutInterval) {
		var err error
		if lease, err = n.announce(lease, me); err != nil {
			n.log.Debug("not announced", "err", err)
			continue
		}
		known, err := n.store.ListMembers(n.ctx)
		if err != nil {
			n.log.Debug("members are not known", "err", err)
			continue
		}
		n.postUrgent(func(now time.Time) {
			inForce := n.election.Level()
			moved := gate.Step(now, inForce, known)
			state, why := gate.State()
			if moved {
				n.log.Info("rollout", "state", state.String(), "level", inForce, "known", featuregate.Supported, "why", why)
			}
			n.rollout.Store(&rolloutStatus{state, why, known})
			next := gate.NextLevel(inForce)
			if n.operator.Rollout.Paused {
				next = 0
			}
			ev := election.ProposeLevel{Level: next}
			// Not on promises: nobody could claim then.
			if r := n.lease.Load(); next > 0 && r.valid() && !r.restsOnVotes(now) && now.Sub(gaveWay) > resignInterval {
				n.log.Info("giving way, for the next level", "to", next, "token", r.fencingToken)
				gaveWay, ev.StepDown = now, true
			}
			n.applyElectionEffects(now, n.election.Step(now, ev))
		})
	}
	return nil
}

// announce keeps what this member tells of itself alive. It returns the lease that it hangs on; 0:
// it has to be told anew.
func (n *Controller) announce(lease uint64, me featuregate.Member) (uint64, error) {
	if lease != 0 {
		err := n.store.RenewLease(lease)
		if err == nil {
			return lease, nil
		}
		if !errors.Is(err, store.ErrLeaseExpired) {
			return lease, err
		}
	}
	lease, err := n.store.GrantLease(announcementTTL)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(n.ctx, rolloutInterval)
	defer cancel()
	if err := n.store.PublishMember(ctx, lease, me); err != nil {
		return 0, err
	}
	return lease, nil
}

// describeRollout tells operators how the rollout stands; nil: it is off.
func (n *Controller) describeRollout() *admin.Rollout {
	s := n.rollout.Load()
	if n.operator.Rollout == nil || s == nil {
		return nil
	}
	out := &admin.Rollout{Level: uint32(n.featureLevel.Load()), Supported: uint32(featuregate.Supported), State: s.state.String(), Reason: s.reason, Held: n.operator.Rollout.Paused}
	for l := featuregate.Level(1); l <= featuregate.Supported; l++ {
		out.Features = append(out.Features, admin.Feature{Name: featuregate.Features[l], Level: uint32(l), InForce: uint32(l) <= out.Level})
	}
	for _, m := range s.members {
		out.Members = append(out.Members, m)
	}
	return out
}
