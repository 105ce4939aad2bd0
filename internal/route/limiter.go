package route

import (
	"math"
	"time"
)

// concurrencyLimit is how many requests of a kind are worked on at once. It adapts to how long they take by
// the gradient of their latency (Gradient2 of Netflix's concurrency-limits): while answers take
// about as long as they did over many requests, the limit grows by its own square root; when
// they take longer, it shrinks in proportion. Requests queue in the state service's budget
// and in the processor's, and neither has a length that could be read off. The measure over many
// requests is bounded: guards against a load that lasts until its own queue is the measure.
type concurrencyLimit struct {
	limit        float64
	ceiling      float64
	fixed        bool // cancellations: only the bound holds
	inFlight     int
	longAverage  float64 // seconds, over many answers
	shortAverage float64 // over few
	samples      int
}

const (
	minLimit         = 8
	initialLimit     = 32
	longWeight       = 1.0 / 300 // of a new sample in the long average
	shortWeight      = 1.0 / 10
	latencyTolerance = 2.0  // answers may take this much longer before the limit shrinks
	maxLongAverage   = 0.25 // seconds; a user waits 2 s and more
	smoothing        = 0.2
	backOffFactor    = 0.9
	warmUpSamples    = 20
)

func newConcurrencyLimit(most float64, fixed bool) concurrencyLimit {
	l := concurrencyLimit{limit: min(initialLimit, most), ceiling: most, fixed: fixed}
	if fixed {
		l.limit = most
	}
	return l
}

// acquire begins a request, if there is room.
func (l *concurrencyLimit) acquire() bool {
	if l.inFlight >= int(l.limit) {
		return false
	}
	l.inFlight++
	return true
}

// release ends one.
func (l *concurrencyLimit) release() { l.inFlight-- }

// observe takes how long one took that was answered.
func (l *concurrencyLimit) observe(took time.Duration) {
	if l.fixed {
		return
	}
	s := max(took.Seconds(), 1e-4)
	if l.samples++; l.samples <= warmUpSamples {
		l.longAverage += (s - l.longAverage) / float64(l.samples)
		l.shortAverage = l.longAverage
		return
	}
	l.shortAverage += (s - l.shortAverage) * shortWeight
	l.longAverage += (s - l.longAverage) * longWeight
	if l.longAverage > 2*l.shortAverage {
		l.longAverage *= 0.95 // a long time of trouble is over: it is not to be the measure
	}
	if float64(l.inFlight+1) < l.limit/2 {
		return // what limits requests now is that few come
	}
	gradient := max(0.5, min(1, latencyTolerance*min(l.longAverage, maxLongAverage)/l.shortAverage))
	l.setLimit(l.limit*(1-smoothing) + smoothing*(l.limit*gradient+math.Sqrt(l.limit)))
}

// backOff takes that one was given up since too much waited before it.
func (l *concurrencyLimit) backOff() {
	if !l.fixed {
		l.setLimit(l.limit * backOffFactor)
	}
}

// setLimit changes the limit; it is the only place that does.
func (l *concurrencyLimit) setLimit(to float64) {
	l.limit = min(max(to, min(minLimit, l.ceiling)), l.ceiling)
}

// latencyEstimator tells how long answers take, at the most as far as that is likely: the mean and four
// times the mean deviation, as TCP does (V. Jacobson, 1988; RFC 6298).
type latencyEstimator struct {
	mean, deviation float64 // seconds
	sampled         bool
}

func (l *latencyEstimator) observe(took time.Duration) {
	s := took.Seconds()
	if !l.sampled {
		l.mean, l.deviation, l.sampled = s, s/2, true
		return
	}
	l.deviation += (math.Abs(s-l.mean) - l.deviation) / 4
	l.mean += (s - l.mean) / 8
}

// upperBound is when an answer is late; 0: none has come yet.
func (l *latencyEstimator) upperBound() time.Duration {
	return time.Duration((l.mean + 4*l.deviation) * float64(time.Second))
}

// retryBudget is the budget of second attempts for the whole process: a share of what succeeds, and a
// few a second in any case (retry budgets; Finagle). Guards against a member that, in trouble,
// makes two requests for the others out of each one.
type retryBudget struct {
	ratio      float64
	balance    float64
	refilledAt time.Time
}

func (r *retryBudget) refill(now time.Time) {
	if !r.refilledAt.IsZero() {
		r.balance = min(r.balance+minRetriesPerSecond*max(now.Sub(r.refilledAt).Seconds(), 0), maxSavedRetries)
	}
	r.refilledAt = now
}

func (r *retryBudget) deposit(now time.Time) {
	r.refill(now)
	r.balance = min(r.balance+r.ratio, maxSavedRetries)
}

func (r *retryBudget) withdraw(now time.Time) bool {
	r.refill(now)
	if r.balance < 1 {
		return false
	}
	r.balance--
	return true
}
