package fake

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// maxWaitWithRoom is how long a job may wait while a machine that fits has room and its team is under its limit, once
// troubles are over.
const maxWaitWithRoom = 90 * time.Second

// MarkFaultsEnded notes that all troubles are over: from here on no job waits for long while there is room for it.
func (w *World) MarkFaultsEnded() { w.faultsEndedAt, w.waitingSince = w.now, map[string]time.Time{} }

// checkStarvation looks once a second for jobs that wait although there is room for them.
func (w *World) checkStarvation() {
	if w.faultsEndedAt.IsZero() || w.now.Sub(w.starvationCheckedAt) < time.Second {
		return
	}
	w.starvationCheckedAt = w.now
	used := map[string]model.Resources{}
	held := map[model.TaskID]bool{}
	free := map[*Worker]model.Resources{}
	zones := map[string]map[string]int{}
	for _, k := range w.Workers {
		free[k] = w.capacityOf(k.Type)
		for _, t := range k.Tasks {
			if t.Phase == model.PhaseExited {
				continue
			}
			held[t.ID] = true
			free[k] = free[k].Sub(t.Spec.Demand)
			used[t.Spec.Team] = used[t.Spec.Team].Add(t.Spec.Demand)
			if zones[t.ID.Job] == nil {
				zones[t.ID.Job] = map[string]int{}
			}
			zones[t.ID.Job][k.Zone]++
		}
	}
	for id, h := range w.answers {
		s := w.Specs[id]
		if h.finalState != 0 || w.cancelRequested(id) || w.FailingJobs[id] || !w.hasWaitingTasks(s, held) ||
			!w.hasRoomFor(s, used[s.Team], free, zones[id]) {
			delete(w.waitingSince, id)
			continue
		}
		since, known := w.waitingSince[id]
		if !known {
			w.waitingSince[id] = w.now
			continue
		}
		if long := w.now.Sub(since); long > w.LongestWait {
			if w.LongestWait = long; long > maxWaitWithRoom {
				w.violated("waits: %s for over %v although there is room", id, maxWaitWithRoom)
			}
		}
	}
}

func (w *World) capacityOf(breed string) model.Resources {
	for _, t := range w.Types {
		if t.Name == breed {
			return t.Capacity
		}
	}
	return model.Resources{}
}

// hasWaitingTasks tells whether something of a job is to run and is on no machine.
func (w *World) hasWaitingTasks(s *model.Spec, held map[model.TaskID]bool) bool {
	for _, need := range w.Dependencies[s.ID] {
		if !w.AllCompleted(need) {
			return false
		}
	}
	open := 0
	for i := range s.Tasks {
		if id := (model.TaskID{Job: s.ID, Index: i}); !w.Completed[id] {
			if held[id] && s.Shape == model.Gang {
				return false // its attempt is not over
			}
			if !held[id] {
				open++
			}
		}
	}
	return open > 0 && (s.Shape != model.Gang || open == s.Tasks)
}

// hasRoomFor tells whether machines have room for a task of a job, or for all of a gang.
func (w *World) hasRoomFor(s *model.Spec, used model.Resources, free map[*Worker]model.Resources,
	zones map[string]int) bool {
	n := 1
	if s.Shape == model.Gang {
		n = s.Tasks
	}
	if !w.Teams[s.Team].Quota.Allows(used.Add(s.Demand.Times(n))) {
		return false
	}
	fits := map[string]int{}
	for k, f := range free {
		fine := !k.Partitioned && !k.InboundBlocked && !k.OutboundBlocked && !k.Hung && !k.Faulty && k.InterruptionNotice == 0
		if !fine || !s.AllowsType(k.Type) || s.Zone != "" && s.Zone != k.Zone || k.Spot && !s.AllowSpot ||
			s.SingleZone && len(zones) > 0 && zones[k.Zone] == 0 {
			continue
		}
		if allowed := w.PlacementAllowed[s.ID]; allowed != nil && !allowed(k) {
			continue
		}
		fits[k.Zone] += s.Demand.FitCount(f)
	}
	all := 0
	for zone, count := range fits {
		count = min(count, s.MaxTasksPerZone()-zones[zone])
		if all += max(count, 0); s.SingleZone && count >= n {
			return true
		}
	}
	return !s.SingleZone && all >= n
}
