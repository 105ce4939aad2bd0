package scheduler

import "github.com/glentiller/glentiller/internal/model"

// The indexes in this file are built once for a pass, when they are first needed.

// machineKind holds the properties of a machine that decide its price and whether a job without constraints may use it
// at all.
type machineKind struct {
	machineType          *model.MachineType
	zone                 string
	spot, reservedForGPU bool
}

// machineKinds returns one node of each machine kind and sets Node.kindIndex of all nodes. It saves a scan of all
// nodes for each service and each replica.
func (s *Snapshot) machineKinds() []*Node {
	if s.kindNodes != nil {
		return s.kindNodes
	}
	indices := map[machineKind]int{}
	for _, node := range s.Nodes {
		machine := node.Machine
		kind := machineKind{machine.Type, machine.Zone, machine.Spot, node.ReservedForGPU}
		index, known := indices[kind]
		if !known {
			index = len(s.kindNodes)
			indices[kind] = index
			s.kindNodes = append(s.kindNodes, node)
		}
		node.kindIndex = index
	}
	return s.kindNodes
}

// expensivePrice returns the hourly price of a CPU above which a machine is too expensive for a job: factor times the
// price on the cheapest machine that the job may use. It returns 0 if the job may use none of the machines.
func (s *Snapshot) expensivePrice(spec *model.Spec, rules *Rules, factor float64) float64 {
	nodes := s.Nodes
	if rules == nil {
		nodes = s.machineKinds() // without constraints all machines of one kind are equal
	}
	lowest := 0.0
	for _, node := range nodes {
		price := pricePerCPU(node.Machine)
		if node.checkMachine(spec, rules, "") == Feasible && (lowest == 0 || price < lowest) {
			lowest = price
		}
	}
	return lowest * factor
}

// feasibilityFilter returns a function that runs all checks of a node whose result does not change while a request is
// served. A zone other than "" restricts the request to that zone. For a job without constraints the function decides
// by machine kind, which excludes most of several thousand nodes with one look-up each.
func (s *Snapshot) feasibilityFilter(request *Request, zone string, filter nodeFilter) func(node *Node) bool {
	spec := request.Job.Spec
	if request.Rules != nil {
		return func(node *Node) bool {
			return node.checkStatic(request.Job, request.Rules, zone) == Feasible && filter.accepts(node, spec)
		}
	}
	kinds := s.machineKinds()
	feasible := make([]bool, len(kinds))
	for i, node := range kinds {
		feasible[i] = node.checkMachine(spec, nil, zone) == Feasible &&
			!node.reservedAgainst(request.Job) && filter.acceptsMachineKind(node)
	}
	errorsByMachine := request.Job.ErrorsByMachine
	return func(node *Node) bool {
		return feasible[node.kindIndex] && (len(errorsByMachine) == 0 || errorsByMachine[node.Machine.Name] == 0) &&
			(!filter.requireImage || node.hasImage(spec))
	}
}

// nodesWithImage returns the nodes that are known to hold an image, in the order of Nodes.
func (s *Snapshot) nodesWithImage(image string) []*Node {
	if s.nodesByImage == nil {
		s.nodesByImage = map[string][]*Node{}
		for _, node := range s.Nodes {
			for cached := range node.Machine.CachedImages {
				s.nodesByImage[cached] = append(s.nodesByImage[cached], node)
			}
		}
	}
	return s.nodesByImage[image]
}
