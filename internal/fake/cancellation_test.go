package fake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

// The leader cannot reach the state service for a while before an outage makes it unreachable for all controllers,
// and another controller confirms cancellations in that time. The cancelled tasks have to end although the leader
// cannot read the records of the cancellations: other controllers report them to it. If the leader was isolated for
// at most 3 s, it also has to keep its leadership, and other tasks have to keep running.
func TestCancelledTasksStopWhenLeaderLosesStateBeforeOutage(t *testing.T) {
	for _, members := range []int{2, 3, 5} {
		for _, isolatedFor := range []time.Duration{second / 2, second, 2 * second, 3 * second, 5 * second, 10 * second} {
			t.Run(fmt.Sprint(members, " members, leader isolated ", isolatedFor, " before the outage"), func(t *testing.T) {
				w := newVotingTestWorld(t, members, 4)
				checkpointing := newJob(model.Array, 1, func(spec *model.Spec) {
					spec.CheckpointInterval, spec.CheckpointTime = second, 8*second
				})
				cancelled := []*model.Spec{newJob(model.Array, 2, nil), newJob(model.Gang, 2, nil), checkpointing}
				remaining := newJob(model.Service, 2, func(spec *model.Spec) { spec.Team = "blue" })
				startJobs(t, w, append(cancelled, remaining)...)
				leader := w.Leader()
				leader.StateUnreachable = true
				w.Advance(isolatedFor - isolatedFor/8)
				cancelJobs(t, w, nonLeader(w, leader), cancelled...)
				w.Advance(isolatedFor / 8)
				w.State.SetDown(true)
				w.Advance(2 * w.CancelDeadline)
				for _, spec := range cancelled {
					if activeTasks(w, spec) > 0 {
						t.Errorf("active tasks: got %d of cancelled job %s, want none", activeTasks(w, spec), spec.ID)
					}
				}
				if isolatedFor <= 3*second && (w.Leader() != leader || activeTasks(w, remaining) != 2 || w.KilledTasks > 0) {
					t.Errorf("got %d active tasks of the remaining job, %d killed tasks, want 2, 0 and the same leader as before",
						activeTasks(w, remaining), w.KilledTasks)
				}
				w.State.SetDown(false)
				w.Advance(5 * second) // the leader still cannot reach the state service
				leader.StateUnreachable = false
				waitUntil(t, w, 90*second, "there is a leader and the remaining job is active", func() bool {
					return w.Leader() != nil && activeTasks(w, remaining) == 2
				})
				w.Advance(w.CancelDeadline)
			})
		}
	}
}

// The state service answers up to 2.5 s late while users cancel jobs, and in some cases it then fails for the leader
// or for all controllers, or the leader restarts. The tasks of every cancelled job end within the deadline, and the
// job that was not cancelled runs once the faults have ended.
func TestCancelledTasksStopUnderSlowStateService(t *testing.T) {
	for _, maxLatency := range []time.Duration{second / 2, second, 2500 * time.Millisecond} {
		for _, fault := range []string{"no other fault", "outage for the leader, then for all", "leader restart", "outage"} {
			t.Run(fmt.Sprint(maxLatency, ", ", fault), func(t *testing.T) {
				random := rand.New(rand.NewPCG(4, 4))
				w := newVotingTestWorld(t, 3, 4)
				w.PollOnCommit = true
				cancelled, remaining :=
					[]*model.Spec{newJob(model.Array, 2, nil), newJob(model.Gang, 2, nil)}, newJob(model.Service, 2, nil)
				startJobs(t, w, append(cancelled, remaining)...)
				w.StateLatency = func() time.Duration { return time.Duration(random.Int64N(int64(maxLatency))) }
				w.Advance(10 * second)
				leader := w.Leader()
				for leader == nil {
					w.Advance(100 * time.Millisecond)
					leader = w.Leader()
				}
				if fault == "outage for the leader, then for all" {
					leader.StateUnreachable = true
				}
				cancelJobs(t, w, nonLeader(w, leader), cancelled...)
				w.Advance(second)
				switch fault {
				case "leader restart":
					restartController(leader)
				case "no other fault":
				default:
					w.State.SetDown(true)
				}
				w.Advance(2 * w.CancelDeadline)
				leader.StateUnreachable = false
				w.State.SetDown(false)
				w.Advance(w.CancelDeadline)
				w.StateLatency = nil
				w.MarkFaultsEnded()
				waitUntil(t, w, 90*second, "the job that was not cancelled is active", func() bool {
					return activeTasks(w, remaining) == 2
				})
				for _, spec := range cancelled {
					if activeTasks(w, spec) > 0 {
						t.Errorf("cancelled job %s has active tasks", spec.ID)
					}
				}
			})
		}
	}
}

