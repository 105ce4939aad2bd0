package fake

import (
	"fmt"
	"slices"
	"testing"

	"github.com/glentiller/glentiller/internal/model"
)

// These tests cover workers whose messages to or from the controllers are blocked. If commands reach a worker while its
// heartbeats reach no controller, its lease expires even though it answers the commands.

// The outbound heartbeats of a worker are blocked, while it answers a stop every few seconds, since jobs on it are
// cancelled one after another. These answers must not make it look healthy: it must receive no more tasks, which would
// end with its lease, and its other tasks must soon run elsewhere.
func TestUnresponsiveWorkerReceivesNoTasks(t *testing.T) {
	withSmallDemand := func(spec *model.Spec) { spec.Demand = model.Resources{CPU: 0.5, MemGB: 1} }
	for _, newLeader := range []bool{false, true} {
		w := newVotingTestWorld(t, 3, 4)
		var cancelled []*model.Spec
		for range 10 {
			cancelled = append(cancelled, newJob(model.Array, 1, withSmallDemand))
		}
		notCancelled := newJob(model.Array, 2, withSmallDemand)
		startJobs(t, w, append(cancelled, notCancelled)...)
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
		blockedAt, stopsSent, misplaced := w.Now(), 0, 0
		for _, spec := range cancelled {
			stopsSent += blocked.CountTasks(spec.ID)
			cancelJobs(t, w, w.Leader(), spec)
			submitJob(t, w, newJob(model.Array, 1, withSmallDemand))
			tasksBefore := len(blocked.Tasks)
			w.Advance(2 * second)
			unresponsive := w.Now().Sub(blockedAt) > w.Controllers[0].settings.UnresponsiveAfter
			if unresponsive && len(blocked.Tasks) > tasksBefore && w.Workers[blocked.Name] == blocked {
				misplaced++
			}
		}
		if stopsSent < 5 || misplaced > 0 {
			t.Errorf("new leader %v: got %d stops at the blocked worker, want at least 5, and %d new tasks on it, want none",
				newLeader, stopsSent, misplaced)
		}
		waitUntil(t, w, w.Lease, "the other tasks of the blocked worker run elsewhere", func() bool {
			return activeTasks(w, notCancelled) == 2 &&
				(w.Workers[blocked.Name] != blocked || blocked.CountTasks(notCancelled.ID) == 0)
		})
		blocked.OutboundBlocked = false
		w.Advance(w.CancelDeadline)
	}
}

// Half of a zone, or all of it, is unreachable for longer than a lease, while other machines have room. The tasks from
// there must run again before the fault ends, and soon after the fault all remaining machines must be in use.
func TestTasksMoveWhenPartOfZoneIsUnreachable(t *testing.T) {
	for _, fault := range machineFaults {
		for _, half := range []bool{true, false} {
			for _, newLeader := range []bool{false, true} {
				t.Run(fmt.Sprint(fault.name, ", half ", half, ", new leader ", newLeader), func(t *testing.T) {
					w := newVotingTestWorld(t, 3, 16)
					w.Capacity = 16
					array, gang := newJob(model.Array, 8, nil), newJob(model.Gang, 3, nil)
					service := newJob(model.Service, 4, func(spec *model.Spec) {
						spec.Team, spec.Spread, spec.Priority = "blue", true, model.PriorityProduction
					})
					startJobs(t, w, array, gang, service)
					var unreachable []*Worker
					for _, name := range w.WorkerNames() {
						if worker := w.Workers[name]; worker.Zone == "a" && (!half || len(unreachable) < 4) {
							fault.set(worker, true)
							unreachable = append(unreachable, worker)
						}
					}
					if newLeader {
						w.Leader().Crash()
					}
					startedAt := w.Now()
					waitUntil(t, w, 3*w.Lease, "all tasks run on reachable machines", func() bool {
						running := 0
						for _, spec := range []*model.Spec{array, gang, service} {
							for _, worker := range workersOf(w, spec) {
								if !slices.Contains(unreachable, worker) {
									running++
								}
							}
						}
						return running == 15 || !half && running >= 13 // because of Spread, two replicas wait for the lost zone
					})
					if elapsed := w.Now().Sub(startedAt); elapsed > 2*w.Lease+w.Lease/2 {
						t.Errorf("all tasks run on reachable machines: took %v, want at most 2.5 leases", elapsed)
					}
					w.Advance(2 * w.Lease)
					for _, worker := range unreachable {
						fault.set(worker, false)
					}
					w.DeliverHeldCommands()
					w.MarkFaultsEnded()
					laterJob := newJob(model.Array, 16, nil)
					submitJob(t, w, laterJob)
					waitUntil(t, w, 60*second, "all machines are used", func() bool {
						return activeTasks(w, laterJob) == 16 && activeTasks(w, service) == 4
					})
					w.Advance(w.CancelDeadline)
				})
			}
		}
	}
}
