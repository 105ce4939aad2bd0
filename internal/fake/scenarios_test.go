package fake

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/config"
	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
	"github.com/glentiller/glentiller/internal/wire"
)

var testLogger = slog.New(slog.NewTextHandler(logWriter(), nil))

func logWriter() io.Writer {
	if os.Getenv("FAKE_LOG") != "" {
		return os.Stderr
	}
	return io.Discard
}

const second = time.Second

// newDeployment is a small one: three controllers, two zones, one team that may use
// 32 CPUs and another that may use 16.
func newDeployment(t *testing.T, machines int) *World {
	t.Helper()
	return newScaledDeployment(t, machines, 1)
}

// newScaledDeployment is the same with teams that may use some times as much.
func newScaledDeployment(t *testing.T, machines int, times float64) *World {
	t.Helper()
	w := newTestWorld(machines, times)
	t.Cleanup(func() {
		for _, b := range w.Violations {
			t.Errorf("broken: %s", b)
		}
	})
	w.Advance(6 * second)
	if w.Leader() == nil {
		t.Fatal("nobody leads after 6 s")
	}
	return w
}

// newTestWorld is a deployment whose time has not begun.
func newTestWorld(machines int, times float64) *World { return newTestWorldOf(3, machines, times) }

// newTestWorldOf is the same with so many members.
func newTestWorldOf(members, machines int, times float64) *World {
	p := &config.Platform{Member: "tiller-0"}
	d := &p.Deployment
	d.Zones = []string{"a", "b"}
	d.Workers.Heartbeat, d.Workers.Lease, d.Workers.GangWait, d.Workers.GangPeer, d.Workers.Cancel = 2, 12, 20, 5, 30
	d.State.ValueKB, d.State.TxnOps = 8, 12
	d.Cloud.ListLag = 5
	o := config.Defaults()
	set, el := config.ReconcilerSettings(p, o), config.ElectionSettings(p, o)
	set.Teams = []model.Team{
		{Name: "red", Guarantee: model.Resources{CPU: 16 * times}, Quota: model.NewQuota(32*times, 0)},
		{Name: "blue", Guarantee: model.Resources{CPU: 8 * times}, Quota: model.NewQuota(16*times, 0)},
	}
	w := NewWorld(members, set, el, config.StoreLimits(p), testLogger)
	w.Types = []model.MachineType{{Name: "eight", Capacity: model.Resources{CPU: 8, MemGB: 64}, PricePerHour: 1, SpotPricePerHour: 0.3, BootTime: 5 * second, Zones: []string{"a", "b"}}}
	for i := range machines {
		w.namedMachines++
		w.AddMachine(model.MachineInfo{Name: fmt.Sprintf("n-%06d", w.namedMachines), Type: "eight", Zone: d.Zones[i%2]})
	}
	return w
}

var jobCounter int

// newJob makes a job of the red team; change adapts it.
func newJob(shape model.Shape, tasks int, change func(*model.Spec)) *model.Spec {
	jobCounter++
	s := &model.Spec{ID: fmt.Sprintf("wk-%06d", jobCounter), Class: "work", Team: "red", Shape: shape, Priority: model.PriorityNormal, Tasks: tasks,
		Demand: model.Resources{CPU: 4, MemGB: 8}, Image: "img", ImageGB: 1, EstimatedRunTime: 10 * second, AllowSpot: true}
	if change != nil {
		change(s)
	}
	return s
}

func submitJob(t *testing.T, w *World, s *model.Spec) {
	t.Helper()
	if err := w.Submit(w.Controllers[0], s); err != nil {
		t.Fatalf("submission: %v", err)
	}
}

// waitUntil lets time pass until something holds.
func waitUntil(t *testing.T, w *World, most time.Duration, what string, holds func() bool) {
	t.Helper()
	for end := w.Now().Add(most); w.Now().Before(end); {
		if holds() {
			return
		}
		w.Advance(100 * time.Millisecond)
	}
	if !holds() {
		t.Fatalf("not within %v: %s", most, what)
	}
}

