package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// The components of the cost of a preemption, in addition to the lost work, and the slack that one of them depends on.
const (
	basePreemptionCost  = 5 * time.Second
	costPerPriority     = 5 * time.Second
	missedDeadlineCost  = 30 * time.Second // for an attempt that would likely miss its deadline
	recentlyStartedCost = 30 * time.Second
	gangPreemptionCost  = time.Minute      // the whole gang has to start again
	imageFetchPenalty   = 30 * time.Second // for a node that has to fetch the image
	likelyMissSlack     = 30 * time.Second // slack below which a stopped attempt would likely miss its deadline
)

// mayPreempt reports whether an attempt may be stopped for the request. The attempt must have a lower priority, or be
// of another team and run beyond that team's guarantee while the request is within its own team's. It must also come
// after the request in the order. Otherwise it would be placed again first, and the two would preempt each other in
// turns.
func (r *Request) mayPreempt(candidate *PreemptionCandidate) bool {
	if candidate.Priority == model.PriorityProduction {
		return false // its users would notice at once
	}
	otherTeam := candidate.Attempt.Team != r.Job.Spec.Team
	priority := r.Job.EffectivePriority
	if !candidate.BeyondGuarantee && otherTeam {
		priority = r.Job.Spec.Priority // an inherited priority does not apply to work within other teams' guarantees
	}
	reclaimsGuarantee := r.Guaranteed && candidate.BeyondGuarantee && otherTeam
	if candidate.Priority >= priority && !reclaimsGuarantee {
		return false
	}
	return r.position.compare(candidate.position) < 0
}

// minLoss returns the least time that stopping the attempt costs: its lost work or, if it can save a checkpoint in
// less time, the time for which it keeps its machine busy to save one.
func (c *PreemptionCandidate) minLoss() time.Duration {
	if c.CheckpointTime > 0 {
		return min(c.LostWork, c.CheckpointTime)
	}
	return c.LostWork
}

// preemptionCost returns the cost of stopping an attempt for a request. Besides the lost time it includes penalties
// for the effect on the attempt's users.
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

// preemptibleSummary summarizes the candidates of a node. It can only rule out that any of them may be stopped for a
// request. Candidates that have been stopped stay included.
type preemptibleSummary struct {
	nonEmpty           bool
	lowestPriority     model.Priority
	anyBeyondGuarantee bool
	lastPosition       position
}

// add includes a candidate in the summary. It ignores production, which is never preempted.
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

// mayPreemptFor reports whether any of the candidates might be stopped for a request; Request.mayPreempt decides for
// each candidate. It avoids scanning the candidates of thousands of nodes for requests that nothing may be stopped for.
func (s *preemptibleSummary) mayPreemptFor(request *Request) bool {
	if !s.nonEmpty || request.position.compare(s.lastPosition) >= 0 {
		return false
	}
	return s.lowestPriority < request.Job.EffectivePriority || request.Guaranteed && s.anyBeyondGuarantee
}

// preemptAndReserve preempts attempts for tasks that fit on no node, and returns the number of tasks that it has
// freed capacity for. From then on the demand of these tasks counts towards their team's quota. Otherwise
// lower-priority work of the team would take the quota in this pass and be preempted in the next one, and the request
// would find the node's capacity taken in the pass after that.
func (p *pass) preemptAndReserve(request *Request, missing int, filter nodeFilter) int {
	found := p.preempt(request, missing, filter)
	spec := request.Job.Spec
	p.snapshot.addUsage(spec.Team, spec.Demand.Times(found))
	return found
}

// preempt frees capacity for tasks that fit on no node, and returns the number of tasks that it has freed capacity
// for. For each task it uses resources that are already being released if they are enough. Otherwise it stops the
// attempts with the lowest cost among those that may be stopped for the request. It frees nothing for gangs of more
// than one task.
func (p *pass) preempt(request *Request, missing int, filter nodeFilter) int {
	spec := request.Job.Spec
	if missing <= 0 || spec.Shape == model.Gang && spec.Tasks > 1 {
		return 0
	}
	search := newPreemptionSearch(p, request)
	key := newNoFitKey(request, search.pinnedZone, filter)
	key.preemption = newPreemptionKey(request, len(p.plan.Preemptions))
	if p.snapshot.noFit.maxFitting(key, spec.Demand) == 0 {
		return 0
	}
	search.collectOptions(filter)
	defer search.restoreTaskCounts()
	for found := range missing {
		best := search.cheapestOption()
		if best == nil {
			if found == 0 && search.pinnedZone == "" && !request.needsFullScan() {
				p.snapshot.noFit.add(key, spec.Demand, 0)
			}
			return found
		}
		search.applyOption(best)
	}
	return missing
}

