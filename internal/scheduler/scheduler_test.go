package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

var testSettings = &Settings{IdlePowerFraction: 0.7, PromoteAfter: time.Minute, PromoteLateAfter: 15 * time.Minute, MaxPreemptions: 8, MinRuntime: 30 * time.Second,
	ExpensiveFactor: 2, TightSlack: 30 * time.Second, ImageFirst: true, PreemptForGuarantees: true}

var cpuType = &model.MachineType{Name: "eight", Capacity: model.Resources{CPU: 8, MemGB: 64}, PricePerHour: 1, SpotPricePerHour: 0.3}
var gpuType = &model.MachineType{Name: "gpu", Capacity: model.Resources{CPU: 48, GPU: 4, MemGB: 384}, PricePerHour: 60, SpotPricePerHour: 20}

// newNode makes a machine on which used CPUs are taken.
func newNode(name, zone string, t *model.MachineType, used float64) *Node {
	m := &model.Machine{Name: name, Zone: zone, Type: t, CachedImages: map[string]time.Time{}}
	return &Node{Machine: m, Free: t.Capacity.Sub(model.Resources{CPU: used, MemGB: used})}
}

// newRequest makes tasks of four CPUs that wait.
func newRequest(id string, tasks int, change func(*model.Spec)) *Request {
	s := &model.Spec{ID: id, Team: "red", Shape: model.Array, Priority: model.PriorityNormal, Tasks: tasks, Demand: model.Resources{CPU: 4, MemGB: 4}, Image: "img", AllowSpot: true}
	if change != nil {
		change(s)
	}
	return &Request{Job: model.NewJob(s, time.Unix(0, 0), 1), Count: tasks, MaxTasks: tasks, TasksByZone: map[string]int{}}
}

// addRunning puts an attempt of another job on a node.
func addRunning(nd *Node, team string, rank model.Priority, change func(*PreemptionCandidate)) *model.Attempt {
	a := &model.Attempt{Team: team, Demand: model.Resources{CPU: 4, MemGB: 4}, Machine: nd.Machine}
	v := PreemptionCandidate{Attempt: a, Priority: rank, BeyondGuarantee: true}
	if change != nil {
		change(&v)
	}
	nd.Candidates = append(nd.Candidates, v)
	return a
}

func newSnapshot(nodes []*Node, wants ...*Request) *Snapshot {
	p := &Snapshot{Nodes: nodes, Requests: wants, Used: map[string]model.Resources{}, Releasing: map[string]model.Resources{}, Teams: map[string]*model.Team{}, Zones: []string{"a", "b"}}
	for _, t := range []string{"red", "blue"} {
		p.Teams[t] = &model.Team{Name: t, Guarantee: model.Resources{CPU: 8}, Quota: model.NewQuota(100, 8)}
	}
	return p
}

func placements(plan *Plan) string {
	out := ""
	for _, pl := range plan.Placements {
		out += fmt.Sprintf("%s@%s ", pl.Request.Job.Spec.ID, pl.Node.Machine.Name)
	}
	return out
}

func ids(wants []*Request) string {
	out := ""
	for _, w := range wants {
		out += w.Job.Spec.ID + " "
	}
	return out
}

// A new service of production finds no machine with its image: it goes where the fetch is in time
// for its date, not to the fullest machine, and has lower work make way there.
func TestProductionPrefersNodeThatFetchesImageByDeadline(t *testing.T) {
	in := *testSettings
	in.FetchByDeadline = true
	slow, fast := *cpuType, *cpuType
	slow.FetchGBPerS, fast.FetchGBPerS = 0.3, 0.6
	nodes := func() []*Node { return []*Node{newNode("slow", "a", &slow, 4), newNode("fast", "a", &fast, 0)} }
	service := func(slack time.Duration) *Request {
		w := newRequest("s", 1, func(s *model.Spec) { s.Shape, s.Priority, s.ImageGB = model.Service, model.PriorityProduction, 0.6 })
		w.HasDeadline, w.Slack = slack != 0, slack
		return w
	}
	for slack, want := range map[time.Duration]string{2 * time.Second: "s@fast ", 5 * time.Second: "s@slow ", -1: "s@slow ", 0: "s@slow ", 500 * time.Millisecond: "s@slow "} {
		if got := placements(MakePlan(&in, newSnapshot(nodes(), service(slack)))); got != want {
			t.Errorf("%v left: placed %s, want %s", slack, got, want)
		}
	}
	if got := placements(MakePlan(testSettings, newSnapshot(nodes(), service(2*time.Second)))); got != "s@slow " {
		t.Errorf("off: placed %s", got)
	}
	full := nodes()
	full[1].Free = model.Resources{}
	low := addRunning(full[1], "blue", model.PriorityLow, nil)
	if plan := MakePlan(&in, newSnapshot(full, service(2*time.Second))); len(plan.Placements) != 0 || len(plan.Preemptions) != 1 || plan.Preemptions[0].Attempt != low {
		t.Errorf("the fast one is full: placed %s, stopped %v", placements(plan), plan.Preemptions)
	}
}

