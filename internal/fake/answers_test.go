package fake

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

// answerFaults are the faults under which answers are checked. Each begins with a function that is called every tick
// from then on.
var answerFaults = map[string]func(w *World, random *rand.Rand) (each func()){
	"no other fault": func(*World, *rand.Rand) func() { return func() {} },
	"answers to transactions are lost": func(w *World, random *rand.Rand) func() {
		loseCommitAnswers(w, random, 0.3, true)
		return func() {}
	},
	"transactions are late": func(w *World, random *rand.Rand) func() {
		later := loseCommitAnswers(w, random, 0.3, false)
		return func() {
			if n := len(*later); n > 0 && random.IntN(40) == 0 {
				i := random.IntN(n)
				(*later)[i]()
				*later = slices.Delete(*later, i, i+1)
			}
		}
	},
	"members restart at once": func(w *World, random *rand.Rand) func() {
		return func() {
			if random.IntN(60) == 0 {
				restartController(w.Controllers[random.IntN(3)])
			}
		}
	},
	"one member at a time does not reach the state service": func(w *World, random *rand.Rand) func() {
		return func() {
			if random.IntN(60) == 0 {
				for _, c := range w.Controllers {
					c.StateUnreachable = false
				}
				w.Controllers[random.IntN(3)].StateUnreachable = true
			}
		}
	},
	"leaders resign": func(w *World, random *rand.Rand) func() {
		return func() {
			if leader := w.Leader(); leader != nil && random.IntN(80) == 0 {
				w.StepElection(leader, election.Resign{})
			}
		}
	},
}

func TestMemberAnswersUnderFaultsAreNeverStale(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(answerFaults)) {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(7, 7))
			w := newVotingMembers(t, 3, 4)
			w.RunTime = 1500 * time.Millisecond
			w.PollOnCommit = true
			outcomes := playAnswers(t, w, random, answerFaults[name](w, random))
			done, cancelled := outcomes[wire.StateDone], outcomes[wire.StateCancelled]
			if done < 5 || cancelled < 5 || w.AnsweredPolls < 500 {
				t.Errorf("cancellations at the end: got %d done, %d cancelled, %d answered polls, want 5, 5 and 500 at least",
					done, cancelled, w.AnsweredPolls)
			}
		})
	}
}

// answerPlay is jobs of one and two tasks that users submit, poll and cancel while there is a fault.
type answerPlay struct {
	*World
	random   *rand.Rand
	jobs     []*model.Spec
	atEnd    map[string]bool       // jobs that are to be cancelled as their last task ends
	outcomes map[wire.JobState]int // what these cancellations were answered
}

// playAnswers submits jobs for a minute and cancels some of them at once, while they run, or as their last task ends.
// It counts what the last kind of cancellation was answered. In the end all jobs have a final state and keep it. each
// is called every tick.
func playAnswers(t *testing.T, w *World, random *rand.Rand, each func()) map[wire.JobState]int {
	t.Helper()
	p := &answerPlay{World: w, random: random, atEnd: map[string]bool{}, outcomes: map[wire.JobState]int{}}
	for tick := range 1200 {
		each()
		if tick%8 == 0 {
			p.submitNext()
		}
		w.Advance(w.Tick)
		p.cancelAtEnd()
	}
	w.InterceptCommit = nil
	restoreControllers(w)
	waitForLeader(t, w, 60*second)
	w.MarkFaultsEnded()
	waitUntil(t, w, 120*second, "all jobs have ended", p.allEnded)
	for _, spec := range p.jobs {
		_, _ = w.Cancel(p.randomController(), spec.ID) // the answers are checked
		_ = w.Submit(p.randomController(), spec)
		w.PollAll(spec.ID)
	}
	if len(p.jobs) < 40 {
		t.Errorf("accepted jobs: got %d, want 40 at least: %s", len(p.jobs), fmt.Sprint(p.outcomes))
	}
	return p.outcomes
}

func (p *answerPlay) randomController() *Controller {
	return p.Controllers[p.random.IntN(len(p.Controllers))]
}

// try sends a request to random controllers, up to three times, as a user retries.
func (p *answerPlay) try(request func(c *Controller) error) bool {
	for range 3 {
		if c := p.randomController(); c.Up && request(c) == nil {
			return true
		}
	}
	return false
}

// submitNext submits a job twice, and cancels it at once, or later, or never.
func (p *answerPlay) submitNext() {
	spec := newJob(model.Array, 1+p.random.IntN(2), func(spec *model.Spec) {
		spec.Demand = model.Resources{CPU: 0.2, MemGB: 0.2}
	})
	submit := func(c *Controller) error { return p.Submit(c, spec) }
	if !p.try(submit) {
		return
	}
	p.jobs = append(p.jobs, spec)
	p.PollAll(spec.ID)
	_ = p.try(submit) // a repeated submission
	switch p.random.IntN(6) {
	case 0:
		_ = p.try(func(c *Controller) error {
			_, err := p.Cancel(c, spec.ID)
			return err
		})
		_ = p.try(submit)
		p.PollAll(spec.ID)
	case 1, 2, 3:
		p.atEnd[spec.ID] = true
	}
}

// cancelAtEnd cancels some jobs whose last task has ended, and submits them again.
func (p *answerPlay) cancelAtEnd() {
	for _, spec := range p.jobs {
		if !p.AllCompleted(spec.ID) || !p.atEnd[spec.ID] || p.random.IntN(6) != 0 {
			continue
		}
		p.atEnd[spec.ID] = false
		_ = p.try(func(c *Controller) error {
			record, err := p.Cancel(c, spec.ID)
			if err == nil {
				p.outcomes[record.State]++
			}
			return err
		})
		_ = p.try(func(c *Controller) error { return p.Submit(c, spec) })
		p.PollAll(spec.ID)
	}
}

