package model

import "testing"

func TestUnansweredLaunchesCountEveryCopy(t *testing.T) {
	first := AttemptKey{Task: TaskID{Job: "wk-000001"}, Number: 1}
	second := AttemptKey{Task: TaskID{Job: "wk-000001"}, Number: 2}
	var u UnansweredLaunches
	for _, step := range []struct {
		name      string
		do        func()
		mayArrive bool // a copy of the first attempt's launch
		attempts  int
	}{
		{"nothing sent", func() {}, false, 0},
		{"answer to an unknown launch", func() { u.Remove(first) }, false, 0},
		{"first copy sent", func() { u.Add(first) }, true, 1},
		{"second copy sent", func() { u.Add(first) }, true, 1},
		{"another attempt sent", func() { u.Add(second) }, true, 2},
		{"one copy answered", func() { u.Remove(first) }, true, 2},
		{"both copies answered", func() { u.Remove(first) }, false, 1},
		{"epoch over", func() { u.Clear() }, false, 0},
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
