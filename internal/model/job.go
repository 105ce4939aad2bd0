package model

import "time"

// TaskState is where a task stands.
type TaskState uint8

// The states of a task.
const (
	TaskNew       TaskState = iota // never started
	TaskActive                     // an attempt of it counts as being on a machine
	TaskRetry                      // waits to be started again after a failure
	TaskPreempted                  // was stopped to make room, and waits its turn like new ones
	TaskDone
)

// JobState is where a job stands with the leader.
type JobState uint8

// The states of a job. Only what the state service holds ends a job.
const (
	JobActive     JobState = iota + 1
	JobCompleting          // all tasks are done; the record of that is on its way
	JobEnded               // done or cancelled, for good
)

var jobTransitions = map[JobState][]JobState{
	0:             {JobActive},
	JobActive:     {JobCompleting, JobEnded},
	JobCompleting: {JobEnded, JobActive},
}

// Job is an accepted job.
type Job struct {
	Spec                *Spec
	SubmittedAt         time.Time       // when it was submitted
	EligibleAt          time.Time       // when it was submitted, or when the last job that it needs was done: ages and dates but its deadline count from here
	DependencyKeys      []string        // keys that hold the rest of what it awaits
	Dependency          *DependencyNode // its place among the jobs that it needs and that need it
	EffectivePriority   Priority        // its own, or the highest of those that need it
	DownstreamDeadlines []time.Time     // by when it must be done, so that the dates of the jobs behind it can be met, the earliest first
	MayUseGPUMachines   bool            // its tasks need no GPU, but no machine takes them that is not kept for work with GPUs
	NoPriorAttempts     bool            // no leader before can have started a task of it
	RecordVersion       uint64          // of its record
	State               JobState

	taskStates []TaskState
	counts     [TaskDone + 1]int
	pending    [TaskDone + 1][]int // by state, only of those that wait; may hold stale numbers

	ActiveAttempts map[int]*Attempt // the attempt that holds, by task

	DoneBits       []byte         // finished tasks, a bit each
	DirtyChunks    map[Chunk]bool // chunks of Bits that are not durable yet
	restarted      map[int]bool   // tasks that were started more than once: their last run is not a whole one
	RecordedChunks map[Chunk]bool // chunks that a record was ever written of
	durableBits    []byte         // the part of Bits that is durable

	WaitingSince time.Time // since when a task of it waits
	Gang         GangState

	ConsecutiveErrors  int             // errors in a row, with no success between
	ErrorsByMachine    map[string]int  // by machine; nothing of it is placed on these
	MachinesWithErrors map[string]bool // machines that hold an error against it
	FailedMachineCount int             // machines on which it has failed, with no success between
	KnownGood          bool            // a task of it has completed, or has run well
	RetryNotBefore     time.Time
}

// RecordFailure notes that a task of the job has failed on a machine.
func (j *Job) RecordFailure(machine string) {
	j.ConsecutiveErrors++
	j.MachinesWithErrors[machine] = true
	if j.ErrorsByMachine[machine]++; j.ErrorsByMachine[machine] == 1 {
		j.FailedMachineCount++
	}
	if len(j.ErrorsByMachine) >= 4 && !j.KnownGood {
		j.ErrorsByMachine = map[string]int{machine: 1} // it fails everywhere: it may try any machine again
	}
}

// Faulty tells that the job itself seems to be at fault: it has failed on several machines, and has done well on none.
func (j *Job) Faulty() bool { return !j.KnownGood && j.FailedMachineCount >= 2 }

// Chunk names a record of finished tasks. It begins at task N, or it is the chunk
// with that number in the layout of the first version, whose size went by a limit of
// the state service. Those are read at the size that they were written with; written
// is only the first of them, for arrays that fit into it: it is the same in any
// layout.
type Chunk struct {
	StartsAtTask bool // it begins at task N
	Number       int
}

// ChunkTasks is how many tasks a record of finished tasks holds. It does not depend
// on any limit, and the record stays below 600 bytes.
const ChunkTasks = 2048

// ChunkOf names the record that a task's end is written to.
func (s *Spec) ChunkOf(task int) Chunk {
	if s.Tasks <= ChunkTasks {
		return Chunk{}
	}
	return Chunk{StartsAtTask: true, Number: task / ChunkTasks * ChunkTasks}
}

// First is the first task of a chunk; numbered is how many tasks a numbered one has.
func (c Chunk) First(numbered int) int {
	if c.StartsAtTask {
		return c.Number
	}
	return c.Number * numbered
}

// GangState is where the attempt of a gang stands.
type GangState uint8