// allEnded polls all jobs at random controllers until one has not ended.
func (p *answerPlay) allEnded() bool {
	for _, spec := range p.jobs {
		if state, err := p.Poll(p.randomController(), spec.ID); err != nil || !state.Ended() {
			return false
		}
	}
	return true
}

// The check of answers has to find each kind of contradiction alone.
func TestAnswerCheckerDetectsContradictions(t *testing.T) {
	for violation, answer := range map[string]func(w *World, c *Controller, id string){
		"forgotten": func(w *World, c *Controller, id string) { w.recordAnswer(c.Member, id, wire.StateUnknown) },
		"not_done":  func(w *World, c *Controller, id string) { w.recordAnswer(c.Member, id, wire.StateDone) },
		"went_back": func(w *World, c *Controller, id string) { w.recordAnswer(c.Member, id, wire.StateCancelled) },
		"went_back after its end": func(w *World, c *Controller, id string) {
			w.Completed[model.TaskID{Job: id}] = true
			w.recordAnswer(c.Member, id, wire.StateDone)
			w.recordAnswer(c.Member, id, wire.StateQueued)
		},
	} {
		w := newTestWorldOf(3, 1, 1)
		waitForLeader(t, w, 20*second)
		spec := newJob(model.Array, 1, func(spec *model.Spec) { spec.Demand.CPU = 100 }) // it does not fit
		submitJob(t, w, spec)
		if _, err := w.Poll(w.Controllers[1], spec.ID); err != nil || len(w.Violations) > 0 {
			t.Fatal(err, w.Violations)
		}
		answer(w, w.Controllers[2], spec.ID)
		if len(w.Violations) != 1 || !strings.HasPrefix(w.Violations[0], strings.Fields(violation)[0]) {
			t.Errorf("violations: got %v, want one of %s", w.Violations, violation)
		}
	}
}

// A job that waits for over 90 s although a machine has room breaks an invariant, unless its team is at its quota.
func TestStarvationCheckerDetectsWaitWithRoom(t *testing.T) {
	for _, team := range []string{"red", "blue"} {
		w := newTestWorldOf(3, 3, 1)
		w.RunTime = time.Hour
		waitForLeader(t, w, 20*second)
		full := newJob(model.Array, 4, func(spec *model.Spec) { spec.Team = "blue" }) // its quota is 16 CPUs
		submitJob(t, w, full)
		waitUntil(t, w, 20*second, "it runs", func() bool { return activeTasks(w, full) == 4 })
		spec := newJob(model.Array, 1, func(spec *model.Spec) { spec.Team = team })
		submitJob(t, w, spec)
		w.MarkFaultsEnded()
		for _, c := range w.Controllers {
			c.Crash() // no leader starts it
		}
		for range 100 {
			for _, worker := range w.Workers {
				worker.leaseRenewedAt = w.Now() // the running tasks go on
			}
			w.Advance(second)
		}
		if found := len(w.Violations) > 0; found != (team == "red") {
			t.Errorf("%s: %v, waited %v", team, w.Violations, w.LongestWait)
		}
	}
}

func TestCancelRacingCompletionHasOneFinalState(t *testing.T) {
	for _, after := range []time.Duration{0, 2 * second, 4 * second, 5 * second, 6 * second, 8 * second} {
		w := newDeployment(t, 2)
		w.RunTime = 3 * second
		spec := newJob(model.Array, 2, nil)
		submitJob(t, w, spec)
		w.Advance(after)
		v, err := w.Cancel(w.Controllers[2], spec.ID)
		if err != nil {
			t.Fatal(err)
		}
		w.Advance(20 * second)
		for i, c := range w.Controllers {
			if got := refreshedState(t, c, spec.ID); got != v.State {
				t.Errorf("cancelled after %v: the user was answered %v, controller %d answers %v", after, v.State, i, got)
			}
		}
		if v.State == wire.StateDone && !w.AllCompleted(spec.ID) {
			t.Errorf("cancelled after %v: done, but tasks are not", after)
		}
	}
}

func TestPollOnAnotherControllerIsNotStale(t *testing.T) {
	w := newDeployment(t, 2)
	spec := newJob(model.Service, 1, nil)
	submitJob(t, w, spec)
	w.Advance(3 * second)
	other := w.Controllers[2]
	if err := other.Jobs.Refresh(context.Background()); err != nil {
		t.Fatal(err)
	}
	if got := polledState(t, other, spec.ID); got != wire.StateQueued {
		t.Fatalf("an accepted job is %v", got)
	}
	if _, err := w.Cancel(w.Controllers[1], spec.ID); err != nil {
		t.Fatal(err)
	}
	// The other controller has read no change since.
	if got := polledState(t, other, spec.ID); got != wire.StateCancelled {
		t.Errorf("poll at another controller after a confirmed cancellation: got %v, want cancelled", got)
	}
	other.StateUnreachable = true
	if v, err := other.Jobs.Lookup(context.Background(), spec.ID); err != nil || v.State != wire.StateCancelled {
		t.Errorf("a remembered final state needs no state service: got %v, %v", v.State, err)
	}
	if _, err := other.Jobs.Lookup(context.Background(), "wk-999999"); err == nil {
		t.Error("an unknown job without the state service: got an answer, want an error")
	}
}
