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

	Fetch, Run, Lease, ReportEvery, GangWait, CancelIn time.Duration

	Runs   func(id model.TaskID) time.Duration // how long a task runs; nil: Run
	Jitter func() float64                      // by what the time between two reports is multiplied; nil: 1

	Specs     map[string]*model.Spec
	Awaits    map[string][]string // what jobs were submitted to wait for
	Done      map[model.TaskID]bool
	Bad       map[string]bool                   // jobs whose tasks fail everywhere
	Allowed   map[string]func(k *Worker) bool   // what jobs' rules say of a machine when a task has started there
	Cancelled map[string]time.Time              // when users were told of it first
	AnyToken  bool                              // workers take orders under any token: a fault of theirs, to show that checks can fail
	Moved     func(k *Worker, t *Task, on bool) // told when a task comes to be on a machine, or is no longer; nil: nobody is
	Known     func(k *Worker, t *Task, is bool) // told when a worker takes a launch, and when it forgets the task; nil: nobody is

	Killed int                  // tasks that ended with their worker's lease
	Lapsed int                  // sessions of workers that ended with their lease
	Starts map[model.TaskID]int // launches that workers carried out
	Saves  map[model.TaskID]int // orderly stops that saved
	Broken []string             // rules that were broken

	seen  map[string]bool
	told  map[string]*history                              // what users were told, by job
	mates func(job string, attempt uint64) iter.Seq[*Task] // the tasks of a gang's attempt, on all machines
}

// newSite makes an empty site; mates finds the tasks of a gang's attempt.
func newSite(now time.Time, mates func(job string, attempt uint64) iter.Seq[*Task]) Site {
	return Site{now: now, Tick: 50 * time.Millisecond, Fetch: time.Second, Run: 10 * time.Second,
		Specs: map[string]*model.Spec{}, Awaits: map[string][]string{}, Done: map[model.TaskID]bool{}, Bad: map[string]bool{},
		Allowed: map[string]func(k *Worker) bool{}, Cancelled: map[string]time.Time{}, Starts: map[model.TaskID]int{},
		Saves: map[model.TaskID]int{}, seen: map[string]bool{}, told: map[string]*history{}, mates: mates}
}

// Now is the site's time.
func (s *Site) Now() time.Time { return s.now }

func (s *Site) broken(format string, args ...any) {
	if text := fmt.Sprintf(format, args...); !s.seen[text] {
		s.seen[text] = true
		s.Broken = append(s.Broken, text)
	}
}

// AllDone tells whether all tasks of a job have completed.
func (s *Site) AllDone(id string) bool {
	for i := range s.Specs[id].Tasks {
		if !s.Done[model.TaskID{Job: id, Index: i}] {
			return false
		}
	}
	return true
}

// gangComplete tells whether all tasks of an attempt have their images.
func (s *Site) gangComplete(t *Task) bool {
	n := 0
	for o := range s.mates(t.ID.Job, t.Try) {
		if o.Phase == model.PhaseWaiting || o.Phase == model.PhaseRunning {
			n++
		}
	}
	return n == t.Spec.Tasks
}

// gangWhole tells whether no task of a running attempt is missing.
func (s *Site) gangWhole(t *Task) bool {
	n := 0
	for o := range s.mates(t.ID.Job, t.Try) {
		if o.Phase != model.PhaseExited || o.Cause == model.CauseDone {
			n++
		}
	}
	return n == t.Spec.Tasks
}

// known tells that a worker has taken a launch, or has forgotten the task.
func (s *Site) known(k *Worker, t *Task, is bool) {
	if s.Known != nil {
		s.Known(k, t, is)
	}
}

// interval is the time until a worker's next report without news.
func (s *Site) interval() time.Duration {
	if s.Jitter == nil {
		return s.ReportEvery
	}
	return time.Duration(s.Jitter() * float64(s.ReportEvery))
}
