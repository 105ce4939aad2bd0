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

// after makes an array of one task that awaits other jobs.
func after(needs ...*model.Spec) *model.Spec {
	return job(model.Array, 1, func(s *model.Spec) {
		s.Demand.CPU = 1
		for _, n := range needs {
			s.Dependencies = append(s.Dependencies, n.ID)
		}
	})
}

func submitAll(t *testing.T, w *World, specs ...*model.Spec) {
	t.Helper()
	for i, s := range specs {
		if err := w.Submit(w.Controllers[i%len(w.Controllers)], s); err != nil {
			t.Fatalf("submission of %s: %v", s.ID, err)
		}
	}
}

// says asserts what every controller that is up answers about a job.
func says(t *testing.T, w *World, s *model.Spec, want wire.JobState) {
	t.Helper()
	for _, c := range w.Controllers {
		if !c.Up {
			continue
		}
		if got := poll(t, c, s.ID); got != want {
			t.Errorf("%s says that %s is %v instead of %v", c.Member, s.ID, got, want)
		}
	}
}

func plant(t *testing.T, w *World, key, hexValue string) {
	t.Helper()
	b, err := hex.DecodeString(hexValue)
	if err != nil {
		t.Fatal(err)
	}
	w.State.Plant(key, b)
}

// restart ends all controllers and starts them again, by the world's limits.
func restart(t *testing.T, w *World, numbered int) {
	t.Helper()
	for _, c := range w.Controllers {
		c.Crash()
	}
	for _, c := range w.Controllers {
		c.set.NumberedChunkTasks, c.set.MaxTxnOps = numbered, w.Limits.MaxChanges
		c.Start()
	}
	until(t, w, 20*second, "somebody leads", func() bool { return w.Leader() != nil })
}

// finish lets one task of a job complete now.
func finish(w *World, s *model.Spec, i int) {
	for _, k := range w.Workers {
		for _, x := range k.Tasks {
			if x.ID.Job == s.ID && x.ID.Index == i {
				x.until = w.Now()
			}
		}
	}
}

func TestPipelineRunsInOrderAndWaitsForNothingElse(t *testing.T) {
	w := deployment(t, 2) // the world checks too_early
	a := job(model.Array, 4, nil)
	b1, b2 := after(a), after(a)
	gang := job(model.Gang, 2, func(s *model.Spec) { s.Dependencies = []string{b1.ID, b2.ID, a.ID} })
	huge := job(model.Array, 60, func(s *model.Spec) { s.Team = "blue"; s.Dependencies = []string{gang.ID} })
	submitAll(t, w, a, b1, b2, gang, huge)
	rented := w.Rented()
	until(t, w, 60*second, "the gang runs", func() bool { return on(w, gang) == 2 })
	if n := w.Rented(); n != rented {
		t.Errorf("%d machines were rented for work that may not start", n-rented)
	}
	says(t, w, huge, wire.StateQueued)
	until(t, w, 60*second, "the gang is done", done(t, w, gang))
	until(t, w, 2*second, "the last stage starts at once", func() bool { return w.Starts[model.TaskID{Job: huge.ID}] == 1 })
}

func TestCancellationGoesDownWholePipelinesAndOutlivesLeaders(t *testing.T) {
	w := deployment(t, 2)
	w.State.MostOps, w.Limits.MaxChanges = 4, 4
	w.Run = 300 * second
	restart(t, w, 0)
	a := job(model.Array, 2, nil)
	all := []*model.Spec{a}
	for range 30 { // a chain, and a fan at each link
		all = append(all, after(all[len(all)-1]), after(a))
	}
	submitAll(t, w, all...)
	until(t, w, 20*second, "the first runs", func() bool { return on(w, a) == 2 })
	w.Leader().Crash() // nobody leads while the user cancels
	other := w.Controllers[0]
	if !other.Up {
		other = w.Controllers[1]
	}
	if _, err := w.Cancel(other, a.ID); err != nil {
		t.Fatal(err)
	}
	for _, s := range all {
		says(t, w, s, wire.StateCancelled)
	}
	if n := len(w.State.Keys("job/a/")); n != len(all)-1 {
		t.Fatalf("%d jobs unfinished on record", n)
	}
	late := after(all[len(all)-1])
	submitAll(t, w, late) // behind one whose own end is not written yet
	says(t, w, late, wire.StateCancelled)
	until(t, w, 30*second, "a new leader has written all ends", func() bool { return len(w.State.Keys("job/a/")) == 0 })
	restart(t, w, 0)
	for _, s := range append(all, late) {
		says(t, w, s, wire.StateCancelled)
	}
}