// Replicas of a machine that could be emptied onto busier ones move, one at a time and only if all of
// them have room there, with their images, in zones that may take them; two alike don't swap.
func TestDrainMovesReplicasToBusierMachines(t *testing.T) {
	fleet := func(change func(from, to, other *Node)) *model.Attempt {
		p := newSnapshot([]*Node{newNode("from", "a", cpuType, 0), newNode("to", "a", cpuType, 0), newNode("other", "a", cpuType, 0)})
		hold := func(nd *Node, n int) {
			for range n {
				j := model.NewJob(&model.Spec{ID: fmt.Sprintf("%s-%d", nd.Machine.Name, nd.Machine.ActiveCount), Shape: model.Service, Tasks: 1, Demand: model.Resources{CPU: 1, MemGB: 1}, Image: "img"}, time.Unix(0, 0), 1)
				a := &model.Attempt{Task: model.TaskID{Job: j.Spec.ID}, Job: j, Machine: nd.Machine, Demand: j.Spec.Demand, Usage: &model.Usage{}, Phase: model.PhaseRunning, RunningAt: time.Unix(1, 0)}
				a.Transition(model.AttemptPresent)
				j.ActiveAttempts[0] = a
				if nd.Machine.Attempts == nil {
					nd.Machine.Attempts = map[model.AttemptKey]*model.Attempt{}
				}
				nd.Machine.Attempts[model.AttemptKey{Task: a.Task}] = a
				nd.Free = nd.Free.Sub(a.Demand)
			}
			nd.Machine.CachedImages["img"] = time.Unix(1, 0)
		}
		hold(p.Nodes[0], 3)
		hold(p.Nodes[1], 6)
		hold(p.Nodes[2], 7)
		change(p.Nodes[0], p.Nodes[1], p.Nodes[2])
		return Drain(testSettings, longAfterStart, p)
	}
	for what, c := range map[string]struct {
		moves  string
		change func(from, to, other *Node)
	}{
		"all have room":            {"from-0", func(_, _, _ *Node) {}},
		"there is room for two":    {"", func(_, _, other *Node) { other.Free = model.Resources{} }},
		"the image is not there":   {"", func(_, to, _ *Node) { clear(to.Machine.CachedImages) }},
		"the busier one is dearer": {"", func(_, to, _ *Node) { dearer := *cpuType; dearer.PricePerHour = 3; to.Machine.Type = &dearer }},
		"one has only just begun": {"", func(from, _, _ *Node) {
			from.Machine.Attempts[model.AttemptKey{Task: model.TaskID{Job: "from-1"}}].RunningAt = longAfterStart
		}},
		"something else is there": {"", func(from, _, _ *Node) {
			from.Machine.Attempts[model.AttemptKey{Task: model.TaskID{Job: "from-1"}}].Job.Spec.Shape = model.Array
		}},
		"none of the others is busier": {"", func(from, to, other *Node) {
			for _, nd := range []*Node{to, other} {
				nd.Machine.Used = from.Machine.Used
			}
		}},
	} {
		got := ""
		if a := fleet(c.change); a != nil {
			got = a.Task.Job
		}
		if got != c.moves {
			t.Errorf("%s: %q moves, want %q", what, got, c.moves)
		}
	}
}

// A team without a limit is bounded by machines only, and one with a limit on one amount by that alone.
func TestTeamWithoutLimitIsBoundedByMachinesOnly(t *testing.T) {
	for limit, most := range map[model.Quota]int{{}: 80, model.NewQuota(0, 2): 80, model.NewQuota(20, 0): 5} {
		p := newSnapshot(nil, newRequest("x", 90, nil))
		for i := range 40 {
			p.Nodes = append(p.Nodes, newNode(fmt.Sprint("n", i), "a", cpuType, 0))
		}
		p.Teams["red"].Quota = limit
		if plan := MakePlan(testSettings, p); len(plan.Placements) != most || len(plan.Shortages) > 0 && plan.Shortages[0].OverQuota != (most == 5) {
			t.Errorf("limit %v: %d tasks placed, want %d; lacking %+v", limit, len(plan.Placements), most, plan.Shortages)
		}
	}
}

