package route

import "time"

// BreakerState is how a way stands (circuit breaker; M. Nygard, Release It!, 2007).
type BreakerState uint8

// The states of a breaker.
const (
	Closed  BreakerState = iota // requests go
	Open                        // none goes until a pause is over
	Probing                     // one goes, and shows whether others may
)

func (s BreakerState) String() string { return [...]string{"closed", "open", "probing"}[s] }

const (
	tripAfter  = 3 // failures in a row
	leastPause = 500 * time.Millisecond
	mostPause  = 8 * time.Second
)

// breaker keeps requests off a way that has failed.
type breaker struct {
	name   string
	state  BreakerState
	since  time.Time
	failed int           // in a row
	pause  time.Duration // of this opening; the next one's is twice as long
	told   func(string, BreakerState, BreakerState)
}

// to changes the state; it is the only place that does.
func (b *breaker) to(s BreakerState, now time.Time) {
	if b.told != nil && b.state != s && (b.state == Closed || s == Closed) {
		b.told(b.name, b.state, s)
	}
	b.state, b.since = s, now
}

// due tells that an open way may be tried.
func (b *breaker) due(now time.Time) bool { return b.state == Open && now.Sub(b.since) >= b.pause }

// allows tells whether a request may go now. reached is when the other end has last answered
// anything at all: once it has since the opening, there is nothing to wait for.
func (b *breaker) allows(now, reached time.Time) bool {
	switch b.state {
	case Closed:
		return true
	case Open:
		if b.due(now) || reached.After(b.since) {
			b.to(Probing, now)
			return true
		}
	}
	return false
}

// took takes what became of a request.
func (b *breaker) took(now time.Time, ok bool) {
	switch {
	case ok:
		b.failed, b.pause = 0, 0
		if b.state != Closed {
			b.to(Closed, now)
		}
		return
	case b.state == Open:
		return // one that was on its way when it opened
	}
	if b.failed++; b.failed >= tripAfter || b.state == Probing {
		b.pause = min(max(2*b.pause, leastPause), mostPause)
		b.to(Open, now)
	}
}

// cancel takes back a request that says nothing of the way: if it was the probe, another may be
// sent.
func (b *breaker) cancel() {
	if b.state == Probing {
		b.to(Open, b.since.Add(-b.pause)) // it is due
	}
}
