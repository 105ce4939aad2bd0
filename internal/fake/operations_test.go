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
)

// Troubles that were on no list: a controller that stands still while its clocks run on, a guest team without a
// guarantee, jobs that were submitted with a mistake, and machines that come late or never.

// The leader, or all members, stand still for seconds or a minute. What has piled up is taken when they go
// on; nobody acts by a right that has passed, and what was cancelled meanwhile is gone in time.
func TestFrozenControllersResumeWithoutViolations(t *testing.T) {
	for _, all := range []bool{false, true} {
		for _, long := range []time.Duration{second, 3 * second, 8 * second, 20 * second, 70 * second} {
			t.Run(fmt.Sprint(long, ", all ", all), func(t *testing.T) {
				w := newVotingMembers(t, 3, 6)
				w.PollOnCommit = true
				stays, gone := newJob(model.Array, 6, nil), newJob(model.Array, 2, nil)
				startJobs(t, w, stays, gone)
				l := w.Leader()
				more := newJob(model.Gang, 2, nil)
				submitJob(t, w, more)
				w.Advance(100 * time.Millisecond) // its launches may be on their way
				for _, c := range w.Controllers {
					c.Frozen = all || c == l
				}
				if !all {
					cancelJobs(t, w, nonLeader(w, l), gone)
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
				waitUntil(t, w, 60*second, "all runs", func() bool { return activeTasks(w, stays) == 6 && activeTasks(w, more) == 2 })
				w.Advance(w.CancelDeadline)
				if activeTasks(w, gone) > 0 {
					t.Error("what was cancelled runs")
				}
				if long <= 3*second && !all && w.KilledTasks > 0 {
					t.Errorf("%d tasks were killed", w.KilledTasks)
				}
			})
		}
	}
}

// A guest team without a guarantee sends a swarm of tiny tight jobs, a huge array, and work for idle
// machines. The other teams' production and what is within their guarantees starts soon, and nothing of the
// guests is starved.
func TestGuestTeamSwarmDoesNotStarveOthers(t *testing.T) {
	w := newTestWorldOf(3, 12, 4)
	t.Cleanup(func() {
		for _, b := range w.Violations {
			t.Errorf("broken: %s", b)
		}
	})
	for _, c := range w.Controllers {
		c.Crash()
		c.settings.Teams = append(append([]model.Team{}, c.settings.Teams...), model.Team{Name: "guest"})
		c.settings.Scheduler.StarvationBound = 240 * second
		c.Start()
	}
	w.Teams["guest"] = model.Team{Name: "guest"}
	waitUntil(t, w, 20*second, "somebody leads", func() bool { return w.Leader() != nil })
	w.Capacity, w.RunTime = 16, 6*second
	guest := func(class string, rank model.Priority, due time.Duration) func(s *model.Spec) {
		return func(s *model.Spec) {
			s.Team, s.Class, s.Priority, s.Deadline, s.EstimatedRunTime = "guest", class, rank, due, 6*second
			s.Demand = model.Resources{CPU: 2, MemGB: 1}
		}
	}
	atlas := newJob(model.Array, 600, guest("atlas", model.PriorityLow, 0))
	submitJob(t, w, atlas)
	begun := map[string]int{}
	count := map[string]int{}
	var own, swarm, idle []*model.Spec
	at := map[string]time.Time{}
	submitted := func(s *model.Spec) *model.Spec {
		submitJob(t, w, s)
		at[s.ID] = w.Now()
		return s
	}
	late := 0
	waitsFor := map[string]bool{}
	for tick := range 1600 {
		if tick%4 == 0 {
			swarm = append(swarm, submitted(newJob(model.Array, 1, guest("swarm", model.PriorityNormal, 8*second))))
		}
		if tick%100 == 0 {
			idle = append(idle, submitted(newJob(model.Array, 4, guest("idle", model.PriorityLow, 0))))
		}
		if tick%160 == 80 && len(own) < 10 {
			s := newJob(model.Array, 2, nil)
			if len(own)%3 == 0 {
				s = newJob(model.Service, 2, func(s *model.Spec) { s.Priority = model.PriorityProduction })
			}
			own = append(own, submitted(s))
			waitsFor[s.ID] = true
		}
		w.Advance(100 * time.Millisecond)
		for _, s := range own {
			if waitsFor[s.ID] && startCount(w, s) >= s.Tasks {
				delete(waitsFor, s.ID)
				if w.Now().Sub(at[s.ID]) > 10*second {
					late++
				}
			}
		}
	}
	if late > 1 || len(waitsFor) > 1 {
		t.Errorf("of %d jobs within a guarantee %d started after 10 s, and %d did not", len(own), late, len(waitsFor))
	}
	w.MarkFaultsEnded()
	w.Advance(95 * second)
	for _, s := range append(append(swarm, idle...), atlas) {
		if count[s.Class]++; startCount(w, s) > 0 {
			begun[s.Class]++
		}
	}
	for class, n := range count {
		if 2*begun[class] < n {
			t.Errorf("%s: %d of %d have begun", class, begun[class], n)
		}
	}
	if startCount(w, atlas) < 60 {
		t.Errorf("%d of the huge array's tasks have started", startCount(w, atlas))
	}
}

// faultyMachineRecorder notes which machines a leader takes for sick.
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

// Several jobs were submitted with a mistake and fail on every machine until they are cancelled. Attempts
// and machines that are spent on them are bounded, no healthy machine is blamed, and one that is sick is
// found while they run.
func TestFailingJobsDoNotHideFaultyMachine(t *testing.T) {
	w := newVotingMembers(t, 3, 8)
	w.RunTime, w.Capacity = 20*second, 12
	blamed := map[string]bool{}
	for _, c := range w.Controllers {
		c.log = slog.New(faultyMachineRecorder{slog.NewTextHandler(io.Discard, nil), blamed})
		restartController(c)
	}
	waitUntil(t, w, 20*second, "somebody leads", func() bool { return w.Leader() != nil })
	var bad, good []*model.Spec
	for range 5 {
		s := newJob(model.Array, 4, func(s *model.Spec) { s.Demand.CPU = 1 })
		w.FailingJobs[s.ID] = true
		submitJob(t, w, s)
		bad = append(bad, s)
	}
	var sick *Worker
	for i := range 12 {
		s := newJob(model.Array, 4, func(s *model.Spec) { s.Demand.CPU = 2 })
		submitJob(t, w, s)
		good = append(good, s)
		if i == 3 {
			for _, k := range w.Workers {
				if sick == nil && k.CountTasks("wk") > 0 {
					sick = k
					sick.Faulty = true
				}
			}
		}
		w.Advance(6 * second)
	}
	failed := 0
	for _, s := range bad {
		failed += startCount(w, s)
	}
	// Five jobs of four tasks for 72 s: doubling pauses between rounds.
	if failed > 5*4*8 {
		t.Errorf("%d attempts at jobs that always fail", failed)
	}
	if w.Workers[sick.Name] == sick && sick.Faulty {
		waitUntil(t, w, 60*second, "the sick machine is given back", func() bool { return w.Workers[sick.Name] != sick })
	}
	if delete(blamed, sick.Name); len(blamed) > 0 {
		t.Errorf("healthy machines were taken for sick: %v", blamed)
	}
	cancelJobs(t, w, w.Leader(), bad...)
	w.MarkFaultsEnded()
	for _, s := range good {
		waitUntil(t, w, 120*second, "done", jobDone(t, w, s))
	}
}

// Machines come late, and some never. A gang waits for them no longer than it has to: what does not come up
// is given back, and rented elsewhere.
func TestGangStartsWhenMachinesBootLateOrNever(t *testing.T) {
	for seed := range 4 {
		r := rand.New(rand.NewPCG(uint64(seed), 1))
		w := newVotingMembers(t, 3, 0)
		never := 0
		w.DrawBootTime = func() time.Duration {
			switch r.IntN(4) {
			case 0:
				never++
				return time.Hour
			case 1:
				return 4 * w.BootTime
			}
			return w.BootTime
		}
		gang := newJob(model.Gang, 6, func(s *model.Spec) { s.Demand = model.Resources{CPU: 8, MemGB: 30} })
		submitJob(t, w, gang)
		waitUntil(t, w, 200*second, "the gang runs", func() bool { return activeTasks(w, gang) == 6 })
		w.MarkFaultsEnded()
		w.Advance(120 * second)
		if n := len(w.booting); n > 0 || never == 0 && seed > 0 {
			t.Errorf("%d machines that never come up are still paid for; %d never came", n, never)
		}
		if n := w.ProvisionedTotal(); n > 40 {
			t.Errorf("%d machines were rented for a gang of six", n)
		}
	}
}
