package fake

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

// newDependentJob makes an array of one task that awaits other jobs.
func newDependentJob(needs ...*model.Spec) *model.Spec {
	return newJob(model.Array, 1, func(s *model.Spec) {
		s.Demand.CPU = 1
		for _, n := range needs {
			s.Dependencies = append(s.Dependencies, n.ID)
		}
	})
}

func submitJobs(t *testing.T, w *World, specs ...*model.Spec) {
	t.Helper()
	for i, s := range specs {
		if err := w.Submit(w.Controllers[i%len(w.Controllers)], s); err != nil {
			t.Fatalf("submission of %s: %v", s.ID, err)
		}
	}
}

// expectState asserts what every controller that is up answers about a job.
func expectState(t *testing.T, w *World, s *model.Spec, want wire.JobState) {
	t.Helper()
	for _, c := range w.Controllers {
		if !c.Up {
			continue
		}
		if got := polledState(t, c, s.ID); got != want {
			t.Errorf("%s says that %s is %v instead of %v", c.Member, s.ID, got, want)
		}
	}
}

func preloadHex(t *testing.T, w *World, key, hexValue string) {
	t.Helper()
	b, err := hex.DecodeString(hexValue)
	if err != nil {
		t.Fatal(err)
	}
	w.State.Preload(key, b)
}

// restartAll ends all controllers and starts them again, by the world's limits.
func restartAll(t *testing.T, w *World, numbered int) {
	t.Helper()
	for _, c := range w.Controllers {
		c.Crash()
	}
	for _, c := range w.Controllers {
		c.settings.NumberedChunkTasks, c.settings.MaxTxnOps = numbered, w.Limits.MaxChanges
		c.Start()
	}
	waitUntil(t, w, 20*second, "somebody leads", func() bool { return w.Leader() != nil })
}

// completeTask lets one task of a job complete now.
func completeTask(w *World, s *model.Spec, i int) {
	for _, k := range w.Workers {
		for _, x := range k.Tasks {
			if x.ID.Job == s.ID && x.ID.Index == i {
				x.phaseEnd = w.Now()
			}
		}
	}
}

func TestDependentJobsStartInOrderWithoutDelay(t *testing.T) {
	w := newDeployment(t, 2) // the world checks too_early
	a := newJob(model.Array, 4, nil)
	b1, b2 := newDependentJob(a), newDependentJob(a)
	gang := newJob(model.Gang, 2, func(s *model.Spec) { s.Dependencies = []string{b1.ID, b2.ID, a.ID} })
	huge := newJob(model.Array, 60, func(s *model.Spec) { s.Team = "blue"; s.Dependencies = []string{gang.ID} })
	submitJobs(t, w, a, b1, b2, gang, huge)
	rented := w.ProvisionedTotal()
	waitUntil(t, w, 60*second, "the gang runs", func() bool { return activeTasks(w, gang) == 2 })
	if n := w.ProvisionedTotal(); n != rented {
		t.Errorf("%d machines were rented for work that may not start", n-rented)
	}
	expectState(t, w, huge, wire.StateQueued)
	waitUntil(t, w, 60*second, "the gang is done", jobDone(t, w, gang))
	waitUntil(t, w, 2*second, "the last stage starts at once", func() bool { return w.Starts[model.TaskID{Job: huge.ID}] == 1 })
}

