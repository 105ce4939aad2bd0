package route

import (
	"math"
	"time"
)

// concurrencyLimit bounds how many requests of one kind are in flight on this member. It adapts to their latency by
// the Gradient2 algorithm of Netflix's concurrency-limits library. While recent requests take about as long as the
// long-term average, the limit grows by its square root. When they take longer, it shrinks in proportion. Latency
// is used as the signal because requests wait for the rate limit of the state service and for the CPU, and neither
// has a queue whose length could be read. The router's mutex guards it.
type concurrencyLimit struct {
	limit        float64 // upper bound of inFlight; only its integer part counts
	ceiling      float64 // upper bound of limit
	fixed        bool    // limit does not adapt and stays at ceiling
	inFlight     int     // number of requests that have acquired but not released the limit
	longAverage  float64 // moving average of the latency in seconds, over about 300 requests
	shortAverage float64 // moving average of the latency in seconds, over about 10 requests
	samples      int     // number of observed latencies
}

const (
	minLimit           = 8
	initialLimit       = 32
	longAverageWeight  = 1.0 / 300 // weight of a new sample in longAverage
	shortAverageWeight = 1.0 / 10  // weight of a new sample in shortAverage
	latencyTolerance   = 2.0       // the gradient is below 1 only if shortAverage exceeds longAverage by this factor
	// maxLongAverageSeconds bounds the average that latency is compared with, so that a lasting overload does not
	// come to count as normal. Users wait for 2 s or more.
	maxLongAverageSeconds = 0.25
	minLatencySeconds     = 1e-4 // keeps the gradient finite
	minGradient           = 0.5
	maxGradient           = 1.0
	limitSmoothing        = 0.2  // weight of a newly computed limit against the current one
	backOffFactor         = 0.9  // applied to the limit by backOff
	longAverageDecay      = 0.95 // applied to longAverage with each sample while it is more than twice shortAverage
	warmUpSamples         = 20   // number of samples before the limit adapts
)

// newConcurrencyLimit returns a limit that adapts up to ceiling or, if fixed is set, stays at ceiling.
func newConcurrencyLimit(ceiling float64, fixed bool) concurrencyLimit {
	l := concurrencyLimit{limit: min(initialLimit, ceiling), ceiling: ceiling, fixed: fixed}
	if fixed {
		l.limit = ceiling
	}
	return l
}

// acquire reports whether the limit allows one more request, and if so, counts it as in flight until
// release is called.
func (l *concurrencyLimit) acquire() bool {
	if l.inFlight >= int(l.limit) {
		return false
	}
	l.inFlight++
	return true
}

// release ends a request for which acquire returned true.
func (l *concurrencyLimit) release() { l.inFlight-- }

// observe records the latency of an answered request and adapts the limit.
func (l *concurrencyLimit) observe(latency time.Duration) {
	if l.fixed {
		return
	}
	seconds := max(latency.Seconds(), minLatencySeconds)
	if l.samples++; l.samples <= warmUpSamples {
		l.longAverage += (seconds - l.longAverage) / float64(l.samples)
		l.shortAverage = l.longAverage
		return
	}
	l.shortAverage += (seconds - l.shortAverage) * shortAverageWeight
	l.longAverage += (seconds - l.longAverage) * longAverageWeight
	if l.longAverage > 2*l.shortAverage {
		l.longAverage *= longAverageDecay
	}
	if float64(l.inFlight+1) < l.limit/2 {
		return // less than half of the limit is in use, so the latency does not depend on it
	}
	gradient := latencyTolerance * min(l.longAverage, maxLongAverageSeconds) / l.shortAverage
	gradient = max(minGradient, min(maxGradient, gradient))
	l.setLimit(l.limit*(1-limitSmoothing) + limitSmoothing*(l.limit*gradient+math.Sqrt(l.limit)))
}

// backOff lowers the limit after the rate limit of the state service has not admitted a request in time.
func (l *concurrencyLimit) backOff() {
	if !l.fixed {
		l.setLimit(l.limit * backOffFactor)
	}
}

// setLimit sets the limit, bounded by minLimit and ceiling. It is the only function that changes an existing limit.
func (l *concurrencyLimit) setLimit(limit float64) {
	l.limit = min(max(limit, min(minLimit, l.ceiling)), l.ceiling)
}
