// Package featuregate decides which features are in force in a deployment whose
// members may run different versions.
//
// Features are numbered by levels, and members announce which level they support. A
// Gate takes these announcements with Gate.Step; once all members have supported the
// next level for some time, Gate.NextLevel returns the level that the next claim of
// the leadership may raise the deployment to. The package does no input or output and
// reads no clock. docs/safety.md, "Levels", shows why no older program can
// lead under a level that it does not know.
package featuregate

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// State is the progress of a deployment towards the next level, as one member sees it.
type State uint8

// The states.
const (
	Blocked     State = iota // a member announces nothing, or does not support the next level
	Settling                 // all members support it, but not for long enough yet
	MayRaise                 // whoever claims the leadership next may raise the level
	InForce                  // the highest level that this program supports is in force
	Unsupported              // a level is in force that this program does not support: it must not lead
)

// String returns the name of the state.
func (s State) String() string { return [...]string{"off", "ready", "raise", "on", "behind"}[s] }

// Gate follows a deployment on its way to the next level. It is not safe for
// concurrent use.
type Gate struct {
	members       []string // names, sorted
	settleTime    time.Duration
	state         State
	reason        string
	settlingSince time.Time         // when all members first supported the next level; zero: they do not
	incarnations  map[string]uint64 // last announced, by member
}

// NewGate returns the gate of a deployment with these members. A level may be raised
// once all of them have supported it for settleTime without a restart, which shows that
// no rolling update is under way.
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

// State returns the state, and the reason for it for display.
func (g *Gate) State() (state State, reason string) { return g.state, g.reason }

// transition changes the state, and reports whether it was another one. Nothing else
// changes the state.
func (g *Gate) transition(to State, reason string) bool {
	from := g.state
	g.state, g.reason = to, reason
	return from != to
}

// Step takes the level in force and the latest announcements by member, without those
// that have expired. It reports whether the state has changed. Announcements of
// members that are not in the settings do not matter: the settings say who may lead.
func (g *Gate) Step(now time.Time, inForce Level, announced map[string]Member) (changed bool) {
	switch {
	case inForce > Supported:
		return g.transition(Unsupported, fmt.Sprintf("level %d is in force, this program knows %d", inForce, Supported))
	case inForce == Supported:
		return g.transition(InForce, fmt.Sprintf("level %d is in force", inForce))
	}
	blocking, restarted := g.compare(inForce, announced)
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

// compare returns which members keep the level above inForce from being raised and why,
// and whether any member has restarted since the last call. It keeps the incarnations
// for the next one.
func (g *Gate) compare(inForce Level, announced map[string]Member) (blocking []string, restarted bool) {
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

// NextLevel returns the level that the next claim of the leadership may raise the
// deployment to; 0: none. Levels are raised one at a time, so that each can be held
// back by itself.
func (g *Gate) NextLevel(inForce Level) Level {
	if g.state != MayRaise || inForce >= Supported {
		return 0
	}
	return inForce + 1
}
