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

// The operators' first meeting: the state service refuses the leader alone, another member tells
// users that their jobs are cancelled, then the state service is down for all. The world checks
// that nothing of a cancelled job is on a machine CancelIn after its user was told.

// newVotingMembers is a deployment of so many members that promise, with tasks that outlast everything.
func newVotingMembers(t *testing.T, n, machines int) *World {
	t.Helper()
	w := newTestWorldOf(n, machines, 4)
	w.RunTime = time.Hour
	for _, c := range w.Controllers {
		c.electionSettings.VoteDuration, c.electionSettings.OutageVoteDuration = c.electionSettings.LeaseDuration*7/8, 10*second
		c.Crash()
		c.Start()
	}
	t.Cleanup(func() {
		for _, b := range w.Violations {
			t.Errorf("broken: %s", b)
		}
	})
	waitUntil(t, w, 20*second, "somebody leads", func() bool { return w.Leader() != nil })
	return w
}

// startJobs has jobs run.
func startJobs(t *testing.T, w *World, jobs ...*model.Spec) {
	t.Helper()
	for _, s := range jobs {
		submitJob(t, w, s)
	}
	waitUntil(t, w, 60*second, "all run", func() bool {
		for _, s := range jobs {
			if activeTasks(w, s) < s.Tasks {
				return false
			}
		}
		return true
	})
	w.Advance(2 * second)
}

// nonLeader is a member that does not lead.
func nonLeader(w *World, leader *Controller) *Controller {
	for _, c := range w.Controllers {
		if c != leader {
			return c
		}
	}
	return nil
}

// restartController ends a controller, which is back at once, without memory.
func restartController(c *Controller) {
	c.Crash()
	c.Start()
}

func cancelJobs(t *testing.T, w *World, c *Controller, jobs ...*model.Spec) {
	t.Helper()
	for _, s := range jobs {
		if _, err := w.Cancel(c, s.ID); err != nil {
			t.Fatal(err)
		}
	}
}

func TestCancelledTasksStopWhenLeaderLosesStateBeforeOutage(t *testing.T) {
	for _, n := range []int{2, 3, 5} {
		for _, ahead := range []time.Duration{second / 2, second, 2 * second, 3 * second, 5 * second, 10 * second} {
			t.Run(fmt.Sprint(n, " members, refused ", ahead, " ahead"), func(t *testing.T) {
				w := newVotingMembers(t, n, 4)
				gone := []*model.Spec{newJob(model.Array, 2, nil), newJob(model.Gang, 2, nil), newJob(model.Array, 1, func(s *model.Spec) { s.CheckpointInterval, s.CheckpointTime = second, 8*second })}
				stays := newJob(model.Service, 2, func(s *model.Spec) { s.Team = "blue" })
				startJobs(t, w, append(gone, stays)...)
				leader := w.Leader()
				leader.StateUnreachable = true
				w.Advance(ahead - ahead/8)
				cancelJobs(t, w, nonLeader(w, leader), gone...)
				w.Advance(ahead / 8)
				w.State.SetDown(true)
				w.Advance(2 * w.CancelDeadline)
				for _, s := range gone {
					if activeTasks(w, s) > 0 {
						t.Errorf("%d tasks of %s run", activeTasks(w, s), s.ID)
					}
				}
				if ahead <= 3*second && (w.Leader() != leader || activeTasks(w, stays) != 2 || w.KilledTasks > 0) {
					t.Errorf("what nobody cancelled was not kept: %d run of 2, %d killed", activeTasks(w, stays), w.KilledTasks)
				}
				w.State.SetDown(false)
				w.Advance(5 * second) // the leader is refused still
				leader.StateUnreachable = false
				waitUntil(t, w, 90*second, "all goes on", func() bool { return w.Leader() != nil && activeTasks(w, stays) == 2 })
				w.Advance(w.CancelDeadline)
			})
		}
	}
}

// The state service answers slowly, up to seconds late, while users cancel; then it refuses the leader, or
// leaders change. Whatever was told is gone in time, and what nobody has cancelled runs in the end.
func TestCancelledTasksStopUnderSlowStateService(t *testing.T) {
	for _, most := range []time.Duration{second / 2, second, 2500 * time.Millisecond} {
		for _, then := range []string{"nothing", "it refuses the leader and then everybody", "the leader ends", "it is out"} {
			t.Run(fmt.Sprint(most, ", ", then), func(t *testing.T) {
				r := rand.New(rand.NewPCG(4, 4))
				w := newVotingMembers(t, 3, 4)
				w.PollOnCommit = true
				gone, stays := []*model.Spec{newJob(model.Array, 2, nil), newJob(model.Gang, 2, nil)}, newJob(model.Service, 2, nil)
				startJobs(t, w, append(gone, stays)...)
				w.StateLatency = func() time.Duration { return time.Duration(r.Int64N(int64(most))) }
				w.Advance(10 * second)
				l := w.Leader()
				for l == nil {
					w.Advance(100 * time.Millisecond)
					l = w.Leader()
				}
				if then == "it refuses the leader and then everybody" {
					l.StateUnreachable = true
				}
				cancelJobs(t, w, nonLeader(w, l), gone...)
				w.Advance(second)
				switch then {
				case "the leader ends":
					restartController(l)
				case "nothing":
				default:
					w.State.SetDown(true)
				}
				w.Advance(2 * w.CancelDeadline)
				l.StateUnreachable = false
				w.State.SetDown(false)
				w.Advance(w.CancelDeadline)
				w.StateLatency = nil
				w.MarkFaultsEnded()
				waitUntil(t, w, 90*second, "what nobody cancelled runs", func() bool { return activeTasks(w, stays) == 2 })
				for _, s := range gone {
					if activeTasks(w, s) > 0 {
						t.Errorf("%s runs", s.ID)
					}
				}
			})
		}
	}
}