func TestCancellationInAnOutageIsFinishedAfterIt(t *testing.T) {
	w := deployment(t, 2)
	w.Run = 300 * second
	a := job(model.Array, 1, nil)
	b := after(a)
	c := after(b)
	submitAll(t, w, a, b, c)
	until(t, w, 20*second, "the first runs", func() bool { return on(w, a) == 1 })
	if _, err := w.Cancel(w.Controllers[1], a.ID); err != nil {
		t.Fatal(err)
	}
	w.State.SetDown(true) // before the leader has heard of it
	w.Pass(6 * second)
	w.State.SetDown(false)
	says(t, w, c, wire.StateCancelled)
	until(t, w, 10*second, "the ends are on record", func() bool { return len(w.State.Keys("job/a/")) == 0 })
}

func TestCancelAgainstDone(t *testing.T) {
	for _, when := range []time.Duration{0, second, 4 * second, 12 * second, 12500 * time.Millisecond, 13 * second, 20 * second} {
		w := deployment(t, 2)
		a := job(model.Array, 1, nil)
		b := after(a)
		diamond := after(a, b)
		submitAll(t, w, a, b, diamond)
		w.Pass(when)
		v, err := w.Cancel(w.Controllers[2], a.ID)
		if err != nil {
			t.Fatal(err)
		}
		if v.State == wire.StateCancelled {
			says(t, w, b, wire.StateCancelled)
			says(t, w, diamond, wire.StateCancelled)
			continue
		}
		until(t, w, 60*second, "those after a done job go on", done(t, w, diamond))
	}
}

func TestCancelFurtherDownLeavesTheRest(t *testing.T) {
	w := deployment(t, 2)
	a := job(model.Array, 1, nil)
	b, side := after(a), after(a)
	c := after(b, side)
	submitAll(t, w, a, b, side, c)
	if _, err := w.Cancel(w.Controllers[1], b.ID); err != nil {
		t.Fatal(err)
	}
	says(t, w, c, wire.StateCancelled)
	until(t, w, 60*second, "what does not need it is done", func() bool { return done(t, w, a)() && done(t, w, side)() })
	if n := w.Starts[model.TaskID{Job: b.ID}] + w.Starts[model.TaskID{Job: c.ID}]; n != 0 {
		t.Errorf("%d starts of what was cancelled while it waited", n)
	}
}

