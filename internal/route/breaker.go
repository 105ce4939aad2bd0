package route

import "time"

// BreakerState is the state of a circuit breaker (M. Nygard, Release It!, 2007).
type BreakerState uint8

// The states of a breaker.
const (
	Closed   BreakerState = iota // requests pass
	Open                         // no request passes until a pause is over
	HalfOpen                     // one request is under way as a probe; no other passes
)

// String returns the name of the state.
func (s BreakerState) String() string { return [...]string{"closed", "open", "probing"}[s] }

const (
	failureThreshold = 3 // failures in a row that open a breaker
	minPause         = 500 * time.Millisecond
	maxPause         = 8 * time.Second
)

// breaker stops requests to a destination that has failed. The router's mutex guards it.
type breaker struct {
	name     string
	state    BreakerState
	since    time.Time     // of the state
	failures int           // in a row
	pause    time.Duration // of the present opening; that of the next is twice as long
	onChange func(name string, from, to BreakerState)
}

// transition changes the state; nothing else does. Probes are not reported to onChange.
func (b *breaker) transition(to BreakerState, now time.Time) {
	if b.onChange != nil && b.state != to && (b.state == Closed || to == Closed) {
		b.onChange(b.name, b.state, to)
	}
	b.state, b.since = to, now
}

// probeDue reports whether the pause of an open breaker is over.
func (b *breaker) probeDue(now time.Time) bool { return b.state == Open && now.Sub(b.since) >= b.pause }

// allow reports whether a request may be sent now. contact is when the destination
// last answered anything: if that was after the breaker opened, the pause is cut short.
func (b *breaker) allow(now, contact time.Time) bool {
	switch b.state {
	case Closed:
		return true
	case Open:
		if b.probeDue(now) || contact.After(b.since) {
			b.transition(HalfOpen, now)
			return true
		}
	}
	return false
}

// record takes the result of a request.
func (b *breaker) record(now time.Time, ok bool) {
	switch {
	case ok:
		b.failures, b.pause = 0, 0
		if b.state != Closed {
			b.transition(Closed, now)
		}
		return
	case b.state == Open:
		return // sent before the breaker opened
	}
	if b.failures++; b.failures >= failureThreshold || b.state == HalfOpen {
		b.pause = min(max(2*b.pause, minPause), maxPause)
		b.transition(Open, now)
	}
}

// discard takes a request whose result says nothing of the destination. If it was the
// probe, another one may be sent at once.
func (b *breaker) discard() {
	if b.state == HalfOpen {
		b.transition(Open, b.since.Add(-b.pause))
	}
}
