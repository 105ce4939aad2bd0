// Package ledgersim simulates days of synthetic submissions on the in-memory stand-ins, in simulated time, with
// leaders and all controllers killed, outages of the state service, late transactions, lost answers, a leader of a
// version without a ledger, and clocks that jump. Run compares the ledger with the account that the stand-ins keep by
// themselves. One seed draws one plan.
package ledgersim

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/glentiller/glentiller/internal/config"
	"github.com/glentiller/glentiller/internal/fake"
	"github.com/glentiller/glentiller/internal/model"
)

const day = 24 * time.Hour

// The streams of random numbers that a seed gives.
const (
	planStream   = 7
	commitStream = 8
)

// simulation is a run.
type simulation struct {
	world       *fake.World
	random      *rand.Rand // of the plan and of what users do
	commits     *rand.Rand // of transactions, whose number differs from run to run
	seed        uint64
	audit       *audit
	result      *Result
	plan        []event
	delayed     []event // transactions that are carried out later
	faultsEnded bool    // transactions are carried out and answered
	runTimes    map[string]time.Duration
	jobCount    int
	platform    *config.Platform
}

// event is something that is planned.
type event struct {
	at     time.Time
	action func()
}

// Run simulates some days with a seed. progress, if not nil, is called after each day.
func Run(days int, seed uint64, progress func(day int)) *Result {
	platform := newPlatform()
	s := &simulation{
		world:    newWorld(platform),
		random:   rand.New(rand.NewPCG(seed, planStream)),
		commits:  rand.New(rand.NewPCG(seed, commitStream)),
		seed:     seed,
		result:   &Result{Days: days, Seed: seed},
		runTimes: map[string]time.Duration{},
		platform: platform,
	}
	s.audit = newAudit(s.world)
	s.world.RunTimeOf = s.runTime
	s.world.InterceptCommit = s.interceptCommit
	start := s.world.Now()
	for i := range days {
		begin := start.Add(time.Duration(i) * day)
		s.planSubmissions(begin)
		s.planFaults(begin, i)
	}
	sort.SliceStable(s.plan, func(i, j int) bool { return s.plan[i].at.Before(s.plan[j].at) })
	for i := range days {
		s.advanceTo(start.Add(time.Duration(i+1) * day))
		if progress != nil {
			progress(i + 1)
		}
	}
	s.endFaults()
	s.compare(s.world.Now().Sub(start))
	return s.result
}

// advanceTo lets time pass and carries out what is planned.
func (s *simulation) advanceTo(end time.Time) {
	for s.world.Now().Before(end) {
		s.runDue(&s.plan)
		s.runDue(&s.delayed)
		running := s.runningCPU()
		s.world.Advance(tick)
		s.result.PhysicalCPU += running
	}
}

// runDue carries out the events of a list that are due.
func (s *simulation) runDue(list *[]event) {
	for len(*list) > 0 && !(*list)[0].at.After(s.world.Now()) {
		action := (*list)[0].action
		*list = (*list)[1:]
		action()
	}
}

// runningCPU is the CPU time that is used on the workers in one tick.
func (s *simulation) runningCPU() uint64 {
	var sum Amount
	for _, worker := range s.world.Workers {
		for _, t := range worker.Tasks {
			if t.Phase == model.PhaseRunning || t.Phase == model.PhaseCheckpointing {
				sum.add(usageOver(t.Spec.Demand, tick))
			}
		}
	}
	return sum.CPU
}

// randomDuration draws a duration.
func (s *simulation) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

// randomController draws a controller.
func (s *simulation) randomController() *fake.Controller {
	return s.world.Controllers[s.random.IntN(len(s.world.Controllers))]
}

// planOn plans an action for a random time of a day.
func (s *simulation) planOn(begin time.Time, action func()) {
	s.plan = append(s.plan, event{begin.Add(s.randomDuration(0, day).Truncate(tick)), action})
}

// planIn plans an action after a delay.
func (s *simulation) planIn(delay time.Duration, action func()) { s.insert(&s.plan, delay, action) }

// insert puts an action into a sorted list of events.
func (s *simulation) insert(list *[]event, delay time.Duration, action func()) {
	e := event{s.world.Now().Add(delay), action}
	i := sort.Search(len(*list), func(i int) bool { return (*list)[i].at.After(e.at) })
	*list = slices.Insert(*list, i, e)
}

// runTime is how long a task runs: between half and one and a half times what its job says.
func (s *simulation) runTime(id model.TaskID) time.Duration {
	mean := s.runTimes[id.Job]
	return mean/2 + time.Duration(s.taskRand(id).Int64N(int64(mean)+1))
}

// taskRand is a task's own source of random numbers: what it draws does not depend on the order in which tasks start,
// which differs between runs of one seed.
func (s *simulation) taskRand(id model.TaskID) *rand.Rand {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, id.Job, "/", id.Index) // a hash takes all that is written
	return rand.New(rand.NewPCG(s.seed, h.Sum64()))
}
