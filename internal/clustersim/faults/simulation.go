// Package faults simulates small deployments on the in-memory stand-ins, in simulated time, while machines and members
// fail together, and checks the invariants all along. Run draws faults that are spread over a run: machines that
// receive nothing, duplicates of heartbeats, members that only workers reach, members and machines that restart at
// once. RunOverlapping draws two or three faults that begin together. One seed draws one run.
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
	tick          = 100 * time.Millisecond
	recoveryPhase = 180 * second // after all faults
	pollInterval  = 5 * second   // between two polls of a job
	retryInterval = 2 * second   // of a user
	maxUnanswered = 75 * second  // after the faults; a job that is not answered for longer counts as forgotten
	settleTime    = 8 * second   // until there is a leader, before the first submission
)

// The streams of random numbers that a run's seed gives.
const (
	faultStream   = 1
	overlapStream = 2
)

// simulation is one run.
type simulation struct {
	random       *rand.Rand
	world        *fake.World
	result       *Result
	plan         []event
	jobs         []*job
	blockedSince map[string]time.Time // by machine: since when it receives nothing
	detected     map[string]bool      // machines that the leader has found to receive nothing
	cancelAtEnd  float64              // the share of jobs that are cancelled as their last task ends
}

// event is something that is planned.
type event struct {
	at     time.Time
	action func()
}

// job is a submitted job.
type job struct {
	spec        *model.Spec
	submittedAt time.Time
	startedAt   time.Time // zero: not yet
	answeredAt  time.Time // of the last poll that was answered
	cancelled   bool
	forgotten   bool
	completed   bool // its last task has ended
}

// runAll makes a run for each of several seeds, some of them in parallel, and sums up their results.
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
	sum := &Result{LeastServed: 1}
	for _, result := range results {
		sum.add(result)
	}
	return sum
}

// newSimulation makes a run without a world.
func newSimulation(seed, stream uint64) *simulation {
	return &simulation{
		random:       rand.New(rand.NewPCG(seed, stream)),
		result:       &Result{Runs: 1, LeastServed: 1},
		blockedSince: map[string]time.Time{},
		detected:     map[string]bool{},
	}
}

// planIn plans an action after a delay.
func (s *simulation) planIn(delay time.Duration, action func()) {
	s.plan = append(s.plan, event{s.world.Now().Add(delay), action})
}

// randomUpTo draws a duration.
func (s *simulation) randomUpTo(most time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(most) + 1))
}

// randomController draws a member.
func (s *simulation) randomController() *fake.Controller {
	return s.world.Controllers[s.random.IntN(len(s.world.Controllers))]
}

// randomWorker draws a machine; nil: all were released.
func (s *simulation) randomWorker() *fake.Worker {
	if names := s.world.WorkerNames(); len(names) > 0 {
		return s.world.Workers[names[s.random.IntN(len(names))]]
	}
	return nil
}

// randomTeam draws the name of a team.
func (s *simulation) randomTeam() string { return [...]string{"red", "blue"}[s.random.IntN(2)] }

// advance carries out what is planned, for the time of the faults and the recovery, and polls every job all along.
func (s *simulation) advance(faultPhase, recoveryPhase time.Duration) {
	w, start := s.world, s.world.Now()
	for now := start; now.Sub(start) < faultPhase+recoveryPhase; now = w.Now() {
		s.runPlanned(now)
		w.Advance(tick)
		s.recordDetections()
		s.cancelCompleted()
		if now.Sub(start)%pollInterval < tick {
			s.pollJobs(now.Sub(start) > faultPhase)
		}
		for _, j := range s.jobs {
			first := model.TaskID{Job: j.spec.ID}
			last := model.TaskID{Job: j.spec.ID, Index: j.spec.Tasks - 1}
			if j.startedAt.IsZero() && w.Starts[first]+w.Starts[last] > 0 {
				j.startedAt = now
			}
		}
	}
}

// runPlanned carries out what is due.
func (s *simulation) runPlanned(now time.Time) {
	for i := 0; i < len(s.plan); i++ {
		if e := s.plan[i]; !now.Before(e.at) {
			s.plan = slices.Delete(s.plan, i, i+1)
			i--
			e.action()
		}
	}
}

// recordDetections notes when the leader has stopped placing tasks on machines that receive nothing.
func (s *simulation) recordDetections() {
	leader := s.world.Leader()
	if leader == nil {
		return
	}
	for name, since := range s.blockedSince {
		if s.detected[name] {
			continue
		}
		if s.world.Workers[name] == nil || leader.Reconciler.Liveness(name) >= liveness.Suspect {
			s.detected[name] = true
			took := s.world.Now().Sub(since).Seconds()
			s.result.LongestDetection = max(s.result.LongestDetection, took)
			s.result.Detected++
			s.result.MeanDetection += (took - s.result.MeanDetection) / float64(s.result.Detected)
		}
	}
}

// pollJobs polls every job at some member that is up. The world checks the answers. Once the faults have ended, a job
// that is not answered for long counts as forgotten.
func (s *simulation) pollJobs(faultsEnded bool) {
	for _, j := range s.jobs {
		c := s.randomController()
		if c.Up && !c.Frozen {
			if _, err := s.world.Poll(c, j.spec.ID); err == nil {
				j.answeredAt = s.world.Now()
			}
		}
		if !faultsEnded || j.cancelled {
			continue
		}
		unanswered := s.world.Now().Sub(j.answeredAt)
		s.result.LongestUnanswered = max(s.result.LongestUnanswered, unanswered.Seconds())
		if unanswered > maxUnanswered && !j.forgotten {
			j.forgotten = true
			s.result.ForgottenJobs++
		}
	}
}

// cancel cancels a job through a member. Its user tries again until there is an answer.
func (s *simulation) cancel(c *fake.Controller, j *job) {
	if c.Up && !c.Frozen {
		if record, err := s.world.Cancel(c, j.spec.ID); err == nil {
			j.answeredAt = s.world.Now()
			j.cancelled = record.State == wire.StateCancelled
			return
		}
	}
	s.planIn(retryInterval, func() { s.cancel(s.randomController(), j) })
}

// submitted notes that a job was accepted.
func (s *simulation) submitted(spec *model.Spec) {
	now := s.world.Now()
	s.jobs = append(s.jobs, &job{spec: spec, submittedAt: now, answeredAt: now})
}
