package fake

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

func TestDependentJobsStartInOrderWithoutDelay(t *testing.T) {
	w := newDeployment(t, 2) // the invariant too_early is checked all along
	a := newJob(model.Array, 4, nil)
	b1, b2 := newDependentJob(a), newDependentJob(a)
	gang := newJob(model.Gang, 2, func(spec *model.Spec) { spec.Dependencies = []string{b1.ID, b2.ID, a.ID} })
	huge := newJob(model.Array, 60, func(spec *model.Spec) { spec.Team = "blue"; spec.Dependencies = []string{gang.ID} })
	submitJobs(t, w, a, b1, b2, gang, huge)
	provisioned := w.ProvisionedTotal()
	waitUntil(t, w, 60*second, "the gang runs", func() bool { return activeTasks(w, gang) == 2 })
	if n := w.ProvisionedTotal(); n != provisioned {
		t.Errorf("machines provisioned for tasks that may not start: got %d, want 0", n-provisioned)
	}
	expectState(t, w, huge, wire.StateQueued)
	waitUntil(t, w, 60*second, "the gang is done", jobDone(t, w, gang))
	waitUntil(t, w, 2*second, "the last stage starts at once", func() bool {
		return w.Starts[model.TaskID{Job: huge.ID}] == 1
	})
}

