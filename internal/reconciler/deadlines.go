package reconciler

import (
	"iter"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// deadlineMultiples holds, by job class and in ascending order, the multiples of a job's deadline other than 1 by
// which the objectives of the class expect the job to finish.
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

// deadlinesOf yields the deadline of a job and then the multiples of it that the objectives of its class name. It
// yields nothing for a job without a deadline.
func (d deadlineMultiples) deadlinesOf(job *model.Job) iter.Seq[time.Time] {
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

// earliestByIndex returns the earlier of a[i] and b[i] for each index i. A shorter list is extended by its last
// element; an empty one is ignored.
func earliestByIndex(a, b []time.Time) []time.Time {
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

// slack returns the time until the nearest deadline that the tasks of a job can still meet, less their estimated
// remaining run time. The tasks have either been waiting (started is false) or were started and have run for the
// duration ran. The deadlines are those of the job itself, the objectives of its class, and those of the jobs
// downstream of it. hasDeadline is false if there are none. The slack is negative if no deadline can be met any more.
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
	for deadline := range c.deadlines.deadlinesOf(job) {
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
