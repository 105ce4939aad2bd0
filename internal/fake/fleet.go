package fake

import (
	"iter"
	"maps"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

// Fleet is many stand-in workers without controllers: its caller carries their messages and moves the time with
// SetNow. Unlike a World it never looks at all workers at once, but checks the invariants as tasks arrive on machines
// and leave them. It is not safe for concurrent use.
type Fleet struct {
	Environment
	Workers  map[string]*Worker
	OnLaunch func(t *Task) // called with each launch that a worker takes; nil: nothing is

	quotas     map[string]model.Quota // by team
	gangs      map[gangAttempt]map[*Task]bool
	workerOf   map[model.TaskID]*Worker
	usedByTeam map[string]model.Resources
	placements map[string]*placement // by job
}

// gangAttempt names an attempt at a gang.
type gangAttempt struct {
	job     string
	attempt uint64
}

// placement is where the tasks of a job are.
type placement struct {
	tasks int
	zones map[string]int // tasks by zone
}

// NewFleet makes a fleet without workers, in which teams have quotas.
func NewFleet(now time.Time, teams []model.Team) *Fleet {
	f := &Fleet{
		Workers:    map[string]*Worker{},
		quotas:     map[string]model.Quota{},
		gangs:      map[gangAttempt]map[*Task]bool{},
		workerOf:   map[model.TaskID]*Worker{},
		usedByTeam: map[string]model.Resources{},
		placements: map[string]*placement{},
	}
	f.Environment = newEnvironment(now, f.gangAttemptTasks)
	f.OnTaskMoved, f.OnAttemptKnown = f.trackPlacement, f.trackLaunch
	for _, team := range teams {
		f.quotas[team.Name] = team.Quota
	}
	return f
}

// SetNow moves the fleet's time.
func (f *Fleet) SetNow(now time.Time) { f.now = now }

// Add brings a machine up.
func (f *Fleet) Add(m model.MachineInfo) *Worker {
	w := newWorker(&f.Environment, m)
	f.Workers[m.Name] = w
	return w
}

// Remove ends a machine and everything on it.
func (f *Fleet) Remove(name string) {
	if w := f.Workers[name]; w != nil {
		w.KillTasks()
		delete(f.Workers, name)
	}
}

// RecordAnswer checks what a controller has answered the user of a job against all answers before. Answers about one
// job are to be recorded in the order in which its user asked.
func (f *Fleet) RecordAnswer(member, id string, state wire.JobState) {
	f.recordAnswer(member, id, state)
}

// RecordCancelRequest notes that the user of a job asks to cancel it.
func (f *Fleet) RecordCancelRequest(id string) { f.recordCancelRequest(id) }

// RecordCancelled notes that the user of a job was answered that it is cancelled.
func (f *Fleet) RecordCancelled(id string) {
	if _, known := f.CancelledAt[id]; !known {
		f.CancelledAt[id] = f.now
	}
}

// ActiveTasks counts the tasks that are on machines.
func (f *Fleet) ActiveTasks() int { return len(f.workerOf) }

// CheckCancelled looks for tasks of cancelled jobs that are still on machines.
func (f *Fleet) CheckCancelled() {
	for id, at := range f.CancelledAt {
		if p := f.placements[id]; p != nil && p.tasks > 0 && f.now.Sub(at) > f.CancelDeadline {
			f.violated("ran_cancelled: %d tasks of %s", p.tasks, id)
		}
	}
}

// gangAttemptTasks finds the tasks of a gang's attempt on all machines.
func (f *Fleet) gangAttemptTasks(job string, attempt uint64) iter.Seq[*Task] {
	return maps.Keys(f.gangs[gangAttempt{job, attempt}])
}

// trackLaunch reports a launch to the caller, and keeps the tasks of each gang's attempt.
func (f *Fleet) trackLaunch(_ *Worker, t *Task, known bool) {
	if known && f.OnLaunch != nil {
		f.OnLaunch(t)
	}
	if t.Spec == nil || t.Spec.Shape != model.Gang {
		return
	}
	key := gangAttempt{t.ID.Job, t.Attempt}
	switch {
	case known && f.gangs[key] == nil:
		f.gangs[key] = map[*Task]bool{t: true}
	case known:
		f.gangs[key][t] = true
	default:
		if delete(f.gangs[key], t); len(f.gangs[key]) == 0 {
			delete(f.gangs, key)
		}
	}
}

// trackPlacement keeps where tasks are.
func (f *Fleet) trackPlacement(w *Worker, t *Task, onMachine bool) {
	if onMachine {
		f.taskPlaced(w, t)
	} else {
		f.taskRemoved(w, t)
	}
}

// taskPlaced checks the invariants for a task that has arrived on a machine.
func (f *Fleet) taskPlaced(w *Worker, t *Task) {
	spec := t.Spec
	if other := f.workerOf[t.ID]; other != nil {
		f.violated("ran_twice: %v on %s and %s", t.ID, other.Name, w.Name)
	}
	f.workerOf[t.ID] = w
	f.usedByTeam[spec.Team] = f.usedByTeam[spec.Team].Add(spec.Demand)
	if used := f.usedByTeam[spec.Team]; !f.quotas[spec.Team].Allows(used) {
		f.violated("quota: %s uses %v", spec.Team, used)
	}
	p := f.placements[t.ID.Job]
	if p == nil {
		p = &placement{zones: map[string]int{}}
		f.placements[t.ID.Job] = p
	}
	p.tasks++
	p.zones[w.Zone]++
	if !spec.AllowSpot && w.Spot || !spec.AllowsType(w.Type) || spec.Zone != "" && spec.Zone != w.Zone {
		f.violated("wrong_place: %v on %s", t.ID, w.Name)
	}
	if spec.SingleZone && len(p.zones) > 1 || spec.Spread && p.zones[w.Zone] > spec.MaxTasksPerZone() {
		f.violated("wrong_place: %s has %d tasks in %s", spec.ID, p.zones[w.Zone], w.Zone)
	}
	if at, ok := f.CancelledAt[t.ID.Job]; ok && f.now.Sub(at) > f.CancelDeadline {
		f.violated("ran_cancelled: %v on %s", t.ID, w.Name)
	}
}

// taskRemoved takes a task that has left its machine out of what is kept.
func (f *Fleet) taskRemoved(w *Worker, t *Task) {
	if f.workerOf[t.ID] == w {
		delete(f.workerOf, t.ID)
	}
	f.usedByTeam[t.Spec.Team] = f.usedByTeam[t.Spec.Team].Sub(t.Spec.Demand)
	p := f.placements[t.ID.Job]
	if p == nil {
		return
	}
	if p.zones[w.Zone]--; p.zones[w.Zone] == 0 {
		delete(p.zones, w.Zone)
	}
	if p.tasks--; p.tasks == 0 {
		delete(f.placements, t.ID.Job)
	}
}
