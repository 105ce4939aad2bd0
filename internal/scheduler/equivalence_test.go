package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/glentiller/glentiller/internal/model"
)

// The tests in this file compare each optimization with the exhaustive search that it replaces.

// A pass that loads candidates only for the nodes that it considers, and skips nodes on which nothing may be preempted,
// decides the same as a pass that loads the candidates of all nodes first.
func TestLazyCandidateLoadingMatchesEagerLoading(t *testing.T) {
	settings := Settings{
		IdlePowerFraction:    0.7,
		MaxPreemptions:       6,
		MinRuntime:           30 * time.Second,
		ExpensiveFactor:      2,
		ImageFirst:           true,
		TightSlack:           30 * time.Second,
		PreemptForGuarantees: true,
		FetchByDeadline:      true,
		StarvationBound:      time.Minute,
		PromoteAfter:         time.Minute,
		PromoteDeadlineAfter: 15 * time.Minute,
	}
	preempted := 0
	rapid.Check(t, func(t *rapid.T) {
		cluster := drawCluster(t)
		lazy, eager := MakePlan(&settings, cluster.snapshot()), MakePlan(&settings, cluster.loadedSnapshot())
		if got, want := describePlan(lazy), describePlan(eager); got != want {
			t.Fatalf("lazy loading: plan is %s, want %s", got, want)
		}
		preempted += len(lazy.Preemptions)
	})
	if preempted == 0 {
		t.Errorf("preempted %d attempts in all clusters, want at least one", preempted)
	}
}

// The feasibility filter, which decides by machine kind, accepts the same nodes as a check of each node.
func TestFeasibilityByKindMatchesFeasibilityByNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot := drawCluster(t).snapshot()
		for _, node := range snapshot.Nodes {
			node.ReservedForGPU = node.Machine.Type.Capacity.GPU > 0 && !node.Machine.Spot
		}
		for _, request := range snapshot.Requests {
			if oneIn(t, 3, "failed before") {
				failedOn := rapid.SampledFrom(snapshot.Nodes).Draw(t, "failed on").Machine.Name
				request.Job.ErrorsByMachine = map[string]int{failedOn: 1}
			}
			zone := rapid.SampledFrom([]string{"", "x"}).Draw(t, "in zone")
			filter := nodeFilter{
				requireImage: rapid.Bool().Draw(t, "require image"),
				maxPrice:     rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "max price"),
				minFetchRate: rapid.SampledFrom([]float64{0, 1}).Draw(t, "min fetch rate"),
			}
			feasible := snapshot.feasibilityFilter(request, zone, filter)
			for _, node := range snapshot.Nodes {
				static := node.checkStatic(request.Job, nil, zone)
				want := static == Feasible && filter.accepts(node, request.Job.Spec)
				if got := feasible(node); got != want {
					t.Fatalf("%s on %s: feasible %v by machine kind, want %v",
						request.Job.Spec.ID, node.Machine.Name, got, want)
				}
			}
		}
	})
}

// The price limit that is computed from one node of each machine kind equals the limit computed from all nodes.
func TestExpensivePriceByKindMatchesPriceByNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot := drawCluster(t).snapshot()
		for _, request := range snapshot.Requests {
			lowest := 0.0
			for _, node := range snapshot.Nodes {
				price := pricePerCPU(node.Machine)
				feasible := node.checkMachine(request.Job.Spec, nil, "") == Feasible
				if feasible && (lowest == 0 || cmp.Less(price, lowest)) {
					lowest = price
				}
			}
			if got, want := snapshot.expensivePrice(request.Job.Spec, nil, 2), 2*lowest; got != want {
				t.Fatalf("%s: price limit %v by machine kind, want %v", request.Job.Spec.ID, got, want)
			}
		}
	})
}

// Consolidate, which searches only the nodes that hold the image, chooses the same replica as a scan of all nodes for
// each replica.
func TestConsolidateMatchesFullScan(t *testing.T) {
	settings := Settings{ExpensiveFactor: 2, MinRuntime: 30 * time.Second}
	now, moves := time.Unix(1000, 0), 0
	rapid.Check(t, func(t *rapid.T) {
		cluster := drawCluster(t)
		snapshot := cluster.snapshot()
		for _, request := range snapshot.Requests {
			job := request.Job
			job.Spec.Shape = model.Service
			for i := range job.Spec.Tasks {
				attempt := &model.Attempt{
					Task:      model.TaskID{Job: job.Spec.ID, Index: i},
					Job:       job,
					Machine:   rapid.SampledFrom(cluster.machines).Draw(t, "machine").machine,
					Demand:    job.Spec.Demand,
					Usage:     &model.Usage{},
					Phase:     model.PhaseRunning,
					RunningAt: now.Add(-drawSeconds(t, 25, 300, "run time")),
				}
				attempt.Transition(model.AttemptPresent)
				job.ActiveAttempts[i] = attempt
			}
			got := Consolidate(&settings, now, snapshot, job)
			if want := consolidateByFullScan(&settings, now, snapshot, job); got != want {
				t.Fatalf("%s: moved %v, want %v", job.Spec.ID, got, want)
			}
			if got != nil {
				moves++
			}
		}
	})
	if moves == 0 {
		t.Errorf("moved %d replicas in all clusters, want at least one", moves)
	}
}

