// Package capacity predicts what each part of a deployment takes at sizes that were not run: it fits straight lines by
// least squares to the results of scale runs, and says how far the runs lie off them. Read reads the results, Table
// writes the fits as a table in Markdown; Fit and Line.At give the numbers.
package capacity

import "github.com/glentiller/glentiller/internal/clustersim/scale"

// Load is something that a quantity may grow with.
type Load uint8

// The loads: workers of a region, task starts a second in it, jobs a second in it, and teams.
const (
	Workers Load = iota
	Starts
	Jobs
	Teams
)

// String is the unit of the load.
func (l Load) String() string { return [...]string{"worker", "start/s", "job/s", "team"}[l] }

// value is the load of a run, in one region.
func (l Load) value(r *scale.Result) float64 {
	regions := float64(r.Regions)
	switch l {
	case Workers:
		return float64(r.Workers) / regions
	case Starts:
		return r.Starts / regions
	case Jobs:
		return r.JobsPerS / regions
	}
	return float64(r.Teams)
}

// Size is a deployment for which the lines are evaluated.
type Size struct {
	Name  string
	Loads map[Load]float64
}

// The target deployment. Jobs a second follow from the starts by an assumed mix of jobs.
const (
	targetWorkers = 21_000
	targetStarts  = 11_000
	targetTeams   = 140
	targetRegions = 5
	startsPerJob  = 120
)

// Sizes are a region of the mean size, one of twice that, and all in one.
func Sizes() []Size {
	size := func(name string, part float64) Size {
		return Size{
			name,
			map[Load]float64{
				Workers: part * targetWorkers,
				Starts:  part * targetStarts,
				Jobs:    part * targetStarts / startsPerJob,
				Teams:   targetTeams,
			},
		}
	}
	return []Size{size("a mean region", 1.0/targetRegions), size("twice that", 2.0/targetRegions), size("all in one", 1)}
}