// The leader confirms a cancellation itself, and an outage of the state service begins before it has read the change.
// The leader still has to stop the tasks within the deadline.
func TestLeaderAppliesItsOwnCancellationInOutage(t *testing.T) {
	w := newVotingTestWorld(t, 3, 4)
	spec := newJob(model.Array, 2, nil)
	startJobs(t, w, spec)
	leader := w.Leader()
	cancelJobs(t, w, leader, spec)
	w.State.SetDown(true)
	w.Advance(2 * w.CancelDeadline)
	if w.Leader() != leader {
		t.Error("the leader lost its leadership in the outage, but the test needs the same leader throughout")
	}
}

// All controllers but the leader restart after one of them has confirmed a cancellation. They can read its record,
// but no longer remember that it was confirmed. The leader, which cannot read the record, still has to learn of the
// cancellation.
func TestCancellationSurvivesRestartOfConfirmingMember(t *testing.T) {
	for _, members := range []int{2, 3} {
		w := newVotingTestWorld(t, members, 4)
		cancelled, remaining := newJob(model.Array, 2, nil), newJob(model.Service, 2, nil)
		startJobs(t, w, cancelled, remaining)
		leader := w.Leader()
		leader.StateUnreachable = true
		w.Advance(200 * time.Millisecond)
		cancelJobs(t, w, nonLeader(w, leader), cancelled)
		for _, c := range w.Controllers {
			if c != leader {
				restartController(c)
			}
		}
		w.Advance(300 * time.Millisecond)
		w.State.SetDown(true)
		w.Advance(2 * w.CancelDeadline)
		if activeTasks(w, cancelled) != 0 || activeTasks(w, remaining) != 2 || w.KilledTasks > 0 {
			t.Errorf("%d members: got %d active tasks of the cancelled job, %d of the other, %d killed tasks, want 0, 2 and 0",
				members, activeTasks(w, cancelled), activeTasks(w, remaining), w.KilledTasks)
		}
	}
}

// More cancellations are confirmed than one answer to a vote request carries, so the leader needs several answers to
// learn of all of them. Meanwhile no worker's lease may expire, since that would kill the tasks of other jobs.
func TestManyCancellationsReachLeaderWithoutKillingTasks(t *testing.T) {
	w := newVotingTestWorld(t, 3, 4)
	remaining := newJob(model.Service, 2, nil)
	runningJob := newJob(model.Array, 2, func(spec *model.Spec) { spec.Team = "blue" })
	startJobs(t, w, remaining, runningJob)
	leader := w.Leader()
	var queuedJobs []*model.Spec
	for range 600 {
		spec := newJob(model.Array, 1, func(spec *model.Spec) { spec.Team = "blue" })
		submitJob(t, w, spec)
		queuedJobs = append(queuedJobs, spec)
	}
	w.Advance(second)
	leader.StateUnreachable = true
	w.Advance(200 * time.Millisecond)
	cancelJobs(t, w, nonLeader(w, leader), append(queuedJobs, runningJob)...)
	w.Advance(100 * time.Millisecond)
	w.State.SetDown(true)
	waitUntil(t, w, 8*second, "the cancelled tasks have ended", func() bool { return activeTasks(w, runningJob) == 0 })
	w.Advance(2 * w.CancelDeadline)
	if w.Leader() != leader || activeTasks(w, remaining) != 2 || w.KilledTasks > 0 {
		t.Errorf("got %d active replicas and %d killed tasks, want 2, 0 and the same leader as before",
			activeTasks(w, remaining), w.KilledTasks)
	}
}

// The leader can renew its lease but cannot read the job records, and the controller that confirmed a cancellation is
// down. Since the leader cannot learn of the cancellation, another controller has to take over.
func TestLeaderThatCannotReadChangesIsReplaced(t *testing.T) {
	w := newVotingTestWorld(t, 3, 4)
	spec := newJob(model.Array, 2, nil)
	startJobs(t, w, spec)
	leader := w.Leader()
	confirmer := nonLeader(w, leader)
	leader.ReadsBlocked = true
	w.Advance(200 * time.Millisecond)
	cancelJobs(t, w, confirmer, spec)
	confirmer.Crash()
	w.Advance(w.CancelDeadline)
	if current := w.Leader(); current == nil || current == leader {
		t.Error("the leader that cannot read the job records was not replaced")
	}
	w.Advance(w.CancelDeadline)
}

