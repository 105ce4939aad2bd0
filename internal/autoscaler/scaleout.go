package autoscaler

import (
	"maps"
	"strings"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// ScaleOut decides which machines to request for tasks that fit on no running machine. The tasks first fill the
// incoming capacity; for the rest it requests the cheapest feasible offers that were not refused recently. Shortages
// that are due to a team's quota are skipped, since more machines would not help.
//
// A machine is requested in a zone that is suspected to be partitioned only if no other zone is feasible. Machines
// cannot register from such a zone, so it appears to have the fewest machines and would otherwise be preferred.
//
// ScaleOut modifies the snapshot; see Snapshot.
func ScaleOut(settings *Settings, now time.Time, snapshot *Snapshot, shortages []scheduler.Shortage) []MachineRequest {
	snapshot.resetCaches()
	var requests []MachineRequest
	exhausted := exhaustedPrefixes{}
	for _, shortage := range shortages {
		if shortage.OverQuota {
			continue
		}
		p := newPacking(now, snapshot, shortage)
		p.fillIncoming(exhausted)
		for p.missing > 0 {
			offer, ok := p.requestMachine(now)
			if !ok {
				break
			}
			requests = addRequest(requests, offer, shortage.Request.Job.Spec.Class, settings.MaxPerRequest)
		}
	}
	return requests
}

// addRequest adds one machine to the request for its offer, or appends a new request if there is none. A request that
// already has maxCount machines stays unchanged.
func addRequest(requests []MachineRequest, offer Offer, jobClass string, maxCount int) []MachineRequest {
	for i := range requests {
		if requests[i].Offer == offer {
			if requests[i].Count < maxCount {
				requests[i].Count++
			}
			return requests
		}
	}
	return append(requests, MachineRequest{Offer: offer, Count: 1, JobClass: jobClass})
}

// packing assigns the tasks of one shortage to incoming and requested machines.
type packing struct {
	snapshot    *Snapshot
	pending     *scheduler.Request
	missing     int            // tasks that are not assigned to a machine yet
	tasksByZone map[string]int // tasks of the job that may be running or are assigned by this packing
	pinnedZone  string         // the only zone that may be used, or "" if every zone may be
}

func newPacking(now time.Time, snapshot *Snapshot, shortage scheduler.Shortage) *packing {
	p := &packing{
		snapshot:    snapshot,
		pending:     shortage.Request,
		missing:     shortage.Count,
		tasksByZone: map[string]int{},
		pinnedZone:  snapshot.pinnedZone(now, shortage.Request),
	}
	maps.Copy(p.tasksByZone, shortage.Request.TasksByZone)
	return p
}

// fillIncoming assigns tasks to incoming machines until no task is missing or no capacity is left. It skips the
// machines that are recorded as exhausted, and adds a record if no capacity is left.
func (p *packing) fillIncoming(exhausted exhaustedPrefixes) {
	for index := exhausted.startIndex(p.pending); p.missing > 0; p.missing-- {
		index = p.nextWithCapacity(index)
		if index == len(p.snapshot.Incoming) {
			exhausted.add(p.pending, p.pinnedZone, index)
			return
		}
		incoming := p.snapshot.Incoming[index]
		incoming.addTask(p.pending)
		p.tasksByZone[incoming.Zone]++
	}
}

// nextWithCapacity returns the index of the first incoming machine, at or after the given index, that can take one
// more task. It returns len(Snapshot.Incoming) if there is none.
func (p *packing) nextWithCapacity(index int) int {
	for ; index < len(p.snapshot.Incoming); index++ {
		if p.hasCapacity(p.snapshot.Incoming[index]) {
			break
		}
	}
	return index
}

// hasCapacity reports whether an incoming machine can take one more task of the pending request.
func (p *packing) hasCapacity(incoming *Incoming) bool {
	switch {
	case !p.snapshot.fits(p.pending, incoming):
		return false
	case p.pinnedZone != "" && p.pinnedZone != incoming.Zone:
		return false
	case p.pending.ZoneFull(p.tasksByZone, incoming.Zone):
		return false
	}
	return incoming.taskCount(p.pending) < p.pending.MaxPerMachine()
}

// requestMachine adds one machine of the best offer to the snapshot, assigns tasks to it and returns the offer. ok is
// false if there is no feasible offer or the machine takes no task.
func (p *packing) requestMachine(now time.Time) (offer Offer, ok bool) {
	best, ok := p.snapshot.bestOffer(now, p.pending, p.tasksByZone, p.pinnedZone)
	if !ok {
		return Offer{}, false
	}
	machine := p.snapshot.addMachine(findType(p.snapshot.Types, best.Type), best.Offer)
	maxTasks := min(best.tasksPerMachine, p.pending.MaxPerMachine())
	tasks := 0
	for p.missing > 0 && tasks < maxTasks && !p.pending.ZoneFull(p.tasksByZone, best.Zone) {
		machine.free = machine.free.Sub(p.pending.Job.Spec.Demand)
		p.tasksByZone[best.Zone]++
		p.missing--
		tasks++
	}
	return best.Offer, tasks > 0
}

// findType returns the machine type with the given name, or nil if there is none.
func findType(types []model.MachineType, name string) *model.MachineType {
	for i := range types {
		if types[i].Name == name {
			return &types[i]
		}
	}
	return nil
}

// maxPrefixesPerKind bounds the exhausted prefixes that are recorded per kind of request.
const maxPrefixesPerKind = 32

// exhaustedPrefixes records, by kind of request, prefixes of Snapshot.Incoming without capacity for tasks of a given
// demand. Without it ScaleOut would examine every incoming machine for each task of hundreds of pending jobs. A
// prefix stays exhausted because ScaleOut only ever reduces the capacity of a machine.
type exhaustedPrefixes map[requestKind][]exhaustedPrefix

// requestKind holds everything that, besides its demand, determines which machines a task without constraints may use.
// Requests of the same kind can share exhausted prefixes.
type requestKind struct {
	urgent, spot, gpu, gpuMachinesAllowed bool
	zone, types                           string
}

// exhaustedPrefix records that no incoming machine before endIndex has capacity for a task of the given demand.
type exhaustedPrefix struct {
	demand   model.Resources
	endIndex int
}

func requestKindOf(pending *scheduler.Request) requestKind {
	spec := pending.Job.Spec
	return requestKind{
		urgent:             pending.Urgent(),
		spot:               spec.AllowSpot,
		gpu:                spec.Demand.GPU > 0,
		gpuMachinesAllowed: pending.Job.MayUseGPUMachines,
		zone:               spec.Zone,
		types:              strings.Join(spec.MachineTypes, " "),
	}
}

// startIndex returns the index of the first incoming machine that may have capacity for a task of the pending request.
func (e exhaustedPrefixes) startIndex(pending *scheduler.Request) int {
	start := 0
	// Where a smaller demand does not fit, this one does not fit either.
	for _, prefix := range e[requestKindOf(pending)] {
		if prefix.demand.Fits(pending.Job.Spec.Demand) {
			start = max(start, prefix.endIndex)
		}
	}
	return start
}

// add records that no incoming machine before endIndex has capacity for a task of the pending request. It records
// nothing if the request is also restricted by constraints, spreading or a pinned zone, since machines that it cannot
// use may still have capacity for other requests of its kind.
func (e exhaustedPrefixes) add(pending *scheduler.Request, pinnedZone string, endIndex int) {
	if pending.Rules != nil || pending.Job.Spec.Spread || pinnedZone != "" {
		return
	}
	kind := requestKindOf(pending)
	if len(e[kind]) < maxPrefixesPerKind {
		e[kind] = append(e[kind], exhaustedPrefix{demand: pending.Job.Spec.Demand, endIndex: endIndex})
	}
}
