package faults

import "testing"

// Every accepted job stays known and begins, and no rule breaks, through troubles that come together.
func TestTroublesBreakNoRule(t *testing.T) {
	r := Play(40, 3, 7, 2)
	if !r.Good() || r.Least < 1 || r.Begin > 240 || r.DeafOnes == 0 {
		t.Errorf("%+v", r)
	}
}
