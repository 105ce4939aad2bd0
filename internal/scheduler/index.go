package scheduler

import "github.com/glentiller/glentiller/internal/model"

// What a pass finds out once about all its machines, where it is asked for.

// expensivePrice is the rate above which a machine counts as dear for a job: a factor
// over the cheapest one that it may use.
func (p *Snapshot) expensivePrice(spec *model.Spec, rules *Rules, factor float64) float64 {
	nodes := p.Nodes
	if rules == nil {
		nodes = p.machineKinds() // without rules nothing else tells machines of a kind apart
	}
	least := 0.0
	for _, nd := range nodes {
		if r := pricePerCPU(nd.Machine); nd.checkMachine(spec, rules, "") == Feasible && (least == 0 || r < least) {
			least = r
		}
	}
	return least * factor
}

// machineKinds finds one node of each kind of machine, and numbers the kinds in all nodes: what is of one type, zone
// and price, and kept for the same work, is one kind. Guards against a look at all machines for each service and each
// replica.
func (p *Snapshot) machineKinds() []*Node {
	if p.kindNodes != nil {
		return p.kindNodes
	}
	type kind struct {
		of           *model.MachineType
		zone         string
		spot, forGPU bool
	}
	numbers := map[kind]int{}
	for _, nd := range p.Nodes {
		k := kind{nd.Machine.Type, nd.Machine.Zone, nd.Machine.Spot, nd.ReservedForGPU}
		number, known := numbers[k]
		if !known {
			number = len(p.kindNodes)
			numbers[k] = number
			p.kindNodes = append(p.kindNodes, nd)
		}
		nd.kindIndex = number
	}
	return p.kindNodes
}

// feasibilityFilter judges for a want what does not change while it is served, in a zone unless that is empty: by kind of machine
// first, which leaves out most of thousands of machines at once.
func (p *Snapshot) feasibilityFilter(w *Request, zone string, st nodeFilter) func(nd *Node) bool {
	spec := w.Job.Spec
	if w.Rules != nil {
		return func(nd *Node) bool { return nd.checkStatic(w.Job, w.Rules, zone) == Feasible && st.accepts(nd, spec) }
	}
	kinds, failed := p.machineKinds(), w.Job.ErrorsByMachine
	may := make([]bool, len(kinds))
	for i, nd := range kinds {
		may[i] = nd.checkMachine(spec, nil, zone) == Feasible && !nd.reservedAgainst(w.Job) && st.acceptsKind(nd)
	}
	return func(nd *Node) bool {
		return may[nd.kindIndex] && (len(failed) == 0 || failed[nd.Machine.Name] == 0) && (!st.requireImage || nd.hasImage(spec))
	}
}

// nodesWithImage lists the nodes that are known to hold an image, in the order of all nodes.
func (p *Snapshot) nodesWithImage(image string) []*Node {
	if p.nodesByImage == nil {
		p.nodesByImage = map[string][]*Node{}
		for _, nd := range p.Nodes {
			for held := range nd.Machine.CachedImages {
				p.nodesByImage[held] = append(p.nodesByImage[held], nd)
			}
		}
	}
	return p.nodesByImage[image]
}
