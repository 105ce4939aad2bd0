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

// Every heartbeat of the last seconds arrives again at every controller just as a new leader takes over, and again
// when it acts. The tasks of a job end far apart. Each task starts once.
func TestReplayedHeartbeatsAtFailoverStartTasksOnce(t *testing.T) {
	for _, expireLeases := range []bool{false, true} {
		w := newVotingMembers(t, 3, 4)
		w.PollOnCommit, w.MaxRetainedHeartbeats = true, 1000
		w.RunTimeOf = func(id model.TaskID) time.Duration { return time.Duration(3+18*id.Index) * second }
		var jobs []*model.Spec
		for i := range 6 {
			spec := newJob(model.Array, 2+i%2, func(spec *model.Spec) { spec.Demand = model.Resources{CPU: 2, MemGB: 1} })
			submitJob(t, w, spec)
			jobs = append(jobs, spec)
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
			if expireLeases && killed == 0 { // heartbeats of an earlier epoch are among them
				for _, worker := range w.Workers {
					worker.Partitioned = true
				}
				w.Advance(w.Lease + second)
				killed = w.KilledTasks
				for _, worker := range w.Workers {
					worker.Partitioned = false
				}
				again()
			}
			old := w.Leader()
			if old == nil {
				waitForLeader(t, w, 30*second)
				old = w.Leader()
			}
			restartController(old)
			waitForLeader(t, w, 30*second)
			again()
			w.Advance(second)
			again()
		}
		if len(w.RetainedHeartbeats) < 100 || expireLeases && killed == 0 {
			t.Errorf("%d copies, %d tasks killed by their leases", len(w.RetainedHeartbeats), killed)
		}
		w.MarkFaultsEnded()
		for _, spec := range jobs {
			waitUntil(t, w, 120*second, "done", jobDone(t, w, spec))
			if n := startCount(w, spec); !expireLeases && n != spec.Tasks {
				t.Errorf("%d starts of %d tasks", n, spec.Tasks)
			}
		}
	}
}

// Machines boot within two seconds and receive tasks at once, transactions are delayed or their answers lost, and the
// leader restarts.
func TestFastBootWithDelayedWritesAndFailoverRunsAll(t *testing.T) {
	for seed := range 6 {
		for _, atOnce := range []bool{false, true} {
			random := rand.New(rand.NewPCG(uint64(seed), 2))
			w := newVotingMembers(t, 3, 1)
			w.BootTime = time.Duration(random.IntN(2000)) * time.Millisecond
			w.PollOnCommit = true
			later := loseCommitAnswers(w, random, 0.5, atOnce)
			spec := newJob(model.Array, 12, nil)
			accepted := false
			for range 50 {
				if accepted = w.Submit(w.Controllers[random.IntN(3)], spec) == nil; accepted {
					break
				}
				w.Advance(200 * time.Millisecond)
			}
			if !accepted {
				t.Fatal("no controller has accepted the job")
			}
			for range 5 {
				w.Advance(time.Duration(500+random.IntN(2500)) * time.Millisecond)
				if leader := w.Leader(); leader != nil {
					restartController(leader)
				}
				for _, f := range *later {
					f()
				}
				*later = nil
			}
			w.InterceptCommit = nil
			waitForLeader(t, w, 30*second)
			w.MarkFaultsEnded()
			// The team's quota is four times 32 CPUs: all tasks can run at once.
			waitUntil(t, w, 90*second, "all run", func() bool { return activeTasks(w, spec) == 12 })
			if n := len(w.Workers); n > 24 || w.ProvisionedTotal() < 6 {
				t.Errorf("%d machines for 12 tasks of half a machine", n)
			}
		}
	}
}

