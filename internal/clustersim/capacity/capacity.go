// Package capacity extrapolates the resource needs of each role of a deployment (leader, member, state service,
// workers) to deployment sizes that were not simulated. It fits a linear function of the load, by least squares, to
// the results of scale simulations. Read loads the results, Fit fits one quantity, and Table renders the table of
// docs/CAPACITY.md. The package is deterministic: it takes no measurements and does not read the clock.
package capacity

import "github.com/glentiller/glentiller/internal/clustersim/scale"

// Load is one dimension of the load on a deployment. The fits use loads as independent variables.
type Load uint8

// The dimensions of the load. Workers, Starts and Jobs are counted per region; Teams is the number of teams, which is
// the same in every region.
const (
	Workers Load = iota
	Starts       // task starts per second
	Jobs         // submitted jobs per second
	Teams
)

// String returns the unit of the load, in the singular.
func (l Load) String() string { return [...]string{"worker", "start/s", "job/s", "team"}[l] }

// value returns the load that a run was under, per region except for Teams.
func (l Load) value(r *scale.Result) float64 {
	regions := float64(r.Regions)
	switch l {
	case Workers:
		return float64(r.Workers) / regions
	case Starts:
		return r.StartsPerSecond / regions
	case Jobs:
		return r.JobsPerSecond / regions
	default:
		return float64(r.Teams)
	}
}

// Size is a deployment size at which the fitted lines are evaluated.
type Size struct {
	Name  string
	Loads map[Load]float64
}

// The target size, over all regions. The job rate is derived from the start rate under an assumed job mix, in which a
// job starts 120 tasks on average.
const (
	targetWorkers         = 21_000
	targetStartsPerSecond = 11_000
	targetTeams           = 140
	targetRegions         = 5
	startsPerJob          = 120
)

// Sizes returns the deployment sizes of the table: one of the target's regions, assuming that all have the same size,
// a region of twice that size, and a single region that takes the whole target.
func Sizes() []Size {
	return []Size{
		newSize("a mean region", 1.0/targetRegions),
		newSize("twice that", 2.0/targetRegions),
		newSize("all in one", 1),
	}
}

// newSize returns a region that takes the given fraction of the target load. The number of teams is not scaled.
func newSize(name string, fraction float64) Size {
	return Size{
		Name: name,
		Loads: map[Load]float64{
			Workers: fraction * targetWorkers,
			Starts:  fraction * targetStartsPerSecond,
			Jobs:    fraction * targetStartsPerSecond / startsPerJob,
			Teams:   targetTeams,
		},
	}
}

// Quantity is a measured quantity that is fitted as a linear function of its loads. It is one row of the table.
type Quantity struct {
	Role, Name string
	Loads      []Load                        // the loads that the quantity depends on
	Measure    func(r *scale.Result) float64 // returns the measured value of a run
	Decimals   int                           // decimal places of the extrapolated values in the table
	Budget     string                        // the available amount, as text of the table
	Mechanism  string                        // whether the present design suffices, as text of the table
}
