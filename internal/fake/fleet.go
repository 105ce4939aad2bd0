package fake

import (
	"iter"
	"maps"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

// Fleet is a large set of fake workers without controllers. Its caller carries their messages and sets the time with
// SetNow. Unlike a World, a Fleet never scans all workers: it tracks the tasks that arrive on machines and leave them,
// and checks the invariants for those that arrive. It is not safe for concurrent use.
type Fleet struct {
	Environment
	Workers  map[string]*Worker // by name of the machine
	OnLaunch func(t *Task)      // called for each launch that a worker executes; may be nil

	quotas     map[string]model.Quota         // by team
	gangs      map[gangAttempt]map[*Task]bool // the tasks that workers know of each attempt at a gang
	workerOf   map[model.TaskID]*Worker       // the workers of the tasks that are on machines
	usedByTeam map[string]model.Resources     // resources of the tasks that are on machines, by team
	placements map[string]*placement          // by job ID
}

// gangAttempt identifies an attempt at a gang.
type gangAttempt struct {
	job     string
	attempt uint64
}

// placement counts the tasks of a job that are on machines.
type placement struct {
	tasks int
	zones map[string]int // tasks by zone
}

// NewFleet returns a fleet without workers that begins at now and checks the quotas of the teams.
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
	f.OnTaskMoved, f.OnAttemptKnown = f.trackPlacement, f.trackAttempt
	for _, team := range teams {
		f.quotas[team.Name] = team.Quota
	}
	return f
}

// SetNow sets the fleet's time.
func (f *Fleet) SetNow(now time.Time) { f.now = now }

// Add adds a machine that has just booted and returns its worker.
func (f *Fleet) Add(m model.MachineInfo) *Worker {
	w := newWorker(&f.Environment, m)
	f.Workers[m.Name] = w
	return w
}

// Remove removes a machine and kills its tasks. It ignores an unknown name.
func (f *Fleet) Remove(name string) {
	if w := f.Workers[name]; w != nil {
		w.KillTasks()
		delete(f.Workers, name)
	}
}

// RecordAnswer records the state that a controller has answered the user of a job, and checks it against all earlier
// answers. Answers about one job must be recorded in the order in which its user asked.
func (f *Fleet) RecordAnswer(member, id string, state wire.JobState) {
	f.recordAnswer(member, id, state)
}

// RecordCancelRequest records that the user of a job asks to cancel it. It must be called before an answer that the job
// is cancelled is recorded, which is a violation otherwise.
func (f *Fleet) RecordCancelRequest(id string) { f.recordCancelRequest(id) }

// RecordCancelled records that the user of a job was answered that it is cancelled. The first call for a job starts the
// deadline by which its tasks must have ended.
func (f *Fleet) RecordCancelled(id string) {
	if _, known := f.CancelledAt[id]; !known {
		f.CancelledAt[id] = f.now
	}
}

// ActiveTasks returns the number of tasks that are on machines.
func (f *Fleet) ActiveTasks() int { return len(f.workerOf) }

// CheckCancelled records a violation for each cancelled job that still has tasks on machines after the deadline of its
// cancellation.
func (f *Fleet) CheckCancelled() {
	for id, at := range f.CancelledAt {
		if p := f.placements[id]; p != nil && p.tasks > 0 && f.now.Sub(at) > f.CancelDeadline {
			f.recordViolation("ran_cancelled: %d tasks of %s run after the deadline of its cancellation", p.tasks, id)
		}
	}
}

// gangAttemptTasks yields the tasks of one attempt at a gang, across all machines.
func (f *Fleet) gangAttemptTasks(job string, attempt uint64) iter.Seq[*Task] {
	return maps.Keys(f.gangs[gangAttempt{job, attempt}])
}

// trackAttempt handles OnAttemptKnown: it reports launches to the caller, and keeps track of the tasks of each attempt
// at a gang.
func (f *Fleet) trackAttempt(_ *Worker, t *Task, known bool) {
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

// trackPlacement handles OnTaskMoved: it keeps track of the tasks that are on machines.
func (f *Fleet) trackPlacement(w *Worker, t *Task, onMachine bool) {
	if onMachine {
		f.taskPlaced(w, t)
	} else {
		f.taskRemoved(w, t)
	}
}

// taskPlaced records a task that has arrived on a machine and checks the invariants for it.
func (f *Fleet) taskPlaced(w *Worker, t *Task) {
	spec := t.Spec
	if other := f.workerOf[t.ID]; other != nil {
		f.recordViolation("ran_twice: %v is on %s and on %s", t.ID, other.Name, w.Name)
	}
	f.workerOf[t.ID] = w
	f.usedByTeam[spec.Team] = f.usedByTeam[spec.Team].Add(spec.Demand)
	if used := f.usedByTeam[spec.Team]; !f.quotas[spec.Team].Allows(used) {
		f.recordViolation("quota: team %s exceeds its quota with %v in use", spec.Team, used)
	}
	p := f.placements[t.ID.Job]
	if p == nil {
		p = &placement{zones: map[string]int{}}
		f.placements[t.ID.Job] = p
	}
	p.tasks++
	p.zones[w.Zone]++
	if !spec.AllowSpot && w.Spot || !spec.AllowsType(w.Type) || spec.Zone != "" && spec.Zone != w.Zone {
		f.recordViolation("wrong_place: %v is on %s, where its job may not run", t.ID, w.Name)
	}
	if spec.SingleZone && len(p.zones) > 1 || spec.Spread && p.zones[w.Zone] > spec.MaxTasksPerZone() {
		f.recordViolation("wrong_place: %s has %d tasks in zone %s, which breaks its zone rules",
			spec.ID, p.zones[w.Zone], w.Zone)
	}
	if at, ok := f.CancelledAt[t.ID.Job]; ok && f.now.Sub(at) > f.CancelDeadline {
		f.recordViolation("ran_cancelled: %v arrived on %s after the deadline of its job's cancellation", t.ID, w.Name)
	}
}

// taskRemoved removes the record of a task that has left its machine.
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