func refreshedState(t *testing.T, c *Controller, id string) wire.JobState {
	t.Helper()
	if err := c.Jobs.Refresh(context.Background()); err != nil {
		t.Fatal(err)
	}
	if v := c.Jobs.Peek(id); v.State != wire.StateUnknown {
		return v.State
	}
	return polledState(t, c, id)
}

// polledState asks as a user's poll does.
func polledState(t *testing.T, c *Controller, id string) wire.JobState {
	t.Helper()
	v, err := c.Jobs.Lookup(context.Background(), id)
	if err != nil {
		t.Fatal(err)
	}
	return v.State
}

func jobDone(t *testing.T, w *World, s *model.Spec) func() bool {
	return func() bool { return refreshedState(t, w.Controllers[0], s.ID) == wire.StateDone }
}

func activeTasks(w *World, s *model.Spec) int {
	n := 0
	for i := range s.Tasks {
		n += len(w.MachinesOf(model.TaskID{Job: s.ID, Index: i}))
	}
	return n
}

func TestIdleMachinesAreReleasedAfterArrayCompletes(t *testing.T) {
	w := newDeployment(t, 1)
	s := newJob(model.Array, 9, nil)
	submitJob(t, w, s)
	waitUntil(t, w, 90*second, "done", jobDone(t, w, s))
	if w.ProvisionedTotal() < 2 {
		t.Error("nothing was rented for nine tasks that fill more than one machine")
	}
	waitUntil(t, w, 300*second, "idle machines returned", func() bool { return len(w.Workers) == 0 })
}

func TestLeaderCrashWithLaunchInFlightRunsEachTaskOnce(t *testing.T) {
	w := newDeployment(t, 3)
	s := newJob(model.Array, 4, nil)
	w.RunTime = 30 * second
	w.HoldCommands = true // direct launches hang in the network
	submitJob(t, w, s)
	waitUntil(t, w, 3*second, "direct launches are on their way", func() bool { return len(w.HeldCommands) > 0 })
	old := w.Leader()
	old.Crash()
	w.HoldCommands = false
	waitUntil(t, w, 20*second, "another leads", func() bool { l := w.Leader(); return l != nil && l != old })
	waitUntil(t, w, 20*second, "all tasks run", func() bool { return activeTasks(w, s) == 4 })
	for _, f := range w.HeldCommands {
		f() // minutes late: the new leader's token is known to the workers
	}
	w.Advance(5 * second)
	waitUntil(t, w, 60*second, "done", jobDone(t, w, s))
}

func TestDelayedLaunchAfterCompletionStartsNothing(t *testing.T) {
	w := newDeployment(t, 2)
	w.RunTime = 2 * second
	s := newJob(model.Array, 1, nil)
	w.HoldCommands = true
	submitJob(t, w, s)
	waitUntil(t, w, 30*second, "done by the launch in a report's answer", jobDone(t, w, s))
	w.Advance(10 * second)
	delete(w.Completed, model.TaskID{Job: s.ID}) // a second start would show as one that runs
	for _, f := range w.HeldCommands {
		f()
	}
	w.Advance(3 * second)
	if n := activeTasks(w, s); n != 0 {
		t.Errorf("a late copy of the launch started the task again: on %d machines", n)
	}
}

// Two copies of a launch are out at once: the first one hangs in the network, the second
// one, sent with a stop, is answered. The answer says nothing of the first.
func TestAnsweredDuplicateLaunchIsNotStartedAgain(t *testing.T) {
	w := newDeployment(t, 2)
	answers := func(lost bool) {
		for _, k := range w.Workers {
			k.InboundBlocked = lost
		}
	}
	answers(true) // they would bring the launch before the second copy does
	s := newJob(model.Array, 1, nil)
	w.HoldCommands = true
	submitJob(t, w, s)
	waitUntil(t, w, 3*second, "the first copy is on its way", func() bool { return len(w.HeldCommands) > 0 })
	w.HoldCommands = false
	if _, err := w.Cancel(w.Controllers[0], s.ID); err != nil {
		t.Fatal(err)
	}
	w.Advance(4 * second) // a command that was not answered puts the next one off
	sent := w.DirectCommands
	submitJob(t, w, newJob(model.Array, 4, nil)) // the command for these takes the second copy along
	waitUntil(t, w, 3*second, "the second copy is answered", func() bool { return w.DirectCommands > sent })
	answers(false)
	w.Advance(20 * second) // the worker has long been told to forget what it may
	starts := w.Starts[model.TaskID{Job: s.ID}]
	for _, f := range w.HeldCommands {
		f()
	}
	if got := w.Starts[model.TaskID{Job: s.ID}]; got != starts {
		t.Errorf("the first copy started the task again: %d starts, then %d", starts, got)
	}
}

