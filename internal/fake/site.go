package fake

import (
	"fmt"
	"iter"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// Site is what the stand-in workers of one deployment share: its time, how long things take, the jobs that
// users have uploaded, and what has happened so far. It is not safe for concurrent use.
type Site struct {
	now  time.Time
	Tick time.Duration // at which time passes

	FetchTime, RunTime, Lease, HeartbeatInterval, GangWait, CancelDeadline time.Duration

	RunTimeOf       func(id model.TaskID) time.Duration // how long a task runs; nil: Run
	HeartbeatJitter func() float64                      // by what the time between two reports is multiplied; nil: 1

	Specs            map[string]*model.Spec
	Dependencies     map[string][]string // what jobs were submitted to wait for
	Completed        map[model.TaskID]bool
	FailingJobs      map[string]bool                   // jobs whose tasks fail everywhere
	PlacementAllowed map[string]func(k *Worker) bool   // what jobs' rules say of a machine when a task has started there
	CancelledAt      map[string]time.Time              // when users were told of it first
	AcceptAnyToken   bool                              // workers take orders under any token: a fault of theirs, to show that checks can fail
	OnTaskMoved      func(k *Worker, t *Task, on bool) // told when a task comes to be on a machine, or is no longer; nil: nobody is
	OnAttemptKnown   func(k *Worker, t *Task, is bool) // told when a worker takes a launch, and when it forgets the task; nil: nobody is

	KilledTasks   int                  // tasks that ended with their worker's lease
	LeaseExpiries int                  // sessions of workers that ended with their lease
	Starts        map[model.TaskID]int // launches that workers carried out
	Checkpoints   map[model.TaskID]int // orderly stops that saved
	Violations    []string             // rules that were broken

	seenViolations map[string]bool
	answers        map[string]*jobAnswers                           // what users were told, by job
	gangTasks      func(job string, attempt uint64) iter.Seq[*Task] // the tasks of a gang's attempt, on all machines
}

// newSite makes an empty site; mates finds the tasks of a gang's attempt.
func newSite(now time.Time, mates func(job string, attempt uint64) iter.Seq[*Task]) Site {
	return Site{now: now, Tick: 50 * time.Millisecond, FetchTime: time.Second, RunTime: 10 * time.Second,
		Specs: map[string]*model.Spec{}, Dependencies: map[string][]string{}, Completed: map[model.TaskID]bool{}, FailingJobs: map[string]bool{},
		PlacementAllowed: map[string]func(k *Worker) bool{}, CancelledAt: map[string]time.Time{}, Starts: map[model.TaskID]int{},
		Checkpoints: map[model.TaskID]int{}, seenViolations: map[string]bool{}, answers: map[string]*jobAnswers{}, gangTasks: mates}
}

// Now is the site's time.
func (s *Site) Now() time.Time { return s.now }

func (s *Site) violated(format string, args ...any) {
	if text := fmt.Sprintf(format, args...); !s.seenViolations[text] {
		s.seenViolations[text] = true
		s.Violations = append(s.Violations, text)
	}
}

// AllCompleted tells whether all tasks of a job have completed.
func (s *Site) AllCompleted(id string) bool {
	for i := range s.Specs[id].Tasks {
		if !s.Completed[model.TaskID{Job: id, Index: i}] {
			return false
		}
	}
	return true
}

// gangReady tells whether all tasks of an attempt have their images.
func (s *Site) gangReady(t *Task) bool {
	n := 0
	for o := range s.gangTasks(t.ID.Job, t.Attempt) {
		if o.Phase == model.PhaseWaiting || o.Phase == model.PhaseRunning {
			n++
		}
	}
	return n == t.Spec.Tasks
}

// gangIntact tells whether no task of a running attempt is missing.
func (s *Site) gangIntact(t *Task) bool {
	n := 0
	for o := range s.gangTasks(t.ID.Job, t.Attempt) {
		if o.Phase != model.PhaseExited || o.Cause == model.CauseDone {
			n++
		}
	}
	return n == t.Spec.Tasks
}

// notifyAttemptKnown tells that a worker has taken a launch, or has forgotten the task.
func (s *Site) notifyAttemptKnown(k *Worker, t *Task, is bool) {
	if s.OnAttemptKnown != nil {
		s.OnAttemptKnown(k, t, is)
	}
}

// nextInterval is the time until a worker's next report without news.
func (s *Site) nextInterval() time.Duration {
	if s.HeartbeatJitter == nil {
		return s.HeartbeatInterval
	}
	return time.Duration(s.HeartbeatJitter() * float64(s.HeartbeatInterval))
}