// The leader's own user was told, and the outage for all begins before any change has come by a watch.
func TestLeaderAppliesItsOwnCancellationInOutage(t *testing.T) {
	w := newVotingMembers(t, 3, 4)
	s := newJob(model.Array, 2, nil)
	startJobs(t, w, s)
	leader := w.Leader()
	cancelJobs(t, w, leader, s)
	w.State.SetDown(true)
	w.Advance(2 * w.CancelDeadline)
	if w.Leader() != leader {
		t.Error("the leader has not outlived the outage: the story is about one that does")
	}
}

// Those who have told users of it end and are back at once, with the records of after it and no memory
// of what they told.
func TestCancellationSurvivesRestartOfConfirmingMember(t *testing.T) {
	for _, n := range []int{2, 3} {
		w := newVotingMembers(t, n, 4)
		s, stays := newJob(model.Array, 2, nil), newJob(model.Service, 2, nil)
		startJobs(t, w, s, stays)
		leader := w.Leader()
		leader.StateUnreachable = true
		w.Advance(200 * time.Millisecond)
		cancelJobs(t, w, nonLeader(w, leader), s)
		for _, c := range w.Controllers {
			if c != leader {
				restartController(c)
			}
		}
		w.Advance(300 * time.Millisecond)
		w.State.SetDown(true)
		w.Advance(2 * w.CancelDeadline)
		if activeTasks(w, s) != 0 || activeTasks(w, stays) != 2 || w.KilledTasks > 0 {
			t.Errorf("%d members: %d cancelled tasks run, %d replicas, %d killed", n, activeTasks(w, s), activeTasks(w, stays), w.KilledTasks)
		}
	}
}

