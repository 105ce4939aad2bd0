package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/glentiller/glentiller/internal/model"
)

// randomCluster is a picture drawn at random: machines that are nearly full of attempts of every rank and team, and wants of
// which some may have others stopped. Drawn twice from the same values it is the same picture, of other nodes.
type randomCluster struct {
	machines   []*model.Machine
	free       []model.Resources
	releasing  []model.Resources
	candidates [][]PreemptionCandidate
	specs      []*model.Spec
	requests   []Request
	teams      map[string]*model.Team
	used       map[string]model.Resources
}

var randomMachineTypes = []*model.MachineType{
	{Name: "small", Capacity: model.Resources{CPU: 4, MemGB: 16}, FetchGBPerS: 1, PricePerHour: 0.17, SpotPricePerHour: 0.05},
	{Name: "cards", Capacity: model.Resources{CPU: 48, GPU: 4, MemGB: 384}, FetchGBPerS: 0.3, PricePerHour: 9.7, SpotPricePerHour: 2.7},
	{Name: "large", Capacity: model.Resources{CPU: 16, MemGB: 64}, FetchGBPerS: 2, PricePerHour: 0.9, SpotPricePerHour: 0.2},
}

func drawCluster(t *rapid.T) *randomCluster {
	d := &randomCluster{teams: map[string]*model.Team{}, used: map[string]model.Resources{}}
	number := func(from, to int, what string) int { return rapid.IntRange(from, to).Draw(t, what) }
	teams := []string{"red", "blue", "green"}
	for _, name := range teams {
		d.teams[name] = &model.Team{Name: name, Quota: model.NewQuota(float64(number(0, 3, "limit")*40), 0)}
		d.used[name] = model.Resources{CPU: float64(number(0, 60, "used"))}
	}
	for i := range number(1, 30, "machines") {
		m := &model.Machine{
			Name:         fmt.Sprint("m", i),
			Zone:         rapid.SampledFrom([]string{"x", "y"}).Draw(t, "zone"),
			Spot:         number(0, 2, "spot") == 0,
			Type:         randomMachineTypes[number(0, 2, "type")],
			CachedImages: map[string]time.Time{fmt.Sprint("img", number(0, 2, "image")): {}},
		}
		free, freeing, victims := m.Type.Capacity, model.Resources{}, []PreemptionCandidate(nil)
		for k := range number(0, 5, "attempts") {
			need := model.Resources{CPU: float64(number(1, 4, "cpus")), MemGB: 2}
			if !need.Fits(free) {
				continue
			}
			free = free.Sub(need)
			if number(0, 5, "stopping") == 0 {
				freeing = freeing.Add(need)
				continue
			}
			a := &model.Attempt{
				Task:    model.TaskID{Job: fmt.Sprintf("%s-%d", m.Name, k)},
				Team:    rapid.SampledFrom(teams).Draw(t, "team"),
				Demand:  need,
				Machine: m,
			}
			victims = append(
				victims,
				PreemptionCandidate{Attempt: a, Priority: model.Priority(number(1, 4, "rank")), BeyondGuarantee: number(0, 1, "over") == 0,
					LostWork: time.Duration(
						number(0, 90, "loss"),
					) * time.Second, CheckpointTime: time.Duration(number(0, 1, "saves")*4) * time.Second, RecentlyStarted: number(0, 3, "young") == 0,
					HasDeadline: number(
						0,
						1,
						"due",
					) == 0, Slack: time.Duration(number(-20, 200, "slack")) * time.Second, Gang: number(0, 9, "gang") == 0, FairShareBand: number(0, 1, "band")},
			)
		}
		d.machines, d.free = append(d.machines, m), append(d.free, free)
		d.releasing, d.candidates = append(d.releasing, freeing), append(d.candidates, victims)
	}
	for i := range number(1, 8, "wants") {
		s := &model.Spec{
			ID:    fmt.Sprint("wk-", i),
			Team:  rapid.SampledFrom(teams).Draw(t, "owner"),
			Shape: model.Shape(number(1, 3, "shape")),
			Tasks: number(1, 6, "tasks"),
			Priority: model.Priority(
				number(1, 4, "its rank"),
			),
			Demand:    model.Resources{CPU: float64(number(1, 8, "its cpus")), MemGB: 1},
			AllowSpot: number(0, 1, "its spot") == 0,
			Image: fmt.Sprint(
				"img",
				number(0, 2, "its image"),
			),
			ImageGB:    1,
			SingleZone: number(0, 4, "one zone") == 0,
			Spread:     number(0, 5, "spread") == 0,
		}
		d.specs = append(d.specs, s)
		d.requests = append(
			d.requests,
			Request{
				Count:       s.Tasks,
				MaxTasks:    s.Tasks,
				HasDeadline: number(0, 1, "its due") == 0,
				Slack:       time.Duration(number(-20, 200, "its slack")) * time.Second,
				Waited: time.Duration(
					number(0, 100, "waited"),
				) * time.Second,
				Guaranteed:    number(0, 1, "guaranteed") == 0,
				Starving:      number(0, 5, "begins") == 0,
				FairShareBand: number(0, 1, "its band"),
			},
		)
	}
	return d
}

