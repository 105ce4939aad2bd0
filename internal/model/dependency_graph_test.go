package model

import (
	"math/rand"
	"strconv"
	"testing"
	"time"
)

// derivedGraph holds jobs with their dependencies and outcomes, from which the
// states in a graph can be derived anew.
type graphOracle struct {
	dependencies [][]string // by job; ids are indices
	outcomes     []Outcome
	added        []bool
}

func newGraphOracle(r *rand.Rand) *graphOracle {
	n := 2 + r.Intn(12)
	d := &graphOracle{dependencies: make([][]string, n), outcomes: make([]Outcome, n)}
	for i := range n {
		for k := range i {
			if r.Intn(3) == 0 {
				d.dependencies[i] = append(d.dependencies[i], strconv.Itoa(k))
			}
		}
	}
	d.added = make([]bool, n)
	return d
}

func (d *graphOracle) expectedState(i int) DependencyState {
	s := DependencySatisfied
	for _, id := range d.dependencies[i] {
		k, _ := strconv.Atoi(id) // ids are made by strconv.Itoa
		switch {
		case d.outcomes[k] == OutcomeCancelled,
			d.outcomes[k] == OutcomeUnknown && d.added[k] && d.expectedState(k) == DependencyFailed:
			return DependencyFailed
		case d.outcomes[k] == OutcomeUnknown:
			s = DependencyWaiting
		}
	}
	return s
}

// step adds a random job to the graph, or ends it.
func (d *graphOracle) step(r *rand.Rand, g *DependencyGraph, at time.Time) {
	i := r.Intn(len(d.added))
	id := strconv.Itoa(i)
	switch {
	case !d.added[i]:
		d.added[i] = true
		g.Add(id, d.dependencies[i], at)
		for _, dependency := range d.dependencies[i] { // outcomes that were known before
			k, _ := strconv.Atoi(dependency)
			g.End(dependency, d.outcomes[k], at)
		}
	case d.outcomes[i] == OutcomeUnknown && r.Intn(4) == 0:
		d.outcomes[i] = OutcomeCancelled
		g.End(id, d.outcomes[i], at)
	case d.outcomes[i] == OutcomeUnknown && d.expectedState(i) == DependencySatisfied:
		d.outcomes[i] = OutcomeDone
		g.End(id, d.outcomes[i], at)
	}
}

// The states in the graph are those that follow from all outcomes, in whatever
// order jobs and outcomes become known.
func TestDependencyGraphMatchesStatesDerivedFromOutcomes(t *testing.T) {
	for seed := range int64(300) {
		r := rand.New(rand.NewSource(seed))
		d := newGraphOracle(r)
		g, at := NewDependencyGraph(), time.Unix(0, 0)
		for range 4 * len(d.added) {
			at = at.Add(time.Second)
			d.step(r, g, at)
			for k := range d.added {
				if !d.added[k] || d.outcomes[k] != OutcomeUnknown {
					continue
				}
				if got, want := g.Node(strconv.Itoa(k)).State, d.expectedState(k); got != want {
					t.Fatalf("seed %d: state of job %d: got %v, want %v", seed, k, got, want)
				}
			}
		}
	}
}
