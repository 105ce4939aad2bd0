package fake

import (
	"fmt"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// In these tests teams are at their quotas, and jobs are cancelled on machines that are hung or unreachable. Tasks
// that may still run there count against the quota. Tasks that have ended must soon stop counting.

// machineFault is a fault by which a machine becomes unreachable. The function set begins the fault on a worker if
// on is true, and ends it otherwise.
type machineFault struct {
	name string
	set  func(worker *Worker, on bool)
}

// machineFaults lists the faults by which tests make machines unreachable.
var machineFaults = []machineFault{
	{"hung", func(worker *Worker, on bool) { worker.Hung = on }},
	{"partitioned", func(worker *Worker, on bool) { worker.Partitioned = on }},
	{"inbound blocked", func(worker *Worker, on bool) { worker.InboundBlocked = on }},
	{"outbound blocked", func(worker *Worker, on bool) { worker.OutboundBlocked = on }},
}

// newDeploymentAtLimits returns a deployment whose two teams are at their quotas. Jobs of two long tasks are running,
// half of which save a checkpoint when they are stopped. Further jobs of each team are waiting for quota.
func newDeploymentAtLimits(t *testing.T) (w *World, running, waiting []*model.Spec) {
	t.Helper()
	w = newVotingTestWorld(t, 3, 26) // the quotas are 128 CPUs for team red and 64 for team blue
	w.Capacity = 40
	submit := func(n int, team string) (specs []*model.Spec) {
		for i := range n {
			spec := newJob(model.Array, 2, func(spec *model.Spec) {
				spec.Team = team
				if i%2 == 0 {
					spec.CheckpointInterval, spec.CheckpointTime = second, 8*second
				}
			})
			submitJob(t, w, spec)
			specs = append(specs, spec)
		}
		return specs
	}
	running = append(submit(16, "red"), submit(8, "blue")...)
	waitUntil(t, w, 60*second, "all tasks within the quotas run", func() bool {
		for _, spec := range running {
			if activeTasks(w, spec) < 2 {
				return false
			}
		}
		return true
	})
	waiting = append(submit(6, "red"), submit(3, "blue")...)
	w.Advance(3 * second)
	for _, spec := range waiting {
		if activeTasks(w, spec) > 0 {
			t.Fatal("a job runs beyond its team's quota")
		}
	}
	return w, running, waiting
}

func TestCancelledJobsOnUnreachableMachinesFreeTheirQuota(t *testing.T) {
	for _, fault := range machineFaults {
		for _, leaderFault := range []string{
			"keeps running",
			"crashes after the cancellation",
			"crashes before the cancellation",
			"cannot reach the state service, which then stops",
		} {
			for _, duration := range []time.Duration{5 * second, 11 * second, 40 * second} {
				t.Run(fmt.Sprint(fault.name, " ", duration, ", the leader ", leaderFault), func(t *testing.T) {
					testCancellationAtQuota(t, fault, leaderFault, duration)
				})
			}
		}
	}
}

// testCancellationAtQuota cancels jobs while the fault keeps their machines unreachable for the given duration, and
// checks that waiting jobs then use the freed quota.
func testCancellationAtQuota(t *testing.T, fault machineFault, leaderFault string, duration time.Duration) {
	t.Helper()
	w, running, waiting := newDeploymentAtLimits(t)
	cancelled := []*model.Spec{running[0], running[1], running[16], running[17]}
	var unreachable []*Worker
	for _, spec := range cancelled {
		for _, worker := range workersOf(w, spec) {
			fault.set(worker, true)
			unreachable = append(unreachable, worker)
		}
	}
	leader := w.Leader()
	switch leaderFault {
	case "crashes before the cancellation":
		leader.Crash()
		waitForLeader(t, w, 20*second)
		cancelJobs(t, w, w.Leader(), cancelled...)
	case "cannot reach the state service, which then stops":
		leader.StateUnreachable = true
		cancelJobs(t, w, nonLeader(w, leader), cancelled...)
		w.Advance(second)
		w.State.SetDown(true)
	case "crashes after the cancellation":
		cancelJobs(t, w, leader, cancelled...)
		leader.Crash()
	default:
		cancelJobs(t, w, leader, cancelled...)
	}
	w.Advance(duration)
	for _, worker := range unreachable {
		fault.set(worker, false)
	}
	w.DeliverHeldCommands()
	w.Advance(w.CancelDeadline + 5*second - duration%w.CancelDeadline)
	w.State.SetDown(false)
	restoreControllers(w)
	w.Advance(second)
	w.MarkFaultsEnded()
	waitUntil(t, w, 90*second, "the waiting jobs use the freed quota", func() bool {
		active := 0
		for _, spec := range waiting {
			active += activeTasks(w, spec)
		}
		return active >= 8
	})
	for _, spec := range cancelled {
		if active := activeTasks(w, spec); active > 0 {
			t.Errorf("active tasks of the cancelled job %s: got %d, want 0", spec.ID, active)
		}
	}
}

// A machine hangs while a task of a cancelled job saves its checkpoint, or right after it has answered the stop
// command, and in part of the cases resumes before its lease expires. The task must be stopped before the
// cancellation deadline in every case.
func TestCancelledCheckpointingTaskOnHungMachineStopsInTime(t *testing.T) {
	for _, sequence := range []string{
		"checkpointing, then cancelled, then hung",
		"cancelled and hung at the same time",
		"cancelled, stop answered, then hung",
	} {
		for _, hungFor := range []time.Duration{3 * second, 8 * second, 11 * second, 30 * second} {
			w := newVotingTestWorld(t, 3, 1)
			w.Capacity = 1
			spec := newJob(model.Array, 2, func(spec *model.Spec) {
				spec.CheckpointInterval, spec.CheckpointTime = second, 10*second
			})
			startJobs(t, w, spec)
			worker := workersOf(w, spec)[0]
			switch sequence {
			case "checkpointing, then cancelled, then hung":
				worker.InterruptionNotice = 60 * second // the leader moves its tasks to other machines
				waitUntil(t, w, 20*second, "a task saves its checkpoint", func() bool {
					checkpointing := 0
					for _, task := range worker.Tasks {
						if task.Phase == model.PhaseCheckpointing {
							checkpointing++
						}
					}
					return checkpointing > 0
				})
				w.Advance(second)
				cancelJobs(t, w, nonLeader(w, w.Leader()), spec)
				worker.Hung = true
			case "cancelled and hung at the same time":
				cancelJobs(t, w, nonLeader(w, w.Leader()), spec)
				worker.Hung = true
			default:
				cancelJobs(t, w, w.Leader(), spec)
				w.Advance(150 * time.Millisecond)
				worker.Hung = true
			}
			w.Advance(hungFor)
			worker.Hung = false
			w.DeliverHeldCommands()
			w.Advance(w.CancelDeadline)
			if activeTasks(w, spec) > 0 {
				t.Errorf("%s for %v: the cancelled task still runs after the cancellation deadline", sequence, hungFor)
			}
		}
	}
}

// All machines with running tasks are partitioned and the leader crashes. The next leader must not start tasks beyond
// the quota while those tasks may still run.
func TestQuotaHoldsWhileMachinesAreUnreachable(t *testing.T) {
	w := newDeployment(t, 4)
	w.RunTime = 200 * second
	// The job needs 48 CPUs, of which the team's quota allows 16.
	spec := newJob(model.Array, 12, func(spec *model.Spec) { spec.Team = "blue" })
	submitJob(t, w, spec)
	waitUntil(t, w, 20*second, "the tasks use all of the quota", func() bool { return activeTasks(w, spec) == 4 })
	for i := range spec.Tasks {
		for _, machine := range w.MachinesOf(model.TaskID{Job: spec.ID, Index: i}) {
			w.Workers[machine].Partitioned = true
		}
	}
	w.Leader().Crash()
	w.Advance(60 * second) // the invariant quota is checked on every tick
	if n := activeTasks(w, spec); n != 4 {
		t.Errorf("active tasks after the lost machines were replaced: got %d, want 4", n)
	}
}
