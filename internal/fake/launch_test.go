package fake

import (
	"testing"

	"github.com/glentiller/glentiller/internal/model"
)

func TestLeaderCrashWithLaunchInFlightRunsEachTaskOnce(t *testing.T) {
	w := newDeployment(t, 3)
	spec := newJob(model.Array, 4, nil)
	w.RunTime = 30 * second
	w.HoldCommands = true // the network holds direct launches
	submitJob(t, w, spec)
	waitUntil(t, w, 3*second, "direct launches are in transit", func() bool { return len(w.HeldCommands) > 0 })
	formerLeader := w.Leader()
	formerLeader.Crash()
	w.HoldCommands = false
	waitForOtherLeader(t, w, 20*second, formerLeader)
	waitUntil(t, w, 20*second, "all tasks run", func() bool { return activeTasks(w, spec) == 4 })
	for _, deliver := range w.HeldCommands {
		deliver() // the launches arrive after the workers know the new leader's fencing token
	}
	w.Advance(5 * second)
	waitUntil(t, w, 60*second, "the job is done", jobDone(t, w, spec))
}

func TestDelayedLaunchAfterCompletionStartsNothing(t *testing.T) {
	w := newDeployment(t, 2)
	w.RunTime = 2 * second
	spec := newJob(model.Array, 1, nil)
	w.HoldCommands = true
	submitJob(t, w, spec)
	waitUntil(t, w, 30*second, "the job is done by the launch in a heartbeat response", jobDone(t, w, spec))
	w.Advance(10 * second)
	delete(w.Completed, model.TaskID{Job: spec.ID}) // otherwise a second start would exit at once and go unnoticed
	for _, deliver := range w.HeldCommands {
		deliver()
	}
	w.Advance(3 * second)
	if active := activeTasks(w, spec); active != 0 {
		t.Errorf("a delayed copy of the launch started the task again: it is on %d machines, want none", active)
	}
}

// Two copies of a launch are in transit at once: the network holds the first one, and the second one, sent with a stop,
// is answered. The answer does not show whether the first copy may still arrive. It must not start the task again.
func TestAnsweredDuplicateLaunchIsNotStartedAgain(t *testing.T) {
	w := newDeployment(t, 2)
	setInboundBlocked := func(blocked bool) {
		for _, worker := range w.Workers {
			worker.InboundBlocked = blocked
		}
	}
	setInboundBlocked(true) // heartbeat responses would deliver the launch before the second copy
	spec := newJob(model.Array, 1, nil)
	w.HoldCommands = true
	submitJob(t, w, spec)
	waitUntil(t, w, 3*second, "the first copy is in transit", func() bool { return len(w.HeldCommands) > 0 })
	w.HoldCommands = false
	if _, err := w.Cancel(w.Controllers[0], spec.ID); err != nil {
		t.Fatal(err)
	}
	w.Advance(4 * second) // an unanswered command delays the next one
	sentBefore := w.DirectCommands
	submitJob(t, w, newJob(model.Array, 4, nil)) // the command that launches these also carries the second copy
	waitUntil(t, w, 3*second, "the second copy is answered", func() bool { return w.DirectCommands > sentBefore })
	setInboundBlocked(false)
	w.Advance(20 * second) // enough for the worker to be told to forget all tasks that may be forgotten
	startsBefore := w.Launches[model.TaskID{Job: spec.ID}]
	for _, deliver := range w.HeldCommands {
		deliver()
	}
	if got := w.Launches[model.TaskID{Job: spec.ID}]; got != startsBefore {
		t.Errorf("the first copy started the task again: got %d starts before it and %d after", startsBefore, got)
	}
}

func TestCancelledJobWithLaunchInFlightDoesNotRun(t *testing.T) {
	w := newDeployment(t, 2)
	w.RunTime = 300 * second
	spec := newJob(model.Service, 2, nil)
	w.HoldCommands = true
	submitJob(t, w, spec)
	waitUntil(t, w, 3*second, "direct launches are in transit", func() bool { return len(w.HeldCommands) > 0 })
	if _, err := w.Cancel(w.Controllers[1], spec.ID); err != nil {
		t.Fatal(err)
	}
	w.Advance(20 * second)
	for _, deliver := range w.HeldCommands {
		deliver()
	}
	w.Advance(60 * second) // the World checks the invariant ran_cancelled
	if active := activeTasks(w, spec); active != 0 {
		t.Errorf("got %d running tasks of a cancelled job, want none", active)
	}
}