// Spot machines are cut off when the leader ends: what may not use them goes on at once, what
// may waits until their leases have certainly run out.
func TestNewLeaderStartsTasksSuspectMachinesCannotHold(t *testing.T) {
	w := newScaledDeployment(t, 3, 4) // limits hold for machines in doubt as if they were full
	w.cloudExhausted = true
	for range 3 {
		w.namedMachines++
		w.AddMachine(model.MachineInfo{Name: fmt.Sprintf("n-%06d", w.namedMachines), Type: "eight", Zone: "a", Spot: true})
	}
	w.RunTime = 60 * second
	w.Advance(8 * second)
	may := newJob(model.Array, 4, func(s *model.Spec) { s.Priority = model.PriorityLow })
	not := newJob(model.Service, 4, func(s *model.Spec) { s.Priority, s.AllowSpot = model.PriorityProduction, false })
	submitJob(t, w, may)
	submitJob(t, w, not)
	waitUntil(t, w, 20*second, "all run", func() bool { return activeTasks(w, may) == 4 && activeTasks(w, not) == 4 })
	for _, k := range w.Workers {
		if k.Spot {
			k.Partitioned = true
		} else if len(k.Tasks) > 0 { // what ran there is lost, and starts again
			k.Epoch++
			k.Tasks, k.leaseRenewedAt = map[model.AttemptKey]*Task{}, w.now
		}
	}
	old := w.Leader()
	old.Crash()
	waitUntil(t, w, 20*second, "another leads", func() bool { l := w.Leader(); return l != nil && l != old })
	since := w.Now()
	waitUntil(t, w, 6*second, "what may not use spot machines runs", func() bool { return activeTasks(w, not) == 4 })
	if startCount(w, may) > 4 && w.Now().Sub(since) < w.Lease {
		t.Error("a task that may sit on a machine in doubt was started again")
	}
}

func TestDeposedLeaderCommitIsRejected(t *testing.T) {
	w := newDeployment(t, 2)
	old := w.Leader()
	ver := old.tokenVersion
	old.StateUnreachable = true
	waitUntil(t, w, 20*second, "another leads", func() bool { l := w.Leader(); return l != nil && l != old })
	s := newJob(model.Array, 1, nil)
	w.RunTime = 60 * second
	if err := w.Submit(w.Leader(), s); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, w, 20*second, "runs", func() bool { return activeTasks(w, s) == 1 })
	old.StateUnreachable = false
	if err := old.Jobs.Refresh(context.Background()); err != nil {
		t.Fatal(err)
	}
	v := old.Jobs.Peek(s.ID)
	_, ok, err := old.State.CommitFenced(context.Background(), ver, []record.Change{{Kind: record.CompleteJob, Job: s.ID, Version: v.Version, Tasks: 1}})
	if err != nil || ok {
		t.Errorf("a late transaction of a deposed leader was carried out (ok=%v, err=%v)", ok, err)
	}
	if got := refreshedState(t, w.Controllers[1], s.ID); got == wire.StateDone {
		t.Error("the job counts as done")
	}
}

