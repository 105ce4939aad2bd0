package faults

import "testing"

// Guards against faults that violate an invariant only in combination. The run with a mutation shows that the checks
// detect violations.
func TestOverlappingFaultsKeepInvariants(t *testing.T) {
	r := RunOverlapping(24, 4, 1, 4, "")
	if !r.Good() || r.MinStartedShare < 1 || r.LongestLargeJobWait > 240 || len(r.Overlaps) < 20 {
		t.Errorf("got %+v, want no violation, all jobs started within 240 s, and at least 20 pairs of overlapping faults", r)
	}
	if r := RunOverlapping(24, 24, 1, 4, ShortLeases); r.Violations == 0 {
		t.Error("leaders that assume too short worker leases: got no violation, want at least one")
	}
}
