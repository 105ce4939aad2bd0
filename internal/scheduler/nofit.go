package scheduler

import (
	"strings"

	"github.com/glentiller/glentiller/internal/model"
)

// maxNoFitEntries bounds the number of entries for one key of a noFitCache.
const maxNoFitEntries = 32

// noFitCache records for which tasks a pass has found no capacity, so that the pass does not scan all nodes for each
// of hundreds of pending jobs. Within a pass free resources only shrink, except through preemptions. Tasks that
// demand at least as much, and may use the same nodes or fewer, therefore do not fit either.
type noFitCache map[noFitKey][]noFitEntry

// noFitKey holds everything except the demand that decides which nodes tasks may use.
type noFitKey struct {
	zone, pinnedZone, types string
	spot, gpu, requireImage bool
	gpuNodesAllowed         bool
	image                   string // set only if requireImage is true
	maxPrice, minFetchRate  float64

	preemption preemptionKey // zero in searches that preempt nothing
}

// preemptionKey holds everything that decides which attempts may be preempted for tasks.
type preemptionKey struct {
	team                  string         // "" if the candidates are the same for all teams
	priority, ownPriority model.Priority // with and without the priority inherited from dependent jobs
	guaranteed            bool
	promoted              bool // the request waits in queuePromoted
	preemptions           int  // number planned so far in the pass; the resources that they release add to the capacity
}

// noFitEntry records that at most maxTasks tasks with a demand fit.
type noFitEntry struct {
	demand   model.Resources
	maxTasks int
}

// newNoFitKey returns the key of tasks of a request on the nodes that a filter accepts. A pinnedZone other than ""
// restricts them to that zone.
func newNoFitKey(request *Request, pinnedZone string, filter nodeFilter) noFitKey {
	spec := request.Job.Spec
	key := noFitKey{
		zone:            spec.Zone,
		pinnedZone:      pinnedZone,
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

// newPreemptionKey returns the part of a request's key that decides which attempts may be preempted for it.
func newPreemptionKey(request *Request, preemptions int) preemptionKey {
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

// maxFitting returns an upper bound on the number of tasks with a demand that fit, or -1 if the cache has no bound.
func (c noFitCache) maxFitting(key noFitKey, demand model.Resources) int {
	limit := -1
	for _, entry := range c[key] {
		if entry.demand.Fits(demand) && (limit < 0 || entry.maxTasks < limit) {
			limit = entry.maxTasks
		}
	}
	return limit
}

// add records that at most maxTasks tasks with a demand fit. It does nothing if the key has maxNoFitEntries entries.
func (c *noFitCache) add(key noFitKey, demand model.Resources, maxTasks int) {
	if *c == nil {
		*c = noFitCache{}
	}
	if entries := (*c)[key]; len(entries) < maxNoFitEntries {
		(*c)[key] = append(entries, noFitEntry{demand: demand, maxTasks: maxTasks})
	}
}