func TestRunningTasksAreAdoptedAfterFullRestart(t *testing.T) {
	w := newDeployment(t, 3)
	w.RunTime = 25 * second
	s := newJob(model.Array, 5, nil)
	svc := newJob(model.Service, 2, func(s *model.Spec) { s.Priority = model.PriorityProduction; s.AllowSpot = false; s.Spread = true })
	submitJob(t, w, s)
	submitJob(t, w, svc)
	waitUntil(t, w, 20*second, "all run", func() bool { return activeTasks(w, s) == 5 && activeTasks(w, svc) == 2 })
	before := w.MachinesOf(model.TaskID{Job: svc.ID})
	for _, c := range w.Controllers {
		c.Crash()
	}
	w.Advance(3 * second)
	for _, c := range w.Controllers {
		c.Start()
	}
	waitUntil(t, w, 15*second, "somebody leads", func() bool { return w.Leader() != nil })
	w.Advance(5 * second)
	if after := w.MachinesOf(model.TaskID{Job: svc.ID}); len(after) != 1 || after[0] != before[0] {
		t.Errorf("the replica was on %v and is on %v: the new leader did not adopt it", before, after)
	}
	waitUntil(t, w, 90*second, "done", jobDone(t, w, s))
}

func TestLeaderResumesAfterOutageBeyondItsLease(t *testing.T) {
	w := newDeployment(t, 2)
	w.RunTime = 60 * second
	s := newJob(model.Array, 3, nil)
	submitJob(t, w, s)
	waitUntil(t, w, 20*second, "all run", func() bool { return activeTasks(w, s) == 3 })
	l := w.Leader()
	w.State.SetDown(true)
	w.Advance(8 * second) // longer than the leader's lease, shorter than the workers'
	if w.Leader() != nil {
		t.Error("a leader acts although it has not renewed for 8 s")
	}
	w.State.SetDown(false)
	waitUntil(t, w, 5*second, "the same leader acts again", func() bool { return w.Leader() == l })
	w.Advance(3 * second)
	if n := activeTasks(w, s); n != 3 {
		t.Errorf("%d of 3 tasks outlived the outage", n)
	}
	waitUntil(t, w, 90*second, "done", jobDone(t, w, s))
}

func TestPartitionedWorkerTasksRunElsewhereAfterLeaseExpiry(t *testing.T) {
	w := newDeployment(t, 3)
	w.RunTime = 60 * second
	s := newJob(model.Array, 2, nil)
	submitJob(t, w, s)
	waitUntil(t, w, 20*second, "all run", func() bool { return activeTasks(w, s) == 2 })
	k := w.Workers[w.MachinesOf(model.TaskID{Job: s.ID})[0]]
	k.Partitioned = true
	w.Advance(5 * second)
	if n := len(w.MachinesOf(model.TaskID{Job: s.ID})); n != 1 {
		t.Fatalf("while its machine may still run it, the task is on %d machines", n)
	}
	waitUntil(t, w, 40*second, "runs elsewhere", func() bool { return activeTasks(w, s) == 2 && w.MachinesOf(model.TaskID{Job: s.ID})[0] != k.Name })
}

func TestCancelledJobWithLaunchInFlightDoesNotRun(t *testing.T) {
	w := newDeployment(t, 2)
	w.RunTime = 300 * second
	s := newJob(model.Service, 2, nil)
	w.HoldCommands = true
	submitJob(t, w, s)
	waitUntil(t, w, 3*second, "direct launches are on their way", func() bool { return len(w.HeldCommands) > 0 })
	if _, err := w.Cancel(w.Controllers[1], s.ID); err != nil {
		t.Fatal(err)
	}
	w.Advance(20 * second)
	for _, f := range w.HeldCommands {
		f()
	}
	w.Advance(60 * second) // the world checks ran_cancelled
	if n := activeTasks(w, s); n != 0 {
		t.Errorf("%d tasks of a cancelled job run", n)
	}
}

func TestCancelRacingCompletionHasOneFinalState(t *testing.T) {
	for _, after := range []time.Duration{0, 2 * second, 4 * second, 5 * second, 6 * second, 8 * second} {
		w := newDeployment(t, 2)
		w.RunTime = 3 * second
		s := newJob(model.Array, 2, nil)
		submitJob(t, w, s)
		w.Advance(after)
		v, err := w.Cancel(w.Controllers[2], s.ID)
		if err != nil {
			t.Fatal(err)
		}
		w.Advance(20 * second)
		for i, c := range w.Controllers {
			if got := refreshedState(t, c, s.ID); got != v.State {
				t.Errorf("cancelled after %v: the user was told %v, controller %d says %v", after, v.State, i, got)
			}
		}
		if v.State == wire.StateDone && !w.AllCompleted(s.ID) {
			t.Errorf("cancelled after %v: done, but tasks are not", after)
		}
	}
}

