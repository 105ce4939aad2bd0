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

func TestCancelledTasksStopWhenLeaderLosesStateBeforeOutage(t *testing.T) {
	for _, n := range []int{2, 3, 5} {
		for _, ahead := range []time.Duration{second / 2, second, 2 * second, 3 * second, 5 * second, 10 * second} {
			t.Run(fmt.Sprint(n, " members, refused ", ahead, " ahead"), func(t *testing.T) {
				w := newVotingMembers(t, n, 4)
				checkpointing := newJob(model.Array, 1, func(spec *model.Spec) {
					spec.CheckpointInterval, spec.CheckpointTime = second, 8*second
				})
				gone := []*model.Spec{newJob(model.Array, 2, nil), newJob(model.Gang, 2, nil), checkpointing}
				stays := newJob(model.Service, 2, func(spec *model.Spec) { spec.Team = "blue" })
				startJobs(t, w, append(gone, stays)...)
				leader := w.Leader()
				leader.StateUnreachable = true
				w.Advance(ahead - ahead/8)
				cancelJobs(t, w, nonLeader(w, leader), gone...)
				w.Advance(ahead / 8)
				w.State.SetDown(true)
				w.Advance(2 * w.CancelDeadline)
				for _, spec := range gone {
					if activeTasks(w, spec) > 0 {
						t.Errorf("%d tasks of %s run", activeTasks(w, spec), spec.ID)
					}
				}
				if ahead <= 3*second && (w.Leader() != leader || activeTasks(w, stays) != 2 || w.KilledTasks > 0) {
					t.Errorf("the job that was not cancelled: %d of 2 tasks run, %d were killed", activeTasks(w, stays), w.KilledTasks)
				}
				w.State.SetDown(false)
				w.Advance(5 * second) // the leader still does not reach the state service
				leader.StateUnreachable = false
				waitUntil(t, w, 90*second, "all goes on", func() bool { return w.Leader() != nil && activeTasks(w, stays) == 2 })
				w.Advance(w.CancelDeadline)
			})
		}
	}
}

// The state service answers up to seconds late while users cancel; then it refuses the leader, or leaders change.
// Every confirmed cancellation takes effect in time, and what was not cancelled runs in the end.
func TestCancelledTasksStopUnderSlowStateService(t *testing.T) {
	for _, most := range []time.Duration{second / 2, second, 2500 * time.Millisecond} {
		for _, then := range []string{"nothing", "it refuses the leader and then everybody", "the leader ends", "it is out"} {
			t.Run(fmt.Sprint(most, ", ", then), func(t *testing.T) {
				random := rand.New(rand.NewPCG(4, 4))
				w := newVotingMembers(t, 3, 4)
				w.PollOnCommit = true
				gone, stays := []*model.Spec{newJob(model.Array, 2, nil), newJob(model.Gang, 2, nil)}, newJob(model.Service, 2, nil)
				startJobs(t, w, append(gone, stays)...)
				w.StateLatency = func() time.Duration { return time.Duration(random.Int64N(int64(most))) }
				w.Advance(10 * second)
				leader := w.Leader()
				for leader == nil {
					w.Advance(100 * time.Millisecond)
					leader = w.Leader()
				}
				if then == "it refuses the leader and then everybody" {
					leader.StateUnreachable = true
				}
				cancelJobs(t, w, nonLeader(w, leader), gone...)
				w.Advance(second)
				switch then {
				case "the leader ends":
					restartController(leader)
				case "nothing":
				default:
					w.State.SetDown(true)
				}
				w.Advance(2 * w.CancelDeadline)
				leader.StateUnreachable = false
				w.State.SetDown(false)
				w.Advance(w.CancelDeadline)
				w.StateLatency = nil
				w.MarkFaultsEnded()
				waitUntil(t, w, 90*second, "the job that was not cancelled runs", func() bool { return activeTasks(w, stays) == 2 })
				for _, spec := range gone {
					if activeTasks(w, spec) > 0 {
						t.Errorf("%s runs", spec.ID)
					}
				}
			})
		}
	}
}

// The leader has confirmed a cancellation itself, and an outage begins before it has read the change.
func TestLeaderAppliesItsOwnCancellationInOutage(t *testing.T) {
	w := newVotingMembers(t, 3, 4)
	spec := newJob(model.Array, 2, nil)
	startJobs(t, w, spec)
	leader := w.Leader()
	cancelJobs(t, w, leader, spec)
	w.State.SetDown(true)
	w.Advance(2 * w.CancelDeadline)
	if w.Leader() != leader {
		t.Error("the leader has lost its leadership in the outage, which the scenario needs it to outlive")
	}
}

