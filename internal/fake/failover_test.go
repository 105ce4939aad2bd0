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

// leadershipLosses holds the ways in which a leader loses its leadership. In some of them it may regain it at once.
var leadershipLosses = map[string]func(w *World, leader *Controller){
	"leader crashes": func(w *World, leader *Controller) {
		leader.Crash()
	},
	"leader restarts": func(w *World, leader *Controller) { restartController(leader) },
	"leader resigns":  func(w *World, leader *Controller) { w.StepElection(leader, election.Resign{}) },
	"all controllers crash, the leader restarts": func(w *World, leader *Controller) {
		for _, c := range w.Controllers {
			c.Crash()
		}
		leader.Start()
	},
	"leader is isolated": func(w *World, leader *Controller) {
		leader.StateUnreachable, leader.PeersUnreachable = true, true
	},
}

func TestTenFailoversInTwoMinutesKeepJobsRunning(t *testing.T) {
	for _, name := range []string{
		"leader crashes",
		"leader restarts",
		"leader resigns",
		"all controllers crash, the leader restarts",
		"leader is isolated",
	} {
		for _, outage := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", outage ", outage), func(t *testing.T) {
				runTenFailovers(t, leadershipLosses[name], outage)
			})
		}
	}
}

// runTenFailovers makes the leader lose its leadership ten times, while tasks that outlast all failovers run, jobs
// are submitted and cancelled, and two machines are partitioned. If outage is set, the fifth failover happens during
// an outage of the state service. In the end all tasks have to run, no job may starve, and at most 12 machines may
// have been provisioned.
func runTenFailovers(t *testing.T, loseLeadership func(w *World, leader *Controller), outage bool) {
	t.Helper()
	random := rand.New(rand.NewPCG(3, 3))
	w := newVotingTestWorld(t, 3, 12)
	w.PollOnCommit = true
	w.Capacity = 20
	inBlueTeam := func(spec *model.Spec) { spec.Team = "blue" }
	array, service, gang := newJob(model.Array, 8, nil), newJob(model.Service, 4, inBlueTeam), newJob(model.Gang, 4, nil)
	startJobs(t, w, array, service, gang)
	for _, name := range w.WorkerNames()[:2] {
		w.Workers[name].Partitioned = true // a new leader holds back tasks that may still run there
	}
	provisionedBefore, startedAt := w.NamesAssigned(), w.Now()
	var submitted []*model.Spec
	for i := range 10 {
		inOutage := outage && i == 4
		if w.Leader() == nil {
			waitForLeader(t, w, 40*second)
		}
		leader := w.Leader()
		spec := newJob(model.Array, 1, inBlueTeam)
		if w.Submit(leader, spec) == nil {
			submitted = append(submitted, spec)
		}
		w.Advance(time.Duration(random.IntN(3000)) * time.Millisecond)
		if inOutage {
			w.State.SetDown(true)
		}
		loseLeadership(w, leader)
		if c := nonLeader(w, leader); len(submitted) > 0 && c.Up {
			_, _ = w.Cancel(c, submitted[0].ID) // may fail
		}
		w.Advance(time.Duration(3000+random.IntN(4000)) * time.Millisecond)
		if inOutage {
			loseLeadership(w, leader)
			w.Advance(8 * second)
			w.State.SetDown(false)
		}
		restoreControllers(w)
	}
	if elapsed := w.Now().Sub(startedAt); elapsed > 150*second {
		t.Errorf("duration of ten failovers: got %v, want at most 150 s", elapsed)
	}
	for _, worker := range w.Workers {
		worker.Partitioned = false
	}
	w.MarkFaultsEnded()
	waitUntil(t, w, 90*second, "all tasks are active", func() bool {
		return activeTasks(w, array) == 8 && activeTasks(w, service) == 4 && activeTasks(w, gang) == 4
	})
	w.Advance(w.CancelDeadline)
	if n := w.NamesAssigned() - provisionedBefore; n > 12 {
		t.Errorf("machines provisioned during the failovers: got %d, want at most 12", n)
	}
}

// All controllers are down or frozen for longer than the workers' leases last, so the leases expire and the tasks are
// killed. Afterwards a job that was cancelled just before stays cancelled, a job that was accepted just before is
// started, and the other running job starts again.
func TestJobsResumeAfterAllControllersAwayBeyondLease(t *testing.T) {
	for _, frozen := range []bool{false, true} {
		w := newVotingTestWorld(t, 3, 6)
		w.PollOnCommit = true
		running, cancelled := newJob(model.Array, 6, nil), newJob(model.Array, 2, nil)
		startJobs(t, w, running, cancelled)
		pending := newJob(model.Gang, 2, nil)
		submitJob(t, w, pending)
		cancelJobs(t, w, nonLeader(w, w.Leader()), cancelled)
		for _, c := range w.Controllers {
			if c.Frozen = frozen; !frozen {
				c.Crash()
			}
		}
		w.Advance(w.Lease + 10*second)
		if w.KilledTasks == 0 {
			t.Error("no task was killed by an expired lease; the scenario requires it")
		}
		for i, c := range w.Controllers {
			if c.Frozen = false; !frozen {
				c.Start()
			}
			w.Advance(time.Duration(i) * 300 * time.Millisecond)
		}
		w.MarkFaultsEnded()
		waitUntil(t, w, 60*second, "the jobs that were not cancelled are active", func() bool {
			return activeTasks(w, running) == 6 && activeTasks(w, pending) == 2
		})
		w.PollAll(cancelled.ID)
		w.Advance(w.CancelDeadline)
	}
}

