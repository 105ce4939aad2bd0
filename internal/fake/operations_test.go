package fake

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

// The tests in this file simulate problems of everyday operation: frozen controllers, a guest team without a guarantee,
// failing jobs, and machines that boot late or never.

// The leader or all controllers are frozen for between 1 s and 70 s. When they resume, they process the messages that
// have queued up. None of them may act on an expired leadership, and tasks of a job that was cancelled meanwhile must
// be stopped before the cancellation deadline.
func TestFrozenControllersResumeWithoutViolations(t *testing.T) {
	for _, freezeAll := range []bool{false, true} {
		for _, frozenFor := range []time.Duration{second, 3 * second, 8 * second, 20 * second, 70 * second} {
			t.Run(fmt.Sprint(frozenFor, ", all ", freezeAll), func(t *testing.T) {
				w := newVotingTestWorld(t, 3, 6)
				w.PollOnCommit = true
				kept, cancelled := newJob(model.Array, 6, nil), newJob(model.Array, 2, nil)
				startJobs(t, w, kept, cancelled)
				leader := w.Leader()
				gang := newJob(model.Gang, 2, nil)
				submitJob(t, w, gang)
				w.Advance(100 * time.Millisecond) // launch commands for the gang may be in flight
				for _, c := range w.Controllers {
					c.Frozen = freezeAll || c == leader
				}
				if !freezeAll {
					cancelJobs(t, w, nonLeader(w, leader), cancelled)
				}
				w.Advance(frozenFor)
				for _, c := range w.Controllers {
					c.Frozen = false
				}
				if freezeAll {
					w.Advance(second)
					cancelJobs(t, w, w.Controllers[1], cancelled)
				}
				w.MarkFaultsEnded()
				waitUntil(t, w, 60*second, "all tasks of both jobs run", func() bool {
					return activeTasks(w, kept) == 6 && activeTasks(w, gang) == 2
				})
				w.Advance(w.CancelDeadline)
				if activeTasks(w, cancelled) > 0 {
					t.Error("tasks of the cancelled job run after the cancellation deadline")
				}
				if frozenFor <= 3*second && !freezeAll && w.KilledTasks > 0 {
					t.Errorf("tasks killed by lease expiry during a short freeze of the leader: got %d, want 0", w.KilledTasks)
				}
			})
		}
	}
}

// newGuestDeployment returns a deployment with a leader and a third team, guest, which has neither a guarantee nor a
// quota.
func newGuestDeployment(t *testing.T) *World {
	t.Helper()
	w := newTestWorldWithMembers(3, 12, 4)
	expectNoViolations(t, w)
	for _, c := range w.Controllers {
		c.Crash()
		c.settings.Teams = append(append([]model.Team{}, c.settings.Teams...), model.Team{Name: "guest"})
		c.settings.Scheduler.StarvationBound = 240 * second
		c.Start()
	}
	w.Teams["guest"] = model.Team{Name: "guest"}
	waitForLeader(t, w, 20*second)
	w.Capacity, w.RunTime = 16, 6*second
	return w
}

// newGuestJob returns an array job of team guest with small tasks that are estimated to run for 6 s.
func newGuestJob(tasks int, class string, priority model.Priority, deadline time.Duration) *model.Spec {
	return newJob(model.Array, tasks, func(spec *model.Spec) {
		spec.Team, spec.Class, spec.Priority = "guest", class, priority
		spec.Deadline, spec.EstimatedRunTime = deadline, 6*second
		spec.Demand = model.Resources{CPU: 2, MemGB: 1}
	})
}

