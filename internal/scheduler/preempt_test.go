package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// A request within its guarantee must not preempt production. Production comes first in the order, so it would be
// placed again at once and the two would preempt each other in turns.
func TestProductionIsNotPreemptedForGuarantee(t *testing.T) {
	node := newNode("a1", "a", cpuType, 8)
	addRunning(node, "blue", model.PriorityProduction, nil)
	beyondGuarantee := addRunning(node, "blue", model.PriorityHigh, nil)
	request := newRequest("x", 2, func(s *model.Spec) { s.Priority = model.PriorityLow })
	request.Guaranteed = true
	plan := makeTestPlan([]*Node{node}, request)
	if len(plan.Preemptions) != 1 || plan.Preemptions[0].Attempt != beyondGuarantee {
		t.Errorf("preempted %v, want only %v", plan.Preemptions, beyondGuarantee)
	}
	node = newNode("a1", "a", cpuType, 8)
	addRunning(node, "blue", model.PriorityProduction, func(c *PreemptionCandidate) {
		c.HasDeadline, c.Slack = true, time.Hour
	})
	service := newRequest("s", 1, productionService)
	service.Guaranteed, service.HasDeadline, service.Slack = true, true, time.Second
	if plan = makeTestPlan([]*Node{node}, service); len(plan.Preemptions) != 0 {
		t.Errorf("preempted %v for another production service, want none", plan.Preemptions)
	}
}

func TestGuaranteedAndOwnTeamWorkIsNotPreempted(t *testing.T) {
	node := newNode("a1", "a", cpuType, 8)
	addRunning(node, "blue", model.PriorityNormal, func(c *PreemptionCandidate) { c.BeyondGuarantee = false })
	addRunning(node, "red", model.PriorityNormal, nil)
	request := newRequest("x", 1, nil)
	request.Guaranteed = true
	if plan := makeTestPlan([]*Node{node}, request); len(plan.Preemptions) != 0 {
		t.Errorf("preempted %v, want none: one attempt is within its team's guarantee, the other is of the same team",
			plan.Preemptions)
	}
}

func TestProductionPreemptsWhereItsImageIsCached(t *testing.T) {
	free, full := newNode("free", "a", cpuType, 0), newNode("full", "a", cpuType, 8)
	full.Machine.CachedImages["img"] = time.Unix(1, 0)
	addRunning(full, "blue", model.PriorityLow, func(c *PreemptionCandidate) {
		c.CheckpointTime, c.LostWork = 6*time.Second, 25*time.Second
	})
	least := addRunning(full, "blue", model.PriorityLow, func(c *PreemptionCandidate) { c.LostWork = 20 * time.Second })
	plan := makeTestPlan([]*Node{free, full}, newRequest("s", 1, productionService))
	if len(plan.Placements) != 0 || len(plan.Preemptions) != 1 ||
		plan.Preemptions[0].Attempt != least || !plan.Preemptions[0].Immediate {
		t.Errorf("placed %q and preempted %v, want none placed and the cheapest attempt preempted immediately: %v",
			formatPlacements(plan), plan.Preemptions, least)
	}
}

func TestWorkAheadInOrderIsNotPreempted(t *testing.T) {
	for _, c := range []struct {
		name  string
		slack time.Duration
		want  int
	}{
		{"less slack than the request", 5 * time.Second, 0},
		{"more slack than the request", time.Minute, 1},
		{"deadline missed", -1, 1},
	} {
		node := newNode("a1", "a", cpuType, 8)
		addRunning(node, "blue", model.PriorityLow, func(candidate *PreemptionCandidate) {
			candidate.BeyondGuarantee, candidate.HasDeadline, candidate.Slack = false, true, c.slack
		})
		request := newDeadlineRequest("x", 20*time.Second)
		request.Guaranteed = true
		if plan := makeTestPlan([]*Node{node}, request); len(plan.Preemptions) != c.want {
			t.Errorf("%s: preempted %d, want %d", c.name, len(plan.Preemptions), c.want)
		}
	}
}

// The candidates of a node are loaded at most once, only if capacity is short, and only if the request may use the
// node.
func TestCandidatesAreLoadedOnlyWhenCapacityIsShort(t *testing.T) {
	runPass := func(tasks int) (loads int, plan *Plan) {
		var nodes []*Node
		for i := range 500 {
			nodes = append(nodes, newNode(fmt.Sprint("m", i), "a", cpuType, 0))
		}
		for i := range 100 { // no request may use these nodes
			nodes = append(nodes, newNode(fmt.Sprint("n", i), "b", cpuType, 0))
		}
		var requests []*Request
		for i := range 3 {
			request := newRequest(fmt.Sprint("x", i), tasks, nil)
			request.Guaranteed = true
			request.Job.Spec.Zone = "a"
			requests = append(requests, request)
		}
		snapshot := newSnapshot(nodes, requests...)
		snapshot.Teams["red"].Quota.CPU = model.NewBound(1e6)
		loaded := map[*Node]bool{}
		snapshot.LoadCandidates = func(node *Node) {
			if loads++; loaded[node] || node.Machine.Zone != "a" {
				t.Errorf("candidates of %s were loaded, want no load (loaded before: %v)",
					node.Machine.Name, loaded[node])
			}
			loaded[node] = true
		}
		plan = MakePlan(testSettings, snapshot)
		return loads, plan
	}
	if loads, plan := runPass(300); loads != 0 || len(plan.Placements) != 900 {
		t.Errorf("capacity for all: loaded %d nodes and placed %d tasks, want 0 and 900", loads, len(plan.Placements))
	}
	loads, plan := runPass(600)
	if loads != 500 || len(plan.Placements) != 1000 {
		t.Errorf("capacity for 1000 of 1800: loaded %d nodes and placed %d tasks, want 500 and 1000",
			loads, len(plan.Placements))
	}
}

// A priority inherited from dependent jobs raises a job above work of its own team and above work that other teams
// run beyond their guarantees. It must not preempt work within other teams' guarantees.
func TestInheritedPrioritySparesGuaranteesOfOtherTeams(t *testing.T) {
	for _, c := range []struct {
		name            string
		team            string
		beyondGuarantee bool
		ownPriority     bool // the job has the priority itself, not only from dependent jobs
		want            int
	}{
		{"guaranteed work of another team", "blue", false, false, 0},
		{"guaranteed work of another team, and own priority", "blue", false, true, 1},
		{"work of another team beyond its guarantee", "blue", true, false, 1},
		{"lower-priority work of its own team", "red", false, false, 1},
	} {
		node := newNode("eight", "a", cpuType, 8)
		addRunning(node, c.team, model.PriorityNormal, func(candidate *PreemptionCandidate) {
			candidate.BeyondGuarantee = c.beyondGuarantee
		})
		request := newDeadlineRequest("x", 10*time.Second)
		request.Guaranteed, request.Job.EffectivePriority = true, model.PriorityHigh
		if c.ownPriority {
			request.Job.Spec.Priority = model.PriorityHigh
		}
		if plan := makeTestPlan([]*Node{node}, request); len(plan.Preemptions) != c.want {
			t.Errorf("%s: preempted %d, want %d", c.name, len(plan.Preemptions), c.want)
		}
	}
}
