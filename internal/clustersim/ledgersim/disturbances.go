package ledgersim

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/fake"
	"github.com/glentiller/glentiller/internal/rpc"
)

// What goes wrong on a day.
const (
	leaderCrashes  = 3
	outages        = 2
	clockJumps     = 3
	withoutLedger  = 3   // a version without a ledger leads on every third day
	commitsForEach = 120 // of so many transactions one is late and one is not answered
)

// errAnswerLost is what a controller sees of a transaction whose answer does not arrive.
var errAnswerLost = errors.New("no answer")

// planFaults plans what goes wrong on a day.
func (s *simulation) planFaults(begin time.Time, number int) {
	for range leaderCrashes {
		s.planOn(begin, func() { s.crash(s.world.Leader()) })
	}
	s.planOn(begin, s.crashAll)
	for range outages {
		s.planOn(begin, s.outage)
	}
	s.planOn(begin, s.partitionWorker)
	for range clockJumps {
		s.planOn(begin, s.skewClocks)
	}
	if number%withoutLedger == withoutLedger-1 {
		s.planOn(begin, s.leadWithoutLedger)
	}
}

// crash ends a controller for some time.
func (s *simulation) crash(c *fake.Controller) {
	if c == nil || !c.Up {
		return
	}
	c.Crash()
	s.planIn(s.randomDuration(5*time.Second, 3*time.Minute), c.Start)
}

// crashAll ends all controllers at once, some of them while a transaction is on its way.
func (s *simulation) crashAll() {
	s.result.FullRestarts++
	for _, c := range s.world.Controllers {
		s.crash(c)
	}
}

// outage has the state service down for some time.
func (s *simulation) outage() {
	s.result.Outages++
	s.world.State.SetDown(true)
	s.planIn(s.randomDuration(5*time.Second, 4*time.Minute), func() { s.world.State.SetDown(false) })
}

// partitionWorker cuts a worker off for long enough to lose its lease, or for less.
func (s *simulation) partitionWorker() {
	names := s.world.WorkerNames()
	if len(names) == 0 {
		return
	}
	worker := s.world.Workers[names[0]]
	worker.Partitioned = true
	s.planIn(s.randomDuration(20*time.Second, 5*time.Minute), func() { worker.Partitioned = false })
}

// skewClocks sets the time of day of one controller, or of all, wrong by hours.
func (s *simulation) skewClocks() {
	s.result.ClockJumps++
	controllers := s.world.Controllers
	offset := s.randomDuration(-9*time.Hour, 9*time.Hour)
	chosen := s.random.IntN(2 * len(controllers))
	for i, c := range controllers {
		if i == chosen || chosen >= len(controllers) {
			c.ClockOffset = offset
		}
	}
	s.planIn(s.randomDuration(10*time.Minute, 10*time.Hour), func() {
		for _, c := range controllers {
			c.ClockOffset = 0
		}
	})
}

// leadWithoutLedger has a version without a ledger lead for a while.
func (s *simulation) leadWithoutLedger() {
	for _, c := range s.world.Controllers {
		c.Crash()
	}
	s.result.LeadersWithoutLedger++
	former := s.world.Controllers[0]
	former.WithoutLedger = true
	former.Start()
	s.planIn(s.randomDuration(10*time.Minute, 2*time.Hour), func() {
		former.Crash()
		former.WithoutLedger = false
		for _, c := range s.world.Controllers {
			c.Start()
		}
	})
}

// interceptCommit loses the answers of some transactions, and has others carried out minutes later.
func (s *simulation) interceptCommit(_ *fake.Controller, body []byte) (bool, error) {
	if s.faultsEnded || s.world.State.Down {
		return false, nil
	}
	switch s.commits.IntN(commitsForEach) {
	case 0:
		s.result.LateTransactions++
		body = slices.Clone(body)
		s.insert(&s.delayed, s.randomDuration(time.Second, 5*time.Minute), func() { s.commit(body) })
		return true, errAnswerLost
	case 1:
		s.result.UnansweredTransactions++
		s.commit(body)
		return true, errAnswerLost
	}
	return false, nil
}

// commit has the state service take a transaction whose sender does not learn of it.
func (s *simulation) commit(body []byte) {
	_, err := s.world.State.Call(http.MethodPost, "/commit", body, time.Second)
	if err != nil && rpc.StatusCode(err) == 0 {
		s.result.Violation = "the state service stand-in: " + err.Error()
	}
}

// endFaults ends the faults, and waits until all that has run is on record.
func (s *simulation) endFaults() {
	s.faultsEnded = true
	horizon := s.world.Now().Add(time.Hour)
	s.plan = slices.DeleteFunc(s.plan, func(e event) bool { return e.at.After(horizon) })
	s.advanceTo(s.world.Now().Add(90 * time.Minute))
	for id := range s.world.Specs {
		s.cancel(id)
	}
	s.advanceTo(s.world.Now().Add(20 * time.Minute))
}
