// Package model holds the vocabulary of the scheduler: jobs, tasks, attempts,
// machines and teams, with the state machines that they go through.
//
// It does no input or output and reads no clock. Jobs, machines and attempts
// belong to the leader's reconciler, which uses them from one goroutine at a time.
// Their states change only through the Transition methods and Job.SetTask, which
// keep all sums that depend on a state up to date.
package model

import (
	"slices"
	"strings"
	"time"
)

// Shape says how the tasks of a job belong together.
type Shape uint8

// The shapes of a job.
const (
	Array   Shape = iota + 1 // independent tasks, each runs to completion
	Gang                     // all tasks run at the same time, or none does
	Service                  // replicas run until the job is cancelled
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

// Priority is a job's priority class; the larger goes first.
type Priority uint8

// The priority classes, lowest first.
const (
	PriorityLow Priority = iota + 1
	PriorityNormal
	PriorityHigh
	PriorityProduction
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

// Spec is what a user submitted.
type Spec struct {
	ID, Class, Team    string
	Shape              Shape
	Priority           Priority
	Tasks              int
	Demand             Resources // of each task
	MachineTypes       []string  // the allowed machine types; empty: any
	Zone               string    // the only allowed zone; empty: any
	SingleZone         bool      // all tasks run in the same zone
	Spread             bool      // at most half of the tasks, rounded up, run in one zone
	AllowSpot          bool      // may use spot machines
	Image              string
	ImageGB            float64
	EstimatedRunTime   time.Duration // the owner's estimate of a task's run time
	CheckpointInterval time.Duration // of run time between checkpoints; 0: tasks save no checkpoints
	CheckpointTime     time.Duration // to save a checkpoint when stopped
	Deadline           time.Duration // from submission; 0: none
	Dependencies       []string      // ids of jobs that must be done before any task starts
	Rules              string        // constraints and preferences, in the language of package constraint
}

const (
	jobIDPrefix    = "wk-"
	minJobIDDigits = 6
	maxJobIDLength = 40
)

// ValidJobID reports whether an id has the form that all ids of users have.
func ValidJobID(id string) bool {
	digits, ok := strings.CutPrefix(id, jobIDPrefix)
	return ok && len(digits) >= minJobIDDigits && len(id) <= maxJobIDLength && strings.Trim(digits, "0123456789") == ""
}

// AllowsType reports whether the job may use machines of the type.
func (s *Spec) AllowsType(name string) bool {
	return len(s.MachineTypes) == 0 || slices.Contains(s.MachineTypes, name)
}

// MaxTasksPerZone returns how many tasks of the job may run in one zone.
func (s *Spec) MaxTasksPerZone() int {
	if s.Spread {
		return (s.Tasks + 1) / 2
	}
	return s.Tasks
}

// TotalDemand returns what all tasks of the job demand together.
func (s *Spec) TotalDemand() Resources { return s.Demand.Times(s.Tasks) }
