package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// mayPreempt tells whether an attempt may be stopped for a want: it has a lower
// rank, or runs beyond another team's guarantee that the want is inside of. It must
// also stand behind the want in the order. Guards against two kinds of work that
// stop each other in turns: one that goes first would take its place back at once.
func (w *Request) mayPreempt(v *PreemptionCandidate) bool {
	if v.Priority == model.PriorityProduction {
		return false // its users would miss it at once
	}
	rank := w.Job.EffectivePriority
	if !v.BeyondGuarantee && v.Attempt.Team != w.Job.Spec.Team {
		rank = w.Job.Spec.Priority // one that was handed on does not reach into others' guarantees
	}
	if v.Priority >= rank && !(w.Guaranteed && v.BeyondGuarantee && v.Attempt.Team != w.Job.Spec.Team) {
		return false
	}
	return w.position.compare(v.position) < 0
}

// preemptibleSummary is what the attempts on a node have in common that might be stopped at all. It only ever says that none of
// them may be stopped for a want: attempts that are stopped stay counted.
type preemptibleSummary struct {
	nonEmpty           bool
	lowestPriority     model.Priority // the lowest
	anyBeyondGuarantee bool           // one runs beyond its team's guarantee
	lastPosition       position       // of the one that stands last
}

func (s *preemptibleSummary) add(v *PreemptionCandidate) {
	if v.Priority == model.PriorityProduction {
		return
	}
	if !s.nonEmpty || v.Priority < s.lowestPriority {
		s.lowestPriority = v.Priority
	}
	if !s.nonEmpty || s.lastPosition.compare(v.position) < 0 {
		s.lastPosition = v.position
	}
	s.nonEmpty, s.anyBeyondGuarantee = true, s.anyBeyondGuarantee || v.BeyondGuarantee
}

// mayPreemptFor tells whether any of the attempts might be stopped for a want; mayStop decides on each. Guards against a look at
// all that runs on thousands of machines for each of the wants in whose favour nothing may be stopped.
func (s *preemptibleSummary) mayPreemptFor(w *Request) bool {
	return s.nonEmpty && (s.lowestPriority < w.Job.EffectivePriority || w.Guaranteed && s.anyBeyondGuarantee) && w.position.compare(s.lastPosition) < 0
}

// preempt makes room for tasks that fit nowhere: first it claims what is being
// freed already, then it stops what loses least among the attempts that may be
// stopped for this want. It tells for how many tasks it has found room.
func (p *Snapshot) preempt(plan *Plan, w *Request, lack int, stops *int, st nodeFilter) int {
	spec := w.Job.Spec
	if lack <= 0 || spec.Shape == model.Gang && spec.Tasks > 1 {
		return 0
	}
	zones := map[string]int{}
	for z, n := range w.TasksByZone {
		zones[z] = n
	}
	lock := ""
	if spec.SingleZone {
		if h := occupiedZones(zones); len(h) > 0 {
			lock = h[0]
		}
	}
	key := noFitKeyOf(w, lock, st)
	key.priority, key.ownPriority, key.guaranteed, key.promoted, key.preemptions = w.Job.EffectivePriority, spec.Priority, w.Guaranteed, w.position.queue == queuePromoted, len(plan.Preemptions)
	if w.Guaranteed || w.Job.EffectivePriority != spec.Priority {
		key.team = spec.Team // what makes way is not the same for all teams
	}
	if p.noFit.maxFitting(key, spec.Demand) == 0 {
		return 0
	}
	// What could make way is worked out once a machine, and anew where it changes.
	may, usable := p.nodeOptions[:0], p.feasibilityFilter(w, lock, st)
	for _, nd := range p.Nodes {
		if usable(nd) {
			may = append(may, nodeOption{node: nd})
		}
	}
	p.nodeOptions = may
	found := 0
	for ; lack > 0; lack-- {
		var best *nodeOption
		for i := range may {
			c := &may[i]
			if zone := c.node.Machine.Zone; lock != "" && zone != lock || w.ZoneFull(zones, zone) || w.Rules.machineFull(c.node.Machine) {
				continue
			}
			if !c.evaluated || len(c.chosen) > *stops {
				p.loadCandidates(c.node)
				c.evaluate(w, *stops)
			}
			if c.fitsWithout {
				best = c
				break
			}
			if c.feasible && (best == nil || c.loss < best.loss) {
				best = c
			}
		}
		if best == nil {
			if found == 0 && lock == "" && !w.needsFullScan() {
				p.noFit.add(key, spec.Demand, 0)
			}
			return found
		}
		found++
		nd := best.node
		for _, i := range best.chosen {
			v := nd.Candidates[i]
			plan.preempt(v, w)
			nd.Releasing = nd.Releasing.Add(v.Attempt.Demand)
			*stops--
		}
		nd.removeCandidates(best.chosen)
		// What is free now is claimed too, so that nobody behind takes it.
		take := model.Resources{CPU: min(spec.Demand.CPU, max(nd.Free.CPU, 0)), GPU: min(spec.Demand.GPU, max(nd.Free.GPU, 0)),
			MemGB: min(spec.Demand.MemGB, max(nd.Free.MemGB, 0))}
		nd.Free = nd.Free.Sub(take)
		nd.claimed = nd.claimed.Add(spec.Demand.Sub(take))
		zones[nd.Machine.Zone]++
		w.Rules.addTasks(nd.Machine, 1)
		defer w.Rules.addTasks(nd.Machine, -1)
		if spec.SingleZone {
			lock = nd.Machine.Zone
		}
		best.evaluated = false
	}
	return found
}

