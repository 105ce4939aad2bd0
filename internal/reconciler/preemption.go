package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// preemptionJobFacts holds the attributes for preemption that all attempts of a job share during one pass.
type preemptionJobFacts struct {
	guaranteed    bool // the job is within its team's guarantee
	fairShareBand int
	slack         time.Duration // slack of an attempt that has to repeat all its work
	hasDeadline   bool
}

// preemptionLister returns a function that fills in the preemption candidates of a node and the resources that are
// already being released there. A pass calls it only for nodes that it considers while capacity is short, because
// computing the lost work of tens of thousands of attempts is expensive.
func (c *Core) preemptionLister(now time.Time, guaranteed map[*model.Job]bool) func(*scheduler.Node) {
	factsByJob := map[*model.Job]*preemptionJobFacts{}
	factsOf := func(job *model.Job) *preemptionJobFacts {
		facts := factsByJob[job]
		if facts == nil {
			facts = &preemptionJobFacts{
				guaranteed: guaranteed[job], fairShareBand: c.accounting.fairShareBand(job.Spec.Team),
			}
			facts.slack, facts.hasDeadline = c.slack(now, job, true, 0)
			factsByJob[job] = facts
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

// preemptionCandidate returns an attempt as a candidate for preemption, with the work that it would lose.
func (c *Core) preemptionCandidate(
	now time.Time, attempt *model.Attempt, facts *preemptionJobFacts,
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
	runTime := time.Duration(0)
	if !attempt.RunningAt.IsZero() {
		runTime = now.Sub(attempt.RunningAt)
		candidate.LostWork = runTime
		if savesCheckpoints {
			// The time since the last checkpoint is not known exactly: it depends on the speed of the machine and on
			// the work done before this attempt. Half an interval is the expected value.
			candidate.LostWork = min(runTime, spec.CheckpointInterval/2)
		}
	}
	candidate.RecentlyStarted = runTime < c.settings.Scheduler.MinRuntime
	if candidate.LostWork < runTime {
		candidate.Slack, candidate.HasDeadline = c.slack(now, attempt.Job, true, runTime-candidate.LostWork)
	}
	return candidate
}
