package route

import "time"

// Counts counts the decisions of a Router since the start of the process.
type Counts struct {
	Local             uint64 `json:"here"`       // attempts on this member at its own users' requests
	Forwarded         uint64 `json:"handed"`     // attempts on other members
	Hedged            uint64 `json:"hedged"`     // forwarded attempts that hedged a local attempt
	AttemptsExhausted uint64 `json:"again"`      // times that all attempts at a request had ended without an answer
	Rejected          uint64 `json:"refused"`    // requests that ended without an answer
	RetriesDenied     uint64 `json:"no_retry"`   // retries and hedges that the retry budget did not allow
	Shed              uint64 `json:"shed"`       // local attempts that the concurrency limit did not allow
	ServedForOthers   uint64 `json:"for_others"` // attempts on this member at requests that other members forwarded
}

// Status is a snapshot of a Router, for operators. Breaker states are given by their names, and maps are keyed by
// the name of the member or of the kind of request.
type Status struct {
	Local       string            `json:"here"`         // state of this member's breaker
	Members     map[string]string `json:"members"`      // states of the other members' breakers
	Limits      map[string]int    `json:"limits"`       // concurrency limits
	InFlight    map[string]int    `json:"inside"`       // attempts under way on this member
	HedgeMillis map[string]int    `json:"hedge_ms"`     // hedge delays in milliseconds; 0 if hedging is off
	RetriesLeft float64           `json:"retries_left"` // balance of the retry budget
	Counts      Counts            `json:"counts"`
}

// Status returns a snapshot of the router at time now.
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
