package admin

import (
	"github.com/glentiller/glentiller/internal/featuregate"
	"github.com/glentiller/glentiller/internal/route"
)

// MemberStatus is the status of the controller that answers the request. Durations are in seconds.
type MemberStatus struct {
	Member       string `json:"member"`           // name of the controller
	State        string `json:"state"`            // state in the leader election
	Leader       string `json:"leader,omitempty"` // name of the last known leader; "" if none is known
	FencingToken uint64 `json:"token"`            // of this controller's leadership; may be outdated if it does not lead

	// LeaseRemainingSeconds is the remaining time of this controller's leadership as proved by its lease at the state
	// service. It is zero if the controller does not lead, and negative if the lease has expired.
	LeaseRemainingSeconds float64 `json:"lease_s"`
	// LeadershipRemainingSeconds is the remaining time of this controller's leadership as proved by its lease or by votes.
	// It is zero if the controller does not lead, and negative if the leadership has expired.
	LeadershipRemainingSeconds float64 `json:"right_s"`
	// VoteDurationSeconds is for how long a vote is valid. It is zero if votes are turned off.
	VoteDurationSeconds float64 `json:"promise_s"`
	// VoteRemainingSeconds is the remaining validity of each vote for this controller as leader, by the member that cast
	// it.
	VoteRemainingSeconds map[string]float64 `json:"promises_s"`
	// ClaimBlockedSeconds is how long this controller must not claim the leadership, because it has voted for
	// another one or may have done so before its restart.
	ClaimBlockedSeconds float64 `json:"bound_s"`
	// StateServiceUnreachableSeconds is for how long requests to the state service have failed. It is zero if the last
	// request succeeded.
	StateServiceUnreachableSeconds float64 `json:"state_unanswered_s"`

	Connections Connections   `json:"sockets"`
	Load        Load          `json:"load"`
	Requests    *route.Status `json:"requests,omitempty"` // nil if requests are not forwarded to other controllers
	Rollout     *Rollout      `json:"rollout,omitempty"`  // nil if feature levels are not managed or not known yet
}

// Rollout is the status of the feature levels.
type Rollout struct {
	Level     uint32               `json:"level"`    // level in force
	Supported uint32               `json:"knows"`    // highest level that this controller supports
	State     string               `json:"state"`    // name of a featuregate.State
	Reason    string               `json:"why"`      // human-readable reason for State
	Paused    bool                 `json:"held"`     // the settings keep the level from being raised
	Features  []Feature            `json:"features"` // all features that this controller supports
	Members   []featuregate.Member `json:"members"`  // members with an unexpired announcement
}

// Feature is a feature that is enabled by a feature level.
type Feature struct {
	Name    string `json:"feature"`
	Level   uint32 `json:"level"` // lowest level that enables the feature
	InForce bool   `json:"in_force"`
}

// Connections describes how many connections (sockets) a controller has open, and their quotas.
type Connections struct {
	Occupancy string                      `json:"level"` // name of a connquota.Occupancy
	Used      int                         `json:"used"`
	Peak      int                         `json:"peak"`   // highest value of Used since the start of the process
	Capacity  int                         `json:"most"`   // sockets that the process may use
	Classes   map[string]ClassConnections `json:"owners"` // by name of the connquota.Class
}

// ClassConnections describes the connections of one class.
type ClassConnections struct {
	Used     int    `json:"used"`
	Quota    int    `json:"share"`       // upper bound of Used
	Rejected uint64 `json:"turned_away"` // rejected connections since the start of the process
}

// Load describes the load of a controller's event loop.
type Load struct {
	// LongestHoldSeconds is the longest time that one event has taken since the statistics were last logged.
	// LongestHoldWork is the kind of work that took it, for example "election" or "pass".
	LongestHoldSeconds float64 `json:"longest_hold_s"`
	LongestHoldWork    string  `json:"longest_hold_by"`
	QueuedEvents       int     `json:"inbox"` // number of events in the queue
}
