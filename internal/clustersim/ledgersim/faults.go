package ledgersim

import (
	"errors"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/fake"
	"github.com/glentiller/glentiller/internal/rpc"
)

// The frequency of faults.
const (
	crashesPerDay    = 3
	outagesPerDay    = 2
	clockJumpsPerDay = 3

	// A controller without a ledger leads once in noLedgerPeriodDays, beginning on day noLedgerFirstDay. Days
	// count from 0.
	noLedgerPeriodDays = 3
	noLedgerFirstDay   = 2

	// One in transactionFaultOdds transactions is delayed, and one in as many loses its answer.
	transactionFaultOdds = 120
)

// scheduleFaults schedules the faults of a day. dayIndex counts the days from 0.
func (s *simulation) scheduleFaults(date time.Time, dayIndex int) {
	for range crashesPerDay {
		s.scheduleOnDay(date, func() { s.crash(s.world.Leader()) })
	}
	s.scheduleOnDay(date, s.crashAll)
	for range outagesPerDay {
		s.scheduleOnDay(date, s.outage)
	}
	s.scheduleOnDay(date, s.partitionWorker)
	for range clockJumpsPerDay {
		s.scheduleOnDay(date, s.skewClocks)
	}
	if dayIndex%noLedgerPeriodDays == noLedgerFirstDay {
		s.scheduleOnDay(date, s.leadWithoutLedger)
	}
}

// crash crashes a controller and schedules its restart. It ignores nil and a controller that is down.
func (s *simulation) crash(c *fake.Controller) {
	if c == nil || !c.Up {
		return
	}
	c.Crash()
	s.scheduleAfter(s.randomDuration(5*time.Second, 3*time.Minute), c.Start)
}

// crashAll crashes all controllers at once, possibly while some of their transactions are in transit.
func (s *simulation) crashAll() {
	s.result.FullRestarts++
	for _, c := range s.world.Controllers {
		s.crash(c)
	}
}

// outage takes the state service down for 5 seconds to 4 minutes.
func (s *simulation) outage() {
	s.result.Outages++
	s.world.State.SetDown(true)
	s.scheduleAfter(s.randomDuration(5*time.Second, 4*time.Minute), func() { s.world.State.SetDown(false) })
}

// partitionWorker partitions a worker from all controllers, in some cases for long enough that its lease expires.
func (s *simulation) partitionWorker() {
	names := s.world.WorkerNames()
	if len(names) == 0 {
		return
	}
	worker := s.world.Workers[names[0]]
	worker.Partitioned = true
	s.scheduleAfter(s.randomDuration(20*time.Second, 5*time.Minute), func() { worker.Partitioned = false })
}

// skewClocks sets the wall clock of one controller, or of all controllers, wrong by up to 9 hours.
func (s *simulation) skewClocks() {
	s.result.ClockJumps++
	offset := s.randomDuration(-9*time.Hour, 9*time.Hour)
	skewedIndex := s.eventRand.IntN(2 * len(s.world.Controllers)) // an index beyond the last one selects all
	for i, c := range s.world.Controllers {
		if i == skewedIndex || skewedIndex >= len(s.world.Controllers) {
			c.ClockOffset = offset
		}
	}
	s.scheduleAfter(s.randomDuration(10*time.Minute, 10*time.Hour), func() {
		for _, c := range s.world.Controllers {
			c.ClockOffset = 0
		}
	})
}

// leadWithoutLedger takes all controllers down and restarts one of them with a version without a ledger, which then
// leads for a while. Afterwards, all controllers restart with the present version.
func (s *simulation) leadWithoutLedger() {
	for _, c := range s.world.Controllers {
		c.Crash()
	}
	s.result.LeadersWithoutLedger++
	controller := s.world.Controllers[0]
	controller.WithoutLedger = true
	controller.Start()
	s.scheduleAfter(s.randomDuration(10*time.Minute, 2*time.Hour), func() {
		controller.Crash()
		controller.WithoutLedger = false
		for _, c := range s.world.Controllers {
			c.Start()
		}
	})
}

// errAnswerLost is the error that a controller gets for a transaction whose answer does not arrive.
var errAnswerLost = errors.New("no answer from the state service")

// interceptCommit is a fake.CommitInterceptor that delays some transactions by up to 5 minutes and loses the answers to
// others.
func (s *simulation) interceptCommit(_ *fake.Controller, body []byte) (bool, error) {
	if s.faultsEnded || s.world.State.Down {
		return false, nil
	}
	switch s.commitRand.IntN(transactionFaultOdds) {
	case 0:
		s.result.LateTransactions++
		body = slices.Clone(body)
		delay := s.randomDuration(time.Second, 5*time.Minute)
		s.delayedCommits.insert(s.world.Now().Add(delay), func() { s.commitUnanswered(body) })
		return true, errAnswerLost
	case 1:
		s.result.UnansweredTransactions++
		s.commitUnanswered(body)
		return true, errAnswerLost
	}
	return false, nil
}

// commitUnanswered passes a transaction to the state service. The sender gets no answer, and the state service may
// reject the transaction. Any other failure is a violation.
func (s *simulation) commitUnanswered(body []byte) {
	_, err := s.world.State.Call("POST", "/commit", body, time.Second)
	if err != nil && rpc.StatusCode(err) == 0 {
		s.result.Violation = "simulated state service failed to process a transaction: " + err.Error()
	}
}
