package admin

import (
	"github.com/glentiller/glentiller/internal/featuregate"
	"github.com/glentiller/glentiller/internal/route"
)

// MemberStatus is the status of the controller that is asked. Durations are in seconds.
type MemberStatus struct {
	Member       string `json:"member"`
	State        string `json:"state"` // in the election
	Leader       string `json:"leader,omitempty"`
	FencingToken uint64 `json:"token"`

	// StateLeaseSeconds is what is left of the lease at the state service.
	StateLeaseSeconds float64 `json:"lease_s"`
	// LeadershipSeconds is what is left of the leadership lease, by the state service or
	// by votes.
	LeadershipSeconds float64 `json:"right_s"`
	// VoteSeconds is how long a vote holds; 0: votes are turned off.
	VoteSeconds float64 `json:"promise_s"`
	// VotesSeconds is what is left of the votes for this leader, by member.
	VotesSeconds map[string]float64 `json:"promises_s"`
	// ClaimBlockedSeconds is how long this member must not claim the leadership because of
	// a vote that it has given.
	ClaimBlockedSeconds float64 `json:"bound_s"`
	// StateUnansweredSeconds is for how long the state service has not answered.
	StateUnansweredSeconds float64 `json:"state_unanswered_s"`

	Connections Connections   `json:"sockets"`
	Load        Load          `json:"load"`
	Requests    *route.Status `json:"requests,omitempty"` // nil: requests are not forwarded
	Rollout     *Rollout      `json:"rollout,omitempty"`  // nil: feature levels are not managed
}

// Rollout is the status of the feature levels.
type Rollout struct {
	Level     uint32               `json:"level"` // in force
	Supported uint32               `json:"knows"` // the highest that the controller that is asked supports
	State     string               `json:"state"` // featuregate.State
	Reason    string               `json:"why"`
	Paused    bool                 `json:"held"` // the settings keep the level from being raised
	Features  []Feature            `json:"features"`
	Members   []featuregate.Member `json:"members"` // that have announced themselves lately
}

// Feature is a feature that comes with a level.
type Feature struct {
	Name    string `json:"feature"`
	Level   uint32 `json:"level"`
	InForce bool   `json:"in_force"`
}

// Connections is the status of a controller's sockets.
type Connections struct {
	Occupancy string                      `json:"level"` // connquota.Occupancy
	Used      int                         `json:"used"`
	Peak      int                         `json:"peak"` // of Used since the start
	Capacity  int                         `json:"most"`
	Classes   map[string]ClassConnections `json:"owners"` // by connquota.Class
}

// ClassConnections is the part of Connections about one class.
type ClassConnections struct {
	Used     int    `json:"used"`
	Quota    int    `json:"share"`
	Rejected uint64 `json:"turned_away"` // since the start
}

// Load describes how busy a controller's event loop is.
type Load struct {
	// LongestHoldSeconds is the longest that one event took since the last log line
	// about it, and LongestHoldEvent that event.
	LongestHoldSeconds float64 `json:"longest_hold_s"`
	LongestHoldEvent   string  `json:"longest_hold_by"`
	Inbox              int     `json:"inbox"` // events that wait
}