func TestPollOnAnotherControllerIsNotStale(t *testing.T) {
	w := newDeployment(t, 2)
	s := newJob(model.Service, 1, nil)
	submitJob(t, w, s)
	w.Advance(3 * second)
	other := w.Controllers[2]
	if err := other.Jobs.Refresh(context.Background()); err != nil {
		t.Fatal(err)
	}
	if got := polledState(t, other, s.ID); got != wire.StateQueued {
		t.Fatalf("an accepted job is %v", got)
	}
	if _, err := w.Cancel(w.Controllers[1], s.ID); err != nil {
		t.Fatal(err)
	}
	// The other controller has followed no change since.
	if got := polledState(t, other, s.ID); got != wire.StateCancelled {
		t.Errorf("after the user was told that the job is cancelled, another controller says %v", got)
	}
	other.StateUnreachable = true
	if v, err := other.Jobs.Lookup(context.Background(), s.ID); err != nil || v.State != wire.StateCancelled {
		t.Errorf("a remembered final state needs no state service: got %v, %v", v.State, err)
	}
	if _, err := other.Jobs.Lookup(context.Background(), "wk-999999"); err == nil {
		t.Error("without the state service nobody can know that a job was never accepted")
	}
}

func TestQuotaHoldsWhileMachinesAreUnreachable(t *testing.T) {
	w := newDeployment(t, 4)
	w.RunTime = 200 * second
	s := newJob(model.Array, 12, func(s *model.Spec) { s.Team = "blue" }) // 48 CPUs, of which 16 may run
	submitJob(t, w, s)
	waitUntil(t, w, 20*second, "the limit is used", func() bool { return activeTasks(w, s) == 4 })
	for i := range s.Tasks {
		for _, n := range w.MachinesOf(model.TaskID{Job: s.ID, Index: i}) {
			w.Workers[n].Partitioned = true
		}
	}
	w.Leader().Crash()
	w.Advance(60 * second) // the world checks quota
	if n := activeTasks(w, s); n != 4 {
		t.Errorf("after the lost machines were replaced, %d of 4 tasks run", n)
	}
}

func TestGangCompletesAfterLosingTask(t *testing.T) {
	for _, when := range []string{"before its start", "while it runs"} {
		w := newDeployment(t, 4)
		w.RunTime = 30 * second
		if when == "before its start" {
			w.FetchTime = 8 * second
		}
		s := newJob(model.Gang, 3, func(s *model.Spec) {
			s.Demand.CPU = 6
			s.SingleZone = true
			s.CheckpointInterval = 5 * second
			s.CheckpointTime = second
		})
		submitJob(t, w, s)
		waitUntil(t, w, 60*second, "the tasks are on machines", func() bool {
			n := 0
			for _, k := range w.Workers {
				for _, x := range k.Tasks {
					if x.ID.Job == s.ID && x.Phase != model.PhaseExited {
						n++
					}
				}
			}
			return n == 3
		})
		if when == "while it runs" {
			waitUntil(t, w, 60*second, "runs", func() bool { return activeTasks(w, s) == 3 })
			w.Advance(2 * second)
		}
		for _, n := range w.WorkerNames() {
			if k := w.Workers[n]; len(k.Tasks) > 0 {
				k.Partitioned = true
				break
			}
		}
		waitUntil(t, w, 200*second, "done although it lost a task "+when, jobDone(t, w, s))
	}
}

func TestIncompleteGangIsRestartedAfterTimeout(t *testing.T) {
	w := newDeployment(t, 2)
	w.Workers["n-000002"].FetchDelay = 40 * second // longer than a gang waits
	s := newJob(model.Gang, 2, func(s *model.Spec) { s.Demand.CPU = 6 })
	submitJob(t, w, s)
	waitUntil(t, w, 60*second, "the task that waited gave up", func() bool { return w.Starts[model.TaskID{Job: s.ID, Index: 0}] > 1 })
	w.Workers["n-000002"].FetchDelay = 0
	waitUntil(t, w, 150*second, "done", jobDone(t, w, s))
}

