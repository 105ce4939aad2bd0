package fake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
	"github.com/glentiller/glentiller/internal/wire"
)

// Many failovers, with tasks that outlast them, jobs that arrive and are cancelled all along, and machines that are
// out of reach. In the end everything runs, nothing waits for long, and no more machines are provisioned than needed.

// leaderChanges are ways in which a leader loses the leadership, for good or for a moment.
var leaderChanges = map[string]func(w *World, l *Controller){
	"crashes": func(w *World, l *Controller) {
		l.Crash()
	},
	"is back at once": func(w *World, l *Controller) { restartController(l) },
	"hands over":      func(w *World, l *Controller) { w.StepElection(l, election.Resign{}) },
	"all end, one is back": func(w *World, l *Controller) {
		for _, c := range w.Controllers {
			c.Crash()
		}
		l.Start()
	},
	"is refused": func(w *World, l *Controller) { l.StateUnreachable, l.PeersUnreachable = true, true },
}

func TestTenFailoversInTwoMinutesKeepJobsRunning(t *testing.T) {
	for _, how := range []string{"crashes", "is back at once", "hands over", "all end, one is back", "is refused"} {
		for _, outage := range []bool{false, true} {
			t.Run(fmt.Sprint(how, ", outage ", outage), func(t *testing.T) { playTenFailovers(t, leaderChanges[how], outage) })
		}
	}
}

// playTenFailovers plays ten changes of the leader, perhaps one of them in an outage.
func playTenFailovers(t *testing.T, change func(w *World, leader *Controller), outage bool) {
	t.Helper()
	random := rand.New(rand.NewPCG(3, 3))
	w := newVotingMembers(t, 3, 12)
	w.PollOnCommit = true
	w.Capacity = 20
	blue := func(spec *model.Spec) { spec.Team = "blue" }
	long, serve, gang := newJob(model.Array, 8, nil), newJob(model.Service, 4, blue), newJob(model.Gang, 4, nil)
	startJobs(t, w, long, serve, gang)
	for _, name := range w.WorkerNames()[:2] {
		w.Workers[name].Partitioned = true // earlier tasks wait until these are known to be empty
	}
	provisioned, began := w.ProvisionedTotal(), w.Now()
	var cancelled []*model.Spec
	for i := range 10 {
		inOutage := outage && i == 4
		if w.Leader() == nil {
			waitForLeader(t, w, 40*second)
		}
		leader := w.Leader()
		spec := newJob(model.Array, 1, blue)
		if w.Submit(leader, spec) == nil {
			cancelled = append(cancelled, spec)
		}
		w.Advance(time.Duration(random.IntN(3000)) * time.Millisecond)
		if inOutage {
			w.State.SetDown(true)
		}
		change(w, leader)
		if c := nonLeader(w, leader); len(cancelled) > 0 && c.Up {
			_, _ = w.Cancel(c, cancelled[0].ID) // it need not be answered
		}
		w.Advance(time.Duration(3000+random.IntN(4000)) * time.Millisecond)
		if inOutage {
			change(w, leader)
			w.Advance(8 * second)
			w.State.SetDown(false)
		}
		restoreControllers(w)
	}
	if took := w.Now().Sub(began); took > 150*second {
		t.Errorf("ten failovers: got %v, want 150 s at most", took)
	}
	for _, worker := range w.Workers {
		worker.Partitioned = false
	}
	w.MarkFaultsEnded()
	waitUntil(t, w, 90*second, "all tasks run", func() bool {
		return activeTasks(w, long) == 8 && activeTasks(w, serve) == 4 && activeTasks(w, gang) == 4
	})
	w.Advance(w.CancelDeadline)
	if n := w.ProvisionedTotal() - provisioned; n > 12 {
		t.Errorf("provisioned machines: got %d, want 12 at most", n)
	}
}

// All controllers are down or frozen for longer than a lease. Jobs that were cancelled right before are stopped in
// time, those that were accepted are known, and all that was running runs again.
func TestJobsResumeAfterAllControllersAwayBeyondLease(t *testing.T) {
	for _, frozen := range []bool{false, true} {
		w := newVotingMembers(t, 3, 6)
		w.PollOnCommit = true
		stays, gone := newJob(model.Array, 6, nil), newJob(model.Array, 2, nil)
		startJobs(t, w, stays, gone)
		late := newJob(model.Gang, 2, nil)
		submitJob(t, w, late)
		cancelJobs(t, w, nonLeader(w, w.Leader()), gone)
		for _, c := range w.Controllers {
			if c.Frozen = frozen; !frozen {
				c.Crash()
			}
		}
		w.Advance(w.Lease + 10*second)
		if w.KilledTasks == 0 {
			t.Error("no lease has expired, which the scenario is about")
		}
		for i, c := range w.Controllers {
			if c.Frozen = false; !frozen {
				c.Start()
			}
			w.Advance(time.Duration(i) * 300 * time.Millisecond)
		}
		w.MarkFaultsEnded()
		waitUntil(t, w, 60*second, "all runs again", func() bool {
			return activeTasks(w, stays) == 6 && activeTasks(w, late) == 2
		})
		w.PollAll(gone.ID)
		w.Advance(w.CancelDeadline)
	}
}

