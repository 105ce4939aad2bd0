package fake

import (
	"context"
	"testing"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/featuregate"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

// leads has one of some controllers lead, by crashing the others until it does.
func leads(t *testing.T, w *World, any ...*Controller) *Controller {
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
			w.Pass(8 * second)
			l.Start()
		}
		w.Pass(8 * second)
	}
	t.Fatal("none of them ever leads")
	return nil
}

// raise has all that know levels see the gate open, and the leader give way for it.
func raise(t *testing.T, w *World, l *Controller) {
	t.Helper()
	for _, c := range w.Controllers {
		if c.Up && !c.Before {
			c.election(election.ProposeLevel{Level: featuregate.Supported, StepDown: c == l})
		}
	}
	until(t, w, 20*second, "the level is raised", func() bool { l := w.Leader(); return l != nil && l.Elect.Level() == featuregate.Supported })
}

func record(t *testing.T, w *World) election.Record {
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
func TestNoOlderProgramLeadsUnderARaisedLevel(t *testing.T) {
	w := deployment(t, 2)
	old, others := w.Controllers[0], w.Controllers[1:]
	old.Before = true
	l := leads(t, w, others...)
	s := job(model.Array, 4, nil)
	w.Run = 40 * second
	submit(t, w, s)
	until(t, w, 20*second, "all tasks run", func() bool { return on(w, s) == 4 })
	stale := record(t, w) // what a claim of the old one, on its way, rests on
	starts := len(w.Starts)
	old.Crash()
	raise(t, w, l)
	if r := record(t, w); r.Level != featuregate.Supported || r.FencingToken != stale.FencingToken+1 {
		t.Errorf("raised by more than one claim: %+v, before %+v", r, stale)
	}
	w.Pass(5 * second)
	if on(w, s) != 4 || len(w.Starts) != starts {
		t.Error("the raise touched what runs")
	}
	for _, c := range others {
		c.Crash()
	}
	w.Pass(10 * second)
	old.Start()
	lease, err := old.State.GrantLease(4 * second)
	if err != nil {
		t.Fatal(err)
	}
	if _, ok, _ := old.claim(election.Claim{LeaseID: lease, FencingToken: stale.FencingToken + 1, TokenVersion: stale.TokenVersion}); ok {
		t.Fatal("a claim from before the raise came through")
	}
	w.Pass(60 * second)
	if w.Leader() != nil {
		t.Fatal("an old program leads under a raised level")
	}
	for _, c := range others {
		c.Start()
	}
	until(t, w, 30*second, "a new one leads", func() bool { return w.Leader() != nil })
	if got := w.Leader().Elect.Level(); got != featuregate.Supported {
		t.Errorf("it leads by level %d", got)
	}
	until(t, w, 120*second, "done", done(t, w, s))
}

// A program that knows levels, but not the one in force, never leads either.
func TestAProgramThatKnowsLessNeverLeads(t *testing.T) {
	w := deployment(t, 1)
	less, others := w.Controllers[0], w.Controllers[1:]
	less.esets.MaxLevel = 0
	less.Crash()
	w.Pass(8 * second)
	raise(t, w, leads(t, w, others...))
	less.Start()
	for _, c := range others {
		c.Crash()
	}
	w.Pass(60 * second)
	if w.Leader() != nil {
		t.Fatal("it leads under a level that it does not know")
	}
}

// The record of the level is lost with the rest of what the state service had written last. Who
// remembers the level leads by it and writes it again with the next claim.
func TestALostLevelIsWrittenAgain(t *testing.T) {
	w := deployment(t, 1)
	raise(t, w, w.Leader())
	w.Pass(5 * second) // the others have read it
	lost := func() {
		if _, ok, err := w.Controllers[1].State.Commit(context.Background(), &wire.Txn{Changes: []wire.Change{{Key: "leader/level"}}}, true); !ok || err != nil {
			t.Fatal(err)
		}
	}
	lost()
	l := w.Leader()
	l.Crash()
	until(t, w, 30*second, "another leads", func() bool { return w.Leader() != nil })
	if r := record(t, w); r.Level != featuregate.Supported || w.Leader().Elect.Level() != featuregate.Supported {
		t.Errorf("on record %d, acted by %d", r.Level, w.Leader().Elect.Level())
	}
}
