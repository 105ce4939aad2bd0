package scheduler

import (
	"math"

	"github.com/glentiller/glentiller/internal/model"
)

// Rules are what a job's rules say of the machines of a pass, evaluated once a machine class and looked up here by
// Node.MachineClass. A nil *Rules restricts nothing.
type Rules struct {
	FeasibleByClass   []bool
	PreferenceByClass [2][]float64 // what preferences add to the efficiency, without the image and with it
	MaxPerMachine     int          // tasks of the job on one machine; 0: any number
	MaxPerZone        int          // tasks of the job in one zone; 0: any number

	TasksByMachine       map[*model.Machine]int // tasks of the job; nil: no rule asks for them
	AffinityZones        []map[string]bool      // of each job that it has to be near, its zones
	AntiAffinityZones    map[string]bool
	AntiAffinityMachines map[*model.Machine]bool
	JobPreferences       []JobPreference

	// OfferFeasible reports whether the required clauses hold on a machine that could be provisioned.
	OfferFeasible func(offer MachineOffer) bool
}

// MachineOffer is a kind of machine that could be provisioned.
type MachineOffer struct {
	Type *model.MachineType
	Zone string
	Spot bool
}

// JobPreference is a preference that depends on another job: to be in its zones, or off its zones or machines.
type JobPreference struct {
	Zones    map[string]bool
	Machines map[*model.Machine]bool
	Weight   float64 // added to the efficiency of machines in Zones or among Machines
}

// AcceptsOffer reports whether a machine that could be provisioned could take the job's tasks.
func (r *Rules) AcceptsOffer(machineType *model.MachineType, zone string, spot bool) bool {
	if r == nil {
		return true
	}
	return r.OfferFeasible(MachineOffer{Type: machineType, Zone: zone, Spot: spot}) && r.checkZone(zone) == Feasible
}

// StillMet reports whether a machine still meets what the rules say of other jobs.
func (r *Rules) StillMet(machine *model.Machine) bool {
	return !r.AntiAffinityMachines[machine] && r.checkZone(machine.Zone) == Feasible
}

// checkZone checks a zone by where other jobs are.
func (r *Rules) checkZone(zone string) Infeasibility {
	for _, zones := range r.AffinityZones {
		if !zones[zone] {
			return AffinityNotMet
		}
	}
	if r.AntiAffinityZones[zone] {
		return AntiAffinityViolated
	}
	return Feasible
}

// machineFull reports whether a machine has as many of the job's tasks as it may have.
func (r *Rules) machineFull(machine *model.Machine) bool {
	return r != nil && r.MaxPerMachine > 0 && r.TasksByMachine[machine] >= r.MaxPerMachine
}

// addTasks counts n more tasks of the job on a machine.
func (r *Rules) addTasks(machine *model.Machine, n int) {
	if r != nil && r.TasksByMachine != nil {
		r.TasksByMachine[machine] += n
	}
}

// preference is what the job's preferences add to a node's efficiency.
func (r *Rules) preference(node *Node, hasImage bool) float64 {
	byClass := r.PreferenceByClass[0]
	if hasImage {
		byClass = r.PreferenceByClass[1]
	}
	sum := byClass[node.MachineClass]
	for i := range r.JobPreferences {
		preference := &r.JobPreferences[i]
		if preference.Zones[node.Machine.Zone] || preference.Machines[node.Machine] {
			sum += preference.Weight
		}
	}
	return sum
}

// maxPerZone is how many tasks of a job may be in one zone.
func maxPerZone(spec *model.Spec, rules *Rules) int {
	limit := math.MaxInt
	if spec.Spread {
		limit = spec.MaxTasksPerZone()
	}
	if rules != nil && rules.MaxPerZone > 0 {
		limit = min(limit, rules.MaxPerZone)
	}
	return limit
}

// ZoneFull reports whether a zone has as many of the request's tasks as it may have, by the given counts. Most jobs
// have no such bound, and need no look at the counts.
func (r *Request) ZoneFull(tasksByZone map[string]int, zone string) bool {
	if !r.Job.Spec.Spread && r.Rules == nil {
		return false
	}
	return tasksByZone[zone] >= maxPerZone(r.Job.Spec, r.Rules)
}

// MaxPerMachine is how many tasks of the request's job may be on one machine.
func (r *Request) MaxPerMachine() int {
	if r.Rules == nil || r.Rules.MaxPerMachine == 0 {
		return math.MaxInt
	}
	return r.Rules.MaxPerMachine
}
