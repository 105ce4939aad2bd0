package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

var set = &Settings{IdleShare: 0.7, Overtake: time.Minute, OvertakeLate: 15 * time.Minute, MaxPreempt: 8, MinRun: 30 * time.Second,
	Dear: 2, Tight: 30 * time.Second, ImageFirst: true, PreemptWithin: true}

var cheap = &model.MachineType{Name: "eight", Capacity: model.Resources{CPU: 8, MemGB: 64}, PricePerHour: 1, SpotPricePerHour: 0.3}
var dear = &model.MachineType{Name: "gpu", Capacity: model.Resources{CPU: 48, GPU: 4, MemGB: 384}, PricePerHour: 60, SpotPricePerHour: 20}

// node makes a machine on which used CPUs are taken.
func node(name, zone string, t *model.MachineType, used float64) *Node {
	m := &model.Machine{Name: name, Zone: zone, Type: t, CachedImages: map[string]time.Time{}}
	return &Node{Machine: m, Free: t.Capacity.Sub(model.Resources{CPU: used, MemGB: used})}
}

// want makes tasks of four CPUs that wait.
func want(id string, tasks int, change func(*model.Spec)) *Want {
	s := &model.Spec{ID: id, Team: "red", Shape: model.Array, Priority: model.PriorityNormal, Tasks: tasks, Demand: model.Resources{CPU: 4, MemGB: 4}, Image: "img", AllowSpot: true}
	if change != nil {
		change(s)
	}
	return &Want{Job: model.NewJob(s, time.Unix(0, 0), 1), Count: tasks, Cap: tasks, Zones: map[string]int{}}
}

// running puts an attempt of another job on a node.
func running(nd *Node, team string, rank model.Priority, change func(*Running)) *model.Attempt {
	a := &model.Attempt{Team: team, Demand: model.Resources{CPU: 4, MemGB: 4}, Machine: nd.Machine}
	v := Running{Attempt: a, Rank: rank, Over: true}
	if change != nil {
		change(&v)
	}
	nd.Victims = append(nd.Victims, v)
	return a
}

func picture(nodes []*Node, wants ...*Want) *Picture {
	p := &Picture{Nodes: nodes, Wants: wants, Used: map[string]model.Resources{}, Leaving: map[string]model.Resources{}, Teams: map[string]*model.Team{}, Zones: []string{"a", "b"}}
	for _, t := range []string{"red", "blue"} {
		p.Teams[t] = &model.Team{Name: t, Guarantee: model.Resources{CPU: 8}, Quota: model.NewQuota(100, 8)}
	}
	return p
}

func placed(plan *Plan) string {
	out := ""
	for _, pl := range plan.Place {
		out += fmt.Sprintf("%s@%s ", pl.Want.Job.Spec.ID, pl.Node.Machine.Name)
	}
	return out
}

func ids(wants []*Want) string {
	out := ""
	for _, w := range wants {
		out += w.Job.Spec.ID + " "
	}
	return out
}

// A new service of production finds no machine with its image: it goes where the fetch is in time
// for its date, not to the fullest machine, and has lower work make way there.
func TestProductionGoesWhereItsImageIsFetchedInTime(t *testing.T) {
	in := *set
	in.FetchInTime = true
	slow, fast := *cheap, *cheap
	slow.FetchGBPerS, fast.FetchGBPerS = 0.3, 0.6
	nodes := func() []*Node { return []*Node{node("slow", "a", &slow, 4), node("fast", "a", &fast, 0)} }
	service := func(slack time.Duration) *Want {
		w := want("s", 1, func(s *model.Spec) { s.Shape, s.Priority, s.ImageGB = model.Service, model.PriorityProduction, 0.6 })
		w.Due, w.Slack = slack != 0, slack
		return w
	}
	for slack, want := range map[time.Duration]string{2 * time.Second: "s@fast ", 5 * time.Second: "s@slow ", -1: "s@slow ", 0: "s@slow ", 500 * time.Millisecond: "s@slow "} {
		if got := placed(Make(&in, picture(nodes(), service(slack)))); got != want {
			t.Errorf("%v left: placed %s, want %s", slack, got, want)
		}
	}
	if got := placed(Make(set, picture(nodes(), service(2*time.Second)))); got != "s@slow " {
		t.Errorf("off: placed %s", got)
	}
	full := nodes()
	full[1].Free = model.Resources{}
	low := running(full[1], "blue", model.PriorityLow, nil)
	if plan := Make(&in, picture(full, service(2*time.Second))); len(plan.Place) != 0 || len(plan.Stop) != 1 || plan.Stop[0].Attempt != low {
		t.Errorf("the fast one is full: placed %s, stopped %v", placed(plan), plan.Stop)
	}
}

