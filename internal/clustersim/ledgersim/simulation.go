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

// Amounts are the ledger and the stand-ins' account, in CPU-, GPU- and GB-microseconds.
type Amounts struct {
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
	Amounts
	Starts uint64 `json:"starts"`
}

// Result is what a week has shown.
type Result struct {
	Days int    `json:"days"`
	Seed uint64 `json:"seed"`
	Amounts
	Teams []Team `json:"teams"`

	Overcharged  uint64 `json:"charged_twice"` // microseconds by which any amount in the ledger is too large
	Undercharged uint64 `json:"lost"`          // and too small

	// PhysicalCPU is the CPU time that tasks ran on the stand-in workers, seen or not,
	// settled or not.
	PhysicalCPU uint64 `json:"physical_cpu_us"`

	Jobs                   int     `json:"jobs"`
	Tasks                  int     `json:"tasks"`
	Failovers              int     `json:"takeovers"`
	FullRestarts           int     `json:"all_killed"`
	Outages                int     `json:"outages"`
	LateTransactions       int     `json:"late_transactions"`
	UnansweredTransactions int     `json:"unanswered_transactions"`
	ClockJumps             int     `json:"clock_jumps"`
	LeadersWithoutLedger   int     `json:"takeovers_without_ledger"`
	UnaccountedIntervals   int     `json:"stretches_not_accounted"`
	Settlements            int     `json:"settlements"`
	Segments               int     `json:"pages"`
	SegmentsFolded         int     `json:"pages_folded"`
	WriteShare             float64 `json:"share_of_changes_possible"` // of what the state service takes
	Violation              string  `json:"broken,omitempty"`          // what else does not hold
}

// Good tells whether the ledger agrees with the account, and nothing else is broken.
func (r *Result) Good() bool { return r.Overcharged == 0 && r.Undercharged == 0 && r.Violation == "" }

// simulation is a week that is being played.
type simulation struct {
	world       *fake.World
	rand        *rand.Rand // of the plan and of what people do
	commitRand  *rand.Rand // of transactions, whose number differs from play to play
	seed        uint64
	audit       *audit
	result      *Result
	plan        []event
	delayed     []event
	faultsEnded bool // no more disturbances: what is on its way comes through
	runTimes    map[string]time.Duration
	jobCount    int
	platform    *config.Platform
}

type event struct {
	at     time.Time
	action func()
}

// The stand-ins' pace. Reports are rarer and leases longer than in the deployments, so
// that a week takes less than a minute.
const (
	tick             = time.Second
	heartbeatSeconds = 15.0 // s
	leaseSeconds     = 90.0 // s
)

// newPlatform is the deployment of the rehearsal, with the smallest limits of the state
// service that any deployment has.
func newPlatform() *config.Platform {
	p := &config.Platform{Member: "tiller-0"}
	d := &p.Deployment
	d.Zones = []string{"a", "b"}
	d.Workers.Heartbeat, d.Workers.Lease, d.Workers.GangWait, d.Workers.GangPeer, d.Workers.Cancel = heartbeatSeconds, leaseSeconds, 120, 30, 240
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

// Run plays some days with a seed. progress, if not nil, is told after each day.
func Run(days int, seed uint64, progress func(day int)) *Result {
	p, o := newPlatform(), config.Defaults()
	o.Leadership.Lease, o.Leadership.PollInterval = config.Duration(20*time.Second), config.Duration(10*time.Second)
	o.Ledger = &config.Ledger{SettleInterval: config.Duration(30 * time.Second), KeepHours: config.Duration(30 * time.Hour), KeepDays: config.Duration(80 * time.Hour)}
	set := config.ReconcilerSettings(p, o)
	set.Teams = teams
	quiet := slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelError + 1}))
	w := fake.NewWorld(3, set, config.ElectionSettings(p, o), config.StoreLimits(p), quiet)
	w.Tick, w.BootTime, w.FetchTime = tick, 30*time.Second, 5*time.Second
	w.State.MaxValueBytes, w.State.MaxOps = int(p.Deployment.State.ValueKB*1024), p.Deployment.State.TxnOps
	w.Types = []model.MachineType{
		{Name: "eight", Capacity: model.Resources{CPU: 8, MemGB: 64}, PricePerHour: 1, SpotPricePerHour: 0.3, BootTime: 30 * time.Second, Zones: []string{"a", "b"}},
		{Name: "gpu", Capacity: model.Resources{CPU: 32, GPU: 4, MemGB: 256}, PricePerHour: 9, SpotPricePerHour: 3, BootTime: 45 * time.Second, Zones: []string{"a", "b"}},
	}
	k := &simulation{world: w, rand: rand.New(rand.NewPCG(seed, 7)), commitRand: rand.New(rand.NewPCG(seed, 8)), seed: seed, result: &Result{Days: days, Seed: seed}, runTimes: map[string]time.Duration{}, platform: p}
	k.audit = newAudit(w)
	w.RunTimeOf = k.runTime
	w.InterceptCommit = k.interceptCommit
	start := w.Now()
	for day := range days {
		k.planSubmissions(start.Add(time.Duration(day) * 24 * time.Hour))
		k.planFaults(start.Add(time.Duration(day)*24*time.Hour), day)
	}
	sort.SliceStable(k.plan, func(i, j int) bool { return k.plan[i].at.Before(k.plan[j].at) })
	for day := range days {
		k.advanceTo(start.Add(time.Duration(day+1) * 24 * time.Hour))
		if progress != nil {
			progress(day + 1)
		}
	}
	k.endFaults()
	k.compare()
	return k.result
}

