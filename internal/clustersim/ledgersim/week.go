// Package ledgersim rehearses the ledger: it plays a week of synthetic submissions in
// simulated time on the in-memory stand-ins, with leaders and all controllers killed,
// outages of the state service, late transactions, lost answers, a controller of a version
// without a ledger and clocks that jump, and compares the ledger with the account that the
// stand-ins keep by themselves. One seed plays one week.
package ledgersim

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/glentiller/glentiller/internal/config"
	"github.com/glentiller/glentiller/internal/fake"
	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/rpc"
	"github.com/glentiller/glentiller/internal/store"
)

// Sides are the ledger and the stand-ins' account, in CPU-, GPU- and GB-microseconds.
type Sides struct {
	LedgerCPU  uint64 `json:"ledger_cpu_us"`
	RuntimeCPU uint64 `json:"runtime_cpu_us"`
	LedgerGPU  uint64 `json:"ledger_gpu_us"`
	RuntimeGPU uint64 `json:"runtime_gpu_us"`
	LedgerMem  uint64 `json:"ledger_gb_us"`
	RuntimeMem uint64 `json:"runtime_gb_us"`
}

// Team compares one team's ledger with the stand-ins' account.
type Team struct {
	Team string `json:"team"`
	Sides
	Starts uint64 `json:"starts"`
}

// Result is what a week has shown.
type Result struct {
	Days int    `json:"days"`
	Seed uint64 `json:"seed"`
	Sides
	Teams []Team `json:"teams"`

	ChargedTwice uint64 `json:"charged_twice"` // microseconds by which any amount in the ledger is too large
	Lost         uint64 `json:"lost"`          // and too small

	// PhysicalCPU is the CPU time that tasks ran on the stand-in workers, seen or not,
	// settled or not.
	PhysicalCPU uint64 `json:"physical_cpu_us"`

	Jobs       int     `json:"jobs"`
	Tasks      int     `json:"tasks"`
	Takeovers  int     `json:"takeovers"`
	AllKilled  int     `json:"all_killed"`
	Outages    int     `json:"outages"`
	Late       int     `json:"late_transactions"`
	Unanswered int     `json:"unanswered_transactions"`
	ClockJumps int     `json:"clock_jumps"`
	OldLed     int     `json:"takeovers_without_ledger"`
	Stretches  int     `json:"stretches_not_accounted"`
	Settled    int     `json:"settlements"`
	Pages      int     `json:"pages"`
	Folded     int     `json:"pages_folded"`
	Share      float64 `json:"share_of_changes_possible"` // of what the state service takes
	Broken     string  `json:"broken,omitempty"`          // what else does not hold
}

// Good tells whether the ledger agrees with the account, and nothing else is broken.
func (r *Result) Good() bool { return r.ChargedTwice == 0 && r.Lost == 0 && r.Broken == "" }

// week is a week that is being played.
type week struct {
	w     *fake.World
	rand  *rand.Rand // of the plan and of what people do
	fates *rand.Rand // of transactions, whose number differs from play to play
	seed  uint64
	audit *audit
	res   *Result
	plan  []event
	late  []event
	calm  bool // no more disturbances: what is on its way comes through
	runs  map[string]time.Duration
	jobs  int
	set   *config.Platform
}

type event struct {
	at time.Time
	do func()
}

// The stand-ins' pace. Reports are rarer and leases longer than in the deployments, so
// that a week takes less than a minute.
const (
	tick   = time.Second
	report = 15.0 // s
	lease  = 90.0 // s
)

// platform is the deployment of the rehearsal, with the smallest limits of the state
// service that any deployment has.
func platform() *config.Platform {
	p := &config.Platform{Member: "tiller-0"}
	d := &p.Deployment
	d.Zones = []string{"a", "b"}
	d.Workers.Report, d.Workers.Lease, d.Workers.GangWait, d.Workers.GangPeer, d.Workers.Cancel = report, lease, 120, 30, 240
	d.State.RPS, d.State.WriteRPS, d.State.ValueKB, d.State.TxnOps = 150, 42, 2, 4
	d.Cloud.ListLag = 5
	return p
}

