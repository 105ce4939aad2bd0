package scheduler

import (
	"cmp"
	"slices"

	"github.com/glentiller/glentiller/internal/model"
)

// admit returns how many tasks of a request may start under its team's quota. If none may, it records the shortage.
// Gangs and services of which all tasks are pending start whole or not at all. If the quota is too small, admit may
// preempt lower-priority work of the team, which frees quota for a later pass.
func (p *pass) admit(request *Request) int {
	spec := request.Job.Spec
	tasks := min(request.PendingTasks, request.MaxStarts)
	quota := p.snapshot.Teams[spec.Team].Quota
	allowed := spec.Demand.FitCount(quota.Remaining(p.snapshot.Used[spec.Team]))
	overQuota := allowed < tasks
	preemptsWithinTeam := overQuota && p.shouldPreemptWithinTeam(request)
	if preemptsWithinTeam {
		p.preemptWithinTeam(request, tasks, allowed)
	}
	if spec.Shape != model.Array && overQuota && request.PendingTasks == spec.Tasks {
		if preemptsWithinTeam || request.Starving {
			// It waits to start whole, so the remaining quota is reserved for it.
			p.snapshot.addUsage(spec.Team, spec.Demand.Times(allowed))
		}
		p.addShortage(Shortage{Request: request, Count: tasks, OverQuota: true, Reason: WaitQuota})
		return 0
	}
	tasks = min(tasks, allowed)
	if tasks > 0 {
		return tasks
	}
	if request.Starving && overQuota {
		// Reserve quota for one task, so that smaller tasks of the team do not use it up bit by bit.
		p.snapshot.addUsage(spec.Team, spec.Demand)
	}
	p.addShortage(Shortage{Request: request, Count: request.PendingTasks, OverQuota: overQuota, Reason: WaitQuota})
	return 0
}

// shouldPreemptWithinTeam reports whether a request over quota preempts lower-priority work of its own team.
func (p *pass) shouldPreemptWithinTeam(request *Request) bool {
	if request.qosClass() == qosProduction {
		return true
	}
	return request.queue(p.settings) == queueDeadline && request.Slack < p.settings.TightSlack
}

// quotaTolerance is the number of CPUs or GPUs up to which missing quota is ignored.
const quotaTolerance = 1e-6

// teamCandidate is an attempt that may be preempted for its own team.
type teamCandidate struct {
	node  *Node
	index int // index in Node.Candidates
}

func (c teamCandidate) candidate() *PreemptionCandidate { return &c.node.Candidates[c.index] }

// preemptWithinTeam frees quota for a request that wants to start tasks but whose quota allows only some of them. It
// preempts lower-priority work of the same team, in the order of teamCandidates.
func (p *pass) preemptWithinTeam(request *Request, tasks, allowed int) {
	spec, snapshot := request.Job.Spec, p.snapshot
	claim := spec.Demand.Times(tasks - allowed)
	used := snapshot.Used[spec.Team].Add(spec.Demand.Times(allowed))
	remaining := snapshot.Teams[spec.Team].Quota.Remaining(used).AtLeastZero()
	missing := claim.Sub(snapshot.Releasing[spec.Team]).Sub(remaining)
	isShort := func() bool {
		return (missing.CPU > quotaTolerance || missing.GPU > quotaTolerance) && p.preemptionsLeft > 0
	}
	var candidates []teamCandidate
	if isShort() { // otherwise enough quota is already being released
		candidates = p.teamCandidates(request)
	}
	preemptedIndices := map[*Node][]int{}
	for _, c := range candidates {
		if !isShort() {
			break
		}
		candidate := *c.candidate()
		demand := candidate.Attempt.Demand
		p.plan.addPreemption(candidate, request)
		p.preemptionsLeft--
		missing = missing.Sub(demand)
		snapshot.Releasing[spec.Team] = snapshot.Releasing[spec.Team].Add(demand)
		c.node.Releasing = c.node.Releasing.Add(demand)
		preemptedIndices[c.node] = append(preemptedIndices[c.node], c.index)
	}
	p.reserveQuota(spec.Team, claim)
	for node, indices := range preemptedIndices {
		node.removeCandidates(indices)
	}
}

// reserveQuota claims, for a request over quota, the resources that its team is releasing and the remaining quota,
// which is still too small. Otherwise lower-priority work would take the first part of the freed quota and be
// preempted again in the next pass, repeatedly.
func (p *pass) reserveQuota(team string, claim model.Resources) {
	releasing := p.snapshot.Releasing[team]
	p.snapshot.Releasing[team] = releasing.Sub(claim).AtLeastZero()
	p.snapshot.addUsage(team, claim.Sub(releasing).AtLeastZero())
}

// teamCandidates returns the attempts of the request's team that may be preempted for it, by increasing preemption
// cost.
func (p *pass) teamCandidates(request *Request) []teamCandidate {
	var candidates []teamCandidate
	for _, node := range p.snapshot.Nodes {
		p.snapshot.loadCandidates(node)
		for i := range node.Candidates {
			if request.mayPreemptWithinTeam(&node.Candidates[i]) {
				candidates = append(candidates, teamCandidate{node: node, index: i})
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b teamCandidate) int {
		return cmp.Compare(preemptionCost(a.candidate(), request), preemptionCost(b.candidate(), request))
	})
	return candidates
}

// mayPreemptWithinTeam reports whether an attempt may be stopped to free quota for a request. Gangs and recently
// started attempts are not stopped, but production may stop recently started attempts of low priority. Only
// production stops attempts that cannot save a checkpoint.
func (r *Request) mayPreemptWithinTeam(candidate *PreemptionCandidate) bool {
	production := r.qosClass() == qosProduction
	switch {
	case candidate.Attempt.Team != r.Job.Spec.Team || candidate.Priority >= r.Job.EffectivePriority:
		return false
	case candidate.Gang || !r.mayPreempt(candidate):
		return false
	case candidate.RecentlyStarted && !(candidate.Priority == model.PriorityLow && production):
		return false
	}
	return candidate.CheckpointTime > 0 || production
}
