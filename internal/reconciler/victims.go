package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// jobFacts are what all attempts of a job have in common in one pass.
type jobFacts struct {
	guaranteed bool
	band       int
	slack      time.Duration // of an attempt that has to do all its work again
	due        bool
}

// looker makes what shows a pass the attempts on one machine that might be stopped to make room, and what is being
// freed there already. A pass asks for the machines that it weighs, and only where room is short. Guards against
// passes that work out what each of tens of thousands of attempts would lose, where a few machines come into question.
func (c *Core) looker(now time.Time, guaranteed map[*model.Job]bool) func(nd *scheduler.Node) {
	known := map[*model.Job]*jobFacts{}
	facts := func(j *model.Job) *jobFacts {
		f := known[j]
		if f == nil {
			f = &jobFacts{guaranteed: guaranteed[j], band: c.band(j.Spec.Team)}
			f.slack, f.due = c.slack(now, j, true, 0)
			known[j] = f
		}
		return f
	}
	return func(nd *scheduler.Node) {
		held := nd.Machine.ActiveAttempts()
		nd.Victims = make([]scheduler.Running, 0, len(held))
		for _, a := range held {
			switch {
			case a.Job == nil:
			case a.State == model.AttemptStopping:
				nd.Freeing = nd.Freeing.Add(a.Demand)
			case a.Job.State == model.JobActive:
				nd.Victims = append(nd.Victims, c.victim(now, a, facts(a.Job)))
			}
		}
	}
}

// victim describes an attempt that might be stopped to make room.
func (c *Core) victim(now time.Time, a *model.Attempt, f *jobFacts) scheduler.Running {
	s := a.Job.Spec
	v := scheduler.Running{
		Attempt: a,
		Rank:    a.Job.EffectivePriority,
		Over:    !f.guaranteed,
		Gang:    s.Shape == model.Gang,
		Band:    f.band,
		Slack:   f.slack,
		Due:     f.due,
	}
	if s.CheckpointInterval > 0 {
		v.Save = grace(a)
	}
	ran := time.Duration(0)
	if !a.RunningAt.IsZero() {
		ran = now.Sub(a.RunningAt)
		if v.Loss = ran; s.CheckpointInterval > 0 {
			// It saves by itself at each checkpoint. Where between two of them it
			// is depends on its machine's speed and on what it had done before.
			v.Loss = min(ran, s.CheckpointInterval/2)
		}
	}
	v.Young = ran < c.set.Sched.MinRun
	if v.Loss < ran {
		v.Slack, v.Due = c.slack(now, a.Job, true, ran-v.Loss)
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
	estimate := max(c.runs.estimate(s)-ran, 0)
	slack = -1
	date := func(left time.Duration) {
		due = true
		if left >= 0 && (slack < 0 || left < slack) {
			slack = left
		}
	}
	if s.Deadline > 0 {
		date(j.SubmittedAt.Add(s.Deadline).Sub(now) - estimate)
		for _, times := range c.times[s.Class] {
			date(c.multiple(j, times).Sub(now) - estimate)
		}
	}
	for _, d := range j.DownstreamDeadlines {
		date(d.Sub(now) - estimate)
	}
	for _, a := range c.set.Aims[s.Class] {
		if a.Start > 0 && !started {
			date(a.Start - age)
		}
		if a.Finish > 0 {
			date(a.Finish - age - estimate)
		}
	}
	return slack, due
}
