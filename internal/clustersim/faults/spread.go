package faults

import (
	"fmt"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// spreadPhase is the time from the first submissions to the end of all faults of Run.
const spreadPhase = 150 * second

// Run simulates deployments with three controllers and faults that are spread over the run. Each run begins with the
// given number of machines. The first run uses seed, and each further run the next seed up; at most parallel runs are
// simulated concurrently. Run returns the combined result of all runs.
func Run(machines, runs int, seed uint64, parallel int) *Result {
	return runAll(runs, seed, parallel, func(seed uint64) *Result { return runSpread(machines, seed) })
}

// runSpread simulates one run with faults that are spread over it.
func runSpread(machines int, seed uint64) *Result {
	s := newSimulation(seed, faultStream)
	s.world = newWorld(3, machines)
	s.world.RunTimeOf = func(id model.TaskID) time.Duration {
		return 5*second + time.Duration(id.Index%7)*5*second
	}
	s.world.Advance(settleTime)
	s.scheduleSubmissions(machines)
	s.scheduleCancellations(machines / 20)
	s.scheduleBlockedWorkers(machines)
	s.scheduleDuplicateHeartbeats(2 * machines)
	s.scheduleWorkerRestarts(machines)
	s.scheduleControllerRestarts()
	s.scheduleIsolatedControllers()
	s.scheduleOutage()
	s.advance(spreadPhase, recoveryPhase)
	s.summarize()
	return s.result
}

// scheduleSubmissions schedules the submissions of arrays, services and gangs.
func (s *simulation) scheduleSubmissions(machines int) {
	id := 0
	schedule := func(shape model.Shape, tasks int, class string) {
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
		s.scheduleAfter(s.randomDuration(spreadPhase), func() { s.submitSomewhere(spec) })
	}
	for range machines / 8 {
		schedule(model.Array, 1+s.random.IntN(max(machines/4, 2)), "arrays")
		schedule(model.Service, 2+s.random.IntN(6), "services")
	}
	for range max(machines/40, 1) {
		schedule(model.Gang, 2+s.random.IntN(8), "gangs")
	}
}

// submitSomewhere tries the controllers in random order until one accepts the job. The job is dropped if none does.
func (s *simulation) submitSomewhere(spec *model.Spec) {
	for _, i := range s.random.Perm(len(s.world.Controllers)) {
		if c := s.world.Controllers[i]; c.Up && s.world.Submit(c, spec) == nil {
			s.recordSubmission(spec)
			return
		}
	}
}

// scheduleCancellations schedules cancellations of random jobs.
func (s *simulation) scheduleCancellations(count int) {
	for range count {
		s.scheduleAfter(s.randomDuration(spreadPhase), func() {
			if len(s.jobs) > 0 {
				if j := s.jobs[s.random.IntN(len(s.jobs))]; !j.cancelled {
					s.cancel(s.randomController(), j)
				}
			}
		})
	}
}

// scheduleBlockedWorkers schedules workers whose inbound messages are blocked for a while, sometimes many at a time.
func (s *simulation) scheduleBlockedWorkers(machines int) {
	for range 1 + s.random.IntN(machines/20+1) {
		at, duration := s.randomDuration(spreadPhase-30*second), 5*second+s.randomDuration(40*second)
		s.scheduleAfter(at, func() { s.blockWorker(duration, spreadPhase-at) })
	}
}

// blockWorker blocks the inbound messages of a random worker for a duration, but not beyond the end of the fault phase.
func (s *simulation) blockWorker(duration, untilPhaseEnd time.Duration) {
	worker := s.randomWorker()
	if worker == nil || worker.InboundBlocked {
		return
	}
	worker.InboundBlocked, s.blockedSince[worker.Name] = true, s.world.Now()
	s.scheduleAfter(min(duration, untilPhaseEnd), func() {
		worker.InboundBlocked = false
		sameWorker := s.world.Workers[worker.Name] == worker
		if !s.detectedBlocked[worker.Name] && duration > s.world.Lease && sameWorker {
			s.result.UndetectedWorkers++
		}
		delete(s.blockedSince, worker.Name)
	})
}

// scheduleDuplicateHeartbeats schedules copies of heartbeats. Each is drawn from the retained heartbeats at a random
// time, and its copy arrives up to three worker leases after that.
func (s *simulation) scheduleDuplicateHeartbeats(count int) {
	w := s.world
	for range count {
		s.scheduleAfter(s.randomDuration(spreadPhase), func() {
			if len(w.RetainedHeartbeats) > 0 {
				heartbeat := w.RetainedHeartbeats[s.random.IntN(len(w.RetainedHeartbeats))]
				s.scheduleAfter(s.randomDuration(3*w.Lease), func() { w.ReplayHeartbeat(s.randomController(), heartbeat) })
			}
		})
	}
}

// scheduleWorkerRestarts schedules workers that crash and restart at once.
func (s *simulation) scheduleWorkerRestarts(machines int) {
	for range 1 + s.random.IntN(machines/30+1) {
		s.scheduleAfter(s.randomDuration(spreadPhase), func() {
			if worker := s.randomWorker(); worker != nil {
				s.world.RestartWorker(worker)
			}
		})
	}
}

// scheduleControllerRestarts schedules controllers that crash and restart, mostly within half a second and otherwise
// within 8 seconds.
func (s *simulation) scheduleControllerRestarts() {
	for range 1 + s.random.IntN(5) {
		at, downtime := s.randomDuration(spreadPhase-10*second), 50*time.Millisecond+s.randomDuration(450*time.Millisecond)
		if s.random.IntN(3) == 0 {
			downtime = s.randomDuration(8 * second)
		}
		s.scheduleAfter(at, func() {
			if c := s.randomController(); c.Up {
				c.Crash()
				s.scheduleAfter(downtime, c.Start)
			}
		})
	}
}

// scheduleIsolatedControllers schedules controllers that are partitioned for a while from the state service and from
// the other controllers, but not from the workers.
func (s *simulation) scheduleIsolatedControllers() {
	for range 1 + s.random.IntN(2) {
		at, duration := s.randomDuration(spreadPhase/2), 10*second+s.randomDuration(40*second)
		s.scheduleAfter(at, func() {
			c := s.randomController()
			c.StateUnreachable, c.PeersUnreachable = true, true
			s.scheduleAfter(duration, func() { c.StateUnreachable, c.PeersUnreachable = false, false })
		})
	}
}

// scheduleOutage schedules an outage of the state service in about half of the runs.
func (s *simulation) scheduleOutage() {
	if s.random.IntN(2) != 0 {
		return
	}
	duration := 3*second + s.randomDuration(12*second)
	s.scheduleAfter(s.randomDuration(spreadPhase-20*second), func() {
		s.world.State.SetDown(true)
		s.scheduleAfter(duration, func() { s.world.State.SetDown(false) })
	})
}
