package fake

import (
	"fmt"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// Teams at their quotas, and jobs that are cancelled on machines that hang or are out of reach. What may still run
// there counts against the quota; what has ended soon does not.

// disconnection is a way in which a machine is out of reach.
type disconnection struct {
	name string
	set  func(k *Worker, on bool)
}

var disconnections = []disconnection{
	{"hung", func(w *Worker, on bool) { w.Hung = on }},
	{"partitioned", func(w *Worker, on bool) { w.Partitioned = on }},
	{"inbound blocked", func(w *Worker, on bool) { w.InboundBlocked = on }},
	{"outbound blocked", func(w *Worker, on bool) { w.OutboundBlocked = on }},
}

// newDeploymentAtLimits is a deployment whose two teams are at their quotas with jobs of two long tasks; some save a
// checkpoint when they are stopped. More jobs of each team wait.
func newDeploymentAtLimits(t *testing.T) (w *World, run, wait []*model.Spec) {
	t.Helper()
	w = newVotingMembers(t, 3, 26) // red may use 128 CPUs, blue 64
	w.Capacity = 40
	add := func(n int, team string) (out []*model.Spec) {
		for i := range n {
			spec := newJob(model.Array, 2, func(spec *model.Spec) {
				spec.Team = team
				if i%2 == 0 {
					spec.CheckpointInterval, spec.CheckpointTime = second, 8*second
				}
			})
			submitJob(t, w, spec)
			out = append(out, spec)
		}
		return out
	}
	run = append(add(16, "red"), add(8, "blue")...)
	waitUntil(t, w, 60*second, "all run", func() bool {
		for _, spec := range run {
			if activeTasks(w, spec) < 2 {
				return false
			}
		}
		return true
	})
	wait = append(add(6, "red"), add(3, "blue")...)
	w.Advance(3 * second)
	for _, spec := range wait {
		if activeTasks(w, spec) > 0 {
			t.Fatal("a job that has to wait for its team's quota runs")
		}
	}
	return w, run, wait
}

func TestCancelledJobsOnUnreachableMachinesFreeTheirQuota(t *testing.T) {
	for _, way := range disconnections {
		for _, leaderFault := range []string{"stays", "ends", "ends first", "is refused, and the state service is out"} {
			for _, long := range []time.Duration{5 * second, 11 * second, 40 * second} {
				t.Run(fmt.Sprint(way.name, " ", long, ", the leader ", leaderFault), func(t *testing.T) {
					playCancellationAtQuota(t, way, leaderFault, long)
				})
			}
		}
	}
}

// playCancellationAtQuota cancels jobs whose machines are out of reach for some time.
func playCancellationAtQuota(t *testing.T, way disconnection, leaderFault string, long time.Duration) {
	t.Helper()
	w, run, wait := newDeploymentAtLimits(t)
	gone := []*model.Spec{run[0], run[1], run[16], run[17]}
	var far []*Worker
	for _, spec := range gone {
		for _, worker := range workersOf(w, spec) {
			way.set(worker, true)
			far = append(far, worker)
		}
	}
	leader := w.Leader()
	switch leaderFault {
	case "ends first":
		leader.Crash()
		waitForLeader(t, w, 20*second)
		cancelJobs(t, w, w.Leader(), gone...)
	case "is refused, and the state service is out":
		leader.StateUnreachable = true
		cancelJobs(t, w, nonLeader(w, leader), gone...)
		w.Advance(second)
		w.State.SetDown(true)
	case "ends":
		cancelJobs(t, w, leader, gone...)
		leader.Crash()
	default:
		cancelJobs(t, w, leader, gone...)
	}
	w.Advance(long)
	for _, worker := range far {
		way.set(worker, false)
	}
	w.DeliverHeldCommands()
	w.Advance(w.CancelDeadline + 5*second - long%w.CancelDeadline)
	w.State.SetDown(false)
	restoreControllers(w)
	w.Advance(second)
	w.MarkFaultsEnded()
	waitUntil(t, w, 90*second, "the jobs that waited use the freed quota", func() bool {
		active := 0
		for _, spec := range wait {
			active += activeTasks(w, spec)
		}
		return active >= 8
	})
	for _, spec := range gone {
		if active := activeTasks(w, spec); active > 0 {
			t.Errorf("tasks of the cancelled job %s: got %d, want none", spec.ID, active)
		}
	}
}

// A machine hangs while a task of a cancelled job saves its checkpoint, or right after it has answered the stop, and
// goes on within its lease: the task is stopped in time all the same.
func TestCancelledCheckpointingTaskOnHungMachineStopsInTime(t *testing.T) {
	for _, at := range []string{"asked to save, then cancelled, then hung", "cancelled and hung at once",
		"cancelled, answered, hung"} {
		for _, long := range []time.Duration{3 * second, 8 * second, 11 * second, 30 * second} {
			w := newVotingMembers(t, 3, 1)
			w.Capacity = 1
			spec := newJob(model.Array, 2, func(spec *model.Spec) {
				spec.CheckpointInterval, spec.CheckpointTime = second, 10*second
			})
			startJobs(t, w, spec)
			worker := workersOf(w, spec)[0]
			switch at {
			case "asked to save, then cancelled, then hung":
				worker.InterruptionNotice = 60 * second // its tasks are moved to other machines
				waitUntil(t, w, 20*second, "it saves its checkpoint", func() bool {
					n := 0
					for _, task := range worker.Tasks {
						if task.Phase == model.PhaseCheckpointing {
							n++
						}
					}
					return n > 0
				})
				w.Advance(second)
				cancelJobs(t, w, nonLeader(w, w.Leader()), spec)
				worker.Hung = true
			case "cancelled and hung at once":
				cancelJobs(t, w, nonLeader(w, w.Leader()), spec)
				worker.Hung = true
			default:
				cancelJobs(t, w, w.Leader(), spec)
				w.Advance(150 * time.Millisecond)
				worker.Hung = true
			}
			w.Advance(long)
			worker.Hung = false
			w.DeliverHeldCommands()
			w.Advance(w.CancelDeadline)
			if activeTasks(w, spec) > 0 {
				t.Errorf("%s, for %v: the cancelled task runs", at, long)
			}
		}
	}
}

func TestQuotaHoldsWhileMachinesAreUnreachable(t *testing.T) {
	w := newDeployment(t, 4)
	w.RunTime = 200 * second
	spec := newJob(model.Array, 12, func(spec *model.Spec) { spec.Team = "blue" }) // 48 CPUs, of which 16 may run
	submitJob(t, w, spec)
	waitUntil(t, w, 20*second, "the limit is used", func() bool { return activeTasks(w, spec) == 4 })
	for i := range spec.Tasks {
		for _, n := range w.MachinesOf(model.TaskID{Job: spec.ID, Index: i}) {
			w.Workers[n].Partitioned = true
		}
	}
	w.Leader().Crash()
	w.Advance(60 * second) // the invariant quota is checked all along
	if n := activeTasks(w, spec); n != 4 {
		t.Errorf("after the lost machines were replaced, %d of 4 tasks run", n)
	}
}
