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
func TestReplayedHeartbeatsAtFailoverStartTasksOnce(t *testing.T) {
	for _, session := range []bool{false, true} {
		w := newVotingMembers(t, 3, 4)
		w.PollOnCommit, w.MaxRetainedHeartbeats = true, 1000
		w.RunTimeOf = func(id model.TaskID) time.Duration { return time.Duration(3+18*id.Index) * second }
		var jobs []*model.Spec
		for i := range 6 {
			s := newJob(model.Array, 2+i%2, func(s *model.Spec) { s.Demand = model.Resources{CPU: 2, MemGB: 1} })
			submitJob(t, w, s)
			jobs = append(jobs, s)
		}
		again := func() {
			for _, r := range slices.Clone(w.RetainedHeartbeats) {
				for _, c := range w.Controllers {
					w.ReplayHeartbeat(c, r)
				}
			}
		}
		var killed int
		for range 4 {
			w.Advance(7 * second)
			if session && killed == 0 { // reports of an earlier session among them
				for _, k := range w.Workers {
					k.Partitioned = true
				}
				w.Advance(w.Lease + second)
				killed = w.KilledTasks
				for _, k := range w.Workers {
					k.Partitioned = false
				}
				again()
			}
			old := w.Leader()
			if old == nil {
				waitUntil(t, w, 30*second, "somebody leads", func() bool { old = w.Leader(); return old != nil })
			}
			restartController(old)
			waitUntil(t, w, 30*second, "another leads", func() bool { return w.Leader() != nil })
			again()
			w.Advance(second)
			again()
		}
		if len(w.RetainedHeartbeats) < 100 || session && killed == 0 {
			t.Errorf("%d copies, %d tasks killed by their leases", len(w.RetainedHeartbeats), killed)
		}
		w.MarkFaultsEnded()
		for _, s := range jobs {
			waitUntil(t, w, 120*second, "done", jobDone(t, w, s))
			if n := startCount(w, s); !session && n != s.Tasks {
				t.Errorf("%d starts of %d tasks", n, s.Tasks)
			}
		}
	}
}

// Machines are up within two seconds and get work at once, transactions are late or their answers lost, and
// the leader ends.
func TestFastBootWithDelayedWritesAndFailoverRunsAll(t *testing.T) {
	for seed := range 6 {
		for _, atOnce := range []bool{false, true} {
			r := rand.New(rand.NewPCG(uint64(seed), 2))
			w := newVotingMembers(t, 3, 1)
			w.BootTime = time.Duration(r.IntN(2000)) * time.Millisecond
			w.PollOnCommit = true
			later := loseCommitAnswers(w, r, 0.5, atOnce)
			s := newJob(model.Array, 12, nil)
			accepted := false
			for range 50 {
				if accepted = w.Submit(w.Controllers[r.IntN(3)], s) == nil; accepted {
					break
				}
				w.Advance(200 * time.Millisecond)
			}
			if !accepted {
				t.Fatal("no controller has accepted the job")
			}
			for range 5 {
				w.Advance(time.Duration(500+r.IntN(2500)) * time.Millisecond)
				if l := w.Leader(); l != nil {
					restartController(l)
				}
				for _, f := range *later {
					f()
				}
				*later = nil
			}
			w.InterceptCommit = nil
			waitUntil(t, w, 30*second, "somebody leads", func() bool { return w.Leader() != nil })
			w.MarkFaultsEnded()
			// The team's limit is 32 CPUs times four: all can run at once.
			waitUntil(t, w, 90*second, "all run", func() bool { return activeTasks(w, s) == 12 })
			if n := len(w.Workers); n > 24 || w.ProvisionedTotal() < 6 {
				t.Errorf("%d machines for 12 tasks of half a machine", n)
			}
		}
	}
}

// A zone with workers and a controller is cut off for longer than a lease, or its machines are lost. What is
// bound to it, or has to be in one zone, runs nowhere else while anything of it may still be there, and
// again soon after.
func TestZoneBoundJobsSurviveZonePartition(t *testing.T) {
	for _, how := range []string{"cut off", "cut off, and its controller leads", "machines are gone",
		"cut off, and the leader ends"} {
		t.Run(how, func(t *testing.T) {
			w := newVotingMembers(t, 3, 8)
			w.Capacity = 10
			bound := func(s *model.Spec) { s.Zone = "a" }
			oneZone := func(s *model.Spec) { s.SingleZone = true }
			jobs := []*model.Spec{newJob(model.Array, 3, bound), newJob(model.Array, 3, oneZone), newJob(model.Gang, 3, oneZone),
				newJob(model.Service, 2, bound)}
			startJobs(t, w, jobs...)
			inside := w.Controllers[0]
			if how == "cut off, and its controller leads" {
				for w.Leader() != inside {
					if l := w.Leader(); l != nil {
						w.StepElection(l, election.Resign{})
					}
					w.Advance(3 * second)
				}
			}
			gone := how == "machines are gone"
			for _, n := range w.WorkerNames() {
				if k := w.Workers[n]; k.Zone == "a" {
					if k.Partitioned = true; gone {
						delete(w.Workers, n)
					}
				}
			}
			switch how {
			case "cut off", "cut off, and its controller leads":
				inside.StateUnreachable, inside.PeersUnreachable = true, true
			case "cut off, and the leader ends":
				w.Leader().Crash()
			}
			w.Advance(2*w.Lease + 5*second)
			if activeTasks(w, jobs[1]) != 3 && !gone {
				t.Error("what may be in any one zone does not run in the other one")
			}
			w.Advance(w.Lease)
			if !gone && w.KilledTasks == 0 {
				t.Error("no lease has run out there")
			}
			inside.StateUnreachable, inside.PeersUnreachable = false, false
			for _, c := range w.Controllers {
				if !c.Up {
					c.Start()
				}
			}
			for _, k := range w.Workers {
				k.Partitioned = false
			}
			w.MarkFaultsEnded()
			waitUntil(t, w, 90*second, "all run", func() bool {
				return activeTasks(w, jobs[0]) == 3 && activeTasks(w, jobs[1]) == 3 && activeTasks(w, jobs[2]) == 3 && activeTasks(w, jobs[3]) == 2
			})
			w.Advance(w.CancelDeadline)
		})
	}
}

