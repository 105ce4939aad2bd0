// Package route decides which member answers a user's request: the member that has received it, or another one if
// the first cannot answer it in time, for example because it does not reach the state service. The package
// combines circuit breakers, hedged requests, a retry budget and adaptive concurrency limits; see
// docs/requests.md for the reasons.
//
// A Router holds what a member knows about its own ability to answer and that of the other members. Router.Begin
// starts a request and returns its RequestAttempts with the first Action. The caller carries out each action,
// reports the result of each attempt with HandleResponse, and calls Tick at the time of NextTick, until an Action
// holds the response for the user. The package does no I/O and reads no clock, and the caller provides its random
// numbers, so that simulations are reproducible.
package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Settings configure a Router.
type Settings struct {
	OtherMembers  []string      // names of all members but this one
	RetryRatio    float64       // number of retries that each successful request earns
	MinHedgeDelay time.Duration // minimum time before a request is hedged; 0 turns hedging off
	MaxConcurrent int           // upper bound of the concurrency limit of each kind of request
}

const (
	maxOutstanding = 64 // unanswered requests to one other member

	// Time without an answer after which a forwarded request is forwarded to one more member. Users wait 2 s for
	// polls and 5 s for other requests.
	nextForwardDelay     = 700 * time.Millisecond
	nextPollForwardDelay = 450 * time.Millisecond

	// maxHedgeDelay bounds the time before a local attempt is hedged, unless Settings.MinHedgeDelay is longer.
	maxHedgeDelay = 600 * time.Millisecond
	// minWriteHedgeDelay is the minimum hedge delay of submissions and cancellations. It is longer than that of
	// polls, since a write on two members costs the state service a needless transaction. Hedging writes as soon as
	// they get slow would add to the load that slows them down.
	minWriteHedgeDelay = 350 * time.Millisecond

	// Number of values, one second apart, among which Retry-After varies. Overload uses more of them
	// than other refusals.
	retrySpreadSteps    = 2
	overloadSpreadSteps = 4
)

// Router decides, for each request that a member receives, on which members it is attempted. It keeps the
// circuit breakers, latency estimates, concurrency limits and retry budget that these decisions depend on.
// It is safe for concurrent use.
type Router struct {
	settings Settings

	mu              sync.Mutex // guards everything below, and all RequestAttempts of the router
	random          *rand.Rand
	localBreaker    breaker
	members         map[string]*member // the other members by name
	retryBudget     retryBudget
	limits          [kindCount]concurrencyLimit // on attempts on this member
	localLatency    [kindCount]latencyEstimator // of attempts on this member that were answered
	counts          Counts
	retryAfterCount int // number of calls of RetryAfter
}

// member holds what this member knows about another one.
type member struct {
	name        string
	breaker     breaker
	outstanding int           // requests forwarded to the member that it has not answered yet
	peakLatency time.Duration // decaying maximum of the latency of its responses
}

// localBreakerName is the name of this member in calls of onBreakerChange.
const localBreakerName = "here"

// New returns a router. random is the source of random choices; the router uses it under its lock. onBreakerChange
// is called when a circuit breaker opens or closes, with the name of the member that the breaker guards, or "here"
// for this member. It is called under the lock of the router, so it must not call the router. It may be nil.
func New(
	settings Settings, random *rand.Rand, onBreakerChange func(member string, from, to BreakerState),
) *Router {
	r := &Router{
		settings:     settings,
		random:       random,
		localBreaker: breaker{name: localBreakerName, onChange: onBreakerChange},
		members:      map[string]*member{},
		retryBudget:  retryBudget{ratio: settings.RetryRatio, balance: initialRetryBalance},
	}
	for _, name := range settings.OtherMembers {
		r.members[name] = &member{name: name, breaker: breaker{name: name, onChange: onBreakerChange}}
	}
	for kind := range r.limits {
		r.limits[kind] = newConcurrencyLimit(float64(settings.MaxConcurrent), Kind(kind) == Cancel)
	}
	return r
}

