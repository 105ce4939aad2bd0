package scheduler

import (
	"math"

	"github.com/glentiller/glentiller/internal/model"
)

// Refusal says why a machine does not take a task. The code that refuses is the code
// that explains: explanations count what these functions answer.
type Refusal uint8

// The refusals, in the order in which they are looked for.
const (
	Fits        Refusal = iota
	OtherZone           // not in the zone that the job's other tasks are in
	WrongZone           // not in the job's zone
	NoSpot              // a spot machine, which the job may not use
	WrongType           // not of the job's types
	TooSmall            // no task fits it even when it is empty
	ByRules             // a required clause does not hold on its class
	NotNear             // not in a zone of the job that it has to be near
	TooNear             // in a zone or on a machine of a job that it has to be apart from
	KeptForGPU          // kept for GPU work
	Failed              // a task of the job has failed there
	NoRoom              // not enough is free
	ZoneFull            // as many of the job's tasks as may be are in its zone
	MachineFull         // and on the machine
)

func (r Refusal) String() string {
	return [...]string{"fits", "another zone than the job's other tasks", "not in the job's zone", "spot, which the job may not use", "not of the job's machine types",
		"too small for a task", "refused by the job's rules", "not in a zone of the job that it has to be near", "too near to a job that it has to be apart from",
		"kept for GPU work", "a task of the job has failed there", "not enough is free", "as many of the job's tasks as may be are in the zone", "as many of the job's tasks as may be are on the machine"}[r]
}

// Rules are what a job's rules say of the machines of a pass. They are made once a class
// of machines, and looked up by class here. A nil *Rules says nothing.
type Rules struct {
	Fit        []bool                       // by class
	Wishes     [2][]float64                 // by class, without the image and with it: what it adds to the efficiency
	PerMachine int                          // of the job's tasks; 0: any number
	PerZone    int                          // and in a zone
	On         map[*model.Machine]int       // tasks of the job on machines; nil where no rule asks
	Near       []map[string]bool            // zones of the jobs that it has to be near
	FarZones   map[string]bool              // zones that it has to keep off
	Far        map[*model.Machine]bool      // machines that it has to keep off
	Ties       []Tie                        // wishes that hang on other jobs
	Offers     func(o Offered) (allow bool) // whether machines that could be rented are of any use
}

// Offered is a kind of machine that could be rented.
type Offered struct {
	Type *model.MachineType
	Zone string
	Spot bool
}

// Tie is a wish that hangs on another job: to be in its zones, or off its zones or machines.
type Tie struct {
	Zones    map[string]bool
	Machines map[*model.Machine]bool
	Weight   float64 // where the machine is in the zones or among the machines
}

// Offer tells whether a rented machine of a kind could take the job's tasks.
func (r *Rules) Offer(t *model.MachineType, zone string, spot bool) bool {
	return r == nil || r.Offers(Offered{t, zone, spot}) && r.zone(zone) == Fits
}

// Stands tells whether a machine still meets what the rules say of other jobs.
func (r *Rules) Stands(m *model.Machine) bool { return !r.Far[m] && r.zone(m.Zone) == Fits }

// zone judges a zone by where other jobs are.
func (r *Rules) zone(zone string) Refusal {
	for _, near := range r.Near {
		if !near[zone] {
			return NotNear
		}
	}
	if r.FarZones[zone] {
		return TooNear
	}
	return Fits
}

// machineFull tells whether as many of the job's tasks as may be are on a machine.
func (r *Rules) machineFull(m *model.Machine) bool {
	return r != nil && r.PerMachine > 0 && r.On[m] >= r.PerMachine
}

// put counts tasks of the job on a machine.
func (r *Rules) put(m *model.Machine, n int) {
	if r != nil && r.On != nil {
		r.On[m] += n
	}
}

// wish is what the job's wishes add to a machine's efficiency.
func (r *Rules) wish(nd *Node, image bool) float64 {
	k := 0
	if image {
		k = 1
	}
	sum := r.Wishes[k][nd.Class]
	for i := range r.Ties {
		if t := &r.Ties[i]; t.Zones[nd.Machine.Zone] || t.Machines[nd.Machine] {
			sum += t.Weight
		}
	}
	return sum
}

// zoneCap is how many tasks of a job may be in one zone.
func zoneCap(spec *model.Spec, r *Rules) int {
	most := math.MaxInt
	if spec.Spread {
		most = spec.MaxTasksPerZone()
	}
	if r != nil && r.PerZone > 0 {
		most = min(most, r.PerZone)
	}
	return most
}

// ZoneFull tells whether as many of the want's tasks as may be are in a zone, by the given
// count. Most jobs bound nothing, and cost no look at the count.
func (w *Want) ZoneFull(zones map[string]int, zone string) bool {
	if !w.Job.Spec.Spread && w.Rules == nil {
		return false
	}
	return zones[zone] >= zoneCap(w.Job.Spec, w.Rules)
}

// PerMachine is how many tasks of the want's job may be on one machine.
func (w *Want) PerMachine() int {
	if w.Rules == nil || w.Rules.PerMachine == 0 {
		return math.MaxInt
	}
	return w.Rules.PerMachine
}

// may judges whether a job may use a machine at all, in a zone unless that is empty.
func (nd *Node) may(spec *model.Spec, rules *Rules, zone string) Refusal {
	m := nd.Machine
	switch {
	case zone != "" && m.Zone != zone:
		return OtherZone
	case spec.Zone != "" && m.Zone != spec.Zone:
		return WrongZone
	case m.Spot && !spec.AllowSpot:
		return NoSpot
	case !spec.AllowsType(m.Type.Name):
		return WrongType
	case !spec.Demand.Fits(m.Type.Capacity):
		return TooSmall
	case rules == nil:
		return Fits
	case !rules.Fit[nd.Class]:
		return ByRules
	case rules.Far[m]:
		return TooNear
	}
	return rules.zone(m.Zone)
}

// never judges what does not change while a want is served.
func (nd *Node) never(j *model.Job, rules *Rules, zone string) Refusal {
	if r := nd.may(j.Spec, rules, zone); r != Fits {
		return r
	}
	switch {
	case nd.kept(j):
		return KeptForGPU
	case j.ErrorsByMachine[nd.Machine.Name] > 0:
		return Failed
	}
	return Fits
}

// now judges what is left for one more task of a want.
func (nd *Node) now(w *Want) Refusal {
	switch {
	case !w.Job.Spec.Demand.Fits(nd.Free):
		return NoRoom
	case w.ZoneFull(w.Zones, nd.Machine.Zone):
		return ZoneFull
	case w.Rules.machineFull(nd.Machine):
		return MachineFull
	}
	return Fits
}

// Judge tells why a machine does not take one more task of a want, as the pass sees it.
func (nd *Node) Judge(w *Want, zone string) Refusal {
	if r := nd.never(w.Job, w.Rules, zone); r != Fits {
		return r
	}
	return nd.now(w)
}