// The members that have confirmed a cancellation restart: they have its record, and no memory that they confirmed it.
func TestCancellationSurvivesRestartOfConfirmingMember(t *testing.T) {
	for _, n := range []int{2, 3} {
		w := newVotingMembers(t, n, 4)
		spec, stays := newJob(model.Array, 2, nil), newJob(model.Service, 2, nil)
		startJobs(t, w, spec, stays)
		leader := w.Leader()
		leader.StateUnreachable = true
		w.Advance(200 * time.Millisecond)
		cancelJobs(t, w, nonLeader(w, leader), spec)
		for _, c := range w.Controllers {
			if c != leader {
				restartController(c)
			}
		}
		w.Advance(300 * time.Millisecond)
		w.State.SetDown(true)
		w.Advance(2 * w.CancelDeadline)
		if activeTasks(w, spec) != 0 || activeTasks(w, stays) != 2 || w.KilledTasks > 0 {
			t.Errorf("%d members: %d cancelled tasks run, %d replicas, %d killed",
				n, activeTasks(w, spec), activeTasks(w, stays), w.KilledTasks)
		}
	}
}

// More cancellations than one vote carries do not cost other jobs their leases.
func TestManyCancellationsReachLeaderWithoutKillingTasks(t *testing.T) {
	w := newVotingMembers(t, 3, 4)
	stays := newJob(model.Service, 2, nil)
	gone := newJob(model.Array, 2, func(spec *model.Spec) { spec.Team = "blue" })
	startJobs(t, w, stays, gone)
	leader := w.Leader()
	var many []*model.Spec
	for range 600 {
		spec := newJob(model.Array, 1, func(spec *model.Spec) { spec.Team = "blue" })
		submitJob(t, w, spec)
		many = append(many, spec)
	}
	w.Advance(second)
	leader.StateUnreachable = true
	w.Advance(200 * time.Millisecond)
	cancelJobs(t, w, nonLeader(w, leader), append(many, gone)...)
	w.Advance(100 * time.Millisecond)
	w.State.SetDown(true)
	waitUntil(t, w, 8*second, "the leader knows of all", func() bool { return activeTasks(w, gone) == 0 })
	w.Advance(2 * w.CancelDeadline)
	if w.Leader() != leader || activeTasks(w, stays) != 2 || w.KilledTasks > 0 {
		t.Errorf("%d replicas run, %d killed", activeTasks(w, stays), w.KilledTasks)
	}
}

// The leader renews its lease and cannot read the records, and the member that knows of a cancellation is down.
func TestLeaderThatCannotReadChangesIsReplaced(t *testing.T) {
	w := newVotingMembers(t, 3, 4)
	spec := newJob(model.Array, 2, nil)
	startJobs(t, w, spec)
	leader := w.Leader()
	teller := nonLeader(w, leader)
	leader.ReadsBlocked = true
	w.Advance(200 * time.Millisecond)
	cancelJobs(t, w, teller, spec)
	teller.Crash()
	w.Advance(w.CancelDeadline)
	if current := w.Leader(); current == nil || current == leader {
		t.Error("the leader that cannot read the records was not replaced")
	}
	w.Advance(w.CancelDeadline)
}

// After an outage the leader's lease is renewed, while its reads are not answered.
func TestRenewedLeaderWithBlockedReadsStopsCancelledTasks(t *testing.T) {
	w := newVotingMembers(t, 2, 4)
	spec := newJob(model.Array, 2, nil)
	startJobs(t, w, spec)
	leader, teller := w.Leader(), nonLeader(w, w.Leader())
	leader.StateUnreachable = true
	w.Advance(300 * time.Millisecond)
	cancelJobs(t, w, teller, spec)
	teller.Crash()
	w.State.SetDown(true)
	w.Advance(10 * second)
	leader.StateUnreachable, leader.ReadsBlocked = false, true
	w.State.SetDown(false)
	w.Advance(2 * w.CancelDeadline)
}

// A worker that receives no answers is stopped by its lease, although its heartbeats are answered.
func TestCancelledTaskOnInboundBlockedWorkerStopsByLease(t *testing.T) {
	w := newVotingMembers(t, 3, 1)
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
		t.Error("the cancelled task runs")
	}
}

// Changes from before a cancellation that the leader has learned from a peer do not revive the job.
func TestStaleChangePageDoesNotReviveCancelledJob(t *testing.T) {
	w := newVotingMembers(t, 2, 4)
	leader, teller := w.Leader(), nonLeader(w, w.Leader())
	leader.StateUnreachable = true
	spec := newJob(model.Array, 2, nil)
	if err := w.Submit(teller, spec); err != nil {
		t.Fatal(err)
	}
	cancelJobs(t, w, teller, spec)
	known := leader.acknowledgedBy[teller.Member]
	leader.Jobs.ApplyCancellations(teller.Jobs.CancellationsAfter(leader.Jobs.Revision(), known).Cancelled)
	leader.StateUnreachable = false
	if err := leader.Jobs.CatchUp(context.Background()); err != nil {
		t.Fatal(err)
	}
	w.Advance(10 * second)
	if startCount(w, spec) > 0 {
		t.Error("the cancelled job was started")
	}
}

