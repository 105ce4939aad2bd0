package sched

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

// machineKinds finds one node of each type, zone and kind of machine. Guards against a look at all machines for each
// service and each replica.
func (p *Picture) machineKinds() []*Node {
	if p.kinds != nil {
		return p.kinds
	}
	type kind struct {
		of   *model.MachineType
		zone string
		spot bool
	}
	seen := map[kind]bool{}
	for _, nd := range p.Nodes {
		k := kind{nd.Machine.Type, nd.Machine.Zone, nd.Machine.Spot}
		if !seen[k] {
			seen[k] = true
			p.kinds = append(p.kinds, nd)
		}
	}
	return p.kinds
}

// withImage lists the nodes that are known to hold an image, in the order of all nodes.
func (p *Picture) withImage(image string) []*Node {
	if p.byImage == nil {
		p.byImage = map[string][]*Node{}
		for _, nd := range p.Nodes {
			for held := range nd.Machine.Images {
				p.byImage[held] = append(p.byImage[held], nd)
			}
		}
	}
	return p.byImage[image]
}
