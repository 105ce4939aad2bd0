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
	w := newDeployment(t, 2) // the invariant too_early is checked on every tick
	root := newJob(model.Array, 4, nil)
	left, right := newDependentJob(root), newDependentJob(root)
	gang := newJob(model.Gang, 2, func(spec *model.Spec) { spec.Dependencies = []string{left.ID, right.ID, root.ID} })
	lastStage := newJob(model.Array, 60, func(spec *model.Spec) {
		spec.Team = "blue"
		spec.Dependencies = []string{gang.ID}
	})
	submitJobs(t, w, root, left, right, gang, lastStage)
	provisioned := w.NamesAssigned()
	waitUntil(t, w, 60*second, "the gang runs", func() bool { return activeTasks(w, gang) == 2 })
	if n := w.NamesAssigned(); n != provisioned {
		t.Errorf("machines provisioned for tasks with unfinished dependencies: got %d, want 0", n-provisioned)
	}
	expectState(t, w, lastStage, wire.StateQueued)
	waitUntil(t, w, 60*second, "the gang is done", jobDone(t, w, gang))
	waitUntil(t, w, 2*second, "the last stage starts without delay", func() bool {
		return w.Launches[model.TaskID{Job: lastStage.ID}] == 1
	})
}

// The first of many jobs is cancelled while no controller leads. All jobs that depend on it count as cancelled at once,
// and the next leader records their ends in transactions of at most four operations.
func TestCancellationCascadesAcrossFailover(t *testing.T) {
	w := newDeployment(t, 2)
	w.State.MaxOps, w.StoreLimits.MaxChanges = 4, 4
	w.RunTime = 300 * second
	restartAllControllers(t, w, 0)
	root := newJob(model.Array, 2, nil)
	jobs := []*model.Spec{root}
	for range 30 { // a chain of jobs, and as many jobs that depend on the first one only
		jobs = append(jobs, newDependentJob(jobs[len(jobs)-1]), newDependentJob(root))
	}
	submitJobs(t, w, jobs...)
	waitUntil(t, w, 20*second, "the first job runs", func() bool { return activeTasks(w, root) == 2 })
	w.Leader().Crash() // no controller leads when the user cancels the first job
	follower := w.Controllers[0]
	if !follower.Up {
		follower = w.Controllers[1]
	}
	if _, err := w.Cancel(follower, root.ID); err != nil {
		t.Fatal(err)
	}
	for _, spec := range jobs {
		expectState(t, w, spec, wire.StateCancelled)
	}
	if n := len(w.State.Keys("job/a/")); n != len(jobs)-1 {
		t.Fatalf("active job records after the cancellation: got %d, want one for each dependent job", n)
	}
	lateDependent := newDependentJob(jobs[len(jobs)-1])
	submitJobs(t, w, lateDependent) // it depends on a job whose end is not recorded yet
	expectState(t, w, lateDependent, wire.StateCancelled)
	waitUntil(t, w, 30*second, "a new leader has recorded the end of every job", func() bool {
		return len(w.State.Keys("job/a/")) == 0
	})
	restartAllControllers(t, w, 0)
	for _, spec := range append(jobs, lateDependent) {
		expectState(t, w, spec, wire.StateCancelled)
	}
}

// The state service fails after the first job is cancelled and before the leader has read that. The jobs that depend
// on it are cancelled when the service is back.
func TestCancellationCascadeCompletesAfterOutage(t *testing.T) {
	w := newDeployment(t, 2)
	w.RunTime = 300 * second
	root := newJob(model.Array, 1, nil)
	child := newDependentJob(root)
	grandchild := newDependentJob(child)
	submitJobs(t, w, root, child, grandchild)
	waitUntil(t, w, 20*second, "the first job runs", func() bool { return activeTasks(w, root) == 1 })
	if _, err := w.Cancel(w.Controllers[1], root.ID); err != nil {
		t.Fatal(err)
	}
	w.State.SetDown(true) // before the leader has read the cancellation
	w.Advance(6 * second)
	w.State.SetDown(false)
	expectState(t, w, grandchild, wire.StateCancelled)
	waitUntil(t, w, 10*second, "the end of every job is recorded", func() bool { return len(w.State.Keys("job/a/")) == 0 })
}