// snapshot makes a picture of what was drawn. At once: all that runs is shown before the pass begins, which is how
// passes looked at everything.
func (d *randomCluster) snapshot(atOnce bool) *Snapshot {
	p := &Snapshot{Teams: d.teams, Used: map[string]model.Resources{}, Releasing: map[string]model.Resources{}}
	for team, used := range d.used {
		p.Used[team] = used
	}
	at := map[*Node]int{}
	for i, m := range d.machines {
		nd := &Node{Machine: m, Free: d.free[i]}
		at[nd] = i
		p.Nodes = append(p.Nodes, nd)
	}
	for i, s := range d.specs {
		w := d.requests[i]
		w.Job, w.TasksByZone = model.NewJob(s, time.Unix(0, 0), 1), map[string]int{}
		p.Requests = append(p.Requests, &w)
	}
	p.LoadCandidates = func(nd *Node) {
		nd.Candidates, nd.Releasing = slices.Clone(d.candidates[at[nd]]), d.releasing[at[nd]]
	}
	if atOnce {
		for _, nd := range p.Nodes {
			p.loadCandidates(nd)
			// Nothing is known in common: each attempt is judged for each want.
			nd.preemptible = preemptibleSummary{nonEmpty: true, anyBeyondGuarantee: true, lastPosition: position{qosClass: 99}}
		}
	}
	return p
}

// describePlan is a plan in words.
func describePlan(plan *Plan) string {
	var out []string
	for _, pl := range plan.Placements {
		out = append(out, fmt.Sprintf("%s on %s", pl.Request.Job.Spec.ID, pl.Node.Machine.Name))
	}
	for _, s := range plan.Preemptions {
		out = append(out, fmt.Sprintf("stop %v for %s at once %v", s.Attempt.Task, s.Preemptor.Job.Spec.ID, s.Immediate))
	}
	for _, l := range plan.Shortages {
		out = append(out, fmt.Sprintf("%s lacks %d: %v %v", l.Request.Job.Spec.ID, l.Count, l.OverQuota, l.Reason))
	}
	return fmt.Sprint(out, plan.Truncated)
}

// A pass that looks at what runs on the machines that it weighs, and leaves out those on which nothing may be stopped,
// decides what one decides that looks at everything first.
func TestLazyCandidateLoadingMatchesEagerLoading(t *testing.T) {
	set := Settings{
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
		PromoteLateAfter:     15 * time.Minute,
	}
	stopped := 0
	rapid.Check(t, func(t *rapid.T) {
		d := drawCluster(t)
		lazy, all := MakePlan(&set, d.snapshot(false)), MakePlan(&set, d.snapshot(true))
		if got, want := describePlan(lazy), describePlan(all); got != want {
			t.Fatalf("decided %s, looking at everything %s", got, want)
		}
		stopped += len(lazy.Preemptions)
	})
	if stopped == 0 {
		t.Error("no picture had anything stopped")
	}
}

// What is judged by kind of machine is what a look at each machine says.
func TestFeasibilityByKindMatchesFeasibilityByNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawCluster(t).snapshot(false)
		for _, nd := range p.Nodes {
			nd.ReservedForGPU = nd.Machine.Type.Capacity.GPU > 0 && !nd.Machine.Spot
		}
		for _, w := range p.Requests {
			if rapid.IntRange(0, 2).Draw(t, "failed somewhere") == 0 {
				w.Job.ErrorsByMachine = map[string]int{rapid.SampledFrom(p.Nodes).Draw(t, "where").Machine.Name: 1}
			}
			zone := rapid.SampledFrom([]string{"", "x"}).Draw(t, "in")
			st := nodeFilter{
				requireImage: rapid.Bool().Draw(t, "with its image"),
				maxPrice:     rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "rate"),
				minFetchRate: rapid.SampledFrom([]float64{0, 1}).Draw(t, "fetch"),
			}
			usable := p.feasibilityFilter(w, zone, st)
			for _, nd := range p.Nodes {
				if got, want := usable(nd), nd.checkStatic(w.Job, nil, zone) == Feasible && st.accepts(nd, w.Job.Spec); got != want {
					t.Fatalf("%s on %s: %v, one by one %v", w.Job.Spec.ID, nd.Machine.Name, got, want)
				}
			}
		}
	})
}

