package model

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// The list of active attempts of a machine, their count and their usage are updated with each transition. They must
// agree with the states of all attempts on the machine after any sequence of transitions.
func TestActiveAttemptsMatchMachineAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machines := []*Machine{{Attempts: map[AttemptKey]*Attempt{}}, {Attempts: map[AttemptKey]*Attempt{}}}
		var all []*Attempt
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				machine := rapid.SampledFrom(machines).Draw(t, "machine")
				attempt := &Attempt{
					Task:    TaskID{Job: "wk-000001", Index: len(all)},
					Machine: machine,
					Usage:   &Usage{},
					Demand:  Resources{CPU: 1},
				}
				attempt.Transition(rapid.SampledFrom([]AttemptState{AttemptLaunching, AttemptPresent}).Draw(t, "state"))
				machine.Attempts[AttemptKey{Task: attempt.Task}] = attempt
				all = append(all, attempt)
			},
			"change": func(t *rapid.T) {
				if len(all) == 0 {
					t.Skip("no attempt was started")
				}
				attempt := rapid.SampledFrom(all).Draw(t, "attempt")
				if allowed := attemptTransitions[attempt.State]; len(allowed) > 0 {
					attempt.Transition(rapid.SampledFrom(allowed).Draw(t, "state"))
				}
				if attempt.State == AttemptDropped {
					delete(attempt.Machine.Attempts, AttemptKey{Task: attempt.Task})
				}
			},
			"": func(t *rapid.T) {
				for _, machine := range machines {
					activeCount := 0
					for _, attempt := range machine.Attempts {
						if attempt.Active() {
							activeCount++
							if !slices.Contains(machine.ActiveAttempts(), attempt) {
								t.Fatalf("attempt of task %v is active but not in ActiveAttempts", attempt.Task)
							}
						}
					}
					if len(machine.ActiveAttempts()) != activeCount || machine.ActiveCount != activeCount ||
						machine.Used.CPU != float64(activeCount) {
						t.Fatalf("got %d active attempts, ActiveCount %d and %v CPUs used, want %d of each",
							len(machine.ActiveAttempts()), machine.ActiveCount, machine.Used.CPU, activeCount)
					}
				}
			},
		})
	})
}