// Spot machines are partitioned when the leader crashes: jobs that may not use them go on at once, those that may wait
// until the leases have certainly expired.
func TestNewLeaderStartsTasksSuspectMachinesCannotHold(t *testing.T) {
	w := newScaledDeployment(t, 3, 4) // quotas are charged as if suspect machines were full
	w.cloudExhausted = true
	for range 3 {
		addMachine(w, "a", true)
	}
	w.RunTime = 60 * second
	w.Advance(8 * second)
	may := newJob(model.Array, 4, func(spec *model.Spec) { spec.Priority = model.PriorityLow })
	mayNot := newJob(model.Service, 4, func(spec *model.Spec) {
		spec.Priority, spec.AllowSpot = model.PriorityProduction, false
	})
	submitJob(t, w, may)
	submitJob(t, w, mayNot)
	waitUntil(t, w, 20*second, "all run", func() bool { return activeTasks(w, may) == 4 && activeTasks(w, mayNot) == 4 })
	for _, worker := range w.Workers {
		if worker.Spot {
			worker.Partitioned = true
		} else if len(worker.Tasks) > 0 { // its tasks are lost, and start again
			worker.Epoch++
			worker.Tasks, worker.leaseRenewedAt = map[model.AttemptKey]*Task{}, w.now
		}
	}
	old := w.Leader()
	old.Crash()
	waitForOtherLeader(t, w, 20*second, old)
	since := w.Now()
	waitUntil(t, w, 6*second, "what may not use spot machines runs", func() bool { return activeTasks(w, mayNot) == 4 })
	if startCount(w, may) > 4 && w.Now().Sub(since) < w.Lease {
		t.Error("a task that may be on a suspect machine was started again")
	}
}

func TestDeposedLeaderCommitIsRejected(t *testing.T) {
	w := newDeployment(t, 2)
	old := w.Leader()
	ver := old.tokenVersion
	old.StateUnreachable = true
	waitForOtherLeader(t, w, 20*second, old)
	spec := newJob(model.Array, 1, nil)
	w.RunTime = 60 * second
	if err := w.Submit(w.Leader(), spec); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, w, 20*second, "runs", func() bool { return activeTasks(w, spec) == 1 })
	old.StateUnreachable = false
	if err := old.Jobs.Refresh(context.Background()); err != nil {
		t.Fatal(err)
	}
	v := old.Jobs.Peek(spec.ID)
	change := record.Change{Kind: record.CompleteJob, Job: spec.ID, Version: v.Version, Tasks: 1}
	_, ok, err := old.State.CommitFenced(context.Background(), ver, []record.Change{change})
	if err != nil || ok {
		t.Errorf("a late transaction of a deposed leader was carried out (ok=%v, err=%v)", ok, err)
	}
	if got := refreshedState(t, w.Controllers[1], spec.ID); got == wire.StateDone {
		t.Error("the job counts as done")
	}
}

func TestRunningTasksAreAdoptedAfterFullRestart(t *testing.T) {
	w := newDeployment(t, 3)
	w.RunTime = 25 * second
	spec := newJob(model.Array, 5, nil)
	svc := newJob(model.Service, 2, func(spec *model.Spec) {
		spec.Priority = model.PriorityProduction
		spec.AllowSpot = false
		spec.Spread = true
	})
	submitJob(t, w, spec)
	submitJob(t, w, svc)
	waitUntil(t, w, 20*second, "all run", func() bool { return activeTasks(w, spec) == 5 && activeTasks(w, svc) == 2 })
	before := w.MachinesOf(model.TaskID{Job: svc.ID})
	for _, c := range w.Controllers {
		c.Crash()
	}
	w.Advance(3 * second)
	for _, c := range w.Controllers {
		c.Start()
	}
	waitForLeader(t, w, 15*second)
	w.Advance(5 * second)
	if after := w.MachinesOf(model.TaskID{Job: svc.ID}); len(after) != 1 || after[0] != before[0] {
		t.Errorf("machine of the replica after the restart: got %v, want %v", after, before)
	}
	waitUntil(t, w, 90*second, "done", jobDone(t, w, spec))
}