// The cheapest rate by kind of machine is the cheapest of all machines.
func TestExpensivePriceByKindMatchesPriceByNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawCluster(t).snapshot(false)
		for _, w := range p.Requests {
			least := 0.0
			for _, nd := range p.Nodes {
				if r := pricePerCPU(nd.Machine); nd.checkMachine(w.Job.Spec, nil, "") == Feasible && (least == 0 || cmp.Less(r, least)) {
					least = r
				}
			}
			if got := p.expensivePrice(w.Job.Spec, nil, 2); got != 2*least {
				t.Fatalf("%s: %v, of all machines %v", w.Job.Spec.ID, got, 2*least)
			}
		}
	})
}

// Looking through the machines with the image finds the replica to move that a look at all machines for each replica
// finds.
func TestConsolidateMatchesFullScan(t *testing.T) {
	set := Settings{ExpensiveFactor: 2, MinRuntime: 30 * time.Second}
	now, moves := time.Unix(1000, 0), 0
	rapid.Check(t, func(t *rapid.T) {
		d := drawCluster(t)
		p := d.snapshot(false)
		for _, w := range p.Requests {
			j := w.Job
			j.Spec.Shape = model.Service
			for i := range j.Spec.Tasks {
				m := rapid.SampledFrom(d.machines).Draw(t, "on")
				a := &model.Attempt{
					Task:      model.TaskID{Job: j.Spec.ID, Index: i},
					Job:       j,
					Machine:   m,
					Demand:    j.Spec.Demand,
					Usage:     &model.Usage{},
					Phase:     model.PhaseRunning,
					RunningAt: now.Add(-time.Duration(rapid.IntRange(25, 300).Draw(t, "ran")) * time.Second),
				}
				a.Transition(model.AttemptPresent)
				j.ActiveAttempts[i] = a
			}
			got, want := Consolidate(&set, now, p, j), consolidateByFullScan(&set, now, p, j)
			if got != want {
				t.Fatalf("%s: moves %v, looking at all machines %v", j.Spec.ID, got, want)
			}
			if got != nil {
				moves++
			}
		}
	})
	if moves == 0 {
		t.Error("nothing was ever to move")
	}
}

// consolidateByFullScan is Consolidate with a look at all machines for each replica, as it was.
func consolidateByFullScan(s *Settings, now time.Time, p *Snapshot, j *model.Job) *model.Attempt {
	spec := j.Spec
	if spec.Shape != model.Service || len(j.ActiveAttempts) < spec.Tasks || spec.SingleZone && spec.Tasks > 1 {
		return nil
	}
	dear := p.expensivePrice(spec, nil, s.ExpensiveFactor)
	zones := map[string]int{}
	var off, lone []*model.Attempt
	for i := range spec.Tasks {
		a := j.ActiveAttempts[i]
		if a.State != model.AttemptPresent || a.Phase != model.PhaseRunning || now.Sub(a.RunningAt) < s.MinRuntime {
			return nil
		}
		zones[a.Machine.Zone]++
		if pricePerCPU(a.Machine) > dear {
			off = append(off, a)
		} else if a.Machine.ActiveCount == 1 {
			lone = append(lone, a)
		}
	}
	takes := func(a *model.Attempt, nd *Node) bool {
		room := zones[nd.Machine.Zone]
		if nd.Machine.Zone == a.Machine.Zone {
			room--
		}
		return nd.Machine != a.Machine && nd.hasImage(spec) && nd.checkStatic(j, nil, "") == Feasible && spec.Demand.Fits(nd.Free) &&
			room < maxPerZone(spec, nil)
	}
	for _, a := range off {
		for _, nd := range p.Nodes {
			if pricePerCPU(nd.Machine) <= dear && takes(a, nd) {
				return a
			}
		}
	}
	for _, a := range lone {
		for _, nd := range p.Nodes {
			c := cmp.Or(
				cmp.Compare(utilization(nd.Machine, nd.Machine.Used), utilization(a.Machine, a.Machine.Used)),
				cmp.Compare(a.Machine.Name, nd.Machine.Name),
			)
			if c > 0 && pricePerCPU(nd.Machine) <= pricePerCPU(a.Machine) && takes(a, nd) {
				return a
			}
		}
	}
	return nil
}
