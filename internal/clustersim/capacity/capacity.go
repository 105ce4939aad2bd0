// Package capacity extrapolates what each role of a deployment needs to other sizes. It fits straight lines, by
// least squares, to the results of scale simulations: Read reads the results, Fit fits one quantity, and Table
// writes the table of docs/CAPACITY.md. It reads no clock and measures nothing.
package capacity

import "github.com/glentiller/glentiller/internal/clustersim/scale"

// Load is what a quantity may grow with.
type Load uint8

// The loads. The first three are of one region.
const (
	Workers Load = iota
	Starts       // of tasks, a second
	Jobs         // a second
	Teams
)

// String returns the unit of the load.
func (l Load) String() string { return [...]string{"worker", "start/s", "job/s", "team"}[l] }

// value returns the load of a run.
func (l Load) value(r *scale.Result) float64 {
	regions := float64(r.Regions)
	switch l {
	case Workers:
		return float64(r.Workers) / regions
	case Starts:
		return r.Starts / regions
	case Jobs:
		return r.JobsPerS / regions
	default:
		return float64(r.Teams)
	}
}

// Size is a deployment for which the lines are evaluated.
type Size struct {
	Name  string
	Loads map[Load]float64
}

// The target size. Jobs a second follow from the starts by an assumed mix of jobs.
const (
	targetWorkers = 21_000
	targetStarts  = 11_000
	targetTeams   = 140
	targetRegions = 5
	startsPerJob  = 120
)

// Sizes returns a region of the mean size, one of twice that, and all regions in one.
func Sizes() []Size {
	return []Size{
		newSize("a mean region", 1.0/targetRegions),
		newSize("twice that", 2.0/targetRegions),
		newSize("all in one", 1),
	}
}

// newSize returns a region with a fraction of the target.
func newSize(name string, fraction float64) Size {
	return Size{
		Name: name,
		Loads: map[Load]float64{
			Workers: fraction * targetWorkers,
			Starts:  fraction * targetStarts,
			Jobs:    fraction * targetStarts / startsPerJob,
			Teams:   targetTeams,
		},
	}
}

// Quantity is something that runs measure.
type Quantity struct {
	Role, Name string
	Loads      []Load // what it grows with
	Measure    func(r *scale.Result) float64
	Digits     int    // after the decimal point, in the table
	Budget     string // what there is of it
	Mechanism  string // what the table says about the design
}
