// Package model holds the vocabulary of the scheduler: jobs, tasks, attempts,
// machines and teams, with the state machines that they go through. It does no
// input or output and reads no clock.
package model

import (
	"math"
	"strings"
	"time"
)

// Shape says how the tasks of a job belong together.
type Shape uint8

// The shapes of a job.
const (
	Array   Shape = iota + 1 // independent tasks, each runs to completion
	Gang                     // all tasks run at the same time or none does
	Service                  // replicas run until the job is cancelled
)

func (s Shape) String() string {
	switch s {
	case Array:
		return "array"
	case Gang:
		return "gang"
	case Service:
		return "service"
	}
	return "unknown"
}

// Priority is a job's priority; the larger goes first.
type Priority uint8

// The ranks, lowest first.
const (
	PriorityLow Priority = iota + 1
	PriorityNormal
	PriorityHigh
	PriorityProduction
)

func (r Priority) String() string {
	switch r {
	case PriorityLow:
		return "low"
	case PriorityNormal:
		return "normal"
	case PriorityHigh:
		return "high"
	case PriorityProduction:
		return "production"
	}
	return "unknown"
}

// Resources is an amount of what a machine offers and a task takes.
type Resources struct {
	CPU, GPU, MemGB float64
}

// roundingTolerance absorbs the rounding of decimal amounts that are added and removed many
// times. It is far below any amount that a job may ask for.
const roundingTolerance = 1e-6

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.GPU + o.GPU, r.MemGB + o.MemGB}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.GPU - o.GPU, r.MemGB - o.MemGB}
}

// Times returns r taken n times.
func (r Resources) Times(n int) Resources {
	f := float64(n)
	return Resources{r.CPU * f, r.GPU * f, r.MemGB * f}
}

// AtLeastZero returns r with nothing below zero.
func (r Resources) AtLeastZero() Resources {
	return Resources{max(r.CPU, 0), max(r.GPU, 0), max(r.MemGB, 0)}
}

// Fits tells whether r can be taken from free.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU+roundingTolerance && r.GPU <= free.GPU+roundingTolerance && r.MemGB <= free.MemGB+roundingTolerance
}

// FitCount tells how many times r can be taken from free, of which any amount may be infinite.
func (r Resources) FitCount(free Resources) int {
	n := math.MaxInt32
	for _, d := range [3][2]float64{{r.CPU, free.CPU}, {r.GPU, free.GPU}, {r.MemGB, free.MemGB}} {
		if d[0] > roundingTolerance {
			// Compared before it becomes a whole number: what is infinite has none.
			if times := (d[1] + roundingTolerance) / d[0]; times < float64(n) {
				n = int(times)
			}
		}
	}
	return max(n, 0)
}

// Spec is what a user submitted.
type Spec struct {
	ID, Class, Team    string
	Shape              Shape
	Priority           Priority
	Tasks              int
	Demand             Resources // of each task
	MachineTypes       []string  // allowed machine types; empty: any
	Zone               string    // the only allowed zone; empty: any
	SingleZone         bool      // all tasks in the same zone
	Spread             bool      // at most half of the tasks, rounded up, in one zone
	AllowSpot          bool      // may use spot machines
	Image              string
	ImageGB            float64
	EstimatedRunTime   time.Duration // the owner's estimate of a task's run time
	CheckpointInterval time.Duration // progress between checkpoints; 0: never saves
	CheckpointTime     time.Duration // time to save when stopped
	Deadline           time.Duration // from submission; 0: none
	Dependencies       []string      // jobs that have to be done before any task starts
	Rules              string        // where it may run and would like to, in the language of package constraint
}

// ValidJobID tells whether an id has the form that users' ids always have.
func ValidJobID(id string) bool {
	digits, ok := strings.CutPrefix(id, "wk-")
	return ok && len(digits) >= 6 && len(id) <= 40 && strings.Trim(digits, "0123456789") == ""
}

// AllowsType tells whether the job may use machines of the type.
func (s *Spec) AllowsType(name string) bool {
	if len(s.MachineTypes) == 0 {
		return true
	}
	for _, t := range s.MachineTypes {
		if t == name {
			return true
		}
	}
	return false
}

// MaxTasksPerZone is how many tasks of the job may be in one zone.
func (s *Spec) MaxTasksPerZone() int {
	if s.Spread {
		return (s.Tasks + 1) / 2
	}
	return s.Tasks
}

// TotalDemand is what all tasks of the job take together.
func (s *Spec) TotalDemand() Resources { return s.Demand.Times(s.Tasks) }

// MachineType is one entry of the cloud's catalogue.
type MachineType struct {
	Name             string
	Capacity         Resources
	CacheGB          float64
	FetchGBPerS      float64
	PricePerHour     float64 // per hour
	SpotPricePerHour float64
	BootTime         time.Duration
	Zones            []string
}

// OfferedIn tells whether the type is offered in the zone.
func (t *MachineType) OfferedIn(zone string) bool {
	for _, z := range t.Zones {
		if z == zone {
			return true
		}
	}
	return false
}

// CheckFeasibility tells whether a task of the job fits some machine type that the
// job allows, and all that has to run at once the team's limit and the zones; and if not, why.
func CheckFeasibility(s *Spec, team *Team, types []MachineType) (bool, string) {
	if team == nil {
		return false, "unknown team"
	}
	need := s.Demand
	if s.Shape != Array {
		need = s.TotalDemand()
	}
	if !team.Quota.Allows(need) {
		return false, "more than the team's limit"
	}
	if s.Shape != Array && s.Spread && s.Tasks > 1 && (s.SingleZone || s.Zone != "") {
		// Guards against a job that is accepted, and of which a part waits for ever.
		return false, "its tasks are to be spread and in one zone"
	}
	zones := map[string]bool{}
	for i := range types {
		t := &types[i]
		if !s.AllowsType(t.Name) || !s.Demand.Fits(t.Capacity) || s.Zone != "" && !t.OfferedIn(s.Zone) {
			continue
		}
		if s.Shape != Gang || !s.Spread || s.Tasks == 1 {
			return true, ""
		}
		for _, z := range t.Zones {
			if zones[z] = true; len(zones) > 1 {
				return true, ""
			}
		}
	}
	if len(zones) > 0 {
		return false, "a gang that is to be spread fits in one zone only"
	}
	return false, "fits no allowed machine type"
}
