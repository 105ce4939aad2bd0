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

// drawn is a picture drawn at random: machines that are nearly full of attempts of every rank and team, and wants of
// which some may have others stopped. Drawn twice from the same values it is the same picture, of other nodes.
type drawn struct {
	machines []*model.Machine
	free     []model.Resources
	freeing  []model.Resources
	victims  [][]Running
	specs    []*model.Spec
	wants    []Want
	teams    map[string]*model.Team
	used     map[string]model.Resources
}

var drawnTypes = []*model.MachineType{
	{Name: "small", Capacity: model.Resources{CPU: 4, MemGB: 16}, FetchGBPerS: 1, PricePerHour: 0.17, SpotPricePerHour: 0.05},
	{Name: "cards", Capacity: model.Resources{CPU: 48, GPU: 4, MemGB: 384}, FetchGBPerS: 0.3, PricePerHour: 9.7, SpotPricePerHour: 2.7},
	{Name: "large", Capacity: model.Resources{CPU: 16, MemGB: 64}, FetchGBPerS: 2, PricePerHour: 0.9, SpotPricePerHour: 0.2},
}

func drawPicture(t *rapid.T) *drawn {
	d := &drawn{teams: map[string]*model.Team{}, used: map[string]model.Resources{}}
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
			Type:         drawnTypes[number(0, 2, "type")],
			CachedImages: map[string]time.Time{fmt.Sprint("img", number(0, 2, "image")): {}},
		}
		free, freeing, victims := m.Type.Capacity, model.Resources{}, []Running(nil)
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
				Running{Attempt: a, Rank: model.Priority(number(1, 4, "rank")), Over: number(0, 1, "over") == 0,
					Loss: time.Duration(
						number(0, 90, "loss"),
					) * time.Second, Save: time.Duration(number(0, 1, "saves")*4) * time.Second, Young: number(0, 3, "young") == 0,
					Due: number(
						0,
						1,
						"due",
					) == 0, Slack: time.Duration(number(-20, 200, "slack")) * time.Second, Gang: number(0, 9, "gang") == 0, Band: number(0, 1, "band")},
			)
		}
		d.machines, d.free = append(d.machines, m), append(d.free, free)
		d.freeing, d.victims = append(d.freeing, freeing), append(d.victims, victims)
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
		d.wants = append(
			d.wants,
			Want{
				Count: s.Tasks,
				Cap:   s.Tasks,
				Due:   number(0, 1, "its due") == 0,
				Slack: time.Duration(number(-20, 200, "its slack")) * time.Second,
				Waited: time.Duration(
					number(0, 100, "waited"),
				) * time.Second,
				Guaranteed: number(0, 1, "guaranteed") == 0,
				Begins:     number(0, 5, "begins") == 0,
				Band:       number(0, 1, "its band"),
			},
		)
	}
	return d
}

// picture makes a picture of what was drawn. At once: all that runs is shown before the pass begins, which is how
// passes looked at everything.
func (d *drawn) picture(atOnce bool) *Picture {
	p := &Picture{Teams: d.teams, Used: map[string]model.Resources{}, Leaving: map[string]model.Resources{}}
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
		w := d.wants[i]
		w.Job, w.Zones = model.NewJob(s, time.Unix(0, 0), 1), map[string]int{}
		p.Wants = append(p.Wants, &w)
	}
	p.Look = func(nd *Node) {
		nd.Victims, nd.Freeing = slices.Clone(d.victims[at[nd]]), d.freeing[at[nd]]
	}
	if atOnce {
		for _, nd := range p.Nodes {
			p.look(nd)
			// Nothing is known in common: each attempt is judged for each want.
			nd.stops = stoppable{any: true, over: true, last: standing{tier: 99}}
		}
	}
	return p
}

// decisions is a plan in words.
func decisions(plan *Plan) string {
	var out []string
	for _, pl := range plan.Place {
		out = append(out, fmt.Sprintf("%s on %s", pl.Want.Job.Spec.ID, pl.Node.Machine.Name))
	}
	for _, s := range plan.Stop {
		out = append(out, fmt.Sprintf("stop %v for %s at once %v", s.Attempt.Task, s.For.Job.Spec.ID, s.AtOnce))
	}
	for _, l := range plan.Lacking {
		out = append(out, fmt.Sprintf("%s lacks %d: %v %v", l.Want.Job.Spec.ID, l.Count, l.Limited, l.Why))
	}
	return fmt.Sprint(out, plan.More)
}