// teams of the rehearsal: three with a guarantee, a guest, and one with GPUs.
var teams = []model.Team{
	{Name: "grading", Guarantee: model.Resources{CPU: 64}, Quota: model.NewQuota(160, 0)},
	{Name: "content", Guarantee: model.Resources{CPU: 48}, Quota: model.NewQuota(128, 0)},
	{Name: "ops", Guarantee: model.Resources{CPU: 32}, Quota: model.NewQuota(64, 0)},
	{Name: "guest house", Quota: model.NewQuota(96, 0)},
	{Name: "vision", Guarantee: model.Resources{CPU: 32, GPU: 8}, Quota: model.NewQuota(128, 16)},
}

// Play plays some days with a seed. progress, if not nil, is told after each day.
func Play(days int, seed uint64, progress func(day int)) *Result {
	p, o := platform(), config.Defaults()
	o.Leadership.Lease, o.Leadership.PollInterval = config.Duration(20*time.Second), config.Duration(10*time.Second)
	o.Ledger = &config.Ledger{SettleInterval: config.Duration(30 * time.Second), KeepHours: config.Duration(30 * time.Hour), KeepDays: config.Duration(80 * time.Hour)}
	set := config.ReconcilerSettings(p, o)
	set.Teams = teams
	quiet := slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelError + 1}))
	w := fake.NewWorld(3, set, config.ElectionSettings(p, o), config.StoreLimits(p), quiet)
	w.Tick, w.Boot, w.Fetch = tick, 30*time.Second, 5*time.Second
	w.State.MostValue, w.State.MostOps = int(p.Deployment.State.ValueKB*1024), p.Deployment.State.TxnOps
	w.Types = []model.MachineType{
		{Name: "eight", Capacity: model.Resources{CPU: 8, MemGB: 64}, PricePerHour: 1, SpotPricePerHour: 0.3, BootTime: 30 * time.Second, Zones: []string{"a", "b"}},
		{Name: "gpu", Capacity: model.Resources{CPU: 32, GPU: 4, MemGB: 256}, PricePerHour: 9, SpotPricePerHour: 3, BootTime: 45 * time.Second, Zones: []string{"a", "b"}},
	}
	k := &week{w: w, rand: rand.New(rand.NewPCG(seed, 7)), fates: rand.New(rand.NewPCG(seed, 8)), seed: seed, res: &Result{Days: days, Seed: seed}, runs: map[string]time.Duration{}, set: p}
	k.audit = newAudit(w)
	w.Runs = k.run
	w.Net = k.net
	start := w.Now()
	for day := range days {
		k.submissions(start.Add(time.Duration(day) * 24 * time.Hour))
		k.faults(start.Add(time.Duration(day)*24*time.Hour), day)
	}
	sort.SliceStable(k.plan, func(i, j int) bool { return k.plan[i].at.Before(k.plan[j].at) })
	for day := range days {
		k.until(start.Add(time.Duration(day+1) * 24 * time.Hour))
		if progress != nil {
			progress(day + 1)
		}
	}
	k.calmDown()
	k.compare()
	return k.res
}

// until lets time pass, and what is planned happen.
func (k *week) until(end time.Time) {
	for k.w.Now().Before(end) {
		for len(k.plan) > 0 && !k.plan[0].at.After(k.w.Now()) {
			do := k.plan[0].do
			k.plan = k.plan[1:]
			do()
		}
		for len(k.late) > 0 && !k.late[0].at.After(k.w.Now()) {
			do := k.late[0].do
			k.late = k.late[1:]
			do()
		}
		before := k.physical()
		k.w.Pass(tick)
		k.res.PhysicalCPU += before
	}
}

// physical is the CPU time that runs on the workers in one tick.
func (k *week) physical() uint64 {
	var sum Sum
	for _, m := range k.w.Workers {
		for _, t := range m.Tasks {
			if t.Phase == model.PhaseRunning || t.Phase == model.PhaseCheckpointing {
				sum.add(during(t.Spec.Demand, tick))
			}
		}
	}
	return sum.CPU
}

