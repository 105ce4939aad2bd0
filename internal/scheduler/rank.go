package scheduler

import (
	"container/heap"
	"strings"

	"github.com/glentiller/glentiller/internal/model"
)

// pickNodes chooses machines for up to n tasks, one by one: of those that fit, the
// one whose power efficiency after placement, with what the job wishes added, is
// highest; where that is equal, one that has the image. kept tells that what it
// chooses stays taken.
func (p *Snapshot) pickNodes(s *Settings, w *Request, n int, zone string, st nodeFilter, kept bool) []Placement {
	spec := w.Job.Spec
	key := noFitKeyOf(w, zone, st)
	if most := p.noFit.maxFitting(key, spec.Demand); most == 0 || spec.Shape == model.Gang && most > 0 && most < n {
		return nil
	}
	var fits []*Node
	usable := p.feasibilityFilter(w, zone, st)
	for _, nd := range p.Nodes {
		if spec.Demand.Fits(nd.Free) && usable(nd) {
			fits = append(fits, nd)
		}
	}
	if w.needsFullScan() {
		return p.pickNodesByScan(s, w, n, fits)
	}
	q := &nodeHeap{spec: spec, nodes: make([]rankedNode, len(fits))}
	for i, nd := range fits {
		q.nodes[i] = rankedNode{node: nd, index: i, efficiency: s.efficiencyWith(nd, spec), hasImage: nd.hasImage(spec), price: pricePerCPU(nd.Machine)}
	}
	heap.Init(q)
	var got []Placement
	for len(got) < n && len(q.nodes) > 0 {
		best := &q.nodes[0]
		p.assign(w, best.node)
		got = append(got, Placement{w, best.node, model.Choice{FeasibleNodes: len(fits), Efficiency: best.efficiency, ImageCached: best.hasImage}})
		// A machine only becomes better by what is placed on it, until it is full.
		if spec.Demand.Fits(best.node.Free) {
			best.efficiency = s.efficiencyWith(best.node, spec)
			heap.Fix(q, 0)
		} else {
			heap.Pop(q)
		}
	}
	if len(got) < n {
		most := len(got)
		if kept {
			most = 0
		}
		p.noFit.add(key, spec.Demand, most)
	}
	return got
}

// efficiencyWith is the power efficiency of a machine with one more task of a job.
func (s *Settings) efficiencyWith(nd *Node, spec *model.Spec) float64 {
	return Efficiency(utilization(nd.Machine, nd.Machine.Type.Capacity.Sub(nd.Free).Add(spec.Demand)), s.IdlePowerFraction)
}

// rankedNode is a machine that fits, with what it is compared by.
type rankedNode struct {
	node       *Node
	index      int // among those that fit
	efficiency float64
	hasImage   bool
	price      float64
}

// nodeHeap holds the machines that fit, the best one on top.
type nodeHeap struct {
	spec  *model.Spec
	nodes []rankedNode
}

func (q *nodeHeap) Len() int      { return len(q.nodes) }
func (q *nodeHeap) Swap(i, j int) { q.nodes[i], q.nodes[j] = q.nodes[j], q.nodes[i] }
func (q *nodeHeap) Push(x any)    { q.nodes = append(q.nodes, x.(rankedNode)) }

func (q *nodeHeap) Pop() any {
	last := q.nodes[len(q.nodes)-1]
	q.nodes = q.nodes[:len(q.nodes)-1]
	return last
}

// Less ranks by efficiency; where that is equal the image comes first, then the cheaper kind.
func (q *nodeHeap) Less(i, j int) bool {
	a, b := &q.nodes[i], &q.nodes[j]
	switch {
	case a.efficiency > b.efficiency+1e-9:
		return true
	case b.efficiency > a.efficiency+1e-9:
		return false
	case a.hasImage != b.hasImage:
		return a.hasImage
	case a.price < 0.999*b.price:
		return true
	case b.price < 0.999*a.price:
		return false
	}
	return a.index < b.index
}

