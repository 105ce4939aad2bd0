package model

import (
	"slices"
	"time"
)

// JobState is the state of a job, as the leader knows it.
type JobState uint8

// The states of a job. Only what the state service holds ends a job.
const (
	JobActive     JobState = iota + 1
	JobCompleting          // all tasks are done; the commit of that is in flight
	JobEnded               // done or cancelled, for good
)

// jobTransitions holds the allowed changes of a job's state.
var jobTransitions = map[JobState][]JobState{
	0:             {JobActive},
	JobActive:     {JobCompleting, JobEnded},
	JobCompleting: {JobEnded, JobActive},
}

// GangState is the state of a gang's current attempt.
type GangState uint8

// The states of a gang.
const (
	GangIdle     GangState = iota // no task is on a machine
	GangLaunched                  // all tasks were launched with one attempt number
	GangBroken                    // a task is gone; the others are being stopped
	GangStopping                  // all tasks are being stopped, none is gone
)

// Job is an accepted job.
type Job struct {
	Spec          *Spec
	SubmittedAt   time.Time
	RecordVersion uint64 // the version of its record at the state service
	State         JobState
	Gang          GangState

	// EligibleAt is when the job was submitted, or when its last dependency was done. Its
	// age and its objectives, but not its deadline, count from here.
	EligibleAt        time.Time
	WaitingSince      time.Time // when a task of it began to wait
	EffectivePriority Priority  // its own, or the highest of the jobs that depend on it
	// MayUseGPUMachines is set where its tasks need no GPU, but only machines
	// that are reserved for work with GPUs can run them.
	MayUseGPUMachines bool
	NoPriorAttempts   bool // no former leader can have started a task of it

	JobDependencies
	JobTasks
	JobCompletion
	JobFailures

	ActiveAttempts map[int]*Attempt // by task
}

// JobDependencies is what the leader knows of a job's dependencies.
type JobDependencies struct {
	DependencyKeys []string // the keys of the records that hold the rest of its dependencies
	Dependency     *DependencyNode
	// DownstreamDeadlines are the times by which the job must be done for the
	// jobs downstream of it to meet their deadlines, the earliest first.
	DownstreamDeadlines []time.Time
}

// JobFailures is what the leader knows of a job's failed tasks.
type JobFailures struct {
	ConsecutiveErrors  int             // without a success in between
	ErrorsByMachine    map[string]int  // nothing of the job is placed on these machines
	MachinesWithErrors map[string]bool // machines whose ErrorsByJob name the job
	FailedMachineCount int             // machines on which it has failed, without a success in between
	KnownGood          bool            // a task of it has completed, or has run well
	RetryNotBefore     time.Time
}

const (
	// faultyJobMachines is on how many machines a job fails before the fault is
	// attributed to the job.
	faultyJobMachines = 2
	// maxAvoidedMachines is on how many machines a job fails before it may try
	// any of them again.
	maxAvoidedMachines = 4
)

// RecordFailure counts a task of the job that has failed on a machine.
func (f *JobFailures) RecordFailure(machine string) {
	f.ConsecutiveErrors++
	f.MachinesWithErrors[machine] = true
	f.ErrorsByMachine[machine]++
	if f.ErrorsByMachine[machine] == 1 {
		f.FailedMachineCount++
	}
	if len(f.ErrorsByMachine) >= maxAvoidedMachines && !f.KnownGood {
		f.ErrorsByMachine = map[string]int{machine: 1}
	}
}

// Faulty reports whether the job itself seems to be at fault: it has failed on
// several machines, and has done well on none.
func (f *JobFailures) Faulty() bool { return !f.KnownGood && f.FailedMachineCount >= faultyJobMachines }

// NewJob returns the leader's view of an accepted job.
func NewJob(s *Spec, submitted time.Time, version uint64) *Job {
	j := &Job{
		Spec:              s,
		SubmittedAt:       submitted,
		RecordVersion:     version,
		EligibleAt:        submitted,
		WaitingSince:      submitted,
		EffectivePriority: s.Priority,
		JobTasks:          newJobTasks(s.Tasks),
		JobCompletion:     newJobCompletion(s.Tasks),
		JobFailures: JobFailures{
			ErrorsByMachine:    map[string]int{},
			MachinesWithErrors: map[string]bool{},
		},
		ActiveAttempts: map[int]*Attempt{},
	}
	j.Transition(JobActive)
	return j
}

// Transition changes the job's state; nothing else does. It reports whether the
// change is allowed.
func (j *Job) Transition(to JobState) bool {
	if !slices.Contains(jobTransitions[j.State], to) {
		return false
	}
	j.State = to
	return true
}

// Running counts the tasks that a heartbeat has shown running.
func (j *Job) Running() int {
	n := 0
	for _, a := range j.ActiveAttempts {
		if a.Phase == PhaseRunning || a.Phase == PhaseCheckpointing {
			n++
		}
	}
	return n
}
