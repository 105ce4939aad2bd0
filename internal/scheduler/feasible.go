package scheduler

import (
	"math"

	"github.com/glentiller/glentiller/internal/model"
)

// Infeasibility says why a machine does not take a task. The code that refuses is the code
// that explains: explanations count what these functions answer.
type Infeasibility uint8

// The refusals, in the order in which they are looked for.
const (
	Feasible              Infeasibility = iota
	OtherZone                           // not in the zone that the job's other tasks are in
	WrongZone                           // not in the job's zone
	SpotNotAllowed                      // a spot machine, which the job may not use
	TypeNotAllowed                      // not of the job's types
	TooSmall                            // no task fits it even when it is empty
	RulesNotMet                         // a required clause does not hold on its class
	AffinityNotMet                      // not in a zone of the job that it has to be near
	AntiAffinityViolated                // in a zone or on a machine of a job that it has to be apart from
	ReservedForGPU                      // kept for GPU work
	FailedBefore                        // a task of the job has failed there
	InsufficientResources               // not enough is free
	ZoneFull                            // as many of the job's tasks as may be are in its zone
	MachineFull                         // and on the machine
)

func (r Infeasibility) String() string {
	return [...]string{"fits", "another zone than the job's other tasks", "not in the job's zone", "spot, which the job may not use", "not of the job's machine types",
		"too small for a task", "refused by the job's rules", "not in a zone of the job that it has to be near", "too near to a job that it has to be apart from",
		"kept for GPU work", "a task of the job has failed there", "not enough is free", "as many of the job's tasks as may be are in the zone", "as many of the job's tasks as may be are on the machine"}[r]
}

// Rules are what a job's rules say of the machines of a pass. They are made once a class
// of machines, and looked up by class here. A nil *Rules says nothing.
type Rules struct {
	FeasibleByClass      []bool                            // by class
	PreferenceByClass    [2][]float64                      // by class, without the image and with it: what it adds to the efficiency
	MaxPerMachine        int                               // of the job's tasks; 0: any number
	MaxPerZone           int                               // and in a zone
	TasksByMachine       map[*model.Machine]int            // tasks of the job on machines; nil where no rule asks
	AffinityZones        []map[string]bool                 // zones of the jobs that it has to be near
	AntiAffinityZones    map[string]bool                   // zones that it has to keep off
	AntiAffinityMachines map[*model.Machine]bool           // machines that it has to keep off
	JobPreferences       []JobPreference                   // wishes that hang on other jobs
	OfferFeasible        func(o MachineOffer) (allow bool) // whether machines that could be rented are of any use
}

// MachineOffer is a kind of machine that could be rented.
type MachineOffer struct {
	Type *model.MachineType
	Zone string
	Spot bool
}

// JobPreference is a wish that hangs on another job: to be in its zones, or off its zones or machines.
type JobPreference struct {
	Zones    map[string]bool
	Machines map[*model.Machine]bool
	Weight   float64 // where the machine is in the zones or among the machines
}

// AcceptsOffer tells whether a rented machine of a kind could take the job's tasks.
func (r *Rules) AcceptsOffer(t *model.MachineType, zone string, spot bool) bool {
	return r == nil || r.OfferFeasible(MachineOffer{t, zone, spot}) && r.checkZone(zone) == Feasible
}

// StillMet tells whether a machine still meets what the rules say of other jobs.
func (r *Rules) StillMet(m *model.Machine) bool {
	return !r.AntiAffinityMachines[m] && r.checkZone(m.Zone) == Feasible
}

// checkZone judges a zone by where other jobs are.
func (r *Rules) checkZone(zone string) Infeasibility {
	for _, near := range r.AffinityZones {
		if !near[zone] {
			return AffinityNotMet
		}
	}
	if r.AntiAffinityZones[zone] {
		return AntiAffinityViolated
	}
	return Feasible
}

