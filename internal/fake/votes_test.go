package fake

import (
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

func TestLongStateOutageWithVotesKillsNothing(t *testing.T) {
	w := newVotingDeployment(t, 4)
	serve := newJob(model.Service, 2, nil)
	work := newJob(model.Array, 12, func(spec *model.Spec) { spec.Team = "blue" })
	submitJob(t, w, serve)
	submitJob(t, w, work)
	waitUntil(t, w, 30*second, "all that may run does", func() bool {
		return activeTasks(w, serve) == 2 && activeTasks(w, work) == 4
	})
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
	spec := newJob(model.Service, 2, nil)
	submitJob(t, w, spec)
	waitUntil(t, w, 30*second, "replicas run", func() bool { return activeTasks(w, spec) == 2 })
	old := w.Leader()
	w.State.SetDown(true)
	w.Advance(20 * second)
	old.Crash()
	w.Advance(5 * second)
	old.Start() // without memory and without the records it does not vote, and there is no leader
	w.Advance(10 * second)
	if w.Leader() != nil {
		t.Error("a controller leads without having read the state service")
	}
	w.State.SetDown(false)
	waitForLeader(t, w, 20*second)
	waitUntil(t, w, 60*second, "replicas run", func() bool { return activeTasks(w, spec) == 2 })
}

func TestLeaderWithoutStateServiceIsReplaced(t *testing.T) {
	w := newVotingDeployment(t, 4)
	w.RunTime = 300 * second
	spec := newJob(model.Array, 4, nil)
	submitJob(t, w, spec)
	waitUntil(t, w, 30*second, "tasks run", func() bool { return activeTasks(w, spec) == 4 })
	old := w.Leader()
	old.StateUnreachable = true
	w.Advance(2 * second)
	cancelJobs(t, w, nonLeader(w, old), spec)
	// That it is stopped in time is checked whoever leads.
	waitForOtherLeader(t, w, 15*second, old)
	waitUntil(t, w, w.CancelDeadline, "its tasks are stopped", func() bool { return activeTasks(w, spec) == 0 })
	w.Advance(60 * second)
}

func TestCancellationReachesLeaderThroughPeers(t *testing.T) {
	w := newVotingDeployment(t, 4)
	w.RunTime = 300 * second
	spec := newJob(model.Array, 4, nil)
	submitJob(t, w, spec)
	waitUntil(t, w, 30*second, "tasks run", func() bool { return activeTasks(w, spec) == 4 })
	leader := w.Leader()
	leader.StateUnreachable = true // a moment before the outage for all
	cancelJobs(t, w, nonLeader(w, leader), spec)
	w.State.SetDown(true)
	waitUntil(t, w, 5*second, "the leader has heard of it", func() bool { return activeTasks(w, spec) == 0 })
	if w.Leader() != leader {
		t.Error("the leader has changed")
	}
}

func TestLeaderWithNonVotingMemberStopsInOutage(t *testing.T) {
	w := newVotingDeployment(t, 4)
	for _, c := range w.Controllers {
		if c != w.Leader() {
			c.electionSettings.VoteDuration = 0 // as in a version without votes
			c.Crash()
			c.Start()
			break
		}
	}
	spec := newJob(model.Service, 1, nil)
	submitJob(t, w, spec)
	waitUntil(t, w, 30*second, "it runs", func() bool { return activeTasks(w, spec) == 1 })
	w.State.SetDown(true)
	w.Advance(6 * second)
	if w.Leader() != nil {
		t.Error("a leader acts although not all members have voted for it")
	}
	w.State.SetDown(false)
	waitForLeader(t, w, 10*second)
}

func TestFailoverWithVotesIsNoSlower(t *testing.T) {
	took := func(w *World, crash func()) time.Duration {
		w.Advance(5 * second)
		at := w.Now()
		crash()
		waitForLeader(t, w, 30*second)
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
		t.Logf("%s: %v without votes, %v with", name, without, with)
		if with > without+time.Second {
			t.Errorf("%s: %v without votes, %v with", name, without, with)
		}
	}
}

// Another member crashes in an outage and has no memory when it is back. The leader goes on for as long as that member
// has voted for it: workers' leases hold until the outage ends. It starts nothing after the regular time of a vote,
// since the other member may have confirmed cancellations; those take effect in time all the same.
func TestMemberCrashInStateOutageKillsNothing(t *testing.T) {
	w := newVotingDeploymentFor(t, 4, 10*second)
	serve := newJob(model.Service, 2, nil)
	work := newJob(model.Array, 40, func(spec *model.Spec) { spec.Team = "blue" })
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
	leader.StateUnreachable = true // the leader does not read the cancellation any more
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
		t.Error("the leader has lost its leadership with the other member")
	}
	if n := startCount(w, work); n != before {
		t.Errorf("tasks started by a vote that may be outdated: got %d, want 0", n-before)
	}
	w.Advance(8 * second)
	w.State.SetDown(false)
	waitUntil(t, w, 20*second, "all goes on", func() bool { return w.Leader() != nil && startCount(w, work) > before })
	if n := startCount(w, serve); n != 2 || activeTasks(w, gone) != 0 {
		t.Errorf("replicas were started %d times, of 2; %d of the cancelled job run", n, activeTasks(w, gone))
	}
}

// The leader crashes in an outage. The other members have voted for it for long, and are free as soon as it says after
// its restart that it does not lead.
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
	waitForLeader(t, w, 20*second)
	if took := w.now.Sub(at); took > 6*second {
		t.Errorf("failover after the outage: got %v, want 6 s at most", took)
	}
}
