// Package route decides which member answers a user's request: the one that received
// it, or another one that reaches what the first does not. It combines circuit
// breakers, hedged requests, a retry budget and adaptive concurrency limits;
// docs/requests.md gives the reasons.
//
// A Router holds what a member knows of itself and of the others. Router.Begin starts
// a request and returns its RequestAttempts with the first Action; the caller carries
// actions out, reports each result with Completed, and calls Tick at NextTick, until
// an Action holds the response for the user. The package does no input or output and
// reads no clock, and its random numbers come from the caller, so that simulations
// are reproducible.
package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Settings configure a Router.
type Settings struct {
	OtherMembers  []string      // names of the members, without this one
	RetryRatio    float64       // retries allowed for each request that succeeds
	MinHedgeDelay time.Duration // least time before a request is hedged; 0: never
	MaxConcurrent int           // upper bound of the concurrency limit of each kind
}

const (
	maxOutstanding = 64 // unanswered requests at one other member

	// Time before a forwarded request is forwarded to one more member. Users wait 2 s
	// for polls and 5 s for other requests.
	forwardDelay     = 700 * time.Millisecond
	pollForwardDelay = 450 * time.Millisecond

	maxHedgeDelay = 600 * time.Millisecond // before a local attempt is hedged
	// minWriteHedgeDelay is longer than that of polls: a submission or cancellation at
	// two members costs the state service a needless transaction. Hedging writes as
	// soon as they get slow would add to the load that slows them.
	minWriteHedgeDelay = 350 * time.Millisecond

	// Number of values, one second apart, among which Retry-After is spread.
	retrySpreadSteps    = 2
	overloadSpreadSteps = 4
)

// Router holds a member's knowledge of where requests can be answered. It is safe for
// concurrent use.
type Router struct {
	settings Settings

	mu           sync.Mutex // guards everything below, and all RequestAttempts of the router
	random       *rand.Rand
	localBreaker breaker
	members      map[string]*member
	retryBudget  retryBudget
	limits       [kindCount]concurrencyLimit
	localLatency [kindCount]latencyEstimator // of answers of this member
	counts       Counts
	retrySpread  int // number of responses with a Retry-After
}

// member is what is known of another member.
type member struct {
	name        string
	breaker     breaker
	outstanding int           // requests that it has not answered yet
	peakLatency time.Duration // peak over its recent answers, decaying
}

// localBreakerName is the name that onBreakerChange gets for this member.
const localBreakerName = "here"

// New returns a router. onBreakerChange, if not nil, is called under a lock when a
// breaker opens or closes, so it must not call the router; member is "here" for the
// breaker of this member.
func New(
	settings Settings, random *rand.Rand, onBreakerChange func(member string, from, to BreakerState),
) *Router {
	r := &Router{
		settings:     settings,
		random:       random,
		localBreaker: breaker{name: localBreakerName, onChange: onBreakerChange},
		members:      map[string]*member{},
		retryBudget:  retryBudget{ratio: settings.RetryRatio, balance: initialRetries},
	}
	for _, name := range settings.OtherMembers {
		r.members[name] = &member{name: name, breaker: breaker{name: name, onChange: onBreakerChange}}
	}
	for kind := range r.limits {
		r.limits[kind] = newConcurrencyLimit(float64(settings.MaxConcurrent), Kind(kind) == Cancel)
	}
	return r
}

// admitLocal returns Answered if a request may be started on this member, or why not.
// stateContact is when the state service last answered this member anything. r.mu must
// be held.
func (r *Router) admitLocal(now, stateContact time.Time, kind Kind) Outcome {
	if !r.limits[kind].acquire() {
		r.counts.Shed++
		return Overloaded
	}
	if !r.localBreaker.allow(now, stateContact) {
		r.limits[kind].release()
		return StateUnavailable
	}
	return Answered
}

