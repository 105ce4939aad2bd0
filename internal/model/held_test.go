package model

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// The index of held attempts is what the rows say, whatever becomes of them in whatever order.
func TestHeldAttemptsAreThoseOfTheRowsThatHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machines := []*Machine{{Rows: map[AttemptKey]*Attempt{}}, {Rows: map[AttemptKey]*Attempt{}}}
		var all []*Attempt
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				m := rapid.SampledFrom(machines).Draw(t, "machine")
				a := &Attempt{Task: TaskID{Job: "wk-000001", Index: len(all)}, Machine: m, Use: &Usage{}, Need: Resources{CPU: 1}}
				a.Set(rapid.SampledFrom([]AttemptState{Launching, Present}).Draw(t, "state"))
				m.Rows[AttemptKey{Task: a.Task}] = a
				all = append(all, a)
			},
			"change": func(t *rapid.T) {
				if len(all) == 0 {
					t.Skip("nothing was started")
				}
				a := rapid.SampledFrom(all).Draw(t, "attempt")
				if moves := attemptMoves[a.State]; len(moves) > 0 {
					a.Set(rapid.SampledFrom(moves).Draw(t, "state"))
				}
				if a.State == Dropped {
					delete(a.Machine.Rows, AttemptKey{Task: a.Task})
				}
			},
			"": func(t *rapid.T) {
				for _, m := range machines {
					n := 0
					for _, a := range m.Rows {
						if a.Holds() {
							n++
							if !slices.Contains(m.Held(), a) {
								t.Fatalf("%v is held and not listed", a.Task)
							}
						}
					}
					if len(m.Held()) != n || m.Holding != n || m.Used.CPU != float64(n) {
						t.Fatalf("%d are listed, %d counted, %v used by %d", len(m.Held()), m.Holding, m.Used, n)
					}
				}
			},
		})
	})
}