// machineFull tells whether as many of the job's tasks as may be are on a machine.
func (r *Rules) machineFull(m *model.Machine) bool {
	return r != nil && r.MaxPerMachine > 0 && r.TasksByMachine[m] >= r.MaxPerMachine
}

// addTasks counts tasks of the job on a machine.
func (r *Rules) addTasks(m *model.Machine, n int) {
	if r != nil && r.TasksByMachine != nil {
		r.TasksByMachine[m] += n
	}
}

// preference is what the job's wishes add to a machine's efficiency.
func (r *Rules) preference(nd *Node, image bool) float64 {
	k := 0
	if image {
		k = 1
	}
	sum := r.PreferenceByClass[k][nd.MachineClass]
	for i := range r.JobPreferences {
		if t := &r.JobPreferences[i]; t.Zones[nd.Machine.Zone] || t.Machines[nd.Machine] {
			sum += t.Weight
		}
	}
	return sum
}

// maxPerZone is how many tasks of a job may be in one zone.
func maxPerZone(spec *model.Spec, r *Rules) int {
	most := math.MaxInt
	if spec.Spread {
		most = spec.MaxTasksPerZone()
	}
	if r != nil && r.MaxPerZone > 0 {
		most = min(most, r.MaxPerZone)
	}
	return most
}

// ZoneFull tells whether as many of the want's tasks as may be are in a zone, by the given
// count. Most jobs bound nothing, and cost no look at the count.
func (w *Request) ZoneFull(zones map[string]int, zone string) bool {
	if !w.Job.Spec.Spread && w.Rules == nil {
		return false
	}
	return zones[zone] >= maxPerZone(w.Job.Spec, w.Rules)
}

// MaxPerMachine is how many tasks of the want's job may be on one machine.
func (w *Request) MaxPerMachine() int {
	if w.Rules == nil || w.Rules.MaxPerMachine == 0 {
		return math.MaxInt
	}
	return w.Rules.MaxPerMachine
}

// checkMachine judges whether a job may use a machine at all, in a zone unless that is empty.
func (nd *Node) checkMachine(spec *model.Spec, rules *Rules, zone string) Infeasibility {
	m := nd.Machine
	switch {
	case zone != "" && m.Zone != zone:
		return OtherZone
	case spec.Zone != "" && m.Zone != spec.Zone:
		return WrongZone
	case m.Spot && !spec.AllowSpot:
		return SpotNotAllowed
	case !spec.AllowsType(m.Type.Name):
		return TypeNotAllowed
	case !spec.Demand.Fits(m.Type.Capacity):
		return TooSmall
	case rules == nil:
		return Feasible
	case !rules.FeasibleByClass[nd.MachineClass]:
		return RulesNotMet
	case rules.AntiAffinityMachines[m]:
		return AntiAffinityViolated
	}
	return rules.checkZone(m.Zone)
}

// checkStatic judges what does not change while a want is served.
func (nd *Node) checkStatic(j *model.Job, rules *Rules, zone string) Infeasibility {
	if r := nd.checkMachine(j.Spec, rules, zone); r != Feasible {
		return r
	}
	switch {
	case nd.reservedAgainst(j):
		return ReservedForGPU
	case j.ErrorsByMachine[nd.Machine.Name] > 0:
		return FailedBefore
	}
	return Feasible
}

// checkCapacity judges what is left for one more task of a want.
func (nd *Node) checkCapacity(w *Request) Infeasibility {
	switch {
	case !w.Job.Spec.Demand.Fits(nd.Free):
		return InsufficientResources
	case w.ZoneFull(w.TasksByZone, nd.Machine.Zone):
		return ZoneFull
	case w.Rules.machineFull(nd.Machine):
		return MachineFull
	}
	return Feasible
}

// Feasibility tells why a machine does not take one more task of a want, as the pass sees it.
func (nd *Node) Feasibility(w *Request, zone string) Infeasibility {
	if r := nd.checkStatic(w.Job, w.Rules, zone); r != Feasible {
		return r
	}
	return nd.checkCapacity(w)
}
