package route

import (
	"math"
	"time"
)

// concurrencyLimit bounds how many requests of a kind are in flight on this member. It
// adapts to their latency (Gradient2 of Netflix's concurrency-limits): while recent
// requests take about as long as the long-term average, the limit grows by its square
// root; when they take longer, it shrinks in proportion. Latency is the signal since
// requests queue for the state service's rate limit and for the processor, neither of
// which has a queue length to read. The router's mutex guards it.
type concurrencyLimit struct {
	limit        float64
	ceiling      float64 // upper bound of limit
	fixed        bool    // limit stays at ceiling
	inFlight     int
	longAverage  float64 // latency in seconds, over some 300 requests
	shortAverage float64 // latency in seconds, over some 10 requests
	samples      int
}

const (
	minLimit         = 8
	initialLimit     = 32
	longWeight       = 1.0 / 300 // of a new sample in longAverage
	shortWeight      = 1.0 / 10  // of a new sample in shortAverage
	latencyTolerance = 2.0       // shortAverage may be this many times longAverage
	// maxLongAverage, in seconds, keeps an overload that lasts from becoming the
	// standard that latency is compared with. Users wait 2 s and more.
	maxLongAverage = 0.25
	minLatency     = 1e-4 // seconds; keeps the gradient finite
	minGradient    = 0.5
	maxGradient    = 1.0
	smoothing      = 0.2  // weight of a new limit
	backOffFactor  = 0.9  // applied to the limit when a request was dropped
	recoveryFactor = 0.95 // applied to longAverage after a long overload
	warmUpSamples  = 20
)

// newConcurrencyLimit returns a limit that adapts below ceiling, or stays there.
func newConcurrencyLimit(ceiling float64, fixed bool) concurrencyLimit {
	l := concurrencyLimit{limit: min(initialLimit, ceiling), ceiling: ceiling, fixed: fixed}
	if fixed {
		l.limit = ceiling
	}
	return l
}

// acquire starts a request if the limit allows one.
func (l *concurrencyLimit) acquire() bool {
	if l.inFlight >= int(l.limit) {
		return false
	}
	l.inFlight++
	return true
}

// release ends a request.
func (l *concurrencyLimit) release() { l.inFlight-- }

// observe takes the latency of an answered request and adapts the limit.
func (l *concurrencyLimit) observe(latency time.Duration) {
	if l.fixed {
		return
	}
	seconds := max(latency.Seconds(), minLatency)
	if l.samples++; l.samples <= warmUpSamples {
		l.longAverage += (seconds - l.longAverage) / float64(l.samples)
		l.shortAverage = l.longAverage
		return
	}
	l.shortAverage += (seconds - l.shortAverage) * shortWeight
	l.longAverage += (seconds - l.longAverage) * longWeight
	if l.longAverage > 2*l.shortAverage {
		l.longAverage *= recoveryFactor
	}
	if float64(l.inFlight+1) < l.limit/2 {
		return // the limit is not what bounds the load, so latency says nothing of it
	}
	gradient := latencyTolerance * min(l.longAverage, maxLongAverage) / l.shortAverage
	gradient = max(minGradient, min(maxGradient, gradient))
	l.setLimit(l.limit*(1-smoothing) + smoothing*(l.limit*gradient+math.Sqrt(l.limit)))
}

// backOff lowers the limit after a request was dropped because too many were queued.
func (l *concurrencyLimit) backOff() {
	if !l.fixed {
		l.setLimit(l.limit * backOffFactor)
	}
}

// setLimit changes the limit within its bounds; nothing else does.
func (l *concurrencyLimit) setLimit(limit float64) {
	l.limit = min(max(limit, min(minLimit, l.ceiling)), l.ceiling)
}
