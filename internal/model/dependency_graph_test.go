package model

import (
	"math/rand"
	"strconv"
	"testing"
	"time"
)

// What the graph says of a job is what follows from all ends, in whatever order jobs
// and ends become known.
func TestDependencyGraphMatchesStatesDerivedFromOutcomes(t *testing.T) {
	for seed := range int64(300) {
		r := rand.New(rand.NewSource(seed))
		n := 2 + r.Intn(12)
		needs := make([][]string, n)
		end := make([]Outcome, n) // what is known in the end
		for i := range n {
			for k := range i {
				if r.Intn(3) == 0 {
					needs[i] = append(needs[i], strconv.Itoa(k))
				}
			}
		}
		added := make([]bool, n)
		state := func(i int) DependencyState { // from scratch
			var of func(i int) DependencyState
			of = func(i int) DependencyState {
				s := DependencySatisfied
				for _, id := range needs[i] {
					k, _ := strconv.Atoi(id)
					switch {
					case end[k] == OutcomeCancelled, end[k] == OutcomeUnknown && added[k] && of(k) == DependencyFailed:
						return DependencyFailed
					case end[k] == OutcomeUnknown:
						s = DependencyWaiting
					}
				}
				return s
			}
			return of(i)
		}
		g, at := NewDependencyGraph(), time.Unix(0, 0)
		for range 4 * n {
			at = at.Add(time.Second)
			i := r.Intn(n)
			id := strconv.Itoa(i)
			switch {
			case !added[i]:
				added[i] = true
				g.Add(id, needs[i], at)
				for _, need := range needs[i] { // ends that were known before
					k, _ := strconv.Atoi(need)
					g.End(need, end[k], at)
				}
			case end[i] == OutcomeUnknown && r.Intn(4) == 0:
				end[i] = OutcomeCancelled
				g.End(id, end[i], at)
			case end[i] == OutcomeUnknown && state(i) == DependencySatisfied:
				end[i] = OutcomeDone
				g.End(id, end[i], at)
			}
			for k := range n {
				if l := g.Node(strconv.Itoa(k)); added[k] && end[k] == OutcomeUnknown && l.State != state(k) {
					t.Fatalf("seed %d: job %d is %v, but follows to be %v", seed, k, l.State, state(k))
				}
			}
		}
	}
}
