// Package admin is the operators' interface: JSON over HTTP on a listener of its own,
// off by default, with a bearer token. Reads are answered by any controller from the
// state service's records. docs/operators.md lists the paths.
package admin

import (
	"time"

	"github.com/glentiller/glentiller/internal/featuregate"
	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/route"
)

// The paths.
const (
	LedgerPath     = "/v1/ledger"
	VerifyPath     = "/v1/ledger/verify"
	IntervalsPath  = "/v1/ledger/stretches"
	FairSharesPath = "/v1/shares"
	MemberPath     = "/v1/member"
	JobsPath       = "/v1/jobs/" // and the id, and explainEnd
	explainSuffix  = "/explain"
)

// Amounts are what was used and waited for, in integers.
type Amounts struct {
	CPU       uint64            `json:"cpu_us"`      // CPU-microseconds
	GPU       uint64            `json:"gpu_us"`      // GPU-microseconds
	Mem       uint64            `json:"gb_us"`       // GB-microseconds
	Lost      uint64            `json:"lost_cpu_us"` // of CPU: runs that neither completed nor saved
	Starts    uint64            `json:"starts"`
	TakenOver uint64            `json:"taken_over"` // attempts that a new leader found running
	Wait      map[string]uint64 `json:"wait_ms"`    // task-milliseconds by cause
}

// AmountsOf writes an amount out.
func AmountsOf(u ledger.Usage) Amounts {
	a := Amounts{u.CPU, u.GPU, u.Mem, u.Lost, u.Starts, u.TakenOver, map[string]uint64{}}
	for c, ms := range u.Wait {
		if ms > 0 {
			a.Wait[ledger.WaitCause(c).String()] = ms
		}
	}
	return a
}

// Usage reads an amount back. Causes that this version does not know are left out.
func (a Amounts) Usage() ledger.Usage {
	u := ledger.Usage{CPU: a.CPU, GPU: a.GPU, Mem: a.Mem, Lost: a.Lost, Starts: a.Starts, TakenOver: a.TakenOver}
	for c := range u.Wait {
		u.Wait[c] = a.Wait[ledger.WaitCause(c).String()]
	}
	return u
}

// Entry is what one class of a team used in the time of a page.
type Entry struct {
	Team  string    `json:"team"`
	Class string    `json:"class"`
	Start time.Time `json:"from"` // the beginning of the hour, day or month
	Unit  string    `json:"unit"` // "hour", "day" or "month"
	Amounts
}

// Entries is one page of an answer.
type Entries struct {
	Entries    []Entry `json:"rows"`
	NextCursor string  `json:"next,omitempty"` // the cursor of the next one; empty: this is the last
}

// Interval is a time that no leader accounted for.
type Interval struct {
	Start            time.Time `json:"from"`
	End              time.Time `json:"to"`
	FencingToken     uint64    `json:"token"`
	UnsettledLeaders uint64    `json:"leaders_without_ledger"`
}

// Intervals is one page of an answer.
type Intervals struct {
	Intervals  []Interval `json:"stretches"`
	NextCursor string     `json:"next,omitempty"`
}

// FairShare is a team's standing by fair share.
type FairShare struct {
	Rank          int       `json:"place"`
	Team          string    `json:"team"`
	Weight        float64   `json:"weight"`         // its part of all weights
	DecayedUsage  uint64    `json:"decayed_cpu_us"` // CPU-microseconds by the weights
	UsageFraction float64   `json:"part"`           // its part of all decayed use
	Factor        float64   `json:"factor"`
	Band          int       `json:"band"`
	SettledAt     time.Time `json:"settled_at"`
}

// FairShares tells the standings of all teams.
type FairShares struct {
	Enabled  bool        `json:"orders"` // fair share is on: bands order what goes beyond guarantees
	HalfLife float64     `json:"half_life_s"`
	Teams    []FairShare `json:"teams"`
}

// MemberStatus is where the controller that is asked stands in the election. Times are seconds
// that are left.
type MemberStatus struct {
	Member                 string             `json:"member"`
	State                  string             `json:"state"`
	Leader                 string             `json:"leader,omitempty"`
	FencingToken           uint64             `json:"token"`
	StateLeaseSeconds      float64            `json:"lease_s"`            // of the right that rests on the lease at the state service
	LeadershipSeconds      float64            `json:"right_s"`            // of the right, by the lease or by promises
	VoteSeconds            float64            `json:"promise_s"`          // how long members promise at a time; 0: promises are off
	VotesSeconds           map[string]float64 `json:"promises_s"`         // promised to this leader, by member
	BoundSeconds           float64            `json:"bound_s"`            // in which it claims nothing, for what it has promised
	StateUnansweredSeconds float64            `json:"state_unanswered_s"` // since when the state service has not answered it
	Connections            Connections        `json:"sockets"`
	Load                   Load               `json:"load"`
	Requests               *route.Status      `json:"requests,omitempty"` // how users' requests go round; left out: where they come
	Rollout                *Rollout           `json:"rollout,omitempty"`  // which level is in force; left out: nobody watches over it
}

// Rollout is how the features stand that all members' programs must know.
type Rollout struct {
	Level     uint32               `json:"level"` // in force
	Supported uint32               `json:"knows"` // the highest that the program that is asked knows
	State     string               `json:"state"` // off, ready, raise, on or behind
	Reason    string               `json:"why"`
	Held      bool                 `json:"held"`
	Features  []Feature            `json:"features"`
	Members   []featuregate.Member `json:"members"` // that have told of themselves lately
}

// Feature is one that comes with a level.
type Feature struct {
	Name    string `json:"feature"`
	Level   uint32 `json:"level"`
	InForce bool   `json:"in_force"`
}

// Connections is how a controller's sockets are held.
type Connections struct {
	Occupancy string                      `json:"level"` // roomy, tight or full
	Used      int                         `json:"used"`
	Peak      int                         `json:"peak"` // since its start
	Capacity  int                         `json:"most"`
	Classes   map[string]ClassConnections `json:"owners"`
}

// ClassConnections is what one owner of sockets holds.
type ClassConnections struct {
	Used     int    `json:"used"`
	Quota    int    `json:"share"`
	Rejected uint64 `json:"turned_away"` // since the start
}

// Load is how busy a controller is.
type Load struct {
	LongestHoldSeconds float64 `json:"longest_hold_s"` // of the loop that decides, since the last word in the log
	LongestHoldEvent   string  `json:"longest_hold_by"`
	Inbox              int     `json:"inbox"` // messages that wait for it
}

// Verification is what became of checking one team's pages.
type Verification struct {
	Team            string `json:"team"`
	Segments        int    `json:"pages"`
	VerifiedThrough uint64 `json:"through"` // the last number that holds
	Problem         string `json:"problem,omitempty"`
	NextCursor      string `json:"next,omitempty"` // the next team's cursor
}

// ErrorResponse is the body of every answer that is not 200.
type ErrorResponse struct {
	Error string `json:"error"`
}
