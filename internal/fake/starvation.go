package fake

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

const (
	// maxWaitWithRoom is how long a job may wait, once all faults have ended, while a machine that fits has room and
	// its team is under its quota.
	maxWaitWithRoom = 90 * time.Second
	// starvationInterval is the time between two checks for jobs that wait.
	starvationInterval = time.Second
)

// starvation is how long jobs wait for which there is room.
type starvation struct {
	LongestWait         time.Duration // of a job for which there was room, once all faults had ended
	faultsEndedAt       time.Time     // zero: faults go on, and waits are not checked
	waitingSince        map[string]time.Time
	starvationCheckedAt time.Time
}

// occupancy is what is on the machines of a World.
type occupancy struct {
	usedByTeam map[string]model.Resources
	tasks      map[model.TaskID]bool // that a worker knows and that have not ended
	free       map[*Worker]model.Resources
	zones      map[string]map[string]int // tasks by job and zone
}

// MarkFaultsEnded notes that all faults have ended: from here on no job waits for long while there is room for it.
func (w *World) MarkFaultsEnded() { w.faultsEndedAt, w.waitingSince = w.now, map[string]time.Time{} }

// checkStarvation looks for jobs that wait although there is room for them.
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
		if wait := w.now.Sub(since); wait > w.LongestWait {
			if w.LongestWait = wait; wait > maxWaitWithRoom {
				w.violated("waits: %s for over %v although there is room", id, maxWaitWithRoom)
			}
		}
	}
}

// occupancy sums up what is on the machines.
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

// capacityOf is what a machine of a type has; zero: the cloud does not offer the type.
func (w *World) capacityOf(machineType string) model.Resources {
	for _, t := range w.Types {
		if t.Name == machineType {
			return t.Capacity
		}
	}
	return model.Resources{}
}

// hasWaitingTasks tells whether a task of a job could start and is on no machine.
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
			return false // its attempt has not ended
		}
	}
	return waiting > 0 && (spec.Shape != model.Gang || waiting == spec.Tasks)
}

// hasRoomFor tells whether machines have room for a task of a job, or for all of a gang.
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

// mayRunOn tells whether a job's tasks may start on a machine, apart from its free resources; zones are where tasks
// of the job are.
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
