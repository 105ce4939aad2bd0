package scheduler

import "github.com/glentiller/glentiller/internal/model"

// pass is one run over the pending requests.
type pass struct {
	settings        *Settings
	snapshot        *Snapshot
	plan            *Plan
	preemptionsLeft int
	reservations    int // starving requests that nodes are reserved for
	served          servedSummary
	nodeOptions     []nodeOption // buffer of preemptionSearch, used for one request after the other
}

// MakePlan decides one pass: it serves the pending requests in their order.
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

// startsLeft is how many more tasks the pass may start; -1: any number.
func (p *pass) startsLeft() int {
	if p.settings.MaxStarts <= 0 {
		return -1
	}
	return max(p.settings.MaxStarts-len(p.plan.Placements), 0)
}

// serve places what it can of a request, preempts for the rest as far as it may, and notes what is short.
func (p *pass) serve(request *Request) {
	spec := request.Job.Spec
	if p.snapshot.Teams[spec.Team] == nil {
		return
	}
	tasks := p.admit(request)
	if tasks == 0 {
		return
	}
	deferred := 0 // to a later pass
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

// addShortage notes that a part of a request is not placed.
func (p *pass) addShortage(shortage Shortage) {
	p.plan.Shortages = append(p.plan.Shortages, shortage)
}

// placeAndPreempt places tasks of a request on the nodes that it prefers first, then on any, and returns how many
// are missing. Capacity that is freed on any node is not subtracted: those tasks are still short of it.
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

// mayPreemptAnywhere reports whether other work may be preempted for a request on any feasible node.
func (p *pass) mayPreemptAnywhere(request *Request) bool {
	class := request.qosClass()
	return class == qosProduction || p.settings.PreemptForGuarantees && class == qosGuaranteed
}

// preferredNodes lists the nodes on which production is placed first, the best ones first. Its users wait for it: a
// node that holds the image, even one where something has to be preempted, is worth more to them than the most
// efficient one without it.
func (p *pass) preferredNodeFilters(request *Request) []nodeFilter {
	if request.qosClass() != qosProduction || !p.settings.ImageFirst {
		return nil
	}
	var filters []nodeFilter
	if request.Job.Spec.Shape == model.Service {
		// A service stays for long: first the cheap kinds of machine.
		maxPrice := p.snapshot.expensivePrice(request.Job.Spec, request.Rules, p.settings.ExpensiveFactor)
		filters = append(filters, nodeFilter{requireImage: true, maxPrice: maxPrice})
	}
	filters = append(filters, nodeFilter{requireImage: true})
	if rate := request.minFetchRate(); p.settings.FetchByDeadline && rate > 0 {
		filters = append(filters, nodeFilter{minFetchRate: rate})
	}
	return filters
}
