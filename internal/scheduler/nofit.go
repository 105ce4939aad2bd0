package scheduler

import (
	"strings"

	"github.com/glentiller/glentiller/internal/model"
)

// maxNoFitEntries bounds the entries of one key.
const maxNoFitEntries = 32

// noFitCache remembers which tasks a pass found no capacity for, so that it does not look at every node again for
// each of hundreds of pending jobs. Within a pass free resources only shrink, except by preemptions; so tasks that
// demand as much or more, and may use the same nodes or fewer, do not fit either.
type noFitCache map[noFitKey][]noFitEntry

// noFitKey is what decides, besides their demand, which nodes tasks may use.
type noFitKey struct {
	zone, lockedZone, types string
	spot, gpu, requireImage bool
	gpuNodesAllowed         bool
	image                   string // where requireImage is set
	maxPrice, minFetchRate  float64

	preemption preemptionKey // zero where nothing may be preempted
}

// preemptionKey is what decides which attempts may be preempted for tasks.
type preemptionKey struct {
	team                  string         // "": the candidates are the same for all teams
	priority, ownPriority model.Priority // with what was inherited from dependent jobs, and without
	guaranteed            bool
	promoted              bool // served ahead of its place in the order
	preemptions           int  // planned so far: what they release is capacity
}

// noFitEntry says that of tasks with a demand no more than maxTasks fit.
type noFitEntry struct {
	demand   model.Resources
	maxTasks int
}

// noFitKeyOf is the key of a request's tasks in a zone ("": any), on the nodes that a filter accepts.
func noFitKeyOf(request *Request, lockedZone string, filter nodeFilter) noFitKey {
	spec := request.Job.Spec
	key := noFitKey{
		zone:            spec.Zone,
		lockedZone:      lockedZone,
		types:           strings.Join(spec.MachineTypes, " "),
		spot:            spec.AllowSpot,
		gpu:             spec.Demand.GPU > 0,
		gpuNodesAllowed: request.Job.MayUseGPUMachines,
		requireImage:    filter.requireImage,
		maxPrice:        filter.maxPrice,
		minFetchRate:    filter.minFetchRate,
	}
	if filter.requireImage {
		key.image = spec.Image
	}
	return key
}

// preemptionKeyOf is the part of a request's key that decides which attempts may be preempted for it.
func preemptionKeyOf(request *Request, preemptions int) preemptionKey {
	spec := request.Job.Spec
	key := preemptionKey{
		priority:    request.Job.EffectivePriority,
		ownPriority: spec.Priority,
		guaranteed:  request.Guaranteed,
		promoted:    request.position.queue == queuePromoted,
		preemptions: preemptions,
	}
	if request.Guaranteed || request.Job.EffectivePriority != spec.Priority {
		key.team = spec.Team
	}
	return key
}

// maxFitting returns how many tasks with a demand fit at the most, as far as is known; -1: nothing is known.
func (c noFitCache) maxFitting(key noFitKey, demand model.Resources) int {
	most := -1
	for _, entry := range c[key] {
		if entry.demand.Fits(demand) && (most < 0 || entry.maxTasks < most) {
			most = entry.maxTasks
		}
	}
	return most
}

// add notes that of tasks with a demand no more than maxTasks fit.
func (c *noFitCache) add(key noFitKey, demand model.Resources, maxTasks int) {
	if *c == nil {
		*c = noFitCache{}
	}
	if entries := (*c)[key]; len(entries) < maxNoFitEntries {
		(*c)[key] = append(entries, noFitEntry{demand: demand, maxTasks: maxTasks})
	}
}
