package faults

import (
	"context"
	"net/http"
	"slices"

	"github.com/glentiller/glentiller/internal/fake"
)

const (
	heartbeatReplaysAfterFailover   = 200 // upper bound of the heartbeats that replayHeartbeatsToNextLeader replays
	heartbeatReplays                = 200 // heartbeats that replayHeartbeats replays
	commandRepeats                  = 20  // commands that repeatCommands repeats
	completedCancelShareDuringFault = 0.5
)

// startDelayingCommits begins to delay a third of the transactions.
func (s *simulation) startDelayingCommits() (end func()) {
	s.world.InterceptCommit = s.delayCommit
	return func() { s.world.InterceptCommit = nil }
}

// delayCommit is a fake.CommitInterceptor that intercepts one in three transactions: the controller gets a timeout, and
// the state service receives the transaction seconds later.
func (s *simulation) delayCommit(_ *fake.Controller, body []byte) (bool, error) {
	if s.random.IntN(3) > 0 {
		return false, nil
	}
	body = slices.Clone(body)
	s.scheduleAfter(2*second+s.randomDuration(10*second), func() { s.commitUnanswered(body) })
	return true, context.DeadlineExceeded
}

// startLosingCommitAnswers begins to lose the answers to a third of the transactions.
func (s *simulation) startLosingCommitAnswers() (end func()) {
	s.world.InterceptCommit = s.loseCommitAnswer
	return func() { s.world.InterceptCommit = nil }
}

// loseCommitAnswer is a fake.CommitInterceptor that intercepts one in three transactions: the state service receives
// the transaction at once, but the controller gets a timeout.
func (s *simulation) loseCommitAnswer(_ *fake.Controller, body []byte) (bool, error) {
	if s.random.IntN(3) > 0 {
		return false, nil
	}
	s.commitUnanswered(body)
	return true, context.DeadlineExceeded
}

// commitUnanswered passes a transaction to the state service and discards the answer. The state service rejects the
// transaction if its conditions no longer hold.
func (s *simulation) commitUnanswered(body []byte) {
	_, _ = s.world.State.Call(http.MethodPost, "/commit", body, second) // the sender no longer waits for the answer
}

// replayHeartbeatsToNextLeader waits until another controller leads, and then replays the most recent heartbeats to all
// controllers.
func (s *simulation) replayHeartbeatsToNextLeader() (end func()) {
	w := s.world
	formerLeader, retained := w.Leader(), slices.Clone(w.RetainedHeartbeats)
	var replayWhenElected func()
	replayWhenElected = func() {
		if leader := w.Leader(); leader == nil || leader == formerLeader {
			s.scheduleAfter(second/2, replayWhenElected)
			return
		}
		for _, c := range w.Controllers {
			for _, heartbeat := range retained[max(0, len(retained)-heartbeatReplaysAfterFailover):] {
				w.ReplayHeartbeat(c, heartbeat)
			}
		}
	}
	s.scheduleAfter(second/2, replayWhenElected)
	return noEnd
}

// replayHeartbeats replays retained heartbeats at random times to random controllers.
func (s *simulation) replayHeartbeats() (end func()) {
	w, active := s.world, true
	for range heartbeatReplays {
		s.scheduleAfter(s.randomDuration(40*second), func() {
			if active && len(w.RetainedHeartbeats) > 0 {
				c := s.randomController()
				w.ReplayHeartbeat(c, w.RetainedHeartbeats[s.random.IntN(len(w.RetainedHeartbeats))])
			}
		})
	}
	return func() { active = false }
}

// disturbCommands randomly delays or drops direct commands, or loses the answers to them.
func (s *simulation) disturbCommands() (end func()) {
	deliveries := [...]fake.Delivery{
		fake.CommandDelivered, fake.CommandDelayed, fake.CommandAnswerLost, fake.CommandDropped,
	}
	s.world.NextDelivery = func() fake.Delivery { return deliveries[s.random.IntN(len(deliveries))] }
	return func() {
		s.world.NextDelivery = nil
		s.world.DeliverHeldCommands()
	}
}

// repeatCommands delivers direct commands again that workers have received within the last three worker leases.
func (s *simulation) repeatCommands() (end func()) {
	w := s.world
	for range commandRepeats {
		s.scheduleAfter(s.randomDuration(20*second), func() {
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

// cancelJobs cancels up to eleven random jobs within twelve seconds.
func (s *simulation) cancelJobs() (end func()) {
	for range 4 + s.random.IntN(8) {
		s.scheduleAfter(s.randomDuration(12*second), func() {
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

// startCancellingAtEnd begins to cancel half of the jobs whose last task completes.
func (s *simulation) startCancellingAtEnd() (end func()) {
	s.completedCancelShare = completedCancelShareDuringFault
	return func() { s.completedCancelShare = 0 }
}
