package fake

import (
	"testing"

	"github.com/glentiller/glentiller/internal/model"
)

func TestLeaderCrashWithLaunchInFlightRunsEachTaskOnce(t *testing.T) {
	w := newDeployment(t, 3)
	spec := newJob(model.Array, 4, nil)
	w.RunTime = 30 * second
	w.HoldCommands = true // direct launches are held in the network
	submitJob(t, w, spec)
	waitUntil(t, w, 3*second, "direct launches are on their way", func() bool { return len(w.HeldCommands) > 0 })
	old := w.Leader()
	old.Crash()
	w.HoldCommands = false
	waitForOtherLeader(t, w, 20*second, old)
	waitUntil(t, w, 20*second, "all tasks run", func() bool { return activeTasks(w, spec) == 4 })
	for _, f := range w.HeldCommands {
		f() // minutes late: the new leader's token is known to the workers
	}
	w.Advance(5 * second)
	waitUntil(t, w, 60*second, "done", jobDone(t, w, spec))
}

func TestDelayedLaunchAfterCompletionStartsNothing(t *testing.T) {
	w := newDeployment(t, 2)
	w.RunTime = 2 * second
	spec := newJob(model.Array, 1, nil)
	w.HoldCommands = true
	submitJob(t, w, spec)
	waitUntil(t, w, 30*second, "done by the launch in a report's answer", jobDone(t, w, spec))
	w.Advance(10 * second)
	delete(w.Completed, model.TaskID{Job: spec.ID}) // a second start would show as one that runs
	for _, f := range w.HeldCommands {
		f()
	}
	w.Advance(3 * second)
	if n := activeTasks(w, spec); n != 0 {
		t.Errorf("a late copy of the launch started the task again: on %d machines", n)
	}
}

// Two copies of a launch are out at once: the first one hangs in the network, the second
// one, sent with a stop, is answered. The answer says nothing of the first.
func TestAnsweredDuplicateLaunchIsNotStartedAgain(t *testing.T) {
	w := newDeployment(t, 2)
	answers := func(lost bool) {
		for _, worker := range w.Workers {
			worker.InboundBlocked = lost
		}
	}
	answers(true) // they would bring the launch before the second copy does
	spec := newJob(model.Array, 1, nil)
	w.HoldCommands = true
	submitJob(t, w, spec)
	waitUntil(t, w, 3*second, "the first copy is on its way", func() bool { return len(w.HeldCommands) > 0 })
	w.HoldCommands = false
	if _, err := w.Cancel(w.Controllers[0], spec.ID); err != nil {
		t.Fatal(err)
	}
	w.Advance(4 * second) // a command that was not answered puts the next one off
	sent := w.DirectCommands
	submitJob(t, w, newJob(model.Array, 4, nil)) // the command for these takes the second copy along
	waitUntil(t, w, 3*second, "the second copy is answered", func() bool { return w.DirectCommands > sent })
	answers(false)
	w.Advance(20 * second) // the worker has long forgotten the tasks that it may
	starts := w.Starts[model.TaskID{Job: spec.ID}]
	for _, f := range w.HeldCommands {
		f()
	}
	if got := w.Starts[model.TaskID{Job: spec.ID}]; got != starts {
		t.Errorf("the first copy started the task again: %d starts, then %d", starts, got)
	}
}

func TestCancelledJobWithLaunchInFlightDoesNotRun(t *testing.T) {
	w := newDeployment(t, 2)
	w.RunTime = 300 * second
	spec := newJob(model.Service, 2, nil)
	w.HoldCommands = true
	submitJob(t, w, spec)
	waitUntil(t, w, 3*second, "direct launches are on their way", func() bool { return len(w.HeldCommands) > 0 })
	if _, err := w.Cancel(w.Controllers[1], spec.ID); err != nil {
		t.Fatal(err)
	}
	w.Advance(20 * second)
	for _, f := range w.HeldCommands {
		f()
	}
	w.Advance(60 * second) // the world checks ran_cancelled
	if n := activeTasks(w, spec); n != 0 {
		t.Errorf("%d tasks of a cancelled job run", n)
	}
}
