package route

import (
	"math"
	"time"
)

// The constants of TCP's retransmission timer (V. Jacobson, 1988; RFC 6298): the divisors that give the weight of a
// new sample, and the number of mean deviations above the mean.
const (
	meanDivisor         = 8 // weight 1/8
	deviationDivisor    = 4 // weight 1/4
	deviationsAboveMean = 4
)

// latencyEstimator estimates an upper bound of the latency of answers, as a moving average and a multiple of the
// deviation from it. The router's mutex guards it.
type latencyEstimator struct {
	mean, deviation float64 // moving averages of the latency and of its absolute deviation from mean, in seconds
	sampled         bool    // at least one latency has been observed
}

// observe records the latency of an answer.
func (e *latencyEstimator) observe(latency time.Duration) {
	seconds := latency.Seconds()
	if !e.sampled {
		e.mean, e.deviation, e.sampled = seconds, seconds/2, true
		return
	}
	e.deviation += (math.Abs(seconds-e.mean) - e.deviation) / deviationDivisor
	e.mean += (seconds - e.mean) / meanDivisor
}

// upperBound returns the latency beyond which an answer is considered late. It is 0 if no latency has been observed.
func (e *latencyEstimator) upperBound() time.Duration {
	return time.Duration((e.mean + deviationsAboveMean*e.deviation) * float64(time.Second))
}
