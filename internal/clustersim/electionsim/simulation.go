// Package electionsim is a model checker for the leader election. It drives the state machines of package election
// against a simulated network and state service in steps of one second. It explores every sequence of events with a
// bounded number of faults, and reports the first sequence after which two members may act as leader at the same time,
// or one may do so with an outdated fencing token or under a wrong feature level.
//
// Run searches breadth first: from each state it simulates every event that is possible in the next second, checks the
// invariants, and continues from the states that it has not visited before. It is deterministic.
package electionsim

import (
	"errors"
	"fmt"
	"time"
)

// Mutation is a deliberate defect in the election protocol. Tests inject mutations to show that the model checker
// detects them.
type Mutation string

// The mutations that concern votes and incarnations.
const (
	NoMutation        Mutation = ""
	ShortVotes        Mutation = "cut-short" // members honor a vote for only a third of its duration
	ForgottenVotes    Mutation = "forgotten" // restarted members claim at once, ignoring votes that they have cast
	LateVotes         Mutation = "late"      // leaders count votes that arrive after their leadership has lapsed
	MixedIncarnations Mutation = "lives"     // members accept messages and the leader's key of an earlier incarnation
)

// The mutations that concern feature levels.
const (
	ReadableLevel Mutation = "readable" // versions that predate feature levels can read the record of a level
	SeparateRaise Mutation = "beside"   // the level is raised in a separate transaction while a member leads
)

// Settings select the event sequences that Run explores.
type Settings struct {
	Members         int         // number of members, from 2 to 5
	Seconds         int         // length of each sequence, from the moment when a leader holds all votes
	MaxFaults       int         // limit on the faults in one sequence
	MaxStates       int         // limit on distinct states; Run returns ErrTooManyStates when it is exceeded
	Mutation        Mutation    // defect to inject
	FeatureGates    bool        // members restart with other versions, and the feature level is raised
	InstantRestarts bool        // members crash at any step of an election and restart at once
	OnlyFaults      []FaultKind // the faults limited by MaxFaults that may happen; empty means all of them
}

// Result is the outcome of an exploration. Its JSON names are published.
type Result struct {
	States                  int    `json:"states"`           // distinct states visited
	StatesWithLeader        int    `json:"acting"`           // of these, states in which a member may act as leader
	StatesWithLeaderByVotes int    `json:"by_word"`          // of these, states in which a member may do so by votes alone
	Claims                  int    `json:"claims"`           // claims sent in all simulated steps
	StatesWithRaisedLevel   int    `json:"raised"`           // states in which the feature level has been raised
	Violation               string `json:"broken,omitempty"` // the violated invariant; empty if all hold
	Trace                   string `json:"course,omitempty"` // the faults that led to the violation
}

// The errors that Run returns.
var (
	ErrInvalidSettings = errors.New("invalid settings: want 2 to 5 members, 1 or more seconds, and 0 or more faults")
	ErrNoLeader        = errors.New("no member was elected although no fault was injected")
	ErrTooManyStates   = errors.New("number of distinct states exceeds the limit")
)

const (
	minMembers = 2
	maxMembers = 5

	// electionSteps is the number of steps in which a member is elected and receives all votes if nothing fails.
	electionSteps = 12
)

// startTime is the simulated time at which the members start.
var startTime = time.Unix(1000, 0)

// Run explores every sequence of events that the settings allow, breadth first over distinct states, and stops at the
// first violation of an invariant. A violation is reported in the Result and is not an error.
func Run(settings Settings) (Result, error) {
	invalidMembers := settings.Members < minMembers || settings.Members > maxMembers
	if invalidMembers || settings.Seconds < 1 || settings.MaxFaults < 0 {
		return Result{}, ErrInvalidSettings
	}
	e := explorer{settings: settings, visited: map[stateKey]struct{}{}}
	start := newCluster(&e.settings, &e.result)
	for range electionSteps {
		start.step(fault{})
	}
	if !start.checkInvariants().hasLeader {
		return e.result, ErrNoLeader
	}
	err := e.explore(start)
	return e.result, err
}

// explorer is the state of one breadth-first search.
type explorer struct {
	settings Settings
	result   Result
	visited  map[stateKey]struct{}
}

// explore visits the states that can follow a given state, second by second.
func (e *explorer) explore(start *cluster) error {
	startedAt := start.now
	frontier := []*cluster{start}
	for second := 1; second <= e.settings.Seconds; second++ {
		var next []*cluster
		for _, current := range frontier {
			for _, f := range current.possibleFaults() {
				successor := current.clone()
				successor.step(f)
				outcome := successor.checkInvariants()
				if outcome.violation != "" {
					elapsed := successor.now.Sub(startedAt) / time.Second
					e.result.Violation = fmt.Sprintf("after %d s: %s", elapsed, outcome.violation)
					e.result.Trace = successor.trace
					return nil
				}
				if !e.visit(successor, outcome) {
					continue
				}
				if e.result.States > e.settings.MaxStates {
					return fmt.Errorf("%w at second %d", ErrTooManyStates, second)
				}
				next = append(next, successor)
			}
		}
		frontier = next
	}
	return nil
}

// visit counts a state. It returns false if the state was visited before.
func (e *explorer) visit(c *cluster, outcome checkOutcome) bool {
	key := c.fingerprint()
	if _, visited := e.visited[key]; visited {
		return false
	}
	e.visited[key] = struct{}{}
	e.result.States++
	if e.result.States > e.settings.MaxStates {
		return true
	}
	if outcome.hasLeader {
		e.result.StatesWithLeader++
	}
	if outcome.hasLeaderByVotes {
		e.result.StatesWithLeaderByVotes++
	}
	if c.stateService.level > 0 {
		e.result.StatesWithRaisedLevel++
	}
	return true
}
