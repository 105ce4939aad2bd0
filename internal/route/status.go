package route

import "time"

// Counts are numbers of decisions since the start of the process.
type Counts struct {
	Local           uint64 `json:"here"`       // attempts on this member
	Forwarded       uint64 `json:"handed"`     // attempts on other members
	Hedged          uint64 `json:"hedged"`     // of Forwarded, while a local attempt was under way
	Retried         uint64 `json:"again"`      // requests all of whose attempts so far were not answered
	Rejected        uint64 `json:"refused"`    // users whose request was not answered
	RetriesDenied   uint64 `json:"no_retry"`   // retries that the budget did not allow
	Shed            uint64 `json:"shed"`       // local attempts beyond the concurrency limit
	ServedForOthers uint64 `json:"for_others"` // attempts on this member that others forwarded
}

// Status is a snapshot of a Router, for operators.
type Status struct {
	Local       string            `json:"here"`     // state of this member's breaker
	Members     map[string]string `json:"members"`  // states of the other members' breakers
	Limits      map[string]int    `json:"limits"`   // concurrency limits by kind
	InFlight    map[string]int    `json:"inside"`   // local attempts under way by kind
	HedgeMillis map[string]int    `json:"hedge_ms"` // hedge delays by kind
	RetriesLeft float64           `json:"retries_left"`
	Counts      Counts            `json:"counts"`
}

// Status returns a snapshot of the router.
func (r *Router) Status(now time.Time) *Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryBudget.refill(now)
	status := &Status{
		Local:       r.localBreaker.state.String(),
		Members:     map[string]string{},
		Limits:      map[string]int{},
		InFlight:    map[string]int{},
		HedgeMillis: map[string]int{},
		RetriesLeft: r.retryBudget.balance,
		Counts:      r.counts,
	}
	for name, m := range r.members {
		status.Members[name] = m.breaker.state.String()
	}
	for kind := range kindCount {
		status.Limits[kind.String()] = int(r.limits[kind].limit)
		status.InFlight[kind.String()] = r.limits[kind].inFlight
		status.HedgeMillis[kind.String()] = int(r.hedgeDelay(kind).Milliseconds())
	}
	return status
}
