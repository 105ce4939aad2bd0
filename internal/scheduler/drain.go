package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// maxDrainCandidates bounds the machines that a call of Drain examines.
const maxDrainCandidates = 4

// Drain finds a replica to move off a machine that could be emptied altogether: the machine holds nothing but replicas
// that may move, and all of them fit on busier machines that cost no more and hold their images. It returns nil if
// there is none. Replicas move one at a time and only ever to a busier machine, so that no two machines exchange them
// repeatedly.
func Drain(settings *Settings, now time.Time, snapshot *Snapshot) *model.Attempt {
	var nodes []*Node
	for _, node := range snapshot.Nodes {
		if node.Machine.ActiveCount > 0 && drainable(settings, now, node.Machine) {
			nodes = append(nodes, node)
		}
	}
	// First what empties with the fewest moves, then the more expensive ones.
	slices.SortFunc(nodes, func(a, b *Node) int {
		return cmp.Or(
			cmp.Compare(a.Machine.ActiveCount, b.Machine.ActiveCount),
			cmp.Compare(pricePerCPU(b.Machine), pricePerCPU(a.Machine)),
			cmp.Compare(a.Machine.Name, b.Machine.Name),
		)
	})
	for _, node := range nodes[:min(len(nodes), maxDrainCandidates)] {
		if attempt := snapshot.drainNode(node); attempt != nil {
			return attempt
		}
	}
	return nil
}

// drainable reports whether a machine holds nothing but replicas that may be moved.
func drainable(settings *Settings, now time.Time, machine *model.Machine) bool {
	for _, attempt := range machine.ActiveAttempts() {
		if attempt.Job == nil || !mayMoveReplicas(attempt.Job) || !settings.isSettled(now, attempt) {
			return false
		}
	}
	return true
}

// drainNode finds capacity elsewhere for all that is on a node, and returns the replica to move first; nil: there is
// not enough for all.
func (s *Snapshot) drainNode(source *Node) *model.Attempt {
	attempts := slices.Clone(source.Machine.ActiveAttempts())
	slices.SortFunc(attempts, func(a, b *model.Attempt) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	d := &drainSearch{
		snapshot:    s,
		source:      source,
		claimed:     map[*Node]model.Resources{},
		tasksByZone: map[*model.Job]map[string]int{},
	}
	for _, attempt := range attempts {
		if !d.move(attempt) {
			return nil
		}
	}
	return attempts[0]
}

// drainSearch looks for capacity for the replicas of one node.
type drainSearch struct {
	snapshot    *Snapshot
	source      *Node
	claimed     map[*Node]model.Resources     // by the replicas that have a target
	tasksByZone map[*model.Job]map[string]int // after those moves
}

// move chooses the target of a replica and reports whether there is one.
func (d *drainSearch) move(attempt *model.Attempt) bool {
	rules := d.snapshot.rulesOf(attempt.Job)
	tasksByZone := d.zonesOf(attempt.Job)
	tasksByZone[d.source.Machine.Zone]--
	target := d.target(attempt, rules, tasksByZone)
	if target == nil {
		return false
	}
	tasksByZone[target.Machine.Zone]++
	d.claimed[target] = d.claimed[target].Add(attempt.Demand)
	return true
}

// zonesOf counts the tasks of a job by zone.
func (d *drainSearch) zonesOf(job *model.Job) map[string]int {
	if d.tasksByZone[job] == nil {
		d.tasksByZone[job] = map[string]int{}
		for _, attempt := range job.ActiveAttempts {
			d.tasksByZone[job][attempt.Machine.Zone]++
		}
	}
	return d.tasksByZone[job]
}

// target is the busiest node that takes a replica; nil: there is none.
func (d *drainSearch) target(attempt *model.Attempt, rules *Rules, tasksByZone map[string]int) *Node {
	var best *Node
	for _, node := range d.snapshot.nodesWithImage(attempt.Job.Spec.Image) {
		if !d.hasCapacity(node, attempt, rules) || !d.busier(node) {
			continue
		}
		if tasksByZone[node.Machine.Zone] >= maxPerZone(attempt.Job.Spec, rules) || rules.machineFull(node.Machine) {
			continue
		}
		if best == nil || busyFraction(node.Machine) > busyFraction(best.Machine) {
			best = node
		}
	}
	return best
}

// hasCapacity reports whether a node could take a replica besides those that have it as their target.
func (d *drainSearch) hasCapacity(node *Node, attempt *model.Attempt, rules *Rules) bool {
	return node != d.source && attempt.Demand.Fits(node.Free.Sub(d.claimed[node])) &&
		node.checkStatic(attempt.Job, rules, "") == Feasible
}

// busier reports whether a node is busier than the source and costs no more.
func (d *drainSearch) busier(node *Node) bool {
	switch machine, source := node.Machine, d.source.Machine; {
	case pricePerCPU(machine) > pricePerCPU(source):
		return false
	case busyFraction(machine) <= busyFraction(source):
		return false
	}
	return true
}