// Spot machines are partitioned when the leader crashes. The new leader starts tasks at once if their job may not use
// spot machines. Tasks whose job may use them could still run on a partitioned machine, so they have to wait until
// the leases of these machines have certainly expired.
func TestNewLeaderStartsTasksSuspectMachinesCannotHold(t *testing.T) {
	w := newScaledDeployment(t, 3, 4) // large quotas, since suspect machines are charged as if full
	w.cloudExhausted = true
	for range 3 {
		addMachine(w, "a", true)
	}
	w.RunTime = 60 * second
	w.Advance(8 * second)
	spotAllowed := newJob(model.Array, 4, func(spec *model.Spec) { spec.Priority = model.PriorityLow })
	spotForbidden := newJob(model.Service, 4, func(spec *model.Spec) {
		spec.Priority, spec.AllowSpot = model.PriorityProduction, false
	})
	submitJob(t, w, spotAllowed)
	submitJob(t, w, spotForbidden)
	waitUntil(t, w, 20*second, "all tasks are active", func() bool {
		return activeTasks(w, spotAllowed) == 4 && activeTasks(w, spotForbidden) == 4
	})
	for _, worker := range w.Workers {
		if worker.Spot {
			worker.Partitioned = true
		} else if len(worker.Tasks) > 0 { // its tasks are lost and have to start again
			worker.Epoch++
			worker.Tasks, worker.leaseRenewedAt = map[model.AttemptKey]*Task{}, w.now
		}
	}
	crashed := w.Leader()
	crashed.Crash()
	waitForOtherLeader(t, w, 20*second, crashed)
	electedAt := w.Now()
	waitUntil(t, w, 6*second, "the job that may not use spot machines is active", func() bool {
		return activeTasks(w, spotForbidden) == 4
	})
	if startCount(w, spotAllowed) > 4 && w.Now().Sub(electedAt) < w.Lease {
		t.Error("a task that might still run on a partitioned machine was started again before the leases had expired")
	}
}

func TestDeposedLeaderCommitIsRejected(t *testing.T) {
	w := newDeployment(t, 2)
	deposed := w.Leader()
	tokenVersion := deposed.tokenVersion
	deposed.StateUnreachable = true
	waitForOtherLeader(t, w, 20*second, deposed)
	spec := newJob(model.Array, 1, nil)
	w.RunTime = 60 * second
	if err := w.Submit(w.Leader(), spec); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, w, 20*second, "the task is active", func() bool { return activeTasks(w, spec) == 1 })
	deposed.StateUnreachable = false
	if err := deposed.Jobs.LoadAndApplyChanges(context.Background()); err != nil {
		t.Fatal(err)
	}
	jobRecord := deposed.Jobs.Peek(spec.ID)
	change := record.Change{Kind: record.CompleteJob, Job: spec.ID, Version: jobRecord.Version, Tasks: 1}
	_, committed, err := deposed.State.CommitFenced(context.Background(), tokenVersion, []record.Change{change})
	if err != nil || committed {
		t.Errorf("late transaction of a deposed leader: got committed=%v, err=%v, want it rejected", committed, err)
	}
	if got := refreshedState(t, w.Controllers[1], spec.ID); got == wire.StateDone {
		t.Error("state of the running job after the late transaction: got done, want it unfinished")
	}
}

func TestRunningTasksAreAdoptedAfterFullRestart(t *testing.T) {
	w := newDeployment(t, 3)
	w.RunTime = 25 * second
	spec := newJob(model.Array, 5, nil)
	service := newJob(model.Service, 2, func(spec *model.Spec) {
		spec.Priority = model.PriorityProduction
		spec.AllowSpot = false
		spec.Spread = true
	})
	submitJob(t, w, spec)
	submitJob(t, w, service)
	waitUntil(t, w, 20*second, "all tasks are active", func() bool {
		return activeTasks(w, spec) == 5 && activeTasks(w, service) == 2
	})
	before := w.MachinesOf(model.TaskID{Job: service.ID})
	for _, c := range w.Controllers {
		c.Crash()
	}
	w.Advance(3 * second)
	for _, c := range w.Controllers {
		c.Start()
	}
	waitForLeader(t, w, 15*second)
	w.Advance(5 * second)
	if after := w.MachinesOf(model.TaskID{Job: service.ID}); len(after) != 1 || after[0] != before[0] {
		t.Errorf("machine of the first replica after the restart: got %v, want %v", after, before)
	}
	waitUntil(t, w, 90*second, "the job is done", jobDone(t, w, spec))
}

