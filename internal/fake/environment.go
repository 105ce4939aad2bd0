package fake

import (
	"fmt"
	"iter"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// Environment is the state that the fake workers of one deployment share: the simulated time, the jobs that users have
// submitted, and a record of what has happened so far. It is not safe for concurrent use.
type Environment struct {
	now time.Time
	Timing
	TaskCounts
	violationLog

	Specs        map[string]*model.Spec // the submitted jobs, by job ID
	Dependencies map[string][]string    // by job ID: the jobs that the job depended on when it was submitted
	Completed    map[model.TaskID]bool  // tasks that have completed
	CancelledAt  map[string]time.Time   // by job ID: when a user was first answered that the job is cancelled

	FailingJobs      map[string]bool                 // IDs of jobs whose tasks fail on every machine
	PlacementAllowed map[string]func(w *Worker) bool // by job ID: the job's constraints, checked when a task starts
	AcceptAnyToken   bool                            // an injected fault: workers accept commands with any fencing token

	// OnTaskMoved is called when a task arrives on a machine or leaves it. It may be nil.
	OnTaskMoved func(w *Worker, t *Task, onMachine bool)
	// OnAttemptKnown is called when a worker launches an attempt or forgets it. It may be nil.
	OnAttemptKnown func(w *Worker, t *Task, known bool)

	answers   map[string]*jobAnswers                           // what users have been answered, by job ID
	gangTasks func(job string, attempt uint64) iter.Seq[*Task] // yields the tasks of one attempt at a gang
}

// Timing holds the durations of tasks on workers and the intervals of the worker protocol.
type Timing struct {
	Tick              time.Duration // step by which the simulated time advances
	FetchTime         time.Duration // time to fetch an image
	RunTime           time.Duration // run time of each task if RunTimeOf is nil
	Lease             time.Duration // duration of a worker's lease
	HeartbeatInterval time.Duration // time between two heartbeats of a worker whose status does not change
	GangWait          time.Duration // maximum time for which a task of a gang waits for the others
	CancelDeadline    time.Duration // time after a cancellation within which the job's tasks must have ended

	RunTimeOf       func(id model.TaskID) time.Duration // returns the run time of a task; may be nil
	HeartbeatJitter func() float64                      // returns a factor for the next heartbeat interval; nil means 1
}

// TaskCounts counts what has happened to tasks on the workers.
type TaskCounts struct {
	KilledTasks   int                  // number of tasks that were killed when their worker's lease expired
	LeaseExpiries int                  // number of worker leases that have expired; each expiry ends an epoch
	Launches      map[model.TaskID]int // number of launches that workers have executed, by task
	Checkpoints   map[model.TaskID]int // number of graceful stops that have saved a checkpoint, by task
}

// violationLog collects the descriptions of broken invariants, each distinct one once.
type violationLog struct {
	Violations     []string
	seenViolations map[string]bool
}

// recordViolation records a broken invariant. Its description begins with the name of the invariant and a colon.
func (l *violationLog) recordViolation(format string, args ...any) {
	if text := fmt.Sprintf(format, args...); !l.seenViolations[text] {
		l.seenViolations[text] = true
		l.Violations = append(l.Violations, text)
	}
}

// newEnvironment returns an environment without jobs whose time begins at now. gangTasks must yield the tasks of one
// attempt at a gang, across all machines.
func newEnvironment(now time.Time, gangTasks func(job string, attempt uint64) iter.Seq[*Task]) Environment {
	return Environment{
		now:              now,
		Timing:           Timing{Tick: 50 * time.Millisecond, FetchTime: time.Second, RunTime: 10 * time.Second},
		TaskCounts:       TaskCounts{Launches: map[model.TaskID]int{}, Checkpoints: map[model.TaskID]int{}},
		violationLog:     violationLog{seenViolations: map[string]bool{}},
		Specs:            map[string]*model.Spec{},
		Dependencies:     map[string][]string{},
		Completed:        map[model.TaskID]bool{},
		CancelledAt:      map[string]time.Time{},
		FailingJobs:      map[string]bool{},
		PlacementAllowed: map[string]func(w *Worker) bool{},
		answers:          map[string]*jobAnswers{},
		gangTasks:        gangTasks,
	}
}

// Now returns the simulated time.
func (e *Environment) Now() time.Time { return e.now }

// AllCompleted reports whether all tasks of a job have completed.
func (e *Environment) AllCompleted(id string) bool {
	for i := range e.Specs[id].Tasks {
		if !e.Completed[model.TaskID{Job: id, Index: i}] {
			return false
		}
	}
	return true
}

// anyCompleted reports whether at least one task of a job has completed.
func (e *Environment) anyCompleted(id string) bool {
	for i := range e.Specs[id].Tasks {
		if e.Completed[model.TaskID{Job: id, Index: i}] {
			return true
		}
	}
	return false
}

// gangReady reports whether all tasks of t's gang are ready to run in t's attempt: each has fetched its image, and has
// not been stopped since.
func (e *Environment) gangReady(t *Task) bool {
	ready := 0
	for other := range e.gangTasks(t.ID.Job, t.Attempt) {
		if other.Phase == model.PhaseWaiting || other.Phase == model.PhaseRunning {
			ready++
		}
	}
	return ready == t.Spec.Tasks
}

// gangIntact reports whether no task of t's gang was lost in t's attempt: each has either completed or not exited.
func (e *Environment) gangIntact(t *Task) bool {
	intact := 0
	for other := range e.gangTasks(t.ID.Job, t.Attempt) {
		if other.Phase != model.PhaseExited || other.Cause == model.CauseDone {
			intact++
		}
	}
	return intact == t.Spec.Tasks
}

// notifyAttemptKnown calls OnAttemptKnown if it is set.
func (e *Environment) notifyAttemptKnown(w *Worker, t *Task, known bool) {
	if e.OnAttemptKnown != nil {
		e.OnAttemptKnown(w, t, known)
	}
}

// nextHeartbeatInterval returns the time after which a worker sends its next heartbeat if its status does not change
// before.
func (e *Environment) nextHeartbeatInterval() time.Duration {
	if e.HeartbeatJitter == nil {
		return e.HeartbeatInterval
	}
	return time.Duration(e.HeartbeatJitter() * float64(e.HeartbeatInterval))
}