// The first job completes 11 s after its submission, and the user cancels it before or after that. If the
// cancellation comes first, all jobs that depend on it are cancelled; otherwise they run.
func TestCancelRacingCompletionDecidesDependents(t *testing.T) {
	for _, cancelAfter := range []time.Duration{
		0,
		second,
		4 * second,
		12 * second,
		12500 * time.Millisecond,
		13 * second,
		20 * second,
	} {
		w := newDeployment(t, 2)
		root := newJob(model.Array, 1, nil)
		child := newDependentJob(root)
		diamond := newDependentJob(root, child)
		submitJobs(t, w, root, child, diamond)
		w.Advance(cancelAfter)
		record, err := w.Cancel(w.Controllers[2], root.ID)
		if err != nil {
			t.Fatal(err)
		}
		if record.State == wire.StateCancelled {
			expectState(t, w, child, wire.StateCancelled)
			expectState(t, w, diamond, wire.StateCancelled)
			continue
		}
		waitUntil(t, w, 60*second, "the dependents of the completed job are done", jobDone(t, w, diamond))
	}
}

func TestCancelDownstreamLeavesOtherJobs(t *testing.T) {
	w := newDeployment(t, 2)
	root := newJob(model.Array, 1, nil)
	cancelled, sibling := newDependentJob(root), newDependentJob(root)
	downstream := newDependentJob(cancelled, sibling)
	submitJobs(t, w, root, cancelled, sibling, downstream)
	if _, err := w.Cancel(w.Controllers[1], cancelled.ID); err != nil {
		t.Fatal(err)
	}
	expectState(t, w, downstream, wire.StateCancelled)
	waitUntil(t, w, 60*second, "the jobs that do not depend on the cancelled job are done", func() bool {
		return jobDone(t, w, root)() && jobDone(t, w, sibling)()
	})
	if n := w.Launches[model.TaskID{Job: cancelled.ID}] + w.Launches[model.TaskID{Job: downstream.ID}]; n != 0 {
		t.Errorf("task starts of jobs that were cancelled while pending: got %d, want 0", n)
	}
}

func TestSubmissionValidatesDependencies(t *testing.T) {
	w := newDeployment(t, 2)
	done, cancelled, service := newJob(model.Array, 1, nil), newJob(model.Array, 1, nil), newJob(model.Service, 1, nil)
	submitJobs(t, w, done, cancelled, service)
	if _, err := w.Cancel(w.Controllers[0], cancelled.ID); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, w, 60*second, "the job is done", jobDone(t, w, done))
	restartAllControllers(t, w, 0) // clears the memory of all controllers
	self := newDependentJob()
	self.Dependencies = []string{self.ID}
	unknown := newDependentJob(&model.Spec{ID: "wk-999999"})
	for name, spec := range map[string]*model.Spec{"a job that was never accepted": unknown, "itself": self} {
		if err := w.Submit(w.Controllers[1], spec); !errors.Is(err, store.ErrUnknownDependency) {
			t.Errorf("submission of a job that depends on %s: got %v, want ErrUnknownDependency", name, err)
		}
	}
	if err := w.Submit(w.Controllers[1], newDependentJob(service)); !errors.Is(err, store.ErrServiceDependency) {
		t.Errorf("submission of a job that depends on a service: got %v, want ErrServiceDependency", err)
	}
	dependsOnCancelled := newDependentJob(done, cancelled)
	submitJobs(t, w, dependsOnCancelled)
	expectState(t, w, dependsOnCancelled, wire.StateCancelled)
	created, record, err := w.Controllers[2].Jobs.Accept(context.Background(), dependsOnCancelled, false, w.now)
	if created || err != nil || record.State != wire.StateCancelled {
		t.Errorf("retried submission: got created=%v, state %v, error %v, want the existing cancelled job",
			created, record.State, err)
	}
	dependsOnDone := newDependentJob(done)
	submitJobs(t, w, dependsOnDone)
	waitUntil(t, w, 30*second, "a job whose dependencies are all done is done", jobDone(t, w, dependsOnDone))
	w.Controllers[0].StateUnreachable = true
	err = w.Submit(w.Controllers[0], newDependentJob(&model.Spec{ID: "wk-999998"}))
	if err == nil || errors.Is(err, store.ErrUnknownDependency) {
		t.Errorf("unknown dependency, state service unreachable: got %v, want an error other than ErrUnknownDependency",
			err)
	}
}

