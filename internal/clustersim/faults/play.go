// Package faults rehearses what the operators fear of machines and members together, on the
// in-memory stand-ins in simulated time: machines that are heard and do not hear, copies of reports
// that come late, members cut off from all but the workers, and members and machines that are back
// at once. One seed draws one run; the rules are checked all along.
package faults

import (
	"cmp"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/glentiller/glentiller/internal/config"
	"github.com/glentiller/glentiller/internal/fake"
	"github.com/glentiller/glentiller/internal/liveness"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

// Result sums up runs; times are in seconds.
type Result struct {
	Runs      int      `json:"runs"`
	Broken    int      `json:"broken_rules"`
	Forgotten int      `json:"forgotten_jobs"`       // about which no question was answered for 75 s after all troubles
	Longest   float64  `json:"longest_unanswered_s"` // after all troubles
	Deaf      float64  `json:"deaf_noticed_s"`       // from when a machine with work or orders hears nothing to when it gets no more; the worst
	Mean      float64  `json:"deaf_noticed_mean_s"`
	DeafOnes  int      `json:"deaf_noticed"`                // machines
	Missed    int      `json:"deaf_not_noticed"`            // of those that were deaf for a lease and longer
	Killed    int      `json:"killed_tasks"`                // by their workers' leases
	Least     float64  `json:"least_served"`                // the least part of a class, team or largest jobs that began
	Begin     float64  `json:"largest_begin_s"`             // the latest beginning of a job of a class's largest quarter
	Gone      float64  `json:"cancelled_gone_s"`            // the longest from that word to the end of the last task
	Waits     float64  `json:"longest_waiting_with_room_s"` // of a job for which a machine had room, after all troubles
	Older     int      `json:"older_answers"`               // answers of a member that say less than one before did
	Asked     int      `json:"questions_answered"`
	Met       Met      `json:"by_meeting,omitempty"`
	What      []string `json:"what,omitempty"` // the first broken rules
}

// Met counts how often two troubles met: at the same time, or within seconds.
type Met map[string]int

// Good tells whether no rule was broken and nothing forgotten.
func (r *Result) Good() bool { return r.Broken == 0 && r.Forgotten == 0 }

func (r *Result) add(o *Result) {
	r.Runs += o.Runs
	r.Broken, r.Forgotten, r.Missed, r.Killed = r.Broken+o.Broken, r.Forgotten+o.Forgotten, r.Missed+o.Missed, r.Killed+o.Killed
	r.Longest, r.Deaf, r.Begin, r.Least, r.Gone = max(r.Longest, o.Longest), max(r.Deaf, o.Deaf), max(r.Begin, o.Begin), min(r.Least, o.Least), max(r.Gone, o.Gone)
	r.Waits, r.Older, r.Asked = max(r.Waits, o.Waits), r.Older+o.Older, r.Asked+o.Asked
	for pair, n := range o.Met {
		if r.Met == nil {
			r.Met = Met{}
		}
		r.Met[pair] += n
	}
	if o.DeafOnes > 0 {
		r.Mean += (o.Mean - r.Mean) * float64(o.DeafOnes) / float64(r.DeafOnes+o.DeafOnes)
		r.DeafOnes += o.DeafOnes
	}
	r.What = append(r.What, o.What[:min(len(o.What), max(0, 5-len(r.What)))]...)
}

// Play draws runs from a seed on and plays them, some at once.
func Play(machines, runs int, seed uint64, atOnce int) *Result {
	return play(runs, seed, atOnce, func(seed uint64) *Result { return one(machines, seed) })
}

func play(runs int, seed uint64, atOnce int, one func(seed uint64) *Result) *Result {
	results := make([]*Result, runs)
	var group errgroup.Group
	group.SetLimit(atOnce)
	for i := range runs {
		group.Go(func() error {
			results[i] = one(seed + uint64(i))
			return nil
		})
	}
	_ = group.Wait()
	sum := &Result{Least: 1}
	for _, r := range results {
		sum.add(r)
	}
	return sum
}

const (
	second   = time.Second
	tick     = 100 * time.Millisecond
	troubled = 150 * second // from the first submissions to the end of all troubles
	after    = 180 * second // and then
	known    = 75 * second
)

// run is one run.
type run struct {
	*rand.Rand
	w       *fake.World
	res     *Result
	plan    []event
	jobs    []*job
	deaf    map[string]time.Time // since when machines hear nothing
	noticed map[string]bool
	atEnd   float64 // the part of the jobs that are cancelled as their last task ends
}

type event struct {
	at time.Time
	do func()
}

type job struct {
	spec         *model.Spec
	at, began    time.Time
	answered     time.Time
	gone, killed bool
	over         bool // its last task has ended
}

func (r *run) in(d time.Duration, do func()) { r.plan = append(r.plan, event{r.w.Now().Add(d), do}) }

func (r *run) some(most time.Duration) time.Duration { return time.Duration(r.Int64N(int64(most) + 1)) }

// world is a deployment of some members, two zones and two teams.
func world(members, machines int) *fake.World {
	p := &config.Platform{Member: "tiller-0"}
	d := &p.Deployment
	d.Zones = []string{"a", "b"}
	d.Workers.Report, d.Workers.Lease, d.Workers.GangWait, d.Workers.GangPeer, d.Workers.Cancel = 2.5, 14, 35, 5, 34
	d.State.ValueKB, d.State.TxnOps, d.Cloud.ListLag = 8, 12, 6
	o := config.Defaults()
	o.Scheduler.StarvationBound = config.Duration(240 * second)
	o.Votes = &config.Votes{Outage: config.Duration(10 * second)}
	set, el := config.ReconcilerSettings(p, o), config.ElectionSettings(p, o)
	cpus := 8 * float64(machines)
	set.Teams = []model.Team{{Name: "red", Guarantee: model.Resources{CPU: cpus / 4}, Quota: model.NewQuota(cpus*3/4, 0)},
		{Name: "blue", Guarantee: model.Resources{CPU: cpus / 4}}}
	w := fake.NewWorld(members, set, el, config.StoreLimits(p), slog.New(slog.NewTextHandler(io.Discard, nil)))
	w.Tick, w.Fetch, w.Boot, w.Capacity, w.Copies = tick, second, 20*second, machines*5/4, 40*machines
	w.Types = []model.MachineType{{Name: "eight", Capacity: model.Resources{CPU: 8, MemGB: 64}, PricePerHour: 1, SpotPricePerHour: 0.3, BootTime: 20 * second, Zones: d.Zones}}
	for i := range machines {
		w.AddMachine(model.MachineInfo{Name: fmt.Sprintf("m-%06d", i), Type: "eight", Zone: d.Zones[i%2]})
	}
	return w
}

// one plays one run.
func one(machines int, seed uint64) *Result {
	r := &run{Rand: rand.New(rand.NewPCG(seed, 1)), w: world(3, machines), res: &Result{Runs: 1, Least: 1}, deaf: map[string]time.Time{}, noticed: map[string]bool{}}
	w := r.w
	w.Runs = func(id model.TaskID) time.Duration { return 5*second + time.Duration(id.Index%7)*5*second }
	w.Pass(8 * second)
	r.draw(machines)
	r.through(troubled, after)
	r.judge()
	return r.res
}

// through plays what is planned, and asks about every job all along.
func (r *run) through(troubled, after time.Duration) {
	w, start := r.w, r.w.Now()
	for now := start; now.Sub(start) < troubled+after; now = w.Now() {
		for i := 0; i < len(r.plan); i++ {
			if e := r.plan[i]; !now.Before(e.at) {
				r.plan = slices.Delete(r.plan, i, i+1)
				i--
				e.do()
			}
		}
		w.Pass(tick)
		r.listen()
		r.ends()
		if now.Sub(start)%(5*second) < tick {
			r.ask(now.Sub(start) > troubled)
		}
		for _, j := range r.jobs {
			if j.began.IsZero() && w.Starts[model.TaskID{Job: j.spec.ID}]+w.Starts[model.TaskID{Job: j.spec.ID, Index: j.spec.Tasks - 1}] > 0 {
				j.began = now
			}
		}
	}
}

// draw plans submissions and troubles.
func (r *run) draw(machines int) {
	w := r.w
	id := 0
	submit := func(shape model.Shape, tasks int, class string) {
		id++
		s := &model.Spec{ID: fmt.Sprintf("wk-%06d", id), Class: class, Team: [...]string{"red", "blue"}[r.IntN(2)], Shape: shape, Priority: model.PriorityNormal, Tasks: tasks,
			Demand: model.Resources{CPU: 4, MemGB: 8}, Image: "img", ImageGB: 1, EstimatedRunTime: 20 * second, AllowSpot: true}
		if shape == model.Service {
			s.Priority, s.Spread = model.PriorityProduction, true
		}
		r.in(r.some(troubled), func() {
			for _, c := range r.Perm(len(w.Controllers)) {
				if ctl := w.Controllers[c]; ctl.Up && w.Submit(ctl, s) == nil {
					r.jobs = append(r.jobs, &job{spec: s, at: w.Now(), answered: w.Now()})
					return
				}
			}
		})
	}
	for range machines / 8 {
		submit(model.Array, 1+r.IntN(max(machines/4, 2)), "arrays")
		submit(model.Service, 2+r.IntN(6), "services")
	}
	for range max(machines/40, 1) {
		submit(model.Gang, 2+r.IntN(8), "gangs")
	}
	for range machines / 20 {
		r.in(r.some(troubled), func() {
			if len(r.jobs) > 0 {
				if j := r.jobs[r.IntN(len(r.jobs))]; !j.gone {
					r.cancel(w.Controllers[r.IntN(3)], j)
				}
			}
		})
	}
	machine := func() *fake.Worker {
		if names := w.Names(); len(names) > 0 {
			return w.Workers[names[r.IntN(len(names))]]
		}
		return nil
	}
	member := func() *fake.Controller { return w.Controllers[r.IntN(len(w.Controllers))] }
	for range 1 + r.IntN(machines/20+1) { // deaf ones, sometimes a good part of a zone
		at, long := r.some(troubled-30*second), 5*second+r.some(40*second)
		r.in(at, func() {
			if k := machine(); k != nil && !k.Deaf {
				k.Deaf, r.deaf[k.Name] = true, w.Now()
				r.in(min(long, troubled-at), func() {
					if k.Deaf = false; !r.noticed[k.Name] && long > w.Lease && w.Workers[k.Name] == k {
						r.res.Missed++
					}
					delete(r.deaf, k.Name)
				})
			}
		})
	}
	for range machines * 2 { // copies, from seconds to well over a lease late
		r.in(r.some(troubled), func() {
			if len(w.Copied) > 0 {
				c := w.Copied[r.IntN(len(w.Copied))]
				r.in(r.some(3*w.Lease), func() { w.Late(member(), c) })
			}
		})
	}
	for range 1 + r.IntN(machines/30+1) { // machines back at once
		r.in(r.some(troubled), func() {
			if k := machine(); k != nil {
				w.Blink(k)
			}
		})
	}
	for range 1 + r.IntN(5) { // members back at once, or after some seconds
		at, back := r.some(troubled-10*second), 50*time.Millisecond+r.some(450*time.Millisecond)
		if r.IntN(3) == 0 {
			back = r.some(8 * second)
		}
		r.in(at, func() {
			if c := member(); c.Up {
				c.Crash()
				r.in(back, c.Start)
			}
		})
	}
	for range 1 + r.IntN(2) { // one that is cut off from all but the workers
		at, long := r.some(troubled/2), 10*second+r.some(40*second)
		r.in(at, func() {
			c := member()
			c.NoNet, c.Alone = true, true
			r.in(long, func() { c.NoNet, c.Alone = false, false })
		})
	}
	if r.IntN(2) == 0 {
		long := 3*second + r.some(12*second)
		r.in(r.some(troubled-20*second), func() {
			w.State.SetDown(true)
			r.in(long, func() { w.State.SetDown(false) })
		})
	}
}

// listen notes when the leader has begun to place nothing more on machines that hear nothing.
func (r *run) listen() {
	l := r.w.Leader()
	if l == nil {
		return
	}
	for name, since := range r.deaf {
		if k := r.w.Workers[name]; !r.noticed[name] && (k == nil || l.Core.Liveness(name) >= liveness.Suspect) {
			r.noticed[name] = true
			took := r.w.Now().Sub(since).Seconds()
			r.res.Deaf = max(r.res.Deaf, took)
			r.res.DeafOnes++
			r.res.Mean += (took - r.res.Mean) / float64(r.res.DeafOnes)
		}
	}
}

// ask asks about every job at some member that is up. The world holds what is told against all that was told before.
func (r *run) ask(counts bool) {
	for _, j := range r.jobs {
		c := r.w.Controllers[r.IntN(len(r.w.Controllers))]
		if c.Up && !c.Frozen {
			if _, err := r.w.Ask(c, j.spec.ID); err == nil {
				j.answered = r.w.Now()
			}
		}
		if silent := r.w.Now().Sub(j.answered); counts && !j.gone {
			r.res.Longest = max(r.res.Longest, silent.Seconds())
			if silent > known && !j.killed {
				j.killed = true
				r.res.Forgotten++
			}
		}
	}
}

// cancel has a job cancelled through a member. Its user asks again until there is an answer.
func (r *run) cancel(c *fake.Controller, j *job) {
	if c.Up && !c.Frozen {
		if v, err := r.w.Cancel(c, j.spec.ID); err == nil {
			j.answered = r.w.Now()
			j.gone = v.State == wire.StateCancelled
			return
		}
	}
	r.in(2*second, func() { r.cancel(r.member(), j) })
}

// judge counts what was served.
func (r *run) judge() {
	groups := map[string][]*job{}
	for _, j := range r.jobs {
		if !j.gone {
			groups[j.spec.Class], groups["team "+j.spec.Team] = append(groups[j.spec.Class], j), append(groups["team "+j.spec.Team], j)
		}
	}
	part := func(jobs []*job) {
		n := 0
		for _, j := range jobs {
			if !j.began.IsZero() {
				n++
			}
		}
		r.res.Least = min(r.res.Least, float64(n)/float64(len(jobs)))
	}
	for _, jobs := range groups {
		part(jobs)
		slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(b.spec.Tasks, a.spec.Tasks) })
		large := jobs[:max(len(jobs)/4, 1)]
		part(large)
		for _, j := range large {
			began := j.began
			if began.IsZero() {
				began = r.w.Now()
			}
			r.res.Begin = max(r.res.Begin, began.Sub(j.at).Seconds())
		}
	}
	r.res.Broken, r.res.What = r.res.Broken+len(r.w.Broken), append(r.res.What, r.w.Broken...)
	r.res.Killed, r.res.Gone = r.w.Killed, r.w.Gone.Seconds()
	r.res.Waits, r.res.Asked = r.w.LongestWait.Seconds(), r.w.Asked
	for _, b := range r.w.Broken {
		if strings.HasPrefix(b, "went_back") || strings.HasPrefix(b, "forgotten") {
			r.res.Older++
		}
	}
}
