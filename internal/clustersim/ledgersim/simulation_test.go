package ledgersim

import (
	"testing"

	"github.com/glentiller/glentiller/internal/ledger"
)

func TestLedgerMatchesStandInsAfterFaultyDay(t *testing.T) {
	r := Run(1, 3, nil)
	if !r.Good() || r.LedgerCPU == 0 || r.LedgerGPU == 0 || len(r.Teams) != len(teams) {
		t.Fatalf("%+v", r)
	}
	if r.Failovers < 3 || r.FullRestarts == 0 || r.Outages == 0 || r.LateTransactions == 0 || r.UnansweredTransactions == 0 || r.ClockJumps == 0 || r.UnaccountedIntervals == 0 {
		t.Errorf("a day without trouble shows nothing: %+v", r)
	}
	// What runs unseen or is not settled when its leader dies is small, and there is some.
	if r.RuntimeCPU >= r.PhysicalCPU || float64(r.RuntimeCPU) < 0.97*float64(r.PhysicalCPU) {
		t.Errorf("accounted %d of %d CPU-us", r.RuntimeCPU, r.PhysicalCPU)
	}
}

// A comparison that cannot fail would show nothing: an account that a settlement misses,
// or has twice, is told apart.
func TestComparisonDetectsDifferences(t *testing.T) {
	k := &simulation{result: &Result{}, audit: &audit{settledByTeam: map[string]Amount{}}}
	k.audit.settledByTeam["red"] = Amount{CPU: 10, GPU: 5}
	k.compareTeam("red", ledger.Usage{CPU: 12, GPU: 1})
	if k.result.Overcharged != 2 || k.result.Undercharged != 4 || k.result.Good() {
		t.Errorf("%+v", k.result)
	}
}
