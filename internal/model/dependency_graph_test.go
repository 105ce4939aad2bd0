package model

import (
	"math/rand"
	"strconv"
	"testing"
	"time"
)

// graphOracle computes the expected states of jobs directly from their dependencies and outcomes. Jobs are numbered,
// and the ID of a job is its decimal index. A job depends only on jobs with lower indices.
type graphOracle struct {
	dependencies [][]string // IDs, by index of the dependent job
	outcomes     []Outcome
	added        []bool
}

func newGraphOracle(r *rand.Rand) *graphOracle {
	jobCount := 2 + r.Intn(12)
	oracle := &graphOracle{dependencies: make([][]string, jobCount), outcomes: make([]Outcome, jobCount)}
	for i := range jobCount {
		for dependency := range i {
			if r.Intn(3) == 0 {
				oracle.dependencies[i] = append(oracle.dependencies[i], strconv.Itoa(dependency))
			}
		}
	}
	oracle.added = make([]bool, jobCount)
	return oracle
}

func (o *graphOracle) expectedState(i int) DependencyState {
	state := DependencySatisfied
	for _, id := range o.dependencies[i] {
		dependency, _ := strconv.Atoi(id) // cannot fail: IDs are made by strconv.Itoa
		switch {
		case o.outcomes[dependency] == OutcomeCancelled,
			o.outcomes[dependency] == OutcomeUnknown && o.added[dependency] &&
				o.expectedState(dependency) == DependencyFailed:
			return DependencyFailed
		case o.outcomes[dependency] == OutcomeUnknown:
			state = DependencyWaiting
		}
	}
	return state
}

// step adds a random job to the graph or, if it was added before, may end it.
func (o *graphOracle) step(r *rand.Rand, g *DependencyGraph, at time.Time) {
	i := r.Intn(len(o.added))
	id := strconv.Itoa(i)
	switch {
	case !o.added[i]:
		o.added[i] = true
		g.Add(id, o.dependencies[i], at)
		for _, dependency := range o.dependencies[i] { // apply outcomes that are known already
			index, _ := strconv.Atoi(dependency)
			g.End(dependency, o.outcomes[index], at)
		}
	case o.outcomes[i] == OutcomeUnknown && r.Intn(4) == 0:
		o.outcomes[i] = OutcomeCancelled
		g.End(id, o.outcomes[i], at)
	case o.outcomes[i] == OutcomeUnknown && o.expectedState(i) == DependencySatisfied:
		o.outcomes[i] = OutcomeDone
		g.End(id, o.outcomes[i], at)
	}
}

// Jobs can be added and their outcomes can become known in any order. The incrementally updated states in the graph
// must be those that follow from all known outcomes.
func TestDependencyGraphMatchesStatesDerivedFromOutcomes(t *testing.T) {
	for seed := range int64(300) {
		r := rand.New(rand.NewSource(seed))
		oracle := newGraphOracle(r)
		graph, at := NewDependencyGraph(), time.Unix(0, 0)
		for range 4 * len(oracle.added) {
			at = at.Add(time.Second)
			oracle.step(r, graph, at)
			for i := range oracle.added {
				if !oracle.added[i] || oracle.outcomes[i] != OutcomeUnknown {
					continue
				}
				if got, want := graph.Node(strconv.Itoa(i)).State, oracle.expectedState(i); got != want {
					t.Fatalf("seed %d: state of job %d: got %v, want %v", seed, i, got, want)
				}
			}
		}
	}
}
