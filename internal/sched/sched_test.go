package sched

import (
	"math"
	"testing"
)

// A fuller machine does more work per power, up to 1 when it is full.
func TestEfficiencyGrowsWithTheBusyShare(t *testing.T) {
	last := Efficiency(0, 0.7)
	if last != 0 {
		t.Fatalf("an idle machine does no work: got %v", last)
	}
	for _, u := range []float64{0.1, 0.25, 0.5, 0.75, 1} {
		e := Efficiency(u, 0.7)
		if want := u / (0.7 + 0.3*u); math.Abs(e-want) > 1e-12 || e <= last {
			t.Fatalf("u=%v: got %v, want %v and more than %v", u, e, want, last)
		}
		last = e
	}
}
