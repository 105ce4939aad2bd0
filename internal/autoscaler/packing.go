package autoscaler

import (
	"maps"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

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