// The states of a gang.
const (
	GangIdle     GangState = iota // no task is on a machine
	GangLaunched                  // all tasks were launched with one attempt number
	GangBroken                    // a task is gone; the others are told to stop
	GangStopping                  // all tasks were told to stop in order
)

// NewJob makes the leader's view of an accepted job.
func NewJob(s *Spec, at time.Time, version uint64) *Job {
	j := &Job{Spec: s, SubmittedAt: at, EligibleAt: at, EffectivePriority: s.Priority, RecordVersion: version, WaitingSince: at, taskStates: make([]TaskState, s.Tasks),
		ActiveAttempts: map[int]*Attempt{}, DoneBits: make([]byte, (s.Tasks+7)/8), DirtyChunks: map[Chunk]bool{}, RecordedChunks: map[Chunk]bool{},
		restarted: map[int]bool{}, ErrorsByMachine: map[string]int{},
		MachinesWithErrors: map[string]bool{}}
	j.counts[TaskNew] = s.Tasks
	for i := s.Tasks - 1; i >= 0; i-- {
		j.pending[TaskNew] = append(j.pending[TaskNew], i)
	}
	j.Transition(JobActive)
	return j
}

// Transition changes the job's state; it is the only place that does. It tells whether
// the change is allowed.
func (j *Job) Transition(s JobState) bool {
	for _, to := range jobTransitions[j.State] {
		if to == s {
			j.State = s
			return true
		}
	}
	return false
}

// Task returns a task's state.
func (j *Job) Task(i int) TaskState { return j.taskStates[i] }

// SetTask changes a task's state; it is the only place that does. A finished
// task stays finished.
func (j *Job) SetTask(i int, s TaskState) {
	if j.taskStates[i] == s || j.taskStates[i] == TaskDone {
		return
	}
	j.counts[j.taskStates[i]]--
	j.counts[s]++
	j.taskStates[i] = s
	switch s {
	case TaskNew, TaskRetry, TaskPreempted:
		j.pending[s] = append(j.pending[s], i)
		j.restarted[i] = true
	case TaskDone:
		delete(j.restarted, i)
		j.DoneBits[i/8] |= 1 << (i % 8)
	}
}

// Count tells how many tasks are in a state.
func (j *Job) Count(s TaskState) int { return j.counts[s] }

// Waiting is the number of tasks that wait to be started.
func (j *Job) Waiting() int {
	return j.counts[TaskNew] + j.counts[TaskRetry] + j.counts[TaskPreempted]
}

// Started tells whether any task of it was ever started, as far as is known.
func (j *Job) Started() bool { return j.counts[TaskNew] < len(j.taskStates) }

// Unfinished is the number of tasks that are not done.
func (j *Job) Unfinished() int { return len(j.taskStates) - j.counts[TaskDone] }

// TakePending removes and returns one task that waits in the state.
func (j *Job) TakePending(s TaskState) (int, bool) {
	p := j.pending[s]
	for len(p) > 0 {
		i := p[len(p)-1]
		p = p[:len(p)-1]
		if j.taskStates[i] == s {
			j.pending[s] = p
			return i, true
		}
	}
	j.pending[s] = p
	return 0, false
}

// Restarted tells whether a task was started more than once.
func (j *Job) Restarted(i int) bool { return j.restarted[i] }

// LoadDone applies a chunk of the finished-task record, whose first bit is task
// from.
func (j *Job) LoadDone(from int, bits []byte) {
	for k, b := range bits {
		for n := 0; b != 0; n++ {
			if i := from + k*8 + n; b&1 != 0 && i < len(j.taskStates) {
				j.SetTask(i, TaskDone)
			}
			b >>= 1
		}
	}
}

// Running counts the live tasks that a report has shown running.
func (j *Job) Running() int {
	n := 0
	for _, a := range j.ActiveAttempts {
		if a.Phase == PhaseRunning || a.Phase == PhaseCheckpointing {
			n++
		}
	}
	return n
}

// MarkDurable notes a chunk of the finished-task record, whose first bit is task
// from, as saved.
func (j *Job) MarkDurable(from int, bits []byte) {
	if j.durableBits == nil {
		j.durableBits = make([]byte, len(j.DoneBits))
	}
	for k, b := range bits {
		if i := from/8 + k; i < len(j.durableBits) {
			j.durableBits[i] |= b
		}
	}
}

// IsDurable tells whether a finished task is in the durable record.
func (j *Job) IsDurable(i int) bool {
	return j.State == JobEnded || j.durableBits != nil && j.durableBits[i/8]&(1<<(i%8)) != 0
}
