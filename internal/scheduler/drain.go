package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// maxDrainCandidates bounds the number of machines that one call of Drain examines.
const maxDrainCandidates = 4

// Drain returns a replica that should move so that its machine can be emptied, or nil if there is none. Such a machine
// runs only replicas that may move, and all of them fit on machines that have a higher utilization and no higher price
// and hold their images. Replicas move one at a time and only to a machine with a higher utilization, so that two
// machines do not exchange replicas repeatedly.
func Drain(settings *Settings, now time.Time, snapshot *Snapshot) *model.Attempt {
	var nodes []*Node
	for _, node := range snapshot.Nodes {
		if node.Machine.ActiveCount > 0 && canDrain(settings, now, node.Machine) {
			nodes = append(nodes, node)
		}
	}
	// Machines that need the fewest moves come first, and of those the more expensive ones.
	slices.SortFunc(nodes, func(a, b *Node) int {
		return cmp.Or(
			cmp.Compare(a.Machine.ActiveCount, b.Machine.ActiveCount),
			cmp.Compare(pricePerCPU(b.Machine), pricePerCPU(a.Machine)),
			cmp.Compare(a.Machine.Name, b.Machine.Name),
		)
	})
	for _, node := range nodes[:min(len(nodes), maxDrainCandidates)] {
		if attempt := snapshot.planDrain(node); attempt != nil {
			return attempt
		}
	}
	return nil
}

// canDrain reports whether all active attempts on a machine are replicas that may move.
func canDrain(settings *Settings, now time.Time, machine *model.Machine) bool {
	for _, attempt := range machine.ActiveAttempts() {
		if attempt.Job == nil || !mayMoveReplicas(attempt.Job) || !settings.reachedMinRuntime(now, attempt) {
			return false
		}
	}
	return true
}

// planDrain chooses targets for all replicas on a node and returns the replica that moves first. It returns nil if
// the other nodes do not have capacity for all of them.
func (s *Snapshot) planDrain(source *Node) *model.Attempt {
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
		if !d.planMove(attempt) {
			return nil
		}
	}
	return attempts[0]
}

// drainSearch searches for nodes that can take the replicas of one source node.
type drainSearch struct {
	snapshot    *Snapshot
	source      *Node
	claimed     map[*Node]model.Resources     // resources of the replicas that have the node as their target
	tasksByZone map[*model.Job]map[string]int // counts as they are after the planned moves
}

// planMove chooses the target of a replica and claims resources there. It returns false if there is no target.
func (d *drainSearch) planMove(attempt *model.Attempt) bool {
	rules := d.snapshot.rulesOf(attempt.Job)
	tasksByZone := d.taskCountsByZone(attempt.Job)
	tasksByZone[d.source.Machine.Zone]--
	target := d.busiestTarget(attempt, rules, tasksByZone)
	if target == nil {
		return false
	}
	tasksByZone[target.Machine.Zone]++
	d.claimed[target] = d.claimed[target].Add(attempt.Demand)
	return true
}

// taskCountsByZone returns the number of tasks of a job in each zone, as it is after the planned moves. The caller
// may modify the map to record a move.
func (d *drainSearch) taskCountsByZone(job *model.Job) map[string]int {
	if d.tasksByZone[job] == nil {
		d.tasksByZone[job] = map[string]int{}
		for _, attempt := range job.ActiveAttempts {
			d.tasksByZone[job][attempt.Machine.Zone]++
		}
	}
	return d.tasksByZone[job]
}

// busiestTarget returns the node with the highest utilization that can take a replica, or nil if there is none.
func (d *drainSearch) busiestTarget(attempt *model.Attempt, rules *Rules, tasksByZone map[string]int) *Node {
	var best *Node
	for _, node := range d.snapshot.nodesWithImage(attempt.Job.Spec.Image) {
		if !d.hasCapacity(node, attempt, rules) || !d.improvesOnSource(node) {
			continue
		}
		if tasksByZone[node.Machine.Zone] >= maxPerZone(attempt.Job.Spec, rules) || rules.machineFull(node.Machine) {
			continue
		}
		if best == nil || currentUtilization(node.Machine) > currentUtilization(best.Machine) {
			best = node
		}
	}
	return best
}

// hasCapacity reports whether a node can take a replica in addition to the replicas that already have it as their
// target.
func (d *drainSearch) hasCapacity(node *Node, attempt *model.Attempt, rules *Rules) bool {
	return node != d.source && attempt.Demand.Fits(node.Free.Sub(d.claimed[node])) &&
		node.checkStatic(attempt.Job, rules, "") == Feasible
}

// improvesOnSource reports whether a node has a higher utilization than the source at no higher price.
func (d *drainSearch) improvesOnSource(node *Node) bool {
	switch machine, source := node.Machine, d.source.Machine; {
	case pricePerCPU(machine) > pricePerCPU(source):
		return false
	case currentUtilization(machine) <= currentUtilization(source):
		return false
	}
	return true
}
