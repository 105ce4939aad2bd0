package faults

import (
	"context"
	"net/http"
	"slices"

	"github.com/glentiller/glentiller/internal/fake"
)

const (
	replayedAtTakeover  = 200 // heartbeats that replayToNextLeader replays
	replayedHeartbeats  = 200 // by replayHeartbeats
	repeatedCommands    = 20  // by repeatCommands
	shareCancelledAtEnd = 0.5
)

// startDelayingCommits has the network delay a third of the transactions.
func (s *simulation) startDelayingCommits() (end func()) {
	s.world.InterceptCommit = s.delayCommit
	return func() { s.world.InterceptCommit = nil }
}

// delayCommit has one in three transactions carried out seconds later.
func (s *simulation) delayCommit(_ *fake.Controller, body []byte) (bool, error) {
	if s.random.IntN(3) > 0 {
		return false, nil
	}
	body = slices.Clone(body)
	s.planIn(2*second+s.randomUpTo(10*second), func() { s.commit(body) })
	return true, context.DeadlineExceeded
}

// startLosingCommitAnswers has the answers to a third of the transactions lost.
func (s *simulation) startLosingCommitAnswers() (end func()) {
	s.world.InterceptCommit = s.loseCommitAnswer
	return func() { s.world.InterceptCommit = nil }
}

// loseCommitAnswer has one in three transactions carried out, and its answer lost.
func (s *simulation) loseCommitAnswer(_ *fake.Controller, body []byte) (bool, error) {
	if s.random.IntN(3) > 0 {
		return false, nil
	}
	s.commit(body)
	return true, context.DeadlineExceeded
}

// commit has the state service take a transaction, whose conditions may have failed meanwhile.
func (s *simulation) commit(body []byte) {
	_, _ = s.world.State.Call(http.MethodPost, "/commit", body, second) // nobody learns of the answer
}

// replayToNextLeader replays the last heartbeats to all members as soon as another leader acts.
func (s *simulation) replayToNextLeader() (end func()) {
	w := s.world
	former, retained := w.Leader(), slices.Clone(w.RetainedHeartbeats)
	var wait func()
	wait = func() {
		if leader := w.Leader(); leader == nil || leader == former {
			s.planIn(second/2, wait)
			return
		}
		for _, c := range w.Controllers {
			for _, heartbeat := range retained[max(0, len(retained)-replayedAtTakeover):] {
				w.ReplayHeartbeat(c, heartbeat)
			}
		}
	}
	s.planIn(second/2, wait)
	return noEnd
}

// replayHeartbeats replays heartbeats at random times to random members.
func (s *simulation) replayHeartbeats() (end func()) {
	w, active := s.world, true
	for range replayedHeartbeats {
		s.planIn(s.randomUpTo(40*second), func() {
			if active && len(w.RetainedHeartbeats) > 0 {
				c := s.randomController()
				w.ReplayHeartbeat(c, w.RetainedHeartbeats[s.random.IntN(len(w.RetainedHeartbeats))])
			}
		})
	}
	return func() { active = false }
}

// disturbCommands has direct commands or their answers delayed or lost.
func (s *simulation) disturbCommands() (end func()) {
	deliveries := [...]fake.Delivery{fake.Delivered, fake.Delayed, fake.AnswerLost, fake.Dropped}
	s.world.NextDelivery = func() fake.Delivery { return deliveries[s.random.IntN(len(deliveries))] }
	return func() {
		s.world.NextDelivery = nil
		s.world.DeliverHeldCommands()
	}
}

// repeatCommands repeats direct commands that were carried out within the last three leases.
func (s *simulation) repeatCommands() (end func()) {
	w := s.world
	for range repeatedCommands {
		s.planIn(s.randomUpTo(20*second), func() {
			if len(w.RepeatableCommands) == 0 {
				return
			}
			command := w.RepeatableCommands[s.random.IntN(len(w.RepeatableCommands))]
			if w.Now().Sub(command.DeliveredAt) < 3*w.Lease {
				command.Repeat()
			}
		})
	}
	return noEnd
}

// cancelJobs cancels random jobs.
func (s *simulation) cancelJobs() (end func()) {
	for range 4 + s.random.IntN(8) {
		s.planIn(s.randomUpTo(12*second), func() {
			if len(s.jobs) == 0 {
				return
			}
			j, c := s.jobs[s.random.IntN(len(s.jobs))], s.randomController()
			if !j.cancelled && c.Up && !c.Frozen {
				s.cancel(c, j)
			}
		})
	}
	return noEnd
}

// startCancellingAtEnd has half of the jobs cancelled as their last task ends.
func (s *simulation) startCancellingAtEnd() (end func()) {
	s.cancelAtEnd = shareCancelledAtEnd
	return func() { s.cancelAtEnd = 0 }
}
