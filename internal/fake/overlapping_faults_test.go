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
func TestLeaderCrashWithUnreachableWorkersRunsEachTaskOnce(t *testing.T) {
	w := newVotingMembers(t, 3, 4)
	s := newJob(model.Array, 8, nil)
	startJobs(t, w, s)
	var reach, deaf *Worker
	for _, n := range w.WorkerNames() {
		if k := w.Workers[n]; k.CountTasks("wk") > 0 {
			reach, deaf = deaf, k
		}
	}
	old := w.Leader()
	reach.Partitioned = true
	old.Crash()
	waitUntil(t, w, 20*second, "the next leader's token has come", func() bool { return w.Leader() != nil && deaf.FencingToken >= w.Leader().fencingToken })
	deaf.InboundBlocked = true
	w.Advance(w.Lease - 2*second)
	if activeTasks(w, s) < 6 {
		t.Errorf("%d tasks run: those of machines whose leases hold are gone", activeTasks(w, s))
	}
	old.Start()
	w.Advance(w.Lease)
	reach.Partitioned, deaf.InboundBlocked = false, false
	waitUntil(t, w, 3*w.Lease, "all run", func() bool { return activeTasks(w, s) == 8 })
}

// Leaders hand over and back, all end, and one is back within a second, alone, while commands of the first
// term are held up and arrive in the last one.
func TestDelayedCommandsOfFirstTermAreHarmlessAfterReelection(t *testing.T) {
	w := newVotingMembers(t, 3, 4)
	first := w.Leader()
	w.HoldCommands = true
	s := newJob(model.Array, 6, nil)
	submitJob(t, w, s)
	waitUntil(t, w, 10*second, "commands are on their way", func() bool { return len(w.HeldCommands) > 0 })
	w.HoldCommands = false
	w.StepElection(first, election.Resign{})
	waitUntil(t, w, 20*second, "another leads", func() bool { return w.Leader() != nil && w.Leader() != first })
	w.StepElection(w.Leader(), election.Resign{})
	for _, c := range w.Controllers {
		c.Crash()
	}
	w.Advance(500 * time.Millisecond)
	first.Start()
	waitUntil(t, w, 15*second, "the one that is back leads", func() bool { return w.Leader() == first })
	for _, f := range w.HeldCommands {
		f()
		w.CheckInvariants()
	}
	waitUntil(t, w, 2*w.Lease, "all run", func() bool { return activeTasks(w, s) == 6 })
	for _, c := range w.Controllers[1:] {
		if !c.Up {
			c.Start()
		}
	}
	w.Advance(w.Lease)
}

// A leader is cut from the state service and the other members; workers and users still reach it. Jobs are
// cancelled through the next one. It tells users nothing older, and what it kept is gone in time.
func TestLeaderCutFromStateAndPeersAnswersNothingStale(t *testing.T) {
	w := newVotingMembers(t, 3, 4)
	s, stays := newJob(model.Array, 4, nil), newJob(model.Service, 2, nil)
	startJobs(t, w, s, stays)
	old := w.Leader()
	old.StateUnreachable, old.PeersUnreachable = true, true
	waitUntil(t, w, 20*second, "another leads", func() bool { return w.Leader() != nil && w.Leader() != old })
	cancelJobs(t, w, w.Leader(), s)
	for range 12 {
		if v, err := old.Jobs.Lookup(context.Background(), s.ID); err == nil && !v.State.Ended() {
			t.Fatalf("it tells its users that the job is %v", v.State)
		}
		w.Advance(5 * second)
	}
	old.StateUnreachable, old.PeersUnreachable = false, false
	waitUntil(t, w, 2*w.Lease, "replicas run", func() bool { return activeTasks(w, stays) == 2 })
	w.Advance(w.CancelDeadline)
}

// A machine hangs with commands on their way to it, and goes on after its tasks were cancelled, or with its lease
// run out after they were started elsewhere.
func TestHungMachineResumingWithPendingCommandsKeepsInvariants(t *testing.T) {
	for _, long := range []time.Duration{4 * second, 25 * second} {
		w := newVotingMembers(t, 3, 4)
		s, more := newJob(model.Array, 2, nil), newJob(model.Array, 6, nil)
		startJobs(t, w, s)
		for _, k := range w.Workers {
			k.Hung = true
		}
		submitJob(t, w, more)
		w.Advance(500 * time.Millisecond)
		cancelJobs(t, w, nonLeader(w, w.Leader()), s)
		w.Advance(long)
		for _, k := range w.Workers {
			k.Hung = false
		}
		w.DeliverHeldCommands()
		waitUntil(t, w, 4*w.Lease, "the others run", func() bool { return activeTasks(w, more) == 6 })
		w.Advance(w.CancelDeadline)
	}
}

// More tasks end on a machine than rows used to be kept there, and all their launches, which were answered, are
// repeated by the network: none starts again.
func TestRepeatedLaunchesOfManyTasksStartNothing(t *testing.T) {
	w := newVotingMembers(t, 3, 1)
	w.RunTime, w.MaxRetainedHeartbeats = second, 10_000
	s := newJob(model.Array, 150, func(s *model.Spec) { s.Demand = model.Resources{CPU: 0.05, MemGB: 0.1} })
	submitJob(t, w, s)
	waitUntil(t, w, 60*second, "done", jobDone(t, w, s))
	w.Advance(10 * second)
	before := startCount(w, s)
	for _, a := range w.RepeatableCommands {
		a.Repeat()
		w.CheckInvariants()
	}
	if n := startCount(w, s); n != before || len(w.RepeatableCommands) == 0 {
		t.Errorf("%d starts after %d, by %d repeats", n, before, len(w.RepeatableCommands))
	}
}
