package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// The parts of the cost of a preemption, besides the work that is lost.
const (
	basePreemptionCost  = 5 * time.Second
	costPerPriority     = 5 * time.Second
	missedDeadlineCost  = 30 * time.Second // of an attempt that would likely miss its deadline
	recentlyStartedCost = 30 * time.Second
	gangPreemptionCost  = time.Minute      // all of the gang starts again
	imageFetchPenalty   = 30 * time.Second // of a node that has to fetch the image
	likelyMissSlack     = 30 * time.Second // an attempt with less slack likely misses its deadline if it is stopped
)

// mayPreempt reports whether an attempt may be stopped for the request: it has a lower priority, or runs beyond another
// team's guarantee while the request is within its own. It must also come after the request in the order: otherwise it
// would take its place back at once, and the two would preempt each other in turns.
func (r *Request) mayPreempt(candidate *PreemptionCandidate) bool {
	if candidate.Priority == model.PriorityProduction {
		return false // its users would miss it at once
	}
	otherTeam := candidate.Attempt.Team != r.Job.Spec.Team
	priority := r.Job.EffectivePriority
	if !candidate.BeyondGuarantee && otherTeam {
		priority = r.Job.Spec.Priority // a priority inherited from dependent jobs does not reach into others' guarantees
	}
	reclaimsGuarantee := r.Guaranteed && candidate.BeyondGuarantee && otherTeam
	if candidate.Priority >= priority && !reclaimsGuarantee {
		return false
	}
	return r.position.compare(candidate.position) < 0
}

// minLoss is the least that stopping the attempt loses: its work, or the time for which its machine is busy saving it.
func (c *PreemptionCandidate) minLoss() time.Duration {
	if c.CheckpointTime > 0 {
		return min(c.LostWork, c.CheckpointTime)
	}
	return c.LostWork
}

// preemptionCost is what stopping an attempt for a request costs, with what its users lose weighed in.
func preemptionCost(candidate *PreemptionCandidate, request *Request) time.Duration {
	cost := candidate.minLoss()
	if request.Urgent() {
		cost = candidate.LostWork
	}
	cost += basePreemptionCost + time.Duration(candidate.Priority)*costPerPriority
	if candidate.HasDeadline && candidate.Slack >= 0 && candidate.Slack < likelyMissSlack {
		cost += missedDeadlineCost
	}
	if candidate.RecentlyStarted {
		cost += recentlyStartedCost
	}
	if candidate.Gang {
		cost += gangPreemptionCost
	}
	return cost
}

// preemptibleSummary is what the candidates of a node have in common. It can only rule out that any of them may be
// stopped for a request; candidates that are stopped stay counted.
type preemptibleSummary struct {
	nonEmpty           bool
	lowestPriority     model.Priority
	anyBeyondGuarantee bool
	lastPosition       position
}

// add counts a candidate in.
func (s *preemptibleSummary) add(candidate *PreemptionCandidate) {
	if candidate.Priority == model.PriorityProduction {
		return
	}
	if !s.nonEmpty || candidate.Priority < s.lowestPriority {
		s.lowestPriority = candidate.Priority
	}
	if !s.nonEmpty || s.lastPosition.compare(candidate.position) < 0 {
		s.lastPosition = candidate.position
	}
	s.nonEmpty = true
	s.anyBeyondGuarantee = s.anyBeyondGuarantee || candidate.BeyondGuarantee
}

// mayPreemptFor reports whether any of the candidates might be stopped for a request; Request.mayPreempt decides on
// each. It spares the scan of all candidates of thousands of nodes for requests that nothing may be stopped for.
func (s *preemptibleSummary) mayPreemptFor(request *Request) bool {
	if !s.nonEmpty || request.position.compare(s.lastPosition) >= 0 {
		return false
	}
	return s.lowestPriority < request.Job.EffectivePriority || request.Guaranteed && s.anyBeyondGuarantee
}

