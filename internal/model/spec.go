// Package model defines the entities of the scheduler: jobs, tasks, attempts, machines and teams, and the state
// machines of their states.
//
// It performs no input or output and reads no clock. Jobs, machines and attempts belong to the leader's reconciler
// and are not safe for concurrent use. Their states change only through the Transition methods and Job.SetTask, which
// also update all sums and counts that depend on the states.
package model

import (
	"slices"
	"strings"
	"time"
)

// Shape determines how the tasks of a job run in relation to each other.
type Shape uint8

// The shapes of a job.
const (
	Array   Shape = iota + 1 // job array: the tasks are independent, and each runs to completion
	Gang                     // gang scheduling: all tasks run at the same time, or none does
	Service                  // the tasks are replicas that run until the job is cancelled
)

// String returns the shape's name for logs and explanations.
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

// Priority is a job's priority class. Jobs of a higher class are served first.
type Priority uint8

// The priority classes, lowest first.
const (
	PriorityLow Priority = iota + 1
	PriorityNormal
	PriorityHigh
	PriorityProduction // has precedence over the guarantees of all teams
)

// String returns the priority's name for logs and explanations.
func (p Priority) String() string {
	switch p {
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

// Spec is the specification of a job, as submitted by a user.
type Spec struct {
	ID, Class, Team    string
	Shape              Shape
	Priority           Priority
	Tasks              int
	Demand             Resources // of each task
	MachineTypes       []string  // names of the allowed machine types; any type is allowed if empty
	Zone               string    // the only allowed zone; any zone is allowed if ""
	SingleZone         bool      // all tasks must run in the same zone
	Spread             bool      // at most half of the tasks, rounded up, may run in one zone
	AllowSpot          bool      // tasks may run on spot machines
	Image              string
	ImageGB            float64
	EstimatedRunTime   time.Duration // the user's estimate of a task's run time
	CheckpointInterval time.Duration // run time between periodic checkpoints; 0 if tasks save no checkpoints
	CheckpointTime     time.Duration // time to save a checkpoint when a task is stopped
	Deadline           time.Duration // time from submission to the deadline; 0 if there is none
	Dependencies       []string      // IDs of the jobs that must be done before any task starts
	Rules              string        // placement constraints and preferences, in the language of package constraint
}

// The format of job IDs: a prefix followed by decimal digits. The length includes the prefix.
const (
	jobIDPrefix    = "wk-"
	minJobIDDigits = 6
	maxJobIDLength = 40
)

// ValidJobID reports whether id has the format of the IDs of submitted jobs, such as wk-000412.
func ValidJobID(id string) bool {
	digits, ok := strings.CutPrefix(id, jobIDPrefix)
	return ok && len(digits) >= minJobIDDigits && len(id) <= maxJobIDLength && strings.Trim(digits, "0123456789") == ""
}

// AllowsType reports whether the job's list of machine types allows the type with the given name.
func (s *Spec) AllowsType(name string) bool {
	return len(s.MachineTypes) == 0 || slices.Contains(s.MachineTypes, name)
}

// MaxTasksPerZone returns the maximum number of the job's tasks that may run in the same zone.
func (s *Spec) MaxTasksPerZone() int {
	if s.Spread {
		return (s.Tasks + 1) / 2
	}
	return s.Tasks
}

// TotalDemand returns the sum of the demands of all tasks of the job.
func (s *Spec) TotalDemand() Resources { return s.Demand.Times(s.Tasks) }
