package scheduler

import (
	"container/heap"

	"github.com/glentiller/glentiller/internal/model"
)

const (
	// efficiencyTolerance is the difference up to which two efficiencies count as equal.
	efficiencyTolerance = 1e-9

	// cheaperFactor is the fraction of another price below which a price counts as lower.
	cheaperFactor = 0.999
)

// Efficiency returns the power efficiency of a machine: its work per power as a fraction of that of a fully used
// machine. The utilization ranges from 0 to 1. An idle machine draws the fraction idlePowerFraction of the power of a
// fully used one.
func Efficiency(utilization, idlePowerFraction float64) float64 {
	if utilization <= 0 {
		return 0
	}
	return utilization / (idlePowerFraction + (1-idlePowerFraction)*utilization)
}

// utilization returns the fraction of the CPUs or GPUs of a machine that is used, whichever is larger.
func utilization(machine *model.Machine, used model.Resources) float64 {
	capacity := machine.Type.Capacity
	fraction := used.CPU / capacity.CPU
	if capacity.GPU > 0 {
		fraction = max(fraction, used.GPU/capacity.GPU)
	}
	return fraction
}

// pricePerCPU returns the price of one CPU of a machine for an hour.
func pricePerCPU(machine *model.Machine) float64 {
	if machine.Spot {
		return machine.Type.SpotPricePerHour / machine.Type.Capacity.CPU
	}
	return machine.Type.PricePerHour / machine.Type.Capacity.CPU
}

// efficiencyWith returns the power efficiency of a node after one more task of a job is placed on it.
func (s *Settings) efficiencyWith(node *Node, spec *model.Spec) float64 {
	used := node.Machine.Type.Capacity.Sub(node.Free).Add(spec.Demand)
	return Efficiency(utilization(node.Machine, used), s.IdlePowerFraction)
}

// pickNodes chooses nodes for up to n tasks, one at a time, and takes the resources from them. For each task it
// chooses the feasible node with the highest sum of power efficiency, including the task, and the job's preferences.
// Among equal nodes it chooses one that holds the image. A zone other than "" restricts the choice to that zone. The
// caller sets permanent if it will not return the resources.
func (s *Snapshot) pickNodes(
	settings *Settings, request *Request, n int, zone string, filter nodeFilter, permanent bool,
) []Placement {
	spec := request.Job.Spec
	key := newNoFitKey(request, zone, filter)
	maxFitting := s.noFit.maxFitting(key, spec.Demand)
	if maxFitting == 0 || spec.Shape == model.Gang && maxFitting > 0 && maxFitting < n {
		return nil
	}
	nodes := s.feasibleNodes(request, zone, filter)
	if request.needsFullScan() {
		return s.pickNodesByScan(settings, request, n, nodes)
	}
	placements := s.pickNodesByHeap(settings, request, n, nodes)
	if len(placements) < n {
		fitting := len(placements)
		if permanent {
			fitting = 0 // the tasks take all of the capacity
		}
		s.noFit.add(key, spec.Demand, fitting)
	}
	return placements
}

