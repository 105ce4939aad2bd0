package autoscaler

import (
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// Snapshot is the state of the cluster that ScaleOut decides from. ScaleOut modifies it: it adds the machines that it
// requests to Incoming, reduces the capacity of Incoming by the tasks that it assigns, and counts in MachinesByZone the
// machines that it requests or leaves to a later call.
type Snapshot struct {
	Types          []model.MachineType // the cloud's catalog
	Incoming       []*Incoming
	RefusedUntil   map[Offer]time.Time // until when an offer is not requested because the cloud refused it
	MachinesByZone map[string]int      // number of machines in each zone; must not be nil
	SuspectZones   map[string]bool     // zones suspected to be partitioned: a machine that boots there cannot register

	// ReservedForGPU reports whether machines of a type, spot or on-demand, are reserved for GPU work. It must not be nil.
	ReservedForGPU func(machineType *model.MachineType, spot bool) bool

	// CapacityInZone returns how many tasks of a pending request fit on the running machines in a zone. If it is nil,
	// running machines are taken to have no capacity.
	CapacityInZone func(pending *scheduler.Request, zone string) int

	kinds              []machineKind      // kinds of the machines in Incoming; Incoming.kindIndex is an index into it
	feasibilityRequest *scheduler.Request // request that feasibleByKind was computed for
	feasibleByKind     []bool             // whether tasks of feasibilityRequest may use a kind, indexed like kinds
}

// Incoming is capacity that is expected to become available without a new request: a machine that is booting or was
// already requested, or the part of a running machine that is likely to become free soon (Settings.LookaheadBootTimes).
type Incoming struct {
	Type *model.MachineType
	Zone string
	Spot bool

	// FreeSoon returns the resources of a running machine that are likely to be free soon. Each call of ScaleOut calls
	// it at most once. It is nil for a machine that is not running yet, whose whole capacity is incoming.
	FreeSoon func() model.Resources

	free         model.Resources // capacity that is not assigned yet; valid only if freeComputed is true
	freeComputed bool            // whether free has been computed; see available
	kindIndex    int             // index of the machine's kind in Snapshot.kinds
}

// available returns the capacity that is not assigned to tasks yet. It computes the initial capacity on first use.
func (i *Incoming) available() model.Resources {
	if !i.freeComputed {
		i.freeComputed = true
		if i.free = i.Type.Capacity; i.FreeSoon != nil {
			i.free = i.FreeSoon()
		}
	}
	return i.free
}

// addTasks assigns tasks of a pending request to the incoming machine. The caller has checked that they fit.
func (i *Incoming) addTasks(pending *scheduler.Request, tasks int) {
	i.free = i.available().Sub(pending.Job.Spec.Demand.Times(tasks))
}

// machineKind holds everything that determines which requests may use an incoming machine.
type machineKind struct {
	machineType   *model.MachineType
	zone          string
	spot, running bool
}

// resetCaches discards what an earlier call of ScaleOut computed, and assigns the kinds of the incoming machines.
func (s *Snapshot) resetCaches() {
	s.kinds, s.feasibilityRequest = nil, nil
	for _, incoming := range s.Incoming {
		incoming.freeComputed = false
		s.assignKind(incoming)
	}
}

// assignKind sets the kind index of an incoming machine, and adds its kind to s.kinds if it is new.
func (s *Snapshot) assignKind(incoming *Incoming) {
	kind := machineKind{incoming.Type, incoming.Zone, incoming.Spot, incoming.FreeSoon != nil}
	if incoming.kindIndex = slices.Index(s.kinds, kind); incoming.kindIndex < 0 {
		incoming.kindIndex = len(s.kinds)
		s.kinds = append(s.kinds, kind)
	}
}

// addIncoming adds a machine that is about to be requested to Incoming.
func (s *Snapshot) addIncoming(machineType *model.MachineType, offer Offer) *Incoming {
	machine := &Incoming{Type: machineType, Zone: offer.Zone, Spot: offer.Spot}
	s.assignKind(machine)
	s.Incoming = append(s.Incoming, machine)
	return machine
}

// capacityOf returns how many tasks of a pending request an incoming machine can take, regardless of their zones.
func (s *Snapshot) capacityOf(pending *scheduler.Request, incoming *Incoming) int {
	if !s.fits(pending, incoming) {
		return 0
	}
	return min(pending.Job.Spec.Demand.FitCount(incoming.available()), pending.MaxPerMachine())
}

// fits reports whether tasks of a pending request may use an incoming machine, and at least one of them fits in its
// available capacity.
func (s *Snapshot) fits(pending *scheduler.Request, incoming *Incoming) bool {
	return s.feasible(pending, incoming) && pending.Job.Spec.Demand.Fits(incoming.available())
}

// feasible reports whether tasks of a pending request may use an incoming machine, regardless of its available
// capacity. The result is computed once per machine kind and request rather than for each of thousands of machines.
func (s *Snapshot) feasible(pending *scheduler.Request, incoming *Incoming) bool {
	if s.feasibilityRequest != pending {
		s.feasibilityRequest, s.feasibleByKind = pending, s.feasibleByKind[:0]
	}
	for len(s.feasibleByKind) < len(s.kinds) {
		s.feasibleByKind = append(s.feasibleByKind, s.kindFeasible(pending, s.kinds[len(s.feasibleByKind)]))
	}
	return s.feasibleByKind[incoming.kindIndex]
}

// kindFeasible reports whether tasks of a pending request may use machines of a kind. Urgent requests do not wait for
// capacity on running machines.
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

// reservedForGPU reports whether a job may not use machines of a type because they are reserved for GPU work.
func (s *Snapshot) reservedForGPU(job *model.Job, machineType *model.MachineType, spot bool) bool {
	return job.Spec.Demand.GPU == 0 && !job.MayUseGPUMachines && s.ReservedForGPU(machineType, spot)
}
