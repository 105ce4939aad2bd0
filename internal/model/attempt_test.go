package model

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// The list of active attempts and its sums agree with all attempts of a machine
// after any transitions, in any order.
func TestActiveAttemptsMatchMachineAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machines := []*Machine{{Attempts: map[AttemptKey]*Attempt{}}, {Attempts: map[AttemptKey]*Attempt{}}}
		var all []*Attempt
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				m := rapid.SampledFrom(machines).Draw(t, "machine")
				a := &Attempt{
					Task:    TaskID{Job: "wk-000001", Index: len(all)},
					Machine: m,
					Usage:   &Usage{},
					Demand:  Resources{CPU: 1},
				}
				a.Transition(rapid.SampledFrom([]AttemptState{AttemptLaunching, AttemptPresent}).Draw(t, "state"))
				m.Attempts[AttemptKey{Task: a.Task}] = a
				all = append(all, a)
			},
			"change": func(t *rapid.T) {
				if len(all) == 0 {
					t.Skip("nothing was started")
				}
				a := rapid.SampledFrom(all).Draw(t, "attempt")
				if allowed := attemptTransitions[a.State]; len(allowed) > 0 {
					a.Transition(rapid.SampledFrom(allowed).Draw(t, "state"))
				}
				if a.State == AttemptDropped {
					delete(a.Machine.Attempts, AttemptKey{Task: a.Task})
				}
			},
			"": func(t *rapid.T) {
				for _, m := range machines {
					n := 0
					for _, a := range m.Attempts {
						if a.Active() {
							n++
							if !slices.Contains(m.ActiveAttempts(), a) {
								t.Fatalf("attempt %v is active, but not in ActiveAttempts", a.Task)
							}
						}
					}
					if len(m.ActiveAttempts()) != n || m.ActiveCount != n || m.Used.CPU != float64(n) {
						t.Fatalf("got %d active attempts, a count of %d and %v CPUs used, want %d of each",
							len(m.ActiveAttempts()), m.ActiveCount, m.Used.CPU, n)
					}
				}
			},
		})
	})
}
