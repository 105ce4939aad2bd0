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
func TestUnresponsiveWorkerReceivesNoTasks(t *testing.T) {
	small := func(s *model.Spec) { s.Demand = model.Resources{CPU: 0.5, MemGB: 1} }
	for _, newLeader := range []bool{false, true} {
		w := newVotingMembers(t, 3, 4)
		var cancelled []*model.Spec
		for range 10 {
			cancelled = append(cancelled, newJob(model.Array, 1, small))
		}
		stays := newJob(model.Array, 2, small)
		startJobs(t, w, append(cancelled, stays)...)
		var mute *Worker
		for _, k := range w.Workers {
			if mute == nil || k.CountTasks("wk") > mute.CountTasks("wk") {
				mute = k
			}
		}
		mute.OutboundBlocked = true
		if newLeader {
			w.Leader().Crash()
			waitUntil(t, w, 20*second, "another leads", func() bool { return w.Leader() != nil })
		}
		fell, met, vain := w.Now(), 0, 0
		for _, s := range cancelled {
			met += mute.CountTasks(s.ID)
			cancelJobs(t, w, w.Leader(), s)
			submitJob(t, w, newJob(model.Array, 1, small))
			before := len(mute.Tasks)
			w.Advance(2 * second)
			if w.Now().Sub(fell) > w.Controllers[0].settings.UnresponsiveAfter && len(mute.Tasks) > before && w.Workers[mute.Name] == mute {
				vain++
			}
		}
		if met < 5 || vain > 0 {
			t.Errorf("new leader %v: %d stops for the mute machine, after which it got work %d times", newLeader, met, vain)
		}
		waitUntil(t, w, w.Lease, "what ran there runs elsewhere", func() bool {
			return activeTasks(w, stays) == 2 && (w.Workers[mute.Name] != mute || mute.CountTasks(stays.ID) == 0)
		})
		mute.OutboundBlocked = false
		w.Advance(w.CancelDeadline)
	}
}

// Half of a zone, or all of it, is away for longer than a lease, in one way or another. There is room
// elsewhere: what ran there runs again before the trouble is over, and soon after it all machines that are
// left are of use.
func TestTasksMoveWhenPartOfZoneIsUnreachable(t *testing.T) {
	for _, way := range disconnections {
		for _, half := range []bool{true, false} {
			for _, newLeader := range []bool{false, true} {
				t.Run(fmt.Sprint(way.name, ", half ", half, ", new leader ", newLeader), func(t *testing.T) {
					w := newVotingMembers(t, 3, 16)
					w.Capacity = 16
					a, g := newJob(model.Array, 8, nil), newJob(model.Gang, 3, nil)
					s := newJob(model.Service, 4, func(s *model.Spec) { s.Team, s.Spread, s.Priority = "blue", true, model.PriorityProduction })
					startJobs(t, w, a, g, s)
					var far []*Worker
					for _, n := range w.WorkerNames() {
						if k := w.Workers[n]; k.Zone == "a" && (!half || len(far) < 4) {
							way.set(k, true)
							far = append(far, k)
						}
					}
					if newLeader {
						w.Leader().Crash()
					}
					began := w.Now()
					waitUntil(t, w, 3*w.Lease, "all runs where machines are not away", func() bool {
						n := 0
						for _, j := range []*model.Spec{a, g, s} {
							for _, k := range workersOf(w, j) {
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
					w.Advance(2 * w.Lease)
					for _, k := range far {
						way.set(k, false)
					}
					w.DeliverHeldCommands()
					w.MarkFaultsEnded()
					more := newJob(model.Array, 16, nil)
					submitJob(t, w, more)
					waitUntil(t, w, 60*second, "all machines are of use", func() bool { return activeTasks(w, more) == 16 && activeTasks(w, s) == 4 })
					w.Advance(w.CancelDeadline)
				})
			}
		}
	}
}
