package scheduler

import "github.com/glentiller/glentiller/internal/model"

// Infeasibility is the reason why a node does not take a task, or Feasible if it does. Explanations for users count
// the values that the checks of the scheduler return, so that they always agree with its decisions.
type Infeasibility uint8

// The values of Infeasibility, in the order in which they are checked.
const (
	Feasible              Infeasibility = iota
	OtherZone                           // not in the zone of the job's other tasks
	WrongZone                           // not in the zone that the job requires
	SpotNotAllowed                      // a spot instance, which the job does not allow
	TypeNotAllowed                      // not one of the machine types that the job allows
	TooSmall                            // the capacity of the empty machine is too small for a task
	RulesNotMet                         // a required clause of the job's constraints does not hold on its machine class
	AffinityNotMet                      // not in a zone of a job that this job must be near
	AntiAffinityViolated                // in a zone or on a machine of a job that this job must be apart from
	ReservedForGPU                      // reserved for tasks that need GPUs
	FailedBefore                        // a task of the job has failed on it
	InsufficientResources               // not enough free resources
	ZoneFull                            // its zone has the maximum number of the job's tasks
	MachineFull                         // it has the maximum number of the job's tasks
)

// infeasibilityTexts contains the texts that explanations show to users.
var infeasibilityTexts = [...]string{
	Feasible:              "fits",
	OtherZone:             "another zone than the job's other tasks",
	WrongZone:             "not in the job's zone",
	SpotNotAllowed:        "spot, which the job may not use",
	TypeNotAllowed:        "not of the job's machine types",
	TooSmall:              "too small for a task",
	RulesNotMet:           "refused by the job's rules",
	AffinityNotMet:        "not in a zone of the job that it has to be near",
	AntiAffinityViolated:  "too near to a job that it has to be apart from",
	ReservedForGPU:        "kept for GPU work",
	FailedBefore:          "a task of the job has failed there",
	InsufficientResources: "not enough is free",
	ZoneFull:              "as many of the job's tasks as may be are in the zone",
	MachineFull:           "as many of the job's tasks as may be are on the machine",
}

func (i Infeasibility) String() string { return infeasibilityTexts[i] }

// checkMachine checks whether a job may use the node's machine at all. A zone other than "" restricts the job to that
// zone. Nil rules restrict nothing.
func (n *Node) checkMachine(spec *model.Spec, rules *Rules, zone string) Infeasibility {
	machine := n.Machine
	switch {
	case zone != "" && machine.Zone != zone:
		return OtherZone
	case spec.Zone != "" && machine.Zone != spec.Zone:
		return WrongZone
	case machine.Spot && !spec.AllowSpot:
		return SpotNotAllowed
	case !spec.AllowsType(machine.Type.Name):
		return TypeNotAllowed
	case !spec.Demand.Fits(machine.Type.Capacity):
		return TooSmall
	case rules == nil:
		return Feasible
	case !rules.FeasibleByClass[n.MachineClass]:
		return RulesNotMet
	case rules.AntiAffinityMachines[machine]:
		return AntiAffinityViolated
	}
	return rules.checkZone(machine.Zone)
}

// checkStatic runs all checks whose result does not change while a request is served. A zone other than "" restricts
// the job to that zone.
func (n *Node) checkStatic(job *model.Job, rules *Rules, zone string) Infeasibility {
	if reason := n.checkMachine(job.Spec, rules, zone); reason != Feasible {
		return reason
	}
	switch {
	case n.reservedAgainst(job):
		return ReservedForGPU
	case job.ErrorsByMachine[n.Machine.Name] > 0:
		return FailedBefore
	}
	return Feasible
}

// checkCapacity checks whether the node can take one more task of a request, given the tasks that the pass has placed
// so far.
func (n *Node) checkCapacity(request *Request) Infeasibility {
	switch {
	case !request.Job.Spec.Demand.Fits(n.Free):
		return InsufficientResources
	case request.ZoneFull(request.TasksByZone, n.Machine.Zone):
		return ZoneFull
	case request.Rules.machineFull(n.Machine):
		return MachineFull
	}
	return Feasible
}

// Feasibility returns the reason why a node, in the state that the pass has left it in, does not take one more task
// of a request, or Feasible if it does. A zone other than "" restricts the request to that zone.
func (n *Node) Feasibility(request *Request, zone string) Infeasibility {
	if reason := n.checkStatic(request.Job, request.Rules, zone); reason != Feasible {
		return reason
	}
	return n.checkCapacity(request)
}

// reservedAgainst reports whether a node is reserved for tasks that need GPUs and the job's tasks need none. The
// reservation keeps a few small tasks from holding the most expensive machines for hours. It does not exclude jobs
// that fit no other machine.
func (n *Node) reservedAgainst(job *model.Job) bool {
	return n.ReservedForGPU && job.Spec.Demand.GPU == 0 && !job.MayUseGPUMachines
}

// hasImage reports whether the node's machine is known to hold the image of a job.
func (n *Node) hasImage(spec *model.Spec) bool {
	_, ok := n.Machine.CachedImages[spec.Image]
	return ok
}

// nodeFilter restricts the nodes that tasks of a request are placed on. The zero value accepts all nodes.
type nodeFilter struct {
	requireImage bool    // accept only nodes that hold the image
	maxPrice     float64 // maximum price of a CPU for an hour; 0 means no limit
	minFetchRate float64 // minimum rate, in GB/s, at which the machine fetches images; 0 means no limit
}

// accepts reports whether the filter accepts a node.
func (f nodeFilter) accepts(node *Node, spec *model.Spec) bool {
	return (!f.requireImage || node.hasImage(spec)) && f.acceptsMachineKind(node)
}

// acceptsMachineKind checks only what is equal for all machines of one machine kind: the price and the fetch rate.
func (f nodeFilter) acceptsMachineKind(node *Node) bool {
	affordable := f.maxPrice == 0 || pricePerCPU(node.Machine) <= f.maxPrice
	return affordable && node.Machine.Type.FetchGBPerS >= f.minFetchRate
}

// fetchSafetyFactor is the factor by which a machine may fetch images more slowly than its machine type states.
const fetchSafetyFactor = 4.0 / 3

// minFetchRate returns the rate, in GB/s, at which a machine without the image has to fetch it for the request to
// start by its deadline. It returns 0 if the request has no deadline or no slack left. Without this limit, replicas
// would go to the most efficient machine even if that fetches too slowly to ever start them in time.
func (r *Request) minFetchRate() float64 {
	if !r.HasDeadline || r.Slack <= 0 {
		return 0
	}
	return r.Job.Spec.ImageGB * fetchSafetyFactor / r.Slack.Seconds()
}
