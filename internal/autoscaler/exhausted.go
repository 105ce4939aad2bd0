package autoscaler

import (
	"strings"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

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
