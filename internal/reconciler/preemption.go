package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// preemptionFacts are what all attempts of a job have in common in one pass.
type preemptionFacts struct {
	guaranteed    bool
	fairShareBand int
	slack         time.Duration // of an attempt that has to do all its work again
	hasDeadline   bool
}

// preemptionLister returns a function that lists the attempts on one machine that may be preempted, and what is
// being released there already. A pass calls it for the machines that it considers, and only where capacity is
// short: working out what each of tens of thousands of attempts would lose takes long.
func (c *Core) preemptionLister(now time.Time, guaranteed map[*model.Job]bool) func(*scheduler.Node) {
	known := map[*model.Job]*preemptionFacts{}
	factsOf := func(job *model.Job) *preemptionFacts {
		facts := known[job]
		if facts == nil {
			facts = &preemptionFacts{
				guaranteed: guaranteed[job], fairShareBand: c.accounting.fairShareBand(job.Spec.Team),
			}
			facts.slack, facts.hasDeadline = c.slack(now, job, true, 0)
			known[job] = facts
		}
		return facts
	}
	return func(node *scheduler.Node) {
		attempts := node.Machine.ActiveAttempts()
		node.Candidates = make([]scheduler.PreemptionCandidate, 0, len(attempts))
		for _, attempt := range attempts {
			switch {
			case attempt.Job == nil:
			case attempt.State == model.AttemptStopping:
				node.Releasing = node.Releasing.Add(attempt.Demand)
			case attempt.Job.State == model.JobActive:
				candidate := c.preemptionCandidate(now, attempt, factsOf(attempt.Job))
				node.Candidates = append(node.Candidates, candidate)
			}
		}
	}
}

// preemptionCandidate describes an attempt that may be preempted.
func (c *Core) preemptionCandidate(
	now time.Time, attempt *model.Attempt, facts *preemptionFacts,
) scheduler.PreemptionCandidate {
	spec := attempt.Job.Spec
	candidate := scheduler.PreemptionCandidate{
		Attempt:         attempt,
		Priority:        attempt.Job.EffectivePriority,
		BeyondGuarantee: !facts.guaranteed,
		Gang:            spec.Shape == model.Gang,
		FairShareBand:   facts.fairShareBand,
		Slack:           facts.slack,
		HasDeadline:     facts.hasDeadline,
	}
	savesCheckpoints := spec.CheckpointInterval > 0
	if savesCheckpoints {
		candidate.CheckpointTime = gracePeriod(attempt)
	}
	ran := time.Duration(0)
	if !attempt.RunningAt.IsZero() {
		ran = now.Sub(attempt.RunningAt)
		candidate.LostWork = ran
		if savesCheckpoints {
			// Where between two checkpoints it is depends on its machine's speed and on what it had done before.
			candidate.LostWork = min(ran, spec.CheckpointInterval/2)
		}
	}
	candidate.RecentlyStarted = ran < c.settings.Scheduler.MinRuntime
	if candidate.LostWork < ran {
		candidate.Slack, candidate.HasDeadline = c.slack(now, attempt.Job, true, ran-candidate.LostWork)
	}
	return candidate
}