// nodeOption is a machine on which something could make way for a want.
type nodeOption struct {
	node        *Node
	evaluated   bool // the rest holds
	fitsWithout bool // what is being freed is enough
	feasible    bool // the end of the set makes room
	chosen      []int
	loss        time.Duration
}

// evaluate works out what could make way.
func (c *nodeOption) evaluate(w *Request, stops int) {
	nd, spec := c.node, w.Job.Spec
	free := nd.Free.Add(nd.Releasing).Sub(nd.claimed)
	c.evaluated, c.fitsWithout, c.feasible, c.chosen = true, spec.Demand.Fits(free), false, nil
	if c.fitsWithout || !nd.preemptible.mayPreemptFor(w) {
		return
	}
	if c.chosen, c.loss, c.feasible = chooseCandidates(nd, w, free, stops); !c.feasible {
		c.chosen = nil
	} else if !nd.hasImage(spec) {
		c.loss += imageFetchPenalty
	}
}

// preemptWithinTeam makes way inside a team's limit: it stops lower work of the same team,
// what loses least first, and none that has only just begun.
func (p *Snapshot) preemptWithinTeam(plan *Plan, w *Request, tasks, room int, stops *int) {
	spec := w.Job.Spec
	claim := spec.Demand.Times(tasks - room)
	spare := p.Teams[spec.Team].Quota.Remaining(p.Used[spec.Team].Add(spec.Demand.Times(room))).AtLeastZero()
	missing := claim.Sub(p.Releasing[spec.Team]).Sub(spare)
	type at struct {
		nd *Node
		i  int
	}
	var may []at
	short := func() bool { return (missing.CPU > 1e-6 || missing.GPU > 1e-6) && *stops > 0 }
	for _, nd := range p.Nodes {
		if !short() {
			break // enough is on its way out
		}
		p.loadCandidates(nd)
		for i, v := range nd.Candidates {
			if v.Attempt.Team == spec.Team && v.Priority < w.Job.EffectivePriority && w.mayPreempt(&v) && !v.Gang && (!v.RecentlyStarted || v.Priority == model.PriorityLow && w.qosClass() == 0) &&
				(v.CheckpointTime > 0 || w.qosClass() == 0) {
				may = append(may, at{nd, i})
			}
		}
	}
	slices.SortStableFunc(may, func(a, b at) int {
		return cmp.Compare(preemptionCost(&a.nd.Candidates[a.i], w), preemptionCost(&b.nd.Candidates[b.i], w))
	})
	taken := map[*Node][]int{}
	for _, v := range may {
		if !short() {
			break
		}
		r := v.nd.Candidates[v.i]
		plan.preempt(r, w)
		*stops--
		missing = missing.Sub(r.Attempt.Demand)
		p.Releasing[spec.Team] = p.Releasing[spec.Team].Add(r.Attempt.Demand)
		v.nd.Releasing = v.nd.Releasing.Add(r.Attempt.Demand)
		taken[v.nd] = append(taken[v.nd], v.i)
	}
	// What is on its way out is spoken for, and so is the room that is free under
	// the limit but too small as yet. Guards against lower work that takes the
	// first part of what was made free, and is stopped again in the next pass, over
	// and over.
	left := p.Releasing[spec.Team]
	p.Releasing[spec.Team] = left.Sub(claim).AtLeastZero()
	p.Used[spec.Team] = p.Used[spec.Team].Add(claim.Sub(left).AtLeastZero())
	for nd, list := range taken {
		nd.removeCandidates(list)
	}
}

// removeCandidates takes victims off a node's list.
func (nd *Node) removeCandidates(list []int) {
	slices.Sort(list)
	for k := len(list) - 1; k >= 0; k-- {
		nd.Candidates = slices.Delete(nd.Candidates, list[k], list[k]+1)
	}
}

// imageFetchPenalty is what the fetch of an image weighs against work that is lost.
const imageFetchPenalty = 30 * time.Second

// chooseCandidates chooses attempts on a node whose end makes room for one task.
func chooseCandidates(nd *Node, w *Request, free model.Resources, most int) ([]int, time.Duration, bool) {
	spec := w.Job.Spec
	if most <= 0 {
		return nil, 0, false
	}
	var may []int
	for i := range nd.Candidates {
		if w.mayPreempt(&nd.Candidates[i]) {
			may = append(may, i)
		}
	}
	if len(may) == 0 {
		return nil, 0, false
	}
	slices.SortStableFunc(may, func(a, b int) int {
		return cmp.Compare(preemptionCost(&nd.Candidates[a], w), preemptionCost(&nd.Candidates[b], w))
	})
	var set []int
	var loss time.Duration
	for _, i := range may {
		if spec.Demand.Fits(free) || len(set) >= most {
			break
		}
		set = append(set, i)
		free = free.Add(nd.Candidates[i].Attempt.Demand)
		loss += preemptionCost(&nd.Candidates[i], w)
	}
	return set, loss, spec.Demand.Fits(free) && len(set) > 0
}

// tightSlack is the slack of an attempt that would likely miss its date if stopped.
const tightSlack = 30 * time.Second

// preemptionCost is what stopping an attempt for a want loses, with what its users lose
// weighed in.
func preemptionCost(v *PreemptionCandidate, w *Request) time.Duration {
	c := v.minLoss()
	if w.Urgent() {
		c = v.LostWork
	}
	c += 5*time.Second + time.Duration(v.Priority)*5*time.Second
	if v.HasDeadline && v.Slack >= 0 && v.Slack < tightSlack {
		c += 30 * time.Second
	}
	if v.RecentlyStarted {
		c += 30 * time.Second
	}
	if v.Gang {
		c += time.Minute
	}
	return c
}