// Much has to be started again: a pass starts a step of it, what goes first first, gangs whole, and
// says that there is more. What lacks room is said of all of its tasks.
func TestPlanIsTruncatedAtMaxStarts(t *testing.T) {
	steps := *testSettings
	steps.MaxStarts = 4
	var nodes []*Node
	for i := range 8 {
		nodes = append(nodes, newNode(fmt.Sprint("n", i), "a", cpuType, 0))
	}
	gang := newRequest("gang", 5, func(s *model.Spec) { s.Shape, s.Priority = model.Gang, model.PriorityHigh })
	arrays := newRequest("array", 9, nil)
	p := newSnapshot(nodes, arrays, gang)
	plan := MakePlan(&steps, p)
	if len(plan.Placements) != 5 || plan.Placements[0].Request != gang || !plan.Truncated || len(plan.Shortages) != 0 {
		t.Fatalf("first pass: %s, more %v, lacking %v", placements(plan), plan.Truncated, plan.Shortages)
	}
	p.Requests = []*Request{arrays}
	if plan = MakePlan(&steps, p); len(plan.Placements) != 4 || !plan.Truncated {
		t.Fatalf("second pass: %s, more %v", placements(plan), plan.Truncated)
	}
	p = newSnapshot(nodes[:1], newRequest("array", 9, nil))
	p.Nodes[0].Free = cpuType.Capacity
	if plan = MakePlan(&steps, p); len(plan.Placements) != 2 || plan.Truncated || plan.Shortages[0].Count != 7 {
		t.Errorf("short of room: %s, more %v, lacking %v", placements(plan), plan.Truncated, plan.Shortages)
	}
}

// A fuller machine does more work per power, up to 1 when it is full.
func TestEfficiencyGrowsWithUtilization(t *testing.T) {
	last := Efficiency(0, 0.7)
	if last != 0 {
		t.Fatalf("an idle machine does no work: got %v", last)
	}
	for _, u := range []float64{0.1, 0.25, 0.5, 0.75, 1} {
		e := Efficiency(u, 0.7)
		if want := u / (0.7 + 0.3*u); math.Abs(e-want) > 1e-12 || e <= last {
			t.Fatalf("u=%v: got %v, want %v and more than %v", u, e, want, last)
		}
		last = e
	}
}

func TestFullestFeasibleMachineIsChosen(t *testing.T) {
	nodes := []*Node{newNode("empty", "a", cpuType, 0), newNode("half", "a", cpuType, 4), newNode("nearly-full", "a", cpuType, 6)}
	if got := placements(MakePlan(testSettings, newSnapshot(nodes, newRequest("x", 2, nil)))); got != "x@half x@empty " {
		t.Errorf("placed %s", got)
	}
}

func TestRequestsAreOrderedBySlackThenAgeThenMissedDeadline(t *testing.T) {
	due := func(id string, slack time.Duration) *Request {
		w := newRequest(id, 1, nil)
		w.HasDeadline, w.Slack = true, slack
		return w
	}
	late, tight, loose := due("late", -1), due("tight", 5*time.Second), due("loose", time.Hour)
	again := due("again", 2*time.Hour)
	again.Restart = true
	young, old, waiting := newRequest("young", 1, nil), newRequest("old", 1, nil), newRequest("waiting", 1, nil)
	young.Waited, old.Waited, waiting.Waited = time.Second, 30*time.Second, 61*time.Second
	sure := due("sure", time.Hour)
	sure.Guaranteed = true
	prod := newRequest("prod", 1, func(s *model.Spec) { s.Priority = model.PriorityProduction })
	wants := []*Request{late, young, loose, old, tight, again, sure, waiting, prod}
	OrderRequests(testSettings, wants)
	if got, want := ids(wants), "prod sure waiting again tight loose old young late "; got != want {
		t.Errorf("order %s, want %s", got, want)
	}
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	gang := func(n int, oneZone bool) *Request {
		return newRequest("g", n, func(s *model.Spec) { s.Shape, s.SingleZone = model.Gang, oneZone })
	}
	nodes := func() []*Node {
		return []*Node{newNode("a1", "a", cpuType, 4), newNode("a2", "a", cpuType, 4), newNode("b1", "b", cpuType, 4)}
	}
	if got := placements(MakePlan(testSettings, newSnapshot(nodes(), gang(4, false)))); got != "" {
		t.Errorf("four tasks in room for three: placed %s", got)
	}
	if got := len(MakePlan(testSettings, newSnapshot(nodes(), gang(3, false))).Placements); got != 3 {
		t.Errorf("three tasks in room for three: placed %d", got)
	}
	if got := placements(MakePlan(testSettings, newSnapshot(nodes(), gang(3, true)))); got != "" {
		t.Errorf("three tasks in one zone with room for two: placed %s", got)
	}
	if got := placements(MakePlan(testSettings, newSnapshot(nodes(), gang(2, true)))); got != "g@a1 g@a2 " {
		t.Errorf("two tasks in one zone: placed %s", got)
	}
}