// Regression test: a new leader did not know the end of a job on which a pending job depended. Controllers keep only
// a few ended jobs in memory, and the pending job was accepted after that end had been recorded but before every
// controller had read it.
func TestFailoverResolvesDependenciesEndedLongAgo(t *testing.T) {
	w := newDeployment(t, 2)
	w.EndedJobsKept = 1
	restartAllControllers(t, w, 0)
	w.RunTime = 2 * second
	done1, done2 := newJob(model.Array, 1, nil), newJob(model.Array, 1, nil)
	unplaceable := newJob(model.Array, 1, func(spec *model.Spec) {
		spec.Team, spec.Demand.CPU = "blue", 100 // fits on no machine
	})
	submitJobs(t, w, done1, done2, unplaceable)
	earlyDependent := newDependentJob(done1, done2, unplaceable)
	submitJobs(t, w, earlyDependent)
	waitUntil(t, w, 60*second, "two of the three jobs are done", func() bool {
		return jobDone(t, w, done1)() && jobDone(t, w, done2)()
	})
	for range 3 { // further ended jobs evict these two from the controllers' memory
		spec := newJob(model.Array, 1, nil)
		submitJobs(t, w, spec)
		waitUntil(t, w, 60*second, "the job is done", jobDone(t, w, spec))
	}
	lateDependent := newDependentJob(done1)
	lateDependent.Dependencies = append(lateDependent.Dependencies, unplaceable.ID)
	submitJobs(t, w, lateDependent)
	restartAllControllers(t, w, 0)
	w.Advance(5 * second)
	expectState(t, w, earlyDependent, wire.StateQueued)
	if _, err := w.Cancel(w.Controllers[1], unplaceable.ID); err != nil {
		t.Fatal(err)
	}
	expectState(t, w, earlyDependent, wire.StateCancelled)
	expectState(t, w, lateDependent, wire.StateCancelled)
	waitUntil(t, w, 10*second, "the end of every job is recorded", func() bool { return len(w.State.Keys("job/a/")) == 0 })
}

// The first job completes 11 s after its submission, which lets the dependent job start. The leader crashes shortly
// before or after that.
func TestFailoverBetweenCompletionAndDependentStart(t *testing.T) {
	for _, crashAfter := range []time.Duration{
		10 * second,
		11 * second,
		11500 * time.Millisecond,
		12 * second,
		12500 * time.Millisecond,
	} {
		w := newDeployment(t, 2)
		w.HoldCommands = crashAfter > 11*second // direct launch commands are held back, and arrive after the failover
		root := newJob(model.Array, 2, nil)
		child := newDependentJob(root)
		submitJobs(t, w, root, child)
		w.Advance(crashAfter)
		if leader := w.Leader(); leader != nil {
			leader.Crash()
		}
		w.HoldCommands = false
		waitUntil(t, w, 60*second, "the dependent job is done", func() bool {
			return w.Leader() != nil && refreshedState(t, w.Leader(), child.ID) == wire.StateDone
		})
		for _, deliver := range w.HeldCommands {
			deliver()
		}
		w.Advance(2 * second)
	}
}