func TestCancellationCascadesAcrossFailover(t *testing.T) {
	w := newDeployment(t, 2)
	w.State.MaxOps, w.Limits.MaxChanges = 4, 4
	w.RunTime = 300 * second
	restartAll(t, w, 0)
	a := newJob(model.Array, 2, nil)
	all := []*model.Spec{a}
	for range 30 { // a chain, and a fan at each link
		all = append(all, newDependentJob(all[len(all)-1]), newDependentJob(a))
	}
	submitJobs(t, w, all...)
	waitUntil(t, w, 20*second, "the first runs", func() bool { return activeTasks(w, a) == 2 })
	w.Leader().Crash() // nobody leads while the user cancels
	other := w.Controllers[0]
	if !other.Up {
		other = w.Controllers[1]
	}
	if _, err := w.Cancel(other, a.ID); err != nil {
		t.Fatal(err)
	}
	for _, s := range all {
		expectState(t, w, s, wire.StateCancelled)
	}
	if n := len(w.State.Keys("job/a/")); n != len(all)-1 {
		t.Fatalf("%d jobs unfinished on record", n)
	}
	late := newDependentJob(all[len(all)-1])
	submitJobs(t, w, late) // behind one whose own end is not written yet
	expectState(t, w, late, wire.StateCancelled)
	waitUntil(t, w, 30*second, "a new leader has written all ends", func() bool { return len(w.State.Keys("job/a/")) == 0 })
	restartAll(t, w, 0)
	for _, s := range append(all, late) {
		expectState(t, w, s, wire.StateCancelled)
	}
}

func TestCancellationCascadeCompletesAfterOutage(t *testing.T) {
	w := newDeployment(t, 2)
	w.RunTime = 300 * second
	a := newJob(model.Array, 1, nil)
	b := newDependentJob(a)
	c := newDependentJob(b)
	submitJobs(t, w, a, b, c)
	waitUntil(t, w, 20*second, "the first runs", func() bool { return activeTasks(w, a) == 1 })
	if _, err := w.Cancel(w.Controllers[1], a.ID); err != nil {
		t.Fatal(err)
	}
	w.State.SetDown(true) // before the leader has heard of it
	w.Advance(6 * second)
	w.State.SetDown(false)
	expectState(t, w, c, wire.StateCancelled)
	waitUntil(t, w, 10*second, "the ends are on record", func() bool { return len(w.State.Keys("job/a/")) == 0 })
}

func TestCancelRacingCompletionDecidesDependents(t *testing.T) {
	for _, when := range []time.Duration{0, second, 4 * second, 12 * second, 12500 * time.Millisecond, 13 * second, 20 * second} {
		w := newDeployment(t, 2)
		a := newJob(model.Array, 1, nil)
		b := newDependentJob(a)
		diamond := newDependentJob(a, b)
		submitJobs(t, w, a, b, diamond)
		w.Advance(when)
		v, err := w.Cancel(w.Controllers[2], a.ID)
		if err != nil {
			t.Fatal(err)
		}
		if v.State == wire.StateCancelled {
			expectState(t, w, b, wire.StateCancelled)
			expectState(t, w, diamond, wire.StateCancelled)
			continue
		}
		waitUntil(t, w, 60*second, "those after a done job go on", jobDone(t, w, diamond))
	}
}

func TestCancelDownstreamLeavesOtherJobs(t *testing.T) {
	w := newDeployment(t, 2)
	a := newJob(model.Array, 1, nil)
	b, side := newDependentJob(a), newDependentJob(a)
	c := newDependentJob(b, side)
	submitJobs(t, w, a, b, side, c)
	if _, err := w.Cancel(w.Controllers[1], b.ID); err != nil {
		t.Fatal(err)
	}
	expectState(t, w, c, wire.StateCancelled)
	waitUntil(t, w, 60*second, "what does not need it is done", func() bool { return jobDone(t, w, a)() && jobDone(t, w, side)() })
	if n := w.Starts[model.TaskID{Job: b.ID}] + w.Starts[model.TaskID{Job: c.ID}]; n != 0 {
		t.Errorf("%d starts of what was cancelled while it waited", n)
	}
}

