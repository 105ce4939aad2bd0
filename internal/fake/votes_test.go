package fake

import (
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// newVotingDeployment is the small deployment whose controllers promise the leader not to take over.
func newVotingDeployment(t *testing.T, machines int) *World {
	t.Helper()
	return newVotingDeploymentFor(t, machines, 0)
}

// newVotingDeploymentFor is the same; in outages they promise for longer.
func newVotingDeploymentFor(t *testing.T, machines int, outage time.Duration) *World {
	t.Helper()
	w := newDeployment(t, machines)
	for _, c := range w.Controllers {
		c.electionSettings.VoteDuration, c.electionSettings.OutageVoteDuration = c.electionSettings.LeaseDuration*7/8, outage
		c.Crash()
		c.Start()
	}
	waitUntil(t, w, 10*second, "another leads", func() bool { return w.Leader() != nil })
	return w
}

// startCount counts how often the tasks of a job were started.
func startCount(w *World, s *model.Spec) int {
	n := 0
	for i := range s.Tasks {
		n += w.Starts[model.TaskID{Job: s.ID, Index: i}]
	}
	return n
}

// cancelOnNonLeader cancels a job through another controller than one.
func cancelOnNonLeader(t *testing.T, w *World, than *Controller, s *model.Spec) {
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

func TestLongStateOutageWithVotesKillsNothing(t *testing.T) {
	w := newVotingDeployment(t, 4)
	serve := newJob(model.Service, 2, nil)
	work := newJob(model.Array, 12, func(s *model.Spec) { s.Team = "blue" })
	submitJob(t, w, serve)
	submitJob(t, w, work)
	waitUntil(t, w, 30*second, "all that may run does", func() bool { return activeTasks(w, serve) == 2 && activeTasks(w, work) == 4 })
	leader := w.Leader()
	w.State.SetDown(true)
	for range 120 {
		w.Advance(second)
		if w.Leader() != leader || activeTasks(w, serve) != 2 {
			t.Fatalf("%d replicas, leader %v", activeTasks(w, serve), w.Leader())
		}
	}
	if startCount(w, work) != 12 || activeTasks(w, work) != 0 {
		t.Errorf("%d starts of 12 tasks in the outage, %d run", startCount(w, work), activeTasks(w, work))
	}
	w.State.SetDown(false)
	waitUntil(t, w, 10*second, "done is on record", jobDone(t, w, work))
	if startCount(w, serve) != 2 || startCount(w, work) != 12 {
		t.Errorf("starts: %d of 2 replicas, %d of 12 tasks", startCount(w, serve), startCount(w, work))
	}
}

func TestLeaderCrashInStateOutageLeavesNoLeader(t *testing.T) {
	w := newVotingDeployment(t, 4)
	s := newJob(model.Service, 2, nil)
	submitJob(t, w, s)
	waitUntil(t, w, 30*second, "replicas run", func() bool { return activeTasks(w, s) == 2 })
	old := w.Leader()
	w.State.SetDown(true)
	w.Advance(20 * second)
	old.Crash()
	w.Advance(5 * second)
	old.Start() // without memory, and without the records: it promises nothing, and nobody leads
	w.Advance(10 * second)
	if w.Leader() != nil {
		t.Error("somebody leads without the state service's word")
	}
	w.State.SetDown(false)
	waitUntil(t, w, 20*second, "another leads", func() bool { return w.Leader() != nil })
	waitUntil(t, w, 60*second, "replicas run", func() bool { return activeTasks(w, s) == 2 })
}

func TestLeaderWithoutStateServiceIsReplaced(t *testing.T) {
	w := newVotingDeployment(t, 4)
	w.RunTime = 300 * second
	s := newJob(model.Array, 4, nil)
	submitJob(t, w, s)
	waitUntil(t, w, 30*second, "tasks run", func() bool { return activeTasks(w, s) == 4 })
	old := w.Leader()
	old.StateUnreachable = true
	w.Advance(2 * second)
	cancelOnNonLeader(t, w, old, s)
	// The world checks that it is gone in time whoever leads.
	waitUntil(t, w, 15*second, "another leads", func() bool { l := w.Leader(); return l != nil && l != old })
	waitUntil(t, w, w.CancelDeadline, "it is gone", func() bool { return activeTasks(w, s) == 0 })
	w.Advance(60 * second)
}

func TestCancellationReachesLeaderThroughPeers(t *testing.T) {
	w := newVotingDeployment(t, 4)
	w.RunTime = 300 * second
	s := newJob(model.Array, 4, nil)
	submitJob(t, w, s)
	waitUntil(t, w, 30*second, "tasks run", func() bool { return activeTasks(w, s) == 4 })
	leader := w.Leader()
	leader.StateUnreachable = true // an instant before the outage for all
	cancelOnNonLeader(t, w, leader, s)
	w.State.SetDown(true)
	waitUntil(t, w, 5*second, "the leader has heard of it", func() bool { return activeTasks(w, s) == 0 })
	if w.Leader() != leader {
		t.Error("the leader has changed")
	}
}

func TestLeaderWithNonVotingMemberStopsInOutage(t *testing.T) {
	w := newVotingDeployment(t, 4)
	for _, c := range w.Controllers {
		if c != w.Leader() {
			c.electionSettings.VoteDuration = 0 // of a version that knows no promises
			c.Crash()
			c.Start()
			break
		}
	}
	s := newJob(model.Service, 1, nil)
	submitJob(t, w, s)
	waitUntil(t, w, 30*second, "it runs", func() bool { return activeTasks(w, s) == 1 })
	w.State.SetDown(true)
	w.Advance(6 * second)
	if w.Leader() != nil {
		t.Error("a leader acts though not all have promised")
	}
	w.State.SetDown(false)
	waitUntil(t, w, 10*second, "somebody leads", func() bool { return w.Leader() != nil })
}

func TestFailoverWithVotesIsNoSlower(t *testing.T) {
	took := func(w *World, crash func()) time.Duration {
		w.Advance(5 * second)
		at := w.Now()
		crash()
		waitUntil(t, w, 30*second, "somebody leads", func() bool { return w.Leader() != nil })
		return w.Now().Sub(at)
	}
	one := func(w *World) time.Duration { return took(w, func() { w.Leader().Crash() }) }
	all := func(w *World) time.Duration {
		return took(w, func() {
			for _, c := range w.Controllers {
				c.Crash()
			}
			w.Advance(3 * second)
			for _, c := range w.Controllers {
				c.Start()
			}
		})
	}
	for name, how := range map[string]func(*World) time.Duration{"the leader": one, "all": all} {
		without, with := how(newDeployment(t, 2)), how(newVotingDeployment(t, 2))
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
func TestMemberCrashInStateOutageKillsNothing(t *testing.T) {
	w := newVotingDeploymentFor(t, 4, 10*second)
	serve := newJob(model.Service, 2, nil)
	work := newJob(model.Array, 40, func(s *model.Spec) { s.Team = "blue" })
	gone := newJob(model.Service, 1, nil)
	submitJob(t, w, serve)
	submitJob(t, w, work)
	submitJob(t, w, gone)
	waitUntil(t, w, 30*second, "all that may run does", func() bool {
		return activeTasks(w, serve) == 2 && activeTasks(w, work) == 4 && activeTasks(w, gone) == 1
	})
	leader := w.Leader()
	other := w.Controllers[0]
	if other == leader {
		other = w.Controllers[1]
	}
	leader.StateUnreachable = true // the leader does not hear of the cancellation any more
	if _, err := w.Cancel(other, gone.ID); err != nil {
		t.Fatal(err)
	}
	w.State.SetDown(true)
	w.Advance(5 * second)
	leader.StateUnreachable = false
	if w.Leader() != leader {
		t.Fatal("the leader does not outlive the outage")
	}
	other.Crash()
	other.Start()
	w.Advance(5 * second)
	before := startCount(w, work)
	w.Advance(3 * second)
	if w.Leader() != leader {
		t.Error("the right has ended with the other member")
	}
	if n := startCount(w, work); n != before {
		t.Errorf("%d tasks were started by a promise that may be of old", n-before)
	}
	w.Advance(8 * second)
	w.State.SetDown(false)
	waitUntil(t, w, 20*second, "all goes on", func() bool { return w.Leader() != nil && startCount(w, work) > before })
	if n := startCount(w, serve); n != 2 || activeTasks(w, gone) != 0 {
		t.Errorf("replicas were started %d times, of 2; %d of the cancelled job run", n, activeTasks(w, gone))
	}
}

// The leader crashes in an outage. The others are bound to it for long, and free as soon as its
// new life says that it leads no more.
func TestLongVoteDoesNotDelayFailover(t *testing.T) {
	w := newVotingDeploymentFor(t, 2, 10*second)
	leader := w.Leader()
	w.State.SetDown(true)
	w.Advance(8 * second)
	leader.Crash()
	w.Advance(2 * second)
	leader.Start()
	w.State.SetDown(false)
	at := w.now
	waitUntil(t, w, 20*second, "somebody leads", func() bool { return w.Leader() != nil })
	if took := w.now.Sub(at); took > 6*second {
		t.Errorf("a takeover after the outage took %v", took)
	}
}
