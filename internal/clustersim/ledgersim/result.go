package ledgersim

// Amounts are the usage in the ledger and in the audit, in CPU-, GPU- and GB-microseconds.
type Amounts struct {
	LedgerCPU  uint64 `json:"ledger_cpu_us"`
	RuntimeCPU uint64 `json:"runtime_cpu_us"`
	LedgerGPU  uint64 `json:"ledger_gpu_us"`
	RuntimeGPU uint64 `json:"runtime_gpu_us"`
	LedgerMem  uint64 `json:"ledger_gb_us"`
	RuntimeMem uint64 `json:"runtime_gb_us"`
}

// add adds another team's amounts.
func (a *Amounts) add(other Amounts) {
	a.LedgerCPU += other.LedgerCPU
	a.RuntimeCPU += other.RuntimeCPU
	a.LedgerGPU += other.LedgerGPU
	a.RuntimeGPU += other.RuntimeGPU
	a.LedgerMem += other.LedgerMem
	a.RuntimeMem += other.RuntimeMem
}

// difference returns by how much the ledger is above and below the audit.
func (a *Amounts) difference() (above, below uint64) {
	for _, pair := range [][2]uint64{
		{a.LedgerCPU, a.RuntimeCPU},
		{a.LedgerGPU, a.RuntimeGPU},
		{a.LedgerMem, a.RuntimeMem},
	} {
		recorded, audited := pair[0], pair[1]
		above += max(recorded, audited) - audited
		below += max(recorded, audited) - recorded
	}
	return above, below
}

// Team compares one team's ledger with the audit.
type Team struct {
	Team string `json:"team"`
	Amounts
	Starts uint64 `json:"starts"`
}

// Result is what a simulation found.
type Result struct {
	Days int    `json:"days"`
	Seed uint64 `json:"seed"`
	Amounts
	Teams []Team `json:"teams"`

	Overcharged  uint64 `json:"charged_twice"` // microseconds by which any amount in the ledger is too large
	Undercharged uint64 `json:"lost"`          // and too small

	// PhysicalCPU is the CPU time that tasks ran on the stand-in workers, reported or not, settled or not.
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
	WriteShare             float64 `json:"share_of_changes_possible"` // of the state service's write rate, by the ledger
	Violation              string  `json:"broken,omitempty"`          // any other invariant that does not hold
}

// Good reports whether the ledger agrees with the audit and no other invariant is violated.
func (r *Result) Good() bool { return r.Overcharged == 0 && r.Undercharged == 0 && r.Violation == "" }

// addTeam adds a team's comparison.
func (r *Result) addTeam(team Team) {
	r.Teams = append(r.Teams, team)
	r.Amounts.add(team.Amounts)
	above, below := team.difference()
	r.Overcharged += above
	r.Undercharged += below
}
