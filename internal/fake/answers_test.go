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

// Users ask at all members at the very moment at which a record changes, repeat their submissions, and
// cancel at once or as the last task ends. The world holds every answer against all answers before it
// (history.go).

// loseCommitAnswers has the answers of a part of all transactions lost; at once they are carried out, or seconds later.
func loseCommitAnswers(w *World, r *rand.Rand, part float64, atOnce bool) (later *[]func()) {
	later = &[]func(){}
	w.InterceptCommit = func(_ *Controller, body []byte) (bool, error) {
		if r.Float64() >= part {
			return false, nil
		}
		body = slices.Clone(body)
		do := func() { _, _ = w.State.Call("POST", "/commit", body, second) } // refused, or not
		if atOnce {
			do()
		} else {
			*later = append(*later, do)
		}
		return true, context.DeadlineExceeded
	}
	return later
}

func TestMemberAnswersUnderFaultsAreNeverStale(t *testing.T) {
	type trouble struct {
		name   string
		begins func(w *World, r *rand.Rand) (each func()) // each is called every tick
	}
	nothing := func() {}
	for _, tr := range []trouble{
		{"no other trouble", func(*World, *rand.Rand) func() { return nothing }},
		{"answers to transactions are lost", func(w *World, r *rand.Rand) func() { loseCommitAnswers(w, r, 0.3, true); return nothing }},
		{"transactions are late", func(w *World, r *rand.Rand) func() {
			later := loseCommitAnswers(w, r, 0.3, false)
			return func() {
				if n := len(*later); n > 0 && r.IntN(40) == 0 {
					i := r.IntN(n)
					(*later)[i]()
					*later = slices.Delete(*later, i, i+1)
				}
			}
		}},
		{"members end and are back at once", func(w *World, r *rand.Rand) func() {
			return func() {
				if r.IntN(60) == 0 {
					restartController(w.Controllers[r.IntN(3)])
				}
			}
		}},
		{"a member is refused at a time", func(w *World, r *rand.Rand) func() {
			return func() {
				if r.IntN(60) == 0 {
					for _, c := range w.Controllers {
						c.StateUnreachable = false
					}
					w.Controllers[r.IntN(3)].StateUnreachable = true
				}
			}
		}},
		{"leaders hand over", func(w *World, r *rand.Rand) func() {
			return func() {
				if l := w.Leader(); l != nil && r.IntN(80) == 0 {
					w.StepElection(l, election.Resign{})
				}
			}
		}},
	} {
		t.Run(tr.name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(7, 7))
			w := newVotingMembers(t, 3, 4)
			w.RunTime = 1500 * time.Millisecond
			w.PollOnCommit = true
			each := tr.begins(w, r)
			told := playAnswers(t, w, r, each)
			if told[wire.StateDone] < 5 || told[wire.StateCancelled] < 5 || w.AnsweredPolls < 500 {
				t.Errorf("cancellations at the end: %d were answered done, %d cancelled; %d questions were answered",
					told[wire.StateDone], told[wire.StateCancelled], w.AnsweredPolls)
			}
		})
	}
}

// playAnswers has jobs of one and two tasks come and go for a minute, and be called off at once, in the middle, or in the
// moment of their end. It tells what came of those at the end. All are over in the end, and stay as they were.
func playAnswers(t *testing.T, w *World, r *rand.Rand, each func()) map[wire.JobState]int {
	t.Helper()
	told := map[wire.JobState]int{}
	any := func() *Controller { return w.Controllers[r.IntN(len(w.Controllers))] }
	var jobs []*model.Spec
	try := func(s *model.Spec, do func(c *Controller) error) bool {
		for range 3 { // as a user tries again
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
			s := newJob(model.Array, 1+r.IntN(2), func(s *model.Spec) { s.Demand = model.Resources{CPU: 0.2, MemGB: 0.2} })
			take := func(c *Controller) error { return w.Submit(c, s) }
			if try(s, take) {
				jobs = append(jobs, s)
				w.PollAll(s.ID)
				_ = try(s, take) // repeated right after
				switch r.IntN(6) {
				case 0:
					_ = try(s, func(c *Controller) error { _, err := w.Cancel(c, s.ID); return err })
					_ = try(s, take)
					w.PollAll(s.ID)
				case 1, 2, 3:
					atEnd[s.ID] = true
				}
			}
		}
		w.Advance(w.Tick)
		for _, s := range jobs {
			if w.AllCompleted(s.ID) {
				if atEnd[s.ID] && r.IntN(6) == 0 {
					atEnd[s.ID] = false
					_ = try(s, func(c *Controller) error {
						v, err := w.Cancel(c, s.ID)
						if err == nil {
							told[v.State]++
						}
						return err
					})
					_ = try(s, func(c *Controller) error { return w.Submit(c, s) })
					w.PollAll(s.ID)
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
	waitUntil(t, w, 60*second, "somebody leads", func() bool { return w.Leader() != nil })
	w.MarkFaultsEnded()
	waitUntil(t, w, 120*second, "all jobs are over", func() bool {
		for _, s := range jobs {
			if st, err := w.Poll(any(), s.ID); err != nil || !st.Ended() {
				return false
			}
		}
		return true
	})
	for _, s := range jobs {
		_, _ = w.Cancel(any(), s.ID)
		_ = w.Submit(any(), s)
		w.PollAll(s.ID)
	}
	if len(jobs) < 40 {
		t.Errorf("only %d jobs were accepted: %s", len(jobs), fmt.Sprint(told))
	}
	return told
}

// What the history has to find: each answer alone.
func TestAnswerCheckerDetectsContradictions(t *testing.T) {
	for what, says := range map[string]func(w *World, c *Controller, id string){
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
		waitUntil(t, w, 20*second, "somebody leads", func() bool { return w.Leader() != nil })
		s := newJob(model.Array, 1, func(s *model.Spec) { s.Demand.CPU = 100 }) // never runs
		submitJob(t, w, s)
		if _, err := w.Poll(w.Controllers[1], s.ID); err != nil || len(w.Violations) > 0 {
			t.Fatal(err, w.Violations)
		}
		if says(w, w.Controllers[2], s.ID); len(w.Violations) != 1 || !strings.HasPrefix(w.Violations[0], strings.Fields(what)[0]) {
			t.Errorf("%s: %v", what, w.Violations)
		}
	}
}

// A job waits for over 90 s though a machine has room: the world says so, unless its team is at its limit.
func TestStarvationCheckerDetectsWaitWithRoom(t *testing.T) {
	for _, team := range []string{"red", "blue"} {
		w := newTestWorldOf(3, 3, 1)
		w.RunTime = time.Hour
		waitUntil(t, w, 20*second, "somebody leads", func() bool { return w.Leader() != nil })
		full := newJob(model.Array, 4, func(s *model.Spec) { s.Team = "blue" }) // its limit is 16 CPUs
		submitJob(t, w, full)
		waitUntil(t, w, 20*second, "it runs", func() bool { return activeTasks(w, full) == 4 })
		s := newJob(model.Array, 1, func(s *model.Spec) { s.Team = team })
		submitJob(t, w, s)
		w.MarkFaultsEnded()
		for _, c := range w.Controllers {
			c.Crash() // nobody is there to start it
		}
		for range 100 {
			for _, k := range w.Workers {
				k.leaseRenewedAt = w.Now() // what runs goes on
			}
			w.Advance(second)
		}
		if found := len(w.Violations) > 0; found != (team == "red") {
			t.Errorf("%s: %v, waited %v", team, w.Violations, w.LongestWait)
		}
	}
}
