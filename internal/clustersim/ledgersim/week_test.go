package ledgersim

import (
	"testing"

	"github.com/glentiller/glentiller/internal/ledger"
)

func TestTheLedgerAgreesWithTheStandIns(t *testing.T) {
	r := Play(1, 3, nil)
	if !r.Good() || r.LedgerCPU == 0 || r.LedgerGPU == 0 || len(r.Teams) != len(teams) {
		t.Fatalf("%+v", r)
	}
	if r.Takeovers < 3 || r.AllKilled == 0 || r.Outages == 0 || r.Late == 0 || r.Unanswered == 0 || r.ClockJumps == 0 || r.Stretches == 0 {
		t.Errorf("a day without trouble shows nothing: %+v", r)
	}
	// What runs unseen or is not settled when its leader dies is small, and there is some.
	if r.RuntimeCPU >= r.PhysicalCPU || float64(r.RuntimeCPU) < 0.97*float64(r.PhysicalCPU) {
		t.Errorf("accounted %d of %d CPU-us", r.RuntimeCPU, r.PhysicalCPU)
	}
}

// A comparison that cannot fail would show nothing: an account that a settlement misses,
// or has twice, is told apart.
func TestTheComparisonFindsWhatDiffers(t *testing.T) {
	k := &week{res: &Result{}, audit: &audit{total: map[string]Sum{}}}
	k.audit.total["red"] = Sum{CPU: 10, GPU: 5}
	k.team("red", ledger.Usage{CPU: 12, GPU: 1})
	if k.res.ChargedTwice != 2 || k.res.Lost != 4 || k.res.Good() {
		t.Errorf("%+v", k.res)
	}
}
