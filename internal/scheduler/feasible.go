package scheduler

import "github.com/glentiller/glentiller/internal/model"

// Infeasibility says why a node does not take a task. The functions that decide are the ones that explain: an
// explanation counts what they return.
type Infeasibility uint8

// The reasons why a node does not take a task, in the order in which they are checked.
const (
	Feasible              Infeasibility = iota
	OtherZone                           // not in the zone that the job's other tasks are in
	WrongZone                           // not in the job's zone
	SpotNotAllowed                      // a spot machine, which the job may not use
	TypeNotAllowed                      // not one of the job's machine types
	TooSmall                            // no task fits, even when the machine is empty
	RulesNotMet                         // a required clause does not hold on its machine class
	AffinityNotMet                      // not in a zone of a job that it has to be near
	AntiAffinityViolated                // in a zone or on a machine of a job that it has to be apart from
	ReservedForGPU                      // reserved for GPU work
	FailedBefore                        // a task of the job has failed there
	InsufficientResources               // not enough is free
	ZoneFull                            // its zone has as many of the job's tasks as it may have
	MachineFull                         // it has as many of the job's tasks as it may have
)

// infeasibilityTexts are the reasons as users read them.
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

// checkMachine checks whether a job may use a machine at all, in a zone ("": any).
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

// checkStatic checks what does not change while a request is served, in a zone ("": any).
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

// checkCapacity checks whether there is capacity for one more task of a request.
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

// Feasibility returns why a node, as the pass sees it, does not take one more task of a request, in a zone ("": any).
func (n *Node) Feasibility(request *Request, zone string) Infeasibility {
	if reason := n.checkStatic(request.Job, request.Rules, zone); reason != Feasible {
		return reason
	}
	return n.checkCapacity(request)
}

// reservedAgainst reports whether a node is reserved for GPU work, which a job is not. It keeps a few small tasks from
// holding the most expensive machines for hours, and excludes no work that no other machine takes.
func (n *Node) reservedAgainst(job *model.Job) bool {
	return n.ReservedForGPU && job.Spec.Demand.GPU == 0 && !job.MayUseGPUMachines
}

// hasImage reports whether a machine is known to hold the job's image.
func (n *Node) hasImage(spec *model.Spec) bool {
	_, ok := n.Machine.CachedImages[spec.Image]
	return ok
}

// nodeFilter narrows down the nodes that a request is placed on. The zero value accepts all nodes.
type nodeFilter struct {
	requireImage bool    // only nodes that hold the image
	maxPrice     float64 // of a CPU for an hour; 0: any
	minFetchRate float64 // GB a second at which the machine fetches images; 0: any
}

// accepts reports whether the filter lets a node through.
func (f nodeFilter) accepts(node *Node, spec *model.Spec) bool {
	return (!f.requireImage || node.hasImage(spec)) && f.acceptsKind(node)
}

// acceptsKind judges what machines of one kind have in common.
func (f nodeFilter) acceptsKind(node *Node) bool {
	affordable := f.maxPrice == 0 || pricePerCPU(node.Machine) <= f.maxPrice
	return affordable && node.Machine.Type.FetchGBPerS >= f.minFetchRate
}

// fetchSafetyFactor is how many times slower than its type says a machine may fetch.
const fetchSafetyFactor = 4.0 / 3

// minFetchRate is the rate, in GB a second, at which a machine without the image has to fetch it for the request to
// start by its deadline; 0: there is no deadline, or no time is left. Without it, replicas would go to the most
// efficient machine even where that fetches too slowly to ever be in time.
func (r *Request) minFetchRate() float64 {
	if !r.HasDeadline || r.Slack <= 0 {
		return 0
	}
	return r.Job.Spec.ImageGB * fetchSafetyFactor / r.Slack.Seconds()
}
