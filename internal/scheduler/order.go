package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// The QoS classes, in the order in which they are served. A QoS class takes precedence over deadlines.
const (
	qosProduction = iota // the highest priority that users can request
	qosGuaranteed        // work within the team's guarantee
	qosBestEffort        // everything else
)

func (r *Request) qosClass() int {
	switch {
	case r.Job.EffectivePriority == model.PriorityProduction:
		return qosProduction
	case r.Guaranteed:
		return qosGuaranteed
	}
	return qosBestEffort
}

// The queues within one QoS class and fair-share band, in the order in which they are served. The only exception is
// that promoteWaiting moves requests of queuePromoted behind higher-priority requests of queueDeadline.
const (
	queueStarving = iota // first tasks of a job that has waited for long without starting
	queuePromoted        // requests that have waited long enough to overtake others
	queueDeadline        // requests that can still meet their deadline: restarts first, then by increasing slack
	queueAge             // requests without a deadline, by priority and then by waiting time
	queueMissed          // requests that can no longer meet their deadline
)

// queue returns the queue that the request waits in. The time by which a job of its class is expected to start or
// finish also counts as a deadline.
func (r *Request) queue(settings *Settings) int {
	switch {
	case r.Starving:
		return queueStarving
	case !r.HasDeadline && r.Waited >= settings.PromoteAfter:
		return queuePromoted
	case r.HasDeadline && r.Waited >= settings.PromoteDeadlineAfter:
		return queuePromoted
	case !r.HasDeadline:
		return queueAge
	case r.Slack < 0:
		return queueMissed
	}
	return queueDeadline
}

// position is a place in the order in which requests are served.
type position struct {
	qosClass, fairShareBand int
	queue                   int
	restart                 bool
	slack, waited           time.Duration
	priority                model.Priority
}

// computePosition returns the request's position in the order, in which promoteWaiting may still move the request.
func (r *Request) computePosition(settings *Settings) position {
	class := r.qosClass()
	if r.Starving {
		class = min(class, qosGuaranteed) // affects only the order: it allows no preemption
	}
	return position{
		qosClass:      class,
		fairShareBand: effectiveBand(class, r.FairShareBand),
		queue:         r.queue(settings),
		restart:       r.Restart,
		slack:         r.Slack,
		waited:        r.Waited,
		priority:      r.Job.EffectivePriority,
	}
}

// computePosition returns the position that the attempt's task would have if the attempt were stopped now.
func (c *PreemptionCandidate) computePosition() position {
	pos := position{qosClass: qosBestEffort, queue: queueDeadline, slack: c.Slack, priority: c.Priority}
	switch {
	case c.Priority == model.PriorityProduction:
		pos.qosClass = qosProduction
	case !c.BeyondGuarantee:
		pos.qosClass = qosGuaranteed
	}
	switch {
	case !c.HasDeadline:
		pos.queue = queueAge
	case c.Slack < 0:
		pos.queue = queueMissed
	}
	pos.fairShareBand = effectiveBand(pos.qosClass, c.FairShareBand)
	return pos
}

// effectiveBand returns the fair-share band that applies to a QoS class. Bands apply only to best-effort work; for
// the other classes the result is 0.
func effectiveBand(class, band int) int {
	if class < qosBestEffort {
		return 0
	}
	return band
}

// compare returns a negative number if p is served before other, a positive number if it is served after other, and 0
// if neither comes first.
func (p position) compare(other position) int {
	byQueue := cmp.Or(
		cmp.Compare(p.qosClass, other.qosClass),
		cmp.Compare(p.fairShareBand, other.fairShareBand),
		cmp.Compare(p.queue, other.queue),
	)
	if byQueue != 0 {
		return byQueue
	}
	if p.queue == queueDeadline {
		if p.restart != other.restart {
			return compareTrueFirst(p.restart)
		}
		return cmp.Or(cmp.Compare(p.slack, other.slack), cmp.Compare(other.waited, p.waited))
	}
	return cmp.Or(cmp.Compare(other.priority, p.priority), cmp.Compare(other.waited, p.waited))
}

// compareTrueFirst compares first with its opposite like cmp.Compare, with true ordered before false.
func compareTrueFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}

// OrderRequests sorts requests in place into the order in which they are served. It also sets their positions, which
// decide what may be preempted for them.
func OrderRequests(settings *Settings, requests []*Request) {
	for _, r := range requests {
		r.position = r.computePosition(settings)
	}
	slices.SortStableFunc(requests, func(a, b *Request) int { return a.position.compare(b.position) })
	for start := 0; start < len(requests); {
		first := requests[start].position
		end := start
		for end < len(requests) && requests[end].position.sameBand(first) {
			end++
		}
		promoteWaiting(requests[start:end])
		start = end
	}
}

// sameBand reports whether two positions have the same QoS class and fair-share band.
func (p position) sameBand(other position) bool {
	return p.qosClass == other.qosClass && p.fairShareBand == other.fairShareBand
}

// promoteWaiting moves the promoted requests of one QoS class and band ahead of requests that can still meet a
// deadline, but only ahead of those with the same or a lower priority. Otherwise low-priority work without a deadline
// would, once it has waited for long enough, keep higher-priority work from ever meeting its deadlines.
func promoteWaiting(requests []*Request) {
	for len(requests) > 0 && requests[0].position.queue == queueStarving {
		requests = requests[1:]
	}
	n := 0
	for n < len(requests) && requests[n].position.queue == queuePromoted {
		n++
	}
	if n == 0 || n == len(requests) {
		return
	}
	promoted, others := slices.Clone(requests[:n]), slices.Clone(requests[n:])
	ordered := requests[:0]
	for _, r := range others {
		for len(promoted) > 0 && mayOvertake(promoted[0], r) {
			ordered = append(ordered, promoted[0])
			promoted = promoted[1:]
		}
		ordered = append(ordered, r)
	}
	_ = append(ordered, promoted...) // writes to the remaining elements of requests
}

func mayOvertake(promoted, other *Request) bool {
	return other.position.queue != queueDeadline || other.position.priority <= promoted.position.priority
}
