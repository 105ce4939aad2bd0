package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// The QoS classes, in the order in which requests are served. They take precedence over deadlines.
const (
	qosProduction = iota // the highest priority of users
	qosGuaranteed        // within the team's guarantee
	qosBestEffort        // everything else
)

// qosClass is the request's QoS class.
func (r *Request) qosClass() int {
	switch {
	case r.Job.EffectivePriority == model.PriorityProduction:
		return qosProduction
	case r.Guaranteed:
		return qosGuaranteed
	}
	return qosBestEffort
}

// The queues of one QoS class and fair-share band, in the order in which they are served. Promoted requests are moved
// again by promoteWaiting.
const (
	queueStarving = iota // first tasks of a job that has waited for long
	queuePromoted        // waited for so long that they pass ahead
	queueDeadline        // can still meet a deadline: by rising slack
	queueAge             // without a deadline: by age
	queueMissed          // can no longer meet a deadline
)

// queue is the queue that the request waits in. What users expect of a job's class, by when it starts or finishes,
// counts as a deadline too.
func (r *Request) queue(settings *Settings) int {
	switch {
	case r.Starving:
		return queueStarving
	case !r.HasDeadline && r.Waited >= settings.PromoteAfter:
		return queuePromoted
	case r.HasDeadline && r.Waited >= settings.PromoteLateAfter:
		return queuePromoted
	case !r.HasDeadline:
		return queueAge
	case r.Slack < 0:
		return queueMissed
	}
	return queueDeadline
}

// position is a place in the order in which work is served.
type position struct {
	qosClass, fairShareBand int
	queue                   int
	restart                 bool
	slack, waited           time.Duration
	priority                model.Priority
}

// computePosition is the request's place in the order.
func (r *Request) computePosition(settings *Settings) position {
	class := r.qosClass()
	if r.Starving {
		class = min(class, qosGuaranteed) // in the order only: nothing is preempted for it
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

// computePosition is the place that the attempt's task would have in the order if the attempt were stopped now.
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

// bandBeyondGuarantee is a fair-share band where it counts: only in work beyond guarantees.
func effectiveBand(class, band int) int {
	if class < qosBestEffort {
		return 0
	}
	return band
}

// compare is negative if p is served before other.
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

// compareTrueFirst compares two booleans that differ, by the first of them.
func compareTrueFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}

// OrderRequests sorts requests into the order in which they are served.
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

// sameBand reports whether two positions have the QoS class and the fair-share band in common.
func (p position) sameBand(other position) bool {
	return p.qosClass == other.qosClass && p.fairShareBand == other.fairShareBand
}

// promoteWaiting moves the promoted requests of one QoS class and band ahead of those that can still meet a deadline,
// but only as far as the first of their own or a lower priority: otherwise low-priority work without a deadline, once
// it has waited, would keep work of a higher priority from ever meeting one.
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
	_ = append(ordered, promoted...) // fills up the array of requests
}

// mayPass reports whether a promoted request is served before another one.
func mayOvertake(promoted, other *Request) bool {
	return other.position.queue != queueDeadline || other.position.priority <= promoted.position.priority
}
