package scale

// Result is what a run has measured. All of its machines are hollow. The names in JSON are published.
type Result struct {
	Workers      int      `json:"workers"`
	Hollow       bool     `json:"hollow"`
	Violations   []string `json:"broken_rules"`
	Starts       float64  `json:"starts_per_s"`
	UrgentP99    int64    `json:"urgent_p99_ms"`
	HeartbeatP99 float64  `json:"report_p99_ms"`
	Heartbeats   float64  `json:"reports_per_s"`

	LeaseExpiries      int     `json:"leases_lost"`
	LeaderCores        float64 `json:"leader_cores"` // mean over the regions
	LeaderMB           float64 `json:"leader_mb"`    // of the leader with the most
	MemberCores        float64 `json:"member_cores"`
	StateRPS           float64 `json:"state_rps"` // of the region with the most
	StateWrites        float64 `json:"state_writes_per_s"`
	WorkerBytes        float64 `json:"worker_bytes_per_s"` // of one worker, both ways, HTTP headers included
	Processes          int     `json:"processes"`
	PeakMB             float64 `json:"peak_mb"` // resident, of all processes together
	EndedProcesses     int     `json:"ended_processes"`
	Regions            int     `json:"regions"`
	Zones              int     `json:"zones"`
	Controllers        int     `json:"controllers"`
	Teams              int     `json:"teams"`
	Seed               uint64  `json:"seed"`
	Seconds            float64 `json:"seconds"`
	RequestedStarts    float64 `json:"starts_asked_for_per_s"`
	JobsPerS           float64 `json:"jobs_per_s"`
	Running            int     `json:"running_tasks"` // at the end
	Machines           int     `json:"machines"`      // at the end
	UrgentP50          int64   `json:"urgent_p50_ms"`
	OthersP50          int64   `json:"others_p50_ms"`
	OthersP99          int64   `json:"others_p99_ms"`
	AcceptP99          int64   `json:"accept_p99_ms"`
	HeartbeatP50       float64 `json:"report_p50_ms"`
	LateHeartbeatShare float64 `json:"report_late_share"` // not answered within 4 s
	LeaderSockets      int     `json:"leader_sockets"`    // open files of the leader with the most
	MemberMB           float64 `json:"member_mb"`
	MemberSockets      int     `json:"member_sockets"`
	StandInCores       float64 `json:"stand_in_cores"` // of the stand-ins and hollow workers together
	StandInMB          float64 `json:"stand_in_mb"`
	LongestHoldMs      float64 `json:"longest_hold_ms"` // of a leader's event loop
	LongestHoldBy      string  `json:"longest_hold_by"`
	SettledS           float64 `json:"settled_s"` // from the start of the controllers until every worker was answered
	MachineCores       int     `json:"machine_cores"`
	CompletedWarmUp    bool    `json:"completed_warm_up"` // all workers were answered, and 90% of the services ran, before the load

	Users   userCounts      `json:"users"`
	Answers workerCounts    `json:"answers"`
	Traffic map[string]Flow `json:"traffic"` // by kind of message, all regions together
}

// Good tells whether no invariant was broken, no controller crashed, and tasks were started.
func (r *Result) Good() bool {
	return len(r.Violations) == 0 && r.EndedProcesses == 0 && r.Users.Starts > 0
}
