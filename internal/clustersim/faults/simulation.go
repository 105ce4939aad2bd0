// Package faults simulates small deployments under random faults of controllers, workers and the network, and checks
// the invariants throughout. It uses the in-memory environment of package fake and simulated time.
//
// Run spreads faults over a run: workers whose inbound messages are blocked, duplicate heartbeats, controllers that
// only workers can reach, and controllers and workers that restart at once. RunOverlapping begins two or three faults
// within seconds of each other. A seed determines the jobs and faults of a run.
package faults

import (
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/glentiller/glentiller/internal/fake"
	"github.com/glentiller/glentiller/internal/liveness"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

const (
	second        = time.Second
	tick          = 100 * time.Millisecond // step of the simulated time
	recoveryPhase = 180 * second           // simulated time after the end of all faults
	pollInterval  = 5 * second             // between two polls of a job
	retryInterval = 2 * second             // between two attempts of a user to submit or cancel a job
	maxUnanswered = 75 * second            // a job without an answer for longer counts as forgotten
	settleTime    = 8 * second             // for the election of a leader before the first submission
)

// The streams of random numbers that are derived from the seed of a run.
const (
	faultStream   = 1
	overlapStream = 2
)

// simulation is the state of one run.
type simulation struct {
	random               *rand.Rand
	world                *fake.World
	result               *Result
	scheduled            []scheduledAction
	jobs                 []*job
	blockedSince         map[string]time.Time // by worker: when its inbound messages were blocked
	detectedBlocked      map[string]bool      // by worker: the leader has suspected it while it was blocked
	completedCancelShare float64              // fraction of jobs that are cancelled when their last task completes
}

// scheduledAction is an action to perform at a simulated time.
type scheduledAction struct {
	at     time.Time
	action func()
}

// job is a job that a controller has accepted.
type job struct {
	spec           *model.Spec
	submittedAt    time.Time
	startedAt      time.Time // zero until a task of the job starts
	lastAnsweredAt time.Time // time of the last answer about the job
	cancelled      bool      // a controller has answered that the job is cancelled
	forgotten      bool      // counted in Result.ForgottenJobs
	completed      bool      // all of its tasks have completed
}

// runAll simulates runs with consecutive seeds, at most parallel of them concurrently, and returns their combined
// result.
func runAll(runs int, seed uint64, parallel int, runOne func(seed uint64) *Result) *Result {
	results := make([]*Result, runs)
	var group errgroup.Group
	group.SetLimit(parallel)
	for i := range runs {
		group.Go(func() error {
			results[i] = runOne(seed + uint64(i))
			return nil
		})
	}
	_ = group.Wait() // no run returns an error
	sum := &Result{MinStartedShare: 1}
	for _, result := range results {
		sum.add(result)
	}
	return sum
}

// newSimulation returns a simulation whose world the caller has to set.
func newSimulation(seed, stream uint64) *simulation {
	return &simulation{
		random:          rand.New(rand.NewPCG(seed, stream)),
		result:          &Result{Runs: 1, MinStartedShare: 1},
		blockedSince:    map[string]time.Time{},
		detectedBlocked: map[string]bool{},
	}
}

// scheduleAfter schedules an action for a delay after the present simulated time.
func (s *simulation) scheduleAfter(delay time.Duration, action func()) {
	s.scheduled = append(s.scheduled, scheduledAction{s.world.Now().Add(delay), action})
}

// randomDuration draws a duration from 0 to limit, inclusive.
func (s *simulation) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit) + 1))
}

// randomController draws a controller, which may be down.
func (s *simulation) randomController() *fake.Controller {
	return s.world.Controllers[s.random.IntN(len(s.world.Controllers))]
}

// randomWorker draws a worker. It returns nil if all machines have been released.
func (s *simulation) randomWorker() *fake.Worker {
	if names := s.world.WorkerNames(); len(names) > 0 {
		return s.world.Workers[names[s.random.IntN(len(names))]]
	}
	return nil
}

