package fake

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/model"
)

// Many changes of leader, with work that outlasts them, jobs that come and are cancelled all along, and machines that
// can't be reached. In the end everything runs, nothing waits for long, and as many machines are there as are needed.

// changes are ways in which the leadership goes to somebody else, or comes back.
var changes = map[string]func(w *World, l *Controller){
	"crashes": func(w *World, l *Controller) {
		l.Crash()
	},
	"is back at once": func(w *World, l *Controller) { blink(l) },
	"hands over":      func(w *World, l *Controller) { w.Elect(l, election.Resign{}) },
	"all end, one is back": func(w *World, l *Controller) {
		for _, c := range w.Controllers {
			c.Crash()
		}
		l.Start()
	},
	"is refused": func(w *World, l *Controller) { l.NoNet, l.Alone = true, true },
}

func TestTenChangesOfLeaderInTwoMinutes(t *testing.T) {
	for _, how := range []string{"crashes", "is back at once", "hands over", "all end, one is back", "is refused"} {
		for _, outage := range []bool{false, true} {
			t.Run(fmt.Sprint(how, ", outage ", outage), func(t *testing.T) {
				r := rand.New(rand.NewPCG(3, 3))
				w := members(t, 3, 12)
				w.Looks = true
				w.Capacity = 20
				few := func(s *model.Spec) { s.Team = "blue" }
				long, serve, gang := job(model.Array, 8, nil), job(model.Service, 4, few), job(model.Gang, 4, nil)
				running(t, w, long, serve, gang)
				for _, n := range w.Names()[:2] {
					w.Workers[n].Cut = true // work of before waits until these are known to be empty
				}
				rented := w.Rented()
				took, at := 0, w.Now()
				var gone []*model.Spec
				for range 10 {
					l := w.Leader()
					if l == nil {
						until(t, w, 40*second, "somebody leads", func() bool { l = w.Leader(); return l != nil })
					}
					took++
					s := job(model.Array, 1, few)
					if w.Submit(l, s) == nil {
						gone = append(gone, s)
					}
					w.Pass(time.Duration(r.IntN(3000)) * time.Millisecond)
					if outage && took == 5 {
						w.State.SetDown(true)
					}
					changes[how](w, l)
					if len(gone) > 0 {
						if c := other(w, l); c.Up {
							_, _ = w.Cancel(c, gone[0].ID) // answered or not
						}
					}
					w.Pass(time.Duration(3000+r.IntN(4000)) * time.Millisecond)
					if outage && took == 5 {
						changes[how](w, l)
						w.Pass(8 * second)
						w.State.SetDown(false)
					}
					for _, c := range w.Controllers {
						if c.NoNet, c.Alone = false, false; !c.Up {
							c.Start()
						}
					}
				}
				if spell := w.Now().Sub(at); spell > 150*second {
					t.Errorf("%d changes took %v", took, spell)
				}
				for _, n := range w.Names() {
					w.Workers[n].Cut = false
				}
				w.Calm()
				until(t, w, 90*second, "all runs", func() bool { return on(w, long) == 8 && on(w, serve) == 4 && on(w, gang) == 4 })
				w.Pass(w.CancelIn)
				if n := w.Rented() - rented; n > 12 {
					t.Errorf("%d machines were rented", n)
				}
			})
		}
	}
}

// All controllers are away for longer than a lease, ended or standing still. Jobs that were cancelled right
// before are gone in time, those that were accepted are known, and all that was running runs again.
func TestAllControllersAreAwayForLongerThanALease(t *testing.T) {
	for _, frozen := range []bool{false, true} {
		w := members(t, 3, 6)
		w.Looks = true
		stays, gone := job(model.Array, 6, nil), job(model.Array, 2, nil)
		running(t, w, stays, gone)
		late := job(model.Gang, 2, nil)
		submit(t, w, late)
		tell(t, w, other(w, w.Leader()), gone)
		for _, c := range w.Controllers {
			if c.Frozen = frozen; !frozen {
				c.Crash()
			}
		}
		w.Pass(w.Lease + 10*second)
		if w.Killed == 0 {
			t.Error("no lease has run out: the story is about that")
		}
		for i, c := range w.Controllers {
			if c.Frozen = false; !frozen {
				c.Start()
			}
			w.Pass(time.Duration(i) * 300 * time.Millisecond)
		}
		w.Calm()
		until(t, w, 60*second, "all runs again", func() bool { return on(w, stays) == 6 && on(w, late) == 2 })
		w.AskAll(gone.ID)
		w.Pass(w.CancelIn)
	}
}
