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

// Faults of everyday operation: frozen controllers, a guest team without a guarantee, failing jobs, and machines that
// boot late or never.

// The leader, or all members, are frozen for seconds or a minute. They take what has queued up when they go on; no one
// acts by a leadership that has expired, and what was cancelled meanwhile is stopped in time.
func TestFrozenControllersResumeWithoutViolations(t *testing.T) {
	for _, all := range []bool{false, true} {
		for _, long := range []time.Duration{second, 3 * second, 8 * second, 20 * second, 70 * second} {
			t.Run(fmt.Sprint(long, ", all ", all), func(t *testing.T) {
				w := newVotingMembers(t, 3, 6)
				w.PollOnCommit = true
				stays, gone := newJob(model.Array, 6, nil), newJob(model.Array, 2, nil)
				startJobs(t, w, stays, gone)
				leader := w.Leader()
				more := newJob(model.Gang, 2, nil)
				submitJob(t, w, more)
				w.Advance(100 * time.Millisecond) // its launches may be in flight
				for _, c := range w.Controllers {
					c.Frozen = all || c == leader
				}
				if !all {
					cancelJobs(t, w, nonLeader(w, leader), gone)
				}
				w.Advance(long)
				for _, c := range w.Controllers {
					c.Frozen = false
				}
				if all {
					w.Advance(second)
					cancelJobs(t, w, w.Controllers[1], gone)
				}
				w.MarkFaultsEnded()
				waitUntil(t, w, 60*second, "all runs", func() bool {
					return activeTasks(w, stays) == 6 && activeTasks(w, more) == 2
				})
				w.Advance(w.CancelDeadline)
				if activeTasks(w, gone) > 0 {
					t.Error("tasks of the cancelled job run")
				}
				if long <= 3*second && !all && w.KilledTasks > 0 {
					t.Errorf("%d tasks were killed", w.KilledTasks)
				}
			})
		}
	}
}

// newGuestDeployment is a deployment with a third team, guest, that has neither a guarantee nor a quota.
func newGuestDeployment(t *testing.T) *World {
	t.Helper()
	w := newTestWorldOf(3, 12, 4)
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

// newGuestJob makes a job of the team guest.
func newGuestJob(tasks int, class string, priority model.Priority, deadline time.Duration) *model.Spec {
	return newJob(model.Array, tasks, func(spec *model.Spec) {
		spec.Team, spec.Class, spec.Priority = "guest", class, priority
		spec.Deadline, spec.EstimatedRunTime = deadline, 6*second
		spec.Demand = model.Resources{CPU: 2, MemGB: 1}
	})
}

// A guest team without a guarantee submits a swarm of small jobs with near deadlines, a huge array, and jobs of low
// priority. The other teams' production and what is within their guarantees starts soon, and the guests are not
// starved.
func TestGuestTeamSwarmDoesNotStarveOthers(t *testing.T) {
	w := newGuestDeployment(t)
	atlas := newGuestJob(600, "atlas", model.PriorityLow, 0)
	submitJob(t, w, atlas)
	guests := []*model.Spec{atlas}
	var own []*model.Spec
	submittedAt := map[string]time.Time{}
	submit := func(spec *model.Spec) *model.Spec {
		submitJob(t, w, spec)
		submittedAt[spec.ID] = w.Now()
		return spec
	}
	late, waiting := 0, map[string]bool{}
	for tick := range 1600 {
		if tick%4 == 0 {
			guests = append(guests, submit(newGuestJob(1, "swarm", model.PriorityNormal, 8*second)))
		}
		if tick%100 == 0 {
			guests = append(guests, submit(newGuestJob(4, "idle", model.PriorityLow, 0)))
		}
		if tick%160 == 80 && len(own) < 10 {
			spec := newJob(model.Array, 2, nil)
			if len(own)%3 == 0 {
				spec = newJob(model.Service, 2, func(spec *model.Spec) { spec.Priority = model.PriorityProduction })
			}
			own = append(own, submit(spec))
			waiting[spec.ID] = true
		}
		w.Advance(100 * time.Millisecond)
		for _, spec := range own {
			if waiting[spec.ID] && startCount(w, spec) >= spec.Tasks {
				delete(waiting, spec.ID)
				if w.Now().Sub(submittedAt[spec.ID]) > 10*second {
					late++
				}
			}
		}
	}
	if late > 1 || len(waiting) > 1 {
		t.Errorf("of %d jobs within a guarantee %d started after 10 s, and %d did not", len(own), late, len(waiting))
	}
	w.MarkFaultsEnded()
	w.Advance(95 * second)
	expectHalfStarted(t, w, guests)
	if started := startCount(w, atlas); started < 60 {
		t.Errorf("started tasks of the huge array: got %d, want 60 at least", started)
	}
}

// expectHalfStarted expects half of the jobs of each class to have started.
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
			t.Errorf("started jobs of the class %s: got %d of %d, want half of them", class, started[class], n)
		}
	}
}

