package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// The power efficiency of a machine increases with its utilization and is 1 when the machine is full.
func TestEfficiencyGrowsWithUtilization(t *testing.T) {
	last := Efficiency(0, 0.7)
	if last != 0 {
		t.Fatalf("efficiency of an idle machine is %v, want 0", last)
	}
	for _, u := range []float64{0.1, 0.25, 0.5, 0.75, 1} {
		got := Efficiency(u, 0.7)
		if want := u / (0.7 + 0.3*u); math.Abs(got-want) > 1e-12 || got <= last {
			t.Fatalf("efficiency at utilization %v is %v, want %v and more than %v", u, got, want, last)
		}
		last = got
	}
}

func TestFullestFeasibleMachineIsChosen(t *testing.T) {
	nodes := []*Node{
		newNode("empty", "a", cpuType, 0),
		newNode("half", "a", cpuType, 4),
		newNode("nearly-full", "a", cpuType, 6),
	}
	want := "x@half x@empty "
	if got := formatPlacements(makeTestPlan(nodes, newRequest("x", 2, nil))); got != want {
		t.Errorf("placed %q, want %q", got, want)
	}
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	gang := func(tasks int, singleZone bool) *Request {
		return newRequest("g", tasks, func(s *model.Spec) { s.Shape, s.SingleZone = model.Gang, singleZone })
	}
	nodes := func() []*Node {
		return []*Node{
			newNode("a1", "a", cpuType, 4),
			newNode("a2", "a", cpuType, 4),
			newNode("b1", "b", cpuType, 4),
		}
	}
	if got := formatPlacements(makeTestPlan(nodes(), gang(4, false))); got != "" {
		t.Errorf("four tasks with capacity for three: placed %q, want none", got)
	}
	if got := len(makeTestPlan(nodes(), gang(3, false)).Placements); got != 3 {
		t.Errorf("three tasks with capacity for three: placed %d, want 3", got)
	}
	if got := formatPlacements(makeTestPlan(nodes(), gang(3, true))); got != "" {
		t.Errorf("three tasks in a single zone with capacity for two: placed %q, want none", got)
	}
	want := "g@a1 g@a2 "
	if got := formatPlacements(makeTestPlan(nodes(), gang(2, true))); got != want {
		t.Errorf("two tasks in a single zone: placed %q, want %q", got, want)
	}
}

func TestSpreadServicePlacesAtMostHalfPerZone(t *testing.T) {
	service := newRequest("s", 5, func(s *model.Spec) { s.Shape, s.Spread = model.Service, true })
	plan := makeTestPlan(newNodes("a1", "a2", "a3"), service)
	if len(plan.Placements) != 3 || len(plan.Shortages) != 1 || plan.Shortages[0].Count != 2 {
		t.Errorf("placed %q with shortages %v, want 3 tasks placed and a shortage of 2",
			formatPlacements(plan), plan.Shortages)
	}
}

func TestTasksWithoutGPUStayOffReservedMachines(t *testing.T) {
	node := newNode("gpu", "a", gpuType, 0)
	node.ReservedForGPU = true
	nodes := []*Node{node}
	if got := formatPlacements(makeTestPlan(nodes, newRequest("x", 1, nil))); got != "" {
		t.Errorf("task without GPU: placed %q, want none", got)
	}
	gpuTask := newRequest("g", 1, func(s *model.Spec) { s.Demand.GPU = 2 })
	if got := formatPlacements(makeTestPlan(nodes, gpuTask)); got != "g@gpu " {
		t.Errorf("GPU task: placed %q, want %q", got, "g@gpu ")
	}
	allowed := newRequest("x", 1, nil)
	allowed.Job.MayUseGPUMachines = true
	if got := formatPlacements(makeTestPlan(nodes, allowed)); got != "x@gpu " {
		t.Errorf("task that fits no other machine: placed %q, want %q", got, "x@gpu ")
	}
}

