package controller

import (
	"context"
	"time"

	"github.com/glentiller/glentiller/internal/admin"
	"github.com/glentiller/glentiller/internal/election"
)

// MemberStatus returns this controller's status for the operators' interface. It returns the error of ctx if the
// event loop does not answer in time.
func (c *Controller) MemberStatus(ctx context.Context) (*admin.MemberStatus, error) {
	var hold loopHold
	electionStatus, err := runInLoop(ctx, c.loop.urgent, func(time.Time) election.Status {
		hold = c.loop.hold.longest
		return c.election.Status(time.Now())
	})
	if err != nil {
		return nil, err
	}
	status := &admin.MemberStatus{
		Member:                         c.platform.Member,
		State:                          electionStatus.State,
		Leader:                         electionStatus.Leader,
		FencingToken:                   electionStatus.FencingToken,
		LeaseRemainingSeconds:          electionStatus.LeaseRemaining.Seconds(),
		LeadershipRemainingSeconds:     electionStatus.ValidRemaining.Seconds(),
		VoteDurationSeconds:            electionStatus.VoteDuration.Seconds(),
		VoteRemainingSeconds:           map[string]float64{},
		ClaimBlockedSeconds:            electionStatus.ClaimBlockedFor.Seconds(),
		StateServiceUnreachableSeconds: c.store.UnreachableFor(time.Now()).Seconds(),
		Load: admin.Load{
			LongestHoldSeconds: hold.duration.Seconds(),
			LongestHoldWork:    hold.workName,
			QueuedEvents:       len(c.loop.inbox),
		},
		Connections: c.connectionStatus(),
		Rollout:     c.rolloutStatus(),
	}
	if c.router != nil {
		status.Requests = c.router.Status(time.Now())
	}
	for voter, remaining := range electionStatus.Votes {
		status.VoteRemainingSeconds[voter] = remaining.Seconds()
	}
	return status, nil
}

func (c *Controller) connectionStatus() admin.Connections {
	quotas := c.connections.Status()
	status := admin.Connections{
		Occupancy: quotas.Occupancy.String(),
		Used:      quotas.Used,
		Peak:      quotas.Peak,
		Capacity:  quotas.Capacity,
		Classes:   map[string]admin.ClassConnections{},
	}
	for class, counts := range quotas.Classes {
		status.Classes[class.String()] = admin.ClassConnections{
			Used:     counts.Used,
			Quota:    counts.Quota,
			Rejected: counts.Rejected,
		}
	}
	return status
}
