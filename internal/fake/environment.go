package fake

import (
	"fmt"
	"iter"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// Environment is what the stand-in workers of one deployment share: the simulated time, the jobs that users have
// submitted, and what has happened so far. It is not safe for concurrent use.
type Environment struct {
	now time.Time
	Timing
	TaskCounts
	violationLog

	Specs        map[string]*model.Spec
	Dependencies map[string][]string // the jobs that a job was submitted to wait for
	Completed    map[model.TaskID]bool
	CancelledAt  map[string]time.Time // when a user was first answered that the job is cancelled

	FailingJobs      map[string]bool                 // jobs whose tasks fail on every machine
	PlacementAllowed map[string]func(w *Worker) bool // a job's constraints, checked when one of its tasks starts
	AcceptAnyToken   bool                            // a deliberate fault: workers accept commands under any token

	OnTaskMoved    func(w *Worker, t *Task, onMachine bool) // called when a task arrives on or leaves a machine
	OnAttemptKnown func(w *Worker, t *Task, known bool)     // called when a worker takes a launch or forgets it

	answers   map[string]*jobAnswers                           // what users were answered, by job
	gangTasks func(job string, attempt uint64) iter.Seq[*Task] // the tasks of a gang's attempt, on all machines
}

// Timing is how long things take on workers, and the intervals of the worker protocol.
type Timing struct {
	Tick              time.Duration // step of the simulated time
	FetchTime         time.Duration // of an image
	RunTime           time.Duration // of a task, where RunTimeOf is nil
	Lease             time.Duration // for which a worker's lease lasts
	HeartbeatInterval time.Duration
	GangWait          time.Duration // for which a gang's task waits for the others
	CancelDeadline    time.Duration // in which a cancelled job has to be off all machines

	RunTimeOf       func(id model.TaskID) time.Duration // nil: RunTime for all tasks
	HeartbeatJitter func() float64                      // factor on each heartbeat interval; nil: 1
}

// TaskCounts count what has happened to tasks on the workers.
type TaskCounts struct {
	KilledTasks   int                  // tasks that ended with their worker's lease
	LeaseExpiries int                  // worker epochs that ended with their lease
	Starts        map[model.TaskID]int // launches that workers carried out
	Checkpoints   map[model.TaskID]int // graceful stops that saved a checkpoint
}

// violationLog collects broken invariants, each text once.
type violationLog struct {
	Violations     []string
	seenViolations map[string]bool
}

// violated records a broken invariant.
func (l *violationLog) violated(format string, args ...any) {
	if text := fmt.Sprintf(format, args...); !l.seenViolations[text] {
		l.seenViolations[text] = true
		l.Violations = append(l.Violations, text)
	}
}

// newEnvironment makes an environment without jobs; gangTasks finds the tasks of a gang's attempt.
func newEnvironment(now time.Time, gangTasks func(job string, attempt uint64) iter.Seq[*Task]) Environment {
	return Environment{
		now:              now,
		Timing:           Timing{Tick: 50 * time.Millisecond, FetchTime: time.Second, RunTime: 10 * time.Second},
		TaskCounts:       TaskCounts{Starts: map[model.TaskID]int{}, Checkpoints: map[model.TaskID]int{}},
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

// Now is the simulated time.
func (e *Environment) Now() time.Time { return e.now }

// AllCompleted tells whether all tasks of a job have completed.
func (e *Environment) AllCompleted(id string) bool {
	for i := range e.Specs[id].Tasks {
		if !e.Completed[model.TaskID{Job: id, Index: i}] {
			return false
		}
	}
	return true
}

// anyCompleted tells whether a task of a job has completed.
func (e *Environment) anyCompleted(id string) bool {
	for i := range e.Specs[id].Tasks {
		if e.Completed[model.TaskID{Job: id, Index: i}] {
			return true
		}
	}
	return false
}

// gangReady tells whether all tasks of an attempt have their images.
func (e *Environment) gangReady(t *Task) bool {
	ready := 0
	for other := range e.gangTasks(t.ID.Job, t.Attempt) {
		if other.Phase == model.PhaseWaiting || other.Phase == model.PhaseRunning {
			ready++
		}
	}
	return ready == t.Spec.Tasks
}

// gangIntact tells whether no task of a running attempt is missing.
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

// nextInterval is the time until a worker's next heartbeat while its status does not change.
func (e *Environment) nextInterval() time.Duration {
	if e.HeartbeatJitter == nil {
		return e.HeartbeatInterval
	}
	return time.Duration(e.HeartbeatJitter() * float64(e.HeartbeatInterval))
}