func TestGangUnderInterruptionNoticeCheckpointsAndResumes(t *testing.T) {
	w := newDeployment(t, 4)
	w.RunTime = 40 * second
	s := newJob(model.Gang, 2, func(s *model.Spec) {
		s.Demand.CPU = 6
		s.CheckpointInterval = 10 * second
		s.CheckpointTime = 2 * second
	})
	submitJob(t, w, s)
	waitUntil(t, w, 30*second, "the tasks are there", func() bool { return activeTasks(w, s) == 2 })
	w.Advance(2 * second) // they run
	k := w.Workers[w.MachinesOf(model.TaskID{Job: s.ID})[0]]
	k.InterruptionNotice, k.statusChanged = 10*second, true
	waitUntil(t, w, 5*second, "both tasks have saved", func() bool {
		return w.Checkpoints[model.TaskID{Job: s.ID}] == 1 && w.Checkpoints[model.TaskID{Job: s.ID, Index: 1}] == 1
	})
	waitUntil(t, w, 30*second, "runs elsewhere", func() bool { return activeTasks(w, s) == 2 && len(w.MachinesOf(model.TaskID{Job: s.ID})) == 1 })
	waitUntil(t, w, 90*second, "done", jobDone(t, w, s))
}

func TestUnansweredProvisioningIsNotRepeatedUnderAnotherName(t *testing.T) {
	w := newDeployment(t, 0)
	w.CloudAnswersLost = true
	s := newJob(model.Array, 4, nil) // two machines' worth
	submitJob(t, w, s)
	w.Advance(4 * second)
	rented := w.ProvisionedTotal()
	if rented == 0 {
		t.Fatal("nothing was rented")
	}
	w.Advance(10 * second)
	w.CloudAnswersLost = false
	waitUntil(t, w, 60*second, "done", jobDone(t, w, s))
	if w.ProvisionedTotal() != rented {
		t.Errorf("%d machines rented where %d were enough", w.ProvisionedTotal(), rented)
	}
}

func TestFaultyMachineIsReleased(t *testing.T) {
	w := newDeployment(t, 2)
	w.FetchTime = 200 * time.Millisecond
	sick := w.Workers["n-000001"]
	sick.Faulty = true
	var all []*model.Spec
	for range 3 {
		s := newJob(model.Array, 3, nil)
		all = append(all, s)
		submitJob(t, w, s)
	}
	waitUntil(t, w, 60*second, "the sick machine is gone", func() bool { return w.Workers["n-000001"] == nil })
	for _, s := range all {
		waitUntil(t, w, 120*second, "done", jobDone(t, w, s))
	}
}

func TestAlwaysFailingJobIsRetriedWithBackoff(t *testing.T) {
	w := newDeployment(t, 3)
	w.FetchTime = 200 * time.Millisecond
	bad := newJob(model.Array, 3, nil)
	w.FailingJobs[bad.ID] = true
	good := newJob(model.Array, 6, nil)
	submitJob(t, w, bad)
	submitJob(t, w, good)
	waitUntil(t, w, 90*second, "the good job is done", jobDone(t, w, good))
	w.Advance(30 * second)
	if l := w.Leader(); l != nil {
		if st := refreshedState(t, l, bad.ID); st != wire.StateQueued {
			t.Errorf("the job that fails is %v: it stays accepted until its user cancels it", st)
		}
	}
	starts := 0
	for i := range bad.Tasks {
		starts += w.Starts[model.TaskID{Job: bad.ID, Index: i}]
	}
	if starts < 4 || starts > 40 {
		t.Errorf("a job that always fails was started %d times in two minutes", starts)
	}
	if _, err := w.Cancel(w.Controllers[0], bad.ID); err != nil {
		t.Fatal(err)
	}
	w.Advance(5 * second)
}