func TestSpreadServicePlacesAtMostHalfPerZone(t *testing.T) {
	w := newRequest("s", 5, func(s *model.Spec) { s.Shape, s.Spread = model.Service, true })
	plan := MakePlan(testSettings, newSnapshot([]*Node{newNode("a1", "a", cpuType, 0), newNode("a2", "a", cpuType, 0), newNode("a3", "a", cpuType, 0)}, w))
	if len(plan.Placements) != 3 || len(plan.Shortages) != 1 || plan.Shortages[0].Count != 2 {
		t.Errorf("placed %s lacking %v", placements(plan), plan.Shortages)
	}
}

func TestTeamLimitIsNotExceeded(t *testing.T) {
	p := newSnapshot([]*Node{newNode("a1", "a", cpuType, 0), newNode("a2", "a", cpuType, 0)}, newRequest("x", 4, nil))
	p.Used["red"] = model.Resources{CPU: 91}
	plan := MakePlan(testSettings, p)
	if len(plan.Placements) != 2 || p.Used["red"].CPU != 99 {
		t.Errorf("placed %s, used %v of 100", placements(plan), p.Used["red"].CPU)
	}
}

// Guards against two kinds of work that stop each other in turns: production
// goes first in the order, so it would take its place back at once.
func TestProductionIsNotPreemptedForGuarantee(t *testing.T) {
	nd := newNode("a1", "a", cpuType, 8)
	addRunning(nd, "blue", model.PriorityProduction, nil)
	spare := addRunning(nd, "blue", model.PriorityHigh, nil)
	w := newRequest("x", 2, func(s *model.Spec) { s.Priority = model.PriorityLow })
	w.Guaranteed = true
	plan := MakePlan(testSettings, newSnapshot([]*Node{nd}, w))
	if len(plan.Preemptions) != 1 || plan.Preemptions[0].Attempt != spare {
		t.Errorf("stopped %v", plan.Preemptions)
	}
	nd = newNode("a1", "a", cpuType, 8)
	addRunning(nd, "blue", model.PriorityProduction, func(v *PreemptionCandidate) { v.HasDeadline, v.Slack = true, time.Hour })
	s := newRequest("s", 1, func(s *model.Spec) { s.Shape, s.Priority = model.Service, model.PriorityProduction })
	s.Guaranteed, s.HasDeadline, s.Slack = true, true, time.Second
	if plan = MakePlan(testSettings, newSnapshot([]*Node{nd}, s)); len(plan.Preemptions) != 0 {
		t.Errorf("stopped %v for other production", plan.Preemptions)
	}
}

func TestGuaranteedAndOwnTeamWorkIsNotPreempted(t *testing.T) {
	nd := newNode("a1", "a", cpuType, 8)
	addRunning(nd, "blue", model.PriorityNormal, func(v *PreemptionCandidate) { v.BeyondGuarantee = false })
	addRunning(nd, "red", model.PriorityNormal, nil)
	w := newRequest("x", 1, nil)
	w.Guaranteed = true
	if plan := MakePlan(testSettings, newSnapshot([]*Node{nd}, w)); len(plan.Preemptions) != 0 {
		t.Errorf("stopped %v: one is within its team's guarantee, the other of the same team", plan.Preemptions)
	}
}

