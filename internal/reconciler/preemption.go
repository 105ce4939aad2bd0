package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// preemptionFacts are what all attempts of a job have in common in one pass.
type preemptionFacts struct {
	guaranteed     bool
	fairShareClass int
	slack          time.Duration // of an attempt that has to do all its work again
	hasDeadline    bool
}

// preemptionLister makes what shows a pass the attempts on one machine that might be stopped to make room, and what is being
// freed there already. A pass asks for the machines that it weighs, and only where room is short. Guards against
// passes that work out what each of tens of thousands of attempts would lose, where a few machines come into question.
func (c *Core) preemptionLister(now time.Time, guaranteed map[*model.Job]bool) func(nd *scheduler.Node) {
	known := map[*model.Job]*preemptionFacts{}
	facts := func(j *model.Job) *preemptionFacts {
		f := known[j]
		if f == nil {
			f = &preemptionFacts{guaranteed: guaranteed[j], fairShareClass: c.fairShareClass(j.Spec.Team)}
			f.slack, f.hasDeadline = c.slack(now, j, true, 0)
			known[j] = f
		}
		return f
	}
	return func(nd *scheduler.Node) {
		held := nd.Machine.ActiveAttempts()
		nd.Candidates = make([]scheduler.PreemptionCandidate, 0, len(held))
		for _, a := range held {
			switch {
			case a.Job == nil:
			case a.State == model.AttemptStopping:
				nd.Releasing = nd.Releasing.Add(a.Demand)
			case a.Job.State == model.JobActive:
				nd.Candidates = append(nd.Candidates, c.preemptionCandidate(now, a, facts(a.Job)))
			}
		}
	}
}

// preemptionCandidate describes an attempt that might be stopped to make room.
func (c *Core) preemptionCandidate(now time.Time, a *model.Attempt, f *preemptionFacts) scheduler.PreemptionCandidate {
	s := a.Job.Spec
	v := scheduler.PreemptionCandidate{
		Attempt:         a,
		Priority:        a.Job.EffectivePriority,
		BeyondGuarantee: !f.guaranteed,
		Gang:            s.Shape == model.Gang,
		FairShareBand:   f.fairShareClass,
		Slack:           f.slack,
		HasDeadline:     f.hasDeadline,
	}
	if s.CheckpointInterval > 0 {
		v.CheckpointTime = gracePeriod(a)
	}
	ran := time.Duration(0)
	if !a.RunningAt.IsZero() {
		ran = now.Sub(a.RunningAt)
		if v.LostWork = ran; s.CheckpointInterval > 0 {
			// It saves by itself at each checkpoint. Where between two of them it
			// is depends on its machine's speed and on what it had done before.
			v.LostWork = min(ran, s.CheckpointInterval/2)
		}
	}
	v.RecentlyStarted = ran < c.settings.Scheduler.MinRuntime
	if v.LostWork < ran {
		v.Slack, v.HasDeadline = c.slack(now, a.Job, true, ran-v.LostWork)
	}
	return v
}

// slack is the time that a job's tasks have left, which have run for some time
// or wait: to the next of its dates that can still be met, less the estimated
// run time that is left. Dates are the job's deadline, what users expect of its
// class, and by when it must be done for the sake of the jobs behind it. due tells that it has any date;
// the slack is negative once none can be met.
func (c *Core) slack(now time.Time, j *model.Job, started bool, ran time.Duration) (slack time.Duration, due bool) {
	s := j.Spec
	age := now.Sub(j.EligibleAt)
	estimate := max(c.runTimes.estimate(s)-ran, 0)
	slack = -1
	date := func(left time.Duration) {
		due = true
		if left >= 0 && (slack < 0 || left < slack) {
			slack = left
		}
	}
	if s.Deadline > 0 {
		date(j.SubmittedAt.Add(s.Deadline).Sub(now) - estimate)
		for _, times := range c.deadlineMultiples[s.Class] {
			date(c.deadlineTimes(j, times).Sub(now) - estimate)
		}
	}
	for _, d := range j.DownstreamDeadlines {
		date(d.Sub(now) - estimate)
	}
	for _, a := range c.settings.Objectives[s.Class] {
		if a.StartWithin > 0 && !started {
			date(a.StartWithin - age)
		}
		if a.FinishWithin > 0 {
			date(a.FinishWithin - age - estimate)
		}
	}
	return slack, due
}
