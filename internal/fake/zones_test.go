package fake

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/model"
)

// Old reports as a new leader begins, machines that are up at once, jobs that are bound to a zone, and more
// work than room.

// Every report of a while comes again to every controller just as a new leader begins, and again when it
// acts. Jobs of two and three tasks end far apart. Each task starts once.
func TestOldReportsReachEveryControllerAsANewLeaderBegins(t *testing.T) {
	for _, session := range []bool{false, true} {
		w := members(t, 3, 4)
		w.Looks, w.Copies = true, 1000
		w.Runs = func(id model.TaskID) time.Duration { return time.Duration(3+18*id.Index) * second }
		var jobs []*model.Spec
		for i := range 6 {
			s := job(model.Array, 2+i%2, func(s *model.Spec) { s.Demand = model.Resources{CPU: 2, MemGB: 1} })
			submit(t, w, s)
			jobs = append(jobs, s)
		}
		again := func() {
			for _, r := range slices.Clone(w.Copied) {
				for _, c := range w.Controllers {
					w.Late(c, r)
				}
			}
		}
		var killed int
		for range 4 {
			w.Pass(7 * second)
			if session && killed == 0 { // reports of an earlier session among them
				for _, k := range w.Workers {
					k.Cut = true
				}
				w.Pass(w.Lease + second)
				killed = w.Killed
				for _, k := range w.Workers {
					k.Cut = false
				}
				again()
			}
			old := w.Leader()
			if old == nil {
				until(t, w, 30*second, "somebody leads", func() bool { old = w.Leader(); return old != nil })
			}
			blink(old)
			until(t, w, 30*second, "another leads", func() bool { return w.Leader() != nil })
			again()
			w.Pass(second)
			again()
		}
		if len(w.Copied) < 100 || session && killed == 0 {
			t.Errorf("%d copies, %d tasks killed by their leases", len(w.Copied), killed)
		}
		w.Calm()
		for _, s := range jobs {
			until(t, w, 120*second, "done", done(t, w, s))
			if n := starts(w, s); !session && n != s.Tasks {
				t.Errorf("%d starts of %d tasks", n, s.Tasks)
			}
		}
	}
}

// Machines are up within two seconds and get work at once, transactions are late or their answers lost, and
// the leader ends.
func TestMachinesUpAtOnceWhileWritesLagAndTheLeaderEnds(t *testing.T) {
	for seed := range 6 {
		for _, atOnce := range []bool{false, true} {
			r := rand.New(rand.NewPCG(uint64(seed), 2))
			w := members(t, 3, 1)
			w.Boot = time.Duration(r.IntN(2000)) * time.Millisecond
			w.Looks = true
			later := lost(w, r, 0.5, atOnce)
			s := job(model.Array, 12, nil)
			accepted := false
			for range 50 {
				if accepted = w.Submit(w.Controllers[r.IntN(3)], s) == nil; accepted {
					break
				}
				w.Pass(200 * time.Millisecond)
			}
			if !accepted {
				t.Fatal("no controller has accepted the job")
			}
			for range 5 {
				w.Pass(time.Duration(500+r.IntN(2500)) * time.Millisecond)
				if l := w.Leader(); l != nil {
					blink(l)
				}
				for _, f := range *later {
					f()
				}
				*later = nil
			}
			w.Net = nil
			until(t, w, 30*second, "somebody leads", func() bool { return w.Leader() != nil })
			w.Calm()
			// The team's limit is 32 CPUs times four: all can run at once.
			until(t, w, 90*second, "all run", func() bool { return on(w, s) == 12 })
			if n := len(w.Workers); n > 24 || w.Rented() < 6 {
				t.Errorf("%d machines for 12 tasks of half a machine", n)
			}
		}
	}
}

// A zone with workers and a controller is cut off for longer than a lease, or its machines are lost. What is
// bound to it, or has to be in one zone, runs nowhere else while anything of it may still be there, and
// again soon after.
func TestJobsBoundToAZoneThatIsCutOff(t *testing.T) {
	for _, how := range []string{"cut off", "cut off, and its controller leads", "machines are gone",
		"cut off, and the leader ends"} {
		t.Run(how, func(t *testing.T) {
			w := members(t, 3, 8)
			w.Capacity = 10
			bound := func(s *model.Spec) { s.Zone = "a" }
			oneZone := func(s *model.Spec) { s.SingleZone = true }
			jobs := []*model.Spec{job(model.Array, 3, bound), job(model.Array, 3, oneZone), job(model.Gang, 3, oneZone),
				job(model.Service, 2, bound)}
			running(t, w, jobs...)
			inside := w.Controllers[0]
			if how == "cut off, and its controller leads" {
				for w.Leader() != inside {
					if l := w.Leader(); l != nil {
						w.Elect(l, election.Resign{})
					}
					w.Pass(3 * second)
				}
			}
			gone := how == "machines are gone"
			for _, n := range w.Names() {
				if k := w.Workers[n]; k.Zone == "a" {
					if k.Cut = true; gone {
						delete(w.Workers, n)
					}
				}
			}
			switch how {
			case "cut off", "cut off, and its controller leads":
				inside.NoNet, inside.Alone = true, true
			case "cut off, and the leader ends":
				w.Leader().Crash()
			}
			w.Pass(2*w.Lease + 5*second)
			if on(w, jobs[1]) != 3 && !gone {
				t.Error("what may be in any one zone does not run in the other one")
			}
			w.Pass(w.Lease)
			if !gone && w.Killed == 0 {
				t.Error("no lease has run out there")
			}
			inside.NoNet, inside.Alone = false, false
			for _, c := range w.Controllers {
				if !c.Up {
					c.Start()
				}
			}
			for _, k := range w.Workers {
				k.Cut = false
			}
			w.Calm()
			until(t, w, 90*second, "all run", func() bool {
				return on(w, jobs[0]) == 3 && on(w, jobs[1]) == 3 && on(w, jobs[2]) == 3 && on(w, jobs[3]) == 2
			})
			w.Pass(w.CancelIn)
		})
	}
}