func TestProductionPreemptsWhereItsImageIsCached(t *testing.T) {
	free, full := newNode("free", "a", cpuType, 0), newNode("full", "a", cpuType, 8)
	full.Machine.CachedImages["img"] = time.Unix(1, 0)
	addRunning(full, "blue", model.PriorityLow, func(v *PreemptionCandidate) { v.CheckpointTime, v.LostWork = 6*time.Second, 25*time.Second })
	least := addRunning(full, "blue", model.PriorityLow, func(v *PreemptionCandidate) { v.LostWork = 20 * time.Second })
	plan := MakePlan(testSettings, newSnapshot([]*Node{free, full}, newRequest("s", 1, func(s *model.Spec) { s.Shape, s.Priority = model.Service, model.PriorityProduction })))
	if len(plan.Placements) != 0 || len(plan.Preemptions) != 1 || plan.Preemptions[0].Attempt != least || !plan.Preemptions[0].Immediate {
		t.Errorf("placed %s, stopped %v (not what loses least, at once)", placements(plan), plan.Preemptions)
	}
}

func TestTightDeadlinePreemptsLowerPriorityWorkOfTeam(t *testing.T) {
	nd := newNode("a1", "a", cpuType, 4)
	low := addRunning(nd, "red", model.PriorityLow, func(v *PreemptionCandidate) { v.CheckpointTime = 6 * time.Second })
	other := addRunning(nd, "blue", model.PriorityLow, func(v *PreemptionCandidate) { v.CheckpointTime = 6 * time.Second })
	w := newRequest("x", 1, nil)
	w.HasDeadline, w.Slack = true, 10*time.Second
	p := newSnapshot([]*Node{nd}, w)
	p.Used["red"] = model.Resources{CPU: 100}
	plan := MakePlan(testSettings, p)
	if len(plan.Preemptions) != 1 || plan.Preemptions[0].Attempt != low || len(plan.Placements) != 0 {
		t.Errorf("stopped %v (other team: %v), placed %s", plan.Preemptions, other, placements(plan))
	}
	p = newSnapshot([]*Node{nd}, w)
	p.Used["red"], p.Releasing["red"] = model.Resources{CPU: 100}, model.Resources{CPU: 4}
	if plan = MakePlan(testSettings, p); len(plan.Preemptions) != 0 {
		t.Errorf("stopped %v although enough is on its way out", plan.Preemptions)
	}
}

func TestTasksWithoutGPUStayOffReservedMachines(t *testing.T) {
	nd := newNode("gpu", "a", gpuType, 0)
	nd.ReservedForGPU = true
	if got := placements(MakePlan(testSettings, newSnapshot([]*Node{nd}, newRequest("x", 1, nil)))); got != "" {
		t.Errorf("placed %s", got)
	}
	g := newRequest("g", 1, func(s *model.Spec) { s.Demand.GPU = 2 })
	if got := placements(MakePlan(testSettings, newSnapshot([]*Node{nd}, g))); got != "g@gpu " {
		t.Errorf("GPU work: placed %s", got)
	}
	only := newRequest("x", 1, nil)
	only.Job.MayUseGPUMachines = true
	if got := placements(MakePlan(testSettings, newSnapshot([]*Node{nd}, only))); got != "x@gpu " {
		t.Errorf("work that no other machine takes: placed %s", got)
	}
}

// longAfterStart is long after everything that runs was started.
var longAfterStart = time.Unix(1000, 0)

func TestLoneReplicaMovesToBusierMachine(t *testing.T) {
	from, to := newNode("b", "a", cpuType, 4), newNode("a", "a", cpuType, 4)
	for _, nd := range []*Node{from, to} {
		nd.Machine.Used, nd.Machine.ActiveCount = model.Resources{CPU: 4, MemGB: 4}, 1
		nd.Machine.CachedImages["img"] = time.Unix(1, 0)
	}
	w := newRequest("s", 2, func(s *model.Spec) { s.Shape = model.Service })
	at := func(nd *Node, i int) *model.Attempt {
		a := &model.Attempt{Task: model.TaskID{Job: "s", Index: i}, Machine: nd.Machine, State: model.AttemptPresent, Phase: model.PhaseRunning}
		w.Job.ActiveAttempts[i] = a
		return a
	}
	stays, moves := at(to, 0), at(from, 1)
	p := newSnapshot([]*Node{from, to})
	if got := Consolidate(testSettings, longAfterStart, p, w.Job); got != moves {
		t.Errorf("moves %v, not the one that is alone on the second machine", got)
	}
	moves.RunningAt = longAfterStart.Add(-time.Second)
	if got := Consolidate(testSettings, longAfterStart, p, w.Job); got != nil {
		t.Error("one that has only just begun is stopped: its start was in vain")
	}
	moves.RunningAt = stays.RunningAt
	w.Job.Spec.Spread = true
	to.Machine.Zone, from.Machine.Zone = "a", "b"
	if got := Consolidate(testSettings, longAfterStart, p, w.Job); got != nil {
		t.Error("both replicas of a spread service would be in one zone")
	}
	w.Job.Spec.Spread = false
	to.Machine.Type = gpuType
	if got := Consolidate(testSettings, longAfterStart, p, w.Job); got != stays {
		t.Errorf("moves %v: to a dearer machine, or not off one", got)
	}
}

