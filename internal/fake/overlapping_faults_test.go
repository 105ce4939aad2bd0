package fake

import (
	"context"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/model"
)

// Pairs of faults that overlap, as operators have seen them; the invariants are checked all along. Those with delayed
// transactions and with cancellations are in delayed_writes_test.go and cancellation_test.go.

// A leader crashes while one machine with long tasks is partitioned and another, which has accepted the next leader's
// token, receives nothing more. No task runs twice, and all run again once both machines are back.
func TestLeaderCrashWithUnreachableWorkersRunsEachTaskOnce(t *testing.T) {
	w := newVotingMembers(t, 3, 4)
	spec := newJob(model.Array, 8, nil)
	startJobs(t, w, spec)
	var partitioned, blocked *Worker
	for _, n := range w.WorkerNames() {
		if worker := w.Workers[n]; worker.CountTasks("wk") > 0 {
			partitioned, blocked = blocked, worker
		}
	}
	old := w.Leader()
	partitioned.Partitioned = true
	old.Crash()
	waitUntil(t, w, 20*second, "the next leader's token is accepted", func() bool {
		return w.Leader() != nil && blocked.FencingToken >= w.Leader().fencingToken
	})
	blocked.InboundBlocked = true
	w.Advance(w.Lease - 2*second)
	if activeTasks(w, spec) < 6 {
		t.Errorf("tasks on machines whose leases hold: got %d, want 6 at least", activeTasks(w, spec))
	}
	old.Start()
	w.Advance(w.Lease)
	partitioned.Partitioned, blocked.InboundBlocked = false, false
	waitUntil(t, w, 3*w.Lease, "all run", func() bool { return activeTasks(w, spec) == 8 })
}

// Leaders resign in favour of each other, all crash, and one is back alone within a second, while commands of its first
// term are held and arrive in its last one.
func TestDelayedCommandsOfFirstTermAreHarmlessAfterReelection(t *testing.T) {
	w := newVotingMembers(t, 3, 4)
	first := w.Leader()
	w.HoldCommands = true
	spec := newJob(model.Array, 6, nil)
	submitJob(t, w, spec)
	waitUntil(t, w, 10*second, "commands are in flight", func() bool { return len(w.HeldCommands) > 0 })
	w.HoldCommands = false
	w.StepElection(first, election.Resign{})
	waitForOtherLeader(t, w, 20*second, first)
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
	waitUntil(t, w, 2*w.Lease, "all run", func() bool { return activeTasks(w, spec) == 6 })
	for _, c := range w.Controllers[1:] {
		if !c.Up {
			c.Start()
		}
	}
	w.Advance(w.Lease)
}

// A leader reaches neither the state service nor the other members, while workers and users reach it. Jobs are
// cancelled through the next leader. It answers users nothing stale, and the tasks that it kept are stopped in time.
func TestLeaderCutFromStateAndPeersAnswersNothingStale(t *testing.T) {
	w := newVotingMembers(t, 3, 4)
	spec, stays := newJob(model.Array, 4, nil), newJob(model.Service, 2, nil)
	startJobs(t, w, spec, stays)
	old := w.Leader()
	old.StateUnreachable, old.PeersUnreachable = true, true
	waitForOtherLeader(t, w, 20*second, old)
	cancelJobs(t, w, w.Leader(), spec)
	for range 12 {
		if v, err := old.Jobs.Lookup(context.Background(), spec.ID); err == nil && !v.State.Ended() {
			t.Fatalf("poll of the cancelled job at the isolated controller: got %v, want it cancelled or an error", v.State)
		}
		w.Advance(5 * second)
	}
	old.StateUnreachable, old.PeersUnreachable = false, false
	waitUntil(t, w, 2*w.Lease, "replicas run", func() bool { return activeTasks(w, stays) == 2 })
	w.Advance(w.CancelDeadline)
}

// Machines hang with commands in flight, and go on after their tasks were cancelled, or with expired leases after the
// tasks were started elsewhere.
func TestHungMachineResumingWithPendingCommandsKeepsInvariants(t *testing.T) {
	for _, long := range []time.Duration{4 * second, 25 * second} {
		w := newVotingMembers(t, 3, 4)
		spec, more := newJob(model.Array, 2, nil), newJob(model.Array, 6, nil)
		startJobs(t, w, spec)
		for _, worker := range w.Workers {
			worker.Hung = true
		}
		submitJob(t, w, more)
		w.Advance(500 * time.Millisecond)
		cancelJobs(t, w, nonLeader(w, w.Leader()), spec)
		w.Advance(long)
		for _, worker := range w.Workers {
			worker.Hung = false
		}
		w.DeliverHeldCommands()
		waitUntil(t, w, 4*w.Lease, "the others run", func() bool { return activeTasks(w, more) == 6 })
		w.Advance(w.CancelDeadline)
	}
}

// Many tasks end on one machine, and the network repeats all their launches, which were answered: none starts again.
func TestRepeatedLaunchesOfManyTasksStartNothing(t *testing.T) {
	w := newVotingMembers(t, 3, 1)
	w.RunTime, w.MaxRetainedHeartbeats = second, 10_000
	spec := newJob(model.Array, 150, func(spec *model.Spec) { spec.Demand = model.Resources{CPU: 0.05, MemGB: 0.1} })
	submitJob(t, w, spec)
	waitUntil(t, w, 60*second, "done", jobDone(t, w, spec))
	w.Advance(10 * second)
	before := startCount(w, spec)
	for _, a := range w.RepeatableCommands {
		a.Repeat()
		w.CheckInvariants()
	}
	if n := startCount(w, spec); n != before || len(w.RepeatableCommands) == 0 {
		t.Errorf("starts after %d repeats: got %d, want %d", len(w.RepeatableCommands), n, before)
	}
}