// After an outage the leader can renew its lease, but its reads are not answered, and the controller that confirmed a
// cancellation is down. World checks that the cancelled tasks end within the deadline.
func TestRenewedLeaderWithBlockedReadsStopsCancelledTasks(t *testing.T) {
	w := newVotingTestWorld(t, 2, 4)
	spec := newJob(model.Array, 2, nil)
	startJobs(t, w, spec)
	leader, confirmer := w.Leader(), nonLeader(w, w.Leader())
	leader.StateUnreachable = true
	w.Advance(300 * time.Millisecond)
	cancelJobs(t, w, confirmer, spec)
	confirmer.Crash()
	w.State.SetDown(true)
	w.Advance(10 * second)
	leader.StateUnreachable, leader.ReadsBlocked = false, true
	w.State.SetDown(false)
	w.Advance(2 * w.CancelDeadline)
}

// Heartbeats of the workers reach the leader, but its responses do not reach the workers. The cancelled tasks end when
// the workers' leases expire.
func TestCancelledTaskOnInboundBlockedWorkerStopsByLease(t *testing.T) {
	w := newVotingTestWorld(t, 3, 1)
	spec := newJob(model.Array, 2, nil)
	startJobs(t, w, spec)
	leader := w.Leader()
	leader.StateUnreachable = true
	for _, worker := range w.Workers {
		worker.InboundBlocked = true
	}
	cancelJobs(t, w, nonLeader(w, leader), spec)
	w.Advance(100 * time.Millisecond)
	w.State.SetDown(true)
	w.Advance(2 * w.CancelDeadline)
	if activeTasks(w, spec) != 0 {
		t.Error("the cancelled job still has active tasks")
	}
}

// The leader learns of a cancellation from another controller and reads the older change that created the job only
// afterwards. The older change must not make the job active again.
func TestStaleChangePageDoesNotReviveCancelledJob(t *testing.T) {
	w := newVotingTestWorld(t, 2, 4)
	leader, confirmer := w.Leader(), nonLeader(w, w.Leader())
	leader.StateUnreachable = true
	spec := newJob(model.Array, 2, nil)
	if err := w.Submit(confirmer, spec); err != nil {
		t.Fatal(err)
	}
	cancelJobs(t, w, confirmer, spec)
	known := leader.cancellationCursors[confirmer.Member]
	leader.Jobs.ApplyCancellations(confirmer.Jobs.CancellationsAfter(leader.Jobs.Revision(), known).Cancelled)
	leader.StateUnreachable = false
	if err := leader.Jobs.ApplyNewChanges(context.Background()); err != nil {
		t.Fatal(err)
	}
	w.Advance(10 * second)
	if startCount(w, spec) > 0 {
		t.Error("the cancelled job was started")
	}
}

// Users cancel an unknown job, a done job and an open job while there is no fault, while the leader cannot reach the
// state service, and in an outage. Each answer has to follow the protocol. A controller that cannot reach the state
// service may answer from its cache, and otherwise returns an error.
func TestCancelAnswersFollowProtocolInEveryPhase(t *testing.T) {
	w := newVotingTestWorld(t, 3, 4)
	w.RunTime = 3 * second
	doneJob, openJob := newJob(model.Array, 1, nil), newJob(model.Service, 1, nil)
	startJobs(t, w, openJob)
	submitJob(t, w, doneJob)
	waitUntil(t, w, 60*second, "the array job is done", jobDone(t, w, doneJob))
	leader := w.Leader()
	w.Specs["wk-999999"] = doneJob // World needs a spec for each ID whose answers it checks
	for _, beginFault := range []func(){
		func() {},
		func() { leader.StateUnreachable = true },
		func() { w.State.SetDown(true) },
	} {
		beginFault()
		w.Advance(300 * time.Millisecond)
		for _, c := range w.Controllers {
			stateReachable := !c.StateUnreachable && !w.State.Down
			if record, err := w.Cancel(c, "wk-999999"); stateReachable != (err == nil) || record.State != wire.StateUnknown {
				t.Errorf("cancellation of an unknown job at %s: got %v, %v, want unknown, and an error only if it cannot be read",
					c.Member, record.State, err)
			}
			if record, err := w.Cancel(c, doneJob.ID); err != nil || record.State != wire.StateDone {
				t.Errorf("cancellation of a done job at %s: got %v, %v, want done", c.Member, record.State, err)
			}
			if record, err := w.Cancel(c, openJob.ID); err == nil && record.State != wire.StateCancelled ||
				stateReachable && err != nil {
				t.Errorf("cancellation of an open job at %s: got %v, %v, want cancelled", c.Member, record.State, err)
			}
		}
	}
	if record, err := w.Cancel(leader, openJob.ID); err != nil || record.State != wire.StateCancelled {
		t.Errorf("repeated cancellation at the leader in the outage: got %v, %v, want cancelled", record.State, err)
	}
	w.Advance(2 * w.CancelDeadline)
}

