package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/glentiller/glentiller/internal/model"
)

// A job of which nothing has begun for long is served first with as much as makes it begin: one
// task of an array, all of a gang or a service. What it waits for is kept: the free room under its
// team's limit, and machines as they become free, until it fits. Guards against jobs that never
// begin: wide gangs beside narrow ones, which take each machine as it becomes free, and jobs that can meet no
// date any more behind a stream of such as can.

// isStarving tells whether a want is that beginning. One task soon finds a place; what has to start whole
// needs time to gather its machines.
func (w *Request) isStarving(s *Settings) bool {
	after := s.StarvationBound / 2
	if w.Job.Spec.Shape != model.Array {
		after = s.StarvationBound * 3 / 8
	}
	return s.StarvationBound > 0 && !w.Job.Started() && w.Waited >= after
}

// splitStarving has the beginnings of arrays wait by themselves.
func splitStarving(s *Settings, wants []*Request) []*Request {
	out := wants
	for _, w := range wants {
		if !w.isStarving(s) {
			continue
		}
		w.Starving = true
		if w.Job.Spec.Shape == model.Array && w.Count > 1 && w.MaxTasks > 0 {
			rest := *w
			rest.Starving, rest.Count, rest.MaxTasks = false, w.Count-1, w.MaxTasks-1
			w.Count, w.MaxTasks = 1, 1
			out = append(out, &rest)
		}
	}
	return out
}

// maxReservations bounds for how many beginnings a pass keeps machines.
const maxReservations = 3

// reserveNodes keeps machines for the tasks of a beginning that found no room: those with the most room
// already, in the zone with the most where it has to be one. It tells whether it kept any.
func (p *Snapshot) reserveNodes(w *Request, n int) bool {
	spec := w.Job.Spec
	byZone := map[string][]*Node{}
	for _, nd := range p.Nodes {
		if nd.checkStatic(w.Job, w.Rules, "") != Feasible {
			continue
		}
		zone := ""
		if spec.SingleZone {
			zone = nd.Machine.Zone
		}
		byZone[zone] = append(byZone[zone], nd)
	}
	room := func(nd *Node) float64 { return utilization(nd.Machine, nd.Free) }
	var best []*Node
	most := -1.0
	for _, zone := range slices.Sorted(maps.Keys(byZone)) { // of zones alike the first by name: a pass decides the same each time
		nodes := byZone[zone]
		slices.SortFunc(nodes, func(a, b *Node) int {
			return cmp.Or(cmp.Compare(room(b), room(a)), cmp.Compare(a.Machine.Name, b.Machine.Name))
		})
		nodes = nodes[:min(n, len(nodes))]
		sum := 0.0
		for _, nd := range nodes {
			sum += room(nd)
		}
		if sum > most {
			best, most = nodes, sum
		}
	}
	for _, nd := range best {
		nd.Free = model.Resources{}
	}
	return len(best) > 0
}
