package faults

import (
	"time"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/fake"
)

// A starter begins a fault and returns what ends it.
type starter func(s *simulation) (end func())

// faultStarters are the faults that overlap. Their names are published in the result, and the order of the names is
// part of what a seed draws: they do not change.
var faultStarters = map[string]starter{
	// Controllers and the state service.
	"refused":                         (*simulation).blockState,
	"refused, then an outage for all": (*simulation).blockStateThenOutage,
	"unread":                          (*simulation).blockReads,
	"cut off":                         (*simulation).isolateController,
	"no workers":                      (*simulation).blockWorkersOfController,
	"frozen":                          (*simulation).freezeController,
	"apart":                           (*simulation).partitionControllers,
	"outage":                          (*simulation).outage,
	"crash":                           (*simulation).crashController,
	"blink":                           (*simulation).restartController,
	"hand over":                       (*simulation).resignLeadership,
	"all crash":                       (*simulation).crashAllControllers,

	// Workers.
	"deaf":                       (*simulation).blockInbound,
	"mute":                       (*simulation).blockOutbound,
	"half a zone mute or deaf":   (*simulation).blockHalfZone,
	"out of reach":               (*simulation).partitionWorkers,
	"hung":                       (*simulation).hangWorkers,
	"cancelled and hung at once": (*simulation).cancelAndHang,
	"machines back at once":      (*simulation).restartWorkers,
	"machines up at once":        (*simulation).bootFast,

	// Messages and users.
	"only answers to writes are lost": (*simulation).startLosingCommitAnswers,
	"late writes":                     (*simulation).startDelayingCommits,
	"reports for the next leader":     (*simulation).replayToNextLeader,
	"late reports":                    (*simulation).replayHeartbeats,
	"held commands":                   (*simulation).disturbCommands,
	"repeated commands":               (*simulation).repeatCommands,
	cancellationsFault:                (*simulation).cancelJobs,
	"cancelled at the end":            (*simulation).startCancellingAtEnd,
}

// noEnd is the end of a fault that ends by itself.
func noEnd() {}

// leaderOrRandom is mostly the leader, and else a random member.
func (s *simulation) leaderOrRandom() *fake.Controller {
	if leader := s.world.Leader(); leader != nil && s.random.IntN(4) > 0 {
		return leader
	}
	return s.randomController()
}

// faultAtLeader gives a member a fault, mostly the leader.
func (s *simulation) faultAtLeader(set func(faults *fake.ControllerFaults, active bool)) (end func()) {
	c := s.leaderOrRandom()
	set(&c.ControllerFaults, true)
	return func() { set(&c.ControllerFaults, false) }
}

func (s *simulation) blockState() (end func()) {
	return s.faultAtLeader(func(faults *fake.ControllerFaults, active bool) { faults.StateUnreachable = active })
}

// blockStateThenOutage cuts the leader off from the state service, has other members confirm cancellations that it does
// not learn of, and forget that they did, and then begins an outage for all.
func (s *simulation) blockStateThenOutage() (end func()) {
	w, leader := s.world, s.leaderOrRandom()
	leader.StateUnreachable = true
	ahead := s.randomUpTo(4 * second)
	s.planIn(s.randomUpTo(ahead), func() {
		for _, c := range w.Controllers {
			if c == leader || !c.Up {
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
	s.planIn(ahead, func() {
		w.State.SetDown(true)
		s.planIn(w.CancelDeadline+10*second, func() { w.State.SetDown(false) })
	})
	return func() { leader.StateUnreachable = false }
}

func (s *simulation) blockReads() (end func()) {
	return s.faultAtLeader(func(faults *fake.ControllerFaults, active bool) { faults.ReadsBlocked = active })
}

// isolateController cuts a member off from all but the workers.
func (s *simulation) isolateController() (end func()) {
	return s.faultAtLeader(func(faults *fake.ControllerFaults, active bool) {
		faults.StateUnreachable, faults.PeersUnreachable = active, active
	})
}

func (s *simulation) blockWorkersOfController() (end func()) {
	return s.faultAtLeader(func(faults *fake.ControllerFaults, active bool) { faults.WorkersUnreachable = active })
}

func (s *simulation) freezeController() (end func()) {
	return s.faultAtLeader(func(faults *fake.ControllerFaults, active bool) { faults.Frozen = active })
}

func (s *simulation) partitionControllers() (end func()) {
	s.world.ControllersPartitioned = true
	return func() { s.world.ControllersPartitioned = false }
}

func (s *simulation) outage() (end func()) {
	s.world.State.SetDown(true)
	return func() { s.world.State.SetDown(false) }
}

// crash ends a member for some time.
func (s *simulation) crash(c *fake.Controller, downtime time.Duration) {
	if !c.Up {
		return
	}
	c.Crash()
	s.planIn(downtime, func() {
		if !c.Up {
			c.Start()
		}
	})
}

func (s *simulation) crashController() (end func()) {
	c := s.leaderOrRandom()
	s.crash(c, 50*time.Millisecond+s.randomUpTo(5*second))
	return noEnd
}

func (s *simulation) restartController() (end func()) {
	c := s.leaderOrRandom()
	s.crash(c, 50*time.Millisecond+s.randomUpTo(300*time.Millisecond))
	return noEnd
}

func (s *simulation) resignLeadership() (end func()) {
	s.world.StepElection(s.leaderOrRandom(), election.Resign{})
	return noEnd
}

func (s *simulation) crashAllControllers() (end func()) {
	for _, c := range s.world.Controllers {
		s.crash(c, 100*time.Millisecond+s.randomUpTo(6*second))
	}
	return noEnd
}