// pickNodesByScan is fill for jobs that bound how many of their tasks may be in a zone or on a
// machine, or that wish: there a machine does not only become better.
func (p *Snapshot) pickNodesByScan(s *Settings, w *Request, n int, fits []*Node) []Placement {
	spec := w.Job.Spec
	var got []Placement
	for len(got) < n {
		var best *Node
		var bestEff float64
		choice := model.Choice{FeasibleNodes: len(fits)}
		for _, nd := range fits {
			if nd.checkCapacity(w) != Feasible {
				continue
			}
			power, image := s.efficiencyWith(nd, spec), nd.hasImage(spec)
			eff, wish := power, 0.0
			if w.Rules != nil {
				wish = w.Rules.preference(nd, image)
				eff += wish
			}
			better := eff > bestEff+1e-9
			if best != nil && !better && eff > bestEff-1e-9 {
				better = image && !choice.ImageCached || image == choice.ImageCached && pricePerCPU(nd.Machine) < 0.999*pricePerCPU(best.Machine)
			}
			if best == nil || better {
				best, bestEff = nd, eff
				choice.Efficiency, choice.Preference, choice.ImageCached = power, wish, image
			}
		}
		if best == nil {
			break
		}
		p.assign(w, best)
		got = append(got, Placement{w, best, choice})
	}
	return got
}

// needsFullScan tells that more than room limits how many tasks of the want a machine or a zone
// may take, or that the machines are weighed by more than efficiency.
func (w *Request) needsFullScan() bool {
	return w.Job.Spec.Spread || w.Rules != nil || len(w.Job.ErrorsByMachine) > 0
}

// noFitKey says where a pass has found that something does not fit: of tasks with these
// constraints. In a pass room only becomes less, except where something is stopped; so what
// needs as much or more, and may go to the same machines or fewer, does not fit either.
// Guards against a pass that looks at every machine anew for each of hundreds of jobs
// that wait.
type noFitKey struct {
	zone, lockedZone, types string
	spot, gpu, requireImage bool
	gpuNodesAllowed         bool
	image                   string // where cached: only machines that have it
	maxPrice, minFetchRate  float64

	// Of making room only.
	team                  string
	priority, ownPriority model.Priority // with what was handed on, and without
	guaranteed            bool
	promoted              bool // passes ahead of its place in the order
	preemptions           int  // that were planned: what they free is room
}

func noFitKeyOf(w *Request, lock string, st nodeFilter) noFitKey {
	spec := w.Job.Spec
	k := noFitKey{zone: spec.Zone, lockedZone: lock, types: strings.Join(spec.MachineTypes, " "), spot: spec.AllowSpot, gpu: spec.Demand.GPU > 0, gpuNodesAllowed: w.Job.MayUseGPUMachines, maxPrice: st.maxPrice, minFetchRate: st.minFetchRate}
	if st.requireImage {
		k.requireImage, k.image = true, spec.Image
	}
	return k
}

// noFitCache holds what did not fit in a pass.
type noFitCache map[noFitKey][]noFitEntry

type noFitEntry struct {
	need     model.Resources
	maxTasks int // tasks of it that did fit
}

// maxFitting tells how many tasks with a need may fit, as far as is known; -1: nothing is known.
func (s noFitCache) maxFitting(k noFitKey, need model.Resources) int {
	most := -1
	for _, e := range s[k] {
		if e.need.Fits(need) && (most < 0 || e.maxTasks < most) {
			most = e.maxTasks
		}
	}
	return most
}

// add notes that of tasks with a need no more than some fit.
func (s *noFitCache) add(k noFitKey, need model.Resources, most int) {
	if *s == nil {
		*s = noFitCache{}
	}
	if list := (*s)[k]; len(list) < maxNoFitEntries {
		(*s)[k] = append(list, noFitEntry{need, most})
	}
}

// maxNoFitEntries bounds what is kept for tasks of one kind.
const maxNoFitEntries = 32
