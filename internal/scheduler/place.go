package scheduler

import (
	"slices"

	"github.com/glentiller/glentiller/internal/model"
)

// place places up to n tasks of a request on the nodes that a filter accepts, and returns the number of tasks placed.
// It places all n tasks of a gang or none. Tasks that have to share a zone go to the zone that has capacity for most
// of them.
func (p *pass) place(request *Request, n int, filter nodeFilter) int {
	if n <= 0 {
		return 0
	}
	spec, snapshot := request.Job.Spec, p.snapshot
	if !spec.SingleZone && spec.Shape != model.Gang {
		placements := snapshot.pickNodes(p.settings, request, n, spec.Zone, filter, true)
		p.addPlacements(request, placements)
		return len(placements)
	}
	var best []Placement
	for _, zone := range snapshot.zonesFor(request) {
		placements := snapshot.pickNodes(p.settings, request, n, zone, filter, false)
		snapshot.unassign(request, placements)
		if len(placements) > len(best) {
			best = placements
		}
	}
	if spec.Shape == model.Gang && len(best) < n {
		return 0
	}
	for _, placement := range best {
		snapshot.assign(request, placement.Node)
	}
	p.addPlacements(request, best)
	return len(best)
}

// addPlacements adds placements of a request to the plan and their demand to the team's usage.
func (p *pass) addPlacements(request *Request, placements []Placement) {
	p.plan.Placements = append(p.plan.Placements, placements...)
	p.snapshot.addUsage(request.Job.Spec.Team, request.Job.Spec.Demand.Times(len(placements)))
}

// zonesFor returns the zones to try in turn for a request, where "" stands for any zone. For a job that names a zone,
// that is the only one, and for a job whose tasks may be in several zones it is "". Otherwise zonesFor returns the
// zones that the job's tasks occupy or, if they occupy none, all zones.
func (s *Snapshot) zonesFor(request *Request) []string {
	spec := request.Job.Spec
	if !spec.SingleZone || spec.Zone != "" {
		return []string{spec.Zone}
	}
	if zones := occupiedZones(request.TasksByZone); len(zones) > 0 {
		return zones
	}
	return s.zoneNames()
}

// zoneNames returns the names of the zones. If the snapshot has no Zones, it collects them from all nodes, including
// zones that the settings do not name.
func (s *Snapshot) zoneNames() []string {
	if s.Zones == nil {
		for _, node := range s.Nodes {
			if i, found := slices.BinarySearch(s.Zones, node.Machine.Zone); !found {
				s.Zones = slices.Insert(s.Zones, i, node.Machine.Zone)
			}
		}
	}
	return s.Zones
}

// occupiedZones returns the zones that have at least one task, in no particular order.
func occupiedZones(tasksByZone map[string]int) []string {
	var zones []string
	for zone, n := range tasksByZone {
		if n > 0 {
			zones = append(zones, zone)
		}
	}
	return zones
}

// CapacityInZone returns how many tasks of a request fit on the nodes of a zone with the free resources that MakePlan
// has left. It ignores the maximum number of tasks per zone.
func (s *Snapshot) CapacityInZone(request *Request, zone string) int {
	spec := request.Job.Spec
	n := 0
	for _, node := range s.Nodes {
		if spec.Demand.Fits(node.Free) && node.checkStatic(request.Job, request.Rules, zone) == Feasible {
			n += min(spec.Demand.FitCount(node.Free), request.MaxPerMachine())
		}
	}
	return n
}

// assign takes the resources of one task of a request from a node and counts the task in its zone and on its machine.
func (s *Snapshot) assign(request *Request, node *Node) {
	node.Free = node.Free.Sub(request.Job.Spec.Demand)
	request.TasksByZone[node.Machine.Zone]++
	request.Rules.addTasks(node.Machine, 1)
}

// unassign reverts assign for placements of a request.
func (s *Snapshot) unassign(request *Request, placements []Placement) {
	for _, placement := range placements {
		node := placement.Node
		node.Free = node.Free.Add(request.Job.Spec.Demand)
		request.TasksByZone[node.Machine.Zone]--
		request.Rules.addTasks(node.Machine, -1)
	}
}