// randomTeam draws the name of a team.
func (s *simulation) randomTeam() string { return [...]string{"red", "blue"}[s.random.IntN(2)] }

// advance simulates the fault phase and the recovery phase. It performs the scheduled actions, polls all jobs at
// intervals, and records when jobs start.
func (s *simulation) advance(faultPhase, recoveryPhase time.Duration) {
	w, start := s.world, s.world.Now()
	for now := start; now.Sub(start) < faultPhase+recoveryPhase; now = w.Now() {
		s.runDueActions(now)
		w.Advance(tick)
		s.recordDetections()
		s.cancelSomeCompleted()
		if now.Sub(start)%pollInterval < tick {
			s.pollJobs(now.Sub(start) > faultPhase)
		}
		for _, j := range s.jobs {
			first := model.TaskID{Job: j.spec.ID}
			last := model.TaskID{Job: j.spec.ID, Index: j.spec.Tasks - 1}
			if j.startedAt.IsZero() && w.Launches[first]+w.Launches[last] > 0 {
				j.startedAt = now
			}
		}
	}
}

// runDueActions performs all scheduled actions that are due, including any that these schedule without a delay.
func (s *simulation) runDueActions(now time.Time) {
	for i := 0; i < len(s.scheduled); i++ {
		if due := s.scheduled[i]; !now.Before(due.at) {
			s.scheduled = slices.Delete(s.scheduled, i, i+1)
			i--
			due.action()
		}
	}
}

// recordDetections records when the leader first suspects a blocked worker, and so places no more tasks on it. A worker
// whose machine is gone counts as detected.
func (s *simulation) recordDetections() {
	leader := s.world.Leader()
	if leader == nil {
		return
	}
	for name, since := range s.blockedSince {
		if s.detectedBlocked[name] {
			continue
		}
		if s.world.Workers[name] == nil || leader.Reconciler.Liveness(name) >= liveness.Suspect {
			s.detectedBlocked[name] = true
			delay := s.world.Now().Sub(since).Seconds()
			s.result.LongestDetection = max(s.result.LongestDetection, delay)
			s.result.DetectedWorkers++
			s.result.MeanDetection += (delay - s.result.MeanDetection) / float64(s.result.DetectedWorkers)
		}
	}
}

// pollJobs polls each job at a random controller; a controller that is down or frozen does not answer. The World checks
// the answers. After the faults, a job without an answer for maxUnanswered counts as forgotten.
func (s *simulation) pollJobs(faultsEnded bool) {
	for _, j := range s.jobs {
		c := s.randomController()
		if c.Up && !c.Frozen {
			if _, err := s.world.Poll(c, j.spec.ID); err == nil {
				j.lastAnsweredAt = s.world.Now()
			}
		}
		if !faultsEnded || j.cancelled {
			continue
		}
		unanswered := s.world.Now().Sub(j.lastAnsweredAt)
		s.result.LongestUnanswered = max(s.result.LongestUnanswered, unanswered.Seconds())
		if unanswered > maxUnanswered && !j.forgotten {
			j.forgotten = true
			s.result.ForgottenJobs++
		}
	}
}

// cancel cancels a job through a controller. The user retries at random controllers until one answers.
func (s *simulation) cancel(c *fake.Controller, j *job) {
	if c.Up && !c.Frozen {
		if record, err := s.world.Cancel(c, j.spec.ID); err == nil {
			j.lastAnsweredAt = s.world.Now()
			j.cancelled = record.State == wire.StateCancelled
			return
		}
	}
	s.scheduleAfter(retryInterval, func() { s.cancel(s.randomController(), j) })
}

// recordSubmission records that a controller has accepted a job.
func (s *simulation) recordSubmission(spec *model.Spec) {
	now := s.world.Now()
	s.jobs = append(s.jobs, &job{spec: spec, submittedAt: now, lastAnsweredAt: now})
}