func TestSubmissionsThatAwait(t *testing.T) {
	w := deployment(t, 2)
	ended, cancelled, service := job(model.Array, 1, nil), job(model.Array, 1, nil), job(model.Service, 1, nil)
	submitAll(t, w, ended, cancelled, service)
	if _, err := w.Cancel(w.Controllers[0], cancelled.ID); err != nil {
		t.Fatal(err)
	}
	until(t, w, 60*second, "done", done(t, w, ended))
	restart(t, w, 0) // nobody remembers anything
	self := after()
	self.Dependencies = []string{self.ID}
	for name, s := range map[string]*model.Spec{"one never accepted": after(&model.Spec{ID: "wk-999999"}), "itself": self} {
		if err := w.Submit(w.Controllers[1], s); !errors.Is(err, store.ErrUnknownDependency) {
			t.Errorf("a job that awaits %s: %v", name, err)
		}
	}
	if err := w.Submit(w.Controllers[1], after(service)); !errors.Is(err, store.ErrServiceDependency) {
		t.Errorf("a job that awaits a service: %v", err)
	}
	below := after(ended, cancelled)
	submitAll(t, w, below)
	says(t, w, below, wire.StateCancelled)
	if created, v, err := w.Controllers[2].Jobs.Accept(context.Background(), below, false, w.now); created || err != nil || v.State != wire.StateCancelled {
		t.Errorf("a retry of it: accepted=%v, %v, %v", created, v.State, err)
	}
	free := after(ended)
	submitAll(t, w, free)
	until(t, w, 30*second, "a job that awaits only what is done runs", done(t, w, free))
	w.Controllers[0].NoNet = true
	if err := w.Submit(w.Controllers[0], after(&model.Spec{ID: "wk-999998"})); err == nil || errors.Is(err, store.ErrUnknownDependency) {
		t.Errorf("without the state service nobody can know that a job was never accepted: %v", err)
	}
}

// Guards against a leader that forgets the end that a waiting job hangs on: its
// memory of ended jobs is small, and the job was accepted when the end was written
// already but not known everywhere.
func TestTakeoverWithWaitingJobsWhoseNeedsEndedLongAgo(t *testing.T) {
	w := deployment(t, 2)
	w.Keep = 1
	restart(t, w, 0)
	w.Run = 2 * second
	a, b := job(model.Array, 1, nil), job(model.Array, 1, nil)
	long := job(model.Array, 1, func(s *model.Spec) { s.Team = "blue"; s.Demand.CPU = 100 }) // fits nowhere
	submitAll(t, w, a, b, long)
	c := after(a, b, long)
	submitAll(t, w, c)
	until(t, w, 60*second, "two of three are done", func() bool { return done(t, w, a)() && done(t, w, b)() })
	for range 3 { // others push them out of every memory
		s := job(model.Array, 1, nil)
		submitAll(t, w, s)
		until(t, w, 60*second, "done", done(t, w, s))
	}
	d := after(a)
	d.Dependencies = append(d.Dependencies, long.ID)
	submitAll(t, w, d)
	restart(t, w, 0)
	w.Pass(5 * second)
	says(t, w, c, wire.StateQueued)
	if _, err := w.Cancel(w.Controllers[1], long.ID); err != nil {
		t.Fatal(err)
	}
	says(t, w, c, wire.StateCancelled)
	says(t, w, d, wire.StateCancelled)
	until(t, w, 10*second, "their ends are on record", func() bool { return len(w.State.Keys("job/a/")) == 0 })
}

func TestTakeoverBetweenTheEndAndTheStartBehindIt(t *testing.T) {
	for _, when := range []time.Duration{10 * second, 11 * second, 11500 * time.Millisecond, 12 * second, 12500 * time.Millisecond} {
		w := deployment(t, 2)
		w.Hold = when > 11*second // direct launches hang, and come late
		a := job(model.Array, 2, nil)
		b := after(a)
		submitAll(t, w, a, b)
		w.Pass(when)
		if l := w.Leader(); l != nil {
			l.Crash()
		}
		w.Hold = false
		until(t, w, 60*second, "done", func() bool { return w.Leader() != nil && state(t, w.Leader(), b.ID) == wire.StateDone })
		for _, f := range w.Held {
			f()
		}
		w.Pass(2 * second)
	}
}

