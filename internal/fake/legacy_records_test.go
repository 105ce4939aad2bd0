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

// Records as the version without dependencies between jobs writes them, byte by byte.
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
	legacyTasks12   = "81a462697473a466663033" // tasks 0 to 9
	legacyDone      = "82a3656e64a4646f6e65a16e0c"
	legacyCancelled = "82a3656e64a977697468647261776ea16e0c"
)

// legacySpec is the job of the two active records.
func legacySpec(id string, tasks int) *model.Spec {
	return newJob(model.Array, tasks, func(spec *model.Spec) { spec.ID = id })
}

// legacyChunk is a numbered chunk as that version writes it under a limit of 8 KiB, with some tasks not done.
func legacyChunk(tasks int, not ...int) string {
	bits := make([]byte, (tasks+7)/8)
	for i := range tasks {
		bits[i/8] |= 1 << (i % 8)
	}
	for _, i := range not {
		bits[i/8] &^= 1 << (i % 8)
	}
	s := hex.EncodeToString(bits)
	head := fmt.Sprintf("81a462697473da%04x", len(s))
	if len(s) < 256 {
		head = fmt.Sprintf("81a462697473d9%02x", len(s))
	}
	return head + hex.EncodeToString([]byte(s))
}

func TestSmallLegacyArrayContinuesInLegacyLayout(t *testing.T) {
	w := newDeployment(t, 2)
	w.RunTime = 300 * second
	spec := legacySpec("wk-700001", 12)
	w.Specs[spec.ID] = spec
	preloadHex(t, w, "job/a/wk-700001", legacyActive12)
	preloadHex(t, w, "tasks/wk-700001/0", legacyTasks12)
	restartAll(t, w, 16384)
	waitUntil(t, w, 30*second, "the two that are left run", func() bool { return activeTasks(w, spec) == 2 })
	tenth, eleventh := model.TaskID{Job: spec.ID, Index: 10}, model.TaskID{Job: spec.ID, Index: 11}
	if len(w.Starts) != 2 || w.Starts[tenth] != 1 || w.Starts[eleventh] != 1 {
		t.Errorf("started: %v", w.Starts)
	}
	// One more task is done: the record is the one that the old version would write.
	completeTask(w, spec, 11)
	want := map[string]any{"bits": "ff0b"}
	waitUntil(t, w, 10*second, "it is on record as the old version reads it", func() bool {
		return fmt.Sprint(w.State.Value("tasks/wk-700001/0")) == fmt.Sprint(want)
	})
	if keys := w.State.Keys("part/"); len(keys) != 0 {
		t.Errorf("records that the old version does not know: %v", keys)
	}
	// The record of a job that the new version accepts is, byte for byte, that of the old version.
	submitted := time.Date(2026, 1, 1, 0, 0, 1, 0, time.UTC)
	b := wire.AppendActiveJob(nil, spec, submitted, spec.Dependencies, wire.DependencyParts{})
	if hex.EncodeToString(b) != legacyActive12 {
		t.Errorf("the record of a job that awaits nothing differs:\n%x\n%s", b, legacyActive12)
	}
}

// The legacy layout has chunks of as many tasks as the limit of a value allows: under another limit every chunk after
// the first would stand for other tasks.
func TestLargeLegacyArraySurvivesLowerLimits(t *testing.T) {
	w := newDeployment(t, 4)
	w.Limits = store.Limits{MaxValueBytes: 2048, MaxChanges: 4}
	spec := legacySpec("wk-700002", 100_000)
	w.Specs[spec.ID] = spec
	preloadHex(t, w, "job/a/wk-700002", legacyActive100k)
	left := map[int]bool{7: true, 2047: true, 16384: true, 20000: true, 50000: true, 99999: true}
	for n := 0; n*16384 < spec.Tasks; n++ {
		var not []int
		for i := range left {
			if i/16384 == n {
				not = append(not, i%16384)
			}
		}
		preloadHex(t, w, fmt.Sprintf("tasks/wk-700002/%d", n), legacyChunk(min(16384, spec.Tasks-n*16384), not...))
	}
	old := w.State.Value("tasks/wk-700002/1")
	for i := range spec.Tasks {
		if !left[i] {
			w.Completed[model.TaskID{Job: spec.ID, Index: i}] = true
		}
	}
	w.RunTime = 300 * second
	restartAll(t, w, 16384)
	waitUntil(t, w, 30*second, "what is left runs", func() bool {
		n := 0
		for i := range left {
			n += len(w.MachinesOf(model.TaskID{Job: spec.ID, Index: i}))
		}
		return n == len(left)
	})
	if len(w.Starts) != len(left) {
		t.Fatalf("%d tasks were started where %d were left", len(w.Starts), len(left))
	}
	// The limits are lowered while the job runs.
	w.State.MaxValueBytes, w.State.MaxOps, w.State.LargestValue = 2048, 4, 0
	completeTask(w, spec, 20000)
	completeTask(w, spec, 7)
	waitUntil(t, w, 10*second, "both layouts hold it", func() bool { return len(w.State.Keys("part/")) == 2 })
	// The operators change the settings to the new limit, and restart all controllers.
	restartAll(t, w, 4096)
	waitUntil(t, w, 30*second, "settled", func() bool { return w.Leader() != nil && activeTasksAmong(w, spec, left) == 4 })
	w.Advance(5 * second)
	if len(w.Starts) != len(left) {
		t.Errorf("after the restart %d tasks had been started where %d were left", len(w.Starts), len(left))
	}
	if fmt.Sprint(w.State.Value("tasks/wk-700002/1")) != fmt.Sprint(old) {
		t.Error("a record of the old layout was written again")
	}
	for i := range left {
		completeTask(w, spec, i)
	}
	waitUntil(t, w, 30*second, "done", jobDone(t, w, spec))
	waitUntil(t, w, 30*second, "its records are removed", func() bool {
		return len(w.State.Keys("part/"))+len(w.State.Keys("tasks/")) == 0
	})
	if len(w.RejectedKeys) > 0 || w.State.LargestValue > 1024 {
		t.Errorf("rejected: %v; the largest value has %d bytes", w.RejectedKeys, w.State.LargestValue)
	}
}

func activeTasksAmong(w *World, spec *model.Spec, tasks map[int]bool) int {
	n := 0
	for i := range tasks {
		n += len(w.MachinesOf(model.TaskID{Job: spec.ID, Index: i}))
	}
	return n
}

func TestLegacyEndsReleaseOrCancelDependents(t *testing.T) {
	w := newDeployment(t, 1)
	a, b := legacySpec("wk-700001", 12), legacySpec("wk-700003", 12)
	w.Specs[a.ID], w.Specs[b.ID] = a, b
	preloadHex(t, w, "job/e/wk-700001", legacyDone)
	preloadHex(t, w, "job/e/wk-700003", legacyCancelled)
	for i := range 12 {
		w.Completed[model.TaskID{Job: a.ID, Index: i}] = true
	}
	restartAll(t, w, 0)
	free, doomed := newDependentJob(a), newDependentJob(a, b)
	submitJobs(t, w, free, doomed)
	expectState(t, w, doomed, wire.StateCancelled)
	waitUntil(t, w, 30*second, "done", jobDone(t, w, free))
	// The old version reads the end that the new one has written.
	v, ok := w.State.Value("job/e/" + free.ID).(map[string]any)
	if !ok || v["end"] != "done" || DecodeUint(v["n"]) != 1 {
		t.Errorf("the end reads as %v", v)
	}
}