func TestLeaderResumesAfterOutageBeyondItsLease(t *testing.T) {
	w := newDeployment(t, 2)
	w.RunTime = 60 * second
	spec := newJob(model.Array, 3, nil)
	submitJob(t, w, spec)
	waitUntil(t, w, 20*second, "all tasks are active", func() bool { return activeTasks(w, spec) == 3 })
	leader := w.Leader()
	w.State.SetDown(true)
	w.Advance(8 * second) // longer than the leader's lease, shorter than the workers' leases
	if w.Leader() != nil {
		t.Error("a controller still leads although it could not renew its lease for 8 s")
	}
	w.State.SetDown(false)
	waitUntil(t, w, 5*second, "the former leader leads again", func() bool { return w.Leader() == leader })
	w.Advance(3 * second)
	if n := activeTasks(w, spec); n != 3 {
		t.Errorf("active tasks after the outage: got %d, want 3", n)
	}
	waitUntil(t, w, 90*second, "the job is done", jobDone(t, w, spec))
}

func TestLeaderWithoutHeartbeatsResigns(t *testing.T) {
	w := newDeployment(t, 3)
	w.RunTime = 300 * second
	spec := newJob(model.Array, 3, nil)
	submitJob(t, w, spec)
	waitUntil(t, w, 20*second, "all tasks are active", func() bool { return activeTasks(w, spec) == 3 })
	leader := w.Leader()
	leader.WorkersUnreachable = true
	waitForOtherLeader(t, w, 25*second, leader)
	waitUntil(t, w, 30*second, "all tasks are active again", func() bool { return activeTasks(w, spec) == 3 })
	if !leader.Up {
		t.Error("the leader without heartbeats: got a crash, want a resignation")
	}
}

// A leader that crashes does not release its lease. After its restart it recognizes the lease as its own and does not
// wait for it to expire.
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
	waitUntil(t, w, 2*second, "the restarted controller leads again", func() bool { return w.Leader() == leader })
}

func TestLeadershipLeaseEndsBeforeStoreLease(t *testing.T) {
	settings := election.Settings{
		Member:        "m",
		LeaseDuration: 4 * second,
		SafetyMargin:  200 * time.Millisecond,
		PollInterval:  second,
		RetryInterval: 250 * time.Millisecond,
	}
	stateMachine := election.New(time.Unix(0, 0), settings, testLogger)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	stateMachine.Step(now, election.Tick{})
	stateMachine.Step(now, election.RecordRead{})
	sentAt := now
	now = now.Add(3 * second) // the answer is slow; the lease counts from when the request was sent
	stateMachine.Step(now, election.LeaseGranted{LeaseID: 7, Sent: sentAt})
	stateMachine.Step(now, election.ClaimCompleted{OK: true, TokenVersion: 9})
	if !stateMachine.LeadershipValid(now) {
		t.Fatal("leadership 3 s into a lease of 4 s: got invalid, want valid")
	}
	if late := sentAt.Add(3900 * time.Millisecond); stateMachine.LeadershipValid(late) {
		t.Error("leadership within the safety margin before the lease's end: got valid, want invalid")
	}
	stateMachine.Step(now, election.LeaseRenewed{LeaseID: 7, Sent: now})
	if !stateMachine.LeadershipValid(now.Add(3500 * time.Millisecond)) {
		t.Error("leadership 3.5 s after the renewal: got invalid, want valid")
	}
}

// Regression test: after a failover one unresponsive machine held up all jobs that had been accepted before. The new
// leader has to probe the machine and release it when it does not answer.
func TestDeadMachineDoesNotDelayFailover(t *testing.T) {
	w := newDeployment(t, 20)
	w.RunTime = 2 * second
	spec := newJob(model.Array, 16, nil) // the team's quota lets 8 tasks run at once
	submitJob(t, w, spec)
	waitUntil(t, w, 5*second, "the first 8 tasks are active", func() bool { return activeTasks(w, spec) == 8 })
	for _, name := range w.WorkerNames() {
		if worker := w.Workers[name]; len(worker.Tasks) == 0 {
			worker.Partitioned = true
			break
		}
	}
	w.Leader().Crash()
	waitForLeader(t, w, 10*second)
	waitUntil(t, w, 4500*time.Millisecond, "a ninth task is started", func() bool { return len(w.Launches) > 8 })
	waitUntil(t, w, 20*second, "the job is done", func() bool {
		return refreshedState(t, w.Leader(), spec.ID) == wire.StateDone
	})
}