func (k *week) between(least, most time.Duration) time.Duration {
	return least + time.Duration(k.rand.Int64N(int64(most-least)))
}

// at plans something for a random moment of a day.
func (k *week) at(day time.Time, do func()) {
	k.plan = append(k.plan, event{day.Add(k.between(0, 24*time.Hour).Truncate(tick)), do})
}

// kinds are the classes of jobs.
var kinds = []struct {
	class, team string
	perDay      int
	make        func(k *week, s *model.Spec) (run time.Duration)
}{
	{"marking", "grading", 26, func(k *week, s *model.Spec) time.Duration {
		s.Tasks, s.Demand = 2+k.rand.IntN(20), model.Resources{CPU: 4, MemGB: 18}
		s.Deadline = time.Hour
		return k.between(30*time.Second, 12*time.Minute)
	}},
	{"lists", "content", 22, func(k *week, s *model.Spec) time.Duration {
		s.Tasks, s.Demand = 2+k.rand.IntN(16), model.Resources{CPU: 1.5, MemGB: 7.25}
		s.Priority, s.CheckpointInterval, s.CheckpointTime = model.PriorityLow, 30*time.Second, 3*time.Second
		return k.between(time.Minute, 25*time.Minute)
	}},
	{"serve", "ops", 4, func(k *week, s *model.Spec) time.Duration {
		s.Shape, s.Tasks, s.Demand, s.Priority, s.EstimatedRunTime = model.Service, 1+k.rand.IntN(3), model.Resources{CPU: 2, MemGB: 8}, model.PriorityProduction, 0
		return 0
	}},
	{"swarm", "guest house", 14, func(k *week, s *model.Spec) time.Duration {
		s.Tasks, s.Demand, s.Deadline = 4+k.rand.IntN(24), model.Resources{CPU: 0.5, MemGB: 1}, 10*time.Minute
		return k.between(10*time.Second, 5*time.Minute)
	}},
	{"train", "vision", 8, func(k *week, s *model.Spec) time.Duration {
		s.Shape, s.Tasks, s.Demand, s.Priority = model.Gang, 1+k.rand.IntN(3), model.Resources{CPU: 8, GPU: 2, MemGB: 60}, model.PriorityHigh
		s.CheckpointInterval, s.CheckpointTime = time.Minute, 5*time.Second
		return k.between(2*time.Minute, 40*time.Minute)
	}},
}

// submissions plans a day's jobs. A job that cannot be accepted is submitted again.
func (k *week) submissions(day time.Time) {
	for i := range kinds {
		kind := &kinds[i]
		for range kind.perDay {
			k.at(day, func() {
				k.jobs++
				s := &model.Spec{ID: fmt.Sprintf("wk-%06d", k.jobs), Class: kind.class, Team: kind.team, Shape: model.Array, Priority: model.PriorityNormal, AllowSpot: true,
					Image: kind.class, ImageGB: 1}
				run := kind.make(k, s)
				s.EstimatedRunTime = run
				k.runs[s.ID] = run
				k.submit(s, 0)
			})
		}
	}
}

func (k *week) submit(s *model.Spec, tries int) {
	c := k.w.Controllers[k.rand.IntN(len(k.w.Controllers))]
	if !c.Up || !c.Jobs.Loaded() || k.w.Submit(c, s) != nil {
		if tries < 60 {
			k.soon(30*time.Second, func() { k.submit(s, tries+1) })
		}
		return
	}
	k.res.Jobs++
	k.res.Tasks += s.Tasks
	if s.Shape == model.Service || k.rand.IntN(25) == 0 {
		// Services run for hours or days; now and then another job is cancelled too.
		k.soon(k.between(2*time.Minute, 40*time.Hour), func() { k.cancel(s.ID) })
	}
}

