package controller

import (
	"context"
	"time"

	"github.com/glentiller/glentiller/internal/config"
	"github.com/glentiller/glentiller/internal/httpapi"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/reconciler"
)

// Controller provides the HTTP API with everything that is not in the job records.
var _ httpapi.Backend = (*Controller)(nil)

// HandleHeartbeat passes a worker's heartbeat to the reconciler if this controller leads. Otherwise the result
// names the leader that the worker should be redirected to, if there is one.
func (c *Controller) HandleHeartbeat(ctx context.Context, heartbeat *model.Heartbeat) httpapi.HeartbeatResult {
	return c.handleHeartbeat(ctx, reconciler.HeartbeatReceived{Heartbeat: heartbeat})
}

func (c *Controller) handleHeartbeat(ctx context.Context, ev reconciler.HeartbeatReceived) httpapi.HeartbeatResult {
	leader := c.leader.current()
	if !c.lease.valid() {
		return httpapi.HeartbeatResult{
			Leading:    leader == c.platform.Member,
			Leader:     c.leader.redirectTarget(leader, time.Now()),
			LeaseValid: neverValid,
		}
	}
	result, err := runInLoop(ctx, c.loop.inbox, func(now time.Time) httpapi.HeartbeatResult {
		return c.handleHeartbeatInLoop(ctx, now, ev)
	})
	if err != nil {
		return noHeartbeatResponse()
	}
	return result
}

// handleHeartbeatInLoop processes a heartbeat. It must be called from the event loop.
func (c *Controller) handleHeartbeatInLoop(
	ctx context.Context, now time.Time, ev reconciler.HeartbeatReceived,
) httpapi.HeartbeatResult {
	lease := c.lease.load()
	if c.reconciler == nil || !lease.valid() || ctx.Err() != nil {
		return noHeartbeatResponse()
	}
	result := httpapi.HeartbeatResult{
		Leading:      true,
		FencingToken: lease.fencingToken,
		LeaseValid:   func() bool { return c.lease.holds(lease.fencingToken) },
	}
	for _, effect := range c.stepReconciler(now, ev) {
		if response, ok := effect.(reconciler.HeartbeatResponse); ok {
			result.Commands = response.Commands
			if response.Refused {
				result.LeaseValid = neverValid
			}
		}
	}
	return result
}

// noHeartbeatResponse returns the result of a leader that must not respond to a heartbeat.
func noHeartbeatResponse() httpapi.HeartbeatResult {
	return httpapi.HeartbeatResult{Leading: true, LeaseValid: neverValid}
}

func neverValid() bool { return false }

// Progress returns how many tasks of an unfinished job are done and how many are running. Both are 0 if the job
// is not known.
func (c *Controller) Progress(id string) (done, running int) { return c.progress.lookup(id) }

// MachineTypes returns the machine types that the cloud offers. The result is empty until the catalog has been
// read for the first time.
func (c *Controller) MachineTypes() []model.MachineType {
	if types := c.machineTypes.Load(); types != nil {
		return *types
	}
	return nil
}

// Team returns the team with the given name, or nil if the platform configures no such team.
func (c *Controller) Team(name string) *model.Team { return c.teams[name] }

// UnderMemoryPressure reports whether this process or the leader is too short of memory for more jobs.
func (c *Controller) UnderMemoryPressure() bool {
	return c.memory.UnderPressure() || c.leader.underMemoryPressure(time.Now())
}

// LastStateServiceResponse returns when the state service last answered a request. The zero time means never.
func (c *Controller) LastStateServiceResponse() time.Time { return c.store.LastContact() }

// Healthy reports whether a load balancer should send requests to this controller.
//
// A controller that cannot reach the state service cannot serve users. If no controller can reach it, however,
// no other controller is a better choice. The controller therefore reports itself unhealthy only while it
// receives messages from a leader, because the leader's lease proves that the state service answers other
// members. In an outage that affects all members, that lease expires before this controller has been without
// the state service for long enough to report itself unhealthy. If the leader has lost its lease and
// leads by votes alone, its messages prove nothing about the state service.
//
// A controller that reaches no other member is also unhealthy. Otherwise users would stay with the one
// controller that cannot do anything for them. If all members are partitioned from each other while the state
// service is down, all of them become unhealthy. This costs about two probes after the outage, and no user
// could be served during the outage anyway.
func (c *Controller) Healthy() bool {
	now := time.Now()
	if !c.jobs.Loaded() || len(c.MachineTypes()) == 0 || c.isolated() {
		return false
	}
	leaseDuration := config.ElectionSettings(c.platform, c.operator).LeaseDuration
	storeUnreachable := c.store.UnreachableFor(now) > leaseDuration+leaderContactTimeout
	contact := c.leader.contact.Load()
	return !storeUnreachable || contact == nil || contact.votesOnly ||
		now.Sub(contact.at) > leaderContactTimeout/2 || c.lease.valid()
}
