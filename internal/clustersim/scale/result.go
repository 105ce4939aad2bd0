package scale

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what a run has measured. All of its machines are hollow.
type Result struct {
	Workers      int      `json:"workers"`
	Hollow       bool     `json:"hollow"`
	Violations   []string `json:"broken_rules"`
	Starts       float64  `json:"starts_per_s"`
	UrgentP99    int64    `json:"urgent_p99_ms"`
	HeartbeatP99 float64  `json:"report_p99_ms"`
	Heartbeats   float64  `json:"reports_per_s"`

	LeaseExpiries      int     `json:"leases_lost"`
	LeaderCores        float64 `json:"leader_cores"` // the mean over the regions
	LeaderMB           float64 `json:"leader_mb"`    // the most of any
	MemberCores        float64 `json:"member_cores"`
	StateRPS           float64 `json:"state_rps"` // of the region with the most
	StateWrites        float64 `json:"state_writes_per_s"`
	WorkerBytes        float64 `json:"worker_bytes_per_s"` // of one worker, both ways, with HTTP's headers and without TCP's
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
	LeaderSockets      int     `json:"leader_sockets"`    // the most of any leader's open files
	MemberMB           float64 `json:"member_mb"`
	MemberSockets      int     `json:"member_sockets"`
	StandInCores       float64 `json:"stand_in_cores"` // of the stand-ins and hollow workers together
	StandInMB          float64 `json:"stand_in_mb"`
	LongestHoldMs      float64 `json:"longest_hold_ms"` // of a leader's loop
	LongestHoldBy      string  `json:"longest_hold_by"`
	SettledS           float64 `json:"settled_s"` // from the controllers' start until every worker was answered
	MachineCores       int     `json:"machine_cores"`
	CompletedWarmUp    bool    `json:"completed_warm_up"` // every worker was answered and nine services of ten ran before the load began

	Users   userCounts      `json:"users"`
	Answers workerCounts    `json:"answers"`
	Traffic map[string]Flow `json:"traffic"` // by kind of message, all regions together
}

// Good tells whether no rule was broken, no controller ended by itself, and something was started.
func (r *Result) Good() bool {
	return len(r.Violations) == 0 && r.EndedProcesses == 0 && r.Users.Starts > 0
}

// baseline are counts at the moment at which measuring begins.
type baseline struct {
	takenAt       time.Time
	logs          map[*controller]int64
	users         userCounts
	workers       workerCounts
	leaseExpiries int
	traffic       map[string]Flow
	writes        map[*region]int
	calls         map[*region]int
}

// quantile reads a histogram in another unit; 0: it holds nothing.
func quantile(h *hdrhistogram.Histogram, q, unit float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(q)) / unit
}

// since takes counts of before off later ones.
func (c userCounts) since(b userCounts) userCounts {
	return userCounts{
		c.Submitted - b.Submitted,
		c.Accepted - b.Accepted,
		c.Done - b.Done,
		c.Cancelled - b.Cancelled,
		c.Refused - b.Refused,
		c.Abandoned - b.Abandoned,
		c.Retries - b.Retries,
		c.Starts - b.Starts,
		c.RequestedStarts - b.RequestedStarts,
	}
}

func (c workerCounts) since(b workerCounts) workerCounts {
	return workerCounts{
		c.Heartbeats - b.Heartbeats,
		c.Redirects - b.Redirects,
		c.Refused - b.Refused,
		c.Failed - b.Failed,
		c.Late - b.Late,
		c.Commands - b.Commands,
		c.CommandsRefused - b.CommandsRefused,
		c.Dials - b.Dials,
	}
}

func trafficSince(now, before map[string]Flow) map[string]Flow {
	out := map[string]Flow{}
	for k, f := range now {
		b := before[k]
		out[k] = Flow{f.Messages - b.Messages, f.BytesIn - b.BytesIn, f.BytesOut - b.BytesOut}
	}
	return out
}
