package reconciler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
)

// liveHeapBytes collects garbage and returns the size of the live heap in bytes.
func liveHeapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// docs/operators.md states how much memory a leader's view uses for each machine and each active task. This test
// keeps it from growing unnoticed.
func TestMemoryPerMachineAndTaskIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	const (
		machines         = 2000
		tasksPerMachine  = 50 // for 100,000 active tasks in all
		maxMachineBytes  = 2000
		maxTaskBytes     = 600
		bytesPerMegabyte = 1 << 20
	)
	name := func(i int) string { return fmt.Sprintf("n-%06d", i) }
	snapshot := &record.Snapshot{NumberedChunkTasks: 64}
	for i := range machines {
		snapshot.Machines = append(snapshot.Machines, inheritedMachine(name(i), "10.1.2.3:9000"))
	}
	spec := pipelineStage("wk-000001", time.Second, model.PriorityLow)
	spec.Tasks = machines * tasksPerMachine
	snapshot.Jobs = []record.Job{{Version: 1, SubmittedAt: now, Spec: spec}}
	before := liveHeapBytes()
	c := newTestLeader(now, snapshot)
	empty := liveHeapBytes()
	for i := range machines {
		heartbeat := heartbeatOf(name(i), 1, 1, 99)
		heartbeat.Addr = "10.1.2.3:9000"
		for k := range tasksPerMachine {
			heartbeat.Tasks = append(heartbeat.Tasks, model.TaskStatus{
				Task:    model.TaskID{Job: "wk-000001", Index: i*tasksPerMachine + k},
				Attempt: 7, Phase: model.PhaseRunning,
			})
		}
		c.Step(now, HeartbeatReceived{Heartbeat: heartbeat})
	}
	full := liveHeapBytes()
	machineBytes := float64(empty-before) / machines
	taskBytes := float64(full-empty) / (machines * tasksPerMachine)
	t.Logf("%.0f bytes per machine, %.0f per active task, %.0f MB in total",
		machineBytes, taskBytes, float64(full-before)/bytesPerMegabyte)
	if machineBytes > maxMachineBytes || taskBytes > maxTaskBytes {
		t.Errorf("got %.0f bytes per machine and %.0f per active task, want at most %d and %d, as docs/operators.md states",
			machineBytes, taskBytes, maxMachineBytes, maxTaskBytes)
	}
	runtime.KeepAlive(c)
}

// allocatedBytes returns the number of bytes that f allocates on the heap.
func allocatedBytes(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

const (
	tasksPerArray   = 100_000 // the most that a submission may have
	controllerBytes = 98 << 20
	refusingPercent = 45 // of the memory; docs/operators.md: from here on new jobs are refused

	// reserveBytes is the memory that is left when new jobs are no longer accepted.
	reserveBytes = controllerBytes * (100 - refusingPercent) / 100
)

// hugeArrays returns twelve arrays of which each task takes a whole machine.
func hugeArrays(now time.Time) []record.Job {
	jobs := make([]record.Job, 12)
	for i := range jobs {
		spec := oneTask(fmt.Sprintf("wk-%06d", i), model.Array)
		spec.Tasks, spec.Demand.CPU = tasksPerArray, 8
		jobs[i] = record.Job{Version: uint64(i + 1), SubmittedAt: now, Spec: spec}
	}
	return jobs
}

// Guards against leaders that are killed for memory one after the other because a pass over a few arrays of the
// largest size that users may submit takes memory for each of their tasks. A pass must fit into the memory that is
// left when new jobs are no longer accepted, even if none of its garbage is collected.
func TestPassOverHugeArraysFitsIntoMemory(t *testing.T) {
	s := newWorkerScenario(t, &record.Snapshot{})
	s.core.settings.Autoscaler.MaxPerRequest = 50
	s.core.machineTypes[0].Zones = []string{"a", "b"}
	s.core.teams["red"].Quota = model.Quota{}
	s.register("n-1")
	for _, job := range hugeArrays(s.now) {
		s.step(0, JobAdded(job))
	}
	provisioned := false
	for range 5 {
		if allocated := allocatedBytes(func() { s.step(time.Second, Tick{}) }); allocated > reserveBytes {
			t.Errorf("one step allocated %d MB, want at most %d MB", allocated>>20, reserveBytes>>20)
		}
		for _, effect := range s.effects {
			_, ok := effect.(Provision)
			provisioned = provisioned || ok
		}
	}
	if !provisioned {
		t.Error("no machines were requested for the waiting tasks")
	}
}

// Guards against leaders that are killed for memory because the states of waiting tasks take more of it than the jobs
// that arrive before new ones are refused may take. The state service bounds how many arrive.
func TestMemoryOfWaitingTasksIsBounded(t *testing.T) {
	const (
		acceptedPerSecond   = 80 // each job that is accepted is a write to the state service
		refusalDelaySeconds = 3  // until all members refuse new jobs
		maxArrayBytes       = reserveBytes / (acceptedPerSecond * refusalDelaySeconds)
	)
	now := time.Unix(1000, 0)
	snapshot := &record.Snapshot{NumberedChunkTasks: 64, Jobs: hugeArrays(now)}
	before := liveHeapBytes()
	c := newTestLeader(now, snapshot)
	arrayBytes := (liveHeapBytes() - before) / uint64(len(snapshot.Jobs))
	if arrayBytes > maxArrayBytes {
		t.Errorf("an array of %d waiting tasks takes %d bytes, want at most %d", tasksPerArray, arrayBytes, maxArrayBytes)
	}
	runtime.KeepAlive(c)
}