func TestSubmissionValidatesDependencies(t *testing.T) {
	w := newDeployment(t, 2)
	ended, cancelled, service := newJob(model.Array, 1, nil), newJob(model.Array, 1, nil), newJob(model.Service, 1, nil)
	submitJobs(t, w, ended, cancelled, service)
	if _, err := w.Cancel(w.Controllers[0], cancelled.ID); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, w, 60*second, "done", jobDone(t, w, ended))
	restartAll(t, w, 0) // nobody remembers anything
	self := newDependentJob()
	self.Dependencies = []string{self.ID}
	for name, s := range map[string]*model.Spec{"one never accepted": newDependentJob(&model.Spec{ID: "wk-999999"}), "itself": self} {
		if err := w.Submit(w.Controllers[1], s); !errors.Is(err, store.ErrUnknownDependency) {
			t.Errorf("a job that awaits %s: %v", name, err)
		}
	}
	if err := w.Submit(w.Controllers[1], newDependentJob(service)); !errors.Is(err, store.ErrServiceDependency) {
		t.Errorf("a job that awaits a service: %v", err)
	}
	below := newDependentJob(ended, cancelled)
	submitJobs(t, w, below)
	expectState(t, w, below, wire.StateCancelled)
	if created, v, err := w.Controllers[2].Jobs.Accept(context.Background(), below, false, w.now); created || err != nil || v.State != wire.StateCancelled {
		t.Errorf("a retry of it: accepted=%v, %v, %v", created, v.State, err)
	}
	free := newDependentJob(ended)
	submitJobs(t, w, free)
	waitUntil(t, w, 30*second, "a job that awaits only what is done runs", jobDone(t, w, free))
	w.Controllers[0].StateUnreachable = true
	if err := w.Submit(w.Controllers[0], newDependentJob(&model.Spec{ID: "wk-999998"})); err == nil || errors.Is(err, store.ErrUnknownDependency) {
		t.Errorf("without the state service nobody can know that a job was never accepted: %v", err)
	}
}

// Guards against a leader that forgets the end that a waiting job hangs on: its
// memory of ended jobs is small, and the job was accepted when the end was written
// already but not known everywhere.
func TestFailoverResolvesDependenciesEndedLongAgo(t *testing.T) {
	w := newDeployment(t, 2)
	w.EndedJobsKept = 1
	restartAll(t, w, 0)
	w.RunTime = 2 * second
	a, b := newJob(model.Array, 1, nil), newJob(model.Array, 1, nil)
	long := newJob(model.Array, 1, func(s *model.Spec) { s.Team = "blue"; s.Demand.CPU = 100 }) // fits nowhere
	submitJobs(t, w, a, b, long)
	c := newDependentJob(a, b, long)
	submitJobs(t, w, c)
	waitUntil(t, w, 60*second, "two of three are done", func() bool { return jobDone(t, w, a)() && jobDone(t, w, b)() })
	for range 3 { // others push them out of every memory
		s := newJob(model.Array, 1, nil)
		submitJobs(t, w, s)
		waitUntil(t, w, 60*second, "done", jobDone(t, w, s))
	}
	d := newDependentJob(a)
	d.Dependencies = append(d.Dependencies, long.ID)
	submitJobs(t, w, d)
	restartAll(t, w, 0)
	w.Advance(5 * second)
	expectState(t, w, c, wire.StateQueued)
	if _, err := w.Cancel(w.Controllers[1], long.ID); err != nil {
		t.Fatal(err)
	}
	expectState(t, w, c, wire.StateCancelled)
	expectState(t, w, d, wire.StateCancelled)
	waitUntil(t, w, 10*second, "their ends are on record", func() bool { return len(w.State.Keys("job/a/")) == 0 })
}

func TestFailoverBetweenCompletionAndDependentStart(t *testing.T) {
	for _, when := range []time.Duration{10 * second, 11 * second, 11500 * time.Millisecond, 12 * second, 12500 * time.Millisecond} {
		w := newDeployment(t, 2)
		w.HoldCommands = when > 11*second // direct launches hang, and come late
		a := newJob(model.Array, 2, nil)
		b := newDependentJob(a)
		submitJobs(t, w, a, b)
		w.Advance(when)
		if l := w.Leader(); l != nil {
			l.Crash()
		}
		w.HoldCommands = false
		waitUntil(t, w, 60*second, "done", func() bool { return w.Leader() != nil && refreshedState(t, w.Leader(), b.ID) == wire.StateDone })
		for _, f := range w.HeldCommands {
			f()
		}
		w.Advance(2 * second)
	}
}

