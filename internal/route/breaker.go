package route

import "time"

// BreakerState is how a way stands (circuit breaker; M. Nygard, Release It!, 2007).
type BreakerState uint8

// The states of a breaker.
const (
	Closed   BreakerState = iota // requests go
	Open                         // none goes until a pause is over
	HalfOpen                     // one goes, and shows whether others may
)

func (s BreakerState) String() string { return [...]string{"closed", "open", "probing"}[s] }

const (
	failureThreshold = 3 // failures in a row
	minPause         = 500 * time.Millisecond
	maxPause         = 8 * time.Second
)

// breaker keeps requests off a way that has failed.
type breaker struct {
	name     string
	state    BreakerState
	since    time.Time
	failures int           // in a row
	pause    time.Duration // of this opening; the next one's is twice as long
	onChange func(string, BreakerState, BreakerState)
}

// transition changes the state; it is the only place that does.
func (b *breaker) transition(s BreakerState, now time.Time) {
	if b.onChange != nil && b.state != s && (b.state == Closed || s == Closed) {
		b.onChange(b.name, b.state, s)
	}
	b.state, b.since = s, now
}

// probeDue tells that an open way may be tried.
func (b *breaker) probeDue(now time.Time) bool { return b.state == Open && now.Sub(b.since) >= b.pause }

// allow tells whether a request may go now. reached is when the other end has last answered
// anything at all: once it has since the opening, there is nothing to wait for.
func (b *breaker) allow(now, reached time.Time) bool {
	switch b.state {
	case Closed:
		return true
	case Open:
		if b.probeDue(now) || reached.After(b.since) {
			b.transition(HalfOpen, now)
			return true
		}
	}
	return false
}

// record takes what became of a request.
func (b *breaker) record(now time.Time, ok bool) {
	switch {
	case ok:
		b.failures, b.pause = 0, 0
		if b.state != Closed {
			b.transition(Closed, now)
		}
		return
	case b.state == Open:
		return // one that was on its way when it opened
	}
	if b.failures++; b.failures >= failureThreshold || b.state == HalfOpen {
		b.pause = min(max(2*b.pause, minPause), maxPause)
		b.transition(Open, now)
	}
}

// discard takes back a request that says nothing of the way: if it was the probe, another may be
// sent.
func (b *breaker) discard() {
	if b.state == HalfOpen {
		b.transition(Open, b.since.Add(-b.pause)) // it is due
	}
}
