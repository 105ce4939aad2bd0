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
	Launched func(t *Task) // told of each launch that a worker takes; nil: nobody is

	limits map[string]model.Quota
	gangs  map[gangAttempt]map[*Task]bool
	on     map[model.TaskID]*Worker
	used   map[string]model.Resources // by team
	placed map[string]*placement      // by job
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
		on: map[model.TaskID]*Worker{}, used: map[string]model.Resources{}, placed: map[string]*placement{}}
	f.Site = newSite(now, f.gang)
	f.Site.Moved, f.Site.Known = f.moved, f.known
	for _, t := range teams {
		f.limits[t.Name] = t.Quota
	}
	return f
}

// SetNow moves the fleet's time.
func (f *Fleet) SetNow(now time.Time) { f.now = now }

// Add brings a machine up.
func (f *Fleet) Add(l model.MachineInfo) *Worker {
	k := &Worker{site: &f.Site, Name: l.Name, Addr: l.Addr, Type: l.Type, Zone: l.Zone, Spot: l.Spot, Session: 1,
		Tasks: map[model.AttemptKey]*Task{}, renewed: f.now}
	f.Workers[l.Name] = k
	return k
}

// Remove ends a machine and everything on it.
func (f *Fleet) Remove(name string) {
	if k := f.Workers[name]; k != nil {
		k.Clear()
		delete(f.Workers, name)
	}
}

// Told holds what a controller has told the user of a job against all that was told before. Answers of one job
// are to be told in the order in which its user asked.
func (f *Fleet) Told(by, id string, s wire.JobState) { f.tell(by, id, s) }

// AskedToCancel notes that the user of a job asks to cancel it.
func (f *Fleet) AskedToCancel(id string) {
	if h := f.told[id]; h != nil {
		h.askedTo = true
	}
}

// ToldCancelled notes that the user of a job was told that it is cancelled.
func (f *Fleet) ToldCancelled(id string) {
	if _, told := f.Cancelled[id]; !told {
		f.Cancelled[id] = f.now
	}
}

// On tells how many tasks are on machines.
func (f *Fleet) On() int { return len(f.on) }

// CheckCancelled looks for tasks of cancelled jobs that are still on machines.
func (f *Fleet) CheckCancelled() {
	for id, at := range f.Cancelled {
		if p := f.placed[id]; p != nil && p.tasks > 0 && f.now.Sub(at) > f.CancelIn {
			f.broken("ran_cancelled: %d tasks of %s", p.tasks, id)
		}
	}
}

func (f *Fleet) gang(job string, attempt uint64) iter.Seq[*Task] {
	return maps.Keys(f.gangs[gangAttempt{job, attempt}])
}

func (f *Fleet) known(_ *Worker, t *Task, is bool) {
	if is && f.Launched != nil {
		f.Launched(t)
	}
	if t.Spec == nil || t.Spec.Shape != model.Gang {
		return
	}
	key := gangAttempt{t.ID.Job, t.Try}
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

func (f *Fleet) moved(k *Worker, t *Task, on bool) {
	if on {
		f.came(k, t)
	} else {
		f.left(k, t)
	}
}

// came holds a task that is on a machine now against the rules.
func (f *Fleet) came(k *Worker, t *Task) {
	if other := f.on[t.ID]; other != nil {
		f.broken("ran_twice: %v on %s and %s", t.ID, other.Name, k.Name)
	}
	f.on[t.ID] = k
	f.used[t.Spec.Team] = f.used[t.Spec.Team].Add(t.Spec.Demand)
	if u := f.used[t.Spec.Team]; !f.limits[t.Spec.Team].Allows(u) {
		f.broken("quota: %s uses %v", t.Spec.Team, u)
	}
	p := f.placed[t.ID.Job]
	if p == nil {
		p = &placement{zones: map[string]int{}}
		f.placed[t.ID.Job] = p
	}
	p.tasks++
	p.zones[k.Zone]++
	s := t.Spec
	if !s.AllowSpot && k.Spot || !s.AllowsType(k.Type) || s.Zone != "" && s.Zone != k.Zone {
		f.broken("wrong_place: %v on %s", t.ID, k.Name)
	}
	if s.SingleZone && len(p.zones) > 1 || s.Spread && p.zones[k.Zone] > s.MaxTasksPerZone() {
		f.broken("wrong_place: %s has %d tasks in %s", s.ID, p.zones[k.Zone], k.Zone)
	}
	if at, ok := f.Cancelled[t.ID.Job]; ok && f.now.Sub(at) > f.CancelIn {
		f.broken("ran_cancelled: %v on %s", t.ID, k.Name)
	}
}

// left takes a task off the accounts.
func (f *Fleet) left(k *Worker, t *Task) {
	if f.on[t.ID] == k {
		delete(f.on, t.ID)
	}
	f.used[t.Spec.Team] = f.used[t.Spec.Team].Sub(t.Spec.Demand)
	p := f.placed[t.ID.Job]
	if p == nil {
		return
	}
	if p.zones[k.Zone]--; p.zones[k.Zone] == 0 {
		delete(p.zones, k.Zone)
	}
	if p.tasks--; p.tasks == 0 {
		delete(f.placed, t.ID.Job)
	}
}