func (k *week) cancel(id string) {
	c := k.w.Controllers[k.rand.IntN(len(k.w.Controllers))]
	if !c.Up || !c.Jobs.Loaded() {
		k.soon(time.Minute, func() { k.cancel(id) })
		return
	}
	if _, err := k.w.Cancel(c, id); err != nil {
		k.soon(time.Minute, func() { k.cancel(id) })
	}
}

// soon plans something in some time.
func (k *week) soon(in time.Duration, do func()) { k.insert(&k.plan, in, do) }

func (k *week) insert(list *[]event, in time.Duration, do func()) {
	e := event{k.w.Now().Add(in), do}
	i := sort.Search(len(*list), func(i int) bool { return (*list)[i].at.After(e.at) })
	*list = slices.Insert(*list, i, e)
}

// run is how long a task runs: about as long as its job says.
func (k *week) run(id model.TaskID) time.Duration {
	d := k.runs[id.Job]
	return d/2 + time.Duration(k.of(id).Int64N(int64(d)+1))
}

// of is a task's own source. Guards against plays of one seed whose plans part as soon as two tasks start
// in another order: what its leaders saw of a day then fell between 91 and 99% by luck.
func (k *week) of(id model.TaskID) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprint(h, id.Job, "/", id.Index)
	return rand.New(rand.NewPCG(k.seed, h.Sum64()))
}

// faults plans what goes wrong on a day.
func (k *week) faults(day time.Time, n int) {
	for range 3 {
		k.at(day, func() { k.crash(k.w.Leader()) })
	}
	k.at(day, func() { // all at once; some of them while a transaction is on its way
		k.res.AllKilled++
		for _, c := range k.w.Controllers {
			k.crash(c)
		}
	})
	for range 2 {
		k.at(day, k.outage)
	}
	k.at(day, func() { // a worker is cut off for long enough to lose its lease, or for less
		for _, name := range k.w.Names() {
			m := k.w.Workers[name]
			m.Cut = true
			k.soon(k.between(20*time.Second, 5*time.Minute), func() { m.Cut = false })
			return
		}
	})
	for range 3 {
		k.at(day, k.jump)
	}
	if n%3 == 2 {
		k.at(day, k.old)
	}
}

func (k *week) crash(c *fake.Controller) {
	if c == nil || !c.Up {
		return
	}
	c.Crash()
	k.soon(k.between(5*time.Second, 3*time.Minute), c.Start)
}

func (k *week) outage() {
	k.res.Outages++
	k.w.State.SetDown(true)
	k.soon(k.between(5*time.Second, 4*time.Minute), func() { k.w.State.SetDown(false) })
}

// jump sets the time of day of one controller, or of all, wrong by hours.
func (k *week) jump() {
	k.res.ClockJumps++
	off := k.between(-9*time.Hour, 9*time.Hour)
	one := k.rand.IntN(2 * len(k.w.Controllers))
	for i, c := range k.w.Controllers {
		if i == one || one >= len(k.w.Controllers) {
			c.DayOff = off
		}
	}
	k.soon(k.between(10*time.Minute, 10*time.Hour), func() {
		for _, c := range k.w.Controllers {
			c.DayOff = 0
		}
	})
}

// old has a version without a ledger lead for a while.
func (k *week) old() {
	for _, c := range k.w.Controllers {
		c.Crash()
	}
	k.res.OldLed++
	c := k.w.Controllers[0]
	c.Old = true
	c.Start()
	k.soon(k.between(10*time.Minute, 2*time.Hour), func() {
		c.Crash()
		c.Old = false
		for _, c := range k.w.Controllers {
			c.Start()
		}
	})
}

// errLost is what a controller sees of a transaction whose answer does not come.
var errLost = errors.New("no answer")

// net loses answers, and holds transactions back until minutes later.
func (k *week) net(c *fake.Controller, body []byte) (error, bool) {
	if k.calm || k.w.State.Down {
		return nil, false
	}
	switch k.fates.IntN(120) {
	case 0:
		k.res.Late++
		body = slices.Clone(body)
		k.insert(&k.late, k.between(time.Second, 5*time.Minute), func() { k.carry(body) })
		return errLost, true
	case 1:
		k.res.Unanswered++
		k.carry(body)
		return errLost, true
	}
	return nil, false
}