// consolidateByFullScan is the reference implementation of Consolidate. It supports only jobs without constraints and
// scans all nodes for each replica.
func consolidateByFullScan(settings *Settings, now time.Time, snapshot *Snapshot, job *model.Job) *model.Attempt {
	spec := job.Spec
	if spec.Shape != model.Service || len(job.ActiveAttempts) < spec.Tasks || spec.SingleZone && spec.Tasks > 1 {
		return nil
	}
	maxPrice := snapshot.expensivePrice(spec, nil, settings.ExpensiveFactor)
	tasksByZone := map[string]int{}
	var expensive, alone []*model.Attempt
	for i := range spec.Tasks {
		a := job.ActiveAttempts[i]
		if a.State != model.AttemptPresent || a.Phase != model.PhaseRunning ||
			now.Sub(a.RunningAt) < settings.MinRuntime {
			return nil
		}
		tasksByZone[a.Machine.Zone]++
		if pricePerCPU(a.Machine) > maxPrice {
			expensive = append(expensive, a)
		} else if a.Machine.ActiveCount == 1 {
			alone = append(alone, a)
		}
	}
	canMove := func(a *model.Attempt, node *Node) bool {
		others := tasksByZone[node.Machine.Zone]
		if node.Machine.Zone == a.Machine.Zone {
			others--
		}
		return node.Machine != a.Machine && node.hasImage(spec) && node.checkStatic(job, nil, "") == Feasible &&
			spec.Demand.Fits(node.Free) && others < maxPerZone(spec, nil)
	}
	for _, a := range expensive {
		for _, node := range snapshot.Nodes {
			if pricePerCPU(node.Machine) <= maxPrice && canMove(a, node) {
				return a
			}
		}
	}
	for _, a := range alone {
		for _, node := range snapshot.Nodes {
			byUtilization := cmp.Or(
				cmp.Compare(utilization(node.Machine, node.Machine.Used), utilization(a.Machine, a.Machine.Used)),
				cmp.Compare(a.Machine.Name, node.Machine.Name),
			)
			if byUtilization > 0 && pricePerCPU(node.Machine) <= pricePerCPU(a.Machine) && canMove(a, node) {
				return a
			}
		}
	}
	return nil
}

// nodePairs draws two equal lists of n nodes. Nodes at the same index share a machine.
func nodePairs(r *rand.Rand, n int) (first, second []*Node) {
	types := []*model.MachineType{
		{Name: "a", Capacity: model.Resources{CPU: 4, MemGB: 16}, PricePerHour: 0.17, SpotPricePerHour: 0.05},
		{
			Name:             "b",
			Capacity:         model.Resources{CPU: 48, GPU: 4, MemGB: 384},
			PricePerHour:     9.7,
			SpotPricePerHour: 2.7,
		},
		{Name: "c", Capacity: model.Resources{CPU: 8, MemGB: 64}, PricePerHour: 0.4, SpotPricePerHour: 0.1},
	}
	for i := range n {
		machine := &model.Machine{
			Name:         fmt.Sprint(i),
			Zone:         []string{"x", "y"}[r.IntN(2)],
			Spot:         r.IntN(3) == 0,
			Type:         types[r.IntN(len(types))],
			CachedImages: map[string]time.Time{fmt.Sprint("img", r.IntN(3)): {}},
		}
		free := machine.Type.Capacity
		free.CPU -= float64(r.IntN(int(free.CPU)))
		first = append(first, &Node{Machine: machine, Free: free})
		second = append(second, &Node{Machine: machine, Free: free})
	}
	return first, second
}

// pickNodes, which uses a heap and the no-fit cache, places tasks on the same nodes as a scan of all nodes for each
// task.
func TestHeapPlacementMatchesFullScan(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 7))
	settings := &Settings{IdlePowerFraction: 0.7}
	for round := range 200 {
		byHeap, byScan := &Snapshot{}, &Snapshot{}
		byHeap.Nodes, byScan.Nodes = nodePairs(r, 60)
		for i := range 12 {
			spec := &model.Spec{
				ID:        fmt.Sprint(i),
				Shape:     model.Array,
				Tasks:     40,
				AllowSpot: r.IntN(2) == 0,
				Image:     fmt.Sprint("img", r.IntN(3)),
				Demand:    model.Resources{CPU: float64(1 + r.IntN(6)), GPU: float64(r.IntN(8) / 7), MemGB: 2},
			}
			if r.IntN(4) == 0 {
				spec.Zone = "x"
			}
			n, filter := 1+r.IntN(40), nodeFilter{requireImage: r.IntN(3) == 0}
			newRequest := func() *Request {
				return &Request{Job: model.NewJob(spec, time.Time{}, 1), TasksByZone: map[string]int{}}
			}
			got := byHeap.pickNodes(settings, newRequest(), n, spec.Zone, filter, true)
			request := newRequest()
			var nodes []*Node
			for _, node := range byScan.Nodes {
				static := node.checkStatic(request.Job, nil, spec.Zone)
				if spec.Demand.Fits(node.Free) && static == Feasible && filter.accepts(node, spec) {
					nodes = append(nodes, node)
				}
			}
			want := byScan.pickNodesByScan(settings, request, n, nodes)
			if len(got) != len(want) {
				t.Fatalf("round %d, request %d: placed %d tasks, want %d", round, i, len(got), len(want))
			}
			for k := range got {
				if got[k].Node.Machine != want[k].Node.Machine || got[k].ImageCached != want[k].ImageCached ||
					math.Abs(got[k].Efficiency-want[k].Efficiency) > 1e-9 {
					t.Fatalf("round %d, request %d, task %d: on %s, want %s",
						round, i, k, got[k].Node.Machine.Name, want[k].Node.Machine.Name)
				}
			}
		}
	}
}
