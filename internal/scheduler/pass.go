package scheduler

import "github.com/glentiller/glentiller/internal/model"

// pass is one scheduling pass over the pending requests.
type pass struct {
	settings        *Settings
	snapshot        *Snapshot
	plan            *Plan
	preemptionsLeft int
	reservations    int // number of starving requests that nodes are reserved for
	served          servedSummary
	nodeOptions     []nodeOption // buffer that the preemptionSearch of each request reuses
}

// MakePlan runs one scheduling pass: it serves the pending requests of a snapshot in their order and returns what it
// decides. It modifies the snapshot.
func MakePlan(settings *Settings, snapshot *Snapshot) *Plan {
	snapshot.Requests = splitStarving(settings, snapshot.Requests)
	OrderRequests(settings, snapshot.Requests)
	p := &pass{settings: settings, snapshot: snapshot, plan: &Plan{}, preemptionsLeft: settings.MaxPreemptions}
	for _, request := range snapshot.Requests {
		if p.startsLeft() == 0 {
			p.plan.Truncated = true
			break
		}
		if p.serve(request); p.plan.Truncated {
			break
		}
	}
	return p.plan
}

// startsLeft returns how many more tasks the pass may start, or -1 if there is no limit.
func (p *pass) startsLeft() int {
	if p.settings.MaxStarts <= 0 {
		return -1
	}
	return max(p.settings.MaxStarts-len(p.plan.Placements), 0)
}

// serve places as many tasks of a request as possible, preempts other work for the rest if that is allowed, and
// records the shortage.
func (p *pass) serve(request *Request) {
	spec := request.Job.Spec
	if p.snapshot.Teams[spec.Team] == nil {
		return
	}
	tasks := p.admit(request)
	if tasks == 0 {
		return
	}
	deferred := 0 // number of tasks left for a later pass
	if left := p.startsLeft(); left >= 0 && spec.Shape == model.Array {
		deferred = max(tasks-left, 0)
		tasks -= deferred
	}
	missing := p.placeAndPreempt(request, tasks)
	if missing > 0 && request.Starving && p.reservations < maxReservations && p.snapshot.reserveNodes(request, missing) {
		p.reservations++
	}
	if missing > 0 {
		p.addShortage(Shortage{Request: request, Count: missing + deferred, Reason: p.served.waitReason(request)})
	} else if deferred > 0 {
		p.plan.Truncated = true
	}
	if missing < tasks || request.qosClass() < qosBestEffort {
		p.served.record(request)
	}
}

func (p *pass) addShortage(shortage Shortage) {
	p.plan.Shortages = append(p.plan.Shortages, shortage)
}

// placeAndPreempt places tasks of a request first on the nodes that it prefers and then on any node. It returns the
// number of tasks that are not placed and that no preemption on a preferred node frees capacity for. Tasks that a
// preemption on any other node frees capacity for count as missing, because they are still short of capacity.
func (p *pass) placeAndPreempt(request *Request, tasks int) (missing int) {
	missing = tasks
	for _, filter := range p.preferredNodeFilters(request) {
		missing -= p.place(request, missing, filter)
		missing -= p.preemptAndReserve(request, missing, filter)
	}
	missing -= p.place(request, missing, nodeFilter{})
	if missing > 0 && p.mayPreemptAnywhere(request) {
		p.preemptAndReserve(request, missing, nodeFilter{})
	}
	return missing
}

// mayPreemptAnywhere reports whether other work may be preempted for a request on nodes other than the preferred ones.
func (p *pass) mayPreemptAnywhere(request *Request) bool {
	class := request.qosClass()
	return class == qosProduction || p.settings.PreemptForGuarantees && class == qosGuaranteed
}

// preferredNodeFilters returns filters for the nodes on which production is placed first, the most preferred ones
// first. Users wait for production, so for them a node that holds the image is worth more than the most efficient
// node without it, even if something has to be preempted there.
func (p *pass) preferredNodeFilters(request *Request) []nodeFilter {
	if request.qosClass() != qosProduction || !p.settings.ImageFirst {
		return nil
	}
	var filters []nodeFilter
	if request.Job.Spec.Shape == model.Service {
		// A service runs for a long time, so cheap machine kinds come first.
		maxPrice := p.snapshot.expensivePrice(request.Job.Spec, request.Rules, p.settings.ExpensiveFactor)
		filters = append(filters, nodeFilter{requireImage: true, maxPrice: maxPrice})
	}
	filters = append(filters, nodeFilter{requireImage: true})
	if rate := request.minFetchRate(); p.settings.FetchByDeadline && rate > 0 {
		filters = append(filters, nodeFilter{minFetchRate: rate})
	}
	return filters
}
