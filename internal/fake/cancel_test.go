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

// members is a deployment of so many members that promise, with tasks that outlast everything.
func members(t *testing.T, n, machines int) *World {
	t.Helper()
	w := worldOf(n, machines, 4)
	w.Run = time.Hour
	for _, c := range w.Controllers {
		c.esets.VoteDuration, c.esets.OutageVoteDuration = c.esets.LeaseDuration*7/8, 10*second
		c.Crash()
		c.Start()
	}
	t.Cleanup(func() {
		for _, b := range w.Broken {
			t.Errorf("broken: %s", b)
		}
	})
	until(t, w, 20*second, "somebody leads", func() bool { return w.Leader() != nil })
	return w
}

// running has jobs run.
func running(t *testing.T, w *World, jobs ...*model.Spec) {
	t.Helper()
	for _, s := range jobs {
		submit(t, w, s)
	}
	until(t, w, 60*second, "all run", func() bool {
		for _, s := range jobs {
			if on(w, s) < s.Tasks {
				return false
			}
		}
		return true
	})
	w.Pass(2 * second)
}

// other is a member that does not lead.
func other(w *World, leader *Controller) *Controller {
	for _, c := range w.Controllers {
		if c != leader {
			return c
		}
	}
	return nil
}

// blink ends a controller, which is back at once, without memory.
func blink(c *Controller) {
	c.Crash()
	c.Start()
}

func tell(t *testing.T, w *World, c *Controller, jobs ...*model.Spec) {
	t.Helper()
	for _, s := range jobs {
		if _, err := w.Cancel(c, s.ID); err != nil {
			t.Fatal(err)
		}
	}
}

func TestARefusedLeaderAndThenAnOutageForAll(t *testing.T) {
	for _, n := range []int{2, 3, 5} {
		for _, ahead := range []time.Duration{second / 2, second, 2 * second, 3 * second, 5 * second, 10 * second} {
			t.Run(fmt.Sprint(n, " members, refused ", ahead, " ahead"), func(t *testing.T) {
				w := members(t, n, 4)
				gone := []*model.Spec{job(model.Array, 2, nil), job(model.Gang, 2, nil), job(model.Array, 1, func(s *model.Spec) { s.CheckpointInterval, s.CheckpointTime = second, 8*second })}
				stays := job(model.Service, 2, func(s *model.Spec) { s.Team = "blue" })
				running(t, w, append(gone, stays)...)
				leader := w.Leader()
				leader.NoNet = true
				w.Pass(ahead - ahead/8)
				tell(t, w, other(w, leader), gone...)
				w.Pass(ahead / 8)
				w.State.SetDown(true)
				w.Pass(2 * w.CancelIn)
				for _, s := range gone {
					if on(w, s) > 0 {
						t.Errorf("%d tasks of %s run", on(w, s), s.ID)
					}
				}
				if ahead <= 3*second && (w.Leader() != leader || on(w, stays) != 2 || w.Killed > 0) {
					t.Errorf("what nobody cancelled was not kept: %d run of 2, %d killed", on(w, stays), w.Killed)
				}
				w.State.SetDown(false)
				w.Pass(5 * second) // the leader is refused still
				leader.NoNet = false
				until(t, w, 90*second, "all goes on", func() bool { return w.Leader() != nil && on(w, stays) == 2 })
				w.Pass(w.CancelIn)
			})
		}
	}
}

// The state service answers slowly, up to seconds late, while users cancel; then it refuses the leader, or
// leaders change. Whatever was told is gone in time, and what nobody has cancelled runs in the end.
func TestTheStateServiceAnswersSlowlyWhileUsersCancel(t *testing.T) {
	for _, most := range []time.Duration{second / 2, second, 2500 * time.Millisecond} {
		for _, then := range []string{"nothing", "it refuses the leader and then everybody", "the leader ends", "it is out"} {
			t.Run(fmt.Sprint(most, ", ", then), func(t *testing.T) {
				r := rand.New(rand.NewPCG(4, 4))
				w := members(t, 3, 4)
				w.Looks = true
				gone, stays := []*model.Spec{job(model.Array, 2, nil), job(model.Gang, 2, nil)}, job(model.Service, 2, nil)
				running(t, w, append(gone, stays)...)
				w.Slow = func() time.Duration { return time.Duration(r.Int64N(int64(most))) }
				w.Pass(10 * second)
				l := w.Leader()
				for l == nil {
					w.Pass(100 * time.Millisecond)
					l = w.Leader()
				}
				if then == "it refuses the leader and then everybody" {
					l.NoNet = true
				}
				tell(t, w, other(w, l), gone...)
				w.Pass(second)
				switch then {
				case "the leader ends":
					blink(l)
				case "nothing":
				default:
					w.State.SetDown(true)
				}
				w.Pass(2 * w.CancelIn)
				l.NoNet = false
				w.State.SetDown(false)
				w.Pass(w.CancelIn)
				w.Slow = nil
				w.Calm()
				until(t, w, 90*second, "what nobody cancelled runs", func() bool { return on(w, stays) == 2 })
				for _, s := range gone {
					if on(w, s) > 0 {
						t.Errorf("%s runs", s.ID)
					}
				}
			})
		}
	}
}

