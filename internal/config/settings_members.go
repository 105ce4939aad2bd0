package config

import (
	"time"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/featuregate"
	"github.com/glentiller/glentiller/internal/relay"
	"github.com/glentiller/glentiller/internal/route"
	"github.com/glentiller/glentiller/internal/staleness"
)

const (
	// voteSlack covers messages in flight, margins and clock drift.
	voteSlack = 3 * time.Second

	// relayChangeShare is the share of the state service's changes that the
	// heartbeats of one member take at the most; their answers take as much.
	relayChangeShare = 0.05

	minBatchInterval      = 200 * time.Millisecond
	maxBatchInterval      = time.Second
	maxRelayQueue         = 512
	maxRelayQueueBytes    = 2 << 20
	maxBatchesInFlight    = 3
	relayHeartbeatTimeout = 3300 * time.Millisecond
	relayRetryAfter       = 8 * time.Second
)

// ElectionSettings returns the settings of the election.
func ElectionSettings(p *Platform, o *Operator) election.Settings {
	s := election.Settings{
		Member:        p.Member,
		LeaseDuration: o.Leadership.Lease.Std(),
		SafetyMargin:  o.Leadership.Margin.Std(),
		PollInterval:  o.Leadership.PollInterval.Std(),
		RetryInterval: o.Leadership.RetryInterval.Std(),
		Peers:         p.peers(),
		MaxLevel:      featuregate.Supported,
	}
	if o.Votes != nil {
		s.VoteDuration, s.OutageVoteDuration = voteDurations(p, s.LeaseDuration, o.Votes.Outage.Std())
	}
	return s
}

// voteDurations returns for how long members vote for a leader, and for how long
// while the state service is out; 0: they do not, or no longer than otherwise.
//
// A leader learns of a cancellation only at the end of its leadership, in the worst
// case. The workers' leases, which it has renewed until then, must expire before the
// job's tasks have to be gone.
func voteDurations(p *Platform, lease, outage time.Duration) (vote, outageVote time.Duration) {
	workerLease, cancelWithin := Seconds(p.Deployment.Workers.Lease), Seconds(p.Deployment.Workers.Cancel)
	if workerLease+lease+voteSlack >= cancelWithin {
		return 0, 0
	}
	vote = lease * 7 / 8
	// The same holds for a cancellation right after a vote during an outage.
	outageVote = min(outage, cancelWithin-workerLease-voteSlack)
	if outageVote <= vote {
		outageVote = 0
	}
	return vote, outageVote
}

// StalenessBound returns how stale a leader's knowledge of cancellations may be; ok is
// false where the workers' leases are too long for any bound.
func StalenessBound(p *Platform) (b staleness.Bound, ok bool) {
	w := &p.Deployment.Workers
	return staleness.BoundFor(Seconds(w.Cancel), Seconds(w.Lease))
}

// RoutingSettings returns the settings of the routing of users' requests; nil: they are
// answered by the member that receives them.
func RoutingSettings(p *Platform, o *Operator) *route.Settings {
	if o.Routing == nil {
		return nil
	}
	return &route.Settings{
		OtherMembers:  p.peers(),
		RetryRatio:    o.Routing.RetryRatio,
		MinHedgeDelay: o.Routing.MinHedgeDelay.Std(),
		MaxConcurrent: o.Routing.MaxConcurrent,
	}
}

// RelaySettings returns the settings of the relay of heartbeats through the state
// service; nil: heartbeats are not relayed that way.
func RelaySettings(p *Platform, o *Operator) *relay.Settings {
	if o.Relay == nil {
		return nil
	}
	// A batch is one change, and so are its answers.
	batchesPerSecond := relayChangeShare * max(p.StateLimits().WriteRPS, minWriteRPS)
	return &relay.Settings{
		BatchInterval:    min(max(Seconds(1/batchesPerSecond), minBatchInterval), maxBatchInterval),
		MaxQueued:        maxRelayQueue,
		MaxQueuedBytes:   maxRelayQueueBytes,
		MaxInFlight:      maxBatchesInFlight,
		HeartbeatTimeout: relayHeartbeatTimeout,
		RetryAfter:       relayRetryAfter,
	}
}
