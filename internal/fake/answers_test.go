package fake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

func TestMemberAnswersUnderFaultsAreNeverStale(t *testing.T) {
	type fault struct {
		name   string
		begins func(w *World, random *rand.Rand) (each func()) // each is called every tick
	}
	nothing := func() {}
	for _, f := range []fault{
		{"no other fault", func(*World, *rand.Rand) func() { return nothing }},
		{"answers to transactions are lost", func(w *World, random *rand.Rand) func() {
			loseCommitAnswers(w, random, 0.3, true)
			return nothing
		}},
		{"transactions are late", func(w *World, random *rand.Rand) func() {
			later := loseCommitAnswers(w, random, 0.3, false)
			return func() {
				if n := len(*later); n > 0 && random.IntN(40) == 0 {
					i := random.IntN(n)
					(*later)[i]()
					*later = slices.Delete(*later, i, i+1)
				}
			}
		}},
		{"members end and are back at once", func(w *World, random *rand.Rand) func() {
			return func() {
				if random.IntN(60) == 0 {
					restartController(w.Controllers[random.IntN(3)])
				}
			}
		}},
		{"a member is refused at a time", func(w *World, random *rand.Rand) func() {
			return func() {
				if random.IntN(60) == 0 {
					for _, c := range w.Controllers {
						c.StateUnreachable = false
					}
					w.Controllers[random.IntN(3)].StateUnreachable = true
				}
			}
		}},
		{"leaders hand over", func(w *World, random *rand.Rand) func() {
			return func() {
				if leader := w.Leader(); leader != nil && random.IntN(80) == 0 {
					w.StepElection(leader, election.Resign{})
				}
			}
		}},
	} {
		t.Run(f.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(7, 7))
			w := newVotingMembers(t, 3, 4)
			w.RunTime = 1500 * time.Millisecond
			w.PollOnCommit = true
			each := f.begins(w, random)
			outcomes := playAnswers(t, w, random, each)
			if outcomes[wire.StateDone] < 5 || outcomes[wire.StateCancelled] < 5 || w.AnsweredPolls < 500 {
				t.Errorf("cancellations at the end: %d were answered done, %d cancelled; %d questions were answered",
					outcomes[wire.StateDone], outcomes[wire.StateCancelled], w.AnsweredPolls)
			}
		})
	}
}

// playAnswers submits jobs of one and two tasks for a minute and cancels some of them at once, while they run, or as
// their last task ends. It counts what the last kind of cancellation was answered. In the end all jobs have a final
// state and keep it.
func playAnswers(t *testing.T, w *World, random *rand.Rand, each func()) map[wire.JobState]int {
	t.Helper()
	outcomes := map[wire.JobState]int{}
	any := func() *Controller { return w.Controllers[random.IntN(len(w.Controllers))] }
	var jobs []*model.Spec
	try := func(spec *model.Spec, do func(c *Controller) error) bool {
		for range 3 { // as a user retries
			if c := any(); c.Up && do(c) == nil {
				return true
			}
		}
		return false
	}
	atEnd := map[string]bool{}
	for tick := range 1200 {
		each()
		if tick%8 == 0 {
			spec := newJob(model.Array, 1+random.IntN(2), func(spec *model.Spec) {
				spec.Demand = model.Resources{CPU: 0.2, MemGB: 0.2}
			})
			take := func(c *Controller) error { return w.Submit(c, spec) }
			if try(spec, take) {
				jobs = append(jobs, spec)
				w.PollAll(spec.ID)
				_ = try(spec, take) // a repeated submission
				switch random.IntN(6) {
				case 0:
					_ = try(spec, func(c *Controller) error { _, err := w.Cancel(c, spec.ID); return err })
					_ = try(spec, take)
					w.PollAll(spec.ID)
				case 1, 2, 3:
					atEnd[spec.ID] = true
				}
			}
		}
		w.Advance(w.Tick)
		for _, spec := range jobs {
			if w.AllCompleted(spec.ID) {
				if atEnd[spec.ID] && random.IntN(6) == 0 {
					atEnd[spec.ID] = false
					_ = try(spec, func(c *Controller) error {
						v, err := w.Cancel(c, spec.ID)
						if err == nil {
							outcomes[v.State]++
						}
						return err
					})
					_ = try(spec, func(c *Controller) error { return w.Submit(c, spec) })
					w.PollAll(spec.ID)
				}
			}
		}
	}
	w.InterceptCommit = nil
	for _, c := range w.Controllers {
		if c.StateUnreachable = false; !c.Up {
			c.Start()
		}
	}
	waitForLeader(t, w, 60*second)
	w.MarkFaultsEnded()
	waitUntil(t, w, 120*second, "all jobs are over", func() bool {
		for _, spec := range jobs {
			if st, err := w.Poll(any(), spec.ID); err != nil || !st.Ended() {
				return false
			}
		}
		return true
	})
	for _, spec := range jobs {
		_, _ = w.Cancel(any(), spec.ID)
		_ = w.Submit(any(), spec)
		w.PollAll(spec.ID)
	}
	if len(jobs) < 40 {
		t.Errorf("only %d jobs were accepted: %s", len(jobs), fmt.Sprint(outcomes))
	}
	return outcomes
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
