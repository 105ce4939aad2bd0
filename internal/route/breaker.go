package route

import "time"

// BreakerState is the state of a circuit breaker (M. Nygard, Release It!, 2007).
type BreakerState uint8

// The states of a breaker.
const (
	BreakerClosed   BreakerState = iota // requests are allowed
	BreakerOpen                         // no request is allowed until the open duration has passed
	BreakerHalfOpen                     // one request is under way as a probe; no other request is allowed
)

// String returns the name of the state.
func (s BreakerState) String() string { return [...]string{"closed", "open", "probing"}[s] }

const (
	failureThreshold = 3 // consecutive failures that open a breaker
	minOpenDuration  = 500 * time.Millisecond
	maxOpenDuration  = 8 * time.Second
)

// breaker is a circuit breaker, which stops requests to a destination that has failed. The zero value is
// closed. The router's mutex guards it.
type breaker struct {
	name     string // name of the destination, passed to onChange
	state    BreakerState
	since    time.Time // start of the current state
	failures int       // number of consecutive failures
	// openDuration is how long the breaker stays open. It doubles each time that the breaker opens, up to
	// maxOpenDuration, and starts again from minOpenDuration after a success.
	openDuration time.Duration
	onChange     func(name string, from, to BreakerState) // called when the breaker opens or closes; may be nil
}

// transition is the only function that changes the state. It does not report changes between BreakerOpen
// and BreakerHalfOpen to onChange.
func (b *breaker) transition(to BreakerState, now time.Time) {
	if b.onChange != nil && b.state != to && (b.state == BreakerClosed || to == BreakerClosed) {
		b.onChange(b.name, b.state, to)
	}
	b.state, b.since = to, now
}

// probeDue reports whether the breaker is open and its open duration has passed.
func (b *breaker) probeDue(now time.Time) bool {
	return b.state == BreakerOpen && now.Sub(b.since) >= b.openDuration
}

// allow reports whether a request may be sent now. If the request is a probe, the breaker becomes half-open.
// lastResponse is the time at which the destination last answered any request, or zero if that is unknown. A
// response after the breaker has opened permits a probe before the open duration has passed.
func (b *breaker) allow(now, lastResponse time.Time) bool {
	switch b.state {
	case BreakerClosed:
		return true
	case BreakerOpen:
		if b.probeDue(now) || lastResponse.After(b.since) {
			b.transition(BreakerHalfOpen, now)
			return true
		}
	}
	return false
}

// record updates the breaker with the result of a request.
func (b *breaker) record(now time.Time, ok bool) {
	switch {
	case ok:
		b.failures, b.openDuration = 0, 0
		if b.state != BreakerClosed {
			b.transition(BreakerClosed, now)
		}
		return
	case b.state == BreakerOpen:
		return // the request was sent before the breaker opened
	}
	if b.failures++; b.failures >= failureThreshold || b.state == BreakerHalfOpen {
		b.openDuration = min(max(2*b.openDuration, minOpenDuration), maxOpenDuration)
		b.transition(BreakerOpen, now)
	}
}

// discard is called instead of record for a request whose result does not show whether the destination works. If
// the breaker is half-open, another probe may be sent at once.
func (b *breaker) discard() {
	if b.state == BreakerHalfOpen {
		b.transition(BreakerOpen, b.since.Add(-b.openDuration))
	}
}
