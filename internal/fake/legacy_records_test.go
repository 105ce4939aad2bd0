package fake

import (
	"encoding/hex"
	"fmt"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

// Records in hexadecimal, exactly as a version without job dependencies writes them.
const (
	legacyActive12 = "82a26174cf0000019b76daabe8a36a6f62de0011a3726566a9776b2d373030303031a86a6f62636c617373a4776f726b" +
		"a56f776e6572a3726564a57368617065a56172726179a472616e6ba87374616e64617264a4726f77730ca5636f726573" +
		"cb4010000000000000a56361726473cb0000000000000000a86d656d6f72794762cb4020000000000000a76f6e655a6f" +
		"6e65c2a773636174746572c2a76c6f616e657273c3a473656564a3696d67a7696d6167654762cb3ff0000000000000a7" +
		"65787065637453cb4024000000000000a56d61726b53cb0000000000000000a673746f726553cb0000000000000000"
	legacyActive100k = "82a26174cf0000019b76daabe8a36a6f62de0011a3726566a9776b2d373030303032a86a6f62636c617373a4776f726b" +
		"a56f776e6572a3726564a57368617065a56172726179a472616e6ba87374616e64617264a4726f7773ce000186a0a563" +
		"6f726573cb4010000000000000a56361726473cb0000000000000000a86d656d6f72794762cb4020000000000000a76f" +
		"6e655a6f6e65c2a773636174746572c2a76c6f616e657273c3a473656564a3696d67a7696d6167654762cb3ff0000000" +
		"000000a765787065637453cb4024000000000000a56d61726b53cb0000000000000000a673746f726553cb0000000000" +
		"000000"
	legacyTasks12   = "81a462697473a466663033" // tasks 0 to 9 are done
	legacyDone      = "82a3656e64a4646f6e65a16e0c"
	legacyCancelled = "82a3656e64a977697468647261776ea16e0c"
)

// legacySpec returns the job that the two active records describe, under the given id and with the given number of
// tasks.
func legacySpec(id string, tasks int) *model.Spec {
	return newJob(model.Array, tasks, func(spec *model.Spec) { spec.ID = id })
}

// legacyChunk returns, in hexadecimal, a numbered chunk as that version writes it under a value size limit of 8 KiB.
// All its tasks are done except the unfinished ones, which are given by their index in the chunk.
func legacyChunk(tasks int, unfinished ...int) string {
	bits := make([]byte, (tasks+7)/8)
	for i := range tasks {
		bits[i/8] |= 1 << (i % 8)
	}
	for _, i := range unfinished {
		bits[i/8] &^= 1 << (i % 8)
	}
	encoded := hex.EncodeToString(bits)
	header := fmt.Sprintf("81a462697473da%04x", len(encoded))
	if len(encoded) < 256 {
		header = fmt.Sprintf("81a462697473d9%02x", len(encoded))
	}
	return header + hex.EncodeToString([]byte(encoded))
}

func TestSmallLegacyArrayContinuesInLegacyLayout(t *testing.T) {
	w := newDeployment(t, 2)
	w.RunTime = 300 * second
	spec := legacySpec("wk-700001", 12)
	w.Specs[spec.ID] = spec
	preloadHex(t, w, "job/a/wk-700001", legacyActive12)
	preloadHex(t, w, "tasks/wk-700001/0", legacyTasks12)
	restartAllControllers(t, w, 16384)
	waitUntil(t, w, 30*second, "the two unfinished tasks run", func() bool { return activeTasks(w, spec) == 2 })
	task10, task11 := model.TaskID{Job: spec.ID, Index: 10}, model.TaskID{Job: spec.ID, Index: 11}
	if len(w.Launches) != 2 || w.Launches[task10] != 1 || w.Launches[task11] != 1 {
		t.Errorf("starts: got %v, want one each of tasks 10 and 11", w.Launches)
	}
	// When one more task is done, the record is the one that the old version would write.
	completeTask(w, spec, 11)
	want := map[string]any{"bits": "ff0b"}
	waitUntil(t, w, 10*second, "the completion is recorded in the layout of the old version", func() bool {
		return fmt.Sprint(w.State.Value("tasks/wk-700001/0")) == fmt.Sprint(want)
	})
	if keys := w.State.Keys("part/"); len(keys) != 0 {
		t.Errorf("records that the old version does not know: got %v, want none", keys)
	}
	// The new version writes the record of a job without dependencies byte for byte as the old version does.
	submitted := time.Date(2026, 1, 1, 0, 0, 1, 0, time.UTC)
	encoded := wire.AppendActiveJob(nil, spec, submitted, spec.Dependencies, wire.DependencyParts{})
	if hex.EncodeToString(encoded) != legacyActive12 {
		t.Errorf("record of a job without dependencies: got\n%x\nwant\n%s", encoded, legacyActive12)
	}
}

// In the legacy layout, the number of tasks in a chunk follows from the value size limit. If chunks were read under
// another limit, every chunk after the first would describe the wrong tasks. The limits are lowered while such a job
// runs.
func TestLargeLegacyArraySurvivesLowerLimits(t *testing.T) {
	w := newDeployment(t, 4)
	w.StoreLimits = store.Limits{MaxValueBytes: 2048, MaxChanges: 4}
	spec := legacySpec("wk-700002", 100_000)
	w.Specs[spec.ID] = spec
	preloadHex(t, w, "job/a/wk-700002", legacyActive100k)
	unfinished := map[int]bool{7: true, 2047: true, 16384: true, 20000: true, 50000: true, 99999: true}
	for chunk := 0; chunk*16384 < spec.Tasks; chunk++ {
		var unfinishedInChunk []int
		for i := range unfinished {
			if i/16384 == chunk {
				unfinishedInChunk = append(unfinishedInChunk, i%16384)
			}
		}
		preloadHex(t, w, fmt.Sprintf("tasks/wk-700002/%d", chunk),
			legacyChunk(min(16384, spec.Tasks-chunk*16384), unfinishedInChunk...))
	}
	secondChunk := w.State.Value("tasks/wk-700002/1")
	for i := range spec.Tasks {
		if !unfinished[i] {
			w.Completed[model.TaskID{Job: spec.ID, Index: i}] = true
		}
	}
	w.RunTime = 300 * second
	restartAllControllers(t, w, 16384)
	waitUntil(t, w, 30*second, "all unfinished tasks run", func() bool {
		active := 0
		for i := range unfinished {
			active += len(w.MachinesOf(model.TaskID{Job: spec.ID, Index: i}))
		}
		return active == len(unfinished)
	})
	if len(w.Launches) != len(unfinished) {
		t.Fatalf("started tasks: got %d, want the %d unfinished ones", len(w.Launches), len(unfinished))
	}
	// The limits are lowered while the job runs.
	w.State.MaxValueBytes, w.State.MaxOps, w.State.LargestValue = 2048, 4, 0
	completeTask(w, spec, 20000)
	completeTask(w, spec, 7)
	waitUntil(t, w, 10*second, "the completions are recorded in the current layout", func() bool {
		return len(w.State.Keys("part/")) == 2
	})
	// The operators adapt the settings to the new limit and restart all controllers.
	restartAllControllers(t, w, 4096)
	waitUntil(t, w, 30*second, "a controller leads and four tasks run", func() bool {
		return w.Leader() != nil && activeTasksAmong(w, spec, unfinished) == 4
	})
	w.Advance(5 * second)
	if len(w.Launches) != len(unfinished) {
		t.Errorf("started tasks after the restart: got %d, want still %d", len(w.Launches), len(unfinished))
	}
	if fmt.Sprint(w.State.Value("tasks/wk-700002/1")) != fmt.Sprint(secondChunk) {
		t.Error("a chunk in the legacy layout was rewritten")
	}
	for i := range unfinished {
		completeTask(w, spec, i)
	}
	waitUntil(t, w, 30*second, "the job is done", jobDone(t, w, spec))
	waitUntil(t, w, 30*second, "the records of its tasks are deleted", func() bool {
		return len(w.State.Keys("part/"))+len(w.State.Keys("tasks/")) == 0
	})
	if len(w.RejectedKeys) > 0 || w.State.LargestValue > 1024 {
		t.Errorf("rejected records: got %v, want none; largest value: got %d bytes, want at most 1024",
			w.RejectedKeys, w.State.LargestValue)
	}
}

// activeTasksAmong counts the machines that the given tasks of a job are on.
func activeTasksAmong(w *World, spec *model.Spec, tasks map[int]bool) int {
	active := 0
	for i := range tasks {
		active += len(w.MachinesOf(model.TaskID{Job: spec.ID, Index: i}))
	}
	return active
}

func TestLegacyEndsReleaseOrCancelDependents(t *testing.T) {
	w := newDeployment(t, 1)
	done, cancelled := legacySpec("wk-700001", 12), legacySpec("wk-700003", 12)
	w.Specs[done.ID], w.Specs[cancelled.ID] = done, cancelled
	preloadHex(t, w, "job/e/wk-700001", legacyDone)
	preloadHex(t, w, "job/e/wk-700003", legacyCancelled)
	for i := range 12 {
		w.Completed[model.TaskID{Job: done.ID, Index: i}] = true
	}
	restartAllControllers(t, w, 0)
	dependsOnDone, dependsOnBoth := newDependentJob(done), newDependentJob(done, cancelled)
	submitJobs(t, w, dependsOnDone, dependsOnBoth)
	expectState(t, w, dependsOnBoth, wire.StateCancelled)
	waitUntil(t, w, 30*second, "the job that depends on the completed job is done", jobDone(t, w, dependsOnDone))
	// The new version writes the end in a form that the old version can read.
	end, ok := w.State.Value("job/e/" + dependsOnDone.ID).(map[string]any)
	if !ok || end["end"] != "done" || DecodeUint(end["n"]) != 1 {
		t.Errorf("end record as the old version reads it: got %v, want outcome done and 1 task", end)
	}
}