// carry has the state service carry a transaction out, whose sender does not learn of it.
func (k *week) carry(body []byte) {
	_, err := k.w.State.Call("POST", "/commit", body, time.Second)
	if err != nil && rpc.StatusCode(err) == 0 {
		k.res.Broken = "the state service stand-in: " + err.Error()
	}
}

// calmDown ends the disturbances and waits until all is on record.
func (k *week) calmDown() {
	k.calm = true
	k.plan = slices.DeleteFunc(k.plan, func(e event) bool { return e.at.After(k.w.Now().Add(time.Hour)) })
	k.until(k.w.Now().Add(90 * time.Minute))
	for id := range k.w.Specs {
		k.cancel(id)
	}
	k.until(k.w.Now().Add(20 * time.Minute))
}

// compare reads the ledger as any controller does, and holds it against the account.
func (k *week) compare() {
	r, ctx := k.res, context.Background()
	c := store.NewOver(k.w.State, k.w.State, time.Second)
	c.SetRateLimits(1e9, 1e9)
	r.Takeovers, r.Settled = len(k.audit.leaders)-1, k.audit.settled
	elapsed := k.w.Now().Sub(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	r.Share = float64(k.audit.useOps) / (k.set.Deployment.State.WriteRPS * elapsed.Seconds())
	accounts, err := c.Accounts(ctx)
	if err != nil {
		r.Broken = "the ledger cannot be read: " + err.Error()
		return
	}
	seal := ledger.NewSeal(nil)
	seen := map[string]bool{}
	for _, acc := range accounts {
		o := acc.Open
		seen[o.Team] = true
		use := ledger.Total(o.Usage)
		var last uint64
		var link string
		for after, more := uint64(0), true; more; {
			var pages []ledger.StoredSegment
			if pages, more, err = c.Segments(ctx, o.Team, after, 50); err != nil {
				r.Broken = "the ledger cannot be read: " + err.Error()
				return
			}
			for _, p := range pages {
				use.Add(ledger.Total(p.Usage))
				after = p.First
				r.Pages++
				r.Folded += int(p.Last - p.First)
				if last, link, err = seal.Verify([]ledger.Segment{p.Segment}, last, link); err != nil {
					r.Broken = fmt.Sprintf("%s: %v", o.Team, err)
				}
			}
		}
		if err := o.VerifyOpen(last, link); err != nil {
			r.Broken = fmt.Sprintf("%s: %v", o.Team, err)
		}
		k.team(o.Team, use)
	}
	for _, t := range teams {
		if !seen[t.Name] && k.audit.total[t.Name] != (Sum{}) {
			k.team(t.Name, ledger.Usage{})
		}
	}
	stretches, _, err := c.Intervals(ctx, 0, 1000)
	if err != nil {
		r.Broken = "the ledger cannot be read: " + err.Error()
	}
	r.Stretches = len(stretches)
	if len(k.w.Broken) > 0 {
		r.Broken = k.w.Broken[0]
	}
	if len(k.w.Rejected) > 0 {
		r.Broken = "the state service rejected " + k.w.Rejected[0]
	}
}

// team compares one team's amounts.
func (k *week) team(name string, use ledger.Usage) {
	r, want := k.res, k.audit.total[name]
	r.Teams = append(r.Teams, Team{name, Sides{use.CPU, want.CPU, use.GPU, want.GPU, use.Mem, want.Mem}, use.Starts})
	r.LedgerCPU += use.CPU
	r.RuntimeCPU += want.CPU
	r.LedgerGPU += use.GPU
	r.RuntimeGPU += want.GPU
	r.LedgerMem += use.Mem
	r.RuntimeMem += want.Mem
	for _, v := range [][2]uint64{{use.CPU, want.CPU}, {use.GPU, want.GPU}, {use.Mem, want.Mem}} {
		r.ChargedTwice += max(v[0], v[1]) - v[1]
		r.Lost += max(v[0], v[1]) - v[0]
	}
}
