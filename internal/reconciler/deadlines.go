package reconciler

import (
	"iter"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// deadlineMultiples are, by job class, the multiples of jobs' deadlines (other than 1) by which they are to be done.
type deadlineMultiples map[string][]float64

func newDeadlineMultiples(objectives map[string][]Objective) deadlineMultiples {
	multiples := deadlineMultiples{}
	for class, all := range objectives {
		for _, objective := range all {
			if objective.DeadlineMultiple > 0 && objective.DeadlineMultiple != 1 {
				multiples[class] = append(multiples[class], objective.DeadlineMultiple)
			}
		}
		slices.Sort(multiples[class])
	}
	return multiples
}

// ofJob yields a job's deadline and then the multiples of it that users look at; nothing without a deadline.
func (d deadlineMultiples) ofJob(job *model.Job) iter.Seq[time.Time] {
	return func(yield func(time.Time) bool) {
		deadline := job.Spec.Deadline
		if deadline <= 0 || !yield(job.SubmittedAt.Add(deadline)) {
			return
		}
		for _, multiple := range d[job.Spec.Class] {
			if !yield(job.SubmittedAt.Add(time.Duration(multiple * float64(deadline)))) {
				return
			}
		}
	}
}

// earliestEach returns the earlier one of two lists of moments, place by place. The last moment of a shorter list is
// used for the places that it lacks.
func earliestEach(a, b []time.Time) []time.Time {
	if len(a) == 0 {
		return b
	}
	if len(b) == 0 {
		return a
	}
	earliest := make([]time.Time, max(len(a), len(b)))
	for i := range earliest {
		earliest[i] = a[min(i, len(a)-1)]
		if other := b[min(i, len(b)-1)]; other.Before(earliest[i]) {
			earliest[i] = other
		}
	}
	return earliest
}

// slack is the time that a job's tasks have left to the next of its deadlines that can still be met, less the
// estimated run time that is left. The tasks wait, or were started and have run for some time. Deadlines are the
// job's own, the objectives of its class, and those of the jobs downstream. hasDeadline reports that there is any; the
// slack is negative once none can be met.
func (c *Core) slack(
	now time.Time, job *model.Job, started bool, ran time.Duration,
) (slack time.Duration, hasDeadline bool) {
	age := now.Sub(job.EligibleAt)
	estimate := max(c.runTimes.estimate(job.Spec)-ran, 0)
	slack = -1
	consider := func(left time.Duration) {
		hasDeadline = true
		if left >= 0 && (slack < 0 || left < slack) {
			slack = left
		}
	}
	for deadline := range c.deadlines.ofJob(job) {
		consider(deadline.Sub(now) - estimate)
	}
	for _, deadline := range job.DownstreamDeadlines {
		consider(deadline.Sub(now) - estimate)
	}
	for _, objective := range c.settings.Objectives[job.Spec.Class] {
		if objective.StartWithin > 0 && !started {
			consider(objective.StartWithin - age)
		}
		if objective.FinishWithin > 0 {
			consider(objective.FinishWithin - age - estimate)
		}
	}
	return slack, hasDeadline
}