// A pass that looks at what runs on the machines that it weighs, and leaves out those on which nothing may be stopped,
// decides what one decides that looks at everything first.
func TestAPassThatLooksAtWhatItWeighsDecidesTheSame(t *testing.T) {
	set := Settings{
		IdleShare:     0.7,
		MaxPreempt:    6,
		MinRun:        30 * time.Second,
		Dear:          2,
		ImageFirst:    true,
		Tight:         30 * time.Second,
		PreemptWithin: true,
		FetchInTime:   true,
		BeginWithin:   time.Minute,
		Overtake:      time.Minute,
		OvertakeLate:  15 * time.Minute,
	}
	stopped := 0
	rapid.Check(t, func(t *rapid.T) {
		d := drawPicture(t)
		lazy, all := Make(&set, d.picture(false)), Make(&set, d.picture(true))
		if got, want := decisions(lazy), decisions(all); got != want {
			t.Fatalf("decided %s, looking at everything %s", got, want)
		}
		stopped += len(lazy.Stop)
	})
	if stopped == 0 {
		t.Error("no picture had anything stopped")
	}
}

// What is judged by kind of machine is what a look at each machine says.
func TestMachinesAreJudgedByKindAsOneByOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPicture(t).picture(false)
		for _, nd := range p.Nodes {
			nd.ForGPU = nd.Machine.Type.Capacity.GPU > 0 && !nd.Machine.Spot
		}
		for _, w := range p.Wants {
			if rapid.IntRange(0, 2).Draw(t, "failed somewhere") == 0 {
				w.Job.ErrorsByMachine = map[string]int{rapid.SampledFrom(p.Nodes).Draw(t, "where").Machine.Name: 1}
			}
			zone := rapid.SampledFrom([]string{"", "x"}).Draw(t, "in")
			st := stage{
				image: rapid.Bool().Draw(t, "with its image"),
				rate:  rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "rate"),
				fetch: rapid.SampledFrom([]float64{0, 1}).Draw(t, "fetch"),
			}
			usable := p.usable(w, zone, st)
			for _, nd := range p.Nodes {
				if got, want := usable(nd), nd.never(w.Job, nil, zone) == Fits && st.takes(nd, w.Job.Spec); got != want {
					t.Fatalf("%s on %s: %v, one by one %v", w.Job.Spec.ID, nd.Machine.Name, got, want)
				}
			}
		}
	})
}

// The cheapest rate by kind of machine is the cheapest of all machines.
func TestTheCheapestKindIsTheCheapestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPicture(t).picture(false)
		for _, w := range p.Wants {
			least := 0.0
			for _, nd := range p.Nodes {
				if r := rate(nd.Machine); nd.may(w.Job.Spec, nil, "") == Fits && (least == 0 || cmp.Less(r, least)) {
					least = r
				}
			}
			if got := p.dearer(w.Job.Spec, nil, 2); got != 2*least {
				t.Fatalf("%s: %v, of all machines %v", w.Job.Spec.ID, got, 2*least)
			}
		}
	})
}

// Looking through the machines with the image finds the replica to move that a look at all machines for each replica
// finds.
func TestConsolidatingFindsWhatALookAtAllMachinesFinds(t *testing.T) {
	set := Settings{Dear: 2, MinRun: 30 * time.Second}
	now, moves := time.Unix(1000, 0), 0
	rapid.Check(t, func(t *rapid.T) {
		d := drawPicture(t)
		p := d.picture(false)
		for _, w := range p.Wants {
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
			got, want := Consolidate(&set, now, p, j), consolidateByAll(&set, now, p, j)
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

// consolidateByAll is Consolidate with a look at all machines for each replica, as it was.
func consolidateByAll(s *Settings, now time.Time, p *Picture, j *model.Job) *model.Attempt {
	spec := j.Spec
	if spec.Shape != model.Service || len(j.ActiveAttempts) < spec.Tasks || spec.SingleZone && spec.Tasks > 1 {
		return nil
	}
	dear := p.dearer(spec, nil, s.Dear)
	zones := map[string]int{}
	var off, lone []*model.Attempt
	for i := range spec.Tasks {
		a := j.ActiveAttempts[i]
		if a.State != model.AttemptPresent || a.Phase != model.PhaseRunning || now.Sub(a.RunningAt) < s.MinRun {
			return nil
		}
		zones[a.Machine.Zone]++
		if rate(a.Machine) > dear {
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
		return nd.Machine != a.Machine && nd.hasImage(spec) && nd.never(j, nil, "") == Fits && spec.Demand.Fits(nd.Free) &&
			room < zoneCap(spec, nil)
	}
	for _, a := range off {
		for _, nd := range p.Nodes {
			if rate(nd.Machine) <= dear && takes(a, nd) {
				return a
			}
		}
	}
	for _, a := range lone {
		for _, nd := range p.Nodes {
			c := cmp.Or(
				cmp.Compare(share(nd.Machine, nd.Machine.Used), share(a.Machine, a.Machine.Used)),
				cmp.Compare(a.Machine.Name, nd.Machine.Name),
			)
			if c > 0 && rate(nd.Machine) <= rate(a.Machine) && takes(a, nd) {
				return a
			}
		}
	}
	return nil
}
