package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// A team without a quota is bounded by machines only, and one with a quota for one resource by that alone.
func TestTeamWithoutQuotaIsBoundedByMachinesOnly(t *testing.T) {
	for quota, want := range map[model.Quota]int{{}: 80, model.NewQuota(0, 2): 80, model.NewQuota(20, 0): 5} {
		snapshot := newSnapshot(nil, newRequest("x", 90, nil))
		for i := range 40 {
			snapshot.Nodes = append(snapshot.Nodes, newNode(fmt.Sprint("n", i), "a", cpuType, 0))
		}
		snapshot.Teams["red"].Quota = quota
		plan := MakePlan(testSettings, snapshot)
		overQuota := want == 5
		if len(plan.Placements) != want || len(plan.Shortages) > 0 && plan.Shortages[0].OverQuota != overQuota {
			t.Errorf("quota %v: placed %d with shortages %+v, want %d placed and over quota %v",
				quota, len(plan.Placements), plan.Shortages, want, overQuota)
		}
	}
}

func TestTeamQuotaIsNotExceeded(t *testing.T) {
	snapshot := newSnapshot(newNodes("a1", "a2"), newRequest("x", 4, nil))
	snapshot.Used["red"] = model.Resources{CPU: 91}
	plan := MakePlan(testSettings, snapshot)
	if len(plan.Placements) != 2 || snapshot.Used["red"].CPU != 99 {
		t.Errorf("placed %q, used %v of 100 CPUs; want 2 placed and 99 used",
			formatPlacements(plan), snapshot.Used["red"].CPU)
	}
}

func TestTightDeadlinePreemptsLowerPriorityWorkOfTeam(t *testing.T) {
	node := newNode("a1", "a", cpuType, 4)
	canCheckpoint := func(c *PreemptionCandidate) { c.CheckpointTime = 6 * time.Second }
	low := addRunning(node, "red", model.PriorityLow, canCheckpoint)
	other := addRunning(node, "blue", model.PriorityLow, canCheckpoint)
	request := newDeadlineRequest("x", 10*time.Second)
	snapshot := newSnapshot([]*Node{node}, request)
	snapshot.Used["red"] = model.Resources{CPU: 100}
	plan := MakePlan(testSettings, snapshot)
	if len(plan.Preemptions) != 1 || plan.Preemptions[0].Attempt != low || len(plan.Placements) != 0 {
		t.Errorf("preempted %v and placed %q, want %v preempted (of the other team: %v) and none placed",
			plan.Preemptions, formatPlacements(plan), low, other)
	}
	snapshot = newSnapshot([]*Node{node}, request)
	snapshot.Used["red"], snapshot.Releasing["red"] = model.Resources{CPU: 100}, model.Resources{CPU: 4}
	if plan = MakePlan(testSettings, snapshot); len(plan.Preemptions) != 0 {
		t.Errorf("preempted %v although enough is being released, want none", plan.Preemptions)
	}
}

// While a service waits for the quota to have room for all of it, the first part that is freed must not go to
// lower-priority work again and again.
func TestQuotaFreedForServiceIsReserved(t *testing.T) {
	service := newRequest("s", 3, productionService)
	low := newRequest("low", 5, func(s *model.Spec) {
		s.Priority, s.Demand = model.PriorityLow, model.Resources{CPU: 2, MemGB: 2}
	})
	snapshot := newSnapshot(newNodes("a1", "a2"), low, service)
	snapshot.Used["red"] = model.Resources{CPU: 94} // one replica fits into the quota, not three
	if plan := MakePlan(testSettings, snapshot); len(plan.Placements) != 0 {
		t.Errorf("placed %q, want none", formatPlacements(plan))
	}
	// What is missing is being released: the replicas' quota is reserved, two CPUs are spare.
	snapshot.Used["red"], snapshot.Releasing["red"] = model.Resources{CPU: 94}, model.Resources{CPU: 8}
	if plan := MakePlan(testSettings, snapshot); formatPlacements(plan) != "low@a1 " {
		t.Errorf("placed %q, want %q", formatPlacements(plan), "low@a1 ")
	}
}

// A replica may only run in zone b, where another team's work is preempted for it. Until that has exited, the quota
// that is left is the replica's: lower-priority work of its team must not take it on a machine in zone a. Otherwise
// priority would stop that work, and slack would start it again at once.
func TestQuotaIsReservedWhilePreemptionCompletes(t *testing.T) {
	nodeB := newNode("b-1", "b", cpuType, 8)
	addRunning(nodeB, "blue", model.PriorityNormal, nil)
	addRunning(nodeB, "blue", model.PriorityNormal, nil)
	replica := newRequest("wk-replica", 1, func(s *model.Spec) {
		productionService(s)
		s.Zone = "b"
	})
	lower := newRequest("wk-lower", 2, nil)
	snapshot := newSnapshot([]*Node{newNode("a-1", "a", cpuType, 4), nodeB}, replica, lower)
	snapshot.Used["red"] = model.Resources{CPU: 96, MemGB: 96} // of 100
	plan := MakePlan(testSettings, snapshot)
	if len(plan.Preemptions) != 1 || len(plan.Placements) != 0 {
		t.Errorf("preempted %d and placed %q, want 1 preempted and none placed",
			len(plan.Preemptions), formatPlacements(plan))
	}
	// With room there it starts, and nothing else is preempted for it.
	nodeB = newNode("b-1", "b", cpuType, 4)
	addRunning(nodeB, "blue", model.PriorityNormal, nil)
	snapshot = newSnapshot([]*Node{newNode("a-1", "a", cpuType, 4), nodeB}, replica, lower)
	snapshot.Used["red"] = model.Resources{CPU: 96, MemGB: 96}
	want := "wk-replica@b-1 "
	if plan := MakePlan(testSettings, snapshot); len(plan.Preemptions) != 0 || formatPlacements(plan) != want {
		t.Errorf("preempted %d and placed %q, want none preempted and %q placed",
			len(plan.Preemptions), formatPlacements(plan), want)
	}
}