// A dependency's completion time is part of its end record, so a new leader still knows it.
func TestDependencyCompletionTimeSurvivesFailover(t *testing.T) {
	w := newDeployment(t, 2)
	dependency := newJob(model.Array, 1, nil)
	dependent := newDependentJob(dependency)
	dependent.Demand.CPU = 100 // fits on no machine
	submitJobs(t, w, dependency, dependent)
	waitUntil(t, w, 60*second, "the dependency is done", jobDone(t, w, dependency))
	completedAt := w.Now()
	w.Advance(30 * second)
	restartAllControllers(t, w, 0)
	w.Advance(5 * second)
	for _, end := range w.Leader().Jobs.ReadEnds(context.Background(), []string{dependency.ID}) {
		if earlier := completedAt.Sub(end.EndedAt); end.Outcome != model.OutcomeDone || earlier < 0 || earlier > second {
			t.Errorf("recorded end of the dependency: got %v before its observed completion, want 0 s to 1 s", earlier)
		}
	}
}

func TestManyDependenciesAreSplitUnderSmallValueLimit(t *testing.T) {
	w := newScaledDeployment(t, 30, 80)
	w.State.MaxValueBytes, w.StoreLimits.MaxValueBytes = 2048, 2048
	w.State.MaxOps, w.StoreLimits.MaxChanges = 4, 4
	restartAllControllers(t, w, 0)
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
		t.Fatalf("parts of a list of 400 long dependency ids: got %d, want at least 5", n)
	}
	restartAllControllers(t, w, 0)
	waitUntil(t, w, 120*second, "the last job is done", jobDone(t, w, last))
	waitUntil(t, w, 10*second, "the parts of its dependency list are deleted", func() bool {
		return len(w.State.Keys("job/w/")) == 0
	})
	if len(w.RejectedKeys) > 0 {
		t.Errorf("records rejected by the state service: got %v, want none", w.RejectedKeys)
	}
	for i := range 2000 {
		last.Dependencies = append(last.Dependencies, fmt.Sprintf("wk-7%030d", i))
	}
	if err := w.Controllers[0].Jobs.CheckSize(last); !errors.Is(err, store.ErrTooLarge) {
		t.Errorf("size check of a dependency list above the limit: got %v, want ErrTooLarge", err)
	}
}

// A submission that fails after it has written the parts of its dependency list, but before the job's own record,
// leaves no job. A new leader deletes the orphaned parts.
func TestPartialSubmissionIsCleanedUp(t *testing.T) {
	w := newDeployment(t, 1)
	spec := newDependentJob()
	key := "job/w/" + spec.ID + "/cbf29ce484222325/0"
	w.State.Preload(key, wire.AppendDependencyPart(nil, []string{"wk-000001"}))
	restartAllControllers(t, w, 0)
	waitUntil(t, w, 10*second, "the orphaned part is deleted", func() bool { return w.State.Value(key) == nil })
	if record, err := w.Controllers[0].Jobs.Lookup(context.Background(), spec.ID); err != nil ||
		record.State != wire.StateUnknown {
		t.Errorf("state of a partly submitted job: got %v, error %v, want it unknown", record.State, err)
	}
	submitJobs(t, w, spec)
	waitUntil(t, w, 30*second, "the job is done after a complete submission", jobDone(t, w, spec))
}

// Regression test: a leader kept retrying one record that the state service always rejects. The other records must
// still be written, and both jobs must end.
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
	w.State.Preload("tasks/"+spec.ID+"/0", wire.AppendFinishedTasks(nil, bits))
	restartAllControllers(t, w, 0)
	w.RunTime = 20 * second
	w.State.MaxValueBytes = 300 // far below the published limit
	submitJobs(t, w, other)
	transactionsBefore := w.State.Transactions
	waitUntil(t, w, 30*second, "an unfinished task runs", func() bool {
		return len(w.MachinesOf(model.TaskID{Job: spec.ID, Index: 1897})) == 1
	})
	completeTask(w, spec, 1897)
	waitUntil(t, w, 60*second, "both jobs are done", func() bool {
		return jobDone(t, w, spec)() && jobDone(t, w, other)()
	})
	if len(w.RejectedKeys) == 0 || len(w.RejectedKeys) > 12 {
		t.Errorf("records rejected by the state service: got %v, want 1 to 12", w.RejectedKeys)
	}
	if n := w.State.Transactions - transactionsBefore; n > 60 {
		t.Errorf("transactions: got %d, want at most 60", n)
	}
}