func TestLeaderResumesAfterOutageBeyondItsLease(t *testing.T) {
	w := newDeployment(t, 2)
	w.RunTime = 60 * second
	spec := newJob(model.Array, 3, nil)
	submitJob(t, w, spec)
	waitUntil(t, w, 20*second, "all run", func() bool { return activeTasks(w, spec) == 3 })
	leader := w.Leader()
	w.State.SetDown(true)
	w.Advance(8 * second) // longer than the leader's lease, shorter than the workers'
	if w.Leader() != nil {
		t.Error("a leader acts although it has not renewed for 8 s")
	}
	w.State.SetDown(false)
	waitUntil(t, w, 5*second, "the same leader acts again", func() bool { return w.Leader() == leader })
	w.Advance(3 * second)
	if n := activeTasks(w, spec); n != 3 {
		t.Errorf("%d of 3 tasks outlived the outage", n)
	}
	waitUntil(t, w, 90*second, "done", jobDone(t, w, spec))
}

func TestLeaderWithoutHeartbeatsResigns(t *testing.T) {
	w := newDeployment(t, 3)
	w.RunTime = 300 * second
	spec := newJob(model.Array, 3, nil)
	submitJob(t, w, spec)
	waitUntil(t, w, 20*second, "all run", func() bool { return activeTasks(w, spec) == 3 })
	leader := w.Leader()
	leader.WorkersUnreachable = true
	waitForOtherLeader(t, w, 25*second, leader)
	waitUntil(t, w, 30*second, "all run again", func() bool { return activeTasks(w, spec) == 3 })
	if !leader.Up {
		t.Error("the leader without heartbeats: got a crash, want a resignation")
	}
}

// A leader that crashes does not release its lease. Once it is back it finds the lease to be its own, and does not wait
// for it to expire.
func TestRestartedLeaderReclaimsItsOwnLease(t *testing.T) {
	w := newDeployment(t, 1)
	leader := w.Leader()
	for _, c := range w.Controllers {
		if c != leader {
			c.Crash()
		}
	}
	leader.Crash()
	w.Advance(200 * time.Millisecond)
	leader.Start()
	waitUntil(t, w, 2*second, "it leads again", func() bool { return w.Leader() == leader })
}

func TestLeadershipLeaseEndsBeforeStoreLease(t *testing.T) {
	set := election.Settings{
		Member:        "m",
		LeaseDuration: 4 * second,
		SafetyMargin:  200 * time.Millisecond,
		PollInterval:  second,
		RetryInterval: 250 * time.Millisecond,
	}
	m := election.New(time.Unix(0, 0), set, testLogger)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	m.Step(now, election.Tick{})
	m.Step(now, election.RecordRead{})
	sent := now
	now = now.Add(3 * second) // a slow answer: leadership counts from the sending
	m.Step(now, election.LeaseGranted{LeaseID: 7, Sent: sent})
	m.Step(now, election.ClaimCompleted{OK: true, TokenVersion: 9})
	if !m.LeadershipValid(now) {
		t.Fatal("leadership 3 s into a lease of 4 s: got none, want it valid")
	}
	if late := sent.Add(3900 * time.Millisecond); m.LeadershipValid(late) {
		t.Error("leadership within the safety margin of the lease's end: got it valid, want none")
	}
	m.Step(now, election.LeaseRenewed{LeaseID: 7, Sent: now})
	if !m.LeadershipValid(now.Add(3500 * time.Millisecond)) {
		t.Error("a renewal does not extend the leadership")
	}
}

// A regression test: after a failover one dead machine held up all jobs that were accepted before. The new leader
// probes it, and releases it when it does not answer.
func TestDeadMachineDoesNotDelayFailover(t *testing.T) {
	w := newDeployment(t, 20)
	w.RunTime = 2 * second
	spec := newJob(model.Array, 16, nil) // the team's quota lets eight of them run at once
	submitJob(t, w, spec)
	waitUntil(t, w, 5*second, "the first half is on machines", func() bool { return activeTasks(w, spec) == 8 })
	for _, name := range w.WorkerNames() {
		if worker := w.Workers[name]; len(worker.Tasks) == 0 {
			worker.Partitioned = true
			break
		}
	}
	w.Leader().Crash()
	waitForLeader(t, w, 10*second)
	waitUntil(t, w, 4500*time.Millisecond, "the second half is started", func() bool { return len(w.Starts) > 8 })
	waitUntil(t, w, 20*second, "done", func() bool { return refreshedState(t, w.Leader(), spec.ID) == wire.StateDone })
}
