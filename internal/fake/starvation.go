package fake

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

const (
	// maxWaitWithRoom bounds how long a job may wait while suitable machines have room for it and its team is under
	// its quota. It applies once all faults have ended.
	maxWaitWithRoom = 90 * time.Second
	// starvationInterval is the minimum time between two checks for starving jobs.
	starvationInterval = time.Second
)

// starvationState keeps track of the jobs that wait although there is room for them.
type starvationState struct {
	LongestWaitWithRoom time.Duration        // longest wait of a job that had room, after all faults had ended
	faultsEndedAt       time.Time            // the zero time means that faults may continue: no waits are checked
	waitingSince        map[string]time.Time // start of the current wait with room, by job ID
	starvationCheckedAt time.Time            // time of the latest check
}

// occupancy summarizes the tasks that the workers of a World know and that have not ended.
type occupancy struct {
	usedByTeam map[string]model.Resources  // resources of the tasks, by team
	tasks      map[model.TaskID]bool       // set of the tasks
	free       map[*Worker]model.Resources // resources that the tasks leave free on each machine
	zones      map[string]map[string]int   // number of tasks, by job ID and zone
}

// MarkFaultsEnded declares that all faults have ended. From then on it is a violation if a job waits for more than
// maxWaitWithRoom although there is room for it.
func (w *World) MarkFaultsEnded() { w.faultsEndedAt, w.waitingSince = w.now, map[string]time.Time{} }

// checkStarvation records a violation for each job that has waited for too long although there was room for it. Jobs
// whose cancellation was requested or whose tasks fail are exempt.
func (w *World) checkStarvation() {
	if w.faultsEndedAt.IsZero() || w.now.Sub(w.starvationCheckedAt) < starvationInterval {
		return
	}
	w.starvationCheckedAt = w.now
	occupied := w.occupancy()
	for id, history := range w.answers {
		spec := w.Specs[id]
		if history.finalState != 0 || w.cancelRequested(id) || w.FailingJobs[id] ||
			!w.hasWaitingTasks(spec, occupied.tasks) || !w.hasRoomFor(spec, occupied) {
			delete(w.waitingSince, id)
			continue
		}
		since, known := w.waitingSince[id]
		if !known {
			w.waitingSince[id] = w.now
			continue
		}
		if wait := w.now.Sub(since); wait > w.LongestWaitWithRoom {
			if w.LongestWaitWithRoom = wait; wait > maxWaitWithRoom {
				w.recordViolation("waits: %s has waited for more than %v although there is room for it", id, maxWaitWithRoom)
			}
		}
	}
}

// occupancy returns the current occupancy of the machines.
func (w *World) occupancy() *occupancy {
	o := &occupancy{
		usedByTeam: map[string]model.Resources{},
		tasks:      map[model.TaskID]bool{},
		free:       map[*Worker]model.Resources{},
		zones:      map[string]map[string]int{},
	}
	for _, worker := range w.Workers {
		o.free[worker] = w.capacityOf(worker.Type)
		for _, t := range worker.Tasks {
			if t.Phase == model.PhaseExited {
				continue
			}
			o.tasks[t.ID] = true
			o.free[worker] = o.free[worker].Sub(t.Spec.Demand)
			o.usedByTeam[t.Spec.Team] = o.usedByTeam[t.Spec.Team].Add(t.Spec.Demand)
			if o.zones[t.ID.Job] == nil {
				o.zones[t.ID.Job] = map[string]int{}
			}
			o.zones[t.ID.Job][worker.Zone]++
		}
	}
	return o
}

// capacityOf returns the resources of a machine of a type, or none if the cloud does not offer the type.
func (w *World) capacityOf(machineType string) model.Resources {
	for _, t := range w.Types {
		if t.Name == machineType {
			return t.Capacity
		}
	}
	return model.Resources{}
}

// hasWaitingTasks reports whether a job has tasks that could start: its dependencies are done, and at least one task
// has not completed and is not among onMachines. For a gang this must hold for all tasks, since they start together.
func (w *World) hasWaitingTasks(spec *model.Spec, onMachines map[model.TaskID]bool) bool {
	for _, dependency := range w.Dependencies[spec.ID] {
		if !w.AllCompleted(dependency) {
			return false
		}
	}
	waiting := 0
	for i := range spec.Tasks {
		id := model.TaskID{Job: spec.ID, Index: i}
		switch {
		case w.Completed[id]:
		case !onMachines[id]:
			waiting++
		case spec.Shape == model.Gang:
			return false // the current attempt has not ended
		}
	}
	return waiting > 0 && (spec.Shape != model.Gang || waiting == spec.Tasks)
}

// hasRoomFor reports whether the machines and the quota of the team have room for one more task of a job, or for all
// tasks of a gang.
func (w *World) hasRoomFor(spec *model.Spec, occupied *occupancy) bool {
	tasks := 1
	if spec.Shape == model.Gang {
		tasks = spec.Tasks
	}
	if !w.Teams[spec.Team].Quota.Allows(occupied.usedByTeam[spec.Team].Add(spec.Demand.Times(tasks))) {
		return false
	}
	zones := occupied.zones[spec.ID]
	fitsByZone := map[string]int{}
	for worker, free := range occupied.free {
		if w.mayRunOn(spec, worker, zones) {
			fitsByZone[worker.Zone] += spec.Demand.FitCount(free)
		}
	}
	total := 0
	for zone, count := range fitsByZone {
		count = min(count, spec.MaxTasksPerZone()-zones[zone])
		if total += max(count, 0); spec.SingleZone && count >= tasks {
			return true
		}
	}
	return !spec.SingleZone && total >= tasks
}

// mayRunOn reports whether a job's tasks may start on a machine, without regard to the machine's free resources. zones
// counts the job's current tasks by zone.
func (w *World) mayRunOn(spec *model.Spec, worker *Worker, zones map[string]int) bool {
	switch {
	case !worker.usable() || worker.InterruptionNotice != 0,
		!spec.AllowsType(worker.Type),
		spec.Zone != "" && spec.Zone != worker.Zone,
		worker.Spot && !spec.AllowSpot,
		spec.SingleZone && len(zones) > 0 && zones[worker.Zone] == 0:
		return false
	}
	allowed := w.PlacementAllowed[spec.ID]
	return allowed == nil || allowed(worker)
}
