package faults

import "testing"

// Every accepted job stays known and begins, and no rule breaks, through troubles that come together.
func TestFaultsKeepInvariants(t *testing.T) {
	r := Run(40, 3, 7, 2)
	if !r.Good() || r.LeastServed < 1 || r.LatestLargeStart > 240 || r.Detected == 0 {
		t.Errorf("%+v", r)
	}
}
