// Package featuregate decides which features are in force in a deployment whose members may run different versions.
//
// Features are grouped into numbered levels, and each member announces the highest level that it supports. The caller
// passes these announcements to Gate.Step. After all members have supported the next level for some time,
// Gate.NextLevel returns the level to which the next claim of the leadership may raise the deployment. The package
// performs no input or output and reads no clock. docs/safety.md, "Levels", explains why no older program can lead
// under a level that it does not support.
package featuregate

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// State is the progress of a deployment towards the next level, as observed by one member.
type State uint8

// The states.
const (
	Blocked     State = iota // some member has announced nothing, or does not support the next level
	Settling                 // all members support the next level, but have not done so for the settle time yet
	MayRaise                 // the next claim of the leadership may raise the level
	InForce                  // the highest level that this program supports is in force
	Unsupported              // the level in force is not supported by this program, which therefore must not lead
)

// String returns the name of the state that logs and status responses show.
func (s State) String() string { return [...]string{"off", "ready", "raise", "on", "behind"}[s] }

// Gate tracks whether a deployment is ready for the next level. It is not safe for concurrent use.
type Gate struct {
	members       []string // sorted names
	settleTime    time.Duration
	state         State
	reason        string
	settlingSince time.Time         // since when all members support the next level without a restart, or zero
	incarnations  map[string]uint64 // the last announced incarnation of each member
}

// NewGate returns the gate of a deployment with the given members. The level may be raised after all members have
// supported the next one for settleTime without a restart, which shows that no rolling update is in progress.
func NewGate(members []string, settleTime time.Duration) *Gate {
	sorted := slices.Clone(members)
	slices.Sort(sorted)
	return &Gate{
		members:      sorted,
		settleTime:   settleTime,
		incarnations: map[string]uint64{},
		reason:       "nothing is known of the members yet",
	}
}

// State returns the state and a human-readable reason for it.
func (g *Gate) State() (state State, reason string) { return g.state, g.reason }

// transition is the only method that changes the state. It reports whether the new state differs from the old one.
func (g *Gate) transition(to State, reason string) bool {
	from := g.state
	g.state, g.reason = to, reason
	return from != to
}

// Step updates the state from the level in force and the latest announcement of each member. The caller leaves out
// expired announcements. Step reports whether the state has changed. It ignores announcements of members that were not
// passed to NewGate, since only configured members may lead.
func (g *Gate) Step(now time.Time, inForce Level, announced map[string]Member) (changed bool) {
	switch {
	case inForce > Supported:
		return g.transition(Unsupported, fmt.Sprintf("level %d is in force, this program knows %d", inForce, Supported))
	case inForce == Supported:
		return g.transition(InForce, fmt.Sprintf("level %d is in force", inForce))
	}
	blocking, restarted := g.compareAnnouncements(inForce, announced)
	switch {
	case len(blocking) > 0:
		g.settlingSince = time.Time{}
		return g.transition(Blocked, strings.Join(blocking, "; "))
	case g.settlingSince.IsZero() || restarted:
		g.settlingSince = now
	}
	if left := g.settleTime - now.Sub(g.settlingSince); left > 0 {
		return g.transition(Settling, fmt.Sprintf(
			"all know level %d; raised when that has stayed so for %v more", inForce+1, left.Round(time.Second)))
	}
	return g.transition(MayRaise, fmt.Sprintf("all have known level %d for %v", inForce+1, g.settleTime))
}

// compareAnnouncements returns the reasons, one for each member concerned, why the level must not be raised above
// inForce. It also reports whether a member has restarted since the last call, and stores the incarnations for the next
// call.
func (g *Gate) compareAnnouncements(inForce Level, announced map[string]Member) (blocking []string, restarted bool) {
	for _, name := range g.members {
		member, ok := announced[name]
		if !ok {
			blocking = append(blocking, name+" is silent")
			continue
		}
		if member.Supported <= inForce {
			blocking = append(blocking, fmt.Sprintf("%s (%s) knows level %d", name, member.Release, member.Supported))
		}
		if g.incarnations[name] != member.Incarnation {
			restarted = true
			g.incarnations[name] = member.Incarnation
		}
	}
	return blocking, restarted
}

// NextLevel returns the level to which the next claim of the leadership may raise the deployment, or zero if the level
// must not be raised. Levels are raised one at a time, so that each one can be held back separately.
func (g *Gate) NextLevel(inForce Level) Level {
	if g.state != MayRaise || inForce >= Supported {
		return 0
	}
	return inForce + 1
}
