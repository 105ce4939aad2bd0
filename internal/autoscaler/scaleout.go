package autoscaler

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// ScaleOut decides which machines to request for tasks that fit on no running machine. The tasks first fill the
// incoming capacity; for the rest it requests the cheapest feasible offers that were not refused recently. Shortages
// that are due to a team's quota are skipped, since more machines would not help.
//
// At most Settings.MaxPerRequest machines of each offer are requested. Tasks for which that is not enough are left to
// later calls, so the time and memory that a call takes do not depend on how many tasks wait.
//
// A machine is requested in a zone that is suspected to be partitioned only if no other zone is feasible. Machines
// cannot register from such a zone, so it appears to have the fewest machines and would otherwise be preferred.
//
// ScaleOut modifies the snapshot; see Snapshot.
func ScaleOut(settings *Settings, now time.Time, snapshot *Snapshot, shortages []scheduler.Shortage) []MachineRequest {
	snapshot.resetCaches()
	requests := &requestSet{maxPerRequest: settings.MaxPerRequest}
	exhausted := exhaustedPrefixes{}
	for _, shortage := range shortages {
		if shortage.OverQuota {
			continue
		}
		p := newPacking(now, snapshot, shortage)
		p.fillIncoming(exhausted)
		if p.missing > 0 {
			p.requestMachines(now, requests)
		}
	}
	return requests.list
}

// requestSet holds the requests that a call of ScaleOut makes, at most one for each offer.
type requestSet struct {
	maxPerRequest int
	list          []MachineRequest
}

// find returns the request for an offer, or nil if there is none.
func (s *requestSet) find(offer Offer) *MachineRequest {
	for i := range s.list {
		if s.list[i].Offer == offer {
			return &s.list[i]
		}
	}
	return nil
}

// full reports whether no more machines of an offer can be requested.
func (s *requestSet) full(offer Offer) bool {
	request := s.find(offer)
	return request != nil && request.Count >= s.maxPerRequest
}

// add requests one more machine of an offer, which must not be full.
func (s *requestSet) add(offer Offer, jobClass string) {
	if request := s.find(offer); request != nil {
		request.Count++
		return
	}
	s.list = append(s.list, MachineRequest{Offer: offer, Count: 1, JobClass: jobClass})
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

// assign assigns tasks to a machine in a zone.
func (p *packing) assign(zone string, tasks int) {
	p.missing -= tasks
	p.tasksByZone[zone] += tasks
}

// fillIncoming assigns tasks to incoming machines until no task is missing or no capacity is left. It skips the
// machines that are recorded as exhausted, and adds a record if no capacity is left.
func (p *packing) fillIncoming(exhausted exhaustedPrefixes) {
	for index := exhausted.startIndex(p.pending); index < len(p.snapshot.Incoming); index++ {
		if p.missing == 0 {
			return
		}
		incoming := p.snapshot.Incoming[index]
		if tasks := min(p.missing, p.capacityOf(incoming)); tasks > 0 {
			incoming.addTasks(p.pending, tasks)
			p.assign(incoming.Zone, tasks)
		}
	}
	if p.missing > 0 {
		exhausted.add(p.pending, p.pinnedZone, len(p.snapshot.Incoming))
	}
}

// capacityOf returns how many tasks of the pending request an incoming machine can take.
func (p *packing) capacityOf(incoming *Incoming) int {
	if p.pinnedZone != "" && p.pinnedZone != incoming.Zone {
		return 0
	}
	return min(p.snapshot.capacityOf(p.pending, incoming), p.zoneRemaining(incoming.Zone))
}

// zoneRemaining returns how many more tasks of the job a zone may hold.
func (p *packing) zoneRemaining(zone string) int { return p.pending.ZoneRemaining(p.tasksByZone, zone) }

// requestMachines requests machines of the best offers until no task is missing or no offer is left. Once the requests
// for all equally good offers are full, it leaves tasks to a later call.
func (p *packing) requestMachines(now time.Time, requests *requestSet) {
	offers := p.snapshot.feasibleOffers(now, p.pending, p.tasksByZone, p.pinnedZone)
	for p.missing > 0 {
		offers = slices.DeleteFunc(offers, func(o offerOption) bool { return p.zoneRemaining(o.Zone) == 0 })
		if len(offers) == 0 {
			return
		}
		for i := range offers {
			offers[i].machinesInZone = p.snapshot.MachinesByZone[offers[i].Zone]
			offers[i].requestFull = requests.full(offers[i].Offer)
		}
		best := slices.MinFunc(offers, offerOption.compare)
		requestable := func(o offerOption) bool { return o.equallyGood(best) && !o.requestFull }
		if !slices.ContainsFunc(offers, requestable) {
			p.leaveToLaterCall(offers, best)
		} else if !p.requestMachine(best, requests) {
			return
		}
	}
}

// requestMachine assigns tasks to one more machine of an offer and requests it. If the request for the offer is full,
// it does not request the machine and only counts it, so that the next machines are requested in other zones as if it
// came. It returns false if the machine takes no task.
func (p *packing) requestMachine(offer offerOption, requests *requestSet) bool {
	tasks := min(p.missing, offer.tasksPerMachine, p.pending.MaxPerMachine(), p.zoneRemaining(offer.Zone))
	p.assign(offer.Zone, tasks)
	p.snapshot.MachinesByZone[offer.Zone]++
	if !offer.requestFull {
		requests.add(offer.Offer, p.pending.Job.Spec.Class)
		machine := p.snapshot.addIncoming(findType(p.snapshot.Types, offer.Type), offer.Offer)
		machine.addTasks(p.pending, tasks)
	}
	return tasks > 0
}

// leaveToLaterCall assigns as many tasks as the zones may hold to machines of the offers that are as good as the best
// one. A later call may request these machines.
func (p *packing) leaveToLaterCall(offers []offerOption, best offerOption) {
	for _, offer := range offers {
		if offer.equallyGood(best) {
			p.assign(offer.Zone, min(p.missing, p.zoneRemaining(offer.Zone)))
		}
	}
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
