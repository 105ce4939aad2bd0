package reconciler

import (
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// pipelineStage makes an array of a pipeline.
func pipelineStage(id string, estimate time.Duration, rank model.Priority, awaits ...string) *model.Spec {
	return &model.Spec{ID: id, Class: "middle", Team: "red", Shape: model.Array, Priority: rank, Tasks: 2, Dependencies: awaits,
		Demand: model.Resources{CPU: 4, MemGB: 8}, EstimatedRunTime: estimate}
}

func TestPipelineEndDeterminesSlackAndPriority(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestLeader(now, &Snapshot{})
	last := pipelineStage("wk-000004", 8*time.Second, model.PriorityHigh, "wk-000002", "wk-000003")
	last.Class, last.Deadline = "last", 100*time.Second
	for i, s := range []*model.Spec{pipelineStage("wk-000001", 10*time.Second, model.PriorityLow), pipelineStage("wk-000002", 5*time.Second, model.PriorityLow, "wk-000001"),
		pipelineStage("wk-000003", 20*time.Second, model.PriorityNormal, "wk-000001"), last} {
		c.Step(now, JobAdded{Version: uint64(i + 1), SubmittedAt: now, Spec: s})
	}
	slack := func(id string) (time.Duration, bool) { return c.slack(now, c.jobs[id], false, 0) }
	c.updateCriticalPaths(now)
	// 100 s, less its own 10, the 20 of the longer way and the 8 of the last stage.
	if d, due := slack("wk-000001"); !due || d != 62*time.Second {
		t.Errorf("slack of the first stage: %v", d)
	}
	if r := c.jobs["wk-000001"].EffectivePriority; r != model.PriorityHigh {
		t.Errorf("its rank is %v", r)
	}
	// The date is past: the one half as long again counts.
	now = now.Add(90 * time.Second)
	if d, due := slack("wk-000001"); !due || d != 22*time.Second {
		t.Errorf("slack to the later date: %v", d)
	}
	c.Step(now, JobEnded{ID: "wk-000004", Outcome: model.OutcomeCancelled, EndedAt: now})
	c.updateCriticalPaths(now)
	if _, due := slack("wk-000001"); due || c.jobs["wk-000001"].EffectivePriority != model.PriorityNormal {
		t.Error("a job whose dependents are gone still has their date or rank")
	}
}

// Production waits for nobody's pipeline: only its own jobs stand above guarantees.
func TestProductionPriorityIsNotInherited(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestLeader(now, &Snapshot{})
	c.Step(now, JobAdded{Version: 1, SubmittedAt: now, Spec: pipelineStage("wk-000001", time.Second, model.PriorityLow)})
	c.Step(now, JobAdded{Version: 2, SubmittedAt: now, Spec: pipelineStage("wk-000002", time.Second, model.PriorityProduction, "wk-000001")})
	c.updateCriticalPaths(now)
	if r := c.jobs["wk-000001"].EffectivePriority; r != model.PriorityHigh {
		t.Errorf("rank %v", r)
	}
}

func TestAgeGuaranteeAndOrderCountFromDependenciesMet(t *testing.T) {
	at := time.Unix(1000, 0)
	first, waits := pipelineStage("wk-000001", time.Second, model.PriorityLow), pipelineStage("wk-000002", time.Second, model.PriorityLow, "wk-000001", "wk-000009")
	other := pipelineStage("wk-000003", time.Second, model.PriorityLow)
	snap := &Snapshot{Revision: 3, Jobs: []JobAdded{{Spec: waits, SubmittedAt: at, Version: 2}, {Spec: other, SubmittedAt: at.Add(9 * time.Second), Version: 3},
		{Spec: first, SubmittedAt: at, Version: 1}}}
	now := at.Add(10 * time.Second)
	c := newTestLeader(now, snap)
	if g := c.guaranteedJobs(); !g[c.jobs["wk-000001"]] || g[c.jobs["wk-000002"]] || g[c.jobs["wk-000003"]] {
		t.Error("8 of 10 guaranteed CPUs go to the first job, none to the one that waits")
	}
	var asked []string
	for _, e := range c.Step(now, Tick{}) {
		if l, ok := e.(LookUpJobEnds); ok {
			asked = l.IDs
		}
	}
	if len(asked) != 1 || asked[0] != "wk-000009" {
		t.Fatalf("asked for the ends of %v", asked)
	}
	j := c.jobs["wk-000002"]
	c.Step(now, JobEnded{ID: "wk-000001", Outcome: model.OutcomeDone, EndedAt: now})
	if startable(j) {
		t.Fatal("it may start although the end of what it needs is not known")
	}
	c.Step(now, JobEndsReceived{Ends: []JobEnded{{ID: "wk-000009", Outcome: model.OutcomeDone}}}) // of the old version: no moment
	if !startable(j) || !j.EligibleAt.Equal(now) {
		t.Errorf("may start: %v, its age counts from %v", startable(j), j.EligibleAt)
	}
	if c.jobsByAge[len(c.jobsByAge)-1] != j {
		t.Error("it does not stand behind the jobs that could start before it")
	}
	if g := c.guaranteedJobs(); !g[c.jobs["wk-000003"]] || g[j] {
		t.Error("the guarantee goes to who could start first")
	}
}

// A lookup that finds nothing is not repeated at once, and starts nothing.
func TestUnknownJobEndIsLookedUpAgainAfterDelay(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestLeader(now, &Snapshot{})
	count := func(effects []Effect) (n int) {
		for _, e := range effects {
			if _, ok := e.(LookUpJobEnds); ok {
				n++
			}
		}
		return n
	}
	if n := count(c.Step(now, JobAdded{Version: 1, SubmittedAt: now, Spec: pipelineStage("wk-000002", time.Second, model.PriorityLow, "wk-000001")})); n != 1 {
		t.Fatalf("asked %d times", n)
	}
	if n := count(c.Step(now, JobEndsReceived{})) + count(c.Step(now.Add(100*time.Millisecond), Tick{})); n != 0 {
		t.Error("asked again at once")
	}
	if n := count(c.Step(now.Add(time.Second), Tick{})); n != 1 || startable(c.jobs["wk-000002"]) {
		t.Errorf("asked %d times, may start: %v", n, startable(c.jobs["wk-000002"]))
	}
}