// Users cancel jobs that are unknown, done or cancelled, without a fault, while the leader does not reach the state
// service, and in an outage: each gets the protocol's answer, or an error.
func TestCancelAnswersFollowProtocolInEveryPhase(t *testing.T) {
	w := newVotingMembers(t, 3, 4)
	w.RunTime = 3 * second
	over, open := newJob(model.Array, 1, nil), newJob(model.Service, 1, nil)
	startJobs(t, w, open)
	submitJob(t, w, over)
	waitUntil(t, w, 60*second, "one is done", jobDone(t, w, over))
	leader := w.Leader()
	w.Specs["wk-999999"] = over
	for _, beginFault := range []func(){
		func() {},
		func() { leader.StateUnreachable = true },
		func() { w.State.SetDown(true) },
	} {
		beginFault()
		w.Advance(300 * time.Millisecond)
		for _, c := range w.Controllers {
			served := !c.StateUnreachable && !w.State.Down
			if v, err := w.Cancel(c, "wk-999999"); served != (err == nil) || v.State != wire.StateUnknown {
				t.Errorf("unknown at %s: %v, %v", c.Member, v.State, err)
			}
			if v, err := w.Cancel(c, over.ID); err != nil || v.State != wire.StateDone {
				t.Errorf("done at %s: %v, %v", c.Member, v.State, err)
			}
			if v, err := w.Cancel(c, open.ID); err == nil && v.State != wire.StateCancelled || served && err != nil {
				t.Errorf("open at %s: %v, %v", c.Member, v.State, err)
			}
		}
	}
	if v, err := w.Cancel(leader, open.ID); err != nil || v.State != wire.StateCancelled {
		t.Errorf("cancelled, in the outage at the leader: %v, %v", v.State, err)
	}
	w.Advance(2 * w.CancelDeadline)
}

// Random refusals, outages, partitions, crashes and cancellations with tasks that outlast them. CANCEL_PLAYS sets the
// number of seeds, for a long run by hand.
func TestRandomCancellationsTakeEffectInTime(t *testing.T) {
	plays, _ := strconv.Atoi(os.Getenv("CANCEL_PLAYS"))
	if plays == 0 {
		plays = 40
	}
	confirmed := 0
	for seed := range plays {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { confirmed += playRandomCancellations(t, uint64(seed)) })
	}
	if confirmed < plays {
		t.Errorf("only %d cancellations in %d plays", confirmed, plays)
	}
}

// playRandomCancellations plays one seed and counts the cancellations that were confirmed.
func playRandomCancellations(t *testing.T, seed uint64) (confirmed int) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 1))
	w := newVotingMembers(t, []int{2, 3, 3, 5}[random.IntN(4)], 4)
	var open []*model.Spec
	for range 5 {
		shape := []model.Shape{model.Array, model.Gang}[random.IntN(2)]
		open = append(open, newJob(shape, 1+random.IntN(2), func(spec *model.Spec) {
			if random.IntN(2) == 0 {
				spec.CheckpointInterval, spec.CheckpointTime = second, 6*second
			}
		}))
	}
	for _, spec := range open {
		submitJob(t, w, spec)
	}
	w.Advance(20 * second)
	names := w.WorkerNames()
	for range 12 + random.IntN(12) {
		c := w.Controllers[random.IntN(len(w.Controllers))]
		if leader := w.Leader(); leader != nil && random.IntN(2) == 0 {
			c = leader
		}
		if !toggleRandomFault(w, random, c, names) && len(open) > 0 && c.Up {
			if _, err := w.Cancel(c, open[0].ID); err == nil {
				open, confirmed = open[1:], confirmed+1
			}
		}
		pause := time.Duration(random.IntN(2000)) * time.Millisecond
		if random.IntN(6) == 0 {
			pause = time.Duration(random.IntN(30)) * second
		}
		w.Advance(pause)
	}
	w.Advance(w.CancelDeadline) // with whatever faults there are
	w.State.SetDown(false)
	restoreControllers(w)
	for _, worker := range w.Workers {
		worker.InboundBlocked = false
	}
	w.Advance(2 * w.CancelDeadline)
	for _, spec := range open {
		if activeTasks(w, spec) == 0 {
			t.Errorf("seed %d: %s, which was not cancelled, does not run", seed, spec.ID)
		}
	}
	return confirmed
}

// toggleRandomFault begins or ends a fault of a controller, the state service or one of some workers. It is false where
// it has drawn none.
func toggleRandomFault(w *World, random *rand.Rand, c *Controller, names []string) bool {
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
		if worker := w.Workers[names[random.IntN(len(names))]]; worker != nil {
			worker.InboundBlocked = !worker.InboundBlocked
		}
	default:
		return false
	}
	return true
}
