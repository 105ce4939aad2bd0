// Package ledgersim tests the ledger against an independent audit. It simulates days of job submissions in the
// in-memory environment of package fake and in simulated time. Meanwhile controllers crash, the state service has
// outages, transactions are delayed or lose their answers, a controller without a ledger leads for a while, and clocks
// jump. At the end it compares the ledger with the usage that the audit computed from the messages between workers and
// controllers.
//
// Run draws submissions and faults from a seed. The seed does not determine the order of the controllers' effects
// within one tick, so two simulations with the same seed differ slightly.
package ledgersim

import (
	"math/rand/v2"
	"time"

	"github.com/glentiller/glentiller/internal/config"
	"github.com/glentiller/glentiller/internal/fake"
	"github.com/glentiller/glentiller/internal/model"
)

const day = 24 * time.Hour

// The streams of random numbers that are derived from the seed.
const (
	eventStream  = 7
	commitStream = 8
)

// The phases after the faults, in which the controllers settle all usage.
const (
	recoveryTime             = 90 * time.Minute // from the end of the faults to the cancellation of all jobs
	scheduledTimeAfterFaults = time.Hour        // scheduled actions that are due later are dropped
	cancellationTime         = 20 * time.Minute // from the cancellation of all jobs to the comparison
)

// simulation is the state of one simulation.
type simulation struct {
	world             *fake.World
	platform          *config.Platform
	start             time.Time
	seed              uint64
	eventRand         *rand.Rand // draws submissions and all faults but those of transactions
	commitRand        *rand.Rand // draws faults of transactions; their number differs between simulations with one seed
	audit             *audit
	result            *Result
	scheduled         schedule                 // submissions, cancellations, and the beginnings and ends of faults
	delayedCommits    schedule                 // transactions in transit to the state service
	faultsEnded       bool                     // transactions are no longer delayed, and answers no longer lost
	estimatedRunTimes map[string]time.Duration // by job
	jobCount          int
}

// Run simulates a number of days with a seed and compares the ledger with the audit. It calls progress after each day
// with the number of simulated days, unless progress is nil.
func Run(days int, seed uint64, progress func(day int)) *Result {
	s := newSimulation(days, seed)
	for n := range days {
		s.scheduleSubmissions(s.start.Add(time.Duration(n) * day))
		s.scheduleFaults(s.start.Add(time.Duration(n)*day), n)
	}
	s.scheduled.sort()
	for n := range days {
		s.advanceTo(s.start.Add(time.Duration(n+1) * day))
		if progress != nil {
			progress(n + 1)
		}
	}
	s.endFaults()
	s.compare()
	return s.result
}

// newSimulation starts a deployment and its audit.
func newSimulation(days int, seed uint64) *simulation {
	platform := newPlatform()
	w := newWorld(platform)
	s := &simulation{
		world:             w,
		platform:          platform,
		start:             w.Now(),
		seed:              seed,
		eventRand:         rand.New(rand.NewPCG(seed, eventStream)),
		commitRand:        rand.New(rand.NewPCG(seed, commitStream)),
		audit:             newAudit(w),
		result:            &Result{Days: days, Seed: seed},
		estimatedRunTimes: map[string]time.Duration{},
	}
	w.RunTimeOf = s.runTime
	w.InterceptCommit = s.interceptCommit
	return s
}

// advanceTo advances the simulated time to end. It performs the scheduled actions and delivers delayed transactions as
// they become due.
func (s *simulation) advanceTo(end time.Time) {
	for s.world.Now().Before(end) {
		s.scheduled.runDue(s.world.Now())
		s.delayedCommits.runDue(s.world.Now())
		running := s.runningCPU()
		s.world.Advance(tick)
		s.result.PhysicalCPU += running
	}
}

// advance advances the simulated time by a duration.
func (s *simulation) advance(d time.Duration) { s.advanceTo(s.world.Now().Add(d)) }

// runningCPU returns the CPU time that the tasks on all workers use in one tick, in CPU-microseconds.
func (s *simulation) runningCPU() uint64 {
	var sum ResourceTime
	for _, worker := range s.world.Workers {
		for _, t := range worker.Tasks {
			if t.Phase == model.PhaseRunning || t.Phase == model.PhaseCheckpointing {
				sum.add(usageOver(t.Spec.Demand, tick))
			}
		}
	}
	return sum.CPU
}

// randomDuration draws a duration that is at least minimum and less than limit.
func (s *simulation) randomDuration(minimum, limit time.Duration) time.Duration {
	return minimum + time.Duration(s.eventRand.Int64N(int64(limit-minimum)))
}

// scheduleOnDay schedules an action for a random time on a day. The caller must sort the schedule afterwards.
func (s *simulation) scheduleOnDay(date time.Time, run func()) {
	s.scheduled.append(date.Add(s.randomDuration(0, day).Truncate(tick)), run)
}

// scheduleAfter schedules an action for a delay after the present simulated time.
func (s *simulation) scheduleAfter(delay time.Duration, run func()) {
	s.scheduled.insert(s.world.Now().Add(delay), run)
}

// endFaults stops the injection of faults, lets the deployment recover, and cancels all jobs. It then advances the time
// so that all usage is settled.
func (s *simulation) endFaults() {
	s.faultsEnded = true
	s.scheduled.dropAfter(s.world.Now().Add(scheduledTimeAfterFaults))
	s.advance(recoveryTime)
	for id := range s.world.Specs {
		s.cancel(id)
	}
	s.advance(cancellationTime)
}
