package scheduler

import (
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// An array that has not started by half of StarvationBound starts one task ahead of a stream of work that can meet
// its deadlines. The remaining tasks of the array wait in their normal position.
func TestStarvingArrayStartsOneTaskFirst(t *testing.T) {
	settings := *testSettings
	settings.StarvationBound = 200 * time.Second
	stream := func() *Request {
		request := newRequest("stream", 10, nil)
		request.HasDeadline, request.Slack = true, 20*time.Second
		return request
	}
	overdue := func(id string, waited time.Duration) *Request {
		request := newRequest(id, 10, func(s *model.Spec) { s.Priority = model.PriorityLow })
		request.HasDeadline, request.Slack, request.Waited = true, -time.Minute, waited
		return request
	}
	started := overdue("started", 500*time.Second)
	started.Job.SetTask(3, model.TaskDone)
	snapshot := newSnapshot(newNodes("m", "n"), stream(), overdue("long", 120*time.Second),
		overdue("longer", 130*time.Second), overdue("new", 90*time.Second), started)
	want := "longer@m long@m stream@n stream@n "
	if got := formatPlacements(MakePlan(&settings, snapshot)); got != want {
		t.Errorf("placed %q, want %q", got, want)
	}
	want = "stream@m stream@m stream@n stream@n "
	if got := formatPlacements(makeTestPlan(newNodes("m", "n"), stream(), overdue("long", 120*time.Second))); got != want {
		t.Errorf("without StarvationBound: placed %q, want %q", got, want)
	}
}

// Nodes are reserved for a wide gang that is starving. Otherwise narrow gangs would take each node as it becomes
// free. The remaining quota is likewise reserved for a starving task with a large demand.
func TestStarvingRequestReservesNodesAndQuota(t *testing.T) {
	settings := *testSettings
	settings.StarvationBound = 200 * time.Second
	gang := func(id string, tasks int, waited time.Duration) *Request {
		request := newRequest(id, tasks, func(s *model.Spec) {
			s.Shape, s.Demand = model.Gang, model.Resources{CPU: 8, MemGB: 8}
		})
		request.Waited, request.HasDeadline, request.Slack = waited, true, 10*time.Second
		return request
	}
	nodes := func() []*Node {
		return []*Node{newNode("m", "a", cpuType, 0), newNode("n", "a", cpuType, 8), newNode("o", "a", cpuType, 0)}
	}
	starving := newSnapshot(nodes(), gang("wide", 3, 120*time.Second), gang("narrow", 1, 0))
	if got := formatPlacements(MakePlan(&settings, starving)); got != "" {
		t.Errorf("with a starving wide gang: placed %q, want none", got)
	}
	waiting := newSnapshot(nodes(), gang("wide", 3, 20*time.Second), gang("narrow", 1, 0))
	if got := formatPlacements(MakePlan(&settings, waiting)); got == "" {
		t.Errorf("with a wide gang that is not starving: placed %q, want the narrow gang", got)
	}
	large := newRequest("large", 1, func(s *model.Spec) { s.Demand.CPU = 8 })
	large.Waited = 120 * time.Second
	snapshot := newSnapshot(nodes(), large, newRequest("small", 1, nil))
	snapshot.Used["red"] = model.Resources{CPU: 95} // of 100
	if got := formatPlacements(MakePlan(&settings, snapshot)); got != "" {
		t.Errorf("with a starving task that waits for quota: placed %q, want none", got)
	}
}
