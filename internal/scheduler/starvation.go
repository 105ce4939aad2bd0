package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/glentiller/glentiller/internal/model"
)

// A job that has waited for long without starting is starving. Its first tasks are served before anything else in
// their QoS class: one task of an array, all of a gang or a service. What they wait for is reserved until they fit: the
// quota that is left, and nodes as they become free. Otherwise wide gangs would never start beside narrow ones, which
// take each node as it becomes free, nor jobs that can no longer meet a deadline behind a stream of those that can.

// maxReservations bounds the starving requests that a pass reserves nodes for.
const maxReservations = 3

// isStarving reports whether the request's job has waited without starting for so long that its first tasks go first.
// A single task soon finds a node; what has to start whole needs time to gather its nodes.
func (r *Request) isStarving(settings *Settings) bool {
	threshold := settings.StarvationBound / 2
	if r.Job.Spec.Shape != model.Array {
		threshold = settings.StarvationBound * 3 / 8
	}
	return settings.StarvationBound > 0 && !r.Job.Started() && r.Waited >= threshold
}

// splitStarving marks starving requests, and splits the first task of a starving array off the rest, which waits its
// turn as a request of its own.
func splitStarving(settings *Settings, requests []*Request) []*Request {
	split := requests
	for _, r := range requests {
		if !r.isStarving(settings) {
			continue
		}
		r.Starving = true
		if r.Job.Spec.Shape == model.Array && r.Count > 1 && r.MaxTasks > 0 {
			rest := *r
			rest.Starving, rest.Count, rest.MaxTasks = false, r.Count-1, r.MaxTasks-1
			r.Count, r.MaxTasks = 1, 1
			split = append(split, &rest)
		}
	}
	return split
}

// reserveNodes reserves up to n nodes for the tasks of a starving request that found no capacity: those that are the
// most free already, in one zone where the tasks have to be in one. It reports whether it reserved any.
func (s *Snapshot) reserveNodes(request *Request, n int) bool {
	byZone := s.reservableNodes(request)
	var best []*Node
	bestFree := -1.0
	for _, zone := range slices.Sorted(maps.Keys(byZone)) { // sorted, so that each run decides the same
		nodes := byZone[zone]
		slices.SortFunc(nodes, func(a, b *Node) int {
			return cmp.Or(cmp.Compare(b.freeFraction(), a.freeFraction()), cmp.Compare(a.Machine.Name, b.Machine.Name))
		})
		nodes = nodes[:min(n, len(nodes))]
		freeSum := 0.0
		for _, node := range nodes {
			freeSum += node.freeFraction()
		}
		if freeSum > bestFree {
			best, bestFree = nodes, freeSum
		}
	}
	for _, node := range best {
		node.Free = model.Resources{}
	}
	return len(best) > 0
}

// reservableNodes lists the nodes that a request may use, by zone where its tasks have to be in one, else under "".
func (s *Snapshot) reservableNodes(request *Request) map[string][]*Node {
	byZone := map[string][]*Node{}
	for _, node := range s.Nodes {
		if node.checkStatic(request.Job, request.Rules, "") != Feasible {
			continue
		}
		zone := ""
		if request.Job.Spec.SingleZone {
			zone = node.Machine.Zone
		}
		byZone[zone] = append(byZone[zone], node)
	}
	return byZone
}

// freeFraction is the free fraction of a node, of its CPUs or of its GPUs, whichever is larger.
func (n *Node) freeFraction() float64 { return utilization(n.Machine, n.Free) }
