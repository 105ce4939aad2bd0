package ledgersim

// Comparison holds the usage in the ledger (the fields Ledger...) and the usage that the audit computed (the fields
// Audited...), in CPU-, GPU- and GB-microseconds. The JSON names are published.
type Comparison struct {
	LedgerCPU  uint64 `json:"ledger_cpu_us"`
	AuditedCPU uint64 `json:"runtime_cpu_us"`
	LedgerGPU  uint64 `json:"ledger_gpu_us"`
	AuditedGPU uint64 `json:"runtime_gpu_us"`
	LedgerMem  uint64 `json:"ledger_gb_us"`
	AuditedMem uint64 `json:"runtime_gb_us"`
}

// add adds the amounts of another comparison to c.
func (c *Comparison) add(other Comparison) {
	c.LedgerCPU += other.LedgerCPU
	c.AuditedCPU += other.AuditedCPU
	c.LedgerGPU += other.LedgerGPU
	c.AuditedGPU += other.AuditedGPU
	c.LedgerMem += other.LedgerMem
	c.AuditedMem += other.AuditedMem
}

// difference returns the sum of the amounts by which the ledger exceeds the audit, and the sum of those by which it
// falls short of the audit, in microseconds.
func (c *Comparison) difference() (above, below uint64) {
	for _, pair := range [][2]uint64{
		{c.LedgerCPU, c.AuditedCPU},
		{c.LedgerGPU, c.AuditedGPU},
		{c.LedgerMem, c.AuditedMem},
	} {
		recorded, audited := pair[0], pair[1]
		above += max(recorded, audited) - audited
		below += max(recorded, audited) - recorded
	}
	return above, below
}

// Team compares the usage of one team in the ledger with the audit.
type Team struct {
	Team string `json:"team"`
	Comparison
	Starts uint64 `json:"starts"` // task starts in the ledger
}

// Result is the outcome of a simulation.
type Result struct {
	Days int    `json:"days"`
	Seed uint64 `json:"seed"`
	Comparison
	Teams []Team `json:"teams"`

	Overcharged  uint64 `json:"charged_twice"` // sum of all excess amounts in the ledger, in microseconds
	Undercharged uint64 `json:"lost"`          // sum of all missing amounts in the ledger, in microseconds

	// PhysicalCPU is the CPU time of all tasks on the simulated workers in CPU-microseconds. It includes run time that
	// no leader accepted a heartbeat for, or that was never settled.
	PhysicalCPU uint64 `json:"physical_cpu_us"`

	Jobs                   int     `json:"jobs"`                      // accepted jobs
	Tasks                  int     `json:"tasks"`                     // tasks of accepted jobs
	Failovers              int     `json:"takeovers"`                 // leaders after the first that accepted heartbeats
	FullRestarts           int     `json:"all_killed"`                // simultaneous crashes of all controllers
	Outages                int     `json:"outages"`                   // outages of the state service
	LateTransactions       int     `json:"late_transactions"`         // transactions that were delayed
	UnansweredTransactions int     `json:"unanswered_transactions"`   // transactions whose answer was lost
	ClockJumps             int     `json:"clock_jumps"`               // changes of wall clocks by up to 9 hours
	LeadersWithoutLedger   int     `json:"takeovers_without_ledger"`  // leaders of a version without a ledger
	UnaccountedIntervals   int     `json:"stretches_not_accounted"`   // intervals that no leader accounted for
	Settlements            int     `json:"settlements"`               // committed settlements
	Segments               int     `json:"pages"`                     // closed segments in the ledger at the end
	SegmentsCompacted      int     `json:"pages_folded"`              // segments that were merged into another one
	WriteShare             float64 `json:"share_of_changes_possible"` // used by the ledger, of the write rate limit
	Violation              string  `json:"broken,omitempty"`          // violation of another invariant; empty if none
}

// Good reports whether the ledger agrees with the audit and no other invariant is violated.
func (r *Result) Good() bool { return r.Overcharged == 0 && r.Undercharged == 0 && r.Violation == "" }

// addTeam adds a team's comparison.
func (r *Result) addTeam(team Team) {
	r.Teams = append(r.Teams, team)
	r.Comparison.add(team.Comparison)
	above, below := team.difference()
	r.Overcharged += above
	r.Undercharged += below
}
