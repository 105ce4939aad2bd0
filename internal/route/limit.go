package route

import (
	"math"
	"time"
)

// limit is how many requests of a kind are worked on at once. It adapts to how long they take by
// the gradient of their latency (Gradient2 of Netflix's concurrency-limits): while answers take
// about as long as they did over many requests, the limit grows by its own square root; when
// they take longer, it shrinks in proportion. Requests queue in the state service's budget
// and in the processor's, and neither has a length that could be read off. The measure over many
// requests is bounded: guards against a load that lasts until its own queue is the measure.
type limit struct {
	limit  float64
	most   float64
	fixed  bool // cancellations: only the bound holds
	inside int
	long   float64 // seconds, over many answers
	short  float64 // over few
	seen   int
}

const (
	leastLimit = 8
	startLimit = 32
	longPart   = 1.0 / 300 // of a new sample in the long average
	shortPart  = 1.0 / 10
	tolerance  = 2.0  // answers may take this much longer before the limit shrinks
	longMost   = 0.25 // seconds; a user waits 2 s and more
	smooth     = 0.2
	dropTo     = 0.9
	warmUp     = 20
)

func newLimit(most float64, fixed bool) limit {
	l := limit{limit: min(startLimit, most), most: most, fixed: fixed}
	if fixed {
		l.limit = most
	}
	return l
}

// enter begins a request, if there is room.
func (l *limit) enter() bool {
	if l.inside >= int(l.limit) {
		return false
	}
	l.inside++
	return true
}

// leave ends one.
func (l *limit) leave() { l.inside-- }

// sample takes how long one took that was answered.
func (l *limit) sample(took time.Duration) {
	if l.fixed {
		return
	}
	s := max(took.Seconds(), 1e-4)
	if l.seen++; l.seen <= warmUp {
		l.long += (s - l.long) / float64(l.seen)
		l.short = l.long
		return
	}
	l.short += (s - l.short) * shortPart
	l.long += (s - l.long) * longPart
	if l.long > 2*l.short {
		l.long *= 0.95 // a long time of trouble is over: it is not to be the measure
	}
	if float64(l.inside+1) < l.limit/2 {
		return // what limits requests now is that few come
	}
	gradient := max(0.5, min(1, tolerance*min(l.long, longMost)/l.short))
	l.set(l.limit*(1-smooth) + smooth*(l.limit*gradient+math.Sqrt(l.limit)))
}

// drop takes that one was given up since too much waited before it.
func (l *limit) drop() {
	if !l.fixed {
		l.set(l.limit * dropTo)
	}
}

// set changes the limit; it is the only place that does.
func (l *limit) set(to float64) { l.limit = min(max(to, min(leastLimit, l.most)), l.most) }

// latency tells how long answers take, at the most as far as that is likely: the mean and four
// times the mean deviation, as TCP does (V. Jacobson, 1988; RFC 6298).
type latency struct {
	mean, dev float64 // seconds
	seen      bool
}

func (l *latency) add(took time.Duration) {
	s := took.Seconds()
	if !l.seen {
		l.mean, l.dev, l.seen = s, s/2, true
		return
	}
	l.dev += (math.Abs(s-l.mean) - l.dev) / 4
	l.mean += (s - l.mean) / 8
}

// late is when an answer is late; 0: none has come yet.
func (l *latency) late() time.Duration {
	return time.Duration((l.mean + 4*l.dev) * float64(time.Second))
}

// retries is the budget of second attempts for the whole process: a share of what succeeds, and a
// few a second in any case (retry budgets; Finagle). Guards against a member that, in trouble,
// makes two requests for the others out of each one.
type retries struct {
	share   float64
	balance float64
	at      time.Time
}

func (r *retries) fill(now time.Time) {
	if !r.at.IsZero() {
		r.balance = min(r.balance+leastRetries*max(now.Sub(r.at).Seconds(), 0), savedRetries)
	}
	r.at = now
}

func (r *retries) earn(now time.Time) {
	r.fill(now)
	r.balance = min(r.balance+r.share, savedRetries)
}

func (r *retries) spend(now time.Time) bool {
	r.fill(now)
	if r.balance < 1 {
		return false
	}
	r.balance--
	return true
}
