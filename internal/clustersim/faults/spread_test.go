package faults

import "testing"

// Guards against accepted jobs that are forgotten or never start, and against violated invariants, while faults are
// spread over the run.
func TestFaultsKeepInvariants(t *testing.T) {
	r := Run(40, 3, 7, 2)
	if !r.Good() || r.MinStartedShare < 1 || r.LongestLargeJobWait > 240 || r.DetectedWorkers == 0 {
		t.Errorf("got %+v, want no violation, all jobs started within 240 s, and at least one blocked worker detected", r)
	}
}