// faultyMachineRecorder is a log handler that notes which machines a leader drains as faulty.
type faultyMachineRecorder struct {
	slog.Handler
	names map[string]bool
}

func (d faultyMachineRecorder) Enabled(context.Context, slog.Level) bool { return true }

func (d faultyMachineRecorder) Handle(_ context.Context, r slog.Record) error {
	attrs := map[string]string{}
	r.Attrs(func(a slog.Attr) bool { attrs[a.Key] = a.Value.String(); return true })
	if r.Message == "draining" && attrs["reason"] == "sick" {
		d.names[attrs["machine"]] = true
	}
	return nil
}

// Several jobs fail on every machine until they are cancelled. The number of their attempts is bounded, no healthy
// machine is taken for faulty, and one that is faulty is found while they run.
func TestFailingJobsDoNotHideFaultyMachine(t *testing.T) {
	w := newVotingMembers(t, 3, 8)
	w.RunTime, w.Capacity = 20*second, 12
	drained := map[string]bool{}
	for _, c := range w.Controllers {
		c.log = slog.New(faultyMachineRecorder{slog.NewTextHandler(io.Discard, nil), drained})
		restartController(c)
	}
	waitForLeader(t, w, 20*second)
	var bad, good []*model.Spec
	for range 5 {
		spec := newJob(model.Array, 4, func(spec *model.Spec) { spec.Demand.CPU = 1 })
		w.FailingJobs[spec.ID] = true
		submitJob(t, w, spec)
		bad = append(bad, spec)
	}
	var faulty *Worker
	for i := range 12 {
		spec := newJob(model.Array, 4, func(spec *model.Spec) { spec.Demand.CPU = 2 })
		submitJob(t, w, spec)
		good = append(good, spec)
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
	failed := 0
	for _, spec := range bad {
		failed += startCount(w, spec)
	}
	// Five jobs of four tasks for 72 s, with a backoff that doubles after each round.
	if failed > 5*4*8 {
		t.Errorf("%d attempts at jobs that always fail", failed)
	}
	if w.Workers[faulty.Name] == faulty && faulty.Faulty {
		waitUntil(t, w, 60*second, "the faulty machine is released", func() bool { return w.Workers[faulty.Name] != faulty })
	}
	if delete(drained, faulty.Name); len(drained) > 0 {
		t.Errorf("healthy machines that were taken for faulty: got %v, want none", drained)
	}
	cancelJobs(t, w, w.Leader(), bad...)
	w.MarkFaultsEnded()
	for _, spec := range good {
		waitUntil(t, w, 120*second, "done", jobDone(t, w, spec))
	}
}

// Machines boot late, and some never. A gang waits for them no longer than it has to: what does not come up is released
// and provisioned again.
func TestGangStartsWhenMachinesBootLateOrNever(t *testing.T) {
	for seed := range 4 {
		random := rand.New(rand.NewPCG(uint64(seed), 1))
		w := newVotingMembers(t, 3, 0)
		never := 0
		w.DrawBootTime = func() time.Duration {
			switch random.IntN(4) {
			case 0:
				never++
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
		if n := len(w.booting); n > 0 || never == 0 && seed > 0 {
			t.Errorf("%d machines that never come up are still paid for; %d never came", n, never)
		}
		if n := w.ProvisionedTotal(); n > 40 {
			t.Errorf("provisioned machines for a gang of six: got %d, want 40 at most", n)
		}
	}
}

func TestAlwaysFailingJobIsRetriedWithBackoff(t *testing.T) {
	w := newDeployment(t, 3)
	w.FetchTime = 200 * time.Millisecond
	bad := newJob(model.Array, 3, nil)
	w.FailingJobs[bad.ID] = true
	good := newJob(model.Array, 6, nil)
	submitJob(t, w, bad)
	submitJob(t, w, good)
	waitUntil(t, w, 90*second, "the good job is done", jobDone(t, w, good))
	w.Advance(30 * second)
	if leader := w.Leader(); leader != nil {
		if st := refreshedState(t, leader, bad.ID); st != wire.StateQueued {
			t.Errorf("the job that fails is %v: it stays accepted until its user cancels it", st)
		}
	}
	starts := 0
	for i := range bad.Tasks {
		starts += w.Starts[model.TaskID{Job: bad.ID, Index: i}]
	}
	if starts < 4 || starts > 40 {
		t.Errorf("a job that always fails was started %d times in two minutes", starts)
	}
	if _, err := w.Cancel(w.Controllers[0], bad.ID); err != nil {
		t.Fatal(err)
	}
	w.Advance(5 * second)
}