// preemptAndReserve preempts for tasks that fit nowhere, and returns for how many it has freed capacity. Their demand
// counts towards their team's quota from now on. Otherwise lower-priority work of the team would take the quota
// meanwhile and be preempted in the next pass, and the request would find the node's capacity taken in the one after.
func (p *pass) preemptAndReserve(request *Request, missing int, filter nodeFilter) int {
	found := p.preempt(request, missing, filter)
	spec := request.Job.Spec
	p.snapshot.addUsage(spec.Team, spec.Demand.Times(found))
	return found
}

// preempt frees capacity for tasks that fit nowhere: it first claims what is being released already, then stops what
// costs least among the attempts that may be stopped for this request. It returns for how many tasks it has freed
// capacity.
func (p *pass) preempt(request *Request, missing int, filter nodeFilter) int {
	spec := request.Job.Spec
	if missing <= 0 || spec.Shape == model.Gang && spec.Tasks > 1 {
		return 0
	}
	search := newPreemptionSearch(p, request)
	key := newNoFitKey(request, search.lockedZone, filter)
	key.preemption = newPreemptionKey(request, len(p.plan.Preemptions))
	if p.snapshot.noFit.maxFitting(key, spec.Demand) == 0 {
		return 0
	}
	search.collectOptions(filter)
	defer search.restoreTaskCounts()
	for found := range missing {
		best := search.cheapestOption()
		if best == nil {
			if found == 0 && search.lockedZone == "" && !request.needsFullScan() {
				p.snapshot.noFit.add(key, spec.Demand, 0)
			}
			return found
		}
		search.applyOption(best)
	}
	return missing
}

// nodeOption is a node on which something could be preempted for a request. Its cost is evaluated when it is first
// needed, and again after the node changes.
type nodeOption struct {
	node                  *Node
	evaluated             bool  // the fields below are set
	fitsWithoutPreemption bool  // what is being released is enough
	feasible              bool  // stopping the chosen ones frees enough
	chosen                []int // of Node.Candidates
	preemptionCost        time.Duration
}

// evaluate works out what would have to be stopped on the node.
func (o *nodeOption) evaluate(request *Request, preemptionsLeft int) {
	node, spec := o.node, request.Job.Spec
	free := node.Free.Add(node.Releasing).Sub(node.claimed)
	o.evaluated, o.fitsWithoutPreemption, o.feasible, o.chosen = true, spec.Demand.Fits(free), false, nil
	if o.fitsWithoutPreemption || !node.preemptible.mayPreemptFor(request) {
		return
	}
	o.chosen, o.preemptionCost, o.feasible = node.chooseCandidates(request, free, preemptionsLeft)
	if !o.feasible {
		o.chosen = nil
	} else if !node.hasImage(spec) {
		o.preemptionCost += imageFetchPenalty
	}
}

// preemptionSearch searches nodes where capacity can be freed for the tasks of one request, one after the other.
type preemptionSearch struct {
	pass         *pass
	request      *Request
	lockedZone   string         // the only zone that tasks may go to; "": any
	tasksByZone  map[string]int // with the tasks that capacity was found for
	options      []nodeOption
	claimedNodes []*Node // on which capacity was found
}

func newPreemptionSearch(p *pass, request *Request) *preemptionSearch {
	search := &preemptionSearch{pass: p, request: request, tasksByZone: map[string]int{}}
	maps.Copy(search.tasksByZone, request.TasksByZone)
	if request.Job.Spec.SingleZone {
		if zones := occupiedZones(search.tasksByZone); len(zones) > 0 {
			search.lockedZone = zones[0]
		}
	}
	return search
}

// collectOptions lists the nodes that come into question.
func (s *preemptionSearch) collectOptions(filter nodeFilter) {
	s.options = s.pass.nodeOptions[:0]
	feasible := s.pass.snapshot.feasibilityFilter(s.request, s.lockedZone, filter)
	for _, node := range s.pass.snapshot.Nodes {
		if feasible(node) {
			s.options = append(s.options, nodeOption{node: node})
		}
	}
	s.pass.nodeOptions = s.options
}

// admits reports whether the zone and the number of the job's tasks there allow one more of them on a machine.
func (s *preemptionSearch) admits(machine *model.Machine) bool {
	if s.lockedZone != "" && machine.Zone != s.lockedZone {
		return false
	}
	return !s.request.ZoneFull(s.tasksByZone, machine.Zone) && !s.request.Rules.machineFull(machine)
}

