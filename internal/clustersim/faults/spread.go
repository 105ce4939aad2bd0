package faults

import (
	"fmt"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// spreadPhase is from the first submissions to the end of all faults of Run.
const spreadPhase = 150 * second

// Run draws runs with three members from a seed on, each with faults that are spread over it, and makes some of them in
// parallel.
func Run(machines, runs int, seed uint64, parallel int) *Result {
	return runAll(runs, seed, parallel, func(seed uint64) *Result { return runSpread(machines, seed) })
}

// runSpread makes one run.
func runSpread(machines int, seed uint64) *Result {
	s := newSimulation(seed, faultStream)
	s.world = newWorld(3, machines)
	s.world.RunTimeOf = func(id model.TaskID) time.Duration {
		return 5*second + time.Duration(id.Index%7)*5*second
	}
	s.world.Advance(settleTime)
	s.planJobs(machines)
	s.planCancellations(machines / 20)
	s.planBlockedWorkers(machines)
	s.planDuplicateHeartbeats(2 * machines)
	s.planWorkerRestarts(machines)
	s.planControllerRestarts()
	s.planIsolatedControllers()
	s.planOutage()
	s.advance(spreadPhase, recoveryPhase)
	s.summarize()
	return s.result
}

// planJobs plans the submissions.
func (s *simulation) planJobs(machines int) {
	id := 0
	plan := func(shape model.Shape, tasks int, class string) {
		id++
		spec := &model.Spec{
			ID:               fmt.Sprintf("wk-%06d", id),
			Class:            class,
			Team:             s.randomTeam(),
			Shape:            shape,
			Priority:         model.PriorityNormal,
			Tasks:            tasks,
			Demand:           model.Resources{CPU: 4, MemGB: 8},
			Image:            "img",
			ImageGB:          1,
			EstimatedRunTime: 20 * second,
			AllowSpot:        true,
		}
		if shape == model.Service {
			spec.Priority, spec.Spread = model.PriorityProduction, true
		}
		s.planIn(s.randomUpTo(spreadPhase), func() { s.submitSomewhere(spec) })
	}
	for range machines / 8 {
		plan(model.Array, 1+s.random.IntN(max(machines/4, 2)), "arrays")
		plan(model.Service, 2+s.random.IntN(6), "services")
	}
	for range max(machines/40, 1) {
		plan(model.Gang, 2+s.random.IntN(8), "gangs")
	}
}

// submitSomewhere submits a job through the first member, in a random order, that accepts it.
func (s *simulation) submitSomewhere(spec *model.Spec) {
	for _, i := range s.random.Perm(len(s.world.Controllers)) {
		if c := s.world.Controllers[i]; c.Up && s.world.Submit(c, spec) == nil {
			s.submitted(spec)
			return
		}
	}
}

// planCancellations plans cancellations of random jobs.
func (s *simulation) planCancellations(count int) {
	for range count {
		s.planIn(s.randomUpTo(spreadPhase), func() {
			if len(s.jobs) > 0 {
				if j := s.jobs[s.random.IntN(len(s.jobs))]; !j.cancelled {
					s.cancel(s.randomController(), j)
				}
			}
		})
	}
}

// planBlockedWorkers plans machines that receive nothing for a while, sometimes a good part of a zone.
func (s *simulation) planBlockedWorkers(machines int) {
	for range 1 + s.random.IntN(machines/20+1) {
		at, duration := s.randomUpTo(spreadPhase-30*second), 5*second+s.randomUpTo(40*second)
		s.planIn(at, func() { s.blockWorker(duration, spreadPhase-at) })
	}
}

// blockWorker has a random machine receive nothing for some time, or for what is left of the faults.
func (s *simulation) blockWorker(duration, left time.Duration) {
	worker := s.randomWorker()
	if worker == nil || worker.InboundBlocked {
		return
	}
	worker.InboundBlocked, s.blockedSince[worker.Name] = true, s.world.Now()
	s.planIn(min(duration, left), func() {
		worker.InboundBlocked = false
		stillUp := s.world.Workers[worker.Name] == worker
		if !s.detected[worker.Name] && duration > s.world.Lease && stillUp {
			s.result.Undetected++
		}
		delete(s.blockedSince, worker.Name)
	})
}

// planDuplicateHeartbeats plans copies of heartbeats that arrive from seconds to well over a lease late.
func (s *simulation) planDuplicateHeartbeats(count int) {
	w := s.world
	for range count {
		s.planIn(s.randomUpTo(spreadPhase), func() {
			if len(w.RetainedHeartbeats) > 0 {
				heartbeat := w.RetainedHeartbeats[s.random.IntN(len(w.RetainedHeartbeats))]
				s.planIn(s.randomUpTo(3*w.Lease), func() { w.ReplayHeartbeat(s.randomController(), heartbeat) })
			}
		})
	}
}

// planWorkerRestarts plans machines that restart at once.
func (s *simulation) planWorkerRestarts(machines int) {
	for range 1 + s.random.IntN(machines/30+1) {
		s.planIn(s.randomUpTo(spreadPhase), func() {
			if worker := s.randomWorker(); worker != nil {
				s.world.RestartWorker(worker)
			}
		})
	}
}

// planControllerRestarts plans members that crash and are back at once, or after some seconds.
func (s *simulation) planControllerRestarts() {
	for range 1 + s.random.IntN(5) {
		at, downtime := s.randomUpTo(spreadPhase-10*second), 50*time.Millisecond+s.randomUpTo(450*time.Millisecond)
		if s.random.IntN(3) == 0 {
			downtime = s.randomUpTo(8 * second)
		}
		s.planIn(at, func() {
			if c := s.randomController(); c.Up {
				c.Crash()
				s.planIn(downtime, c.Start)
			}
		})
	}
}

// planIsolatedControllers plans members that only the workers reach.
func (s *simulation) planIsolatedControllers() {
	for range 1 + s.random.IntN(2) {
		at, duration := s.randomUpTo(spreadPhase/2), 10*second+s.randomUpTo(40*second)
		s.planIn(at, func() {
			c := s.randomController()
			c.StateUnreachable, c.PeersUnreachable = true, true
			s.planIn(duration, func() { c.StateUnreachable, c.PeersUnreachable = false, false })
		})
	}
}

// planOutage plans an outage of the state service in every second run.
func (s *simulation) planOutage() {
	if s.random.IntN(2) != 0 {
		return
	}
	duration := 3*second + s.randomUpTo(12*second)
	s.planIn(s.randomUpTo(spreadPhase-20*second), func() {
		s.world.State.SetDown(true)
		s.planIn(duration, func() { s.world.State.SetDown(false) })
	})
}
