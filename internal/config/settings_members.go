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
	// voteSlack covers messages in flight, safety margins and clock drift.
	voteSlack = 3 * time.Second

	// relayWriteShare bounds the writes of one member's relayed heartbeats, as a fraction of the state service's
	// write limit. The responses to them take the same number of writes.
	relayWriteShare = 0.05

	minBatchInterval      = 200 * time.Millisecond  // time between batches of relayed heartbeats
	maxBatchInterval      = time.Second             // time between batches, however low the write limit is
	maxRelayQueue         = 512                     // heartbeats that wait for a batch
	maxRelayQueueBytes    = 2 << 20                 // size of these heartbeats together
	maxBatchesInFlight    = 3                       // batches without a response
	relayHeartbeatTimeout = 3300 * time.Millisecond // time limit for the response to a heartbeat
	relayRetryAfter       = 8 * time.Second         // delay before an unreachable leader is tried again
)

// ElectionSettings returns the settings of the leader election. Its vote durations are 0 if votes are disabled, or
// if the workers' lease and the leader's lease are too long for them.
func ElectionSettings(p *Platform, o *Operator) election.Settings {
	s := election.Settings{
		Member:        p.Member,
		LeaseDuration: o.Leadership.Lease.Std(),
		SafetyMargin:  o.Leadership.SafetyMargin.Std(),
		PollInterval:  o.Leadership.PollInterval.Std(),
		RetryInterval: o.Leadership.RetryInterval.Std(),
		Peers:         p.peers(),
		MaxLevel:      featuregate.Supported,
	}
	if o.Votes != nil {
		s.VoteDuration, s.OutageVoteDuration = voteDurations(p, s.LeaseDuration, o.Votes.OutageVoteDuration.Std())
	}
	return s
}

// voteDurations returns how long a vote for a leader is valid, and how long it is valid during an outage of the
// state service. If vote is 0, members must not vote. If outageVote is 0, votes last no longer during an outage.
//
// In the worst case, a leader learns of a cancellation only at the end of its leadership, and renews the workers'
// leases until then. These leases must expire before the deadline by which the cancelled job's tasks have to end.
func voteDurations(p *Platform, lease, outage time.Duration) (vote, outageVote time.Duration) {
	workerLease, cancelWithin := seconds(p.Deployment.Workers.LeaseSeconds), seconds(p.Deployment.Workers.CancelSeconds)
	if workerLease+lease+voteSlack >= cancelWithin {
		return 0, 0
	}
	vote = lease * 7 / 8
	// The same applies to a cancellation directly after a vote during an outage.
	outageVote = min(outage, cancelWithin-workerLease-voteSlack)
	if outageVote <= vote {
		outageVote = 0
	}
	return vote, outageVote
}

// StalenessBound returns how stale a leader's knowledge of cancellations may be. ok is false if the workers' leases
// are too long for any bound to ensure that the tasks of a cancelled job end in time.
func StalenessBound(p *Platform) (b staleness.Bound, ok bool) {
	w := &p.Deployment.Workers
	return staleness.BoundFor(seconds(w.CancelSeconds), seconds(w.LeaseSeconds))
}

// RoutingSettings returns the settings for routing users' requests. It returns nil if routing is disabled, so that
// each member answers the requests that it receives.
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

// RelaySettings returns the settings for relaying heartbeats through the state service. It returns nil if this
// relay is disabled.
func RelaySettings(p *Platform, o *Operator) *relay.Settings {
	if o.Relay == nil {
		return nil
	}
	// A batch is one write, and so are the responses to it.
	batchesPerSecond := relayWriteShare * max(p.StateLimits().WriteRPS, minWriteRPS)
	return &relay.Settings{
		BatchInterval:    min(max(seconds(1/batchesPerSecond), minBatchInterval), maxBatchInterval),
		MaxQueued:        maxRelayQueue,
		MaxQueuedBytes:   maxRelayQueueBytes,
		MaxInFlight:      maxBatchesInFlight,
		HeartbeatTimeout: relayHeartbeatTimeout,
		RetryAfter:       relayRetryAfter,
	}
}
