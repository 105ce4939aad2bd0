package ledgersim

import (
	"testing"

	"github.com/glentiller/glentiller/internal/ledger"
)

func TestLedgerMatchesStandInsAfterFaultyDay(t *testing.T) {
	r := Run(1, 3, nil)
	if !r.Good() || r.LedgerCPU == 0 || r.LedgerGPU == 0 || len(r.Teams) != len(teams) {
		t.Fatalf("got %+v, want equal amounts that are not zero for %d teams", r, len(teams))
	}
	for what, count := range map[string]int{
		"full restarts":           r.FullRestarts,
		"outages":                 r.Outages,
		"late transactions":       r.LateTransactions,
		"unanswered transactions": r.UnansweredTransactions,
		"clock jumps":             r.ClockJumps,
		"unaccounted intervals":   r.UnaccountedIntervals,
	} {
		if count == 0 {
			t.Errorf("%s: got none, without which the day shows nothing: %+v", what, r)
		}
	}
	if r.Failovers < 3 {
		t.Errorf("failovers: got %d, want 3 at least", r.Failovers)
	}
	// What runs unseen, or is not settled when its leader crashes, is little, but not nothing.
	if r.RuntimeCPU >= r.PhysicalCPU || float64(r.RuntimeCPU) < 0.97*float64(r.PhysicalCPU) {
		t.Errorf("accounted CPU-us: got %d, want between 97%% and 100%% of %d", r.RuntimeCPU, r.PhysicalCPU)
	}
}

// The comparison has to find an amount that the ledger lacks, and one that it has twice.
func TestComparisonDetectsDifferences(t *testing.T) {
	s := &simulation{result: &Result{}, audit: &audit{settledByTeam: map[string]Amount{}}}
	s.audit.settledByTeam["red"] = Amount{CPU: 10, GPU: 5}
	s.compareTeam("red", ledger.Usage{CPU: 12, GPU: 1})
	if s.result.Overcharged != 2 || s.result.Undercharged != 4 || s.result.Good() {
		t.Errorf("got %+v, want 2 overcharged, 4 undercharged, and not good", s.result)
	}
}