// If no machine holds the image of a production request, the request goes to a machine that fetches the image before
// the deadline instead of the most efficient machine. It preempts lower-priority work there if the machine is full.
func TestProductionPrefersNodeThatFetchesImageByDeadline(t *testing.T) {
	settings := *testSettings
	settings.FetchByDeadline = true
	slow, fast := *cpuType, *cpuType
	slow.FetchGBPerS, fast.FetchGBPerS = 0.3, 0.6
	nodes := func() []*Node {
		return []*Node{newNode("slow", "a", &slow, 4), newNode("fast", "a", &fast, 0)}
	}
	service := func(slack time.Duration) *Request {
		request := newRequest("s", 1, func(s *model.Spec) {
			productionService(s)
			s.ImageGB = 0.6
		})
		request.HasDeadline, request.Slack = slack != 0, slack
		return request
	}
	for slack, want := range map[time.Duration]string{
		2 * time.Second:        "s@fast ",
		5 * time.Second:        "s@slow ",
		-1:                     "s@slow ",
		0:                      "s@slow ",
		500 * time.Millisecond: "s@slow ",
	} {
		if got := formatPlacements(MakePlan(&settings, newSnapshot(nodes(), service(slack)))); got != want {
			t.Errorf("slack of %v: placed %q, want %q", slack, got, want)
		}
	}
	if got := formatPlacements(makeTestPlan(nodes(), service(2*time.Second))); got != "s@slow " {
		t.Errorf("without FetchByDeadline: placed %q, want %q", got, "s@slow ")
	}
	full := nodes()
	full[1].Free = model.Resources{}
	low := addRunning(full[1], "blue", model.PriorityLow, nil)
	plan := MakePlan(&settings, newSnapshot(full, service(2*time.Second)))
	if len(plan.Placements) != 0 || len(plan.Preemptions) != 1 || plan.Preemptions[0].Attempt != low {
		t.Errorf("full fast node: placed %q and preempted %v, want none placed and %v preempted",
			formatPlacements(plan), plan.Preemptions, low)
	}
}

// If many tasks have to start at the same time, a pass starts only a part of them. It follows the order of requests,
// starts gangs whole and marks the plan as truncated. A shortage counts all tasks of a request, including those that
// are left for a later pass.
func TestPlanIsTruncatedAtMaxStarts(t *testing.T) {
	settings := *testSettings
	settings.MaxStarts = 4
	var nodes []*Node
	for i := range 8 {
		nodes = append(nodes, newNode(fmt.Sprint("n", i), "a", cpuType, 0))
	}
	gang := newRequest("gang", 5, func(s *model.Spec) { s.Shape, s.Priority = model.Gang, model.PriorityHigh })
	array := newRequest("array", 9, nil)
	snapshot := newSnapshot(nodes, array, gang)
	plan := MakePlan(&settings, snapshot)
	if len(plan.Placements) != 5 || plan.Placements[0].Request != gang || !plan.Truncated || len(plan.Shortages) != 0 {
		t.Fatalf("first pass: placed %q, truncated %v, shortages %v; want the gang of 5 placed, truncated, no shortage",
			formatPlacements(plan), plan.Truncated, plan.Shortages)
	}
	snapshot.Requests = []*Request{array}
	if plan = MakePlan(&settings, snapshot); len(plan.Placements) != 4 || !plan.Truncated {
		t.Fatalf("second pass: placed %q, truncated %v; want 4 tasks placed, truncated",
			formatPlacements(plan), plan.Truncated)
	}
	snapshot = newSnapshot(nodes[:1], newRequest("array", 9, nil))
	snapshot.Nodes[0].Free = cpuType.Capacity
	plan = MakePlan(&settings, snapshot)
	if len(plan.Placements) != 2 || plan.Truncated || plan.Shortages[0].Count != 7 {
		t.Errorf("one node: placed %q, truncated %v, shortages %v; want 2 tasks placed, not truncated, a shortage of 7",
			formatPlacements(plan), plan.Truncated, plan.Shortages)
	}
}
