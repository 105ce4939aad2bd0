package scheduler

import (
	"math"

	"github.com/glentiller/glentiller/internal/model"
)

// Rules are the result of evaluating a job's constraints for the machines of a pass. They are evaluated once for each
// machine class, and slices by class are indexed by Node.MachineClass. A nil *Rules restricts nothing.
type Rules struct {
	FeasibleByClass   []bool
	PreferenceByClass [2][]float64 // sum added to the efficiency, without the image [0] and with it [1]
	MaxPerMachine     int          // maximum number of tasks of the job on one machine; 0 means no limit
	MaxPerZone        int          // maximum number of tasks of the job in one zone; 0 means no limit

	TasksByMachine       map[*model.Machine]int  // number of tasks of the job; nil if no constraint depends on it
	AffinityZones        []map[string]bool       // for each job that this job must be near, the zones of that job
	AntiAffinityZones    map[string]bool         // zones of jobs that this job must be apart from
	AntiAffinityMachines map[*model.Machine]bool // machines of jobs that this job must be apart from
	JobPreferences       []JobPreference

	// OfferFeasible reports whether all required clauses hold on a machine that could be provisioned.
	OfferFeasible func(offer MachineOffer) bool
}

// MachineOffer describes a machine that could be provisioned.
type MachineOffer struct {
	Type *model.MachineType
	Zone string
	Spot bool
}

// JobPreference is a preference that depends on the location of another job: to be in its zones, or to avoid its
// zones or machines.
type JobPreference struct {
	Zones    map[string]bool
	Machines map[*model.Machine]bool
	Weight   float64 // added to the efficiency of machines in Zones or Machines
}

// AcceptsOffer reports whether the constraints allow the job's tasks on a machine that could be provisioned. Nil rules
// allow all machines.
func (r *Rules) AcceptsOffer(machineType *model.MachineType, zone string, spot bool) bool {
	if r == nil {
		return true
	}
	return r.OfferFeasible(MachineOffer{Type: machineType, Zone: zone, Spot: spot}) && r.checkZone(zone) == Feasible
}

// MeetsJobClauses reports whether a machine still meets the clauses about other jobs, given where those jobs run now. r
// must not be nil.
func (r *Rules) MeetsJobClauses(machine *model.Machine) bool {
	return !r.AntiAffinityMachines[machine] && r.checkZone(machine.Zone) == Feasible
}

// checkZone checks a zone against the zones of other jobs.
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

// machineFull reports whether a machine has the maximum number of the job's tasks. It returns false if r is nil.
func (r *Rules) machineFull(machine *model.Machine) bool {
	return r != nil && r.MaxPerMachine > 0 && r.TasksByMachine[machine] >= r.MaxPerMachine
}

// addTasks adds n to the number of tasks of the job on a machine. It does nothing if no constraint depends on that
// number.
func (r *Rules) addTasks(machine *model.Machine, n int) {
	if r != nil && r.TasksByMachine != nil {
		r.TasksByMachine[machine] += n
	}
}

// preference returns the sum of the job's preferences for a node, which is added to the node's efficiency.
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

// maxPerZone returns the maximum number of tasks of a job in one zone.
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

// ZoneRemaining returns how many more of the request's tasks a zone may hold, given the number of tasks in each zone,
// or math.MaxInt if there is no limit. Most jobs have no limit and need no look-up of the number.
func (r *Request) ZoneRemaining(tasksByZone map[string]int, zone string) int {
	if !r.Job.Spec.Spread && r.Rules == nil {
		return math.MaxInt
	}
	limit := maxPerZone(r.Job.Spec, r.Rules)
	if limit == math.MaxInt {
		return limit
	}
	return max(limit-tasksByZone[zone], 0)
}

// ZoneFull reports whether a zone has the maximum number of the request's tasks, given the number of tasks in each
// zone.
func (r *Request) ZoneFull(tasksByZone map[string]int, zone string) bool {
	return r.ZoneRemaining(tasksByZone, zone) == 0
}

// MaxPerMachine returns the maximum number of tasks of the request's job on one machine, or math.MaxInt if there is
// no limit.
func (r *Request) MaxPerMachine() int {
	if r.Rules == nil || r.Rules.MaxPerMachine == 0 {
		return math.MaxInt
	}
	return r.Rules.MaxPerMachine
}
