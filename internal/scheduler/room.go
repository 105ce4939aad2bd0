package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// mayStop tells whether an attempt may be stopped for a want: it has a lower
// rank, or runs beyond another team's guarantee that the want is inside of. It must
// also stand behind the want in the order. Guards against two kinds of work that
// stop each other in turns: one that goes first would take its place back at once.
func (w *Want) mayStop(v *Running) bool {
	if v.Rank == model.PriorityProduction {
		return false // its users would miss it at once
	}
	rank := w.Job.EffectivePriority
	if !v.Over && v.Attempt.Team != w.Job.Spec.Team {
		rank = w.Job.Spec.Priority // one that was handed on does not reach into others' guarantees
	}
	if v.Rank >= rank && !(w.Guaranteed && v.Over && v.Attempt.Team != w.Job.Spec.Team) {
		return false
	}
	return w.at.compare(v.at) < 0
}

// stoppable is what the attempts on a node have in common that might be stopped at all. It only ever says that none of
// them may be stopped for a want: attempts that are stopped stay counted.
type stoppable struct {
	any  bool
	rank model.Priority // the lowest
	over bool           // one runs beyond its team's guarantee
	last standing       // of the one that stands last
}

func (s *stoppable) add(v *Running) {
	if v.Rank == model.PriorityProduction {
		return
	}
	if !s.any || v.Rank < s.rank {
		s.rank = v.Rank
	}
	if !s.any || s.last.compare(v.at) < 0 {
		s.last = v.at
	}
	s.any, s.over = true, s.over || v.Over
}

// may tells whether any of the attempts might be stopped for a want; mayStop decides on each. Guards against a look at
// all that runs on thousands of machines for each of the wants in whose favour nothing may be stopped.
func (s *stoppable) may(w *Want) bool {
	return s.any && (s.rank < w.Job.EffectivePriority || w.Guaranteed && s.over) && w.at.compare(s.last) < 0
}

// preempt makes room for tasks that fit nowhere: first it claims what is being
// freed already, then it stops what loses least among the attempts that may be
// stopped for this want. It tells for how many tasks it has found room.
func (p *Picture) preempt(plan *Plan, w *Want, lack int, stops *int, st stage) int {
	spec := w.Job.Spec
	if lack <= 0 || spec.Shape == model.Gang && spec.Tasks > 1 {
		return 0
	}
	zones := map[string]int{}
	for z, n := range w.Zones {
		zones[z] = n
	}
	lock := ""
	if spec.SingleZone {
		if h := held(zones); len(h) > 0 {
			lock = h[0]
		}
	}
	key := shortOf(w, lock, st)
	key.rank, key.own, key.guaranteed, key.late, key.stops = w.Job.EffectivePriority, spec.Priority, w.Guaranteed, w.at.lane == laneOvertake, len(plan.Stop)
	if w.Guaranteed || w.Job.EffectivePriority != spec.Priority {
		key.team = spec.Team // what makes way is not the same for all teams
	}
	if p.short.fits(key, spec.Demand) == 0 {
		return 0
	}
	// What could make way is worked out once a machine, and anew where it changes.
	may, usable := p.candidates[:0], p.usable(w, lock, st)
	for _, nd := range p.Nodes {
		if usable(nd) {
			may = append(may, candidate{nd: nd})
		}
	}
	p.candidates = may
	found := 0
	for ; lack > 0; lack-- {
		var best *candidate
		for i := range may {
			c := &may[i]
			if zone := c.nd.Machine.Zone; lock != "" && zone != lock || w.ZoneFull(zones, zone) || w.Rules.machineFull(c.nd.Machine) {
				continue
			}
			if !c.known || len(c.set) > *stops {
				p.look(c.nd)
				c.judge(w, *stops)
			}
			if c.free {
				best = c
				break
			}
			if c.ok && (best == nil || c.loss < best.loss) {
				best = c
			}
		}
		if best == nil {
			if found == 0 && lock == "" && !w.bounded() {
				p.short.add(key, spec.Demand, 0)
			}
			return found
		}
		found++
		nd := best.nd
		for _, i := range best.set {
			v := nd.Victims[i]
			plan.stop(v, w)
			nd.Freeing = nd.Freeing.Add(v.Attempt.Demand)
			*stops--
		}
		nd.drop(best.set)
		// What is free now is claimed too, so that nobody behind takes it.
		take := model.Resources{CPU: min(spec.Demand.CPU, max(nd.Free.CPU, 0)), GPU: min(spec.Demand.GPU, max(nd.Free.GPU, 0)),
			MemGB: min(spec.Demand.MemGB, max(nd.Free.MemGB, 0))}
		nd.Free = nd.Free.Sub(take)
		nd.claimed = nd.claimed.Add(spec.Demand.Sub(take))
		zones[nd.Machine.Zone]++
		w.Rules.put(nd.Machine, 1)
		defer w.Rules.put(nd.Machine, -1)
		if spec.SingleZone {
			lock = nd.Machine.Zone
		}
		best.known = false
	}
	return found
}