// Jobs whose tasks outlast the scenario are cancelled under random outages, partitions and crashes. The environment
// variable CANCEL_PLAYS sets the number of seeds, for long manual runs.
func TestRandomCancellationsTakeEffectInTime(t *testing.T) {
	seedCount, _ := strconv.Atoi(os.Getenv("CANCEL_PLAYS"))
	if seedCount == 0 {
		seedCount = 40
	}
	confirmed := 0
	for seed := range seedCount {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { confirmed += runRandomCancellations(t, uint64(seed)) })
	}
	if confirmed < seedCount {
		t.Errorf("confirmed cancellations: got %d with %d seeds, want at least one per seed on average", confirmed, seedCount)
	}
}

// runRandomCancellations runs the scenario with one seed and returns the number of confirmed cancellations. Once all
// faults have ended, the jobs that were not cancelled have to be active.
func runRandomCancellations(t *testing.T, seed uint64) (confirmed int) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 1))
	w := newVotingTestWorld(t, []int{2, 3, 3, 5}[random.IntN(4)], 4)
	var openJobs []*model.Spec
	for range 5 {
		shape := []model.Shape{model.Array, model.Gang}[random.IntN(2)]
		openJobs = append(openJobs, newJob(shape, 1+random.IntN(2), func(spec *model.Spec) {
			if random.IntN(2) == 0 {
				spec.CheckpointInterval, spec.CheckpointTime = second, 6*second
			}
		}))
	}
	for _, spec := range openJobs {
		submitJob(t, w, spec)
	}
	w.Advance(20 * second)
	workerNames := w.WorkerNames()
	for range 12 + random.IntN(12) {
		c := w.Controllers[random.IntN(len(w.Controllers))]
		if leader := w.Leader(); leader != nil && random.IntN(2) == 0 {
			c = leader
		}
		if !toggleRandomFault(w, random, c, workerNames) && len(openJobs) > 0 && c.Up {
			if _, err := w.Cancel(c, openJobs[0].ID); err == nil {
				openJobs, confirmed = openJobs[1:], confirmed+1
			}
		}
		pause := time.Duration(random.IntN(2000)) * time.Millisecond
		if random.IntN(6) == 0 {
			pause = time.Duration(random.IntN(30)) * second
		}
		w.Advance(pause)
	}
	w.Advance(w.CancelDeadline) // the deadline also holds while faults last
	w.State.SetDown(false)
	restoreControllers(w)
	for _, worker := range w.Workers {
		worker.InboundBlocked = false
	}
	w.Advance(2 * w.CancelDeadline)
	for _, spec := range openJobs {
		if activeTasks(w, spec) == 0 {
			t.Errorf("seed %d: job %s was not cancelled, but has no active tasks", seed, spec.ID)
		}
	}
	return confirmed
}

// toggleRandomFault draws a fault of the controller, of the state service or of one of the named workers, and begins
// or ends it. It returns false if it has drawn no fault.
func toggleRandomFault(w *World, random *rand.Rand, c *Controller, workerNames []string) bool {
	switch random.IntN(15) {
	case 0, 1, 2:
		c.StateUnreachable = !c.StateUnreachable
	case 3:
		c.ReadsBlocked = !c.ReadsBlocked
	case 4:
		c.PeersUnreachable = !c.PeersUnreachable
	case 5:
		restartController(c)
	case 6:
		if c.Up {
			c.Crash()
		} else {
			c.Start()
		}
	case 7, 8:
		w.State.SetDown(!w.State.Down)
	case 9:
		if worker := w.Workers[workerNames[random.IntN(len(workerNames))]]; worker != nil {
			worker.InboundBlocked = !worker.InboundBlocked
		}
	default:
		return false
	}
	return true
}
