package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// Consolidate returns a replica of a service that should move to another machine, or nil if there is none. Callers
// use it only while no pending task could use the capacity.
//
// A replica on an expensive machine moves if a cheap machine has capacity for it and holds its image. A replica that
// is alone on its machine moves if a machine with a higher utilization and no higher price has both. The interruption
// is short because no image has to be fetched. Consolidate returns nil while any replica of the job has run for less
// than Settings.MinRuntime.
func Consolidate(settings *Settings, now time.Time, snapshot *Snapshot, job *model.Job) *model.Attempt {
	if !mayMoveReplicas(job) {
		return nil
	}
	c := newConsolidation(settings, snapshot, job)
	if !c.collectReplicas(settings, now) {
		return nil
	}
	if len(c.expensiveReplicas) == 0 && len(c.loneReplicas) == 0 {
		return nil
	}
	c.collectTargets()
	for _, attempt := range c.expensiveReplicas {
		if c.anyTarget(attempt, func(node *Node) bool { return pricePerCPU(node.Machine) <= c.maxPrice }) {
			return attempt
		}
	}
	for _, attempt := range c.loneReplicas {
		if c.anyTarget(attempt, func(node *Node) bool { return isBetterHost(node.Machine, attempt.Machine) }) {
			return attempt
		}
	}
	return nil
}

// mayMoveReplicas reports whether a job is a service whose replicas have all been placed and can be moved one at a
// time. Several replicas that have to share a zone cannot.
func mayMoveReplicas(job *model.Job) bool {
	spec := job.Spec
	return spec.Shape == model.Service && len(job.ActiveAttempts) >= spec.Tasks && !(spec.SingleZone && spec.Tasks > 1)
}

// reachedMinRuntime reports whether an attempt is running and has run for at least MinRuntime, so that it may be moved.
func (s *Settings) reachedMinRuntime(now time.Time, attempt *model.Attempt) bool {
	return attempt.State == model.AttemptPresent && attempt.Phase == model.PhaseRunning &&
		now.Sub(attempt.RunningAt) >= s.MinRuntime
}

// currentUtilization returns the utilization of a machine by the attempts that hold resources on it.
func currentUtilization(machine *model.Machine) float64 { return utilization(machine, machine.Used) }

// isBetterHost reports whether machine has a higher utilization than other at no higher price. Between two machines
// of equal utilization the one whose name sorts first is better, so that two lone replicas do not swap machines.
func isBetterHost(machine, other *model.Machine) bool {
	byUtilization := cmp.Or(
		cmp.Compare(currentUtilization(machine), currentUtilization(other)),
		cmp.Compare(other.Name, machine.Name),
	)
	return byUtilization > 0 && pricePerCPU(machine) <= pricePerCPU(other)
}

// consolidation searches for one replica of a job that should move.
type consolidation struct {
	snapshot          *Snapshot
	job               *model.Job
	rules             *Rules
	maxPrice          float64 // hourly price of a CPU above which a machine is too expensive for the job
	tasksByZone       map[string]int
	expensiveReplicas []*model.Attempt // replicas on machines that are too expensive
	loneReplicas      []*model.Attempt // other replicas that are the only attempt on their machine
	targets           []*Node          // nodes that have capacity for a replica and hold the image
}

func newConsolidation(settings *Settings, snapshot *Snapshot, job *model.Job) *consolidation {
	c := &consolidation{snapshot: snapshot, job: job, rules: snapshot.rulesOf(job), tasksByZone: map[string]int{}}
	c.maxPrice = snapshot.expensivePrice(job.Spec, c.rules, settings.ExpensiveFactor)
	return c
}

// rulesOf returns the evaluated constraints of a running job, or nil if it has none.
func (s *Snapshot) rulesOf(job *model.Job) *Rules {
	if s.RulesOf == nil {
		return nil
	}
	return s.RulesOf(job)
}

// collectReplicas collects the replicas that might move, sorted by task index. It returns false if any replica has not
// run for MinRuntime yet, because replicas are moved one at a time.
func (c *consolidation) collectReplicas(settings *Settings, now time.Time) bool {
	for _, attempt := range c.job.ActiveAttempts {
		if !settings.reachedMinRuntime(now, attempt) {
			return false
		}
		c.tasksByZone[attempt.Machine.Zone]++
		if pricePerCPU(attempt.Machine) > c.maxPrice {
			c.expensiveReplicas = append(c.expensiveReplicas, attempt)
		} else if attempt.Machine.ActiveCount == 1 {
			c.loneReplicas = append(c.loneReplicas, attempt)
		}
	}
	byTask := func(a, b *model.Attempt) int { return cmp.Compare(a.Task.Index, b.Task.Index) }
	slices.SortFunc(c.expensiveReplicas, byTask)
	slices.SortFunc(c.loneReplicas, byTask)
	return true
}

// collectTargets collects the nodes that could take a replica. It runs once for all replicas of the job, because every
// one of them may be on an expensive machine: a scan of all nodes per replica blocked a leader with 3,300 machines for
// over a second.
func (c *consolidation) collectTargets() {
	spec := c.job.Spec
	for _, node := range c.snapshot.nodesWithImage(spec.Image) {
		if spec.Demand.Fits(node.Free) && node.checkStatic(c.job, c.rules, "") == Feasible &&
			!c.rules.machineFull(node.Machine) {
			c.targets = append(c.targets, node)
		}
	}
}

// anyTarget reports whether a replica can move to any of the targets for which suitable returns true.
func (c *consolidation) anyTarget(attempt *model.Attempt, suitable func(node *Node) bool) bool {
	return slices.ContainsFunc(c.targets, func(node *Node) bool { return suitable(node) && c.canMove(attempt, node) })
}

// canMove reports whether node is on another machine and the replica can move there without exceeding the maximum
// number of tasks of its job per zone.
func (c *consolidation) canMove(attempt *model.Attempt, node *Node) bool {
	zone := node.Machine.Zone
	others := c.tasksByZone[zone]
	if zone == attempt.Machine.Zone {
		others--
	}
	return node.Machine != attempt.Machine && others < maxPerZone(c.job.Spec, c.rules)
}