// The moment that frees a job lasts: it is on record with the end of what it needs.
func TestDependencyCompletionTimeSurvivesFailover(t *testing.T) {
	w := newDeployment(t, 2)
	a := newJob(model.Array, 1, nil)
	b := newDependentJob(a)
	b.Demand.CPU = 100 // fits nowhere
	submitJobs(t, w, a, b)
	waitUntil(t, w, 60*second, "freed", jobDone(t, w, a))
	freed := w.Now()
	w.Advance(30 * second)
	restartAll(t, w, 0)
	w.Advance(5 * second)
	for _, e := range w.Leader().Jobs.ReadEnds(context.Background(), []string{a.ID}) {
		if d := freed.Sub(e.EndedAt); e.Outcome != model.OutcomeDone || d < 0 || d > second {
			t.Errorf("the end on record is %v before the one that was seen", d)
		}
	}
}

func TestManyDependenciesAreSplitUnderSmallValueLimit(t *testing.T) {
	w := newScaledDeployment(t, 30, 80)
	w.State.MaxValueBytes, w.Limits.MaxValueBytes = 2048, 2048
	w.State.MaxOps, w.Limits.MaxChanges = 4, 4
	restartAll(t, w, 0)
	w.RunTime = second
	last := newDependentJob()
	last.ID = "wk-8" + strings.Repeat("0", 30)
	for i := range 400 {
		s := newDependentJob()
		s.ID = fmt.Sprintf("wk-9%030d", i)
		submitJobs(t, w, s)
		last.Dependencies = append(last.Dependencies, s.ID)
	}
	submitJobs(t, w, last)
	if n := len(w.State.Keys("job/w/")); n < 5 {
		t.Fatalf("a list of 400 long ids in %d parts", n)
	}
	restartAll(t, w, 0)
	waitUntil(t, w, 120*second, "done", jobDone(t, w, last))
	waitUntil(t, w, 10*second, "its parts are gone", func() bool { return len(w.State.Keys("job/w/")) == 0 })
	if len(w.RejectedKeys) > 0 {
		t.Errorf("rejected: %v", w.RejectedKeys)
	}
	for i := range 2000 {
		last.Dependencies = append(last.Dependencies, fmt.Sprintf("wk-7%030d", i))
	}
	if err := w.Controllers[0].Jobs.CheckSize(last); !errors.Is(err, store.ErrTooLarge) {
		t.Errorf("a list that cannot be kept at all: %v", err)
	}
}

// A submission that dies between the parts of its list and its own record leaves
// parts behind, which a new leader clears away, and no job.
func TestPartialSubmissionIsCleanedUp(t *testing.T) {
	w := newDeployment(t, 1)
	s := newDependentJob()
	key := "job/w/" + s.ID + "/cbf29ce484222325/0"
	w.State.Preload(key, wire.AppendDependencies(nil, []string{"wk-000001"}))
	restartAll(t, w, 0)
	waitUntil(t, w, 10*second, "cleared away", func() bool { return w.State.Value(key) == nil })
	if v, err := w.Controllers[0].Jobs.Lookup(context.Background(), s.ID); err != nil || v.State != wire.StateUnknown {
		t.Errorf("it is %v, %v", v.State, err)
	}
	submitJobs(t, w, s)
	waitUntil(t, w, 30*second, "accepted in full it runs", jobDone(t, w, s))
}