func TestReplicaMovesOffExpensiveMachine(t *testing.T) {
	from, to := newNode("gpu", "a", gpuType, 4), newNode("eight", "a", cpuType, 0)
	w := newRequest("s", 1, func(s *model.Spec) { s.Shape = model.Service })
	a := &model.Attempt{Task: model.TaskID{Job: "s"}, Machine: from.Machine, State: model.AttemptPresent, Phase: model.PhaseRunning}
	w.Job.ActiveAttempts[0] = a
	p := newSnapshot([]*Node{from, to})
	if got := Consolidate(testSettings, longAfterStart, p, w.Job); got != nil {
		t.Error("moved to a machine that would have to fetch its image")
	}
	to.Machine.CachedImages["img"] = time.Unix(1, 0)
	p = newSnapshot([]*Node{from, to}) // of another pass: a pass finds out once where images are
	if got := Consolidate(testSettings, longAfterStart, p, w.Job); got != a {
		t.Errorf("moves %v", got)
	}
	to.Free.CPU = 2
	if got := Consolidate(testSettings, longAfterStart, p, w.Job); got != nil {
		t.Error("moved although there is no room")
	}
}

// Guards against a service that waits for its team's limit to have room for all of
// it, while the first part that is made free goes to lower work again and again.
func TestQuotaFreedForServiceIsReserved(t *testing.T) {
	nodes := []*Node{newNode("a1", "a", cpuType, 0), newNode("a2", "a", cpuType, 0)}
	service := newRequest("s", 3, func(s *model.Spec) { s.Shape, s.Priority = model.Service, model.PriorityProduction })
	low := newRequest("low", 5, func(s *model.Spec) { s.Priority, s.Demand = model.PriorityLow, model.Resources{CPU: 2, MemGB: 2} })
	p := newSnapshot(nodes, low, service)
	p.Used["red"] = model.Resources{CPU: 94} // one replica fits under the limit, not three
	if plan := MakePlan(testSettings, p); len(plan.Placements) != 0 {
		t.Errorf("placed %s", placements(plan))
	}
	// What is missing is on its way out: the replica's room is kept, two CPUs are spare.
	p.Used["red"], p.Releasing["red"] = model.Resources{CPU: 94}, model.Resources{CPU: 8}
	if plan := MakePlan(testSettings, p); placements(plan) != "low@a1 " {
		t.Errorf("placed %s", placements(plan))
	}
}

// Guards against two kinds of work that stop each other in turns: rank would stop the one, slack would start
// it again at once. A replica may be in zone b alone, where another team's work makes way for it. Until that
// is gone, what its team's limit leaves is the replica's: lower work of the team does not take it on a
// machine in zone a.
func TestQuotaIsReservedWhilePreemptionCompletes(t *testing.T) {
	a, b := newNode("a-1", "a", cpuType, 4), newNode("b-1", "b", cpuType, 8)
	addRunning(b, "blue", model.PriorityNormal, nil)
	addRunning(b, "blue", model.PriorityNormal, nil)
	replica := newRequest("wk-replica", 1, func(s *model.Spec) {
		s.Shape, s.Priority, s.Zone = model.Service, model.PriorityProduction, "b"
	})
	lower := newRequest("wk-lower", 2, nil)
	p := newSnapshot([]*Node{a, b}, replica, lower)
	p.Used["red"] = model.Resources{CPU: 96, MemGB: 96} // of 100
	plan := MakePlan(testSettings, p)
	if len(plan.Preemptions) != 1 || len(plan.Placements) != 0 {
		t.Errorf("%d are stopped, placed: %s", len(plan.Preemptions), placements(plan))
	}
	// With the room there it starts, and nothing else is stopped for it.
	b = newNode("b-1", "b", cpuType, 4)
	addRunning(b, "blue", model.PriorityNormal, nil)
	p = newSnapshot([]*Node{newNode("a-1", "a", cpuType, 4), b}, replica, lower)
	p.Used["red"] = model.Resources{CPU: 96, MemGB: 96}
	if plan := MakePlan(testSettings, p); len(plan.Preemptions) != 0 || placements(plan) != "wk-replica@b-1 " {
		t.Errorf("%d are stopped, placed: %s", len(plan.Preemptions), placements(plan))
	}
}

