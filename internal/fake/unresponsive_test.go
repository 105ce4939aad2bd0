package fake

import (
	"fmt"
	"slices"
	"testing"

	"github.com/glentiller/glentiller/internal/model"
)

// Workers that reach no controller while commands reach them: their leases expire, whatever they answer.

// The outbound heartbeats of a worker are blocked. It answers stops now and then, since jobs on it are cancelled one
// after another. It receives no more tasks, which could not outlive its lease, and its other tasks soon run elsewhere.
func TestUnresponsiveWorkerReceivesNoTasks(t *testing.T) {
	small := func(spec *model.Spec) { spec.Demand = model.Resources{CPU: 0.5, MemGB: 1} }
	for _, newLeader := range []bool{false, true} {
		w := newVotingMembers(t, 3, 4)
		var cancelled []*model.Spec
		for range 10 {
			cancelled = append(cancelled, newJob(model.Array, 1, small))
		}
		stays := newJob(model.Array, 2, small)
		startJobs(t, w, append(cancelled, stays)...)
		var blocked *Worker
		for _, worker := range w.Workers {
			if blocked == nil || worker.CountTasks("wk") > blocked.CountTasks("wk") {
				blocked = worker
			}
		}
		blocked.OutboundBlocked = true
		if newLeader {
			w.Leader().Crash()
			waitForLeader(t, w, 20*second)
		}
		fell, met, vain := w.Now(), 0, 0
		for _, spec := range cancelled {
			met += blocked.CountTasks(spec.ID)
			cancelJobs(t, w, w.Leader(), spec)
			submitJob(t, w, newJob(model.Array, 1, small))
			before := len(blocked.Tasks)
			w.Advance(2 * second)
			unresponsive := w.Now().Sub(fell) > w.Controllers[0].settings.UnresponsiveAfter
			if unresponsive && len(blocked.Tasks) > before && w.Workers[blocked.Name] == blocked {
				vain++
			}
		}
		if met < 5 || vain > 0 {
			t.Errorf("new leader %v: got %d stops at the blocked worker and %d tasks after them, want 5 at least and none",
				newLeader, met, vain)
		}
		waitUntil(t, w, w.Lease, "what ran there runs elsewhere", func() bool {
			return activeTasks(w, stays) == 2 && (w.Workers[blocked.Name] != blocked || blocked.CountTasks(stays.ID) == 0)
		})
		blocked.OutboundBlocked = false
		w.Advance(w.CancelDeadline)
	}
}

// Half of a zone, or all of it, is out of reach for longer than a lease. There is room elsewhere: what ran there runs
// again before the fault ends, and soon after it all remaining machines are used.
func TestTasksMoveWhenPartOfZoneIsUnreachable(t *testing.T) {
	for _, way := range disconnections {
		for _, half := range []bool{true, false} {
			for _, newLeader := range []bool{false, true} {
				t.Run(fmt.Sprint(way.name, ", half ", half, ", new leader ", newLeader), func(t *testing.T) {
					w := newVotingMembers(t, 3, 16)
					w.Capacity = 16
					a, g := newJob(model.Array, 8, nil), newJob(model.Gang, 3, nil)
					spec := newJob(model.Service, 4, func(spec *model.Spec) {
						spec.Team, spec.Spread, spec.Priority = "blue", true, model.PriorityProduction
					})
					startJobs(t, w, a, g, spec)
					var far []*Worker
					for _, n := range w.WorkerNames() {
						if worker := w.Workers[n]; worker.Zone == "a" && (!half || len(far) < 4) {
							way.set(worker, true)
							far = append(far, worker)
						}
					}
					if newLeader {
						w.Leader().Crash()
					}
					began := w.Now()
					waitUntil(t, w, 3*w.Lease, "all tasks run on machines within reach", func() bool {
						n := 0
						for _, j := range []*model.Spec{a, g, spec} {
							for _, worker := range workersOf(w, j) {
								if !slices.Contains(far, worker) {
									n++
								}
							}
						}
						return n == 15 || !half && n >= 13 // with the spread two replicas wait for their zone
					})
					if took := w.Now().Sub(began); took > 2*w.Lease+w.Lease/2 {
						t.Errorf("took %v", took)
					}
					w.Advance(2 * w.Lease)
					for _, worker := range far {
						way.set(worker, false)
					}
					w.DeliverHeldCommands()
					w.MarkFaultsEnded()
					more := newJob(model.Array, 16, nil)
					submitJob(t, w, more)
					waitUntil(t, w, 60*second, "all machines are used", func() bool {
						return activeTasks(w, more) == 16 && activeTasks(w, spec) == 4
					})
					w.Advance(w.CancelDeadline)
				})
			}
		}
	}
}
