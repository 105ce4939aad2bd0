package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// A team without a quota is limited only by the machines. A team with a quota for one resource is limited by that
// resource alone.
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
			t.Errorf("quota %v: placed %d tasks with shortages %+v, want %d tasks and over quota %v",
				quota, len(plan.Placements), plan.Shortages, want, overQuota)
		}
	}
}

func TestTeamQuotaIsNotExceeded(t *testing.T) {
	snapshot := newSnapshot(newNodes("a1", "a2"), newRequest("x", 4, nil))
	snapshot.Used["red"] = model.Resources{CPU: 91}
	plan := MakePlan(testSettings, snapshot)
	if len(plan.Placements) != 2 || snapshot.Used["red"].CPU != 99 {
		t.Errorf("placed %q, used %v of 100 CPUs; want 2 tasks placed and 99 CPUs used",
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
		t.Errorf("preempted %v and placed %q, want %v preempted (not %v of the other team) and none placed",
			plan.Preemptions, formatPlacements(plan), low, other)
	}
	snapshot = newSnapshot([]*Node{node}, request)
	snapshot.Used["red"], snapshot.Releasing["red"] = model.Resources{CPU: 100}, model.Resources{CPU: 4}
	if plan = MakePlan(testSettings, snapshot); len(plan.Preemptions) != 0 {
		t.Errorf("preempted %v although enough quota is being released, want none", plan.Preemptions)
	}
}

// While a service waits until the quota allows all of its replicas, lower-priority work must not repeatedly take the
// quota that has been freed so far.
func TestQuotaFreedForServiceIsReserved(t *testing.T) {
	service := newRequest("s", 3, productionService)
	low := newRequest("low", 5, func(s *model.Spec) {
		s.Priority, s.Demand = model.PriorityLow, model.Resources{CPU: 2, MemGB: 2}
	})
	snapshot := newSnapshot(newNodes("a1", "a2"), low, service)
	snapshot.Used["red"] = model.Resources{CPU: 94} // the quota allows one replica, not three
	if plan := MakePlan(testSettings, snapshot); len(plan.Placements) != 0 {
		t.Errorf("placed %q, want none", formatPlacements(plan))
	}
	// The missing quota is being released, so the replicas' quota is reserved and two CPUs of quota remain.
	snapshot.Used["red"], snapshot.Releasing["red"] = model.Resources{CPU: 94}, model.Resources{CPU: 8}
	if plan := MakePlan(testSettings, snapshot); formatPlacements(plan) != "low@a1 " {
		t.Errorf("placed %q, want %q", formatPlacements(plan), "low@a1 ")
	}
}

// A replica may only run in zone b, where another team's work is preempted for it. Until that work has exited, the
// remaining quota is reserved for the replica. Without the reservation, lower-priority work of the replica's team
// takes the quota on a machine in zone a. The replica then preempts that work because of its priority, and the work
// is started again at once because of its slack.
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
		t.Errorf("preempted %d attempts and placed %q, want 1 preempted and none placed",
			len(plan.Preemptions), formatPlacements(plan))
	}
	// If zone b has capacity, the replica starts and nothing is preempted for it.
	nodeB = newNode("b-1", "b", cpuType, 4)
	addRunning(nodeB, "blue", model.PriorityNormal, nil)
	snapshot = newSnapshot([]*Node{newNode("a-1", "a", cpuType, 4), nodeB}, replica, lower)
	snapshot.Used["red"] = model.Resources{CPU: 96, MemGB: 96}
	want := "wk-replica@b-1 "
	if plan := MakePlan(testSettings, snapshot); len(plan.Preemptions) != 0 || formatPlacements(plan) != want {
		t.Errorf("preempted %d attempts and placed %q, want none preempted and %q placed",
			len(plan.Preemptions), formatPlacements(plan), want)
	}
}