func TestInterruptionNoticeMovesCheckpointableTask(t *testing.T) {
	w := newDeployment(t, 2)
	w.RunTime = 60 * second
	s := newJob(model.Array, 1, func(s *model.Spec) {
		s.CheckpointInterval = 10 * second
		s.CheckpointTime = second
		s.EstimatedRunTime = 60 * second
	})
	submitJob(t, w, s)
	waitUntil(t, w, 20*second, "runs", func() bool { return activeTasks(w, s) == 1 })
	k := w.Workers[w.MachinesOf(model.TaskID{Job: s.ID})[0]]
	k.InterruptionNotice = 10 * second
	k.statusChanged = true
	waitUntil(t, w, 8*second, "runs on another machine", func() bool {
		o := w.MachinesOf(model.TaskID{Job: s.ID})
		return len(o) == 1 && o[0] != k.Name
	})
}

func TestLeaderWithoutHeartbeatsResigns(t *testing.T) {
	w := newDeployment(t, 3)
	w.RunTime = 300 * second
	s := newJob(model.Array, 3, nil)
	submitJob(t, w, s)
	waitUntil(t, w, 20*second, "all run", func() bool { return activeTasks(w, s) == 3 })
	l := w.Leader()
	l.WorkersUnreachable = true
	waitUntil(t, w, 25*second, "another leads", func() bool { x := w.Leader(); return x != nil && x != l })
	waitUntil(t, w, 30*second, "all run again", func() bool { return activeTasks(w, s) == 3 })
	if !l.Up {
		t.Error("it crashed instead")
	}
}

// Guards against a leader that resigns its lease silently: a controller that
// comes back finds its own old lease and does not wait for it to run out.
func TestRestartedLeaderReclaimsItsOwnLease(t *testing.T) {
	w := newDeployment(t, 1)
	l := w.Leader()
	for _, c := range w.Controllers {
		if c != l {
			c.Crash()
		}
	}
	l.Crash()
	w.Advance(200 * time.Millisecond)
	l.Start()
	waitUntil(t, w, 2*second, "it leads again", func() bool { return w.Leader() == l })
}

func TestLeadershipLeaseEndsBeforeStoreLease(t *testing.T) {
	set := election.Settings{Member: "m", LeaseDuration: 4 * second, SafetyMargin: 200 * time.Millisecond, PollInterval: second, RetryInterval: 250 * time.Millisecond}
	m := election.New(time.Unix(0, 0), set, testLogger)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	m.Step(now, election.Tick{})
	m.Step(now, election.RecordRead{})
	sent := now
	now = now.Add(3 * second) // a slow answer: the right counts from the sending
	m.Step(now, election.LeaseGranted{LeaseID: 7, Sent: sent})
	m.Step(now, election.ClaimCompleted{OK: true, TokenVersion: 9})
	if !m.LeadershipValid(now) {
		t.Fatal("not entitled 3 s into a lease of 4 s")
	}
	if late := sent.Add(3900 * time.Millisecond); m.LeadershipValid(late) {
		t.Error("entitled within the margin of the lease's end")
	}
	m.Step(now, election.LeaseRenewed{LeaseID: 7, Sent: now})
	if !m.LeadershipValid(now.Add(3500 * time.Millisecond)) {
		t.Error("a renewal does not extend the right")
	}
}

// Guards against a retry storm: returns that wait for the cloud's limit were
// sent again every few seconds, machine by machine, until the queue never drained.
func TestReleasesDoNotQueueBehindSlowCloud(t *testing.T) {
	w := newDeployment(t, 40)
	w.ReleasesBlocked = true
	w.Advance(3 * time.Minute) // all are idle for long, and are paid for by the minute
	if w.ReleaseRequests != 1 {
		t.Errorf("%d returns asked for while the first waits", w.ReleaseRequests)
	}
	w.ReleasesBlocked = false
	waitUntil(t, w, 5*second, "every idle machine is gone", func() bool { return len(w.Workers) == 0 })
	if w.ReleaseRequests > 3 {
		t.Errorf("%d returns for 40 machines", w.ReleaseRequests)
	}
}

