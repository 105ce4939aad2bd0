package fake

import (
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// promising is the small deployment whose controllers promise the leader not to take over.
func promising(t *testing.T, machines int) *World {
	t.Helper()
	return promisingFor(t, machines, 0)
}

// promisingFor is the same; in outages they promise for longer.
func promisingFor(t *testing.T, machines int, outage time.Duration) *World {
	t.Helper()
	w := deployment(t, machines)
	for _, c := range w.Controllers {
		c.esets.VoteDuration, c.esets.OutageVoteDuration = c.esets.LeaseDuration*7/8, outage
		c.Crash()
		c.Start()
	}
	until(t, w, 10*second, "another leads", func() bool { return w.Leader() != nil })
	return w
}

// starts counts how often the tasks of a job were started.
func starts(w *World, s *model.Spec) int {
	n := 0
	for i := range s.Tasks {
		n += w.Starts[model.TaskID{Job: s.ID, Index: i}]
	}
	return n
}

// cancelElsewhere cancels a job through another controller than one.
func cancelElsewhere(t *testing.T, w *World, than *Controller, s *model.Spec) {
	t.Helper()
	for _, c := range w.Controllers {
		if c != than {
			if _, err := w.Cancel(c, s.ID); err != nil {
				t.Fatal(err)
			}
			return
		}
	}
}

func TestLongOutageOfTheStateServiceKillsNothing(t *testing.T) {
	w := promising(t, 4)
	serve := job(model.Service, 2, nil)
	work := job(model.Array, 12, func(s *model.Spec) { s.Team = "blue" })
	submit(t, w, serve)
	submit(t, w, work)
	until(t, w, 30*second, "all that may run does", func() bool { return on(w, serve) == 2 && on(w, work) == 4 })
	leader := w.Leader()
	w.State.SetDown(true)
	for range 120 {
		w.Pass(second)
		if w.Leader() != leader || on(w, serve) != 2 {
			t.Fatalf("%d replicas, leader %v", on(w, serve), w.Leader())
		}
	}
	if starts(w, work) != 12 || on(w, work) != 0 {
		t.Errorf("%d starts of 12 tasks in the outage, %d run", starts(w, work), on(w, work))
	}
	w.State.SetDown(false)
	until(t, w, 10*second, "done is on record", done(t, w, work))
	if starts(w, serve) != 2 || starts(w, work) != 12 {
		t.Errorf("starts: %d of 2 replicas, %d of 12 tasks", starts(w, serve), starts(w, work))
	}
}

func TestLeaderCrashesInALongOutage(t *testing.T) {
	w := promising(t, 4)
	s := job(model.Service, 2, nil)
	submit(t, w, s)
	until(t, w, 30*second, "replicas run", func() bool { return on(w, s) == 2 })
	old := w.Leader()
	w.State.SetDown(true)
	w.Pass(20 * second)
	old.Crash()
	w.Pass(5 * second)
	old.Start() // without memory, and without the records: it promises nothing, and nobody leads
	w.Pass(10 * second)
	if w.Leader() != nil {
		t.Error("somebody leads without the state service's word")
	}
	w.State.SetDown(false)
	until(t, w, 20*second, "another leads", func() bool { return w.Leader() != nil })
	until(t, w, 60*second, "replicas run", func() bool { return on(w, s) == 2 })
}

func TestLeaderAloneWithoutTheStateServiceHandsOver(t *testing.T) {
	w := promising(t, 4)
	w.Run = 300 * second
	s := job(model.Array, 4, nil)
	submit(t, w, s)
	until(t, w, 30*second, "tasks run", func() bool { return on(w, s) == 4 })
	old := w.Leader()
	old.NoNet = true
	w.Pass(2 * second)
	cancelElsewhere(t, w, old, s)
	// The world checks that it is gone in time whoever leads.
	until(t, w, 15*second, "another leads", func() bool { l := w.Leader(); return l != nil && l != old })
	until(t, w, w.CancelIn, "it is gone", func() bool { return on(w, s) == 0 })
	w.Pass(60 * second)
}

func TestACancellationReachesALeaderThatCannotReadIt(t *testing.T) {
	w := promising(t, 4)
	w.Run = 300 * second
	s := job(model.Array, 4, nil)
	submit(t, w, s)
	until(t, w, 30*second, "tasks run", func() bool { return on(w, s) == 4 })
	leader := w.Leader()
	leader.NoNet = true // an instant before the outage for all
	cancelElsewhere(t, w, leader, s)
	w.State.SetDown(true)
	until(t, w, 5*second, "the leader has heard of it", func() bool { return on(w, s) == 0 })
	if w.Leader() != leader {
		t.Error("the leader has changed")
	}
}

func TestOldMembersPromiseNothing(t *testing.T) {
	w := promising(t, 4)
	for _, c := range w.Controllers {
		if c != w.Leader() {
			c.esets.VoteDuration = 0 // of a version that knows no promises
			c.Crash()
			c.Start()
			break
		}
	}
	s := job(model.Service, 1, nil)
	submit(t, w, s)
	until(t, w, 30*second, "it runs", func() bool { return on(w, s) == 1 })
	w.State.SetDown(true)
	w.Pass(6 * second)
	if w.Leader() != nil {
		t.Error("a leader acts though not all have promised")
	}
	w.State.SetDown(false)
	until(t, w, 10*second, "somebody leads", func() bool { return w.Leader() != nil })
}

func TestTakeoversAreNoSlowerWithPromises(t *testing.T) {
	took := func(w *World, crash func()) time.Duration {
		w.Pass(5 * second)
		at := w.Now()
		crash()
		until(t, w, 30*second, "somebody leads", func() bool { return w.Leader() != nil })
		return w.Now().Sub(at)
	}
	one := func(w *World) time.Duration { return took(w, func() { w.Leader().Crash() }) }
	all := func(w *World) time.Duration {
		return took(w, func() {
			for _, c := range w.Controllers {
				c.Crash()
			}
			w.Pass(3 * second)
			for _, c := range w.Controllers {
				c.Start()
			}
		})
	}
	for name, how := range map[string]func(*World) time.Duration{"the leader": one, "all": all} {
		without, with := how(deployment(t, 2)), how(promising(t, 2))
		t.Logf("%s: %v without promises, %v with", name, without, with)
		if with > without+time.Second {
			t.Errorf("%s: %v without promises, %v with", name, without, with)
		}
	}
}

// Another member crashes in an outage and has no memory when it is back. The leader goes on for as
// long as that member has promised: workers' leases hold until the outage is over. It starts
// nothing after the time that every promise lasts, since the other one may have told users of
// cancellations; those take effect in time all the same.
func TestACrashOfAnotherMemberInAnOutageKillsNothing(t *testing.T) {
	w := promisingFor(t, 4, 10*second)
	serve := job(model.Service, 2, nil)
	work := job(model.Array, 40, func(s *model.Spec) { s.Team = "blue" })
	gone := job(model.Service, 1, nil)
	submit(t, w, serve)
	submit(t, w, work)
	submit(t, w, gone)
	until(t, w, 30*second, "all that may run does", func() bool { return on(w, serve) == 2 && on(w, work) == 4 && on(w, gone) == 1 })
	leader := w.Leader()
	other := w.Controllers[0]
	if other == leader {
		other = w.Controllers[1]
	}
	leader.NoNet = true // the leader does not hear of the cancellation any more
	if _, err := w.Cancel(other, gone.ID); err != nil {
		t.Fatal(err)
	}
	w.State.SetDown(true)
	w.Pass(5 * second)
	leader.NoNet = false
	if w.Leader() != leader {
		t.Fatal("the leader does not outlive the outage")
	}
	other.Crash()
	other.Start()
	w.Pass(5 * second)
	before := starts(w, work)
	w.Pass(3 * second)
	if w.Leader() != leader {
		t.Error("the right has ended with the other member")
	}
	if n := starts(w, work); n != before {
		t.Errorf("%d tasks were started by a promise that may be of old", n-before)
	}
	w.Pass(8 * second)
	w.State.SetDown(false)
	until(t, w, 20*second, "all goes on", func() bool { return w.Leader() != nil && starts(w, work) > before })
	if n := starts(w, serve); n != 2 || on(w, gone) != 0 {
		t.Errorf("replicas were started %d times, of 2; %d of the cancelled job run", n, on(w, gone))
	}
}

// The leader crashes in an outage. The others are bound to it for long, and free as soon as its
// new life says that it leads no more.
func TestALongPromiseDoesNotDelayTakeovers(t *testing.T) {
	w := promisingFor(t, 2, 10*second)
	leader := w.Leader()
	w.State.SetDown(true)
	w.Pass(8 * second)
	leader.Crash()
	w.Pass(2 * second)
	leader.Start()
	w.State.SetDown(false)
	at := w.now
	until(t, w, 20*second, "somebody leads", func() bool { return w.Leader() != nil })
	if took := w.now.Sub(at); took > 6*second {
		t.Errorf("a takeover after the outage took %v", took)
	}
}
