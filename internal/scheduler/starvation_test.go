package scheduler

import (
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// Behind a stream of work with dates that can be met, one task of each array that has not begun goes
// first after half of the time, and the rest of it waits its turn.
func TestStarvingArrayStartsOneTaskFirst(t *testing.T) {
	in := *testSettings
	in.StarvationBound = 200 * time.Second
	stream := func() *Request {
		w := newRequest("stream", 10, nil)
		w.HasDeadline, w.Slack = true, 20*time.Second
		return w
	}
	late := func(id string, waited time.Duration) *Request {
		w := newRequest(id, 10, func(s *model.Spec) { s.Priority = model.PriorityLow })
		w.HasDeadline, w.Slack, w.Waited = true, -time.Minute, waited
		return w
	}
	nodes := func() []*Node { return []*Node{newNode("m", "a", cpuType, 0), newNode("n", "a", cpuType, 0)} }
	begun := late("begun", 500*time.Second)
	begun.Job.SetTask(3, model.TaskDone)
	p := newSnapshot(nodes(), stream(), late("long", 120*time.Second), late("longer", 130*time.Second), late("new", 90*time.Second), begun)
	if got := placements(MakePlan(&in, p)); got != "longer@m long@m stream@n stream@n " {
		t.Errorf("placed %s", got)
	}
	if got := placements(MakePlan(testSettings, newSnapshot(nodes(), stream(), late("long", 120*time.Second)))); got != "stream@m stream@m stream@n stream@n " {
		t.Errorf("off: placed %s", got)
	}
}

// A wide gang beside narrow ones, which take each machine as it becomes free, gets it kept; so does
// a large task the free room under its team's limit.
func TestStarvingRequestReservesNodesAndQuota(t *testing.T) {
	in := *testSettings
	in.StarvationBound = 200 * time.Second
	gang := func(id string, tasks int, waited time.Duration) *Request {
		w := newRequest(id, tasks, func(s *model.Spec) {
			s.Shape, s.Demand = model.Gang, model.Resources{CPU: 8, MemGB: 8}
		})
		w.Waited, w.HasDeadline, w.Slack = waited, true, 10*time.Second
		return w
	}
	nodes := func() []*Node {
		return []*Node{newNode("m", "a", cpuType, 0), newNode("n", "a", cpuType, 8), newNode("o", "a", cpuType, 0)}
	}
	if got := placements(MakePlan(&in, newSnapshot(nodes(), gang("wide", 3, 120*time.Second), gang("narrow", 1, 0)))); got != "" {
		t.Errorf("placed %s beside what waits for it", got)
	}
	if got := placements(MakePlan(&in, newSnapshot(nodes(), gang("wide", 3, 20*time.Second), gang("narrow", 1, 0)))); got == "" {
		t.Error("kept from what could start before it has waited for long")
	}
	large := newRequest("large", 1, func(s *model.Spec) { s.Demand.CPU = 8 })
	large.Waited = 120 * time.Second
	p := newSnapshot(nodes(), large, newRequest("small", 1, nil))
	p.Used["red"] = model.Resources{CPU: 95} // of 100
	if got := placements(MakePlan(&in, p)); got != "" {
		t.Errorf("placed %s under a limit that another task waits for", got)
	}
}