// The moment that frees a job lasts: it is on record with the end of what it needs.
func TestTheMomentThatFreesAJobSurvivesATakeover(t *testing.T) {
	w := deployment(t, 2)
	a := job(model.Array, 1, nil)
	b := after(a)
	b.Demand.CPU = 100 // fits nowhere
	submitAll(t, w, a, b)
	until(t, w, 60*second, "freed", done(t, w, a))
	freed := w.Now()
	w.Pass(30 * second)
	restart(t, w, 0)
	w.Pass(5 * second)
	for _, e := range w.Leader().Jobs.ReadEnds(context.Background(), []string{a.ID}) {
		if d := freed.Sub(e.EndedAt); e.Outcome != model.OutcomeDone || d < 0 || d > second {
			t.Errorf("the end on record is %v before the one that was seen", d)
		}
	}
}

func TestManyAwaitedJobsUnderSmallValues(t *testing.T) {
	w := grown(t, 30, 80)
	w.State.MostValue, w.Limits.MaxValueBytes = 2048, 2048
	w.State.MostOps, w.Limits.MaxChanges = 4, 4
	restart(t, w, 0)
	w.Run = second
	last := after()
	last.ID = "wk-8" + strings.Repeat("0", 30)
	for i := range 400 {
		s := after()
		s.ID = fmt.Sprintf("wk-9%030d", i)
		submitAll(t, w, s)
		last.Dependencies = append(last.Dependencies, s.ID)
	}
	submitAll(t, w, last)
	if n := len(w.State.Keys("job/w/")); n < 5 {
		t.Fatalf("a list of 400 long ids in %d parts", n)
	}
	restart(t, w, 0)
	until(t, w, 120*second, "done", done(t, w, last))
	until(t, w, 10*second, "its parts are gone", func() bool { return len(w.State.Keys("job/w/")) == 0 })
	if len(w.Rejected) > 0 {
		t.Errorf("rejected: %v", w.Rejected)
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
func TestHalfWrittenSubmissionIsNoJob(t *testing.T) {
	w := deployment(t, 1)
	s := after()
	key := "job/w/" + s.ID + "/cbf29ce484222325/0"
	w.State.Plant(key, wire.AppendDependencies(nil, []string{"wk-000001"}))
	restart(t, w, 0)
	until(t, w, 10*second, "cleared away", func() bool { return w.State.Value(key) == nil })
	if v, err := w.Controllers[0].Jobs.Lookup(context.Background(), s.ID); err != nil || v.State != wire.StateUnknown {
		t.Errorf("it is %v, %v", v.State, err)
	}
	submitAll(t, w, s)
	until(t, w, 30*second, "accepted in full it runs", done(t, w, s))
}

// Records as the version without pipelines writes them, byte by byte.
const (
	oldActive12   = "82a26174cf0000019b76daabe8a36a6f62de0011a3726566a9776b2d373030303031a86a6f62636c617373a4776f726ba56f776e6572a3726564a57368617065a56172726179a472616e6ba87374616e64617264a4726f77730ca5636f726573cb4010000000000000a56361726473cb0000000000000000a86d656d6f72794762cb4020000000000000a76f6e655a6f6e65c2a773636174746572c2a76c6f616e657273c3a473656564a3696d67a7696d6167654762cb3ff0000000000000a765787065637453cb4024000000000000a56d61726b53cb0000000000000000a673746f726553cb0000000000000000"
	oldActive100k = "82a26174cf0000019b76daabe8a36a6f62de0011a3726566a9776b2d373030303032a86a6f62636c617373a4776f726ba56f776e6572a3726564a57368617065a56172726179a472616e6ba87374616e64617264a4726f7773ce000186a0a5636f726573cb4010000000000000a56361726473cb0000000000000000a86d656d6f72794762cb4020000000000000a76f6e655a6f6e65c2a773636174746572c2a76c6f616e657273c3a473656564a3696d67a7696d6167654762cb3ff0000000000000a765787065637453cb4024000000000000a56d61726b53cb0000000000000000a673746f726553cb0000000000000000"
	oldTasks12    = "81a462697473a466663033" // tasks 0 to 9
	oldDone       = "82a3656e64a4646f6e65a16e0c"
	oldCancelled  = "82a3656e64a977697468647261776ea16e0c"
)

// oldSpec is what the two active records say.
func oldSpec(id string, tasks int) *model.Spec {
	return job(model.Array, tasks, func(s *model.Spec) { s.ID = id })
}

// oldChunk is a numbered chunk as the version without pipelines writes it under a
// limit of 8 KiB, with some tasks not done.
func oldChunk(tasks int, not ...int) string {
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

func TestSmallArrayOfTheOldVersionGoesOnAndBack(t *testing.T) {
	w := deployment(t, 2)
	w.Run = 300 * second
	s := oldSpec("wk-700001", 12)
	w.Specs[s.ID] = s
	plant(t, w, "job/a/wk-700001", oldActive12)
	plant(t, w, "tasks/wk-700001/0", oldTasks12)
	restart(t, w, 16384)
	until(t, w, 30*second, "the two that are left run", func() bool { return on(w, s) == 2 })
	if len(w.Starts) != 2 || w.Starts[model.TaskID{Job: s.ID, Index: 10}] != 1 || w.Starts[model.TaskID{Job: s.ID, Index: 11}] != 1 {
		t.Errorf("started: %v", w.Starts)
	}
	// One more is done: the record is the one that the old version would write.
	finish(w, s, 11)
	want := map[string]any{"bits": "ff0b"}
	until(t, w, 10*second, "it is on record as the old version reads it", func() bool {
		return fmt.Sprint(w.State.Value("tasks/wk-700001/0")) == fmt.Sprint(want)
	})
	if keys := w.State.Keys("part/"); len(keys) != 0 {
		t.Errorf("records that the old version does not know: %v", keys)
	}
	// And a job that the new version accepts is, byte for byte, one of the old.
	b := wire.AppendActiveJob(nil, s, time.Date(2026, 1, 1, 0, 0, 1, 0, time.UTC), s.Dependencies, wire.DependencyParts{})
	if hex.EncodeToString(b) != oldActive12 {
		t.Errorf("the record of a job that awaits nothing differs:\n%x\n%s", b, oldActive12)
	}
}

// Guards against the trap of a layout that goes by a limit: under another one, every
// chunk after the first would stand for other tasks.
func TestLargeArrayOfTheOldVersionThroughTheFallOfTheLimits(t *testing.T) {
	w := deployment(t, 4)
	w.Limits = store.Limits{MaxValueBytes: 2048, MaxChanges: 4}
	s := oldSpec("wk-700002", 100_000)
	w.Specs[s.ID] = s
	plant(t, w, "job/a/wk-700002", oldActive100k)
	left := map[int]bool{7: true, 2047: true, 16384: true, 20000: true, 50000: true, 99999: true}
	for n := 0; n*16384 < s.Tasks; n++ {
		var not []int
		for i := range left {
			if i/16384 == n {
				not = append(not, i%16384)
			}
		}
		plant(t, w, fmt.Sprintf("tasks/wk-700002/%d", n), oldChunk(min(16384, s.Tasks-n*16384), not...))
	}
	old := w.State.Value("tasks/wk-700002/1")
	for i := range s.Tasks {
		if !left[i] {
			w.Done[model.TaskID{Job: s.ID, Index: i}] = true
		}
	}
	w.Run = 300 * second
	restart(t, w, 16384)
	until(t, w, 30*second, "what is left runs", func() bool {
		n := 0
		for i := range left {
			n += len(w.On(model.TaskID{Job: s.ID, Index: i}))
		}
		return n == len(left)
	})
	if len(w.Starts) != len(left) {
		t.Fatalf("%d tasks were started where %d were left", len(w.Starts), len(left))
	}
	// The limits fall in the middle of it.
	w.State.MostValue, w.State.MostOps, w.State.Largest = 2048, 4, 0
	finish(w, s, 20000)
	finish(w, s, 7)
	until(t, w, 10*second, "both layouts hold it", func() bool { return len(w.State.Keys("part/")) == 2 })
	// The operators change the settings to the new limit, and the service restarts.
	restart(t, w, 4096)
	until(t, w, 30*second, "settled", func() bool { return w.Leader() != nil && on100k(w, s, left) == 4 })
	w.Pass(5 * second)
	if len(w.Starts) != len(left) {
		t.Errorf("after the restart %d tasks had been started where %d were left", len(w.Starts), len(left))
	}
	if fmt.Sprint(w.State.Value("tasks/wk-700002/1")) != fmt.Sprint(old) {
		t.Error("a record of the old layout was written again")
	}
	for i := range left {
		finish(w, s, i)
	}
	until(t, w, 30*second, "done", done(t, w, s))
	until(t, w, 30*second, "its records are gone", func() bool { return len(w.State.Keys("part/"))+len(w.State.Keys("tasks/")) == 0 })
	if len(w.Rejected) > 0 || w.State.Largest > 1024 {
		t.Errorf("rejected: %v; the largest value has %d bytes", w.Rejected, w.State.Largest)
	}
}

func on100k(w *World, s *model.Spec, tasks map[int]bool) int {
	n := 0
	for i := range tasks {
		n += len(w.On(model.TaskID{Job: s.ID, Index: i}))
	}
	return n
}

func TestEndsOfTheOldVersionFreeAndDoom(t *testing.T) {
	w := deployment(t, 1)
	a, b := oldSpec("wk-700001", 12), oldSpec("wk-700003", 12)
	w.Specs[a.ID], w.Specs[b.ID] = a, b
	plant(t, w, "job/e/wk-700001", oldDone)
	plant(t, w, "job/e/wk-700003", oldCancelled)
	for i := range 12 {
		w.Done[model.TaskID{Job: a.ID, Index: i}] = true
	}
	restart(t, w, 0)
	free, doomed := after(a), after(a, b)
	submitAll(t, w, free, doomed)
	says(t, w, doomed, wire.StateCancelled)
	until(t, w, 30*second, "done", done(t, w, free))
	// The old version reads the end that the new one has written.
	v, ok := w.State.Value("job/e/" + free.ID).(map[string]any)
	if !ok || v["end"] != "done" || Number(v["n"]) != 1 {
		t.Errorf("the end reads as %v", v)
	}
}

// Guards against an endless loop round one record that the state service will not
// take: the others are saved, and the job ends.
func TestARejectedRecordDoesNotHoldUpTheRest(t *testing.T) {
	w := deployment(t, 2)
	s := job(model.Array, 1900, func(s *model.Spec) { s.Demand.CPU = 1 })
	other := job(model.Array, 3, nil)
	w.Specs[s.ID] = s
	for i := range 1895 {
		w.Done[model.TaskID{Job: s.ID, Index: i}] = true
	}
	w.State.Plant("job/a/"+s.ID, wire.AppendActiveJob(nil, s, w.Now(), nil, wire.DependencyParts{}))
	bits := make([]byte, 238)
	for i := range 1895 {
		bits[i/8] |= 1 << (i % 8)
	}
	w.State.Plant("tasks/"+s.ID+"/0", wire.AppendTasksDone(nil, bits))
	restart(t, w, 0)
	w.Run = 20 * second
	w.State.MostValue = 300 // far below what was promised
	submitAll(t, w, other)
	before := w.State.Txns
	until(t, w, 30*second, "runs", func() bool { return len(w.On(model.TaskID{Job: s.ID, Index: 1897})) == 1 })
	finish(w, s, 1897)
	until(t, w, 60*second, "both are done", func() bool { return done(t, w, s)() && done(t, w, other)() })
	if len(w.Rejected) == 0 || len(w.Rejected) > 12 {
		t.Errorf("rejected: %v", w.Rejected)
	}
	if n := w.State.Txns - before; n > 60 {
		t.Errorf("%d transactions", n)
	}
}