// A guest team without a guarantee submits many small jobs with near deadlines, a huge array and low-priority jobs.
// The production jobs of the other teams and their jobs within a guarantee must start soon, and the guest team must
// not starve.
func TestGuestTeamSwarmDoesNotStarveOthers(t *testing.T) {
	w := newGuestDeployment(t)
	hugeArray := newGuestJob(600, "huge", model.PriorityLow, 0)
	submitJob(t, w, hugeArray)
	guestJobs := []*model.Spec{hugeArray}
	var guaranteedJobs []*model.Spec
	submittedAt := map[string]time.Time{}
	submit := func(spec *model.Spec) *model.Spec {
		submitJob(t, w, spec)
		submittedAt[spec.ID] = w.Now()
		return spec
	}
	lateStarts, waiting := 0, map[string]bool{}
	for tick := range 1600 {
		if tick%4 == 0 {
			guestJobs = append(guestJobs, submit(newGuestJob(1, "urgent", model.PriorityNormal, 8*second)))
		}
		if tick%100 == 0 {
			guestJobs = append(guestJobs, submit(newGuestJob(4, "low", model.PriorityLow, 0)))
		}
		if tick%160 == 80 && len(guaranteedJobs) < 10 {
			spec := newJob(model.Array, 2, nil)
			if len(guaranteedJobs)%3 == 0 {
				spec = newJob(model.Service, 2, func(spec *model.Spec) { spec.Priority = model.PriorityProduction })
			}
			guaranteedJobs = append(guaranteedJobs, submit(spec))
			waiting[spec.ID] = true
		}
		w.Advance(100 * time.Millisecond)
		for _, spec := range guaranteedJobs {
			if waiting[spec.ID] && startCount(w, spec) >= spec.Tasks {
				delete(waiting, spec.ID)
				if w.Now().Sub(submittedAt[spec.ID]) > 10*second {
					lateStarts++
				}
			}
		}
	}
	if lateStarts > 1 || len(waiting) > 1 {
		t.Errorf("of %d guaranteed jobs, %d started later than 10 s and %d did not start, want at most 1 of each",
			len(guaranteedJobs), lateStarts, len(waiting))
	}
	w.MarkFaultsEnded()
	w.Advance(95 * second) // longer than maxWaitWithRoom, so that jobs that wait despite free room are found
	expectHalfStarted(t, w, guestJobs)
	if started := startCount(w, hugeArray); started < 60 {
		t.Errorf("started tasks of the huge array: got %d, want at least 60", started)
	}
}

// expectHalfStarted fails the test for each class of which less than half of the jobs have started.
func expectHalfStarted(t *testing.T, w *World, specs []*model.Spec) {
	t.Helper()
	started, count := map[string]int{}, map[string]int{}
	for _, spec := range specs {
		count[spec.Class]++
		if startCount(w, spec) > 0 {
			started[spec.Class]++
		}
	}
	for class, n := range count {
		if 2*started[class] < n {
			t.Errorf("started jobs of class %s: got %d of %d, want at least half", class, started[class], n)
		}
	}
}

// drainRecorder is a log handler that records the names of the machines that a leader drains as faulty.
type drainRecorder struct {
	slog.Handler
	names map[string]bool // by machine name
}

func (h drainRecorder) Enabled(context.Context, slog.Level) bool { return true }

func (h drainRecorder) Handle(_ context.Context, record slog.Record) error {
	attrs := map[string]string{}
	record.Attrs(func(a slog.Attr) bool { attrs[a.Key] = a.Value.String(); return true })
	if record.Message == "draining machine" && attrs["reason"] == "sick" {
		h.names[attrs["machine"]] = true
	}
	return nil
}

// recordDrains restarts all controllers with a drainRecorder as their log, and waits until one of them leads. The
// names of the machines that are drained as faulty from then on are added to the returned set.
func recordDrains(t *testing.T, w *World) map[string]bool {
	t.Helper()
	drained := map[string]bool{}
	for _, c := range w.Controllers {
		c.log = slog.New(drainRecorder{slog.NewTextHandler(io.Discard, nil), drained})
		restartController(c)
	}
	waitForLeader(t, w, 20*second)
	return drained
}

// expectDrainRecorded fails the test if the drain of a faulty machine is not recorded. A drainRecorder that does not
// recognize the log record, for example because its message has changed, would report no machine at all.
func expectDrainRecorded(t *testing.T) {
	t.Helper()
	w := newDeployment(t, 2)
	w.FetchTime = 200 * time.Millisecond
	drained := recordDrains(t, w)
	faulty := w.Workers["n-000001"]
	faulty.Faulty = true
	for range 3 {
		submitJob(t, w, newJob(model.Array, 3, nil))
	}
	waitUntil(t, w, 60*second, "the drain of the faulty machine is recorded", func() bool { return drained[faulty.Name] })
}