// The leader's own user was told, and the outage for all begins before any change has come by a watch.
func TestALeaderKnowsWhatItHasToldItself(t *testing.T) {
	w := members(t, 3, 4)
	s := job(model.Array, 2, nil)
	running(t, w, s)
	leader := w.Leader()
	tell(t, w, leader, s)
	w.State.SetDown(true)
	w.Pass(2 * w.CancelIn)
	if w.Leader() != leader {
		t.Error("the leader has not outlived the outage: the story is about one that does")
	}
}

// Those who have told users of it end and are back at once, with the records of after it and no memory
// of what they told.
func TestMembersThatForgetWhomTheyTold(t *testing.T) {
	for _, n := range []int{2, 3} {
		w := members(t, n, 4)
		s, stays := job(model.Array, 2, nil), job(model.Service, 2, nil)
		running(t, w, s, stays)
		leader := w.Leader()
		leader.NoNet = true
		w.Pass(200 * time.Millisecond)
		tell(t, w, other(w, leader), s)
		for _, c := range w.Controllers {
			if c != leader {
				blink(c)
			}
		}
		w.Pass(300 * time.Millisecond)
		w.State.SetDown(true)
		w.Pass(2 * w.CancelIn)
		if on(w, s) != 0 || on(w, stays) != 2 || w.Killed > 0 {
			t.Errorf("%d members: %d cancelled tasks run, %d replicas, %d killed", n, on(w, s), on(w, stays), w.Killed)
		}
	}
}

// More cancellations than one word holds cost nobody else a lease.
func TestThreeHundredCancellations(t *testing.T) {
	w := members(t, 3, 4)
	stays := job(model.Service, 2, nil)
	gone := job(model.Array, 2, func(s *model.Spec) { s.Team = "blue" })
	running(t, w, stays, gone)
	leader := w.Leader()
	var many []*model.Spec
	for range 600 {
		s := job(model.Array, 1, func(s *model.Spec) { s.Team = "blue" })
		submit(t, w, s)
		many = append(many, s)
	}
	w.Pass(second)
	leader.NoNet = true
	w.Pass(200 * time.Millisecond)
	tell(t, w, other(w, leader), append(many, gone)...)
	w.Pass(100 * time.Millisecond)
	w.State.SetDown(true)
	until(t, w, 8*second, "the leader knows of all", func() bool { return on(w, gone) == 0 })
	w.Pass(2 * w.CancelIn)
	if w.Leader() != leader || on(w, stays) != 2 || w.Killed > 0 {
		t.Errorf("%d replicas run, %d killed", on(w, stays), w.Killed)
	}
}

// The lease is renewed and the records are not read, while one member is gone: nobody else can tell the leader.
func TestALeaderThatIsRenewedAndCannotRead(t *testing.T) {
	w := members(t, 3, 4)
	s := job(model.Array, 2, nil)
	running(t, w, s)
	leader := w.Leader()
	teller := other(w, leader)
	leader.NoRead = true
	w.Pass(200 * time.Millisecond)
	tell(t, w, teller, s)
	teller.Crash()
	w.Pass(w.CancelIn)
	if l := w.Leader(); l == nil || l == leader {
		t.Error("nobody else leads in the place of one that knows nothing")
	}
	w.Pass(w.CancelIn)
}

// The outage is over, the leader's lease is renewed, and its reads take for ever.
func TestTheRightIsBackBeforeTheRecordsAreRead(t *testing.T) {
	w := members(t, 2, 4)
	s := job(model.Array, 2, nil)
	running(t, w, s)
	leader, teller := w.Leader(), other(w, w.Leader())
	leader.NoNet = true
	w.Pass(300 * time.Millisecond)
	tell(t, w, teller, s)
	teller.Crash()
	w.State.SetDown(true)
	w.Pass(10 * second)
	leader.NoNet, leader.NoRead = false, true
	w.State.SetDown(false)
	w.Pass(2 * w.CancelIn)
}