// advanceTo lets time pass, and what is planned happen.
func (k *simulation) advanceTo(end time.Time) {
	for k.world.Now().Before(end) {
		for len(k.plan) > 0 && !k.plan[0].at.After(k.world.Now()) {
			do := k.plan[0].action
			k.plan = k.plan[1:]
			do()
		}
		for len(k.delayed) > 0 && !k.delayed[0].at.After(k.world.Now()) {
			do := k.delayed[0].action
			k.delayed = k.delayed[1:]
			do()
		}
		before := k.runningCPU()
		k.world.Advance(tick)
		k.result.PhysicalCPU += before
	}
}

// runningCPU is the CPU time that runs on the workers in one tick.
func (k *simulation) runningCPU() uint64 {
	var sum Amount
	for _, m := range k.world.Workers {
		for _, t := range m.Tasks {
			if t.Phase == model.PhaseRunning || t.Phase == model.PhaseCheckpointing {
				sum.add(usageOver(t.Spec.Demand, tick))
			}
		}
	}
	return sum.CPU
}

func (k *simulation) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(k.rand.Int64N(int64(most-least)))
}

// planOn plans something for a random moment of a day.
func (k *simulation) planOn(day time.Time, do func()) {
	k.plan = append(k.plan, event{day.Add(k.randomDuration(0, 24*time.Hour).Truncate(tick)), do})
}

// jobClasses are the classes of jobs.
var jobClasses = []struct {
	class, team string
	perDay      int
	make        func(k *simulation, s *model.Spec) (run time.Duration)
}{
	{"marking", "grading", 26, func(k *simulation, s *model.Spec) time.Duration {
		s.Tasks, s.Demand = 2+k.rand.IntN(20), model.Resources{CPU: 4, MemGB: 18}
		s.Deadline = time.Hour
		return k.randomDuration(30*time.Second, 12*time.Minute)
	}},
	{"lists", "content", 22, func(k *simulation, s *model.Spec) time.Duration {
		s.Tasks, s.Demand = 2+k.rand.IntN(16), model.Resources{CPU: 1.5, MemGB: 7.25}
		s.Priority, s.CheckpointInterval, s.CheckpointTime = model.PriorityLow, 30*time.Second, 3*time.Second
		return k.randomDuration(time.Minute, 25*time.Minute)
	}},
	{"serve", "ops", 4, func(k *simulation, s *model.Spec) time.Duration {
		s.Shape, s.Tasks, s.Demand, s.Priority, s.EstimatedRunTime = model.Service, 1+k.rand.IntN(3), model.Resources{CPU: 2, MemGB: 8}, model.PriorityProduction, 0
		return 0
	}},
	{"swarm", "guest house", 14, func(k *simulation, s *model.Spec) time.Duration {
		s.Tasks, s.Demand, s.Deadline = 4+k.rand.IntN(24), model.Resources{CPU: 0.5, MemGB: 1}, 10*time.Minute
		return k.randomDuration(10*time.Second, 5*time.Minute)
	}},
	{"train", "vision", 8, func(k *simulation, s *model.Spec) time.Duration {
		s.Shape, s.Tasks, s.Demand, s.Priority = model.Gang, 1+k.rand.IntN(3), model.Resources{CPU: 8, GPU: 2, MemGB: 60}, model.PriorityHigh
		s.CheckpointInterval, s.CheckpointTime = time.Minute, 5*time.Second
		return k.randomDuration(2*time.Minute, 40*time.Minute)
	}},
}

// planSubmissions plans a day's jobs. A job that cannot be accepted is submitted again.
func (k *simulation) planSubmissions(day time.Time) {
	for i := range jobClasses {
		kind := &jobClasses[i]
		for range kind.perDay {
			k.planOn(day, func() {
				k.jobCount++
				s := &model.Spec{ID: fmt.Sprintf("wk-%06d", k.jobCount), Class: kind.class, Team: kind.team, Shape: model.Array, Priority: model.PriorityNormal, AllowSpot: true,
					Image: kind.class, ImageGB: 1}
				run := kind.make(k, s)
				s.EstimatedRunTime = run
				k.runTimes[s.ID] = run
				k.submit(s, 0)
			})
		}
	}
}

