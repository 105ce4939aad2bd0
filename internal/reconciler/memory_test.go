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
