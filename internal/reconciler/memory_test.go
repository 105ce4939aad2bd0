package reconciler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// liveHeapBytes is how many bytes of the heap are live.
func liveHeapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// What a leader's picture holds for each machine and each live task; stated in
// docs/operators.md, and bounded here so that it does not grow unseen.
func TestMemoryPerMachineAndTaskIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	const machines, each = 2000, 50 // 100,000 live tasks
	snap := &Snapshot{NumberedChunkTasks: 64}
	for i := range machines {
		snap.Machines = append(snap.Machines, model.MachineInfo{Name: fmt.Sprintf("n-%06d", i), Addr: "10.1.2.3:9000", Type: "eight", Zone: "a"})
	}
	snap.Jobs = []JobAdded{{Version: 1, SubmittedAt: now, Spec: pipelineStage("wk-000001", time.Second, model.PriorityLow)}}
	snap.Jobs[0].Spec.Tasks = machines * each
	before := liveHeapBytes()
	c := newTestLeader(now, snap)
	empty := liveHeapBytes()
	for i := range machines {
		r := &model.Heartbeat{Machine: fmt.Sprintf("n-%06d", i), Addr: "10.1.2.3:9000", Type: "eight", Zone: "a", Epoch: 1, Seq: 1, FencingToken: 99}
		for k := range each {
			r.Tasks = append(r.Tasks, model.TaskStatus{Task: model.TaskID{Job: "wk-000001", Index: i*each + k}, Attempt: 7, Phase: model.PhaseRunning})
		}
		c.Step(now, HeartbeatReceived{Heartbeat: r})
	}
	full := liveHeapBytes()
	machine, task := float64(empty-before)/machines, float64(full-empty)/(machines*each)
	t.Logf("%.0f bytes a machine, %.0f a live task, %.0f MB in all", machine, task, float64(full-before)/(1<<20))
	if machine > 2000 || task > 600 {
		t.Errorf("%.0f bytes a machine and %.0f a live task are more than docs/operators.md says", machine, task)
	}
	runtime.KeepAlive(c)
}
