package controller

import (
	"context"
	"time"

	"github.com/glentiller/glentiller/internal/config"
	"github.com/glentiller/glentiller/internal/httpapi"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/reconciler"
)

// Controller gives the HTTP interface what is not in the job records.
var _ httpapi.Backend = (*Controller)(nil)

// HandleHeartbeat passes a worker's heartbeat to the reconciler, if this controller leads.
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
		return c.heartbeatResult(ctx, now, ev)
	})
	if err != nil {
		return unansweredHeartbeat()
	}
	return result
}

// heartbeatResult takes a heartbeat within the event loop.
func (c *Controller) heartbeatResult(
	ctx context.Context, now time.Time, ev reconciler.HeartbeatReceived,
) httpapi.HeartbeatResult {
	lease := c.lease.load()
	if c.reconciler == nil || !lease.valid() || ctx.Err() != nil {
		return unansweredHeartbeat()
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

// unansweredHeartbeat is the result of a leader that must not answer.
func unansweredHeartbeat() httpapi.HeartbeatResult {
	return httpapi.HeartbeatResult{Leading: true, LeaseValid: neverValid}
}

func neverValid() bool { return false }

// Progress returns how many tasks of an unfinished job are done and running.
func (c *Controller) Progress(id string) (done, running int) { return c.progress.ofJob(id) }

// MachineTypes returns the cloud's machine types; empty: they are not known yet.
func (c *Controller) MachineTypes() []model.MachineType {
	if types := c.machineTypes.Load(); types != nil {
		return *types
	}
	return nil
}

// Team returns a team of the platform, or nil.
func (c *Controller) Team(name string) *model.Team { return c.teams[name] }

// UnderMemoryPressure reports whether there is no memory for more jobs.
func (c *Controller) UnderMemoryPressure() bool { return c.memory.UnderPressure() }

// LastStateResponse returns when the state service last answered anything.
func (c *Controller) LastStateResponse() time.Time { return c.store.LastContact() }

// Healthy reports whether a load balancer should send requests here.
//
// A controller without the state service can serve no user, but while the state service is down for all
// of them there is no better one either. So it reports itself unhealthy only while it receives messages
// of a leader, whose lease proves that the state service answers others: in an outage for all that lease
// expires before this controller has been without the state service for long enough. A leader that acts
// on votes alone proves nothing of the kind.
//
// A controller that reaches no other member is unhealthy too, or users would stay with the one controller
// that can do nothing for them. If all members are cut off from each other while the state service is
// down, that costs about two probes after the outage, in which no user could be served anyway.
func (c *Controller) Healthy() bool {
	now := time.Now()
	if !c.jobs.Loaded() || len(c.MachineTypes()) == 0 || c.isolated() {
		return false
	}
	leaseDuration := config.ElectionSettings(c.platform, c.operator).LeaseDuration
	cutOff := c.store.UnreachableFor(now) > leaseDuration+leaderTimeout
	contact := c.leader.contact.Load()
	return !cutOff || contact == nil || contact.onVotes || now.Sub(contact.at) > leaderTimeout/2 || c.lease.valid()
}