// Records as the version without pipelines writes them, byte by byte.
const (
	legacyActive12   = "82a26174cf0000019b76daabe8a36a6f62de0011a3726566a9776b2d373030303031a86a6f62636c617373a4776f726ba56f776e6572a3726564a57368617065a56172726179a472616e6ba87374616e64617264a4726f77730ca5636f726573cb4010000000000000a56361726473cb0000000000000000a86d656d6f72794762cb4020000000000000a76f6e655a6f6e65c2a773636174746572c2a76c6f616e657273c3a473656564a3696d67a7696d6167654762cb3ff0000000000000a765787065637453cb4024000000000000a56d61726b53cb0000000000000000a673746f726553cb0000000000000000"
	legacyActive100k = "82a26174cf0000019b76daabe8a36a6f62de0011a3726566a9776b2d373030303032a86a6f62636c617373a4776f726ba56f776e6572a3726564a57368617065a56172726179a472616e6ba87374616e64617264a4726f7773ce000186a0a5636f726573cb4010000000000000a56361726473cb0000000000000000a86d656d6f72794762cb4020000000000000a76f6e655a6f6e65c2a773636174746572c2a76c6f616e657273c3a473656564a3696d67a7696d6167654762cb3ff0000000000000a765787065637453cb4024000000000000a56d61726b53cb0000000000000000a673746f726553cb0000000000000000"
	legacyTasks12    = "81a462697473a466663033" // tasks 0 to 9
	legacyDone       = "82a3656e64a4646f6e65a16e0c"
	legacyCancelled  = "82a3656e64a977697468647261776ea16e0c"
)

// legacySpec is what the two active records say.
func legacySpec(id string, tasks int) *model.Spec {
	return newJob(model.Array, tasks, func(s *model.Spec) { s.ID = id })
}

// legacyChunk is a numbered chunk as the version without pipelines writes it under a
// limit of 8 KiB, with some tasks not done.
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
	s := legacySpec("wk-700001", 12)
	w.Specs[s.ID] = s
	preloadHex(t, w, "job/a/wk-700001", legacyActive12)
	preloadHex(t, w, "tasks/wk-700001/0", legacyTasks12)
	restartAll(t, w, 16384)
	waitUntil(t, w, 30*second, "the two that are left run", func() bool { return activeTasks(w, s) == 2 })
	if len(w.Starts) != 2 || w.Starts[model.TaskID{Job: s.ID, Index: 10}] != 1 || w.Starts[model.TaskID{Job: s.ID, Index: 11}] != 1 {
		t.Errorf("started: %v", w.Starts)
	}
	// One more is done: the record is the one that the old version would write.
	completeTask(w, s, 11)
	want := map[string]any{"bits": "ff0b"}
	waitUntil(t, w, 10*second, "it is on record as the old version reads it", func() bool {
		return fmt.Sprint(w.State.Value("tasks/wk-700001/0")) == fmt.Sprint(want)
	})
	if keys := w.State.Keys("part/"); len(keys) != 0 {
		t.Errorf("records that the old version does not know: %v", keys)
	}
	// And a job that the new version accepts is, byte for byte, one of the old.
	b := wire.AppendActiveJob(nil, s, time.Date(2026, 1, 1, 0, 0, 1, 0, time.UTC), s.Dependencies, wire.DependencyParts{})
	if hex.EncodeToString(b) != legacyActive12 {
		t.Errorf("the record of a job that awaits nothing differs:\n%x\n%s", b, legacyActive12)
	}
}

