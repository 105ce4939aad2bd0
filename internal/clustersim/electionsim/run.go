// Package electionsim is an explicit-state model checker for the election: it drives the election's own code through
// every sequence of faults that some settings allow, in steps of a second, and reports a sequence after which two
// members may act at once, or one with an outdated fencing token. Run explores the states breadth first.
package electionsim

import (
	"errors"
	"fmt"
	"time"
)

const second = time.Second

// settleSeconds are played without faults until a member leads and has the others' votes.
const settleSeconds = 12

// The number of members that can be explored.
const (
	minMembers = 2
	maxMembers = 5
)

// Mutation is a part of the protocol that a run leaves out on purpose, to show that the checks can fail.
type Mutation string

// What can be left out.
const (
	NoMutation     Mutation = ""
	ShortVotes     Mutation = "cut-short" // members keep a vote for a third of its time
	ForgottenVotes Mutation = "forgotten" // a vote counts although the voter has restarted without memory and claims
	LateVotes      Mutation = "late"      // votes are counted after the leadership lease has expired

	// MixedIncarnations has a member take messages to its former incarnation, and the leader's key that it held, for its
	// own.
	MixedIncarnations Mutation = "lives"

	// Of feature gates.
	ReadableLevel Mutation = "readable" // programs from before feature gates can read the record of the level
	SeparateRaise Mutation = "beside"   // a level is raised by a transaction of its own while a member leads
)

// Settings say what is explored.
type Settings struct {
	Members         int
	Seconds         int // after a member has come to lead
	MaxFaults       int // in one sequence
	MaxStates       int // more are an error
	Mutation        Mutation
	FeatureGates    bool     // members' programs change, and a level is raised
	InstantRestarts bool     // members restart at any step of an election
	OnlyFaults      []string // of the faults that count, those that are explored; none: all
}

// Result is what was found. The names in JSON are published.
type Result struct {
	States    int    `json:"states"`  // distinct
	Acting    int    `json:"acting"`  // of these, with a member that may act
	ByVotes   int    `json:"by_word"` // of these, with one that may act by votes alone
	Claims    int    `json:"claims"`  // that members made
	Raised    int    `json:"raised"`  // states with a level that was raised
	Violation string `json:"broken,omitempty"`
	Trace     string `json:"course,omitempty"` // the faults that led to the violation
}

// The errors of Run.
var (
	ErrTooManyStates   = errors.New("more states than allowed")
	ErrInvalidSettings = errors.New("two to five members, a second or more")
	ErrNoLeader        = errors.New("no member leads without a fault")
)

// Run explores all sequences of faults, breadth first over distinct states, until one violates an invariant.
func Run(settings Settings) (Result, error) {
	if settings.Members < minMembers || settings.Members > maxMembers || settings.Seconds < 1 || settings.MaxFaults < 0 {
		return Result{}, ErrInvalidSettings
	}
	var result Result
	initial := newState(&settings, &result)
	for range settleSeconds {
		initial.step(fault{})
	}
	if found := initial.check(); !found.acting {
		return result, ErrNoLeader
	}
	e := &explorer{settings: &settings, result: &result, began: initial.now, seen: map[[32]byte]struct{}{}}
	frontier := []*state{initial}
	for sec := 1; sec <= settings.Seconds; sec++ {
		var next []*state
		for _, from := range frontier {
			for _, f := range from.possibleFaults() {
				successor := from.clone()
				successor.step(f)
				isNew, err := e.visit(successor)
				if err != nil {
					return result, fmt.Errorf("%w: in second %d", err, sec)
				}
				if result.Violation != "" {
					return result, nil
				}
				if isNew {
					next = append(next, successor)
				}
			}
		}
		frontier = next
	}
	return result, nil
}

// explorer is what an exploration has seen.
type explorer struct {
	settings *Settings
	result   *Result
	began    time.Time
	seen     map[[32]byte]struct{}
}

// visit checks a state and counts it. It tells whether the state is new.
func (e *explorer) visit(s *state) (isNew bool, err error) {
	found := s.check()
	if found.violation != "" {
		e.result.Violation = fmt.Sprintf("after %d s: %s", s.now.Sub(e.began)/second, found.violation)
		e.result.Trace = s.trace
		return false, nil
	}
	key := s.fingerprint()
	if _, known := e.seen[key]; known {
		return false, nil
	}
	e.seen[key] = struct{}{}
	if e.result.States++; e.result.States > e.settings.MaxStates {
		return false, ErrTooManyStates
	}
	if found.acting {
		e.result.Acting++
	}
	if found.byVotes {
		e.result.ByVotes++
	}
	if s.level > 0 {
		e.result.Raised++
	}
	return true, nil
}
