package faults

import "testing"

// Every accepted job stays known and starts, and no invariant is broken, through faults that are spread over a run.
func TestFaultsKeepInvariants(t *testing.T) {
	r := Run(40, 3, 7, 2)
	if !r.Good() || r.LeastServed < 1 || r.LatestLargeStart > 240 || r.Detected == 0 {
		t.Errorf("got %+v, want no violation, all jobs started within 240 s, and detections", r)
	}
}