func TestWorkAheadInOrderIsNotPreempted(t *testing.T) {
	for _, c := range []struct {
		slack time.Duration
		stops int
	}{{5 * time.Second, 0}, {time.Minute, 1}, {-1, 1}} {
		nd := newNode("a1", "a", cpuType, 8)
		addRunning(nd, "blue", model.PriorityLow, func(v *PreemptionCandidate) { v.BeyondGuarantee, v.HasDeadline, v.Slack = false, true, c.slack })
		w := newRequest("x", 1, nil)
		w.Guaranteed, w.HasDeadline, w.Slack = true, true, 20*time.Second
		if plan := MakePlan(testSettings, newSnapshot([]*Node{nd}, w)); len(plan.Preemptions) != c.stops {
			t.Errorf("slack %v against 20 s: %d stopped, want %d", c.slack, len(plan.Preemptions), c.stops)
		}
	}
}

// Guards against low work that has no date and passes ahead once it has waited: it
// kept a team's work of a higher rank from ever starting in time.
func TestPromotionStaysWithinOwnPriority(t *testing.T) {
	rank := func(id string, r model.Priority, waited time.Duration) *Request {
		w := newRequest(id, 1, func(s *model.Spec) { s.Priority = r })
		w.Waited = waited
		return w
	}
	due := func(w *Request, slack time.Duration) *Request {
		w.HasDeadline, w.Slack = true, slack
		return w
	}
	wants := []*Request{rank("low-long", model.PriorityLow, 2*time.Minute), rank("normal-long", model.PriorityNormal, 2*time.Minute),
		due(rank("normal-tight", model.PriorityNormal, 0), time.Second), due(rank("high-tight", model.PriorityHigh, 0), 0),
		due(rank("low-loose", model.PriorityLow, 0), time.Hour), due(rank("normal-loose", model.PriorityNormal, 0), 2*time.Hour)}
	OrderRequests(testSettings, wants)
	if got, want := ids(wants), "high-tight normal-long normal-tight low-long low-loose normal-loose "; got != want {
		t.Errorf("order %s, want %s", got, want)
	}
}

// Guards against a pass that looks at all that runs, at hundreds of machines, although
// nothing has to make room: what runs on a machine is looked at once, only where room is short, and only if
// the machine is one that the work may use.
func TestCandidatesAreLoadedOnlyWhenCapacityIsShort(t *testing.T) {
	pass := func(tasks int) (looks int, plan *Plan) {
		var nodes []*Node
		for i := range 500 {
			nodes = append(nodes, newNode(fmt.Sprint("m", i), "a", cpuType, 0))
		}
		for i := range 100 { // of which none takes the work
			nodes = append(nodes, newNode(fmt.Sprint("n", i), "b", cpuType, 0))
		}
		var wants []*Request
		for i := range 3 {
			w := newRequest(fmt.Sprint("x", i), tasks, nil)
			w.Guaranteed = true
			w.Job.Spec.Zone = "a"
			wants = append(wants, w)
		}
		p := newSnapshot(nodes, wants...)
		p.Teams["red"].Quota.CPU = model.AtMost(1e6)
		seen := map[*Node]bool{}
		p.LoadCandidates = func(nd *Node) {
			if looks++; seen[nd] || nd.Machine.Zone != "a" {
				t.Errorf("%s is looked at for nothing", nd.Machine.Name)
			}
			seen[nd] = true
		}
		plan = MakePlan(testSettings, p)
		return looks, plan
	}
	if looks, plan := pass(300); looks != 0 || len(plan.Placements) != 900 {
		t.Errorf("room for all: looked %d times, placed %d", looks, len(plan.Placements))
	}
	looks, plan := pass(600)
	if looks != 500 || len(plan.Placements) != 1000 {
		t.Errorf("room for a thousand of 1800: looked %d times, placed %d", looks, len(plan.Placements))
	}
}

