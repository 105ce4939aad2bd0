package autoscaler

import (
	"maps"
	"strings"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// ScaleOut decides which machines to request for tasks that fit on no running machine. Tasks first fill incoming
// capacity; for the rest the cheapest feasible offer is requested that was not refused lately. Zones that are likely
// cut off are used only where no other will do: since their machines do not count, they seem to have the fewest.
func ScaleOut(settings *Settings, now time.Time, snapshot *Snapshot, shortages []scheduler.Shortage) []Request {
	snapshot.prepare()
	var requests []Request
	full := fullCache{}
	for _, shortage := range shortages {
		if shortage.OverQuota {
			continue
		}
		p := newPacking(now, snapshot, shortage)
		p.fillIncoming(full)
		for p.missing > 0 {
			offer, ok := p.addMachine(now)
			if !ok {
				break
			}
			requests = addRequest(requests, offer, shortage.Request.Job.Spec.Class, settings.MaxPerRequest)
		}
	}
	return requests
}

// addRequest adds one machine to the request of its offer, of which each has at most maxCount machines.
func addRequest(requests []Request, offer Offer, jobClass string, maxCount int) []Request {
	for i := range requests {
		if requests[i].Offer == offer {
			if requests[i].Count < maxCount {
				requests[i].Count++
			}
			return requests
		}
	}
	return append(requests, Request{Offer: offer, Count: 1, JobClass: jobClass})
}

// packing puts the tasks of one shortage on incoming and requested machines.
type packing struct {
	snapshot    *Snapshot
	pending     *scheduler.Request
	missing     int            // tasks that have no machine yet
	tasksByZone map[string]int // with the tasks that have one
	lockedZone  string         // the only zone that tasks may go to; "": any
}

func newPacking(now time.Time, snapshot *Snapshot, shortage scheduler.Shortage) *packing {
	p := &packing{
		snapshot:    snapshot,
		pending:     shortage.Request,
		missing:     shortage.Count,
		tasksByZone: map[string]int{},
		lockedZone:  snapshot.lockedZone(now, shortage.Request),
	}
	maps.Copy(p.tasksByZone, shortage.Request.TasksByZone)
	return p
}

// fillIncoming puts tasks on incoming machines, as far as there is capacity.
func (p *packing) fillIncoming(full fullCache) {
	for index := full.startIndex(p.pending); p.missing > 0; p.missing-- {
		index = p.nextWithCapacity(index)
		if index == len(p.snapshot.Incoming) {
			full.add(p.pending, p.lockedZone, index)
			return
		}
		incoming := p.snapshot.Incoming[index]
		incoming.addTask(p.pending)
		p.tasksByZone[incoming.Zone]++
	}
}

// nextWithCapacity is the index of the first incoming machine, from an index on, with capacity for one more task; the
// number of incoming machines: none has.
func (p *packing) nextWithCapacity(index int) int {
	for ; index < len(p.snapshot.Incoming); index++ {
		if p.hasCapacity(p.snapshot.Incoming[index]) {
			break
		}
	}
	return index
}

// hasCapacity reports whether an incoming machine takes one more task.
func (p *packing) hasCapacity(incoming *Incoming) bool {
	switch {
	case !p.snapshot.fits(p.pending, incoming):
		return false
	case p.lockedZone != "" && p.lockedZone != incoming.Zone:
		return false
	case p.pending.ZoneFull(p.tasksByZone, incoming.Zone):
		return false
	}
	return incoming.hasTasksOf(p.pending) < p.pending.MaxPerMachine()
}

// addMachine requests one machine of the cheapest offer and fills it with tasks. ok is false where nothing is offered,
// or the machine would take no task.
func (p *packing) addMachine(now time.Time) (offer Offer, ok bool) {
	best, ok := p.snapshot.cheapestOffer(now, p.pending, p.tasksByZone, p.lockedZone)
	if !ok {
		return Offer{}, false
	}
	machine := p.snapshot.addMachine(findType(p.snapshot.Types, best.Type), best.Offer)
	most := min(best.tasksPerMachine, p.pending.MaxPerMachine())
	tasks := 0
	for p.missing > 0 && tasks < most && !p.pending.ZoneFull(p.tasksByZone, best.Zone) {
		machine.free = machine.free.Sub(p.pending.Job.Spec.Demand)
		p.tasksByZone[best.Zone]++
		p.missing--
		tasks++
	}
	return best.Offer, tasks > 0
}

// findType finds a machine type by its name; nil: there is none.
func findType(types []model.MachineType, name string) *model.MachineType {
	for i := range types {
		if types[i].Name == name {
			return &types[i]
		}
	}
	return nil
}

// maxFullEntries bounds the entries of one kind of request.
const maxFullEntries = 32

// fullCache remembers up to which index of Snapshot.Incoming there is no capacity for requests of a kind, so that
// ScaleOut does not look at all incoming machines for each task of hundreds of pending jobs. Capacity there only
// shrinks.
type fullCache map[requestKind][]fullEntry

// requestKind is what decides, besides their demand, where tasks without rules may go.
type requestKind struct {
	urgent, spot, gpu, gpuMachinesAllowed bool
	zone, types                           string
}

// fullEntry says that tasks with a demand do not fit before an index.
type fullEntry struct {
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

// startIndex is the index from which on there may be capacity for tasks of a pending request.
func (c fullCache) startIndex(pending *scheduler.Request) int {
	start := 0
	for _, entry := range c[requestKindOf(pending)] {
		if entry.demand.Fits(pending.Job.Spec.Demand) {
			start = max(start, entry.endIndex)
		}
	}
	return start
}

// add notes that there is no capacity for tasks of a pending request before an index. Where rules, spreading or a
// locked zone bound the request too, that says nothing of other requests and is not noted.
func (c fullCache) add(pending *scheduler.Request, lockedZone string, endIndex int) {
	if pending.Rules != nil || pending.Job.Spec.Spread || lockedZone != "" {
		return
	}
	kind := requestKindOf(pending)
	if len(c[kind]) < maxFullEntries {
		c[kind] = append(c[kind], fullEntry{demand: pending.Job.Spec.Demand, endIndex: endIndex})
	}
}