// A zone with workers and a controller is partitioned for longer than a lease, or its machines are lost. Jobs that are
// bound to it, or to any single zone, run nowhere else while a task of theirs may still be there, and again soon after.
func TestZoneBoundJobsSurviveZonePartition(t *testing.T) {
	for _, how := range []string{"cut off", "cut off, and its controller leads", "machines are gone",
		"cut off, and the leader ends"} {
		t.Run(how, func(t *testing.T) {
			w := newVotingMembers(t, 3, 8)
			w.Capacity = 10
			bound := func(spec *model.Spec) { spec.Zone = "a" }
			oneZone := func(spec *model.Spec) { spec.SingleZone = true }
			jobs := []*model.Spec{newJob(model.Array, 3, bound), newJob(model.Array, 3, oneZone), newJob(model.Gang, 3, oneZone),
				newJob(model.Service, 2, bound)}
			startJobs(t, w, jobs...)
			inside := w.Controllers[0]
			if how == "cut off, and its controller leads" {
				for w.Leader() != inside {
					if leader := w.Leader(); leader != nil {
						w.StepElection(leader, election.Resign{})
					}
					w.Advance(3 * second)
				}
			}
			gone := how == "machines are gone"
			for _, n := range w.WorkerNames() {
				if worker := w.Workers[n]; worker.Zone == "a" {
					if worker.Partitioned = true; gone {
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
			for _, worker := range w.Workers {
				worker.Partitioned = false
			}
			w.MarkFaultsEnded()
			waitUntil(t, w, 90*second, "all run", func() bool {
				return activeTasks(w, jobs[0]) == 3 && activeTasks(w, jobs[1]) == 3 &&
					activeTasks(w, jobs[2]) == 3 && activeTasks(w, jobs[3]) == 2
			})
			w.Advance(w.CancelDeadline)
		})
	}
}

// There are more tasks of all priorities than room, teams are at their quotas, and commands and their answers are
// delayed or lost.
func TestOverloadWithDelayedCommandsCompletesAllJobs(t *testing.T) {
	priorities := []model.Priority{model.PriorityLow, model.PriorityNormal, model.PriorityHigh, model.PriorityProduction}
	held, stopped := 0, 0
	for seed := range 6 {
		random := rand.New(rand.NewPCG(uint64(seed), 5))
		w := newVotingMembers(t, 3, 6)
		w.Capacity = 6
		w.RunTime = 20 * second
		w.NextDelivery = func() Delivery {
			fate := []Delivery{Delivered, Delivered, AnswerLost, Delayed, Dropped}[random.IntN(5)]
			if fate == Delayed {
				held++
			}
			return fate
		}
		var jobs []*model.Spec
		for i := range 30 {
			spec := newJob([]model.Shape{model.Array, model.Array, model.Gang}[i%3], 1+random.IntN(3), func(spec *model.Spec) {
				spec.Priority = priorities[random.IntN(len(priorities))]
				spec.Team = []string{"red", "blue"}[random.IntN(2)]
				if random.IntN(2) == 0 {
					spec.CheckpointInterval, spec.CheckpointTime = second, 3*second
				}
				spec.Deadline = time.Duration(20+random.IntN(200)) * second
			})
			submitJob(t, w, spec)
			jobs = append(jobs, spec)
			w.Advance(time.Duration(random.IntN(4000)) * time.Millisecond)
			if n := len(w.HeldCommands); n > 0 && random.IntN(2) == 0 {
				i := random.IntN(n)
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
		for _, spec := range jobs {
			waitUntil(t, w, 600*second, "done", jobDone(t, w, spec))
		}
		for _, n := range w.Checkpoints {
			stopped += n
		}
	}
	if held < 20 || stopped == 0 {
		t.Errorf("%d commands were held up, %d tasks were stopped for others and saved", held, stopped)
	}
}

// Four jobs of one task arrive each second for three minutes, and a quarter of them is cancelled. The number of
// transactions is bounded, and all jobs end soon after.
func TestManySmallJobsKeepWritesBounded(t *testing.T) {
	w := newVotingMembers(t, 3, 8)
	w.RunTime, w.FetchTime = 3*second, 200*time.Millisecond
	random := rand.New(rand.NewPCG(1, 1))
	tiny := func(spec *model.Spec) {
		spec.Demand = model.Resources{CPU: 1, MemGB: 1}
		spec.Team = []string{"red", "blue"}[random.IntN(2)]
	}
	var jobs []*model.Spec
	before := w.State.Transactions
	for i := range 720 {
		spec := newJob(model.Array, 1, tiny)
		if err := w.Submit(w.Controllers[random.IntN(3)], spec); err != nil {
			t.Fatal(err)
		}
		jobs = append(jobs, spec)
		if i%4 == 0 {
			cancelJobs(t, w, w.Controllers[random.IntN(3)], jobs[random.IntN(len(jobs))])
		}
		w.Advance(250 * time.Millisecond)
	}
	w.MarkFaultsEnded()
	waitUntil(t, w, 60*second, "all are over", func() bool {
		for _, spec := range jobs {
			v, err := w.Controllers[random.IntN(3)].Jobs.Lookup(context.Background(), spec.ID)
			if err != nil || !v.State.Ended() {
				return false
			}
		}
		return true
	})
	w.Advance(30 * second)
	// A submission, an end, and the records of machines and of completed tasks in between.
	if n := w.State.Transactions - before; n > 4*len(jobs) {
		t.Errorf("transactions for %d jobs: got %d, want %d at most", len(jobs), n, 4*len(jobs))
	}
	for prefix, most := range map[string]int{"job/a/": 0, "part/": 0, "tasks/": 0} {
		if n := len(w.State.Keys(prefix)); n > most {
			t.Errorf("remaining records of %s: got %d, want %d at most", prefix, n, most)
		}
	}
}
