package autoscaler

import (
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// Snapshot is the state of the cluster that ScaleOut decides from. ScaleOut modifies it: Incoming and MachinesByZone
// include the machines that it requests.
type Snapshot struct {
	Types          []model.MachineType
	Incoming       []*Incoming
	RefusedUntil   map[Offer]time.Time
	MachinesByZone map[string]int
	SuspectZones   map[string]bool // zones that are likely cut off: a machine that boots there cannot register

	// ReservedForGPU reports whether machines of a kind are reserved for GPU work.
	ReservedForGPU func(machineType *model.MachineType, spot bool) bool

	// CapacityInZone returns how many tasks fit on running machines in a zone. nil: none.
	CapacityInZone func(pending *scheduler.Request, zone string) int

	kinds          []machineKind      // of Incoming, by Incoming.kindIndex
	judgedRequest  *scheduler.Request // that feasibleByKind is about
	feasibleByKind []bool             // whether its tasks may use machines of the kind
}

// Incoming is capacity that becomes available without a request: a machine that is booting or was requested, or the
// part of a running one that is likely free within a boot time.
type Incoming struct {
	Type     *model.MachineType
	Zone     string
	Spot     bool
	FreeSoon func() model.Resources // of a running machine, called at most once; nil: all of the machine

	free             model.Resources // what is left of it
	computed         bool            // free is
	kindIndex        int             // index in Snapshot.kinds
	lastRequest      *scheduler.Request
	lastRequestTasks int // tasks of lastRequest that it was filled with
}

// available is the capacity that is left.
func (i *Incoming) available() model.Resources {
	if !i.computed {
		i.computed = true
		if i.free = i.Type.Capacity; i.FreeSoon != nil {
			i.free = i.FreeSoon()
		}
	}
	return i.free
}

// hasTasksOf is how many tasks of a pending request it was filled with since another request's.
func (i *Incoming) hasTasksOf(pending *scheduler.Request) int {
	if i.lastRequest != pending {
		return 0
	}
	return i.lastRequestTasks
}

// addTask takes the capacity for one task of a pending request.
func (i *Incoming) addTask(pending *scheduler.Request) {
	i.lastRequest, i.lastRequestTasks = pending, i.hasTasksOf(pending)+1
	i.free = i.free.Sub(pending.Job.Spec.Demand)
}

// machineKind is what decides which requests may use a machine, running or not.
type machineKind struct {
	machineType   *model.MachineType
	zone          string
	spot, running bool
}

// prepare forgets what an earlier call of ScaleOut computed.
func (s *Snapshot) prepare() {
	s.kinds, s.judgedRequest = nil, nil
	for _, incoming := range s.Incoming {
		incoming.computed = false
		s.assignKind(incoming)
	}
}

// assignKind sets the kind index of incoming capacity.
func (s *Snapshot) assignKind(incoming *Incoming) {
	kind := machineKind{incoming.Type, incoming.Zone, incoming.Spot, incoming.FreeSoon != nil}
	if incoming.kindIndex = slices.Index(s.kinds, kind); incoming.kindIndex < 0 {
		incoming.kindIndex = len(s.kinds)
		s.kinds = append(s.kinds, kind)
	}
}

// addMachine adds a machine that is going to be requested.
func (s *Snapshot) addMachine(machineType *model.MachineType, offer Offer) *Incoming {
	machine := &Incoming{
		Type:     machineType,
		Zone:     offer.Zone,
		Spot:     offer.Spot,
		free:     machineType.Capacity,
		computed: true,
	}
	s.assignKind(machine)
	s.Incoming = append(s.Incoming, machine)
	s.MachinesByZone[offer.Zone]++
	return machine
}

// fits reports whether tasks of a pending request may use incoming capacity, and one of them fits.
func (s *Snapshot) fits(pending *scheduler.Request, incoming *Incoming) bool {
	return s.feasible(pending, incoming) && pending.Job.Spec.Demand.Fits(incoming.available())
}

// feasible reports whether tasks of a pending request may use incoming capacity, however much there is. It is judged
// once a machine kind for each request, rather than for each of thousands of machines.
func (s *Snapshot) feasible(pending *scheduler.Request, incoming *Incoming) bool {
	if s.judgedRequest != pending {
		s.judgedRequest, s.feasibleByKind = pending, s.feasibleByKind[:0]
	}
	for len(s.feasibleByKind) < len(s.kinds) {
		s.feasibleByKind = append(s.feasibleByKind, s.kindFeasible(pending, s.kinds[len(s.feasibleByKind)]))
	}
	return s.feasibleByKind[incoming.kindIndex]
}

// kindFeasible reports whether tasks of a pending request may use machines of a kind. Urgent requests do not wait for
// running machines.
func (s *Snapshot) kindFeasible(pending *scheduler.Request, kind machineKind) bool {
	spec := pending.Job.Spec
	switch {
	case pending.Urgent() && kind.running:
		return false
	case kind.spot && !spec.AllowSpot:
		return false
	case !spec.Demand.Fits(kind.machineType.Capacity) || !spec.AllowsType(kind.machineType.Name):
		return false
	case spec.Zone != "" && spec.Zone != kind.zone:
		return false
	case s.reservedForGPU(pending.Job, kind.machineType, kind.spot):
		return false
	}
	return pending.Rules.AcceptsOffer(kind.machineType, kind.zone, kind.spot)
}

// reservedForGPU reports whether a kind of machine is reserved for GPU work, which a job is not.
func (s *Snapshot) reservedForGPU(job *model.Job, machineType *model.MachineType, spot bool) bool {
	return job.Spec.Demand.GPU == 0 && !job.MayUseGPUMachines && s.ReservedForGPU(machineType, spot)
}
