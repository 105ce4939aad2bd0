package scale

// Result holds the measurements of a run, all of which are taken with hollow workers. Latencies are percentiles: P50
// is the median. Rates are per second, and MB fields hold resident memory in units of 2^20 bytes. The JSON names are
// published and must not change.
type Result struct {
	Workers             int      `json:"workers"`
	Hollow              bool     `json:"hollow"`       // always true
	Violations          []string `json:"broken_rules"` // violated invariants, each one once
	StartsPerSecond     float64  `json:"starts_per_s"`
	UrgentP99Ms         int64    `json:"urgent_p99_ms"` // from submission to launch of urgent tasks
	HeartbeatP99Ms      float64  `json:"report_p99_ms"` // round trip of answered heartbeats
	HeartbeatsPerSecond float64  `json:"reports_per_s"` // answered heartbeats

	LeaseExpiries            int     `json:"leases_lost"`  // expired worker leases
	LeaderCores              float64 `json:"leader_cores"` // CPU use of a leader, mean over the regions
	LeaderMB                 float64 `json:"leader_mb"`    // peak of the leader with the most
	MemberCores              float64 `json:"member_cores"` // CPU use of a controller that does not lead, mean over all
	StateRPS                 float64 `json:"state_rps"`    // requests to the state service, of the region with the most
	StateWritesPerSecond     float64 `json:"state_writes_per_s"`
	WorkerBytesPerSecond     float64 `json:"worker_bytes_per_s"` // of one worker, both ways, with HTTP headers of heartbeats
	Processes                int     `json:"processes"`          // this process and the controllers
	PeakMB                   float64 `json:"peak_mb"`            // peak of all processes together
	CrashedControllers       int     `json:"ended_processes"`    // controllers that crashed by themselves
	Regions                  int     `json:"regions"`
	Zones                    int     `json:"zones"`
	Controllers              int     `json:"controllers"`
	Teams                    int     `json:"teams"`
	Seed                     uint64  `json:"seed"`
	Seconds                  float64 `json:"seconds"`                // actual duration of the measurement
	RequestedStartsPerSecond float64 `json:"starts_asked_for_per_s"` // tasks of the submitted arrays and gangs
	JobsPerSecond            float64 `json:"jobs_per_s"`             // submitted jobs
	RunningTasks             int     `json:"running_tasks"`          // tasks on machines at the end
	Machines                 int     `json:"machines"`               // machines that are up at the end
	UrgentP50Ms              int64   `json:"urgent_p50_ms"`
	OthersP50Ms              int64   `json:"others_p50_ms"` // from submission to the first launch of other jobs
	OthersP99Ms              int64   `json:"others_p99_ms"`
	AcceptP99Ms              int64   `json:"accept_p99_ms"` // from the first submission of a job until it is accepted
	HeartbeatP50Ms           float64 `json:"report_p50_ms"`
	LateHeartbeatShare       float64 `json:"report_late_share"` // share of heartbeats that were not answered within 4 s
	LeaderOpenFiles          int     `json:"leader_sockets"`    // open files, peak of the leader with the most
	MemberMB                 float64 `json:"member_mb"`         // peak of the other controller with the most
	MemberOpenFiles          int     `json:"member_sockets"`    // open files, peak of the other controller with the most
	StandInCores             float64 `json:"stand_in_cores"`    // CPU use of this process, which has all stand-ins
	StandInMB                float64 `json:"stand_in_mb"`       // peak of this process
	LongestHoldMs            float64 `json:"longest_hold_ms"`   // longest time for which a controller's event loop was held
	LongestHoldBy            string  `json:"longest_hold_by"`   // the work that held it
	WorkersAnsweredSeconds   float64 `json:"settled_s"`         // time from the start until all workers were answered
	MachineCores             int     `json:"machine_cores"`     // CPU cores of the machine that ran the simulation
	CompletedWarmUp          bool    `json:"completed_warm_up"` // all workers answered and 90% of services up in time

	Users   userCounts               `json:"users"`
	Answers workerCounts             `json:"answers"`
	Traffic map[string]TrafficCounts `json:"traffic"` // by kind of message, summed over all regions
}

// Passed reports whether the run has passed: no invariant was violated, no controller crashed by itself, and at least
// one task was started.
func (r *Result) Passed() bool {
	return len(r.Violations) == 0 && r.CrashedControllers == 0 && r.Users.Starts > 0
}