// feasibleNodes returns the nodes that have capacity for a task of the request and that the filter accepts. A zone
// other than "" restricts them to that zone.
func (s *Snapshot) feasibleNodes(request *Request, zone string, filter nodeFilter) []*Node {
	var nodes []*Node
	feasible := s.feasibilityFilter(request, zone, filter)
	for _, node := range s.Nodes {
		if request.Job.Spec.Demand.Fits(node.Free) && feasible(node) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// needsFullScan reports whether all nodes have to be ranked again for each task. This is the case if free resources
// are not the only limit on the tasks of the request on a node or in a zone, or if the ranking depends on more than
// efficiency.
func (r *Request) needsFullScan() bool {
	return r.Job.Spec.Spread || r.Rules != nil || len(r.Job.ErrorsByMachine) > 0
}

// pickNodesByHeap implements pickNodes for requests that need no full scan. The rank of a node only rises with the
// tasks placed on it until it is full, so the best node stays on top of the heap.
func (s *Snapshot) pickNodesByHeap(settings *Settings, request *Request, n int, nodes []*Node) []Placement {
	spec := request.Job.Spec
	ranked := make(nodeHeap, len(nodes))
	for i, node := range nodes {
		ranked[i] = rankedNode{
			node:       node,
			index:      i,
			efficiency: settings.efficiencyWith(node, spec),
			hasImage:   node.hasImage(spec),
			price:      pricePerCPU(node.Machine),
		}
	}
	heap.Init(&ranked)
	var placements []Placement
	for len(placements) < n && len(ranked) > 0 {
		best := &ranked[0]
		s.assign(request, best.node)
		choice := model.Choice{FeasibleNodes: len(nodes), Efficiency: best.efficiency, ImageCached: best.hasImage}
		placements = append(placements, Placement{Request: request, Node: best.node, Choice: choice})
		if spec.Demand.Fits(best.node.Free) {
			best.efficiency = settings.efficiencyWith(best.node, spec)
			heap.Fix(&ranked, 0)
		} else {
			heap.Pop(&ranked)
		}
	}
	return placements
}

// rankedNode is a feasible node with the values that it is ranked by.
type rankedNode struct {
	node       *Node
	index      int // position among the feasible nodes
	efficiency float64
	hasImage   bool
	price      float64 // price of a CPU for an hour
}

// nodeHeap is a heap of feasible nodes with the best one on top.
type nodeHeap []rankedNode

// Len implements heap.Interface.
func (h *nodeHeap) Len() int { return len(*h) }

// Swap implements heap.Interface.
func (h *nodeHeap) Swap(i, j int) { (*h)[i], (*h)[j] = (*h)[j], (*h)[i] }

// Push implements heap.Interface.
func (h *nodeHeap) Push(x any) { *h = append(*h, x.(rankedNode)) }

// Pop implements heap.Interface.
func (h *nodeHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// Less ranks by efficiency, then by whether the node holds the image, then by price, then by index. It implements
// heap.Interface.
func (h *nodeHeap) Less(i, j int) bool {
	a, b := &(*h)[i], &(*h)[j]
	switch {
	case a.efficiency > b.efficiency+efficiencyTolerance:
		return true
	case b.efficiency > a.efficiency+efficiencyTolerance:
		return false
	case a.hasImage != b.hasImage:
		return a.hasImage
	case a.price < cheaperFactor*b.price:
		return true
	case b.price < cheaperFactor*a.price:
		return false
	}
	return a.index < b.index
}

// pickNodesByScan implements pickNodes for any request. It ranks all nodes again for each task.
func (s *Snapshot) pickNodesByScan(settings *Settings, request *Request, n int, nodes []*Node) []Placement {
	var placements []Placement
	for len(placements) < n {
		best := bestNode(settings, request, nodes)
		if best.node == nil {
			break
		}
		s.assign(request, best.node)
		placements = append(placements, Placement{Request: request, Node: best.node, Choice: best.choice})
	}
	return placements
}

// scoredNode is a node with its score, which is the sum of its efficiency and the job's preferences.
type scoredNode struct {
	node   *Node
	score  float64
	choice model.Choice
}

// bestNode returns the highest-ranked node that can take one more task of a request. The node of the result is nil if
// there is none.
func bestNode(settings *Settings, request *Request, nodes []*Node) scoredNode {
	var best scoredNode
	for _, node := range nodes {
		if node.checkCapacity(request) != Feasible {
			continue
		}
		if scored := scoreNode(settings, request, node); best.node == nil || scored.betterThan(&best) {
			scored.choice.FeasibleNodes = len(nodes)
			best = scored
		}
	}
	return best
}

func scoreNode(settings *Settings, request *Request, node *Node) scoredNode {
	spec := request.Job.Spec
	choice := model.Choice{Efficiency: settings.efficiencyWith(node, spec), ImageCached: node.hasImage(spec)}
	score := choice.Efficiency
	if request.Rules != nil {
		choice.Preference = request.Rules.preference(node, choice.ImageCached)
		score += choice.Preference
	}
	return scoredNode{node: node, score: score, choice: choice}
}

// betterThan ranks by score, then by whether the node holds the image, then by price.
func (n *scoredNode) betterThan(other *scoredNode) bool {
	switch atLeastEqual := n.score > other.score-efficiencyTolerance; {
	case n.score > other.score+efficiencyTolerance:
		return true
	case !atLeastEqual:
		return false
	case n.choice.ImageCached != other.choice.ImageCached:
		return n.choice.ImageCached
	}
	return pricePerCPU(n.node.Machine) < cheaperFactor*pricePerCPU(other.node.Machine)
}
