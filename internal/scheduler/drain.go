package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// Drain finds a replica whose machine could be emptied altogether: it holds nothing but replicas
// that may move, and all of them fit on busier machines that are no dearer and hold their images.
// It is the paper's consolidation for machines with several replicas, one move at a time. A move
// only ever goes to a busier machine, so that no two machines hand replicas to and fro. It
// returns nil if there is none.
func Drain(s *Settings, now time.Time, p *Snapshot) *model.Attempt {
	var may []*Node
	for _, nd := range p.Nodes {
		if m := nd.Machine; m.ActiveCount > 0 && movable(s, now, m) {
			may = append(may, nd)
		}
	}
	// What empties with the fewest moves goes first; the dearer of two alike.
	slices.SortFunc(may, func(a, b *Node) int {
		return cmp.Or(cmp.Compare(a.Machine.ActiveCount, b.Machine.ActiveCount), cmp.Compare(pricePerCPU(b.Machine), pricePerCPU(a.Machine)), cmp.Compare(a.Machine.Name, b.Machine.Name))
	})
	for _, nd := range may[:min(len(may), maxDrainCandidates)] {
		if a := p.drainNode(nd); a != nil {
			return a
		}
	}
	return nil
}

// maxDrainCandidates bounds how many machines are thought through at a time.
const maxDrainCandidates = 4

// movable tells whether all that is on a machine are replicas of services that run whole and have
// run for long enough.
func movable(s *Settings, now time.Time, m *model.Machine) bool {
	for _, a := range m.ActiveAttempts() {
		j := a.Job
		if j == nil || j.Spec.Shape != model.Service || len(j.ActiveAttempts) < j.Spec.Tasks || j.Spec.SingleZone && j.Spec.Tasks > 1 ||
			a.State != model.AttemptPresent || a.Phase != model.PhaseRunning || now.Sub(a.RunningAt) < s.MinRuntime {
			return false
		}
	}
	return true
}

// drainNode finds room for all that is on a machine, and tells which replica goes first; nil: there
// is not room for all.
func (p *Snapshot) drainNode(from *Node) *model.Attempt {
	list := slices.Clone(from.Machine.ActiveAttempts())
	slices.SortFunc(list, func(a, b *model.Attempt) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	taken := map[*Node]model.Resources{}
	put := map[*model.Job]map[string]int{} // how many more of a job's tasks a zone has
	for _, a := range list {
		var rules *Rules
		if p.RulesOf != nil {
			rules = p.RulesOf(a.Job)
		}
		if put[a.Job] == nil {
			put[a.Job] = map[string]int{}
			for _, o := range a.Job.ActiveAttempts {
				put[a.Job][o.Machine.Zone]++
			}
		}
		zones := put[a.Job]
		zones[from.Machine.Zone]--
		to := p.drainTarget(from, a, rules, zones, taken)
		if to == nil {
			return nil
		}
		zones[to.Machine.Zone]++
		taken[to] = taken[to].Add(a.Demand)
	}
	return list[0]
}

// drainTarget is the busiest machine that takes a replica.
func (p *Snapshot) drainTarget(from *Node, a *model.Attempt, rules *Rules, zones map[string]int, taken map[*Node]model.Resources) *Node {
	var best *Node
	for _, nd := range p.nodesWithImage(a.Job.Spec.Image) {
		if nd == from || !a.Demand.Fits(nd.Free.Sub(taken[nd])) || pricePerCPU(nd.Machine) > pricePerCPU(from.Machine) || nd.checkStatic(a.Job, rules, "") != Feasible {
			continue
		}
		if utilization(nd.Machine, nd.Machine.Used) <= utilization(from.Machine, from.Machine.Used) || zones[nd.Machine.Zone] >= maxPerZone(a.Job.Spec, rules) || rules.machineFull(nd.Machine) {
			continue
		}
		if best == nil || utilization(nd.Machine, nd.Machine.Used) > utilization(best.Machine, best.Machine.Used) {
			best = nd
		}
	}
	return best
}
