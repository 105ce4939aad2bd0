package fake

import (
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

func TestLongStateOutageWithVotesKillsNothing(t *testing.T) {
	w := newVotingDeployment(t, 4)
	service := newJob(model.Service, 2, nil)
	array := newJob(model.Array, 12, func(spec *model.Spec) { spec.Team = "blue" })
	submitJob(t, w, service)
	submitJob(t, w, array)
	waitUntil(t, w, 30*second, "both jobs are active up to their teams' quotas", func() bool {
		return activeTasks(w, service) == 2 && activeTasks(w, array) == 4
	})
	leader := w.Leader()
	w.State.SetDown(true)
	for range 120 {
		w.Advance(second)
		if w.Leader() != leader || activeTasks(w, service) != 2 {
			t.Fatalf("in the outage: got %d active replicas and leader %v, want 2 and the same leader",
				activeTasks(w, service), w.Leader())
		}
	}
	if startCount(w, array) != 12 || activeTasks(w, array) != 0 {
		t.Errorf("array job in the outage: got %d launches and %d active tasks, want 12 and 0",
			startCount(w, array), activeTasks(w, array))
	}
	w.State.SetDown(false)
	waitUntil(t, w, 10*second, "the end of the array job is recorded", jobDone(t, w, array))
	if startCount(w, service) != 2 || startCount(w, array) != 12 {
		t.Errorf("launches: got %d of the service and %d of the array job, want 2 and 12",
			startCount(w, service), startCount(w, array))
	}
}

func TestLeaderCrashInStateOutageLeavesNoLeader(t *testing.T) {
	w := newVotingDeployment(t, 4)
	spec := newJob(model.Service, 2, nil)
	submitJob(t, w, spec)
	waitUntil(t, w, 30*second, "the replicas are active", func() bool { return activeTasks(w, spec) == 2 })
	crashed := w.Leader()
	w.State.SetDown(true)
	w.Advance(20 * second)
	crashed.Crash()
	w.Advance(5 * second)
	crashed.Start() // it has lost its state and cannot read the records, so it does not vote, and no leader is elected
	w.Advance(10 * second)
	if w.Leader() != nil {
		t.Error("a controller leads without having read the state service")
	}
	w.State.SetDown(false)
	waitForLeader(t, w, 20*second)
	waitUntil(t, w, 60*second, "the replicas are active", func() bool { return activeTasks(w, spec) == 2 })
}

func TestLeaderWithoutStateServiceIsReplaced(t *testing.T) {
	w := newVotingDeployment(t, 4)
	w.RunTime = 300 * second
	spec := newJob(model.Array, 4, nil)
	submitJob(t, w, spec)
	waitUntil(t, w, 30*second, "all tasks are active", func() bool { return activeTasks(w, spec) == 4 })
	isolated := w.Leader()
	isolated.StateUnreachable = true
	w.Advance(2 * second)
	cancelJobs(t, w, nonLeader(w, isolated), spec)
	// World checks the cancellation deadline, whichever controller leads.
	waitForOtherLeader(t, w, 15*second, isolated)
	waitUntil(t, w, w.CancelDeadline, "the cancelled tasks have ended", func() bool { return activeTasks(w, spec) == 0 })
	w.Advance(60 * second)
}

func TestCancellationReachesLeaderThroughPeers(t *testing.T) {
	w := newVotingDeployment(t, 4)
	w.RunTime = 300 * second
	spec := newJob(model.Array, 4, nil)
	submitJob(t, w, spec)
	waitUntil(t, w, 30*second, "all tasks are active", func() bool { return activeTasks(w, spec) == 4 })
	leader := w.Leader()
	leader.StateUnreachable = true // just before the outage for all controllers
	cancelJobs(t, w, nonLeader(w, leader), spec)
	w.State.SetDown(true)
	waitUntil(t, w, 5*second, "the cancelled tasks have ended", func() bool { return activeTasks(w, spec) == 0 })
	if w.Leader() != leader {
		t.Error("the leader lost its leadership in the outage")
	}
}

func TestLeaderWithNonVotingMemberStopsInOutage(t *testing.T) {
	w := newVotingDeployment(t, 4)
	for _, c := range w.Controllers {
		if c != w.Leader() {
			c.electionSettings.VoteDuration = 0 // as in a program version without votes
			c.Crash()
			c.Start()
			break
		}
	}
	spec := newJob(model.Service, 1, nil)
	submitJob(t, w, spec)
	waitUntil(t, w, 30*second, "the replica is active", func() bool { return activeTasks(w, spec) == 1 })
	w.State.SetDown(true)
	w.Advance(6 * second)
	if w.Leader() != nil {
		t.Error("a controller leads although not all other members have voted for it")
	}
	w.State.SetDown(false)
	waitForLeader(t, w, 10*second)
}

func TestFailoverWithVotesIsNoSlower(t *testing.T) {
	failoverTime := func(w *World, crash func()) time.Duration {
		w.Advance(5 * second)
		crashedAt := w.Now()
		crash()
		waitForLeader(t, w, 30*second)
		return w.Now().Sub(crashedAt)
	}
	leaderCrash := func(w *World) time.Duration { return failoverTime(w, func() { w.Leader().Crash() }) }
	fullRestart := func(w *World) time.Duration {
		return failoverTime(w, func() {
			for _, c := range w.Controllers {
				c.Crash()
			}
			w.Advance(3 * second)
			for _, c := range w.Controllers {
				c.Start()
			}
		})
	}
	for name, measure := range map[string]func(*World) time.Duration{
		"leader crash": leaderCrash,
		"full restart": fullRestart,
	} {
		without, with := measure(newDeployment(t, 2)), measure(newVotingDeployment(t, 2))
		t.Logf("failover time after %s: %v without votes, %v with votes", name, without, with)
		if with > without+time.Second {
			t.Errorf("failover time after %s: got %v without votes, %v with votes, want at most 1 s more", name, without, with)
		}
	}
}

// A controller other than the leader restarts in an outage and loses its in-memory state. The leader keeps its
// leadership until the vote of that controller expires, so the workers' leases do not expire before the outage ends.
// After the regular vote duration the leader starts no tasks, because the other controller may have confirmed
// cancellations. Cancelled tasks still have to end within the deadline.
func TestMemberCrashInStateOutageKillsNothing(t *testing.T) {
	w := newVotingDeploymentWithOutageVotes(t, 4, 10*second)
	service := newJob(model.Service, 2, nil)
	array := newJob(model.Array, 40, func(spec *model.Spec) { spec.Team = "blue" })
	cancelled := newJob(model.Service, 1, nil)
	submitJob(t, w, service)
	submitJob(t, w, array)
	submitJob(t, w, cancelled)
	waitUntil(t, w, 30*second, "all jobs are active up to their teams' quotas", func() bool {
		return activeTasks(w, service) == 2 && activeTasks(w, array) == 4 && activeTasks(w, cancelled) == 1
	})
	leader := w.Leader()
	other := w.Controllers[0]
	if other == leader {
		other = w.Controllers[1]
	}
	leader.StateUnreachable = true // so that it does not read the record of the cancellation
	if _, err := w.Cancel(other, cancelled.ID); err != nil {
		t.Fatal(err)
	}
	w.State.SetDown(true)
	w.Advance(5 * second)
	leader.StateUnreachable = false
	if w.Leader() != leader {
		t.Fatal("the leader lost its leadership within the first 5 s of the outage")
	}
	other.Crash()
	other.Start()
	w.Advance(5 * second)
	before := startCount(w, array)
	w.Advance(3 * second)
	if w.Leader() != leader {
		t.Error("the leader lost its leadership when the other controller crashed")
	}
	if n := startCount(w, array); n != before {
		t.Errorf("tasks started after the regular vote duration: got %d, want 0", n-before)
	}
	w.Advance(8 * second)
	w.State.SetDown(false)
	waitUntil(t, w, 20*second, "a leader starts tasks again", func() bool {
		return w.Leader() != nil && startCount(w, array) > before
	})
	if n := startCount(w, service); n != 2 || activeTasks(w, cancelled) != 0 {
		t.Errorf("got %d launches of the service and %d active tasks of the cancelled job, want 2 and 0",
			n, activeTasks(w, cancelled))
	}
}

// The leader crashes in an outage for which the other controllers have cast long votes. These votes end as soon as
// the restarted controller states that it does not lead, so the failover takes no longer than usual.
func TestLongVoteDoesNotDelayFailover(t *testing.T) {
	w := newVotingDeploymentWithOutageVotes(t, 2, 10*second)
	leader := w.Leader()
	w.State.SetDown(true)
	w.Advance(8 * second)
	leader.Crash()
	w.Advance(2 * second)
	leader.Start()
	w.State.SetDown(false)
	outageEndedAt := w.now
	waitForLeader(t, w, 20*second)
	if elapsed := w.now.Sub(outageEndedAt); elapsed > 6*second {
		t.Errorf("failover time after the outage: got %v, want at most 6 s", elapsed)
	}
}