// candidate is a machine on which something could make way for a want.
type candidate struct {
	nd    *Node
	known bool // the rest holds
	free  bool // what is being freed is enough
	ok    bool // the end of the set makes room
	set   []int
	loss  time.Duration
}

// judge works out what could make way.
func (c *candidate) judge(w *Want, stops int) {
	nd, spec := c.nd, w.Job.Spec
	free := nd.Free.Add(nd.Freeing).Sub(nd.claimed)
	c.known, c.free, c.ok, c.set = true, spec.Demand.Fits(free), false, nil
	if c.free || !nd.stops.may(w) {
		return
	}
	if c.set, c.loss, c.ok = victims(nd, w, free, stops); !c.ok {
		c.set = nil
	} else if !nd.hasImage(spec) {
		c.loss += fetchLoss
	}
}

// yield makes way inside a team's limit: it stops lower work of the same team,
// what loses least first, and none that has only just begun.
func (p *Picture) yield(plan *Plan, w *Want, tasks, room int, stops *int) {
	spec := w.Job.Spec
	claim := spec.Demand.Times(tasks - room)
	spare := p.Teams[spec.Team].Quota.Remaining(p.Used[spec.Team].Add(spec.Demand.Times(room))).AtLeastZero()
	missing := claim.Sub(p.Leaving[spec.Team]).Sub(spare)
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
		p.look(nd)
		for i, v := range nd.Victims {
			if v.Attempt.Team == spec.Team && v.Rank < w.Job.EffectivePriority && w.mayStop(&v) && !v.Gang && (!v.Young || v.Rank == model.PriorityLow && w.tier() == 0) &&
				(v.Save > 0 || w.tier() == 0) {
				may = append(may, at{nd, i})
			}
		}
	}
	slices.SortStableFunc(may, func(a, b at) int {
		return cmp.Compare(cost(&a.nd.Victims[a.i], w), cost(&b.nd.Victims[b.i], w))
	})
	taken := map[*Node][]int{}
	for _, v := range may {
		if !short() {
			break
		}
		r := v.nd.Victims[v.i]
		plan.stop(r, w)
		*stops--
		missing = missing.Sub(r.Attempt.Demand)
		p.Leaving[spec.Team] = p.Leaving[spec.Team].Add(r.Attempt.Demand)
		v.nd.Freeing = v.nd.Freeing.Add(r.Attempt.Demand)
		taken[v.nd] = append(taken[v.nd], v.i)
	}
	// What is on its way out is spoken for, and so is the room that is free under
	// the limit but too small as yet. Guards against lower work that takes the
	// first part of what was made free, and is stopped again in the next pass, over
	// and over.
	left := p.Leaving[spec.Team]
	p.Leaving[spec.Team] = left.Sub(claim).AtLeastZero()
	p.Used[spec.Team] = p.Used[spec.Team].Add(claim.Sub(left).AtLeastZero())
	for nd, list := range taken {
		nd.drop(list)
	}
}

// drop takes victims off a node's list.
func (nd *Node) drop(list []int) {
	slices.Sort(list)
	for k := len(list) - 1; k >= 0; k-- {
		nd.Victims = slices.Delete(nd.Victims, list[k], list[k]+1)
	}
}

// fetchLoss is what the fetch of an image weighs against work that is lost.
const fetchLoss = 30 * time.Second

// victims chooses attempts on a node whose end makes room for one task.
func victims(nd *Node, w *Want, free model.Resources, most int) ([]int, time.Duration, bool) {
	spec := w.Job.Spec
	if most <= 0 {
		return nil, 0, false
	}
	var may []int
	for i := range nd.Victims {
		if w.mayStop(&nd.Victims[i]) {
			may = append(may, i)
		}
	}
	if len(may) == 0 {
		return nil, 0, false
	}
	slices.SortStableFunc(may, func(a, b int) int {
		return cmp.Compare(cost(&nd.Victims[a], w), cost(&nd.Victims[b], w))
	})
	var set []int
	var loss time.Duration
	for _, i := range may {
		if spec.Demand.Fits(free) || len(set) >= most {
			break
		}
		set = append(set, i)
		free = free.Add(nd.Victims[i].Attempt.Demand)
		loss += cost(&nd.Victims[i], w)
	}
	return set, loss, spec.Demand.Fits(free) && len(set) > 0
}

// tight is the slack of an attempt that would likely miss its date if stopped.
const tight = 30 * time.Second

// cost is what stopping an attempt for a want loses, with what its users lose
// weighed in.
func cost(v *Running, w *Want) time.Duration {
	c := v.least()
	if w.Urgent() {
		c = v.Loss
	}
	c += 5*time.Second + time.Duration(v.Rank)*5*time.Second
	if v.Due && v.Slack >= 0 && v.Slack < tight {
		c += 30 * time.Second
	}
	if v.Young {
		c += 30 * time.Second
	}
	if v.Gang {
		c += time.Minute
	}
	return c
}
