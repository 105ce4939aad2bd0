package fake

import (
	"fmt"
	"slices"
	"testing"

	"github.com/glentiller/glentiller/internal/model"
)

// Machines that reach no controller, while commands reach them: their leases run out, whatever they answer.

// A mute machine answers stops now and then, since jobs on it are cancelled one after another. It gets no work that
// cannot live there, and what else ran on it runs elsewhere soon, and once.
func TestAMuteMachineGetsNoWorkThatCannotLive(t *testing.T) {
	small := func(s *model.Spec) { s.Demand = model.Resources{CPU: 0.5, MemGB: 1} }
	for _, newLeader := range []bool{false, true} {
		w := members(t, 3, 4)
		var cancelled []*model.Spec
		for range 10 {
			cancelled = append(cancelled, job(model.Array, 1, small))
		}
		stays := job(model.Array, 2, small)
		running(t, w, append(cancelled, stays)...)
		var mute *Worker
		for _, k := range w.Workers {
			if mute == nil || k.Of("wk") > mute.Of("wk") {
				mute = k
			}
		}
		mute.Mute = true
		if newLeader {
			w.Leader().Crash()
			until(t, w, 20*second, "another leads", func() bool { return w.Leader() != nil })
		}
		fell, met, vain := w.Now(), 0, 0
		for _, s := range cancelled {
			met += mute.Of(s.ID)
			tell(t, w, w.Leader(), s)
			submit(t, w, job(model.Array, 1, small))
			before := len(mute.Tasks)
			w.Pass(2 * second)
			if w.Now().Sub(fell) > w.Controllers[0].set.UnresponsiveAfter && len(mute.Tasks) > before && w.Workers[mute.Name] == mute {
				vain++
			}
		}
		if met < 5 || vain > 0 {
			t.Errorf("new leader %v: %d stops for the mute machine, after which it got work %d times", newLeader, met, vain)
		}
		until(t, w, w.Lease, "what ran there runs elsewhere", func() bool {
			return on(w, stays) == 2 && (w.Workers[mute.Name] != mute || mute.Of(stays.ID) == 0)
		})
		mute.Mute = false
		w.Pass(w.CancelIn)
	}
}

// Half of a zone, or all of it, is away for longer than a lease, in one way or another. There is room
// elsewhere: what ran there runs again before the trouble is over, and soon after it all machines that are
// left are of use.
func TestPartOfAZoneIsAway(t *testing.T) {
	for _, way := range ways {
		for _, half := range []bool{true, false} {
			for _, newLeader := range []bool{false, true} {
				t.Run(fmt.Sprint(way.name, ", half ", half, ", new leader ", newLeader), func(t *testing.T) {
					w := members(t, 3, 16)
					w.Capacity = 16
					a, g := job(model.Array, 8, nil), job(model.Gang, 3, nil)
					s := job(model.Service, 4, func(s *model.Spec) { s.Team, s.Spread, s.Priority = "blue", true, model.PriorityProduction })
					running(t, w, a, g, s)
					var far []*Worker
					for _, n := range w.Names() {
						if k := w.Workers[n]; k.Zone == "a" && (!half || len(far) < 4) {
							way.set(k, true)
							far = append(far, k)
						}
					}
					if newLeader {
						w.Leader().Crash()
					}
					began := w.Now()
					until(t, w, 3*w.Lease, "all runs where machines are not away", func() bool {
						n := 0
						for _, j := range []*model.Spec{a, g, s} {
							for _, k := range holders(w, j) {
								if !slices.Contains(far, k) {
									n++
								}
							}
						}
						return n == 15 || !half && n >= 13 // spread: two replicas wait for their zone
					})
					if took := w.Now().Sub(began); took > 2*w.Lease+w.Lease/2 {
						t.Errorf("took %v", took)
					}
					w.Pass(2 * w.Lease)
					for _, k := range far {
						way.set(k, false)
					}
					w.Release()
					w.Calm()
					more := job(model.Array, 16, nil)
					submit(t, w, more)
					until(t, w, 60*second, "all machines are of use", func() bool { return on(w, more) == 16 && on(w, s) == 4 })
					w.Pass(w.CancelIn)
				})
			}
		}
	}
}