// A machine that hears nothing is stopped by its lease, though its reports are answered.
func TestACancelledTaskOnAMachineThatHearsNothing(t *testing.T) {
	w := members(t, 3, 1)
	s := job(model.Array, 2, nil)
	running(t, w, s)
	leader := w.Leader()
	leader.NoNet = true
	for _, k := range w.Workers {
		k.Deaf = true
	}
	tell(t, w, other(w, leader), s)
	w.Pass(100 * time.Millisecond)
	w.State.SetDown(true)
	w.Pass(2 * w.CancelIn)
	if on(w, s) != 0 {
		t.Error("it runs")
	}
}

// A page of changes from before a cancellation that the leader was told of does not bring the job back.
func TestAnOldPageDoesNotBringBackWhatWasCancelled(t *testing.T) {
	w := members(t, 2, 4)
	leader, teller := w.Leader(), other(w, w.Leader())
	leader.NoNet = true
	s := job(model.Array, 2, nil)
	if err := w.Submit(teller, s); err != nil {
		t.Fatal(err)
	}
	tell(t, w, teller, s)
	leader.Jobs.ApplyCancellations(teller.Jobs.CancellationsAfter(leader.Jobs.Revision(), leader.toldBy[teller.Member]).Cancelled)
	leader.NoNet = false
	if err := leader.Jobs.CatchUp(context.Background()); err != nil {
		t.Fatal(err)
	}
	w.Pass(10 * second)
	if starts(w, s) > 0 {
		t.Error("it was started")
	}
}

// Users cancel what is unknown, done or cancelled, while all is well, while the leader is refused, and in the
// outage: each gets the protocol's answer, or is told to come back.
func TestWhatUsersAreToldOfTheirCancellations(t *testing.T) {
	w := members(t, 3, 4)
	w.Run = 3 * second
	over, open := job(model.Array, 1, nil), job(model.Service, 1, nil)
	running(t, w, open)
	submit(t, w, over)
	until(t, w, 60*second, "one is done", done(t, w, over))
	leader := w.Leader()
	w.Specs["wk-999999"] = over
	for _, phase := range []func(){func() {}, func() { leader.NoNet = true }, func() { w.State.SetDown(true) }} {
		phase()
		w.Pass(300 * time.Millisecond)
		for _, c := range w.Controllers {
			served := !c.NoNet && !w.State.Down
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
	w.Pass(2 * w.CancelIn)
}

// Refusals, outages, cuts, crashes and cancellations with tasks that outlast them, drawn by seeds.
// CANCEL_PLAYS sets how many, for a long run by hand.
func TestDrawnCancellationsAreGoneInTime(t *testing.T) {
	plays, _ := strconv.Atoi(os.Getenv("CANCEL_PLAYS"))
	if plays == 0 {
		plays = 40
	}
	told := 0
	for seed := range plays {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { told += drawn(t, uint64(seed)) })
	}
	if told < plays {
		t.Errorf("only %d cancellations in %d plays", told, plays)
	}
}

// drawn plays one seed, and tells how many cancellations users were told of.
func drawn(t *testing.T, seed uint64) (told int) {
	r := rand.New(rand.NewPCG(seed, 1))
	w := members(t, []int{2, 3, 3, 5}[r.IntN(4)], 4)
	var open []*model.Spec
	for range 5 {
		open = append(open, job([]model.Shape{model.Array, model.Gang}[r.IntN(2)], 1+r.IntN(2), func(s *model.Spec) {
			if r.IntN(2) == 0 {
				s.CheckpointInterval, s.CheckpointTime = second, 6*second
			}
		}))
	}
	for _, s := range open {
		submit(t, w, s)
	}
	w.Pass(20 * second)
	names := w.Names()
	for range 12 + r.IntN(12) {
		c := w.Controllers[r.IntN(len(w.Controllers))]
		if l := w.Leader(); l != nil && r.IntN(2) == 0 {
			c = l
		}
		switch r.IntN(15) {
		case 0, 1, 2:
			c.NoNet = !c.NoNet
		case 3:
			c.NoRead = !c.NoRead
		case 4:
			c.Alone = !c.Alone
		case 5:
			blink(c)
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
				k.Deaf = !k.Deaf
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
		w.Pass(pause)
	}
	w.Pass(w.CancelIn) // as it stands
	w.State.SetDown(false)
	for _, c := range w.Controllers {
		if c.NoNet, c.NoRead, c.Alone = false, false, false; !c.Up {
			c.Start()
		}
	}
	for _, n := range names {
		if k := w.Workers[n]; k != nil {
			k.Deaf = false
		}
	}
	w.Pass(2 * w.CancelIn)
	for _, s := range open {
		if on(w, s) == 0 {
			t.Errorf("seed %d: %s, which nobody cancelled, does not run", seed, s.ID)
		}
	}
	return told
}
