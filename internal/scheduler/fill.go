package scheduler

import (
	"container/heap"
	"strings"

	"github.com/glentiller/glentiller/internal/model"
)

// fill chooses machines for up to n tasks, one by one: of those that fit, the
// one whose power efficiency after placement, with what the job wishes added, is
// highest; where that is equal, one that has the image. kept tells that what it
// chooses stays taken.
func (p *Picture) fill(s *Settings, w *Want, n int, zone string, st stage, kept bool) []Placement {
	spec := w.Job.Spec
	key := shortOf(w, zone, st)
	if most := p.short.fits(key, spec.Demand); most == 0 || spec.Shape == model.Gang && most > 0 && most < n {
		return nil
	}
	var fits []*Node
	usable := p.usable(w, zone, st)
	for _, nd := range p.Nodes {
		if spec.Demand.Fits(nd.Free) && usable(nd) {
			fits = append(fits, nd)
		}
	}
	if w.bounded() {
		return p.fillBounded(s, w, n, fits)
	}
	q := &queue{spec: spec, nodes: make([]ranked, len(fits))}
	for i, nd := range fits {
		q.nodes[i] = ranked{node: nd, at: i, power: s.power(nd, spec), image: nd.hasImage(spec), rate: rate(nd.Machine)}
	}
	heap.Init(q)
	var got []Placement
	for len(got) < n && len(q.nodes) > 0 {
		best := &q.nodes[0]
		p.take(w, best.node)
		got = append(got, Placement{w, best.node, model.Choice{FeasibleNodes: len(fits), Efficiency: best.power, ImageCached: best.image}})
		// A machine only becomes better by what is placed on it, until it is full.
		if spec.Demand.Fits(best.node.Free) {
			best.power = s.power(best.node, spec)
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
		p.short.add(key, spec.Demand, most)
	}
	return got
}

// power is the power efficiency of a machine with one more task of a job.
func (s *Settings) power(nd *Node, spec *model.Spec) float64 {
	return Efficiency(share(nd.Machine, nd.Machine.Type.Capacity.Sub(nd.Free).Add(spec.Demand)), s.IdleShare)
}

// ranked is a machine that fits, with what it is compared by.
type ranked struct {
	node  *Node
	at    int // among those that fit
	power float64
	image bool
	rate  float64
}

// queue holds the machines that fit, the best one on top.
type queue struct {
	spec  *model.Spec
	nodes []ranked
}

func (q *queue) Len() int      { return len(q.nodes) }
func (q *queue) Swap(i, j int) { q.nodes[i], q.nodes[j] = q.nodes[j], q.nodes[i] }
func (q *queue) Push(x any)    { q.nodes = append(q.nodes, x.(ranked)) }

func (q *queue) Pop() any {
	last := q.nodes[len(q.nodes)-1]
	q.nodes = q.nodes[:len(q.nodes)-1]
	return last
}

// Less ranks by efficiency; where that is equal the image comes first, then the cheaper kind.
func (q *queue) Less(i, j int) bool {
	a, b := &q.nodes[i], &q.nodes[j]
	switch {
	case a.power > b.power+1e-9:
		return true
	case b.power > a.power+1e-9:
		return false
	case a.image != b.image:
		return a.image
	case a.rate < 0.999*b.rate:
		return true
	case b.rate < 0.999*a.rate:
		return false
	}
	return a.at < b.at
}

// fillBounded is fill for jobs that bound how many of their tasks may be in a zone or on a
// machine, or that wish: there a machine does not only become better.
func (p *Picture) fillBounded(s *Settings, w *Want, n int, fits []*Node) []Placement {
	spec := w.Job.Spec
	var got []Placement
	for len(got) < n {
		var best *Node
		var bestEff float64
		choice := model.Choice{FeasibleNodes: len(fits)}
		for _, nd := range fits {
			if nd.now(w) != Fits {
				continue
			}
			power, image := s.power(nd, spec), nd.hasImage(spec)
			eff, wish := power, 0.0
			if w.Rules != nil {
				wish = w.Rules.wish(nd, image)
				eff += wish
			}
			better := eff > bestEff+1e-9
			if best != nil && !better && eff > bestEff-1e-9 {
				better = image && !choice.ImageCached || image == choice.ImageCached && rate(nd.Machine) < 0.999*rate(best.Machine)
			}
			if best == nil || better {
				best, bestEff = nd, eff
				choice.Efficiency, choice.Preference, choice.ImageCached = power, wish, image
			}
		}
		if best == nil {
			break
		}
		p.take(w, best)
		got = append(got, Placement{w, best, choice})
	}
	return got
}

// bounded tells that more than room limits how many tasks of the want a machine or a zone
// may take, or that the machines are weighed by more than efficiency.
func (w *Want) bounded() bool {
	return w.Job.Spec.Spread || w.Rules != nil || len(w.Job.ErrorsByMachine) > 0
}

// short says where a pass has found that something does not fit: of tasks with these
// constraints. In a pass room only becomes less, except where something is stopped; so what
// needs as much or more, and may go to the same machines or fewer, does not fit either.
// Guards against a pass that looks at every machine anew for each of hundreds of jobs
// that wait.
type short struct {
	zone, lock, types string
	spot, gpu, cached bool
	gpuToo            bool
	image             string // where cached: only machines that have it
	most, fetch       float64

	// Of making room only.
	team       string
	rank, own  model.Priority // with what was handed on, and without
	guaranteed bool
	late       bool // passes ahead of its place in the order
	stops      int  // that were planned: what they free is room
}

func shortOf(w *Want, lock string, st stage) short {
	spec := w.Job.Spec
	k := short{zone: spec.Zone, lock: lock, types: strings.Join(spec.MachineTypes, " "), spot: spec.AllowSpot, gpu: spec.Demand.GPU > 0, gpuToo: w.Job.MayUseGPUMachines, most: st.rate, fetch: st.fetch}
	if st.image {
		k.cached, k.image = true, spec.Image
	}
	return k
}

// shorts holds what did not fit in a pass.
type shorts map[short][]shortage

type shortage struct {
	need model.Resources
	most int // tasks of it that did fit
}

// fits tells how many tasks with a need may fit, as far as is known; -1: nothing is known.
func (s shorts) fits(k short, need model.Resources) int {
	most := -1
	for _, e := range s[k] {
		if e.need.Fits(need) && (most < 0 || e.most < most) {
			most = e.most
		}
	}
	return most
}

// add notes that of tasks with a need no more than some fit.
func (s *shorts) add(k short, need model.Resources, most int) {
	if *s == nil {
		*s = shorts{}
	}
	if list := (*s)[k]; len(list) < mostShort {
		(*s)[k] = append(list, shortage{need, most})
	}
}

// mostShort bounds what is kept for tasks of one kind.
const mostShort = 32
