package fake

import (
	"context"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/model"
)

// The tests in this file let two faults overlap in ways that operators have observed. World checks the invariants
// with each tick. Tests with delayed transactions are in delayed_writes_test.go, those with cancellations in
// cancellation_test.go.

// The leader crashes while one machine with long tasks is partitioned. A second machine stops receiving messages
// after it has accepted the next leader's fencing token. No task may run twice, and all tasks have to run again once
// both machines are reachable.
func TestLeaderCrashWithUnreachableWorkersRunsEachTaskOnce(t *testing.T) {
	w := newVotingTestWorld(t, 3, 4)
	spec := newJob(model.Array, 8, nil)
	startJobs(t, w, spec)
	var partitioned, blocked *Worker
	for _, name := range w.WorkerNames() {
		if worker := w.Workers[name]; worker.CountTasks("wk") > 0 {
			partitioned, blocked = blocked, worker
		}
	}
	crashed := w.Leader()
	partitioned.Partitioned = true
	crashed.Crash()
	waitUntil(t, w, 20*second, "the worker has accepted the next leader's token", func() bool {
		return w.Leader() != nil && blocked.FencingToken >= w.Leader().fencingToken
	})
	blocked.InboundBlocked = true
	w.Advance(w.Lease - 2*second)
	if activeTasks(w, spec) < 6 {
		t.Errorf("active tasks before the leases expire: got %d, want at least 6", activeTasks(w, spec))
	}
	crashed.Start()
	w.Advance(w.Lease)
	partitioned.Partitioned, blocked.InboundBlocked = false, false
	waitUntil(t, w, 3*w.Lease, "all tasks are active", func() bool { return activeTasks(w, spec) == 8 })
}

// The leader resigns and so does its successor, then all controllers crash, and the first leader restarts alone
// within a second. Commands that it sent in its first term are delayed until it leads again. They must not violate an
// invariant.
func TestDelayedCommandsOfFirstTermAreHarmlessAfterReelection(t *testing.T) {
	w := newVotingTestWorld(t, 3, 4)
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
	waitUntil(t, w, 15*second, "the restarted controller leads", func() bool { return w.Leader() == first })
	for _, deliver := range w.HeldCommands {
		deliver()
		w.CheckInvariants()
	}
	waitUntil(t, w, 2*w.Lease, "all tasks are active", func() bool { return activeTasks(w, spec) == 6 })
	for _, c := range w.Controllers[1:] {
		if !c.Up {
			c.Start()
		}
	}
	w.Advance(w.Lease)
}

// The leader can reach neither the state service nor the other controllers, while workers and users still reach it. A
// job is cancelled through the next leader. The isolated leader must not give users a stale answer, and the tasks of
// the cancelled job on its workers have to end within the deadline.
func TestLeaderCutFromStateAndPeersAnswersNothingStale(t *testing.T) {
	w := newVotingTestWorld(t, 3, 4)
	cancelled, remaining := newJob(model.Array, 4, nil), newJob(model.Service, 2, nil)
	startJobs(t, w, cancelled, remaining)
	isolated := w.Leader()
	isolated.StateUnreachable, isolated.PeersUnreachable = true, true
	waitForOtherLeader(t, w, 20*second, isolated)
	cancelJobs(t, w, w.Leader(), cancelled)
	for range 12 {
		if record, err := isolated.Jobs.Lookup(context.Background(), cancelled.ID); err == nil && !record.State.Ended() {
			t.Fatalf("poll of the cancelled job at the isolated controller: got %v, want cancelled or an error", record.State)
		}
		w.Advance(5 * second)
	}
	isolated.StateUnreachable, isolated.PeersUnreachable = false, false
	waitUntil(t, w, 2*w.Lease, "the replicas are active", func() bool { return activeTasks(w, remaining) == 2 })
	w.Advance(w.CancelDeadline)
}

// All machines hang while commands to them are in flight. They resume either before their leases expire, after their
// tasks were cancelled, or with expired leases, after new tasks may have been started on other machines.
func TestHungMachineResumingWithPendingCommandsKeepsInvariants(t *testing.T) {
	for _, hangTime := range []time.Duration{4 * second, 25 * second} {
		w := newVotingTestWorld(t, 3, 4)
		cancelled, later := newJob(model.Array, 2, nil), newJob(model.Array, 6, nil)
		startJobs(t, w, cancelled)
		for _, worker := range w.Workers {
			worker.Hung = true
		}
		submitJob(t, w, later)
		w.Advance(500 * time.Millisecond)
		cancelJobs(t, w, nonLeader(w, w.Leader()), cancelled)
		w.Advance(hangTime)
		for _, worker := range w.Workers {
			worker.Hung = false
		}
		w.DeliverHeldCommands()
		waitUntil(t, w, 4*w.Lease, "the tasks of the other job are active", func() bool { return activeTasks(w, later) == 6 })
		w.Advance(w.CancelDeadline)
	}
}

// Many tasks end on one machine. Then the network repeats their launch commands, all of which had been answered. No
// task may start again.
func TestRepeatedLaunchesOfManyTasksStartNothing(t *testing.T) {
	w := newVotingTestWorld(t, 3, 1)
	w.RunTime, w.MaxRetainedMessages = second, 10_000
	spec := newJob(model.Array, 150, func(spec *model.Spec) { spec.Demand = model.Resources{CPU: 0.05, MemGB: 0.1} })
	submitJob(t, w, spec)
	waitUntil(t, w, 60*second, "the job is done", jobDone(t, w, spec))
	w.Advance(10 * second)
	before := startCount(w, spec)
	for _, command := range w.RepeatableCommands {
		command.Repeat()
		w.CheckInvariants()
	}
	if n := startCount(w, spec); n != before || len(w.RepeatableCommands) == 0 {
		t.Errorf("launches after %d repeated commands: got %d, want %d", len(w.RepeatableCommands), n, before)
	}
}
