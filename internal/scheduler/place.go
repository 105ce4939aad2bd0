package scheduler

import (
	"slices"

	"github.com/glentiller/glentiller/internal/model"
)

// place puts up to n tasks of a request on the nodes that a filter accepts, and returns how many. A gang is placed
// whole or not at all; what has to be in one zone goes to the zone that takes most of it.
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

// addPlacements adds placements to the plan and to their team's usage.
func (p *pass) addPlacements(request *Request, placements []Placement) {
	p.plan.Placements = append(p.plan.Placements, placements...)
	p.snapshot.addUsage(request.Job.Spec.Team, request.Job.Spec.Demand.Times(len(placements)))
}

// zonesFor lists the zones to try for a request, one after the other: the zone of its job, where it names one ("":
// any), or the zone that tasks of the job occupy, where they have to be in one, or else all zones.
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

// zoneNames lists the zones of the nodes, whether or not the settings name them.
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

// occupiedZones lists the zones that have any tasks, in no order.
func occupiedZones(tasksByZone map[string]int) []string {
	var zones []string
	for zone, n := range tasksByZone {
		if n > 0 {
			zones = append(zones, zone)
		}
	}
	return zones
}

// CapacityInZone is how many tasks of a request fit on the nodes of a zone, as MakePlan has left them.
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

// assign takes a node's resources for one task of a request.
func (s *Snapshot) assign(request *Request, node *Node) {
	node.Free = node.Free.Sub(request.Job.Spec.Demand)
	request.TasksByZone[node.Machine.Zone]++
	request.Rules.addTasks(node.Machine, 1)
}

// unassign returns the resources of placements to their nodes.
func (s *Snapshot) unassign(request *Request, placements []Placement) {
	for _, placement := range placements {
		node := placement.Node
		node.Free = node.Free.Add(request.Job.Spec.Demand)
		request.TasksByZone[node.Machine.Zone]--
		request.Rules.addTasks(node.Machine, -1)
	}
}
