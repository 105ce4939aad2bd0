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
	waitUntil(t, w, 90*second, "done", jobDone(t, w, spec))
	if w.ProvisionedTotal() < 2 {
		t.Error("no machine was provisioned for nine tasks, which need more than one")
	}
	waitUntil(t, w, 300*second, "idle machines returned", func() bool { return len(w.Workers) == 0 })
}

func TestUnansweredProvisioningIsNotRepeatedUnderAnotherName(t *testing.T) {
	w := newDeployment(t, 0)
	w.CloudAnswersLost = true
	spec := newJob(model.Array, 4, nil) // they fill two machines
	submitJob(t, w, spec)
	w.Advance(4 * second)
	provisioned := w.ProvisionedTotal()
	if provisioned == 0 {
		t.Fatal("no machine was provisioned")
	}
	w.Advance(10 * second)
	w.CloudAnswersLost = false
	waitUntil(t, w, 60*second, "done", jobDone(t, w, spec))
	if w.ProvisionedTotal() != provisioned {
		t.Errorf("provisioned machines: got %d, want %d", w.ProvisionedTotal(), provisioned)
	}
}

func TestFaultyMachineIsReleased(t *testing.T) {
	w := newDeployment(t, 2)
	w.FetchTime = 200 * time.Millisecond
	faulty := w.Workers["n-000001"]
	faulty.Faulty = true
	var all []*model.Spec
	for range 3 {
		spec := newJob(model.Array, 3, nil)
		all = append(all, spec)
		submitJob(t, w, spec)
	}
	waitUntil(t, w, 60*second, "the faulty machine is released", func() bool { return w.Workers["n-000001"] == nil })
	for _, spec := range all {
		waitUntil(t, w, 120*second, "done", jobDone(t, w, spec))
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
	waitUntil(t, w, 20*second, "runs", func() bool { return activeTasks(w, spec) == 1 })
	worker := w.Workers[w.MachinesOf(model.TaskID{Job: spec.ID})[0]]
	worker.InterruptionNotice = 10 * second
	worker.statusChanged = true
	waitUntil(t, w, 8*second, "runs on another machine", func() bool {
		o := w.MachinesOf(model.TaskID{Job: spec.ID})
		return len(o) == 1 && o[0] != worker.Name
	})
}

// A regression test against a retry storm: releases that waited for the cloud's rate limit were sent again every few
// seconds, machine by machine, until the queue never drained.
func TestReleasesDoNotQueueBehindSlowCloud(t *testing.T) {
	w := newDeployment(t, 40)
	w.ReleasesBlocked = true
	w.Advance(3 * time.Minute) // all are idle for long, and are charged by the minute
	if w.ReleaseRequests != 1 {
		t.Errorf("release requests while the first waits: got %d, want 1", w.ReleaseRequests)
	}
	w.ReleasesBlocked = false
	waitUntil(t, w, 5*second, "every idle machine is released", func() bool { return len(w.Workers) == 0 })
	if w.ReleaseRequests > 3 {
		t.Errorf("release requests for 40 machines: got %d, want 3 at most", w.ReleaseRequests)
	}
}

func TestPartitionedWorkerTasksRunElsewhereAfterLeaseExpiry(t *testing.T) {
	w := newDeployment(t, 3)
	w.RunTime = 60 * second
	spec := newJob(model.Array, 2, nil)
	submitJob(t, w, spec)
	waitUntil(t, w, 20*second, "all run", func() bool { return activeTasks(w, spec) == 2 })
	worker := w.Workers[w.MachinesOf(model.TaskID{Job: spec.ID})[0]]
	worker.Partitioned = true
	w.Advance(5 * second)
	if n := len(w.MachinesOf(model.TaskID{Job: spec.ID})); n != 1 {
		t.Fatalf("while its machine may still run it, the task is on %d machines", n)
	}
	waitUntil(t, w, 40*second, "runs elsewhere", func() bool {
		return activeTasks(w, spec) == 2 && w.MachinesOf(model.TaskID{Job: spec.ID})[0] != worker.Name
	})
}

// Most workers of a partitioned zone reach the leader again, and one does not yet: it is not taken for dead, and its
// tasks go on.
func TestLastReconnectingWorkerOfZoneIsKept(t *testing.T) {
	w := newDeployment(t, 8)
	w.RunTime = 100 * second
	spec := newJob(model.Array, 8, nil)
	submitJob(t, w, spec)
	waitUntil(t, w, 20*second, "runs", func() bool { return activeTasks(w, spec) == 8 })
	var zone []*Worker
	for _, name := range w.WorkerNames() {
		if worker := w.Workers[name]; worker.Zone == "a" {
			worker.Partitioned = true
			zone = append(zone, worker)
		}
	}
	w.Advance(5 * second)
	for _, worker := range zone[1:] {
		worker.Partitioned = false
	}
	w.Advance(5 * second) // the last one has been silent for longer than one that is probed and released
	if w.Workers[zone[0].Name] == nil {
		t.Fatal("the last worker to reconnect was released")
	}
	zone[0].Partitioned = false
	w.Advance(5 * second)
	if activeTasks(w, spec) != 8 || len(w.Starts) != 8 {
		t.Errorf("%d tasks run, %d were started", activeTasks(w, spec), len(w.Starts))
	}
}

// A regression test: a whole zone was released as idle in the middle of a partition, while jobs waited that it could
// run afterwards.
func TestIdleMachinesOfPartitionedZoneAreKept(t *testing.T) {
	w := newScaledDeployment(t, 8, 2)
	w.RunTime = 400 * second
	spec := newJob(model.Array, 16, nil) // fills all eight
	submitJob(t, w, spec)
	waitUntil(t, w, 20*second, "runs", func() bool { return activeTasks(w, spec) == 16 })
	w.Advance(70 * second)
	w.Types = nil // no more machines can be provisioned
	cut := 0
	for _, worker := range w.Workers {
		if worker.Zone == "a" {
			worker.Partitioned = true
			cut++
		}
	}
	w.Advance(45 * second) // the leases expire, and far longer than an idle machine is kept
	for _, worker := range w.Workers {
		if worker.Partitioned {
			cut--
			worker.Partitioned = false
		}
	}
	if cut != 0 {
		t.Errorf("released machines of the partitioned zone: got %d, want 0", cut)
	}
	waitUntil(t, w, 10*second, "runs again", func() bool { return activeTasks(w, spec) == 16 })
}
