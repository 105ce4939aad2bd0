package fake

import (
	"iter"
	"maps"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

// Fleet is many stand-in workers without controllers: whoever plays them carries their messages. Unlike a World
// it never looks at all of them at once. It holds what happens on them against the rules as it happens. It is not
// safe for concurrent use.
type Fleet struct {
	Site
	Workers  map[string]*Worker
	OnLaunch func(t *Task) // told of each launch that a worker takes; nil: nobody is

	limits     map[string]model.Quota
	gangs      map[gangAttempt]map[*Task]bool
	workerOf   map[model.TaskID]*Worker
	usedByTeam map[string]model.Resources // by team
	placements map[string]*placement      // by job
}

type gangAttempt struct {
	job     string
	attempt uint64
}

// placement is where the tasks of a job are.
type placement struct {
	tasks int
	zones map[string]int
}

// NewFleet makes a fleet without workers, in which teams have limits.
func NewFleet(now time.Time, teams []model.Team) *Fleet {
	f := &Fleet{Workers: map[string]*Worker{}, limits: map[string]model.Quota{}, gangs: map[gangAttempt]map[*Task]bool{},
		workerOf: map[model.TaskID]*Worker{}, usedByTeam: map[string]model.Resources{}, placements: map[string]*placement{}}
	f.Site = newSite(now, f.gangAttemptTasks)
	f.Site.OnTaskMoved, f.Site.OnAttemptKnown = f.trackPlacement, f.trackGang
	for _, t := range teams {
		f.limits[t.Name] = t.Quota
	}
	return f
}

// SetNow moves the fleet's time.
func (f *Fleet) SetNow(now time.Time) { f.now = now }

// Add brings a machine up.
func (f *Fleet) Add(l model.MachineInfo) *Worker {
	k := &Worker{site: &f.Site, Name: l.Name, Addr: l.Addr, Type: l.Type, Zone: l.Zone, Spot: l.Spot, Epoch: 1,
		Tasks: map[model.AttemptKey]*Task{}, leaseRenewedAt: f.now}
	f.Workers[l.Name] = k
	return k
}

// Remove ends a machine and everything on it.
func (f *Fleet) Remove(name string) {
	if k := f.Workers[name]; k != nil {
		k.KillTasks()
		delete(f.Workers, name)
	}
}

// RecordAnswer holds what a controller has told the user of a job against all that was told before. Answers of one job
// are to be told in the order in which its user asked.
func (f *Fleet) RecordAnswer(by, id string, s wire.JobState) { f.recordAnswer(by, id, s) }

// RecordCancelRequest notes that the user of a job asks to cancel it.
func (f *Fleet) RecordCancelRequest(id string) {
	if h := f.answers[id]; h != nil {
		h.cancelRequested = true
	}
}

// RecordCancelled notes that the user of a job was told that it is cancelled.
func (f *Fleet) RecordCancelled(id string) {
	if _, told := f.CancelledAt[id]; !told {
		f.CancelledAt[id] = f.now
	}
}

// ActiveTasks tells how many tasks are on machines.
func (f *Fleet) ActiveTasks() int { return len(f.workerOf) }

// CheckCancelled looks for tasks of cancelled jobs that are still on machines.
func (f *Fleet) CheckCancelled() {
	for id, at := range f.CancelledAt {
		if p := f.placements[id]; p != nil && p.tasks > 0 && f.now.Sub(at) > f.CancelDeadline {
			f.violated("ran_cancelled: %d tasks of %s", p.tasks, id)
		}
	}
}

func (f *Fleet) gangAttemptTasks(job string, attempt uint64) iter.Seq[*Task] {
	return maps.Keys(f.gangs[gangAttempt{job, attempt}])
}

func (f *Fleet) trackGang(_ *Worker, t *Task, is bool) {
	if is && f.OnLaunch != nil {
		f.OnLaunch(t)
	}
	if t.Spec == nil || t.Spec.Shape != model.Gang {
		return
	}
	key := gangAttempt{t.ID.Job, t.Attempt}
	switch {
	case is && f.gangs[key] == nil:
		f.gangs[key] = map[*Task]bool{t: true}
	case is:
		f.gangs[key][t] = true
	default:
		if delete(f.gangs[key], t); len(f.gangs[key]) == 0 {
			delete(f.gangs, key)
		}
	}
}

func (f *Fleet) trackPlacement(k *Worker, t *Task, on bool) {
	if on {
		f.taskPlaced(k, t)
	} else {
		f.taskRemoved(k, t)
	}
}

// taskPlaced holds a task that is on a machine now against the rules.
func (f *Fleet) taskPlaced(k *Worker, t *Task) {
	if other := f.workerOf[t.ID]; other != nil {
		f.violated("ran_twice: %v on %s and %s", t.ID, other.Name, k.Name)
	}
	f.workerOf[t.ID] = k
	f.usedByTeam[t.Spec.Team] = f.usedByTeam[t.Spec.Team].Add(t.Spec.Demand)
	if u := f.usedByTeam[t.Spec.Team]; !f.limits[t.Spec.Team].Allows(u) {
		f.violated("quota: %s uses %v", t.Spec.Team, u)
	}
	p := f.placements[t.ID.Job]
	if p == nil {
		p = &placement{zones: map[string]int{}}
		f.placements[t.ID.Job] = p
	}
	p.tasks++
	p.zones[k.Zone]++
	s := t.Spec
	if !s.AllowSpot && k.Spot || !s.AllowsType(k.Type) || s.Zone != "" && s.Zone != k.Zone {
		f.violated("wrong_place: %v on %s", t.ID, k.Name)
	}
	if s.SingleZone && len(p.zones) > 1 || s.Spread && p.zones[k.Zone] > s.MaxTasksPerZone() {
		f.violated("wrong_place: %s has %d tasks in %s", s.ID, p.zones[k.Zone], k.Zone)
	}
	if at, ok := f.CancelledAt[t.ID.Job]; ok && f.now.Sub(at) > f.CancelDeadline {
		f.violated("ran_cancelled: %v on %s", t.ID, k.Name)
	}
}

// taskRemoved takes a task off the accounts.
func (f *Fleet) taskRemoved(k *Worker, t *Task) {
	if f.workerOf[t.ID] == k {
		delete(f.workerOf, t.ID)
	}
	f.usedByTeam[t.Spec.Team] = f.usedByTeam[t.Spec.Team].Sub(t.Spec.Demand)
	p := f.placements[t.ID.Job]
	if p == nil {
		return
	}
	if p.zones[k.Zone]--; p.zones[k.Zone] == 0 {
		delete(p.zones, k.Zone)
	}
	if p.tasks--; p.tasks == 0 {
		delete(f.placements, t.ID.Job)
	}
}
