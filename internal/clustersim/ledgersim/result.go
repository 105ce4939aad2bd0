package ledgersim

// Amounts are the ledger and the stand-ins' account, in CPU-, GPU- and GB-microseconds.
type Amounts struct {
	LedgerCPU  uint64 `json:"ledger_cpu_us"`
	RuntimeCPU uint64 `json:"runtime_cpu_us"`
	LedgerGPU  uint64 `json:"ledger_gpu_us"`
	RuntimeGPU uint64 `json:"runtime_gpu_us"`
	LedgerMem  uint64 `json:"ledger_gb_us"`
	RuntimeMem uint64 `json:"runtime_gb_us"`
}

// Team compares one team's ledger with the stand-ins' account.
type Team struct {
	Team string `json:"team"`
	Amounts
	Starts uint64 `json:"starts"`
}

// Result is what a simulation has shown. The names in JSON are published.
type Result struct {
	Days int    `json:"days"`
	Seed uint64 `json:"seed"`
	Amounts
	Teams []Team `json:"teams"`

	Overcharged  uint64 `json:"charged_twice"` // microseconds by which amounts in the ledger are too large
	Undercharged uint64 `json:"lost"`          // and too small

	// PhysicalCPU is the CPU time that tasks ran on the stand-in workers, whether or not a leader saw or settled it.
	PhysicalCPU uint64 `json:"physical_cpu_us"`

	Jobs                   int     `json:"jobs"`
	Tasks                  int     `json:"tasks"`
	Failovers              int     `json:"takeovers"`
	FullRestarts           int     `json:"all_killed"`
	Outages                int     `json:"outages"`
	LateTransactions       int     `json:"late_transactions"`
	UnansweredTransactions int     `json:"unanswered_transactions"`
	ClockJumps             int     `json:"clock_jumps"`
	LeadersWithoutLedger   int     `json:"takeovers_without_ledger"`
	UnaccountedIntervals   int     `json:"stretches_not_accounted"`
	Settlements            int     `json:"settlements"`
	Segments               int     `json:"pages"`
	SegmentsFolded         int     `json:"pages_folded"`
	WriteShare             float64 `json:"share_of_changes_possible"` // the ledger's part of the changes that are allowed
	Violation              string  `json:"broken,omitempty"`          // what else does not hold
}

// Good tells whether the ledger agrees with the account, and all else holds.
func (r *Result) Good() bool { return r.Overcharged == 0 && r.Undercharged == 0 && r.Violation == "" }