// admitLocal returns Answered if a request may be attempted on this member, and otherwise the outcome that says why
// not. An admitted request counts as in flight until recordLocalOutcome is called. lastStateServiceResponse is the time
// at which the state service last answered any request of this member. r.mu must be held.
func (r *Router) admitLocal(now, lastStateServiceResponse time.Time, kind Kind) Outcome {
	if !r.limits[kind].acquire() {
		r.counts.Shed++
		return Overloaded
	}
	if !r.localBreaker.allow(now, lastStateServiceResponse) {
		r.limits[kind].release()
		return StateServiceUnavailable
	}
	return Answered
}

// recordLocalOutcome records the outcome of a local attempt. r.mu must be held.
func (r *Router) recordLocalOutcome(now time.Time, kind Kind, latency time.Duration, outcome Outcome) {
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
	case StateServiceUnavailable:
		r.localBreaker.record(now, false)
	default:
		r.localBreaker.discard()
	}
}

// chooseMember returns the member to forward a request to, or nil if there is none. It is the less loaded one of
// two random choices (power of two choices; M. Mitzenmacher, 2001) among the members that are not in tried. A
// member whose breaker is open is probed only if no member with a closed breaker is left. The request counts as
// outstanding at the chosen member. r.mu must be held.
func (r *Router) chooseMember(now time.Time, tried []string) *member {
	var closed, due []*member
	for _, name := range r.settings.OtherMembers { // not r.members, since the order of a map is random
		m := r.members[name]
		switch {
		case slices.Contains(tried, name) || m.outstanding >= maxOutstanding:
		case m.breaker.state == BreakerClosed:
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

// load estimates the latency of one more request to the member.
func (m *member) load() time.Duration {
	return time.Duration(m.outstanding+1) * max(m.peakLatency, time.Millisecond)
}

// recordForwardedOutcome records the outcome of an attempt on another member. r.mu must be held.
func (r *Router) recordForwardedOutcome(now time.Time, name string, latency time.Duration, outcome Outcome) {
	m := r.members[name]
	m.outstanding--
	m.peakLatency = max(latency, m.peakLatency*7/8)
	switch outcome {
	case Answered:
		m.breaker.record(now, true)
		r.retryBudget.deposit(now)
	case Overloaded, OutOfMemory, NotReady:
		m.breaker.discard() // the member is reachable and may answer other requests
	default:
		m.breaker.record(now, false)
	}
}

// AdmitForwarded decides whether a request that another member has forwarded may be attempted on this member. If
// so, it returns a function that must be called exactly once, with the outcome of the attempt and the time at which
// it ended. Otherwise the function is nil and outcome says why. lastStateServiceResponse is the time at which the state
// service last answered any request of this member.
func (r *Router) AdmitForwarded(
	now, lastStateServiceResponse time.Time, kind Kind,
) (completed func(now time.Time, outcome Outcome), outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if outcome := r.admitLocal(now, lastStateServiceResponse, kind); outcome != Answered {
		return nil, outcome
	}
	r.counts.ServedForOthers++
	return func(completedAt time.Time, outcome Outcome) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.recordLocalOutcome(completedAt, kind, completedAt.Sub(now), outcome)
	}, Answered
}

// RetryAfter returns the time that a user whose request ended with the given outcome should wait before a retry. It
// is at least minimum, and varies from call to call so that users who are rejected together do not return together.
func (r *Router) RetryAfter(minimum time.Duration, outcome Outcome) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryAfterCount++
	steps := retrySpreadSteps
	if outcome == Overloaded || outcome == OutOfMemory {
		steps = overloadSpreadSteps
	}
	return minimum + time.Duration(r.retryAfterCount%steps)*time.Second
}

// hedgeDelay returns how long a local attempt may take before the request is forwarded as well, or 0 if
// hedging is off. r.mu must be held.
func (r *Router) hedgeDelay(kind Kind) time.Duration {
	if r.settings.MinHedgeDelay == 0 {
		return 0
	}
	minDelay := r.settings.MinHedgeDelay
	if kind != Poll {
		minDelay = max(minDelay, minWriteHedgeDelay)
	}
	return min(max(r.localLatency[kind].upperBound(), minDelay), max(maxHedgeDelay, minDelay))
}
