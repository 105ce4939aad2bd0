package faults

import (
	"time"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/fake"
)

// faultStarter begins a fault and returns the function that ends it.
type faultStarter func(s *simulation) (end func())

// faultStarters are the faults that RunOverlapping draws from, by name. The names must not change: they are published
// in the result, and their order determines which faults a seed draws.
var faultStarters = map[string]faultStarter{
	// Faults of controllers and the state service.
	"refused":                         (*simulation).blockStateService,
	"refused, then an outage for all": (*simulation).blockStateServiceThenOutage,
	"unread":                          (*simulation).blockStateServiceReads,
	"cut off":                         (*simulation).isolateController,
	"no workers":                      (*simulation).blockWorkersOfController,
	"frozen":                          (*simulation).freezeController,
	"apart":                           (*simulation).partitionControllers,
	"outage":                          (*simulation).startOutage,
	"crash":                           (*simulation).crashController,
	"blink":                           (*simulation).restartController,
	"hand over":                       (*simulation).resignLeadership,
	"all crash":                       (*simulation).crashAllControllers,

	// Faults of workers.
	"deaf":                       (*simulation).blockInbound,
	"mute":                       (*simulation).blockOutbound,
	"half a zone mute or deaf":   (*simulation).blockHalfZone,
	"out of reach":               (*simulation).partitionWorkers,
	"hung":                       (*simulation).hangWorkers,
	"cancelled and hung at once": (*simulation).cancelAndHang,
	"machines back at once":      (*simulation).restartWorkers,
	"machines up at once":        (*simulation).shortenBootTime,

	// Disturbed messages, and cancellations by users.
	"only answers to writes are lost": (*simulation).startLosingCommitAnswers,
	"late writes":                     (*simulation).startDelayingCommits,
	"reports for the next leader":     (*simulation).replayHeartbeatsToNextLeader,
	"late reports":                    (*simulation).replayHeartbeats,
	"held commands":                   (*simulation).disturbCommands,
	"repeated commands":               (*simulation).repeatCommands,
	cancellationsFaultName:            (*simulation).cancelJobs,
	"cancelled at the end":            (*simulation).startCancellingAtEnd,
}

// noEnd is the end function of a fault that ends by itself.
func noEnd() {}

// leaderOrRandomController returns the leader with a probability of at least 3/4, and otherwise a random controller. It
// always returns a random controller if there is no leader.
func (s *simulation) leaderOrRandomController() *fake.Controller {
	if leader := s.world.Leader(); leader != nil && s.random.IntN(4) > 0 {
		return leader
	}
	return s.randomController()
}

// startControllerFault sets a fault at a controller, mostly the leader, and returns the function that clears it. The
// callback set sets the fault if active is true, and clears it otherwise.
func (s *simulation) startControllerFault(set func(faults *fake.ControllerFaults, active bool)) (end func()) {
	c := s.leaderOrRandomController()
	set(&c.ControllerFaults, true)
	return func() { set(&c.ControllerFaults, false) }
}

func (s *simulation) blockStateService() (end func()) {
	return s.startControllerFault(func(faults *fake.ControllerFaults, active bool) { faults.StateUnreachable = active })
}

// blockStateServiceThenOutage first partitions a controller, mostly the leader, from the state service. The other
// controllers then confirm cancellations that the partitioned one does not learn of, and some of them restart and so
// forget what they confirmed. Finally, the state service has an outage.
func (s *simulation) blockStateServiceThenOutage() (end func()) {
	w, partitioned := s.world, s.leaderOrRandomController()
	partitioned.StateUnreachable = true
	outageDelay := s.randomDuration(4 * second)
	s.scheduleAfter(s.randomDuration(outageDelay), func() {
		for _, c := range w.Controllers {
			if c == partitioned || !c.Up {
				continue
			}
			if len(s.jobs) > 0 && !c.Frozen {
				s.cancel(c, s.jobs[s.random.IntN(len(s.jobs))])
			}
			if s.random.IntN(2) == 0 {
				c.Crash()
				c.Start()
			}
		}
	})
	s.scheduleAfter(outageDelay, func() {
		w.State.SetDown(true)
		s.scheduleAfter(w.CancelDeadline+10*second, func() { w.State.SetDown(false) })
	})
	return func() { partitioned.StateUnreachable = false }
}

func (s *simulation) blockStateServiceReads() (end func()) {
	return s.startControllerFault(func(faults *fake.ControllerFaults, active bool) { faults.ReadsBlocked = active })
}

// isolateController partitions a controller from the state service and from the other controllers, but not from the
// workers.
func (s *simulation) isolateController() (end func()) {
	return s.startControllerFault(func(faults *fake.ControllerFaults, active bool) {
		faults.StateUnreachable, faults.PeersUnreachable = active, active
	})
}

func (s *simulation) blockWorkersOfController() (end func()) {
	return s.startControllerFault(func(faults *fake.ControllerFaults, active bool) { faults.WorkersUnreachable = active })
}

func (s *simulation) freezeController() (end func()) {
	return s.startControllerFault(func(faults *fake.ControllerFaults, active bool) { faults.Frozen = active })
}

func (s *simulation) partitionControllers() (end func()) {
	s.world.ControllersPartitioned = true
	return func() { s.world.ControllersPartitioned = false }
}

func (s *simulation) startOutage() (end func()) {
	s.world.State.SetDown(true)
	return func() { s.world.State.SetDown(false) }
}

// crashFor crashes a controller and restarts it after the downtime.
func (s *simulation) crashFor(c *fake.Controller, downtime time.Duration) {
	if !c.Up {
		return
	}
	c.Crash()
	s.scheduleAfter(downtime, func() {
		if !c.Up {
			c.Start()
		}
	})
}

func (s *simulation) crashController() (end func()) {
	c := s.leaderOrRandomController()
	s.crashFor(c, 50*time.Millisecond+s.randomDuration(5*second))
	return noEnd
}

func (s *simulation) restartController() (end func()) {
	c := s.leaderOrRandomController()
	s.crashFor(c, 50*time.Millisecond+s.randomDuration(300*time.Millisecond))
	return noEnd
}

// resignLeadership makes a controller, mostly the leader, release its lease and step down. It has no effect on a
// controller that does not lead.
func (s *simulation) resignLeadership() (end func()) {
	s.world.StepElection(s.leaderOrRandomController(), election.Resign{})
	return noEnd
}

func (s *simulation) crashAllControllers() (end func()) {
	for _, c := range s.world.Controllers {
		s.crashFor(c, 100*time.Millisecond+s.randomDuration(6*second))
	}
	return noEnd
}
