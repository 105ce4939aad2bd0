package reconciler

import (
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
)

func TestPipelineEndDeterminesSlackAndPriority(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestLeader(now, &record.Snapshot{})
	last := pipelineStage("wk-000004", 8*time.Second, model.PriorityHigh, "wk-000002", "wk-000003")
	last.Class, last.Deadline = "last", 100*time.Second
	for i, spec := range []*model.Spec{
		pipelineStage("wk-000001", 10*time.Second, model.PriorityLow),
		pipelineStage("wk-000002", 5*time.Second, model.PriorityLow, "wk-000001"),
		pipelineStage("wk-000003", 20*time.Second, model.PriorityNormal, "wk-000001"),
		last,
	} {
		c.Step(now, JobAdded{Version: uint64(i + 1), SubmittedAt: now, Spec: spec})
	}
	slackOfFirst := func() (time.Duration, bool) { return c.slack(now, c.jobs["wk-000001"], false, 0) }
	c.updateCriticalPaths(now)
	// The deadline of 100 s, less 10 s for the first stage, 20 s for the longer branch and 8 s for the last stage.
	if slack, hasDeadline := slackOfFirst(); !hasDeadline || slack != 62*time.Second {
		t.Errorf("slack of the first stage: got %v, %v; want 62s, true", slack, hasDeadline)
	}
	if got := c.jobs["wk-000001"].EffectivePriority; got != model.PriorityHigh {
		t.Errorf("priority of the first stage: got %v, want %v", got, model.PriorityHigh)
	}
	// The deadline can no longer be met, so the objective of 1.5 times the deadline determines the slack.
	now = now.Add(90 * time.Second)
	if slack, hasDeadline := slackOfFirst(); !hasDeadline || slack != 22*time.Second {
		t.Errorf("slack to the later deadline: got %v, %v; want 22s, true", slack, hasDeadline)
	}
	c.Step(now, JobEnded{ID: "wk-000004", Outcome: model.OutcomeCancelled, EndedAt: now})
	c.updateCriticalPaths(now)
	priority := c.jobs["wk-000001"].EffectivePriority
	if _, hasDeadline := slackOfFirst(); hasDeadline || priority != model.PriorityNormal {
		t.Errorf("after the last stage has ended: got deadline %v, priority %v; want false, %v",
			hasDeadline, priority, model.PriorityNormal)
	}
}

// Only production jobs themselves take precedence over guarantees, not the jobs that they depend on.
func TestProductionPriorityIsNotInherited(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestLeader(now, &record.Snapshot{})
	first := pipelineStage("wk-000001", time.Second, model.PriorityLow)
	second := pipelineStage("wk-000002", time.Second, model.PriorityProduction, "wk-000001")
	c.Step(now, JobAdded{Version: 1, SubmittedAt: now, Spec: first})
	c.Step(now, JobAdded{Version: 2, SubmittedAt: now, Spec: second})
	c.updateCriticalPaths(now)
	if got := c.jobs["wk-000001"].EffectivePriority; got != model.PriorityHigh {
		t.Errorf("got priority %v, want %v", got, model.PriorityHigh)
	}
}

func TestAgeGuaranteeAndOrderCountFromDependenciesMet(t *testing.T) {
	at := time.Unix(1000, 0)
	first := pipelineStage("wk-000001", time.Second, model.PriorityLow)
	waiting := pipelineStage("wk-000002", time.Second, model.PriorityLow, "wk-000001", "wk-000009")
	other := pipelineStage("wk-000003", time.Second, model.PriorityLow)
	snapshot := &record.Snapshot{Revision: 3, Jobs: []record.Job{
		{Spec: waiting, SubmittedAt: at, Version: 2},
		{Spec: other, SubmittedAt: at.Add(9 * time.Second), Version: 3},
		{Spec: first, SubmittedAt: at, Version: 1},
	}}
	now := at.Add(10 * time.Second)
	c := newTestLeader(now, snapshot)
	if got := c.guaranteedJobs(); !got[c.jobs["wk-000001"]] || got[c.jobs["wk-000002"]] || got[c.jobs["wk-000003"]] {
		t.Errorf("wrong guarantees of %d jobs, want only that of the first: it uses 8 of 10 guaranteed CPUs", len(got))
	}
	var lookedUp []string
	for _, effect := range c.Step(now, Tick{}) {
		if lookup, ok := effect.(LookUpJobEnds); ok {
			lookedUp = lookup.IDs
		}
	}
	if len(lookedUp) != 1 || lookedUp[0] != "wk-000009" {
		t.Fatalf("looked up the ends of %v, want wk-000009", lookedUp)
	}
	job := c.jobs["wk-000002"]
	c.Step(now, JobEnded{ID: "wk-000001", Outcome: model.OutcomeDone, EndedAt: now})
	if startable(job) {
		t.Fatal("got a startable job although the end of a dependency is not known, want it to wait")
	}
	// The end was recorded by an earlier program version, which stored no end time.
	c.Step(now, JobEndsReceived{Ends: []record.JobEnd{{ID: "wk-000009", Outcome: model.OutcomeDone}}})
	if !startable(job) || !job.EligibleAt.Equal(now) {
		t.Errorf("got startable %v, eligible at %v; want true, %v", startable(job), job.EligibleAt, now)
	}
	if c.jobsByAge[len(c.jobsByAge)-1] != job {
		t.Error("got the job before another one in the queue, want it last, since it became eligible last")
	}
	if got := c.guaranteedJobs(); !got[c.jobs["wk-000003"]] || got[job] {
		t.Errorf("got guarantees %v for the job that became eligible first and %v for the other, want true and false",
			got[c.jobs["wk-000003"]], got[job])
	}
}

// A lookup that finds no job end is repeated only after a delay, and does not make the dependent job startable.
func TestUnknownJobEndIsLookedUpAgainAfterDelay(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestLeader(now, &record.Snapshot{})
	lookups := func(after time.Duration, event Event) (count int) {
		for _, effect := range c.Step(now.Add(after), event) {
			if _, ok := effect.(LookUpJobEnds); ok {
				count++
			}
		}
		return count
	}
	spec := pipelineStage("wk-000002", time.Second, model.PriorityLow, "wk-000001")
	if got := lookups(0, JobAdded{Version: 1, SubmittedAt: now, Spec: spec}); got != 1 {
		t.Fatalf("got %d lookups, want 1", got)
	}
	if got := lookups(0, JobEndsReceived{}) + lookups(100*time.Millisecond, Tick{}); got != 0 {
		t.Errorf("at once: got %d lookups, want none", got)
	}
	if got := lookups(time.Second, Tick{}); got != 1 || startable(c.jobs["wk-000002"]) {
		t.Errorf("after a second: got %d lookups, startable %v; want 1, false", got, startable(c.jobs["wk-000002"]))
	}
}