// localCompleted records the outcome of a local attempt. r.mu must be held.
func (r *Router) localCompleted(now time.Time, kind Kind, latency time.Duration, outcome Outcome) {
	r.limits[kind].release()
	switch outcome {
	case Answered:
		r.localBreaker.record(now, true)
		r.localLatency[kind].observe(latency)
		r.limits[kind].observe(latency)
		r.retryBudget.deposit(now)
	case Overloaded:
		r.localBreaker.discard()
		r.limits[kind].backOff()
	case StateUnavailable:
		r.localBreaker.record(now, false)
	default:
		r.localBreaker.discard()
	}
}

// chooseMember returns the member to forward a request to, or nil: the less loaded one
// of two random choices (power of two choices; M. Mitzenmacher, 2001). Members whose
// breaker is open are probed only if no other is left. The request counts as
// outstanding from here on. r.mu must be held.
func (r *Router) chooseMember(now time.Time, tried []string) *member {
	var closed, due []*member
	for _, name := range r.settings.OtherMembers { // not the map: its order is random
		m := r.members[name]
		switch {
		case slices.Contains(tried, name) || m.outstanding >= maxOutstanding:
		case m.breaker.state == Closed:
			closed = append(closed, m)
		case m.breaker.probeDue(now):
			due = append(due, m)
		}
	}
	candidates := closed
	if len(candidates) == 0 {
		candidates = due
	}
	if len(candidates) == 0 {
		return nil
	}
	chosen := candidates[r.random.IntN(len(candidates))]
	if second := candidates[r.random.IntN(len(candidates))]; second.load() < chosen.load() {
		chosen = second
	}
	if !chosen.breaker.allow(now, time.Time{}) {
		return nil
	}
	chosen.outstanding++
	return chosen
}

// load estimates how long a further request would take at the member.
func (m *member) load() time.Duration {
	return time.Duration(m.outstanding+1) * max(m.peakLatency, time.Millisecond)
}

// forwardCompleted records the outcome of an attempt at another member. r.mu must be
// held.
func (r *Router) forwardCompleted(now time.Time, name string, latency time.Duration, outcome Outcome) {
	m := r.members[name]
	m.outstanding--
	m.peakLatency = max(latency, m.peakLatency*7/8)
	switch outcome {
	case Answered:
		m.breaker.record(now, true)
		r.retryBudget.deposit(now)
	case Overloaded, OutOfMemory, NotReady:
		m.breaker.discard() // the member is reachable; it may answer other requests
	default:
		m.breaker.record(now, false)
	}
}

// AdmitForwarded decides whether a request that another member forwards may be started
// here. If so, it returns a function that must be called once with the outcome;
// otherwise that function is nil, and the outcome says why. stateContact is when the
// state service last answered this member anything.
func (r *Router) AdmitForwarded(
	now, stateContact time.Time, kind Kind,
) (completed func(now time.Time, outcome Outcome), outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if outcome := r.admitLocal(now, stateContact, kind); outcome != Answered {
		return nil, outcome
	}
	r.counts.ServedForOthers++
	return func(completedAt time.Time, outcome Outcome) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.localCompleted(completedAt, kind, completedAt.Sub(now), outcome)
	}, Answered
}

// RetryAfter returns when a user whose request was not answered is to retry, at least
// minimum from now. It is spread in time, so that users who are rejected together do
// not return together.
func (r *Router) RetryAfter(minimum time.Duration, outcome Outcome) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retrySpread++
	steps := retrySpreadSteps
	if outcome == Overloaded || outcome == OutOfMemory {
		steps = overloadSpreadSteps
	}
	return minimum + time.Duration(r.retrySpread%steps)*time.Second
}

// hedgeDelay returns how long a local attempt may take before the request is forwarded
// as well; 0: for ever. r.mu must be held.
func (r *Router) hedgeDelay(kind Kind) time.Duration {
	if r.settings.MinHedgeDelay == 0 {
		return 0
	}
	least := r.settings.MinHedgeDelay
	if kind != Poll {
		least = max(least, minWriteHedgeDelay)
	}
	return min(max(r.localLatency[kind].upperBound(), least), max(maxHedgeDelay, least))
}
