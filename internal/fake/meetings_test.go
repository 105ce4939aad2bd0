package fake

import (
	"context"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/model"
)

// Meetings of two troubles, as the operators have listed them; the world checks the rules all along.
// Those with late transactions and cancellations are in late_test.go and cancel_test.go.

// A leader ends while one machine with long tasks can't be reached and another, which has taken the next
// leader's token, stops hearing it. Nothing runs twice, and all runs again once both are back.
func TestALeaderEndsWhileMachinesAreOutOfReachOrDeaf(t *testing.T) {
	w := members(t, 3, 4)
	s := job(model.Array, 8, nil)
	running(t, w, s)
	var reach, deaf *Worker
	for _, n := range w.Names() {
		if k := w.Workers[n]; k.Of("wk") > 0 {
			reach, deaf = deaf, k
		}
	}
	old := w.Leader()
	reach.Cut = true
	old.Crash()
	until(t, w, 20*second, "the next leader's token has come", func() bool { return w.Leader() != nil && deaf.Token >= w.Leader().token })
	deaf.Deaf = true
	w.Pass(w.Lease - 2*second)
	if on(w, s) < 6 {
		t.Errorf("%d tasks run: those of machines whose leases hold are gone", on(w, s))
	}
	old.Start()
	w.Pass(w.Lease)
	reach.Cut, deaf.Deaf = false, false
	until(t, w, 3*w.Lease, "all run", func() bool { return on(w, s) == 8 })
}

// Leaders hand over and back, all end, and one is back within a second, alone, while commands of the first
// term are held up and arrive in the last one.
func TestHandingOverAndBackWithCommandsOfTheFirstTerm(t *testing.T) {
	w := members(t, 3, 4)
	first := w.Leader()
	w.Hold = true
	s := job(model.Array, 6, nil)
	submit(t, w, s)
	until(t, w, 10*second, "commands are on their way", func() bool { return len(w.Held) > 0 })
	w.Hold = false
	w.Elect(first, election.Resign{})
	until(t, w, 20*second, "another leads", func() bool { return w.Leader() != nil && w.Leader() != first })
	w.Elect(w.Leader(), election.Resign{})
	for _, c := range w.Controllers {
		c.Crash()
	}
	w.Pass(500 * time.Millisecond)
	first.Start()
	until(t, w, 15*second, "the one that is back leads", func() bool { return w.Leader() == first })
	for _, f := range w.Held {
		f()
		w.Check()
	}
	until(t, w, 2*w.Lease, "all run", func() bool { return on(w, s) == 6 })
	for _, c := range w.Controllers[1:] {
		if !c.Up {
			c.Start()
		}
	}
	w.Pass(w.Lease)
}

// A leader is cut from the state service and the other members; workers and users still reach it. Jobs are
// cancelled through the next one. It tells users nothing older, and what it kept is gone in time.
func TestALeaderThatOnlyWorkersAndUsersReach(t *testing.T) {
	w := members(t, 3, 4)
	s, stays := job(model.Array, 4, nil), job(model.Service, 2, nil)
	running(t, w, s, stays)
	old := w.Leader()
	old.NoNet, old.Alone = true, true
	until(t, w, 20*second, "another leads", func() bool { return w.Leader() != nil && w.Leader() != old })
	tell(t, w, w.Leader(), s)
	for range 12 {
		if v, err := old.Jobs.Lookup(context.Background(), s.ID); err == nil && !v.State.Ended() {
			t.Fatalf("it tells its users that the job is %v", v.State)
		}
		w.Pass(5 * second)
	}
	old.NoNet, old.Alone = false, false
	until(t, w, 2*w.Lease, "replicas run", func() bool { return on(w, stays) == 2 })
	w.Pass(w.CancelIn)
}

// A machine hangs with commands on their way to it, and goes on after its tasks were cancelled, or with its lease
// run out after they were started elsewhere.
func TestAMachineThatGoesOnWithCommandsOfBefore(t *testing.T) {
	for _, long := range []time.Duration{4 * second, 25 * second} {
		w := members(t, 3, 4)
		s, more := job(model.Array, 2, nil), job(model.Array, 6, nil)
		running(t, w, s)
		for _, k := range w.Workers {
			k.Hung = true
		}
		submit(t, w, more)
		w.Pass(500 * time.Millisecond)
		tell(t, w, other(w, w.Leader()), s)
		w.Pass(long)
		for _, k := range w.Workers {
			k.Hung = false
		}
		w.Release()
		until(t, w, 4*w.Lease, "the others run", func() bool { return on(w, more) == 6 })
		w.Pass(w.CancelIn)
	}
}

// More tasks end on a machine than rows used to be kept there, and all their launches, which were answered, are
// repeated by the network: none starts again.
func TestLaunchesOfManyTasksAreRepeated(t *testing.T) {
	w := members(t, 3, 1)
	w.Run, w.Copies = second, 10_000
	s := job(model.Array, 150, func(s *model.Spec) { s.Demand = model.Resources{CPU: 0.05, MemGB: 0.1} })
	submit(t, w, s)
	until(t, w, 60*second, "done", done(t, w, s))
	w.Pass(10 * second)
	before := starts(w, s)
	for _, a := range w.Again {
		a.Do()
		w.Check()
	}
	if n := starts(w, s); n != before || len(w.Again) == 0 {
		t.Errorf("%d starts after %d, by %d repeats", n, before, len(w.Again))
	}
}
