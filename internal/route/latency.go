package route

import (
	"math"
	"time"
)

// Weights of a new sample, and the number of deviations above the mean, as of TCP's
// retransmission timer (V. Jacobson, 1988; RFC 6298).
const (
	meanDivisor        = 8 // weight 1/8
	deviationDivisor   = 4 // weight 1/4
	deviationsFromMean = 4
)

// latencyEstimator estimates how long answers take at most, in all likelihood. The
// router's mutex guards it.
type latencyEstimator struct {
	mean, deviation float64 // seconds; deviation is the mean absolute one
	sampled         bool
}

// observe takes the latency of an answer.
func (e *latencyEstimator) observe(latency time.Duration) {
	seconds := latency.Seconds()
	if !e.sampled {
		e.mean, e.deviation, e.sampled = seconds, seconds/2, true
		return
	}
	e.deviation += (math.Abs(seconds-e.mean) - e.deviation) / deviationDivisor
	e.mean += (seconds - e.mean) / meanDivisor
}

// upperBound returns the latency beyond which an answer is late; 0: no sample yet.
func (e *latencyEstimator) upperBound() time.Duration {
	return time.Duration((e.mean + deviationsFromMean*e.deviation) * float64(time.Second))
}
