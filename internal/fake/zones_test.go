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

// Recent heartbeats are replayed to every controller just as a new leader takes over, and again while it leads. The
// tasks of a job end at very different times, so the replayed heartbeats report tasks that have ended since. Each
// task must start only once.
func TestReplayedHeartbeatsAtFailoverStartTasksOnce(t *testing.T) {
	for _, expireLeases := range []bool{false, true} {
		w := newVotingTestWorld(t, 3, 4)
		w.PollOnCommit, w.MaxRetainedMessages = true, 1000
		w.RunTimeOf = func(id model.TaskID) time.Duration { return time.Duration(3+18*id.Index) * second }
		var jobs []*model.Spec
		for i := range 6 {
			spec := newJob(model.Array, 2+i%2, func(spec *model.Spec) { spec.Demand = model.Resources{CPU: 2, MemGB: 1} })
			submitJob(t, w, spec)
			jobs = append(jobs, spec)
		}
		replayHeartbeats := func() {
			for _, heartbeat := range slices.Clone(w.RetainedHeartbeats) {
				for _, c := range w.Controllers {
					w.ReplayHeartbeat(c, heartbeat)
				}
			}
		}
		var killedTasks int
		for range 4 {
			w.Advance(7 * second)
			if expireLeases && killedTasks == 0 { // the replay then includes heartbeats of an earlier epoch
				for _, worker := range w.Workers {
					worker.Partitioned = true
				}
				w.Advance(w.Lease + second)
				killedTasks = w.KilledTasks
				for _, worker := range w.Workers {
					worker.Partitioned = false
				}
				replayHeartbeats()
			}
			leader := w.Leader()
			if leader == nil {
				waitForLeader(t, w, 30*second)
				leader = w.Leader()
			}
			restartController(leader)
			waitForLeader(t, w, 30*second)
			replayHeartbeats()
			w.Advance(second)
			replayHeartbeats()
		}
		if len(w.RetainedHeartbeats) < 100 || expireLeases && killedTasks == 0 {
			t.Errorf("got %d replayed heartbeats and %d tasks killed by lease expiry, want at least 100, and some with expiry",
				len(w.RetainedHeartbeats), killedTasks)
		}
		w.MarkFaultsEnded()
		for _, spec := range jobs {
			waitUntil(t, w, 120*second, "the job is done", jobDone(t, w, spec))
			if n := startCount(w, spec); !expireLeases && n != spec.Tasks {
				t.Errorf("task starts: got %d, want one for each of %d tasks", n, spec.Tasks)
			}
		}
	}
}

// Machines boot within two seconds and receive tasks at once, while transactions are delayed or their answers are
// lost, and the leader restarts. All tasks must still run, without more machines than they need.
func TestFastBootWithDelayedWritesAndFailoverRunsAll(t *testing.T) {
	for seed := range 6 {
		for _, atOnce := range []bool{false, true} {
			random := rand.New(rand.NewPCG(uint64(seed), 2))
			w := newVotingTestWorld(t, 3, 1)
			w.BootTime = time.Duration(random.IntN(2000)) * time.Millisecond
			w.PollOnCommit = true
			delayedCommits := loseCommitAnswers(w, random, 0.5, atOnce)
			spec := newJob(model.Array, 12, nil)
			accepted := false
			for range 50 {
				if accepted = w.Submit(w.Controllers[random.IntN(3)], spec) == nil; accepted {
					break
				}
				w.Advance(200 * time.Millisecond)
			}
			if !accepted {
				t.Fatal("no controller accepted the job in 50 attempts")
			}
			for range 5 {
				w.Advance(time.Duration(500+random.IntN(2500)) * time.Millisecond)
				if leader := w.Leader(); leader != nil {
					restartController(leader)
				}
				for _, commit := range *delayedCommits {
					commit()
				}
				*delayedCommits = nil
			}
			w.InterceptCommit = nil
			waitForLeader(t, w, 30*second)
			w.MarkFaultsEnded()
			// The team's quota is four times 32 CPUs, so all tasks can run at the same time.
			waitUntil(t, w, 90*second, "all tasks run", func() bool { return activeTasks(w, spec) == 12 })
			if n := len(w.Workers); n > 24 || w.NamesAssigned() < 6 {
				t.Errorf("machines for 12 tasks of half a machine each: got %d, want at most 24, and at least 6 provisioned", n)
			}
		}
	}
}

