package ledgersim

import (
	"testing"

	"github.com/glentiller/glentiller/internal/ledger"
)

func TestLedgerMatchesStandInsAfterFaultyDay(t *testing.T) {
	r := Run(1, 3, nil)
	if !r.Good() || r.LedgerCPU == 0 || r.LedgerGPU == 0 {
		t.Fatalf("got %+v, want usage of CPUs and GPUs and a ledger that matches the audit", r)
	}
	if len(r.Teams) != len(teams) {
		t.Fatalf("got %d teams, want %d: %+v", len(r.Teams), len(teams), r)
	}
	for name, fault := range map[string]struct{ got, want int }{
		"failovers":               {r.Failovers, 3},
		"full restarts":           {r.FullRestarts, 1},
		"outages":                 {r.Outages, 1},
		"late transactions":       {r.LateTransactions, 1},
		"unanswered transactions": {r.UnansweredTransactions, 1},
		"clock jumps":             {r.ClockJumps, 1},
		"unaccounted intervals":   {r.UnaccountedIntervals, 1},
	} {
		if fault.got < fault.want {
			t.Errorf("got %d %s, want at least %d, because a day without faults tests nothing", fault.got, name, fault.want)
		}
	}
	// The audit misses a small part of the physical run time: tasks that ran unreported, and usage that was not settled
	// when its leader crashed.
	if r.AuditedCPU >= r.PhysicalCPU || float64(r.AuditedCPU) < 0.97*float64(r.PhysicalCPU) {
		t.Errorf("got %d CPU-us in the audit, want at least 97%% of the %d CPU-us that ran, but less than all",
			r.AuditedCPU, r.PhysicalCPU)
	}
}

// Guards against a comparison that detects no difference: the ledger is above the audit for CPUs and below it for GPUs.
func TestComparisonDetectsDifferences(t *testing.T) {
	s := &simulation{result: &Result{}, audit: &audit{committedByTeam: map[string]ResourceTime{}}}
	s.audit.committedByTeam["red"] = ResourceTime{CPU: 10, GPU: 5}
	s.compareTeam("red", ledger.Usage{CPU: 12, GPU: 1})
	if got := s.result.Overcharged; got != 2 {
		t.Errorf("got %d us overcharged, want 2", got)
	}
	if got := s.result.Undercharged; got != 4 {
		t.Errorf("got %d us undercharged, want 4", got)
	}
	if s.result.Good() {
		t.Errorf("got %+v, want a result for which Good returns false", s.result)
	}
}
