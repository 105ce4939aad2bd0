package faults

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/fake"
	"github.com/glentiller/glentiller/internal/model"
)

// Mutation is a deliberate defect in a protocol. Tests inject mutations to show that the invariant checks detect them.
// The empty mutation injects no defect.
type Mutation string

// The mutations that RunOverlapping can inject.
const (
	IgnoreStaleness Mutation = "knows"  // leaders answer workers and start tasks with an outdated view of cancellations
	AcceptAnyToken  Mutation = "tokens" // workers accept commands with any fencing token
	ShortLeases     Mutation = "leases" // leaders assume that workers' leases last for a fifth of their duration
	StaleReads      Mutation = "synced" // controllers answer polls from their cached job records
)

const (
	overlapPhase           = 220 * second             // from the first submissions to the end of all faults
	firstOverlapAt         = 15 * second              // when the first group of faults begins
	lastOverlapAt          = overlapPhase - 70*second // no group of faults begins at or after this time
	workerLeaseFactor      = 5                        // by which the mutation ShortLeases lengthens the workers' leases
	cancellationsFaultName = "cancellations"
)

// RunOverlapping simulates deployments in which several faults begin within seconds of each other, while jobs are
// submitted, cancelled and polled. Some tasks outlast the faults, and the tasks of some jobs end at very different
// times. Each run begins with the given number of machines. The first run uses seed, and each further run the next seed
// up; at most parallel runs are simulated concurrently. RunOverlapping returns the combined result of all runs.
func RunOverlapping(machines, runs int, seed uint64, parallel int, mutation Mutation) *Result {
	return runAll(runs, seed, parallel, func(seed uint64) *Result { return runOverlapping(machines, seed, mutation) })
}

// runOverlapping simulates one run with overlapping faults.
func runOverlapping(machines int, seed uint64, mutation Mutation) *Result {
	s := newSimulation(seed, overlapStream)
	s.result.Overlaps = Overlaps{}
	controllers := []int{2, 3, 3, 5}[s.random.IntN(4)]
	s.world = newWorld(controllers, machines)
	w := s.world
	w.PollOnCommit = true
	w.RunTimeOf = func(id model.TaskID) time.Duration {
		if w.Specs[id.Job].Class == "few" { // a job with few tasks, which end 40 s apart
			return second + time.Duration(id.Index)*40*second
		}
		return 30*second + time.Duration(id.Index%9)*20*second
	}
	applyMutation(w, mutation)
	w.Advance(settleTime)
	for i := range 2 * machines {
		s.scheduleSubmission(i, machines)
	}
	for at := firstOverlapAt; at < lastOverlapAt; {
		s.scheduleOverlap(at)
		at += 30*second + s.randomDuration(45*second)
	}
	s.scheduleAfter(overlapPhase, s.endFaults)
	s.advance(overlapPhase+second, recoveryPhase)
	s.summarize()
	return s.result
}

// applyMutation injects a mutation into a deployment.
func applyMutation(w *fake.World, mutation Mutation) {
	switch mutation {
	case IgnoreStaleness:
		w.StalenessBound.RenewLeases, w.StalenessBound.StartTasks = time.Hour, time.Hour
	case AcceptAnyToken:
		w.AcceptAnyToken = true
	case ShortLeases:
		w.Lease *= workerLeaseFactor
	case StaleReads:
		w.StaleReads = true
	}
}

// scheduleSubmission draws a job and the time of its submission. The user retries until a controller accepts the job.
func (s *simulation) scheduleSubmission(jobNumber, machines int) {
	spec := &model.Spec{
		ID:               fmt.Sprintf("wk-%06d", jobNumber),
		Class:            "few",
		Team:             s.randomTeam(),
		Shape:            model.Array,
		Priority:         model.PriorityNormal,
		Tasks:            2 + s.random.IntN(2),
		Demand:           model.Resources{CPU: 2, MemGB: 4},
		Image:            "img",
		ImageGB:          1,
		EstimatedRunTime: 40 * second,
		AllowSpot:        true,
	}
	switch s.random.IntN(5) {
	case 0:
		spec.Class, spec.Tasks = "arrays", 1+s.random.IntN(max(machines/3, 2))
		if s.random.IntN(2) == 0 {
			spec.CheckpointInterval, spec.CheckpointTime = 10*second, 4*second
		}
	case 1:
		spec.Class, spec.Shape, spec.Tasks = "gangs", model.Gang, 2+s.random.IntN(3)
	case 2:
		spec.Class, spec.Shape, spec.Priority, spec.Spread = "services", model.Service, model.PriorityProduction, true
	}
	var submit func()
	submit = func() {
		if c := s.randomController(); c.Up && !c.Frozen && s.world.Submit(c, spec) == nil {
			s.recordSubmission(spec)
			return
		}
		s.scheduleAfter(retryInterval, submit)
	}
	s.scheduleAfter(s.randomDuration(overlapPhase/2), submit)
}

// scheduleOverlap schedules two or three different faults that begin within five seconds of each other, and
// cancellations if they are not among them.
func (s *simulation) scheduleOverlap(at time.Duration) {
	names := slices.Sorted(maps.Keys(faultStarters))
	s.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	names = names[:2+s.random.IntN(2)]
	if !slices.Contains(names, cancellationsFaultName) {
		names = append(names, cancellationsFaultName)
	}
	for i, name := range names {
		for _, other := range names[:i] {
			s.result.Overlaps[min(name, other)+" + "+max(name, other)]++
		}
		duration := second + s.randomDuration(15*second)
		if s.random.IntN(3) == 0 {
			duration = s.randomDuration(60 * second)
		}
		s.scheduleAfter(at+s.randomDuration(5*second), func() {
			end := faultStarters[name](s)
			s.scheduleAfter(duration, end)
		})
	}
}

// cancelSomeCompleted cancels a random part of the jobs whose last task has just completed. A cancellation may arrive
// before or after the leader learns of the completion.
func (s *simulation) cancelSomeCompleted() {
	for _, j := range s.jobs {
		if j.completed || j.cancelled || !s.world.AllCompleted(j.spec.ID) {
			continue
		}
		j.completed = true
		if s.random.Float64() < s.completedCancelShare {
			s.scheduleAfter(s.randomDuration(second), func() {
				if c := s.randomController(); c.Up && !c.Frozen {
					s.cancel(c, j)
					s.world.PollAll(j.spec.ID)
				}
			})
		}
	}
}

// endFaults ends all faults that are still active.
func (s *simulation) endFaults() {
	w := s.world
	w.State.SetDown(false)
	w.InterceptCommit, w.NextDelivery, w.StateLatency, w.ControllersPartitioned = nil, nil, nil, false
	for _, c := range w.Controllers {
		c.ControllerFaults = fake.ControllerFaults{}
		if !c.Up {
			c.Start()
		}
	}
	for _, worker := range w.Workers {
		worker.InboundBlocked, worker.OutboundBlocked, worker.Partitioned, worker.Hung = false, false, false, false
	}
	w.DeliverHeldCommands()
	w.MarkFaultsEnded()
}
