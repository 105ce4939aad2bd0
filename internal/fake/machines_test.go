package fake

import (
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

func TestIdleMachinesAreReleasedAfterArrayCompletes(t *testing.T) {
	w := newDeployment(t, 1)
	spec := newJob(model.Array, 9, nil)
	submitJob(t, w, spec)
	waitUntil(t, w, 90*second, "the job is done", jobDone(t, w, spec))
	if w.NamesAssigned() < 2 {
		t.Error("no machine was provisioned although nine tasks need more than one")
	}
	waitUntil(t, w, 300*second, "all idle machines are released", func() bool { return len(w.Workers) == 0 })
}

func TestUnansweredProvisioningIsNotRepeatedUnderAnotherName(t *testing.T) {
	w := newDeployment(t, 0)
	w.CloudAnswersLost = true
	spec := newJob(model.Array, 4, nil) // needs two machines
	submitJob(t, w, spec)
	w.Advance(4 * second)
	provisioned := w.NamesAssigned()
	if provisioned == 0 {
		t.Fatal("no machine was provisioned")
	}
	w.Advance(10 * second)
	w.CloudAnswersLost = false
	waitUntil(t, w, 60*second, "the job is done", jobDone(t, w, spec))
	if w.NamesAssigned() != provisioned {
		t.Errorf("provisioned machines: got %d, want %d", w.NamesAssigned(), provisioned)
	}
}

func TestFaultyMachineIsReleased(t *testing.T) {
	w := newDeployment(t, 2)
	w.FetchTime = 200 * time.Millisecond
	faulty := w.Workers["n-000001"]
	faulty.Faulty = true
	var specs []*model.Spec
	for range 3 {
		spec := newJob(model.Array, 3, nil)
		specs = append(specs, spec)
		submitJob(t, w, spec)
	}
	waitUntil(t, w, 60*second, "the faulty machine is released", func() bool { return w.Workers["n-000001"] == nil })
	for _, spec := range specs {
		waitUntil(t, w, 120*second, "the job is done", jobDone(t, w, spec))
	}
}

func TestInterruptionNoticeMovesCheckpointableTask(t *testing.T) {
	w := newDeployment(t, 2)
	w.RunTime = 60 * second
	spec := newJob(model.Array, 1, func(spec *model.Spec) {
		spec.CheckpointInterval = 10 * second
		spec.CheckpointTime = second
		spec.EstimatedRunTime = 60 * second
	})
	submitJob(t, w, spec)
	waitUntil(t, w, 20*second, "the task runs", func() bool { return activeTasks(w, spec) == 1 })
	worker := w.Workers[w.MachinesOf(model.TaskID{Job: spec.ID})[0]]
	worker.InterruptionNotice = 10 * second
	worker.statusChanged = true
	waitUntil(t, w, 8*second, "the task runs on another machine", func() bool {
		machines := w.MachinesOf(model.TaskID{Job: spec.ID})
		return len(machines) == 1 && machines[0] != worker.Name
	})
}

// Regression test for a retry storm: releases that were queued behind the cloud's rate limit were resent every few
// seconds, one request per machine, so that the queue never drained.
func TestReleasesDoNotQueueBehindSlowCloud(t *testing.T) {
	w := newDeployment(t, 40)
	w.ReleasesBlocked = true
	w.Advance(3 * time.Minute) // all machines have long been idle, and they are charged by the minute
	if w.ReleaseRequests != 1 {
		t.Errorf("release requests while the first one is pending: got %d, want 1", w.ReleaseRequests)
	}
	w.ReleasesBlocked = false
	waitUntil(t, w, 5*second, "every idle machine is released", func() bool { return len(w.Workers) == 0 })
	if w.ReleaseRequests > 3 {
		t.Errorf("release requests for 40 machines: got %d, want at most 3", w.ReleaseRequests)
	}
}

func TestPartitionedWorkerTasksRunElsewhereAfterLeaseExpiry(t *testing.T) {
	w := newDeployment(t, 3)
	w.RunTime = 60 * second
	spec := newJob(model.Array, 2, nil)
	submitJob(t, w, spec)
	waitUntil(t, w, 20*second, "all tasks run", func() bool { return activeTasks(w, spec) == 2 })
	worker := w.Workers[w.MachinesOf(model.TaskID{Job: spec.ID})[0]]
	worker.Partitioned = true
	w.Advance(5 * second)
	if n := len(w.MachinesOf(model.TaskID{Job: spec.ID})); n != 1 {
		t.Fatalf("machines of the task while its partitioned worker holds its lease: got %d, want 1", n)
	}
	waitUntil(t, w, 40*second, "the task runs on another machine", func() bool {
		return activeTasks(w, spec) == 2 && w.MachinesOf(model.TaskID{Job: spec.ID})[0] != worker.Name
	})
}

// When the workers of a partitioned zone reconnect, the last one to do so must not be considered dead, and its tasks
// keep running.
func TestLastReconnectingWorkerOfZoneIsKept(t *testing.T) {
	w := newDeployment(t, 8)
	w.RunTime = 100 * second
	spec := newJob(model.Array, 8, nil)
	submitJob(t, w, spec)
	waitUntil(t, w, 20*second, "all tasks run", func() bool { return activeTasks(w, spec) == 8 })
	var zoneWorkers []*Worker
	for _, name := range w.WorkerNames() {
		if worker := w.Workers[name]; worker.Zone == "a" {
			worker.Partitioned = true
			zoneWorkers = append(zoneWorkers, worker)
		}
	}
	w.Advance(5 * second)
	for _, worker := range zoneWorkers[1:] {
		worker.Partitioned = false
	}
	w.Advance(5 * second) // the last worker is unresponsive for longer than it takes to probe and release a machine
	if w.Workers[zoneWorkers[0].Name] == nil {
		t.Fatal("the last worker to reconnect was released")
	}
	zoneWorkers[0].Partitioned = false
	w.Advance(5 * second)
	if activeTasks(w, spec) != 8 || len(w.Launches) != 8 {
		t.Errorf("after the partition: got %d active tasks and %d started tasks, want 8 and 8",
			activeTasks(w, spec), len(w.Launches))
	}
}

// Regression test: all machines of a partitioned zone were released as idle, although pending jobs could run on them
// after the partition.
func TestIdleMachinesOfPartitionedZoneAreKept(t *testing.T) {
	w := newScaledDeployment(t, 8, 2)
	w.RunTime = 400 * second
	spec := newJob(model.Array, 16, nil) // fills all eight machines
	submitJob(t, w, spec)
	waitUntil(t, w, 20*second, "all tasks run", func() bool { return activeTasks(w, spec) == 16 })
	w.Advance(70 * second)
	w.Types = nil // no more machines can be provisioned
	missing := 0
	for _, worker := range w.Workers {
		if worker.Zone == "a" {
			worker.Partitioned = true
			missing++
		}
	}
	w.Advance(45 * second) // the leases expire, and far more time passes than idle machines are kept
	for _, worker := range w.Workers {
		if worker.Partitioned {
			missing--
			worker.Partitioned = false
		}
	}
	if missing != 0 {
		t.Errorf("released machines of the partitioned zone: got %d, want 0", missing)
	}
	waitUntil(t, w, 10*second, "all tasks run again", func() bool { return activeTasks(w, spec) == 16 })
}
