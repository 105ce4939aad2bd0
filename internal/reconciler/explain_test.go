package reconciler

import (
	"slices"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
)

// An explanation counts the requests ahead of a job in the order in which a pass serves them, which differs from the
// order of the jobs' ages. An earlier version counted them before the pass had sorted the requests.
func TestExplanationCountsRequestsAheadInPassOrder(t *testing.T) {
	const oneAhead = "1 others stand before it in the order"
	now := time.Unix(1000, 0)
	core := newTestLeader(now, &record.Snapshot{})
	older, younger := oneTask("wk-000001", model.Array), oneTask("wk-000002", model.Service)
	older.Priority, younger.Priority = model.PriorityLow, model.PriorityProduction
	for i, spec := range []*model.Spec{older, younger} {
		submitted := now.Add(time.Duration(i) * time.Second)
		core.Step(submitted, JobAdded{Spec: spec, SubmittedAt: submitted, Version: uint64(i + 1)})
	}
	later := now.Add(2 * time.Second)
	if got := core.Explain(later, older.ID).Reasons; !slices.Contains(got, oneAhead) {
		t.Errorf("older job of low priority: got %q, want %q among them", got, oneAhead)
	}
	if got := core.Explain(later, younger.ID).Reasons; slices.Contains(got, oneAhead) {
		t.Errorf("younger production job: got %q, want none ahead", got)
	}
}
