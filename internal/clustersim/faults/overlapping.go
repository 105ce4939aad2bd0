package faults

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/fake"
	"github.com/glentiller/glentiller/internal/model"
)

// Mutation is a part of the protocol that a run leaves out on purpose, to show that the checks can fail.
type Mutation string

// What can be left out.
const (
	IgnoreStaleness Mutation = "knows"  // a leader answers workers whatever it knows of cancellations
	AcceptAnyToken  Mutation = "tokens" // workers accept commands under any fencing token
	ShortLeases     Mutation = "leases" // leaders take workers' leases for a fifth of what they are
	StaleReads      Mutation = "synced" // a member answers from what it has read last, and not as of now
)

const (
	overlapPhase       = 220 * second // from the first submissions to the end of all faults of RunOverlapping
	firstOverlap       = 15 * second
	lastOverlap        = overlapPhase - 70*second
	leaseFactor        = 5 // by which workers' leases are longer with the mutation ShortLeases
	cancellationsFault = "cancellations"
)

// RunOverlapping draws runs in which two or three faults begin together, with tasks that outlast them and jobs whose
// tasks end far apart, while jobs are cancelled and polled. A seed draws the first run; some runs are made in parallel.
func RunOverlapping(machines, runs int, seed uint64, parallel int, mutation Mutation) *Result {
	return runAll(runs, seed, parallel, func(seed uint64) *Result { return runOverlapping(machines, seed, mutation) })
}

// runOverlapping makes one run.
func runOverlapping(machines int, seed uint64, mutation Mutation) *Result {
	s := newSimulation(seed, overlapStream)
	s.result.Overlaps = Overlaps{}
	members := []int{2, 3, 3, 5}[s.random.IntN(4)]
	s.world = newWorld(members, machines)
	w := s.world
	w.PollOnCommit = true
	w.RunTimeOf = func(id model.TaskID) time.Duration {
		if w.Specs[id.Job].Class == "few" {
			return second + time.Duration(id.Index)*40*second
		}
		return 30*second + time.Duration(id.Index%9)*20*second
	}
	mutate(w, mutation)
	w.Advance(settleTime)
	for i := range 2 * machines {
		s.planSubmission(i, machines)
	}
	for at := firstOverlap; at < lastOverlap; {
		s.planOverlap(at)
		at += 30*second + s.randomUpTo(45*second)
	}
	s.planIn(overlapPhase, s.endFaults)
	s.advance(overlapPhase+second, recoveryPhase)
	s.summarize()
	return s.result
}

// mutate leaves a part of the protocol out.
func mutate(w *fake.World, mutation Mutation) {
	switch mutation {
	case IgnoreStaleness:
		w.StalenessBound.KeepLeases, w.StalenessBound.StartTasks = time.Hour, time.Hour
	case AcceptAnyToken:
		w.AcceptAnyToken = true
	case ShortLeases:
		w.Lease *= leaseFactor
	case StaleReads:
		w.StaleReads = true
	}
}

// planSubmission plans the submission of a job. Its user tries again until it is accepted.
func (s *simulation) planSubmission(number, machines int) {
	spec := &model.Spec{
		ID:               fmt.Sprintf("wk-%06d", number),
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
	var try func()
	try = func() {
		if c := s.randomController(); c.Up && !c.Frozen && s.world.Submit(c, spec) == nil {
			s.submitted(spec)
			return
		}
		s.planIn(retryInterval, try)
	}
	s.planIn(s.randomUpTo(overlapPhase/2), try)
}

// planOverlap plans two or three faults that begin within seconds, and cancellations among them.
func (s *simulation) planOverlap(at time.Duration) {
	names := slices.Sorted(maps.Keys(faultStarters))
	s.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	names = names[:2+s.random.IntN(2)]
	if !slices.Contains(names, cancellationsFault) {
		names = append(names, cancellationsFault)
	}
	for i, name := range names {
		for _, other := range names[:i] {
			s.result.Overlaps[min(name, other)+" + "+max(name, other)]++
		}
		duration := second + s.randomUpTo(15*second)
		if s.random.IntN(3) == 0 {
			duration = s.randomUpTo(60 * second)
		}
		s.planIn(at+s.randomUpTo(5*second), func() {
			end := faultStarters[name](s)
			s.planIn(duration, end)
		})
	}
}

// cancelCompleted cancels a share of the jobs whose last task has just ended, before or after the leader knows of it.
func (s *simulation) cancelCompleted() {
	for _, j := range s.jobs {
		if j.completed || j.cancelled || !s.world.AllCompleted(j.spec.ID) {
			continue
		}
		j.completed = true
		if s.random.Float64() < s.cancelAtEnd {
			s.planIn(s.randomUpTo(second), func() {
				if c := s.randomController(); c.Up && !c.Frozen {
					s.cancel(c, j)
					s.world.PollAll(j.spec.ID)
				}
			})
		}
	}
}

// endFaults ends all faults that have not ended yet.
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
