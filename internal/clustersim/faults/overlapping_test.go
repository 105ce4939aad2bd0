package faults

import "testing"

// Troubles that meet break no rule; a part that is left out does, so that the checks can fail.
func TestOverlappingFaultsKeepInvariants(t *testing.T) {
	r := RunOverlapping(24, 4, 1, 4, "")
	if !r.Good() || r.LeastServed < 1 || r.LatestLargeStart > 240 || len(r.Overlaps) < 20 {
		t.Errorf("%+v", r)
	}
	if r := RunOverlapping(24, 24, 1, 4, ShortLeases); r.Violations == 0 {
		t.Error("nothing is broken where leaders are wrong about workers' leases")
	}
}