func (k *simulation) submit(s *model.Spec, tries int) {
	c := k.world.Controllers[k.rand.IntN(len(k.world.Controllers))]
	if !c.Up || !c.Jobs.Loaded() || k.world.Submit(c, s) != nil {
		if tries < 60 {
			k.planIn(30*time.Second, func() { k.submit(s, tries+1) })
		}
		return
	}
	k.result.Jobs++
	k.result.Tasks += s.Tasks
	if s.Shape == model.Service || k.rand.IntN(25) == 0 {
		// Services run for hours or days; now and then another job is cancelled too.
		k.planIn(k.randomDuration(2*time.Minute, 40*time.Hour), func() { k.cancel(s.ID) })
	}
}

func (k *simulation) cancel(id string) {
	c := k.world.Controllers[k.rand.IntN(len(k.world.Controllers))]
	if !c.Up || !c.Jobs.Loaded() {
		k.planIn(time.Minute, func() { k.cancel(id) })
		return
	}
	if _, err := k.world.Cancel(c, id); err != nil {
		k.planIn(time.Minute, func() { k.cancel(id) })
	}
}

// planIn plans something in some time.
func (k *simulation) planIn(in time.Duration, do func()) { k.insert(&k.plan, in, do) }

func (k *simulation) insert(list *[]event, in time.Duration, do func()) {
	e := event{k.world.Now().Add(in), do}
	i := sort.Search(len(*list), func(i int) bool { return (*list)[i].at.After(e.at) })
	*list = slices.Insert(*list, i, e)
}

// runTime is how long a task runs: about as long as its job says.
func (k *simulation) runTime(id model.TaskID) time.Duration {
	d := k.runTimes[id.Job]
	return d/2 + time.Duration(k.taskRand(id).Int64N(int64(d)+1))
}

// taskRand is a task's own source. Guards against plays of one seed whose plans part as soon as two tasks start
// in another order: what its leaders saw of a day then fell between 91 and 99% by luck.
func (k *simulation) taskRand(id model.TaskID) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprint(h, id.Job, "/", id.Index)
	return rand.New(rand.NewPCG(k.seed, h.Sum64()))
}

// planFaults plans what goes wrong on a day.
func (k *simulation) planFaults(day time.Time, n int) {
	for range 3 {
		k.planOn(day, func() { k.crash(k.world.Leader()) })
	}
	k.planOn(day, func() { // all at once; some of them while a transaction is on its way
		k.result.FullRestarts++
		for _, c := range k.world.Controllers {
			k.crash(c)
		}
	})
	for range 2 {
		k.planOn(day, k.outage)
	}
	k.planOn(day, func() { // a worker is cut off for long enough to lose its lease, or for less
		for _, name := range k.world.WorkerNames() {
			m := k.world.Workers[name]
			m.Partitioned = true
			k.planIn(k.randomDuration(20*time.Second, 5*time.Minute), func() { m.Partitioned = false })
			return
		}
	})
	for range 3 {
		k.planOn(day, k.skewClocks)
	}
	if n%3 == 2 {
		k.planOn(day, k.leadWithoutLedger)
	}
}

func (k *simulation) crash(c *fake.Controller) {
	if c == nil || !c.Up {
		return
	}
	c.Crash()
	k.planIn(k.randomDuration(5*time.Second, 3*time.Minute), c.Start)
}

func (k *simulation) outage() {
	k.result.Outages++
	k.world.State.SetDown(true)
	k.planIn(k.randomDuration(5*time.Second, 4*time.Minute), func() { k.world.State.SetDown(false) })
}

// skewClocks sets the time of day of one controller, or of all, wrong by hours.
func (k *simulation) skewClocks() {
	k.result.ClockJumps++
	off := k.randomDuration(-9*time.Hour, 9*time.Hour)
	one := k.rand.IntN(2 * len(k.world.Controllers))
	for i, c := range k.world.Controllers {
		if i == one || one >= len(k.world.Controllers) {
			c.ClockOffset = off
		}
	}
	k.planIn(k.randomDuration(10*time.Minute, 10*time.Hour), func() {
		for _, c := range k.world.Controllers {
			c.ClockOffset = 0
		}
	})
}

// leadWithoutLedger has a version without a ledger lead for a while.
func (k *simulation) leadWithoutLedger() {
	for _, c := range k.world.Controllers {
		c.Crash()
	}
	k.result.LeadersWithoutLedger++
	c := k.world.Controllers[0]
	c.WithoutLedger = true
	c.Start()
	k.planIn(k.randomDuration(10*time.Minute, 2*time.Hour), func() {
		c.Crash()
		c.WithoutLedger = false
		for _, c := range k.world.Controllers {
			c.Start()
		}
	})
}