// A rank that comes from the jobs behind raises a job among its own team's work and
// what others run beyond their guarantee, and stops nothing inside it.
func TestInheritedPrioritySparesGuaranteesOfOtherTeams(t *testing.T) {
	for _, c := range []struct {
		name  string
		team  string
		over  bool
		own   bool // the rank is the job's own
		stops int
	}{
		{"another team's guaranteed work", "blue", false, false, 0},
		{"the same, but the rank is its own", "blue", false, true, 1},
		{"what another team borrows", "blue", true, false, 1},
		{"lower work of its own team", "red", false, false, 1},
	} {
		nd := newNode("eight", "a", cpuType, 8)
		addRunning(nd, c.team, model.PriorityNormal, func(v *PreemptionCandidate) { v.BeyondGuarantee = c.over })
		w := newRequest("x", 1, func(s *model.Spec) {
			if c.own {
				s.Priority = model.PriorityHigh
			}
		})
		w.Guaranteed, w.HasDeadline, w.Slack, w.Job.EffectivePriority = true, true, 10*time.Second, model.PriorityHigh
		if plan := MakePlan(testSettings, newSnapshot([]*Node{nd}, w)); len(plan.Preemptions) != c.stops {
			t.Errorf("%s: %d stopped", c.name, len(plan.Preemptions))
		}
	}
}

// The queue of machines gives what a look at all of them for each task gives, on pictures
// and wants drawn at random, also where it leaves out what did not fit before.
func TestHeapPlacementMatchesFullScan(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 7))
	types := []*model.MachineType{
		{Name: "a", Capacity: model.Resources{CPU: 4, MemGB: 16}, PricePerHour: 0.17, SpotPricePerHour: 0.05},
		{Name: "b", Capacity: model.Resources{CPU: 48, GPU: 4, MemGB: 384}, PricePerHour: 9.7, SpotPricePerHour: 2.7},
		{Name: "c", Capacity: model.Resources{CPU: 8, MemGB: 64}, PricePerHour: 0.4, SpotPricePerHour: 0.1},
	}
	set := &Settings{IdlePowerFraction: 0.7}
	for round := range 200 {
		one, all := &Snapshot{}, &Snapshot{}
		for i := range 60 {
			m := &model.Machine{Name: fmt.Sprint(i), Zone: []string{"x", "y"}[r.IntN(2)], Spot: r.IntN(3) == 0, Type: types[r.IntN(len(types))], CachedImages: map[string]time.Time{}}
			m.CachedImages[fmt.Sprint("img", r.IntN(3))] = time.Time{}
			free := m.Type.Capacity
			free.CPU -= float64(r.IntN(int(free.CPU)))
			for _, p := range []*Snapshot{one, all} {
				p.Nodes = append(p.Nodes, &Node{Machine: m, Free: free})
			}
		}
		for i := range 12 {
			spec := &model.Spec{ID: fmt.Sprint(i), Shape: model.Array, Tasks: 40, AllowSpot: r.IntN(2) == 0, Image: fmt.Sprint("img", r.IntN(3)),
				Demand: model.Resources{CPU: float64(1 + r.IntN(6)), GPU: float64(r.IntN(8) / 7), MemGB: 2}}
			if r.IntN(4) == 0 {
				spec.Zone = "x"
			}
			n, st := 1+r.IntN(40), nodeFilter{requireImage: r.IntN(3) == 0}
			want := func() *Request {
				return &Request{Job: model.NewJob(spec, time.Time{}, 1), TasksByZone: map[string]int{}}
			}
			got := one.pickNodes(set, want(), n, spec.Zone, st, true)
			var fits []*Node
			w := want()
			for _, nd := range all.Nodes {
				if spec.Demand.Fits(nd.Free) && nd.checkStatic(w.Job, nil, spec.Zone) == Feasible && st.accepts(nd, spec) {
					fits = append(fits, nd)
				}
			}
			ref := all.pickNodesByScan(set, w, n, fits)
			if len(got) != len(ref) {
				t.Fatalf("round %d, want %d: %d placed, %d by looking at all", round, i, len(got), len(ref))
			}
			for k := range got {
				if got[k].Node.Machine != ref[k].Node.Machine || got[k].ImageCached != ref[k].ImageCached || math.Abs(got[k].Efficiency-ref[k].Efficiency) > 1e-9 {
					t.Fatalf("round %d, want %d, task %d: on %s, and on %s by looking at all", round, i, k, got[k].Node.Machine.Name, ref[k].Node.Machine.Name)
				}
			}
		}
	}
}