// nodeOption is a node on which attempts could be preempted for a request. It is evaluated when it is first needed, and
// again after capacity on the node was claimed or if the pass has too few preemptions left for the chosen candidates.
type nodeOption struct {
	node                  *Node
	evaluated             bool  // the fields below are valid
	fitsWithoutPreemption bool  // free resources and those being released are enough
	feasible              bool  // stopping the chosen candidates frees enough
	chosen                []int // indices in Node.Candidates
	preemptionCost        time.Duration
}

// evaluate determines which attempts on the node would have to be stopped for one more task, and their cost.
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

// preemptionSearch searches for nodes on which capacity can be freed for the tasks of one request, one task at a time.
type preemptionSearch struct {
	pass         *pass
	request      *Request
	pinnedZone   string         // the only zone in which tasks may be placed; "" means any
	tasksByZone  map[string]int // including the tasks that capacity was found for
	options      []nodeOption
	claimedNodes []*Node // nodes on which capacity was found, once for each task
}

func newPreemptionSearch(p *pass, request *Request) *preemptionSearch {
	search := &preemptionSearch{pass: p, request: request, tasksByZone: map[string]int{}}
	maps.Copy(search.tasksByZone, request.TasksByZone)
	if request.Job.Spec.SingleZone {
		if zones := occupiedZones(search.tasksByZone); len(zones) > 0 {
			search.pinnedZone = zones[0]
		}
	}
	return search
}

// collectOptions collects the nodes that pass the static checks and the filter.
func (s *preemptionSearch) collectOptions(filter nodeFilter) {
	s.options = s.pass.nodeOptions[:0]
	feasible := s.pass.snapshot.feasibilityFilter(s.request, s.pinnedZone, filter)
	for _, node := range s.pass.snapshot.Nodes {
		if feasible(node) {
			s.options = append(s.options, nodeOption{node: node})
		}
	}
	s.pass.nodeOptions = s.options
}

// admits reports whether one more of the job's tasks may be placed on a machine, given the pinned zone and the number
// of its tasks in the zone and on the machine.
func (s *preemptionSearch) admits(machine *model.Machine) bool {
	if s.pinnedZone != "" && machine.Zone != s.pinnedZone {
		return false
	}
	return !s.request.ZoneFull(s.tasksByZone, machine.Zone) && !s.request.Rules.machineFull(machine)
}

// cheapestOption returns the first node on which nothing has to be stopped for one more task. If there is no such
// node it returns the node with the lowest preemption cost, or nil if there is none.
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

// applyOption preempts the candidates that an option has chosen, and claims the capacity for one task.
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
		s.pinnedZone = node.Machine.Zone
	}
	option.evaluated = false
}

// restoreTaskCounts removes the tasks that capacity was found for from the counts by machine, because they do not
// start in this pass.
func (s *preemptionSearch) restoreTaskCounts() {
	for _, node := range s.claimedNodes {
		s.request.Rules.addTasks(node.Machine, -1)
	}
}

// claim takes a demand from the free resources as far as they last, so that no later request gets them. It claims the
// rest from the resources that are being released.
func (n *Node) claim(demand model.Resources) {
	fromFree := model.Resources{
		CPU:   min(demand.CPU, max(n.Free.CPU, 0)),
		GPU:   min(demand.GPU, max(n.Free.GPU, 0)),
		MemGB: min(demand.MemGB, max(n.Free.MemGB, 0)),
	}
	n.Free = n.Free.Sub(fromFree)
	n.claimed = n.claimed.Add(demand.Sub(fromFree))
}

// removeCandidates removes the candidates with the given indices. It sorts indices.
func (n *Node) removeCandidates(indices []int) {
	slices.Sort(indices)
	for _, i := range slices.Backward(indices) {
		n.Candidates = slices.Delete(n.Candidates, i, i+1)
	}
}

// chooseCandidates chooses at most maxCount attempts, the cheapest first, whose resources together with free are
// enough for one task. It returns their indices and total cost. ok is false if it chose none or if their resources
// are not enough.
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

// candidatesByCost returns the indices of the attempts that may be stopped for a request, by increasing preemption
// cost.
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
