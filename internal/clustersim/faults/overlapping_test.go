package faults

import "testing"

// Overlapping faults break no invariant. With a mutation they do, so that the checks can fail.
func TestOverlappingFaultsKeepInvariants(t *testing.T) {
	r := RunOverlapping(24, 4, 1, 4, "")
	if !r.Good() || r.LeastServed < 1 || r.LatestLargeStart > 240 || len(r.Overlaps) < 20 {
		t.Errorf("got %+v, want no violation, all jobs started within 240 s, and 20 overlaps at least", r)
	}
	if r := RunOverlapping(24, 24, 1, 4, ShortLeases); r.Violations == 0 {
		t.Error("leaders that take workers' leases for too short: got no violation, want some")
	}
}