// errAnswerLost is what a controller sees of a transaction whose answer does not come.
var errAnswerLost = errors.New("no answer")

// interceptCommit loses answers, and holds transactions back until minutes later.
func (k *simulation) interceptCommit(c *fake.Controller, body []byte) (bool, error) {
	if k.faultsEnded || k.world.State.Down {
		return false, nil
	}
	switch k.commitRand.IntN(120) {
	case 0:
		k.result.LateTransactions++
		body = slices.Clone(body)
		k.insert(&k.delayed, k.randomDuration(time.Second, 5*time.Minute), func() { k.commit(body) })
		return true, errAnswerLost
	case 1:
		k.result.UnansweredTransactions++
		k.commit(body)
		return true, errAnswerLost
	}
	return false, nil
}

// commit has the state service carry a transaction out, whose sender does not learn of it.
func (k *simulation) commit(body []byte) {
	_, err := k.world.State.Call("POST", "/commit", body, time.Second)
	if err != nil && rpc.StatusCode(err) == 0 {
		k.result.Violation = "the state service stand-in: " + err.Error()
	}
}

// endFaults ends the disturbances and waits until all is on record.
func (k *simulation) endFaults() {
	k.faultsEnded = true
	k.plan = slices.DeleteFunc(k.plan, func(e event) bool { return e.at.After(k.world.Now().Add(time.Hour)) })
	k.advanceTo(k.world.Now().Add(90 * time.Minute))
	for id := range k.world.Specs {
		k.cancel(id)
	}
	k.advanceTo(k.world.Now().Add(20 * time.Minute))
}

// compare reads the ledger as any controller does, and holds it against the account.
func (k *simulation) compare() {
	r, ctx := k.result, context.Background()
	c := store.NewOver(k.world.State, k.world.State, time.Second)
	c.SetRateLimits(1e9, 1e9)
	r.Failovers, r.Settlements = len(k.audit.leaders)-1, k.audit.settlementCount
	elapsed := k.world.Now().Sub(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	r.WriteShare = float64(k.audit.ledgerOps) / (k.platform.Deployment.State.WriteRPS * elapsed.Seconds())
	accounts, err := c.Accounts(ctx)
	if err != nil {
		r.Violation = "the ledger cannot be read: " + err.Error()
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
				r.Violation = "the ledger cannot be read: " + err.Error()
				return
			}
			for _, p := range pages {
				use.Add(ledger.Total(p.Usage))
				after = p.First
				r.Segments++
				r.SegmentsFolded += int(p.Last - p.First)
				if last, link, err = seal.Verify([]ledger.Segment{p.Segment}, last, link); err != nil {
					r.Violation = fmt.Sprintf("%s: %v", o.Team, err)
				}
			}
		}
		if err := o.VerifyOpen(last, link); err != nil {
			r.Violation = fmt.Sprintf("%s: %v", o.Team, err)
		}
		k.compareTeam(o.Team, use)
	}
	for _, t := range teams {
		if !seen[t.Name] && k.audit.settledByTeam[t.Name] != (Amount{}) {
			k.compareTeam(t.Name, ledger.Usage{})
		}
	}
	stretches, _, err := c.Intervals(ctx, 0, 1000)
	if err != nil {
		r.Violation = "the ledger cannot be read: " + err.Error()
	}
	r.UnaccountedIntervals = len(stretches)
	if len(k.world.Violations) > 0 {
		r.Violation = k.world.Violations[0]
	}
	if len(k.world.RejectedKeys) > 0 {
		r.Violation = "the state service rejected " + k.world.RejectedKeys[0]
	}
}

// compareTeam compares one team's amounts.
func (k *simulation) compareTeam(name string, use ledger.Usage) {
	r, want := k.result, k.audit.settledByTeam[name]
	r.Teams = append(r.Teams, Team{name, Amounts{use.CPU, want.CPU, use.GPU, want.GPU, use.Mem, want.Mem}, use.Starts})
	r.LedgerCPU += use.CPU
	r.RuntimeCPU += want.CPU
	r.LedgerGPU += use.GPU
	r.RuntimeGPU += want.GPU
	r.LedgerMem += use.Mem
	r.RuntimeMem += want.Mem
	for _, v := range [][2]uint64{{use.CPU, want.CPU}, {use.GPU, want.GPU}, {use.Mem, want.Mem}} {
		r.Overcharged += max(v[0], v[1]) - v[1]
		r.Undercharged += max(v[0], v[1]) - v[0]
	}
}