// There is more work than room, urgent and not, while commands and their answers are held up: stops,
// launches and reports are each late, and teams are at their limits.
func TestOverloadWithDelayedCommandsCompletesAllJobs(t *testing.T) {
	held, stopped := 0, 0
	for seed := range 6 {
		r := rand.New(rand.NewPCG(uint64(seed), 5))
		w := newVotingMembers(t, 3, 6)
		w.Capacity = 6
		w.RunTime = 20 * second
		w.NextDelivery = func() Delivery {
			fate := []Delivery{Delivered, Delivered, AnswerLost, Delayed, Dropped}[r.IntN(5)]
			if fate == Delayed {
				held++
			}
			return fate
		}
		var jobs []*model.Spec
		for i := range 30 {
			s := newJob([]model.Shape{model.Array, model.Array, model.Gang}[i%3], 1+r.IntN(3), func(s *model.Spec) {
				s.Priority = []model.Priority{model.PriorityLow, model.PriorityNormal, model.PriorityHigh, model.PriorityProduction}[r.IntN(4)]
				s.Team = []string{"red", "blue"}[r.IntN(2)]
				if r.IntN(2) == 0 {
					s.CheckpointInterval, s.CheckpointTime = second, 3*second
				}
				s.Deadline = time.Duration(20+r.IntN(200)) * second
			})
			submitJob(t, w, s)
			jobs = append(jobs, s)
			w.Advance(time.Duration(r.IntN(4000)) * time.Millisecond)
			if n := len(w.HeldCommands); n > 0 && r.IntN(2) == 0 {
				i := r.IntN(n)
				w.HeldCommands[i]()
				w.HeldCommands = slices.Delete(w.HeldCommands, i, i+1)
				w.CheckInvariants()
			}
		}
		w.NextDelivery = nil
		for _, f := range w.HeldCommands {
			f()
			w.CheckInvariants()
		}
		w.HeldCommands = nil
		w.MarkFaultsEnded()
		for _, s := range jobs {
			waitUntil(t, w, 600*second, "done", jobDone(t, w, s))
		}
		for _, n := range w.Checkpoints {
			stopped += n
		}
	}
	if held < 20 || stopped == 0 {
		t.Errorf("%d commands were held up, %d tasks were stopped for others and saved", held, stopped)
	}
}

// One-task jobs come four a second for three minutes, a quarter of them is cancelled, at the smallest limits
// that a state service has here. What is written, and what queues, is bounded; all are over soon after.
func TestManySmallJobsKeepWritesBounded(t *testing.T) {
	w := newVotingMembers(t, 3, 8)
	w.RunTime, w.FetchTime = 3*second, 200*time.Millisecond
	r := rand.New(rand.NewPCG(1, 1))
	tiny := func(s *model.Spec) {
		s.Demand = model.Resources{CPU: 1, MemGB: 1}
		s.Team = []string{"red", "blue"}[r.IntN(2)]
	}
	var jobs []*model.Spec
	before := w.State.Transactions
	for i := range 720 {
		s := newJob(model.Array, 1, tiny)
		if err := w.Submit(w.Controllers[r.IntN(3)], s); err != nil {
			t.Fatal(err)
		}
		jobs = append(jobs, s)
		if i%4 == 0 {
			cancelJobs(t, w, w.Controllers[r.IntN(3)], jobs[r.IntN(len(jobs))])
		}
		w.Advance(250 * time.Millisecond)
	}
	w.MarkFaultsEnded()
	waitUntil(t, w, 60*second, "all are over", func() bool {
		for _, s := range jobs {
			if v, err := w.Controllers[r.IntN(3)].Jobs.Lookup(context.Background(), s.ID); err != nil || !v.State.Ended() {
				return false
			}
		}
		return true
	})
	w.Advance(30 * second)
	// A submission, an end, and what the machines' and the finished tasks' records take in between.
	if n := w.State.Transactions - before; n > 4*len(jobs) {
		t.Errorf("%d transactions for %d jobs", n, len(jobs))
	}
	for prefix, most := range map[string]int{"job/a/": 0, "part/": 0, "tasks/": 0} {
		if n := len(w.State.Keys(prefix)); n > most {
			t.Errorf("%d records of %s are left", n, prefix)
		}
	}
}
