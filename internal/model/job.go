package model

import (
	"slices"
	"time"
)

// JobState is the state of a job in the leader's view.
type JobState uint8

// The states of a job. A job is in JobEnded only if its end is recorded in the state service.
const (
	JobActive     JobState = iota + 1 // it has been accepted and not ended
	JobCompleting                     // its end is being committed to the state service
	JobEnded                          // it is durably done or cancelled
)

// jobTransitions lists the states that may follow each state of a job.
var jobTransitions = map[JobState][]JobState{
	0:             {JobActive},
	JobActive:     {JobCompleting, JobEnded},
	JobCompleting: {JobEnded, JobActive},
}

// GangState is the state of a gang as a whole.
type GangState uint8

// The states of a gang.
const (
	GangIdle     GangState = iota // no task is on a machine
	GangLaunched                  // all tasks were launched with the same attempt number
	GangBroken                    // at least one task was lost; the others are being stopped
	GangStopping                  // all tasks were stopped together, before any was lost
)

// Job is an accepted job in the leader's view.
type Job struct {
	Spec          *Spec
	SubmittedAt   time.Time
	RecordVersion uint64 // version of its record in the state service
	State         JobState
	Gang          GangState // valid if Spec.Shape is Gang

	// EligibleAt is when the job was submitted or, if later, when the last of its dependencies was done. The age of
	// the job and its objectives count from this time. Its deadline counts from SubmittedAt.
	EligibleAt        time.Time
	WaitingSince      time.Time // start of the present period with waiting tasks; valid if any task waits
	EffectivePriority Priority  // the higher of its own priority and what it inherits from jobs that depend on it
	// MayUseGPUMachines is true if the tasks need no GPU but fit only on machines that are reserved for GPU work.
	MayUseGPUMachines bool
	NoPriorAttempts   bool // no earlier leader can have started any of its tasks

	JobDependencies
	JobTasks
	JobCompletion
	JobFailures

	ActiveAttempts map[int]*Attempt // by task index
}

// JobDependencies describes a job's place in the dependency graph.
type JobDependencies struct {
	DependencyKeys []string        // keys of the records that hold the parts of a long dependency list
	Dependency     *DependencyNode // its node in the leader's dependency graph
	// DownstreamDeadlines are the times, in ascending order, by which the job must be done so that the jobs
	// downstream of it can meet their deadlines. There may be several, because objectives name multiples of a job's
	// deadline.
	DownstreamDeadlines []time.Time
}

// JobFailures records the failures of a job's tasks.
type JobFailures struct {
	ConsecutiveErrors  int             // number of failed attempts since a task last completed
	ErrorsByMachine    map[string]int  // failed attempts by machine; no task of the job is placed on these machines
	MachinesWithErrors map[string]bool // machines whose ErrorsByJob may contain the job
	FailedMachineCount int             // number of machines on which the job has failed since a task last completed
	KnownGood          bool            // whether any task of the job has completed
	RetryNotBefore     time.Time       // no task is placed before this time
}

const (
	// faultyJobMachines is the number of machines on which a job has to fail before the job itself counts as faulty.
	faultyJobMachines = 2
	// maxAvoidedMachines bounds the number of machines that a job avoids because it has failed on them. When a job
	// reaches the bound before any of its tasks has completed, it may try all of them again except the last one.
	maxAvoidedMachines = 4
)

// RecordFailure records that a task of the job has failed on a machine.
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

// Faulty reports whether the job itself seems to be at fault for its failures: it has failed on several machines and
// no task of it has ever completed.
func (f *JobFailures) Faulty() bool { return !f.KnownGood && f.FailedMachineCount >= faultyJobMachines }

// NewJob returns the state of a newly accepted job without attempts. version is the version of its stored record.
func NewJob(spec *Spec, submittedAt time.Time, version uint64) *Job {
	job := &Job{
		Spec:              spec,
		SubmittedAt:       submittedAt,
		RecordVersion:     version,
		EligibleAt:        submittedAt,
		WaitingSince:      submittedAt,
		EffectivePriority: spec.Priority,
		JobTasks:          newJobTasks(spec.Tasks),
		JobCompletion:     newJobCompletion(spec.Tasks),
		JobFailures: JobFailures{
			ErrorsByMachine:    map[string]int{},
			MachinesWithErrors: map[string]bool{},
		},
		ActiveAttempts: map[int]*Attempt{},
	}
	job.Transition(JobActive)
	return job
}

// Transition changes the job's state if the change is allowed, and reports whether it is. The state must not be
// changed in any other way.
func (j *Job) Transition(to JobState) bool {
	if !slices.Contains(jobTransitions[j.State], to) {
		return false
	}
	j.State = to
	return true
}

// RunningTasks returns the number of active attempts that were last reported as running or saving a checkpoint.
func (j *Job) RunningTasks() int {
	running := 0
	for _, attempt := range j.ActiveAttempts {
		if attempt.Phase == PhaseRunning || attempt.Phase == PhaseCheckpointing {
			running++
		}
	}
	return running
}