// More cancellations than one word holds cost nobody else a lease.
func TestManyCancellationsReachLeaderWithoutKillingTasks(t *testing.T) {
	w := newVotingMembers(t, 3, 4)
	stays := newJob(model.Service, 2, nil)
	gone := newJob(model.Array, 2, func(s *model.Spec) { s.Team = "blue" })
	startJobs(t, w, stays, gone)
	leader := w.Leader()
	var many []*model.Spec
	for range 600 {
		s := newJob(model.Array, 1, func(s *model.Spec) { s.Team = "blue" })
		submitJob(t, w, s)
		many = append(many, s)
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

// The lease is renewed and the records are not read, while one member is gone: nobody else can tell the leader.
func TestLeaderThatCannotReadChangesIsReplaced(t *testing.T) {
	w := newVotingMembers(t, 3, 4)
	s := newJob(model.Array, 2, nil)
	startJobs(t, w, s)
	leader := w.Leader()
	teller := nonLeader(w, leader)
	leader.ReadsBlocked = true
	w.Advance(200 * time.Millisecond)
	cancelJobs(t, w, teller, s)
	teller.Crash()
	w.Advance(w.CancelDeadline)
	if l := w.Leader(); l == nil || l == leader {
		t.Error("nobody else leads in the place of one that knows nothing")
	}
	w.Advance(w.CancelDeadline)
}

// The outage is over, the leader's lease is renewed, and its reads take for ever.
func TestRenewedLeaderWithBlockedReadsStopsCancelledTasks(t *testing.T) {
	w := newVotingMembers(t, 2, 4)
	s := newJob(model.Array, 2, nil)
	startJobs(t, w, s)
	leader, teller := w.Leader(), nonLeader(w, w.Leader())
	leader.StateUnreachable = true
	w.Advance(300 * time.Millisecond)
	cancelJobs(t, w, teller, s)
	teller.Crash()
	w.State.SetDown(true)
	w.Advance(10 * second)
	leader.StateUnreachable, leader.ReadsBlocked = false, true
	w.State.SetDown(false)
	w.Advance(2 * w.CancelDeadline)
}

// A machine that hears nothing is stopped by its lease, though its reports are answered.
func TestCancelledTaskOnInboundBlockedWorkerStopsByLease(t *testing.T) {
	w := newVotingMembers(t, 3, 1)
	s := newJob(model.Array, 2, nil)
	startJobs(t, w, s)
	leader := w.Leader()
	leader.StateUnreachable = true
	for _, k := range w.Workers {
		k.InboundBlocked = true
	}
	cancelJobs(t, w, nonLeader(w, leader), s)
	w.Advance(100 * time.Millisecond)
	w.State.SetDown(true)
	w.Advance(2 * w.CancelDeadline)
	if activeTasks(w, s) != 0 {
		t.Error("it runs")
	}
}

// A page of changes from before a cancellation that the leader was told of does not bring the job back.
func TestStaleChangePageDoesNotReviveCancelledJob(t *testing.T) {
	w := newVotingMembers(t, 2, 4)
	leader, teller := w.Leader(), nonLeader(w, w.Leader())
	leader.StateUnreachable = true
	s := newJob(model.Array, 2, nil)
	if err := w.Submit(teller, s); err != nil {
		t.Fatal(err)
	}
	cancelJobs(t, w, teller, s)
	leader.Jobs.ApplyCancellations(teller.Jobs.CancellationsAfter(leader.Jobs.Revision(), leader.acknowledgedBy[teller.Member]).Cancelled)
	leader.StateUnreachable = false
	if err := leader.Jobs.CatchUp(context.Background()); err != nil {
		t.Fatal(err)
	}
	w.Advance(10 * second)
	if startCount(w, s) > 0 {
		t.Error("it was started")
	}
}

// Users cancel what is unknown, done or cancelled, while all is well, while the leader is refused, and in the
// outage: each gets the protocol's answer, or is told to come back.
func TestCancelAnswersFollowProtocolInEveryPhase(t *testing.T) {
	w := newVotingMembers(t, 3, 4)
	w.RunTime = 3 * second
	over, open := newJob(model.Array, 1, nil), newJob(model.Service, 1, nil)
	startJobs(t, w, open)
	submitJob(t, w, over)
	waitUntil(t, w, 60*second, "one is done", jobDone(t, w, over))
	leader := w.Leader()
	w.Specs["wk-999999"] = over
	for _, phase := range []func(){func() {}, func() { leader.StateUnreachable = true }, func() { w.State.SetDown(true) }} {
		phase()
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

// Refusals, outages, cuts, crashes and cancellations with tasks that outlast them, drawn by seeds.
// CANCEL_PLAYS sets how many, for a long run by hand.
func TestRandomCancellationsTakeEffectInTime(t *testing.T) {
	plays, _ := strconv.Atoi(os.Getenv("CANCEL_PLAYS"))
	if plays == 0 {
		plays = 40
	}
	told := 0
	for seed := range plays {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { told += playRandomCancellations(t, uint64(seed)) })
	}
	if told < plays {
		t.Errorf("only %d cancellations in %d plays", told, plays)
	}
}

// playRandomCancellations plays one seed, and tells how many cancellations users were told of.
func playRandomCancellations(t *testing.T, seed uint64) (told int) {
	r := rand.New(rand.NewPCG(seed, 1))
	w := newVotingMembers(t, []int{2, 3, 3, 5}[r.IntN(4)], 4)
	var open []*model.Spec
	for range 5 {
		open = append(open, newJob([]model.Shape{model.Array, model.Gang}[r.IntN(2)], 1+r.IntN(2), func(s *model.Spec) {
			if r.IntN(2) == 0 {
				s.CheckpointInterval, s.CheckpointTime = second, 6*second
			}
		}))
	}
	for _, s := range open {
		submitJob(t, w, s)
	}
	w.Advance(20 * second)
	names := w.WorkerNames()
	for range 12 + r.IntN(12) {
		c := w.Controllers[r.IntN(len(w.Controllers))]
		if l := w.Leader(); l != nil && r.IntN(2) == 0 {
			c = l
		}
		switch r.IntN(15) {
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
			k := w.Workers[names[r.IntN(len(names))]]
			if k != nil {
				k.InboundBlocked = !k.InboundBlocked
			}
		default:
			if len(open) > 0 && c.Up {
				if _, err := w.Cancel(c, open[0].ID); err == nil {
					open, told = open[1:], told+1
				}
			}
		}
		pause := time.Duration(r.IntN(2000)) * time.Millisecond
		if r.IntN(6) == 0 {
			pause = time.Duration(r.IntN(30)) * second
		}
		w.Advance(pause)
	}
	w.Advance(w.CancelDeadline) // as it stands
	w.State.SetDown(false)
	for _, c := range w.Controllers {
		if c.StateUnreachable, c.ReadsBlocked, c.PeersUnreachable = false, false, false; !c.Up {
			c.Start()
		}
	}
	for _, n := range names {
		if k := w.Workers[n]; k != nil {
			k.InboundBlocked = false
		}
	}
	w.Advance(2 * w.CancelDeadline)
	for _, s := range open {
		if activeTasks(w, s) == 0 {
			t.Errorf("seed %d: %s, which nobody cancelled, does not run", seed, s.ID)
		}
	}
	return told
}
