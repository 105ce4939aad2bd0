package capacity

import (
	"slices"

	"github.com/glentiller/glentiller/internal/clustersim/scale"
)

// bytesPerKB defines the decimal kilobyte, which the table uses.
const bytesPerKB = 1000

// workersAndStarts are the loads of the quantities that depend on a region's number of machines and its task starts.
var workersAndStarts = []Load{Workers, Starts}

// Quantities returns the rows of the table in their order, grouped by role.
func Quantities() []Quantity {
	return slices.Concat(leaderQuantities, memberQuantities, stateServiceQuantities, workerQuantities)
}

// leaderQuantities are the resource needs and latencies of a region's leader.
var leaderQuantities = []Quantity{
	{
		Role:      "leader",
		Name:      "processor, cores",
		Loads:     workersAndStarts,
		Decimals:  2,
		Measure:   func(r *scale.Result) float64 { return r.LeaderCores },
		Budget:    "1 core: the program uses one",
		Mechanism: "stands for a region of the mean size; missing for all in one",
	},
	{
		Role:      "leader",
		Name:      "memory, MB",
		Loads:     workersAndStarts,
		Decimals:  0,
		Measure:   func(r *scale.Result) float64 { return r.LeaderMB },
		Budget:    "the control machine's",
		Mechanism: "stands",
	},
	{
		Role:      "leader",
		Name:      "open files",
		Loads:     []Load{Workers},
		Decimals:  0,
		Measure:   func(r *scale.Result) float64 { return float64(r.LeaderOpenFiles) },
		Budget:    "20,000 a process here",
		Mechanism: "stands for a region; members that answer workers: missing",
	},
	{
		Role:      "leader",
		Name:      "longest hold of the loop, ms",
		Loads:     workersAndStarts,
		Decimals:  0,
		Measure:   func(r *scale.Result) float64 { return r.LongestHoldMs },
		Budget:    "250 (urgent work within 1 s)",
		Mechanism: "passes that look at what they weigh: chosen now; an index over machines: missing",
	},
	{
		Role:      "leader",
		Name:      "urgent work, submission to start, p99 ms",
		Loads:     workersAndStarts,
		Decimals:  0,
		Measure:   func(r *scale.Result) float64 { return float64(r.UrgentP99Ms) },
		Budget:    "1,000",
		Mechanism: "as the row before",
	},
}

// memberQuantities are the resource needs of a member that is not the leader.
var memberQuantities = []Quantity{
	{
		Role:      "member",
		Name:      "processor, cores",
		Loads:     workersAndStarts,
		Decimals:  3,
		Measure:   func(r *scale.Result) float64 { return r.MemberCores },
		Budget:    "1 core",
		Mechanism: "stands idle: members that answer workers: missing",
	},
	{
		Role:      "member",
		Name:      "memory, MB",
		Loads:     workersAndStarts,
		Decimals:  0,
		Measure:   func(r *scale.Result) float64 { return r.MemberMB },
		Budget:    "the control machine's",
		Mechanism: "stands",
	},
}

// stateServiceQuantities are the request and write rates of a region at its state service.
var stateServiceQuantities = []Quantity{
	{
		Role:      "state service",
		Name:      "requests/s",
		Loads:     []Load{Jobs},
		Decimals:  0,
		Measure:   func(r *scale.Result) float64 { return r.StateRPS },
		Budget:    "1,000 in the runs",
		Mechanism: "stands",
	},
	{
		Role:      "state service",
		Name:      "changes/s",
		Loads:     []Load{Jobs},
		Decimals:  0,
		Measure:   func(r *scale.Result) float64 { return r.StateWritesPerSecond },
		Budget:    "400 in the runs, of which a leader takes 200",
		Mechanism: "records of finished tasks wait once each: chosen now",
	},
}

// workerQuantities are the message rate and the bandwidth of all workers of a region together.
var workerQuantities = []Quantity{
	{
		Role:      "workers",
		Name:      "reports/s",
		Loads:     workersAndStarts,
		Decimals:  0,
		Measure:   func(r *scale.Result) float64 { return r.HeartbeatsPerSecond },
		Budget:    "",
		Mechanism: "stands",
	},
	{
		Role:      "workers",
		Name:      "bytes/s of all, KB",
		Loads:     workersAndStarts,
		Decimals:  0,
		Measure:   func(r *scale.Result) float64 { return r.WorkerBytesPerSecond * float64(r.Machines) / bytesPerKB },
		Budget:    "9 KB/s for each worker",
		Mechanism: "stands",
	},
}
