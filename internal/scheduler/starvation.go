package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/glentiller/glentiller/internal/model"
)

// A job that has waited for long without starting is starving. Its first tasks are served before everything else in
// their QoS class: one task of an array, or all tasks of a gang or a service. Until they fit, the remaining quota and
// nodes that become free are reserved for them. Otherwise narrow gangs would take each node as it becomes free, and
// wide gangs would never start. Likewise, jobs that can no longer meet a deadline would never start behind a stream
// of jobs that can.

// maxReservations bounds the number of starving requests for which a pass reserves nodes.
const maxReservations = 3

// isStarving reports whether the request's job has waited without starting for so long that its first tasks are
// served first. The threshold is half of StarvationBound for arrays, because a single task soon finds a node. It is
// 3/8 of it for jobs that start whole, because collecting enough nodes takes time.
func (r *Request) isStarving(settings *Settings) bool {
	threshold := settings.StarvationBound / 2
	if r.Job.Spec.Shape != model.Array {
		threshold = settings.StarvationBound * 3 / 8
	}
	return settings.StarvationBound > 0 && !r.Job.Started() && r.Waited >= threshold
}

// splitStarving marks starving requests and returns all requests. It splits a request of a starving array into its
// first task and the rest. The rest becomes a separate request that is not starving.
func splitStarving(settings *Settings, requests []*Request) []*Request {
	split := requests
	for _, r := range requests {
		if !r.isStarving(settings) {
			continue
		}
		r.Starving = true
		if r.Job.Spec.Shape == model.Array && r.PendingTasks > 1 && r.MaxStarts > 0 {
			rest := *r
			rest.Starving, rest.PendingTasks, rest.MaxStarts = false, r.PendingTasks-1, r.MaxStarts-1
			r.PendingTasks, r.MaxStarts = 1, 1
			split = append(split, &rest)
		}
	}
	return split
}

// reserveNodes reserves up to n nodes for the tasks of a starving request that found no capacity. It chooses the
// nodes with the largest free fractions, all in one zone if the tasks have to share a zone. It reports whether it
// reserved any node.
func (s *Snapshot) reserveNodes(request *Request, n int) bool {
	byZone := s.reservableNodes(request)
	var best []*Node
	bestFree := -1.0
	for _, zone := range slices.Sorted(maps.Keys(byZone)) { // sorted, so that the choice is deterministic
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

// reservableNodes returns the nodes that a request may use. They are grouped by zone if the tasks have to share a
// zone, and otherwise all listed under "".
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

// freeFraction returns the fraction of the CPUs or GPUs of a node that is free, whichever is larger.
func (n *Node) freeFraction() float64 { return utilization(n.Machine, n.Free) }