// Guards against a single dead machine that holds up, after a takeover, all work that
// was accepted before: the new leader asks it, and gives it back when it is mute.
func TestDeadMachineDoesNotDelayFailover(t *testing.T) {
	w := newDeployment(t, 20)
	w.RunTime = 2 * second
	s := newJob(model.Array, 16, nil) // the team's limit lets eight of them run at once
	submitJob(t, w, s)
	waitUntil(t, w, 5*second, "the first half is on machines", func() bool { return activeTasks(w, s) == 8 })
	for _, name := range w.WorkerNames() {
		if k := w.Workers[name]; len(k.Tasks) == 0 {
			k.Partitioned = true
			break
		}
	}
	w.Leader().Crash()
	waitUntil(t, w, 10*second, "another leads", func() bool { return w.Leader() != nil })
	waitUntil(t, w, 4500*time.Millisecond, "the second half is started", func() bool { return len(w.Starts) > 8 })
	waitUntil(t, w, 20*second, "done", func() bool { return refreshedState(t, w.Leader(), s.ID) == wire.StateDone })
}

// At hundreds of machines and tasks the work that a leader causes grows with what
// there is to do: each task is started once, records go in batches, and commands are
// about one a task.
func TestLeaderWorkAtFourHundredMachinesIsBounded(t *testing.T) {
	w := newScaledDeployment(t, 400, 80)
	var all []*model.Spec
	for i := range 4 {
		s := newJob(model.Array, 300, func(s *model.Spec) { s.Image = fmt.Sprint("img-", i) })
		all = append(all, s)
		submitJob(t, w, s)
	}
	before := w.State.Transactions
	for _, s := range all {
		waitUntil(t, w, 90*second, "done", jobDone(t, w, s))
	}
	for id, n := range w.Starts {
		if n != 1 {
			t.Errorf("%v was started %d times", id, n)
		}
	}
	if len(w.Starts) != 1200 {
		t.Errorf("%d tasks were started", len(w.Starts))
	}
	if txns := w.State.Transactions - before; txns > 150 {
		t.Errorf("%d transactions for 1200 tasks of 4 jobs on 400 machines", txns)
	}
	if w.DirectCommands > 1500 {
		t.Errorf("%d commands for 1200 tasks", w.DirectCommands)
	}
}

// Guards against giving a whole zone back as idle in the middle of a cut, with work
// waiting that it could do when the cut ends.
// Most workers of a cut zone find a way round it, and one is still looking for its own: it is not
// taken for dead, and what runs on it goes on.
func TestLastReconnectingWorkerOfZoneIsKept(t *testing.T) {
	w := newDeployment(t, 8)
	w.RunTime = 100 * second
	s := newJob(model.Array, 8, nil)
	submitJob(t, w, s)
	waitUntil(t, w, 20*second, "runs", func() bool { return activeTasks(w, s) == 8 })
	var zone []*Worker
	for _, name := range w.WorkerNames() {
		if k := w.Workers[name]; k.Zone == "a" {
			k.Partitioned = true
			zone = append(zone, k)
		}
	}
	w.Advance(5 * second)
	for _, k := range zone[1:] {
		k.Partitioned = false
	}
	w.Advance(5 * second) // the last one has been silent for longer than a machine that is given back
	if w.Workers[zone[0].Name] == nil {
		t.Fatal("it was given back")
	}
	zone[0].Partitioned = false
	w.Advance(5 * second)
	if activeTasks(w, s) != 8 || len(w.Starts) != 8 {
		t.Errorf("%d tasks run, %d were started", activeTasks(w, s), len(w.Starts))
	}
}

func TestIdleMachinesOfPartitionedZoneAreKept(t *testing.T) {
	w := newScaledDeployment(t, 8, 2)
	w.RunTime = 400 * second
	s := newJob(model.Array, 16, nil) // fills all eight
	submitJob(t, w, s)
	waitUntil(t, w, 20*second, "runs", func() bool { return activeTasks(w, s) == 16 })
	w.Advance(70 * second)
	w.Types = nil // nothing more can be rented
	cut := 0
	for _, k := range w.Workers {
		if k.Zone == "a" {
			k.Partitioned = true
			cut++
		}
	}
	w.Advance(45 * second) // the leases run out, and then far longer than an idle machine is kept
	for _, k := range w.Workers {
		if k.Partitioned {
			cut--
			k.Partitioned = false
		}
	}
	if cut != 0 {
		t.Errorf("%d machines of the cut zone were given back", cut)
	}
	waitUntil(t, w, 10*second, "runs again", func() bool { return activeTasks(w, s) == 16 })
}