// Replicas of a machine that could be emptied onto busier ones move, one at a time and only if all of
// them have room there, with their images, in zones that may take them; two alike don't swap.
func TestAMachineIsVacatedOntoBusierOnes(t *testing.T) {
	fleet := func(change func(from, to, other *Node)) *model.Attempt {
		p := picture([]*Node{node("from", "a", cheap, 0), node("to", "a", cheap, 0), node("other", "a", cheap, 0)})
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
		return Vacate(set, later, p)
	}
	for what, c := range map[string]struct {
		moves  string
		change func(from, to, other *Node)
	}{
		"all have room":            {"from-0", func(_, _, _ *Node) {}},
		"there is room for two":    {"", func(_, _, other *Node) { other.Free = model.Resources{} }},
		"the image is not there":   {"", func(_, to, _ *Node) { clear(to.Machine.CachedImages) }},
		"the busier one is dearer": {"", func(_, to, _ *Node) { dearer := *cheap; dearer.PricePerHour = 3; to.Machine.Type = &dearer }},
		"one has only just begun": {"", func(from, _, _ *Node) {
			from.Machine.Attempts[model.AttemptKey{Task: model.TaskID{Job: "from-1"}}].RunningAt = later
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
func TestATeamWithoutALimit(t *testing.T) {
	for limit, most := range map[model.Quota]int{{}: 80, model.NewQuota(0, 2): 80, model.NewQuota(20, 0): 5} {
		p := picture(nil, want("x", 90, nil))
		for i := range 40 {
			p.Nodes = append(p.Nodes, node(fmt.Sprint("n", i), "a", cheap, 0))
		}
		p.Teams["red"].Quota = limit
		if plan := Make(set, p); len(plan.Place) != most || len(plan.Lacking) > 0 && plan.Lacking[0].Limited != (most == 5) {
			t.Errorf("limit %v: %d tasks placed, want %d; lacking %+v", limit, len(plan.Place), most, plan.Lacking)
		}
	}
}

// Much has to be started again: a pass starts a step of it, what goes first first, gangs whole, and
// says that there is more. What lacks room is said of all of its tasks.
func TestAPassStartsAStepAtATime(t *testing.T) {
	steps := *set
	steps.StartMost = 4
	var nodes []*Node
	for i := range 8 {
		nodes = append(nodes, node(fmt.Sprint("n", i), "a", cheap, 0))
	}
	gang := want("gang", 5, func(s *model.Spec) { s.Shape, s.Priority = model.Gang, model.PriorityHigh })
	arrays := want("array", 9, nil)
	p := picture(nodes, arrays, gang)
	plan := Make(&steps, p)
	if len(plan.Place) != 5 || plan.Place[0].Want != gang || !plan.More || len(plan.Lacking) != 0 {
		t.Fatalf("first pass: %s, more %v, lacking %v", placed(plan), plan.More, plan.Lacking)
	}
	p.Wants = []*Want{arrays}
	if plan = Make(&steps, p); len(plan.Place) != 4 || !plan.More {
		t.Fatalf("second pass: %s, more %v", placed(plan), plan.More)
	}
	p = picture(nodes[:1], want("array", 9, nil))
	p.Nodes[0].Free = cheap.Capacity
	if plan = Make(&steps, p); len(plan.Place) != 2 || plan.More || plan.Lacking[0].Count != 7 {
		t.Errorf("short of room: %s, more %v, lacking %v", placed(plan), plan.More, plan.Lacking)
	}
}

// A fuller machine does more work per power, up to 1 when it is full.
func TestEfficiencyGrowsWithTheBusyShare(t *testing.T) {
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

func TestTheFullestMachineThatFitsIsChosen(t *testing.T) {
	nodes := []*Node{node("empty", "a", cheap, 0), node("half", "a", cheap, 4), node("nearly-full", "a", cheap, 6)}
	if got := placed(Make(set, picture(nodes, want("x", 2, nil)))); got != "x@half x@empty " {
		t.Errorf("placed %s", got)
	}
}

func TestOrderIsSlackThenAgeThenLate(t *testing.T) {
	due := func(id string, slack time.Duration) *Want {
		w := want(id, 1, nil)
		w.Due, w.Slack = true, slack
		return w
	}
	late, tight, loose := due("late", -1), due("tight", 5*time.Second), due("loose", time.Hour)
	again := due("again", 2*time.Hour)
	again.Restart = true
	young, old, waiting := want("young", 1, nil), want("old", 1, nil), want("waiting", 1, nil)
	young.Waited, old.Waited, waiting.Waited = time.Second, 30*time.Second, 61*time.Second
	sure := due("sure", time.Hour)
	sure.Guaranteed = true
	prod := want("prod", 1, func(s *model.Spec) { s.Priority = model.PriorityProduction })
	wants := []*Want{late, young, loose, old, tight, again, sure, waiting, prod}
	Order(set, wants)
	if got, want := ids(wants), "prod sure waiting again tight loose old young late "; got != want {
		t.Errorf("order %s, want %s", got, want)
	}
}

func TestAGangStartsWholeOrNotAtAll(t *testing.T) {
	gang := func(n int, oneZone bool) *Want {
		return want("g", n, func(s *model.Spec) { s.Shape, s.SingleZone = model.Gang, oneZone })
	}
	nodes := func() []*Node {
		return []*Node{node("a1", "a", cheap, 4), node("a2", "a", cheap, 4), node("b1", "b", cheap, 4)}
	}
	if got := placed(Make(set, picture(nodes(), gang(4, false)))); got != "" {
		t.Errorf("four tasks in room for three: placed %s", got)
	}
	if got := len(Make(set, picture(nodes(), gang(3, false))).Place); got != 3 {
		t.Errorf("three tasks in room for three: placed %d", got)
	}
	if got := placed(Make(set, picture(nodes(), gang(3, true)))); got != "" {
		t.Errorf("three tasks in one zone with room for two: placed %s", got)
	}
	if got := placed(Make(set, picture(nodes(), gang(2, true)))); got != "g@a1 g@a2 " {
		t.Errorf("two tasks in one zone: placed %s", got)
	}
}

func TestASpreadServiceKeepsHalfOutOfEachZone(t *testing.T) {
	w := want("s", 5, func(s *model.Spec) { s.Shape, s.Spread = model.Service, true })
	plan := Make(set, picture([]*Node{node("a1", "a", cheap, 0), node("a2", "a", cheap, 0), node("a3", "a", cheap, 0)}, w))
	if len(plan.Place) != 3 || len(plan.Lacking) != 1 || plan.Lacking[0].Count != 2 {
		t.Errorf("placed %s lacking %v", placed(plan), plan.Lacking)
	}
}

func TestATeamsLimitHolds(t *testing.T) {
	p := picture([]*Node{node("a1", "a", cheap, 0), node("a2", "a", cheap, 0)}, want("x", 4, nil))
	p.Used["red"] = model.Resources{CPU: 91}
	plan := Make(set, p)
	if len(plan.Place) != 2 || p.Used["red"].CPU != 99 {
		t.Errorf("placed %s, used %v of 100", placed(plan), p.Used["red"].CPU)
	}
}

// Guards against two kinds of work that stop each other in turns: production
// goes first in the order, so it would take its place back at once.
func TestProductionIsNotStoppedForAGuarantee(t *testing.T) {
	nd := node("a1", "a", cheap, 8)
	running(nd, "blue", model.PriorityProduction, nil)
	spare := running(nd, "blue", model.PriorityHigh, nil)
	w := want("x", 2, func(s *model.Spec) { s.Priority = model.PriorityLow })
	w.Guaranteed = true
	plan := Make(set, picture([]*Node{nd}, w))
	if len(plan.Stop) != 1 || plan.Stop[0].Attempt != spare {
		t.Errorf("stopped %v", plan.Stop)
	}
	nd = node("a1", "a", cheap, 8)
	running(nd, "blue", model.PriorityProduction, func(v *Running) { v.Due, v.Slack = true, time.Hour })
	s := want("s", 1, func(s *model.Spec) { s.Shape, s.Priority = model.Service, model.PriorityProduction })
	s.Guaranteed, s.Due, s.Slack = true, true, time.Second
	if plan = Make(set, picture([]*Node{nd}, s)); len(plan.Stop) != 0 {
		t.Errorf("stopped %v for other production", plan.Stop)
	}
}

func TestWorkThatNobodyMayStopStays(t *testing.T) {
	nd := node("a1", "a", cheap, 8)
	running(nd, "blue", model.PriorityNormal, func(v *Running) { v.Over = false })
	running(nd, "red", model.PriorityNormal, nil)
	w := want("x", 1, nil)
	w.Guaranteed = true
	if plan := Make(set, picture([]*Node{nd}, w)); len(plan.Stop) != 0 {
		t.Errorf("stopped %v: one is within its team's guarantee, the other of the same team", plan.Stop)
	}
}

func TestProductionMakesRoomWhereItsImageIs(t *testing.T) {
	free, full := node("free", "a", cheap, 0), node("full", "a", cheap, 8)
	full.Machine.CachedImages["img"] = time.Unix(1, 0)
	running(full, "blue", model.PriorityLow, func(v *Running) { v.Save, v.Loss = 6*time.Second, 25*time.Second })
	least := running(full, "blue", model.PriorityLow, func(v *Running) { v.Loss = 20 * time.Second })
	plan := Make(set, picture([]*Node{free, full}, want("s", 1, func(s *model.Spec) { s.Shape, s.Priority = model.Service, model.PriorityProduction })))
	if len(plan.Place) != 0 || len(plan.Stop) != 1 || plan.Stop[0].Attempt != least || !plan.Stop[0].AtOnce {
		t.Errorf("placed %s, stopped %v (not what loses least, at once)", placed(plan), plan.Stop)
	}
}

func TestTightDeadlinesMakeLowerWorkOfTheTeamYield(t *testing.T) {
	nd := node("a1", "a", cheap, 4)
	low := running(nd, "red", model.PriorityLow, func(v *Running) { v.Save = 6 * time.Second })
	other := running(nd, "blue", model.PriorityLow, func(v *Running) { v.Save = 6 * time.Second })
	w := want("x", 1, nil)
	w.Due, w.Slack = true, 10*time.Second
	p := picture([]*Node{nd}, w)
	p.Used["red"] = model.Resources{CPU: 100}
	plan := Make(set, p)
	if len(plan.Stop) != 1 || plan.Stop[0].Attempt != low || len(plan.Place) != 0 {
		t.Errorf("stopped %v (other team: %v), placed %s", plan.Stop, other, placed(plan))
	}
	p = picture([]*Node{nd}, w)
	p.Used["red"], p.Leaving["red"] = model.Resources{CPU: 100}, model.Resources{CPU: 4}
	if plan = Make(set, p); len(plan.Stop) != 0 {
		t.Errorf("stopped %v although enough is on its way out", plan.Stop)
	}
}

func TestSmallTasksStayOffMachinesKeptForGPUWork(t *testing.T) {
	nd := node("gpu", "a", dear, 0)
	nd.ForGPU = true
	if got := placed(Make(set, picture([]*Node{nd}, want("x", 1, nil)))); got != "" {
		t.Errorf("placed %s", got)
	}
	g := want("g", 1, func(s *model.Spec) { s.Demand.GPU = 2 })
	if got := placed(Make(set, picture([]*Node{nd}, g))); got != "g@gpu " {
		t.Errorf("GPU work: placed %s", got)
	}
	only := want("x", 1, nil)
	only.Job.MayUseGPUMachines = true
	if got := placed(Make(set, picture([]*Node{nd}, only))); got != "x@gpu " {
		t.Errorf("work that no other machine takes: placed %s", got)
	}
}

// later is long after everything that runs was started.
var later = time.Unix(1000, 0)

func TestAReplicaThatHasAMachineToItselfMovesToABusierOne(t *testing.T) {
	from, to := node("b", "a", cheap, 4), node("a", "a", cheap, 4)
	for _, nd := range []*Node{from, to} {
		nd.Machine.Used, nd.Machine.ActiveCount = model.Resources{CPU: 4, MemGB: 4}, 1
		nd.Machine.CachedImages["img"] = time.Unix(1, 0)
	}
	w := want("s", 2, func(s *model.Spec) { s.Shape = model.Service })
	at := func(nd *Node, i int) *model.Attempt {
		a := &model.Attempt{Task: model.TaskID{Job: "s", Index: i}, Machine: nd.Machine, State: model.AttemptPresent, Phase: model.PhaseRunning}
		w.Job.ActiveAttempts[i] = a
		return a
	}
	stays, moves := at(to, 0), at(from, 1)
	p := picture([]*Node{from, to})
	if got := Consolidate(set, later, p, w.Job); got != moves {
		t.Errorf("moves %v, not the one that is alone on the second machine", got)
	}
	moves.RunningAt = later.Add(-time.Second)
	if got := Consolidate(set, later, p, w.Job); got != nil {
		t.Error("one that has only just begun is stopped: its start was in vain")
	}
	moves.RunningAt = stays.RunningAt
	w.Job.Spec.Spread = true
	to.Machine.Zone, from.Machine.Zone = "a", "b"
	if got := Consolidate(set, later, p, w.Job); got != nil {
		t.Error("both replicas of a spread service would be in one zone")
	}
	w.Job.Spec.Spread = false
	to.Machine.Type = dear
	if got := Consolidate(set, later, p, w.Job); got != stays {
		t.Errorf("moves %v: to a dearer machine, or not off one", got)
	}
}

func TestAReplicaMovesOffADearMachine(t *testing.T) {
	from, to := node("gpu", "a", dear, 4), node("eight", "a", cheap, 0)
	w := want("s", 1, func(s *model.Spec) { s.Shape = model.Service })
	a := &model.Attempt{Task: model.TaskID{Job: "s"}, Machine: from.Machine, State: model.AttemptPresent, Phase: model.PhaseRunning}
	w.Job.ActiveAttempts[0] = a
	p := picture([]*Node{from, to})
	if got := Consolidate(set, later, p, w.Job); got != nil {
		t.Error("moved to a machine that would have to fetch its image")
	}
	to.Machine.CachedImages["img"] = time.Unix(1, 0)
	p = picture([]*Node{from, to}) // of another pass: a pass finds out once where images are
	if got := Consolidate(set, later, p, w.Job); got != a {
		t.Errorf("moves %v", got)
	}
	to.Free.CPU = 2
	if got := Consolidate(set, later, p, w.Job); got != nil {
		t.Error("moved although there is no room")
	}
}

// Guards against a service that waits for its team's limit to have room for all of
// it, while the first part that is made free goes to lower work again and again.
func TestRoomMadeFreeUnderALimitIsKept(t *testing.T) {
	nodes := []*Node{node("a1", "a", cheap, 0), node("a2", "a", cheap, 0)}
	service := want("s", 3, func(s *model.Spec) { s.Shape, s.Priority = model.Service, model.PriorityProduction })
	low := want("low", 5, func(s *model.Spec) { s.Priority, s.Demand = model.PriorityLow, model.Resources{CPU: 2, MemGB: 2} })
	p := picture(nodes, low, service)
	p.Used["red"] = model.Resources{CPU: 94} // one replica fits under the limit, not three
	if plan := Make(set, p); len(plan.Place) != 0 {
		t.Errorf("placed %s", placed(plan))
	}
	// What is missing is on its way out: the replica's room is kept, two CPUs are spare.
	p.Used["red"], p.Leaving["red"] = model.Resources{CPU: 94}, model.Resources{CPU: 8}
	if plan := Make(set, p); placed(plan) != "low@a1 " {
		t.Errorf("placed %s", placed(plan))
	}
}

// Guards against two kinds of work that stop each other in turns: rank would stop the one, slack would start
// it again at once. A replica may be in zone b alone, where another team's work makes way for it. Until that
// is gone, what its team's limit leaves is the replica's: lower work of the team does not take it on a
// machine in zone a.
func TestTheLimitIsKeptForWhatOthersMakeWayFor(t *testing.T) {
	a, b := node("a-1", "a", cheap, 4), node("b-1", "b", cheap, 8)
	running(b, "blue", model.PriorityNormal, nil)
	running(b, "blue", model.PriorityNormal, nil)
	replica := want("wk-replica", 1, func(s *model.Spec) {
		s.Shape, s.Priority, s.Zone = model.Service, model.PriorityProduction, "b"
	})
	lower := want("wk-lower", 2, nil)
	p := picture([]*Node{a, b}, replica, lower)
	p.Used["red"] = model.Resources{CPU: 96, MemGB: 96} // of 100
	plan := Make(set, p)
	if len(plan.Stop) != 1 || len(plan.Place) != 0 {
		t.Errorf("%d are stopped, placed: %s", len(plan.Stop), placed(plan))
	}
	// With the room there it starts, and nothing else is stopped for it.
	b = node("b-1", "b", cheap, 4)
	running(b, "blue", model.PriorityNormal, nil)
	p = picture([]*Node{node("a-1", "a", cheap, 4), b}, replica, lower)
	p.Used["red"] = model.Resources{CPU: 96, MemGB: 96}
	if plan := Make(set, p); len(plan.Stop) != 0 || placed(plan) != "wk-replica@b-1 " {
		t.Errorf("%d are stopped, placed: %s", len(plan.Stop), placed(plan))
	}
}

func TestWorkThatGoesFirstIsNotStopped(t *testing.T) {
	for _, c := range []struct {
		slack time.Duration
		stops int
	}{{5 * time.Second, 0}, {time.Minute, 1}, {-1, 1}} {
		nd := node("a1", "a", cheap, 8)
		running(nd, "blue", model.PriorityLow, func(v *Running) { v.Over, v.Due, v.Slack = false, true, c.slack })
		w := want("x", 1, nil)
		w.Guaranteed, w.Due, w.Slack = true, true, 20*time.Second
		if plan := Make(set, picture([]*Node{nd}, w)); len(plan.Stop) != c.stops {
			t.Errorf("slack %v against 20 s: %d stopped, want %d", c.slack, len(plan.Stop), c.stops)
		}
	}
}

// Guards against low work that has no date and passes ahead once it has waited: it
// kept a team's work of a higher rank from ever starting in time.
func TestWaitingLongPassesAheadOfTheOwnRankOnly(t *testing.T) {
	rank := func(id string, r model.Priority, waited time.Duration) *Want {
		w := want(id, 1, func(s *model.Spec) { s.Priority = r })
		w.Waited = waited
		return w
	}
	due := func(w *Want, slack time.Duration) *Want {
		w.Due, w.Slack = true, slack
		return w
	}
	wants := []*Want{rank("low-long", model.PriorityLow, 2*time.Minute), rank("normal-long", model.PriorityNormal, 2*time.Minute),
		due(rank("normal-tight", model.PriorityNormal, 0), time.Second), due(rank("high-tight", model.PriorityHigh, 0), 0),
		due(rank("low-loose", model.PriorityLow, 0), time.Hour), due(rank("normal-loose", model.PriorityNormal, 0), 2*time.Hour)}
	Order(set, wants)
	if got, want := ids(wants), "high-tight normal-long normal-tight low-long low-loose normal-loose "; got != want {
		t.Errorf("order %s, want %s", got, want)
	}
}

// Guards against a pass that looks at all that runs, at hundreds of machines, although
// nothing has to make room: what runs on a machine is looked at once, only where room is short, and only if
// the machine is one that the work may use.
func TestWhatRunsIsLookedAtOnlyWhenRoomIsShort(t *testing.T) {
	pass := func(tasks int) (looks int, plan *Plan) {
		var nodes []*Node
		for i := range 500 {
			nodes = append(nodes, node(fmt.Sprint("m", i), "a", cheap, 0))
		}
		for i := range 100 { // of which none takes the work
			nodes = append(nodes, node(fmt.Sprint("n", i), "b", cheap, 0))
		}
		var wants []*Want
		for i := range 3 {
			w := want(fmt.Sprint("x", i), tasks, nil)
			w.Guaranteed = true
			w.Job.Spec.Zone = "a"
			wants = append(wants, w)
		}
		p := picture(nodes, wants...)
		p.Teams["red"].Quota.CPU = model.AtMost(1e6)
		seen := map[*Node]bool{}
		p.Look = func(nd *Node) {
			if looks++; seen[nd] || nd.Machine.Zone != "a" {
				t.Errorf("%s is looked at for nothing", nd.Machine.Name)
			}
			seen[nd] = true
		}
		plan = Make(set, p)
		return looks, plan
	}
	if looks, plan := pass(300); looks != 0 || len(plan.Place) != 900 {
		t.Errorf("room for all: looked %d times, placed %d", looks, len(plan.Place))
	}
	looks, plan := pass(600)
	if looks != 500 || len(plan.Place) != 1000 {
		t.Errorf("room for a thousand of 1800: looked %d times, placed %d", looks, len(plan.Place))
	}
}

// A rank that comes from the jobs behind raises a job among its own team's work and
// what others run beyond their guarantee, and stops nothing inside it.
func TestARankThatWasHandedOnSparesOthersGuarantees(t *testing.T) {
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
		nd := node("eight", "a", cheap, 8)
		running(nd, c.team, model.PriorityNormal, func(v *Running) { v.Over = c.over })
		w := want("x", 1, func(s *model.Spec) {
			if c.own {
				s.Priority = model.PriorityHigh
			}
		})
		w.Guaranteed, w.Due, w.Slack, w.Job.EffectivePriority = true, true, 10*time.Second, model.PriorityHigh
		if plan := Make(set, picture([]*Node{nd}, w)); len(plan.Stop) != c.stops {
			t.Errorf("%s: %d stopped", c.name, len(plan.Stop))
		}
	}
}

// The queue of machines gives what a look at all of them for each task gives, on pictures
// and wants drawn at random, also where it leaves out what did not fit before.
func TestFillingFromAQueueIsTheSameAsLookingAtAll(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 7))
	types := []*model.MachineType{
		{Name: "a", Capacity: model.Resources{CPU: 4, MemGB: 16}, PricePerHour: 0.17, SpotPricePerHour: 0.05},
		{Name: "b", Capacity: model.Resources{CPU: 48, GPU: 4, MemGB: 384}, PricePerHour: 9.7, SpotPricePerHour: 2.7},
		{Name: "c", Capacity: model.Resources{CPU: 8, MemGB: 64}, PricePerHour: 0.4, SpotPricePerHour: 0.1},
	}
	set := &Settings{IdleShare: 0.7}
	for round := range 200 {
		one, all := &Picture{}, &Picture{}
		for i := range 60 {
			m := &model.Machine{Name: fmt.Sprint(i), Zone: []string{"x", "y"}[r.IntN(2)], Spot: r.IntN(3) == 0, Type: types[r.IntN(len(types))], CachedImages: map[string]time.Time{}}
			m.CachedImages[fmt.Sprint("img", r.IntN(3))] = time.Time{}
			free := m.Type.Capacity
			free.CPU -= float64(r.IntN(int(free.CPU)))
			for _, p := range []*Picture{one, all} {
				p.Nodes = append(p.Nodes, &Node{Machine: m, Free: free})
			}
		}
		for i := range 12 {
			spec := &model.Spec{ID: fmt.Sprint(i), Shape: model.Array, Tasks: 40, AllowSpot: r.IntN(2) == 0, Image: fmt.Sprint("img", r.IntN(3)),
				Demand: model.Resources{CPU: float64(1 + r.IntN(6)), GPU: float64(r.IntN(8) / 7), MemGB: 2}}
			if r.IntN(4) == 0 {
				spec.Zone = "x"
			}
			n, st := 1+r.IntN(40), stage{image: r.IntN(3) == 0}
			want := func() *Want { return &Want{Job: model.NewJob(spec, time.Time{}, 1), Zones: map[string]int{}} }
			got := one.fill(set, want(), n, spec.Zone, st, true)
			var fits []*Node
			w := want()
			for _, nd := range all.Nodes {
				if spec.Demand.Fits(nd.Free) && nd.never(w.Job, nil, spec.Zone) == Fits && st.takes(nd, spec) {
					fits = append(fits, nd)
				}
			}
			ref := all.fillBounded(set, w, n, fits)
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
