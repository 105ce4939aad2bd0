package fake

import (
	"context"
	"testing"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/featuregate"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

// electOneOf has one of some controllers lead, by crashing the others until it does.
func electOneOf(t *testing.T, w *World, any ...*Controller) *Controller {
	t.Helper()
	for range 20 {
		l := w.Leader()
		for _, c := range any {
			if c == l {
				return l
			}
		}
		if l != nil {
			l.Crash()
			w.Advance(8 * second)
			l.Start()
		}
		w.Advance(8 * second)
	}
	t.Fatal("none of them ever leads")
	return nil
}

// raiseLevel has all that know levels see the gate open, and the leader give way for it.
func raiseLevel(t *testing.T, w *World, l *Controller) {
	t.Helper()
	for _, c := range w.Controllers {
		if c.Up && !c.WithoutFeatureGates {
			c.stepElection(election.ProposeLevel{Level: featuregate.Supported, StepDown: c == l})
		}
	}
	waitUntil(t, w, 20*second, "the level is raised", func() bool { l := w.Leader(); return l != nil && l.Election.Level() == featuregate.Supported })
}

func electionRecord(t *testing.T, w *World) election.Record {
	t.Helper()
	r, _, err := w.Controllers[1].State.ReadLeaderRecord(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// A level is raised while an old member is away, and a task runs through it. The old one comes
// back and never leads, also when nobody else is there: not by reading the records, and not by a
// claim that it sent before and that arrives late.
func TestControllerWithoutFeatureGatesNeverLeadsUnderRaisedLevel(t *testing.T) {
	w := newDeployment(t, 2)
	old, others := w.Controllers[0], w.Controllers[1:]
	old.WithoutFeatureGates = true
	l := electOneOf(t, w, others...)
	s := newJob(model.Array, 4, nil)
	w.RunTime = 40 * second
	submitJob(t, w, s)
	waitUntil(t, w, 20*second, "all tasks run", func() bool { return activeTasks(w, s) == 4 })
	stale := electionRecord(t, w) // what a claim of the old one, on its way, rests on
	starts := len(w.Starts)
	old.Crash()
	raiseLevel(t, w, l)
	if r := electionRecord(t, w); r.Level != featuregate.Supported || r.FencingToken != stale.FencingToken+1 {
		t.Errorf("raised by more than one claim: %+v, before %+v", r, stale)
	}
	w.Advance(5 * second)
	if activeTasks(w, s) != 4 || len(w.Starts) != starts {
		t.Error("the raise touched what runs")
	}
	for _, c := range others {
		c.Crash()
	}
	w.Advance(10 * second)
	old.Start()
	lease, err := old.State.GrantLease(4 * second)
	if err != nil {
		t.Fatal(err)
	}
	if _, ok, _ := old.claim(election.Claim{LeaseID: lease, FencingToken: stale.FencingToken + 1, TokenVersion: stale.TokenVersion}); ok {
		t.Fatal("a claim from before the raise came through")
	}
	w.Advance(60 * second)
	if w.Leader() != nil {
		t.Fatal("an old program leads under a raised level")
	}
	for _, c := range others {
		c.Start()
	}
	waitUntil(t, w, 30*second, "a new one leads", func() bool { return w.Leader() != nil })
	if got := w.Leader().Election.Level(); got != featuregate.Supported {
		t.Errorf("it leads by level %d", got)
	}
	waitUntil(t, w, 120*second, "done", jobDone(t, w, s))
}

// A program that knows levels, but not the one in force, never leads either.
func TestControllerBelowLevelNeverLeads(t *testing.T) {
	w := newDeployment(t, 1)
	less, others := w.Controllers[0], w.Controllers[1:]
	less.electionSettings.MaxLevel = 0
	less.Crash()
	w.Advance(8 * second)
	raiseLevel(t, w, electOneOf(t, w, others...))
	less.Start()
	for _, c := range others {
		c.Crash()
	}
	w.Advance(60 * second)
	if w.Leader() != nil {
		t.Fatal("it leads under a level that it does not know")
	}
}

// The record of the level is lost with the rest of what the state service had written last. Who
// remembers the level leads by it and writes it again with the next claim.
func TestLostLevelRecordIsRewrittenByNextLeader(t *testing.T) {
	w := newDeployment(t, 1)
	raiseLevel(t, w, w.Leader())
	w.Advance(5 * second) // the others have read it
	lost := func() {
		if _, ok, err := w.Controllers[1].State.Commit(context.Background(), &wire.Txn{Changes: []wire.Change{{Key: "leader/level"}}}, true); !ok || err != nil {
			t.Fatal(err)
		}
	}
	lost()
	l := w.Leader()
	l.Crash()
	waitUntil(t, w, 30*second, "another leads", func() bool { return w.Leader() != nil })
	if r := electionRecord(t, w); r.Level != featuregate.Supported || w.Leader().Election.Level() != featuregate.Supported {
		t.Errorf("on record %d, acted by %d", r.Level, w.Leader().Election.Level())
	}
}
