package faults

import "testing"

// Troubles that meet break no rule; a part that is left out does, so that the checks can fail.
func TestMeetings(t *testing.T) {
	r := Meet(24, 4, 1, 4, "")
	if !r.Good() || r.Least < 1 || r.Begin > 240 || len(r.Met) < 20 {
		t.Errorf("%+v", r)
	}
	if r := Meet(24, 24, 1, 4, Leases); r.Broken == 0 {
		t.Error("nothing is broken where leaders are wrong about workers' leases")
	}
}