// Several jobs fail on every machine until they are cancelled. The number of their attempts must be bounded, no
// healthy machine may be drained as faulty because of them, and a faulty machine must still be released: as faulty if
// its failures can be attributed to it, or else as idle.
func TestFailingJobsDoNotHideFaultyMachine(t *testing.T) {
	expectDrainRecorded(t)
	w := newVotingTestWorld(t, 3, 8)
	w.RunTime, w.Capacity = 20*second, 12
	drained := recordDrains(t, w)
	var failingJobs, healthyJobs []*model.Spec
	for range 5 {
		spec := newJob(model.Array, 4, func(spec *model.Spec) { spec.Demand.CPU = 1 })
		w.FailingJobs[spec.ID] = true
		submitJob(t, w, spec)
		failingJobs = append(failingJobs, spec)
	}
	var faulty *Worker
	for i := range 12 {
		spec := newJob(model.Array, 4, func(spec *model.Spec) { spec.Demand.CPU = 2 })
		submitJob(t, w, spec)
		healthyJobs = append(healthyJobs, spec)
		if i == 3 {
			for _, worker := range w.Workers {
				if faulty == nil && worker.CountTasks("wk") > 0 {
					faulty = worker
					faulty.Faulty = true
				}
			}
		}
		w.Advance(6 * second)
	}
	attempts := 0
	for _, spec := range failingJobs {
		attempts += startCount(w, spec)
	}
	// Five jobs of four tasks are retried for 72 s, with a backoff that doubles after each round of attempts.
	if attempts > 5*4*8 {
		t.Errorf("attempts at jobs that always fail: got %d, want at most 160", attempts)
	}
	if w.Workers[faulty.Name] == faulty && faulty.Faulty {
		waitUntil(t, w, 60*second, "the faulty machine is released", func() bool { return w.Workers[faulty.Name] != faulty })
	}
	if delete(drained, faulty.Name); len(drained) > 0 {
		t.Errorf("healthy machines drained as faulty: got %v, want none", drained)
	}
	cancelJobs(t, w, w.Leader(), failingJobs...)
	w.MarkFaultsEnded()
	for _, spec := range healthyJobs {
		waitUntil(t, w, 120*second, "the job is done", jobDone(t, w, spec))
	}
}

// Some machines boot late, and some never. A gang must not wait for them indefinitely: machines that do not come up
// are released, and others are provisioned in their place.
func TestGangStartsWhenMachinesBootLateOrNever(t *testing.T) {
	for seed := range 4 {
		random := rand.New(rand.NewPCG(uint64(seed), 1))
		w := newVotingTestWorld(t, 3, 0)
		neverBooting := 0
		w.DrawBootTime = func() time.Duration {
			switch random.IntN(4) {
			case 0:
				neverBooting++
				return time.Hour
			case 1:
				return 4 * w.BootTime
			}
			return w.BootTime
		}
		gang := newJob(model.Gang, 6, func(spec *model.Spec) { spec.Demand = model.Resources{CPU: 8, MemGB: 30} })
		submitJob(t, w, gang)
		waitUntil(t, w, 200*second, "the gang runs", func() bool { return activeTasks(w, gang) == 6 })
		w.MarkFaultsEnded()
		w.Advance(120 * second)
		if n := len(w.booting); n > 0 || neverBooting == 0 && seed > 0 {
			t.Errorf("booting machines after the gang runs: got %d, want none; machines that never boot: got %d, want some",
				n, neverBooting)
		}
		if n := w.NamesAssigned(); n > 40 {
			t.Errorf("provisioned machines for a gang of six: got %d, want at most 40", n)
		}
	}
}

func TestAlwaysFailingJobIsRetriedWithBackoff(t *testing.T) {
	w := newDeployment(t, 3)
	w.FetchTime = 200 * time.Millisecond
	failing := newJob(model.Array, 3, nil)
	w.FailingJobs[failing.ID] = true
	healthy := newJob(model.Array, 6, nil)
	submitJob(t, w, failing)
	submitJob(t, w, healthy)
	waitUntil(t, w, 90*second, "the healthy job is done", jobDone(t, w, healthy))
	w.Advance(30 * second)
	if leader := w.Leader(); leader != nil {
		if state := refreshedState(t, leader, failing.ID); state != wire.StateQueued {
			t.Errorf("state of the failing job: got %v, want it queued until its user cancels it", state)
		}
	}
	starts := 0
	for i := range failing.Tasks {
		starts += w.Launches[model.TaskID{Job: failing.ID, Index: i}]
	}
	if starts < 4 || starts > 40 {
		t.Errorf("starts of a job that always fails, in two minutes: got %d, want 4 to 40", starts)
	}
	if _, err := w.Cancel(w.Controllers[0], failing.ID); err != nil {
		t.Fatal(err)
	}
	w.Advance(5 * second)
}