func TestCancellationCascadesAcrossFailover(t *testing.T) {
	w := newDeployment(t, 2)
	w.State.MaxOps, w.Limits.MaxChanges = 4, 4
	w.RunTime = 300 * second
	restartAll(t, w, 0)
	a := newJob(model.Array, 2, nil)
	all := []*model.Spec{a}
	for range 30 { // a chain with a fan at each link
		all = append(all, newDependentJob(all[len(all)-1]), newDependentJob(a))
	}
	submitJobs(t, w, all...)
	waitUntil(t, w, 20*second, "the first runs", func() bool { return activeTasks(w, a) == 2 })
	w.Leader().Crash() // there is no leader while the user cancels
	other := w.Controllers[0]
	if !other.Up {
		other = w.Controllers[1]
	}
	if _, err := w.Cancel(other, a.ID); err != nil {
		t.Fatal(err)
	}
	for _, spec := range all {
		expectState(t, w, spec, wire.StateCancelled)
	}
	if n := len(w.State.Keys("job/a/")); n != len(all)-1 {
		t.Fatalf("%d jobs unfinished on record", n)
	}
	late := newDependentJob(all[len(all)-1])
	submitJobs(t, w, late) // it depends on a job whose own end is not on record yet
	expectState(t, w, late, wire.StateCancelled)
	waitUntil(t, w, 30*second, "a new leader has written all ends", func() bool {
		return len(w.State.Keys("job/a/")) == 0
	})
	restartAll(t, w, 0)
	for _, spec := range append(all, late) {
		expectState(t, w, spec, wire.StateCancelled)
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
	w.State.SetDown(true) // before the leader has read it
	w.Advance(6 * second)
	w.State.SetDown(false)
	expectState(t, w, c, wire.StateCancelled)
	waitUntil(t, w, 10*second, "the ends are on record", func() bool { return len(w.State.Keys("job/a/")) == 0 })
}

func TestCancelRacingCompletionDecidesDependents(t *testing.T) {
	for _, when := range []time.Duration{
		0,
		second,
		4 * second,
		12 * second,
		12500 * time.Millisecond,
		13 * second,
		20 * second,
	} {
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
	waitUntil(t, w, 60*second, "what does not need it is done", func() bool {
		return jobDone(t, w, a)() && jobDone(t, w, side)()
	})
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
	restartAll(t, w, 0) // no controller remembers anything
	self := newDependentJob()
	self.Dependencies = []string{self.ID}
	unknown := newDependentJob(&model.Spec{ID: "wk-999999"})
	for name, spec := range map[string]*model.Spec{"one never accepted": unknown, "itself": self} {
		if err := w.Submit(w.Controllers[1], spec); !errors.Is(err, store.ErrUnknownDependency) {
			t.Errorf("a job that awaits %s: %v", name, err)
		}
	}
	if err := w.Submit(w.Controllers[1], newDependentJob(service)); !errors.Is(err, store.ErrServiceDependency) {
		t.Errorf("a job that awaits a service: %v", err)
	}
	below := newDependentJob(ended, cancelled)
	submitJobs(t, w, below)
	expectState(t, w, below, wire.StateCancelled)
	created, v, err := w.Controllers[2].Jobs.Accept(context.Background(), below, false, w.now)
	if created || err != nil || v.State != wire.StateCancelled {
		t.Errorf("a retry of it: accepted=%v, %v, %v", created, v.State, err)
	}
	free := newDependentJob(ended)
	submitJobs(t, w, free)
	waitUntil(t, w, 30*second, "a job that awaits only what is done runs", jobDone(t, w, free))
	w.Controllers[0].StateUnreachable = true
	err = w.Submit(w.Controllers[0], newDependentJob(&model.Spec{ID: "wk-999998"}))
	if err == nil || errors.Is(err, store.ErrUnknownDependency) {
		t.Errorf("an unknown dependency without the state service: got %v, want another error", err)
	}
}

// A regression test: a leader forgot the end that a waiting job depended on. It remembers few ended jobs, and the job
// was accepted when the end was on record already but not known everywhere.
func TestFailoverResolvesDependenciesEndedLongAgo(t *testing.T) {
	w := newDeployment(t, 2)
	w.EndedJobsKept = 1
	restartAll(t, w, 0)
	w.RunTime = 2 * second
	a, b := newJob(model.Array, 1, nil), newJob(model.Array, 1, nil)
	long := newJob(model.Array, 1, func(spec *model.Spec) {
		spec.Team, spec.Demand.CPU = "blue", 100 // it fits no machine
	})
	submitJobs(t, w, a, b, long)
	c := newDependentJob(a, b, long)
	submitJobs(t, w, c)
	waitUntil(t, w, 60*second, "two of three are done", func() bool { return jobDone(t, w, a)() && jobDone(t, w, b)() })
	for range 3 { // others push them out of the controllers' memory
		spec := newJob(model.Array, 1, nil)
		submitJobs(t, w, spec)
		waitUntil(t, w, 60*second, "done", jobDone(t, w, spec))
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
	for _, when := range []time.Duration{
		10 * second,
		11 * second,
		11500 * time.Millisecond,
		12 * second,
		12500 * time.Millisecond,
	} {
		w := newDeployment(t, 2)
		w.HoldCommands = when > 11*second // direct launches are held, and arrive late
		a := newJob(model.Array, 2, nil)
		b := newDependentJob(a)
		submitJobs(t, w, a, b)
		w.Advance(when)
		if leader := w.Leader(); leader != nil {
			leader.Crash()
		}
		w.HoldCommands = false
		waitUntil(t, w, 60*second, "done", func() bool {
			return w.Leader() != nil && refreshedState(t, w.Leader(), b.ID) == wire.StateDone
		})
		for _, f := range w.HeldCommands {
			f()
		}
		w.Advance(2 * second)
	}
}

// The time at which a dependency completed is on record with its end.
func TestDependencyCompletionTimeSurvivesFailover(t *testing.T) {
	w := newDeployment(t, 2)
	a := newJob(model.Array, 1, nil)
	b := newDependentJob(a)
	b.Demand.CPU = 100 // it fits no machine
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
		spec := newDependentJob()
		spec.ID = fmt.Sprintf("wk-9%030d", i)
		submitJobs(t, w, spec)
		last.Dependencies = append(last.Dependencies, spec.ID)
	}
	submitJobs(t, w, last)
	if n := len(w.State.Keys("job/w/")); n < 5 {
		t.Fatalf("a list of 400 long ids in %d parts", n)
	}
	restartAll(t, w, 0)
	waitUntil(t, w, 120*second, "done", jobDone(t, w, last))
	waitUntil(t, w, 10*second, "the parts of its list are gone", func() bool { return len(w.State.Keys("job/w/")) == 0 })
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

// A submission that fails between the parts of its list and its own record leaves parts behind, which a new leader
// removes, and no job.
func TestPartialSubmissionIsCleanedUp(t *testing.T) {
	w := newDeployment(t, 1)
	spec := newDependentJob()
	key := "job/w/" + spec.ID + "/cbf29ce484222325/0"
	w.State.Preload(key, wire.AppendDependencies(nil, []string{"wk-000001"}))
	restartAll(t, w, 0)
	waitUntil(t, w, 10*second, "cleared away", func() bool { return w.State.Value(key) == nil })
	if v, err := w.Controllers[0].Jobs.Lookup(context.Background(), spec.ID); err != nil || v.State != wire.StateUnknown {
		t.Errorf("it is %v, %v", v.State, err)
	}
	submitJobs(t, w, spec)
	waitUntil(t, w, 30*second, "accepted in full it runs", jobDone(t, w, spec))
}

// A regression test: a leader retried one record that the state service rejects for ever. The other records are
// written, and the job ends.
func TestRejectedRecordDoesNotBlockOthers(t *testing.T) {
	w := newDeployment(t, 2)
	spec := newJob(model.Array, 1900, func(spec *model.Spec) { spec.Demand.CPU = 1 })
	other := newJob(model.Array, 3, nil)
	w.Specs[spec.ID] = spec
	for i := range 1895 {
		w.Completed[model.TaskID{Job: spec.ID, Index: i}] = true
	}
	w.State.Preload("job/a/"+spec.ID, wire.AppendActiveJob(nil, spec, w.Now(), nil, wire.DependencyParts{}))
	bits := make([]byte, 238)
	for i := range 1895 {
		bits[i/8] |= 1 << (i % 8)
	}
	w.State.Preload("tasks/"+spec.ID+"/0", wire.AppendTasksDone(nil, bits))
	restartAll(t, w, 0)
	w.RunTime = 20 * second
	w.State.MaxValueBytes = 300 // far below the published limit
	submitJobs(t, w, other)
	before := w.State.Transactions
	waitUntil(t, w, 30*second, "runs", func() bool {
		return len(w.MachinesOf(model.TaskID{Job: spec.ID, Index: 1897})) == 1
	})
	completeTask(w, spec, 1897)
	waitUntil(t, w, 60*second, "both are done", func() bool { return jobDone(t, w, spec)() && jobDone(t, w, other)() })
	if len(w.RejectedKeys) == 0 || len(w.RejectedKeys) > 12 {
		t.Errorf("rejected: %v", w.RejectedKeys)
	}
	if n := w.State.Transactions - before; n > 60 {
		t.Errorf("%d transactions", n)
	}
}