// cheapestOption is the first node where nothing has to be stopped for one more task, or else the one where stopping
// costs least; nil: there is none.
func (s *preemptionSearch) cheapestOption() *nodeOption {
	var best *nodeOption
	for i := range s.options {
		option := &s.options[i]
		if !s.admits(option.node.Machine) {
			continue
		}
		if !option.evaluated || len(option.chosen) > s.pass.preemptionsLeft {
			s.pass.snapshot.loadCandidates(option.node)
			option.evaluate(s.request, s.pass.preemptionsLeft)
		}
		if option.fitsWithoutPreemption {
			return option
		}
		if option.feasible && (best == nil || option.preemptionCost < best.preemptionCost) {
			best = option
		}
	}
	return best
}

// take preempts the candidates that an option has chosen, and claims the capacity for one task.
func (s *preemptionSearch) applyOption(option *nodeOption) {
	node := option.node
	for _, i := range option.chosen {
		candidate := node.Candidates[i]
		s.pass.plan.addPreemption(candidate, s.request)
		node.Releasing = node.Releasing.Add(candidate.Attempt.Demand)
		s.pass.preemptionsLeft--
	}
	node.removeCandidates(option.chosen)
	node.claim(s.request.Job.Spec.Demand)
	s.tasksByZone[node.Machine.Zone]++
	s.request.Rules.addTasks(node.Machine, 1)
	s.claimedNodes = append(s.claimedNodes, node)
	if s.request.Job.Spec.SingleZone {
		s.lockedZone = node.Machine.Zone
	}
	option.evaluated = false
}

// close removes the tasks that capacity was found for from the counts: they do not start in this pass.
func (s *preemptionSearch) restoreTaskCounts() {
	for _, node := range s.claimedNodes {
		s.request.Rules.addTasks(node.Machine, -1)
	}
}

// claim takes a demand off the free resources as far as there are any, so that no request behind gets them, and the
// rest off what is being released.
func (n *Node) claim(demand model.Resources) {
	fromFree := model.Resources{
		CPU:   min(demand.CPU, max(n.Free.CPU, 0)),
		GPU:   min(demand.GPU, max(n.Free.GPU, 0)),
		MemGB: min(demand.MemGB, max(n.Free.MemGB, 0)),
	}
	n.Free = n.Free.Sub(fromFree)
	n.claimed = n.claimed.Add(demand.Sub(fromFree))
}

// removeCandidates removes candidates, by their indices, from the node's list.
func (n *Node) removeCandidates(indices []int) {
	slices.Sort(indices)
	for _, i := range slices.Backward(indices) {
		n.Candidates = slices.Delete(n.Candidates, i, i+1)
	}
}

// chooseCandidates chooses at most maxCount attempts whose end frees capacity for one task, the cheapest first. ok
// reports that the capacity is enough then.
func (n *Node) chooseCandidates(
	request *Request, free model.Resources, maxCount int,
) (chosen []int, cost time.Duration, ok bool) {
	if maxCount <= 0 {
		return nil, 0, false
	}
	demand := request.Job.Spec.Demand
	for _, i := range n.candidatesByCost(request) {
		if demand.Fits(free) || len(chosen) >= maxCount {
			break
		}
		chosen = append(chosen, i)
		free = free.Add(n.Candidates[i].Attempt.Demand)
		cost += preemptionCost(&n.Candidates[i], request)
	}
	return chosen, cost, demand.Fits(free) && len(chosen) > 0
}

// candidatesByCost lists the indices of the attempts that may be stopped for a request, by what that costs.
func (n *Node) candidatesByCost(request *Request) []int {
	var indices []int
	for i := range n.Candidates {
		if request.mayPreempt(&n.Candidates[i]) {
			indices = append(indices, i)
		}
	}
	slices.SortStableFunc(indices, func(a, b int) int {
		return cmp.Compare(preemptionCost(&n.Candidates[a], request), preemptionCost(&n.Candidates[b], request))
	})
	return indices
}