// Guards against the trap of a layout that goes by a limit: under another one, every
// chunk after the first would stand for other tasks.
func TestLargeLegacyArraySurvivesLowerLimits(t *testing.T) {
	w := newDeployment(t, 4)
	w.Limits = store.Limits{MaxValueBytes: 2048, MaxChanges: 4}
	s := legacySpec("wk-700002", 100_000)
	w.Specs[s.ID] = s
	preloadHex(t, w, "job/a/wk-700002", legacyActive100k)
	left := map[int]bool{7: true, 2047: true, 16384: true, 20000: true, 50000: true, 99999: true}
	for n := 0; n*16384 < s.Tasks; n++ {
		var not []int
		for i := range left {
			if i/16384 == n {
				not = append(not, i%16384)
			}
		}
		preloadHex(t, w, fmt.Sprintf("tasks/wk-700002/%d", n), legacyChunk(min(16384, s.Tasks-n*16384), not...))
	}
	old := w.State.Value("tasks/wk-700002/1")
	for i := range s.Tasks {
		if !left[i] {
			w.Completed[model.TaskID{Job: s.ID, Index: i}] = true
		}
	}
	w.RunTime = 300 * second
	restartAll(t, w, 16384)
	waitUntil(t, w, 30*second, "what is left runs", func() bool {
		n := 0
		for i := range left {
			n += len(w.MachinesOf(model.TaskID{Job: s.ID, Index: i}))
		}
		return n == len(left)
	})
	if len(w.Starts) != len(left) {
		t.Fatalf("%d tasks were started where %d were left", len(w.Starts), len(left))
	}
	// The limits fall in the middle of it.
	w.State.MaxValueBytes, w.State.MaxOps, w.State.LargestValue = 2048, 4, 0
	completeTask(w, s, 20000)
	completeTask(w, s, 7)
	waitUntil(t, w, 10*second, "both layouts hold it", func() bool { return len(w.State.Keys("part/")) == 2 })
	// The operators change the settings to the new limit, and the service restarts.
	restartAll(t, w, 4096)
	waitUntil(t, w, 30*second, "settled", func() bool { return w.Leader() != nil && activeTasksAmong(w, s, left) == 4 })
	w.Advance(5 * second)
	if len(w.Starts) != len(left) {
		t.Errorf("after the restart %d tasks had been started where %d were left", len(w.Starts), len(left))
	}
	if fmt.Sprint(w.State.Value("tasks/wk-700002/1")) != fmt.Sprint(old) {
		t.Error("a record of the old layout was written again")
	}
	for i := range left {
		completeTask(w, s, i)
	}
	waitUntil(t, w, 30*second, "done", jobDone(t, w, s))
	waitUntil(t, w, 30*second, "its records are gone", func() bool { return len(w.State.Keys("part/"))+len(w.State.Keys("tasks/")) == 0 })
	if len(w.RejectedKeys) > 0 || w.State.LargestValue > 1024 {
		t.Errorf("rejected: %v; the largest value has %d bytes", w.RejectedKeys, w.State.LargestValue)
	}
}

func activeTasksAmong(w *World, s *model.Spec, tasks map[int]bool) int {
	n := 0
	for i := range tasks {
		n += len(w.MachinesOf(model.TaskID{Job: s.ID, Index: i}))
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

// Guards against an endless loop round one record that the state service will not
// take: the others are saved, and the job ends.
func TestRejectedRecordDoesNotBlockOthers(t *testing.T) {
	w := newDeployment(t, 2)
	s := newJob(model.Array, 1900, func(s *model.Spec) { s.Demand.CPU = 1 })
	other := newJob(model.Array, 3, nil)
	w.Specs[s.ID] = s
	for i := range 1895 {
		w.Completed[model.TaskID{Job: s.ID, Index: i}] = true
	}
	w.State.Preload("job/a/"+s.ID, wire.AppendActiveJob(nil, s, w.Now(), nil, wire.DependencyParts{}))
	bits := make([]byte, 238)
	for i := range 1895 {
		bits[i/8] |= 1 << (i % 8)
	}
	w.State.Preload("tasks/"+s.ID+"/0", wire.AppendTasksDone(nil, bits))
	restartAll(t, w, 0)
	w.RunTime = 20 * second
	w.State.MaxValueBytes = 300 // far below what was promised
	submitJobs(t, w, other)
	before := w.State.Transactions
	waitUntil(t, w, 30*second, "runs", func() bool { return len(w.MachinesOf(model.TaskID{Job: s.ID, Index: 1897})) == 1 })
	completeTask(w, s, 1897)
	waitUntil(t, w, 60*second, "both are done", func() bool { return jobDone(t, w, s)() && jobDone(t, w, other)() })
	if len(w.RejectedKeys) == 0 || len(w.RejectedKeys) > 12 {
		t.Errorf("rejected: %v", w.RejectedKeys)
	}
	if n := w.State.Transactions - before; n > 60 {
		t.Errorf("%d transactions", n)
	}
}
