package scheduler

import "github.com/glentiller/glentiller/internal/model"

// What a pass finds out once about all its machines, where it is asked for.

// dearer is the rate above which a machine counts as dear for a job: a factor
// over the cheapest one that it may use.
func (p *Picture) dearer(spec *model.Spec, rules *Rules, factor float64) float64 {
	nodes := p.Nodes
	if rules == nil {
		nodes = p.machineKinds() // without rules nothing else tells machines of a kind apart
	}
	least := 0.0
	for _, nd := range nodes {
		if r := rate(nd.Machine); nd.may(spec, rules, "") == Fits && (least == 0 || r < least) {
			least = r
		}
	}
	return least * factor
}

// machineKinds finds one node of each kind of machine, and numbers the kinds in all nodes: what is of one type, zone
// and price, and kept for the same work, is one kind. Guards against a look at all machines for each service and each
// replica.
func (p *Picture) machineKinds() []*Node {
	if p.kinds != nil {
		return p.kinds
	}
	type kind struct {
		of           *model.MachineType
		zone         string
		spot, forGPU bool
	}
	numbers := map[kind]int{}
	for _, nd := range p.Nodes {
		k := kind{nd.Machine.Type, nd.Machine.Zone, nd.Machine.Spot, nd.ForGPU}
		number, known := numbers[k]
		if !known {
			number = len(p.kinds)
			numbers[k] = number
			p.kinds = append(p.kinds, nd)
		}
		nd.kind = number
	}
	return p.kinds
}

// usable judges for a want what does not change while it is served, in a zone unless that is empty: by kind of machine
// first, which leaves out most of thousands of machines at once.
func (p *Picture) usable(w *Want, zone string, st stage) func(nd *Node) bool {
	spec := w.Job.Spec
	if w.Rules != nil {
		return func(nd *Node) bool { return nd.never(w.Job, w.Rules, zone) == Fits && st.takes(nd, spec) }
	}
	kinds, failed := p.machineKinds(), w.Job.ErrorsByMachine
	may := make([]bool, len(kinds))
	for i, nd := range kinds {
		may[i] = nd.may(spec, nil, zone) == Fits && !nd.kept(w.Job) && st.takesKind(nd)
	}
	return func(nd *Node) bool {
		return may[nd.kind] && (len(failed) == 0 || failed[nd.Machine.Name] == 0) && (!st.image || nd.hasImage(spec))
	}
}

// withImage lists the nodes that are known to hold an image, in the order of all nodes.
func (p *Picture) withImage(image string) []*Node {
	if p.byImage == nil {
		p.byImage = map[string][]*Node{}
		for _, nd := range p.Nodes {
			for held := range nd.Machine.CachedImages {
				p.byImage[held] = append(p.byImage[held], nd)
			}
		}
	}
	return p.byImage[image]
}