// A zone with workers and a controller is partitioned for longer than a lease, or its machines are lost. Jobs that
// must run in this zone, or in any single zone, must run nowhere else while a task of theirs may still be there, and
// must run again soon afterwards.
func TestZoneBoundJobsSurviveZonePartition(t *testing.T) {
	for _, fault := range []string{
		"partitioned",
		"partitioned with the leader inside",
		"machines lost",
		"partitioned, and the leader crashes",
	} {
		t.Run(fault, func(t *testing.T) {
			w := newVotingTestWorld(t, 3, 8)
			w.Capacity = 10
			boundToZone := func(spec *model.Spec) { spec.Zone = "a" }
			singleZone := func(spec *model.Spec) { spec.SingleZone = true }
			jobs := []*model.Spec{
				newJob(model.Array, 3, boundToZone),
				newJob(model.Array, 3, singleZone),
				newJob(model.Gang, 3, singleZone),
				newJob(model.Service, 2, boundToZone),
			}
			startJobs(t, w, jobs...)
			zoneController := w.Controllers[0]
			if fault == "partitioned with the leader inside" {
				for w.Leader() != zoneController {
					if leader := w.Leader(); leader != nil {
						w.StepElection(leader, election.Resign{})
					}
					w.Advance(3 * second)
				}
			}
			machinesLost := fault == "machines lost"
			for _, name := range w.WorkerNames() {
				if worker := w.Workers[name]; worker.Zone == "a" {
					if worker.Partitioned = true; machinesLost {
						delete(w.Workers, name)
					}
				}
			}
			switch fault {
			case "partitioned", "partitioned with the leader inside":
				zoneController.StateUnreachable, zoneController.PeersUnreachable = true, true
			case "partitioned, and the leader crashes":
				w.Leader().Crash()
			}
			w.Advance(2*w.Lease + 5*second)
			if activeTasks(w, jobs[1]) != 3 && !machinesLost {
				t.Error("the array that may run in any single zone does not run in the other zone")
			}
			w.Advance(w.Lease)
			if !machinesLost && w.KilledTasks == 0 {
				t.Error("no worker lease expired in the partitioned zone")
			}
			zoneController.StateUnreachable, zoneController.PeersUnreachable = false, false
			for _, c := range w.Controllers {
				if !c.Up {
					c.Start()
				}
			}
			for _, worker := range w.Workers {
				worker.Partitioned = false
			}
			w.MarkFaultsEnded()
			waitUntil(t, w, 90*second, "all jobs run", func() bool {
				return activeTasks(w, jobs[0]) == 3 && activeTasks(w, jobs[1]) == 3 &&
					activeTasks(w, jobs[2]) == 3 && activeTasks(w, jobs[3]) == 2
			})
			w.Advance(w.CancelDeadline)
		})
	}
}

// Tasks of all priorities need more capacity than there is, teams are at their quotas, and commands and their answers
// are delayed or lost. All jobs must still complete.
func TestOverloadWithDelayedCommandsCompletesAllJobs(t *testing.T) {
	priorities := []model.Priority{model.PriorityLow, model.PriorityNormal, model.PriorityHigh, model.PriorityProduction}
	delayedCommands, checkpoints := 0, 0
	for seed := range 6 {
		random := rand.New(rand.NewPCG(uint64(seed), 5))
		w := newVotingTestWorld(t, 3, 6)
		w.Capacity = 6
		w.RunTime = 20 * second
		w.NextDelivery = func() Delivery {
			delivery := []Delivery{
				CommandDelivered, CommandDelivered, CommandAnswerLost, CommandDelayed, CommandDropped,
			}[random.IntN(5)]
			if delivery == CommandDelayed {
				delayedCommands++
			}
			return delivery
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
		for _, deliver := range w.HeldCommands {
			deliver()
			w.CheckInvariants()
		}
		w.HeldCommands = nil
		w.MarkFaultsEnded()
		for _, spec := range jobs {
			waitUntil(t, w, 600*second, "the job is done", jobDone(t, w, spec))
		}
		for _, n := range w.Checkpoints {
			checkpoints += n
		}
	}
	if delayedCommands < 20 || checkpoints == 0 {
		t.Errorf("got %d delayed commands and %d checkpoints, want at least 20 and 1", delayedCommands, checkpoints)
	}
}

// Four jobs of one task each are submitted per second for three minutes, and a quarter of them are cancelled. The
// number of transactions must be bounded, and all jobs must end soon afterwards.
func TestManySmallJobsKeepWritesBounded(t *testing.T) {
	w := newVotingTestWorld(t, 3, 8)
	w.RunTime, w.FetchTime = 3*second, 200*time.Millisecond
	random := rand.New(rand.NewPCG(1, 1))
	small := func(spec *model.Spec) {
		spec.Demand = model.Resources{CPU: 1, MemGB: 1}
		spec.Team = []string{"red", "blue"}[random.IntN(2)]
	}
	var jobs []*model.Spec
	transactionsBefore := w.State.Transactions
	for i := range 720 {
		spec := newJob(model.Array, 1, small)
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
	waitUntil(t, w, 60*second, "all jobs have ended", func() bool {
		for _, spec := range jobs {
			record, err := w.Controllers[random.IntN(3)].Jobs.Lookup(context.Background(), spec.ID)
			if err != nil || !record.State.Ended() {
				return false
			}
		}
		return true
	})
	w.Advance(30 * second)
	// Each job needs a transaction for its submission and one for its end. The others write records of machines and of
	// completed tasks.
	if n := w.State.Transactions - transactionsBefore; n > 4*len(jobs) {
		t.Errorf("transactions for %d jobs: got %d, want at most %d", len(jobs), n, 4*len(jobs))
	}
	for prefix, limit := range map[string]int{"job/a/": 0, "part/": 0, "tasks/": 0} {
		if n := len(w.State.Keys(prefix)); n > limit {
			t.Errorf("remaining records with prefix %s: got %d, want at most %d", prefix, n, limit)
		}
	}
}
