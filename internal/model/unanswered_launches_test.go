package model

import "testing"

// Several copies of a launch can be in flight. If the answer to one of them counted for all, the leader would let the
// worker forget the attempt while a delayed copy can still start its task again.
func TestUnansweredLaunchesCountEveryCopy(t *testing.T) {
	first := AttemptKey{Task: TaskID{Job: "wk-000001"}, Number: 1}
	second := AttemptKey{Task: TaskID{Job: "wk-000001"}, Number: 2}
	var u UnansweredLaunches
	for _, step := range []struct {
		name      string
		do        func()
		mayArrive bool // whether a copy of the first attempt's launch may arrive
		attempts  int  // number of attempts with unanswered copies
	}{
		{"nothing sent", func() {}, false, 0},
		{"answer to a launch that was not sent", func() { u.Remove(first) }, false, 0},
		{"first copy sent", func() { u.Add(first) }, true, 1},
		{"second copy sent", func() { u.Add(first) }, true, 1},
		{"another attempt sent", func() { u.Add(second) }, true, 2},
		{"one copy answered", func() { u.Remove(first) }, true, 2},
		{"both copies answered", func() { u.Remove(first) }, false, 1},
		{"epoch ended", func() { u.Clear() }, false, 0},
		{"sent in the next epoch", func() { u.Add(first) }, true, 1},
	} {
		step.do()
		if got := u.MayArrive(first); got != step.mayArrive {
			t.Errorf("%s: MayArrive: got %v, want %v", step.name, got, step.mayArrive)
		}
		if got := u.Len(); got != step.attempts {
			t.Errorf("%s: Len: got %d, want %d", step.name, got, step.attempts)
		}
	}
}
