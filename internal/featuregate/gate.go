// Package featuregate decides which features are in force for a deployment whose members may run
// different programs. It is pure: what is known of the members goes in with the time, a state and
// its evidence come out. Why no older program can act under a level that it does not know is in
// docs/safety.md, "Levels".
package featuregate

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Level numbers what the members of a deployment do alike. A feature is in force from its level
// on; 0 is what programs without levels do.
type Level uint32

// Supported is the highest level that this program knows.
const Supported Level = 1

// Constraints: submissions may carry rules (docs/constraints.md). A leader without them would
// place such a job anywhere.
const Constraints Level = 1

// Features lists what the levels bring, for people.
var Features = map[Level]string{Constraints: "constraints"}

// Member is what a member tells of itself.
type Member struct {
	Name        string `json:"member"`
	Release     string `json:"release"`
	Supported   Level  `json:"can"`  // the highest level that its program knows
	Incarnation uint64 `json:"life"` // drawn at its start: tells one life of the process from the next
}

// State is where a deployment stands on its way to the next level, as one member sees it.
type State uint8

// The states.
const (
	Blocked     State = iota // some listed member is silent, or its program does not know the next level
	Settling                 // all know it; it is waited whether that stays so
	MayRaise                 // whoever claims the leadership next may raise the level
	InForce                  // the highest level that this program knows is in force
	Unsupported              // a level is in force that this program does not know: it must not lead
)

func (s State) String() string { return [...]string{"off", "ready", "raise", "on", "behind"}[s] }

// Gate watches over the way to the next level.
type Gate struct {
	members       []string
	settleTime    time.Duration
	state         State
	reason        string
	settlingSince time.Time // from when on all listed members have known the next level, in these lives
	incarnations  map[string]uint64
}

// NewGate makes the gate of a deployment with these members, of which all must have known a level
// for a time before it is raised: no roll is going on then.
func NewGate(listed []string, steady time.Duration) *Gate {
	l := slices.Clone(listed)
	slices.Sort(l)
	return &Gate{members: l, settleTime: steady, incarnations: map[string]uint64{}, reason: "nothing is known of the members yet"}
}

// State tells where the deployment stands, and the evidence in words.
func (g *Gate) State() (State, string) { return g.state, g.reason }

// transition changes the state; it is the only place that does. It tells whether it is another one.
func (g *Gate) transition(s State, why string) bool {
	other := g.state != s
	g.state, g.reason = s, why
	return other
}

// Step takes what is known: the level in force, and of each member what it told last, if it still
// stands by it. It tells whether the state has changed. A member that is not listed is not asked:
// the settings say who may lead.
func (g *Gate) Step(now time.Time, inForce Level, known map[string]Member) bool {
	switch {
	case inForce > Supported:
		return g.transition(Unsupported, fmt.Sprintf("level %d is in force, this program knows %d", inForce, Supported))
	case inForce == Supported:
		return g.transition(InForce, fmt.Sprintf("level %d is in force", inForce))
	}
	var missing []string
	same := true
	for _, name := range g.members {
		m, ok := known[name]
		switch {
		case !ok:
			missing = append(missing, name+" is silent")
		case m.Supported <= inForce:
			missing = append(missing, fmt.Sprintf("%s (%s) knows level %d", name, m.Release, m.Supported))
		}
		same = same && ok && g.incarnations[name] == m.Incarnation
		if ok {
			g.incarnations[name] = m.Incarnation
		}
	}
	switch {
	case len(missing) > 0:
		g.settlingSince = time.Time{}
		return g.transition(Blocked, strings.Join(missing, "; "))
	case g.settlingSince.IsZero() || !same:
		g.settlingSince = now
	}
	if left := g.settleTime - now.Sub(g.settlingSince); left > 0 {
		return g.transition(Settling, fmt.Sprintf("all know level %d; raised when that has stayed so for %v more", inForce+1, left.Round(time.Second)))
	}
	return g.transition(MayRaise, fmt.Sprintf("all have known level %d for %v", inForce+1, g.settleTime))
}

// NextLevel is the level that the next claim may raise to; 0: none. One level at a time: each is in
// force, and can be held back, by itself.
func (g *Gate) NextLevel(inForce Level) Level {
	if g.state != MayRaise || inForce >= Supported {
		return 0
	}
	return inForce + 1
}