// There is more work than room, urgent and not, while commands and their answers are held up: stops,
// launches and reports are each late, and teams are at their limits.
func TestMoreWorkThanRoomWhileCommandsAreHeldUp(t *testing.T) {
	held, stopped := 0, 0
	for seed := range 6 {
		r := rand.New(rand.NewPCG(uint64(seed), 5))
		w := members(t, 3, 6)
		w.Capacity = 6
		w.Run = 20 * second
		w.Way = func() Fate {
			fate := []Fate{Answered, Answered, Unanswered, Held, Lost}[r.IntN(5)]
			if fate == Held {
				held++
			}
			return fate
		}
		var jobs []*model.Spec
		for i := range 30 {
			s := job([]model.Shape{model.Array, model.Array, model.Gang}[i%3], 1+r.IntN(3), func(s *model.Spec) {
				s.Priority = []model.Priority{model.PriorityLow, model.PriorityNormal, model.PriorityHigh, model.PriorityProduction}[r.IntN(4)]
				s.Team = []string{"red", "blue"}[r.IntN(2)]
				if r.IntN(2) == 0 {
					s.CheckpointInterval, s.CheckpointTime = second, 3*second
				}
				s.Deadline = time.Duration(20+r.IntN(200)) * second
			})
			submit(t, w, s)
			jobs = append(jobs, s)
			w.Pass(time.Duration(r.IntN(4000)) * time.Millisecond)
			if n := len(w.Held); n > 0 && r.IntN(2) == 0 {
				i := r.IntN(n)
				w.Held[i]()
				w.Held = slices.Delete(w.Held, i, i+1)
				w.Check()
			}
		}
		w.Way = nil
		for _, f := range w.Held {
			f()
			w.Check()
		}
		w.Held = nil
		w.Calm()
		for _, s := range jobs {
			until(t, w, 600*second, "done", done(t, w, s))
		}
		for _, n := range w.Saves {
			stopped += n
		}
	}
	if held < 20 || stopped == 0 {
		t.Errorf("%d commands were held up, %d tasks were stopped for others and saved", held, stopped)
	}
}

// One-task jobs come four a second for three minutes, a quarter of them is cancelled, at the smallest limits
// that a state service has here. What is written, and what queues, is bounded; all are over soon after.
func TestManySmallJobs(t *testing.T) {
	w := members(t, 3, 8)
	w.Run, w.Fetch = 3*second, 200*time.Millisecond
	r := rand.New(rand.NewPCG(1, 1))
	tiny := func(s *model.Spec) {
		s.Demand = model.Resources{CPU: 1, MemGB: 1}
		s.Team = []string{"red", "blue"}[r.IntN(2)]
	}
	var jobs []*model.Spec
	before := w.State.Txns
	for i := range 720 {
		s := job(model.Array, 1, tiny)
		if err := w.Submit(w.Controllers[r.IntN(3)], s); err != nil {
			t.Fatal(err)
		}
		jobs = append(jobs, s)
		if i%4 == 0 {
			tell(t, w, w.Controllers[r.IntN(3)], jobs[r.IntN(len(jobs))])
		}
		w.Pass(250 * time.Millisecond)
	}
	w.Calm()
	until(t, w, 60*second, "all are over", func() bool {
		for _, s := range jobs {
			if v, err := w.Controllers[r.IntN(3)].Jobs.Lookup(context.Background(), s.ID); err != nil || !v.State.Ended() {
				return false
			}
		}
		return true
	})
	w.Pass(30 * second)
	// A submission, an end, and what the machines' and the finished tasks' records take in between.
	if n := w.State.Txns - before; n > 4*len(jobs) {
		t.Errorf("%d transactions for %d jobs", n, len(jobs))
	}
	for prefix, most := range map[string]int{"job/a/": 0, "part/": 0, "tasks/": 0} {
		if n := len(w.State.Keys(prefix)); n > most {
			t.Errorf("%d records of %s are left", n, prefix)
		}
	}
}
