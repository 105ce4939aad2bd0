// Package electionsim is a model checker of the election. It drives the state machines of package election
// against a simulated network and state service, one second a step, through every course of events that a
// bounded number of faults allows, and reports the first course on which two members may act at once, or one
// with an outdated fencing token.
//
// Run explores breadth first: in each state it simulates every fault that is possible in the next second, checks
// the invariants, and goes on from the states that it has not seen before. It draws nothing at random.
package electionsim

import (
	"errors"
	"fmt"
	"time"
)

// Mutation leaves a part of the protocol out, to show that the simulation detects it.
type Mutation string

// The mutations of votes and incarnations.
const (
	NoMutation        Mutation = ""
	ShortVotes        Mutation = "cut-short" // members keep a vote for a third of its duration
	ForgottenVotes    Mutation = "forgotten" // members that restart without memory claim at once, against votes they cast
	LateVotes         Mutation = "late"      // votes are counted after the leadership lease has expired
	MixedIncarnations Mutation = "lives"     // a member accepts messages and the leader's key of its former incarnation
)

// The mutations of feature levels.
const (
	ReadableLevel Mutation = "readable" // programs without feature levels can read the record of the level
	SeparateRaise Mutation = "beside"   // a level is raised by a transaction of its own while a member leads
)

// Settings select what is explored.
type Settings struct {
	Members         int
	Seconds         int // explored, from when a leader holds all votes
	MaxFaults       int // in one course
	MaxStates       int // ErrTooManyStates beyond
	Mutation        Mutation
	FeatureGates    bool        // members' programs change, and the feature level is raised
	InstantRestarts bool        // members crash at any step of an election and restart at once
	OnlyFaults      []FaultKind // of those that MaxFaults limits; empty: all
}

// Result is what an exploration found.
type Result struct {
	States    int    `json:"states"`           // distinct ones
	Acting    int    `json:"acting"`           // of these, with a member that may act
	ByVotes   int    `json:"by_word"`          // of these, with one that may by votes alone
	Claims    int    `json:"claims"`           // made on the way
	Raised    int    `json:"raised"`           // states in which the feature level was raised
	Violation string `json:"broken,omitempty"` // the invariant that does not hold
	Trace     string `json:"course,omitempty"` // the faults that led there
}

// Errors of Run.
var (
	ErrInvalidSettings = errors.New("two to five members, a second or more")
	ErrNoLeader        = errors.New("no member leads although there was no fault")
	ErrTooManyStates   = errors.New("more states than allowed")
)

const (
	minMembers = 2
	maxMembers = 5

	// electionSteps are enough for a member to be elected and to receive all votes when nothing fails.
	electionSteps = 12
)

var startTime = time.Unix(1000, 0)

// Run explores every course of events, breadth first over distinct states, until one violates an invariant.
// A violation is no error: Result reports it.
func Run(settings Settings) (Result, error) {
	invalidMembers := settings.Members < minMembers || settings.Members > maxMembers
	if invalidMembers || settings.Seconds < 1 || settings.MaxFaults < 0 {
		return Result{}, ErrInvalidSettings
	}
	e := explorer{settings: settings, seen: map[stateKey]struct{}{}}
	start := newCluster(&e.settings, &e.result)
	for range electionSteps {
		start.step(fault{})
	}
	if !start.check().acting {
		return e.result, ErrNoLeader
	}
	err := e.explore(start)
	return e.result, err
}

// explorer visits the states of a cluster.
type explorer struct {
	settings Settings
	result   Result
	seen     map[stateKey]struct{}
}

// explore visits what can follow a state, second by second.
func (e *explorer) explore(start *cluster) error {
	begun := start.now
	frontier := []*cluster{start}
	for second := 1; second <= e.settings.Seconds; second++ {
		var next []*cluster
		for _, from := range frontier {
			for _, f := range from.possibleFaults() {
				successor := from.clone()
				successor.step(f)
				outcome := successor.check()
				if outcome.violation != "" {
					elapsed := successor.now.Sub(begun) / time.Second
					e.result.Violation = fmt.Sprintf("after %d s: %s", elapsed, outcome.violation)
					e.result.Trace = successor.trace
					return nil
				}
				if !e.visit(successor, outcome) {
					continue
				}
				if e.result.States > e.settings.MaxStates {
					return fmt.Errorf("%w: in second %d", ErrTooManyStates, second)
				}
				next = append(next, successor)
			}
		}
		frontier = next
	}
	return nil
}

// visit counts a state, and returns false if it is known already.
func (e *explorer) visit(c *cluster, outcome checkOutcome) bool {
	key := c.fingerprint()
	if _, known := e.seen[key]; known {
		return false
	}
	e.seen[key] = struct{}{}
	e.result.States++
	if e.result.States > e.settings.MaxStates {
		return true
	}
	if outcome.acting {
		e.result.Acting++
	}
	if outcome.byVotes {
		e.result.ByVotes++
	}
	if c.state.level > 0 {
		e.result.Raised++
	}
	return true
}
