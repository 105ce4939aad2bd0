package controller

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/glentiller/glentiller/internal/admin"
	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/featuregate"
	"github.com/glentiller/glentiller/internal/store"
)

const (
	rolloutInterval   = 5 * time.Second  // between two reads of the members' announcements
	announcementTTL   = 30 * time.Second // of the lease that a member's announcement is bound to
	minResignInterval = time.Minute      // between two resignations of a leader to raise the feature level
)

// rolloutView is what this member knows about the feature level. The event loop writes it, and any goroutine
// may read it.
type rolloutView struct {
	level  atomic.Uint32                 // the level in force according to the election
	status atomic.Pointer[rolloutStatus] // nil before the first evaluation
}

// rolloutStatus is the progress of the rollout towards the next feature level.
type rolloutStatus struct {
	state   featuregate.State
	reason  string
	members map[string]featuregate.Member
}

// constraintsInForce returns a function that reports whether all members support the constraints of jobs. It returns
// nil if the settings enable no rollout; the operators are then responsible for this.
func (c *Controller) constraintsInForce() func() bool {
	if c.operator.Rollout == nil {
		return nil
	}
	return func() bool { return featuregate.Level(c.rollout.level.Load()) >= featuregate.Constraints }
}

// runRollout periodically announces the features that this member supports and evaluates the announcements of
// all members. The election may raise the feature level once all members support the next one.
func (c *Controller) runRollout() error {
	self := featuregate.Member{
		Name:        c.platform.Member,
		Release:     c.release,
		Supported:   featuregate.Supported,
		Incarnation: rand.Uint64(),
	}
	expected := []string{c.platform.Member}
	for _, m := range c.platform.Members {
		expected = append(expected, m.Member)
	}
	gate := featuregate.NewGate(expected, c.operator.Rollout.SettleTime.Std())
	var leaseID uint64
	var resignedAt time.Time // owned by the event loop
	for ; c.tasks.running(); c.tasks.sleep(rolloutInterval) {
		var err error
		if leaseID, err = c.announce(leaseID, self); err != nil {
			c.log.Debug("announcing this member failed", "err", err)
			continue
		}
		members, err := c.store.ListMembers(c.tasks.ctx)
		if err != nil {
			c.log.Debug("listing members failed", "err", err)
			continue
		}
		c.loop.postUrgent(func(now time.Time) { c.evaluateRollout(now, gate, members, &resignedAt) })
	}
	return nil
}

// evaluateRollout passes the members' announcements to the gate and proposes the resulting level to the
// election. A leader resigns for this, because the level is raised by the next claim of leadership. It does not
// resign while its leadership is held by votes only, because no member could claim the leadership then.
func (c *Controller) evaluateRollout(
	now time.Time, gate *featuregate.Gate, members map[string]featuregate.Member, resignedAt *time.Time,
) {
	inForce := c.election.Level()
	changed := gate.Step(now, inForce, members)
	state, reason := gate.State()
	if changed {
		c.log.Info("rollout state changed",
			"state", state.String(), "level", inForce, "supported", featuregate.Supported, "reason", reason)
	}
	c.rollout.status.Store(&rolloutStatus{state: state, reason: reason, members: members})
	next := gate.NextLevel(inForce)
	if c.operator.Rollout.Paused {
		next = 0
	}
	proposal := election.ProposeLevel{Level: next}
	lease := c.lease.load()
	if next > 0 && lease.valid() && !lease.heldByVotesOnly(now) && now.Sub(*resignedAt) > minResignInterval {
		c.log.Info("resigning to raise the feature level", "level", next, "fencing_token", lease.fencingToken)
		*resignedAt, proposal.StepDown = now, true
	}
	c.stepElection(now, proposal)
}

// announce renews or publishes this member's announcement. It returns the lease at the state service that the
// announcement is bound to, or 0 if the next call has to publish the announcement again.
func (c *Controller) announce(leaseID uint64, self featuregate.Member) (uint64, error) {
	if leaseID != 0 {
		err := c.store.RenewLease(leaseID)
		if err == nil {
			return leaseID, nil
		}
		if !errors.Is(err, store.ErrLeaseExpired) {
			return leaseID, err
		}
	}
	leaseID, err := c.store.GrantLease(announcementTTL)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(c.tasks.ctx, rolloutInterval)
	defer cancel()
	if err := c.store.PublishMember(ctx, leaseID, self); err != nil {
		return 0, err
	}
	return leaseID, nil
}

// rolloutStatus returns the progress of the rollout for the operators' interface. It returns nil if the
// settings enable no rollout or if it has not been evaluated yet.
func (c *Controller) rolloutStatus() *admin.Rollout {
	status := c.rollout.status.Load()
	if c.operator.Rollout == nil || status == nil {
		return nil
	}
	rollout := &admin.Rollout{
		Level:     c.rollout.level.Load(),
		Supported: uint32(featuregate.Supported),
		State:     status.state.String(),
		Reason:    status.reason,
		Paused:    c.operator.Rollout.Paused,
	}
	for level := featuregate.Level(1); level <= featuregate.Supported; level++ {
		rollout.Features = append(rollout.Features, admin.Feature{
			Name:    featuregate.Features[level],
			Level:   uint32(level),
			InForce: uint32(level) <= rollout.Level,
		})
	}
	for _, m := range status.members {
		rollout.Members = append(rollout.Members, m)
	}
	return rollout
}
