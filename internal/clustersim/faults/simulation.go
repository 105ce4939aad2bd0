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
	Runs                int      `json:"runs"`
	Violations          int      `json:"broken_rules"`
	ForgottenJobs       int      `json:"forgotten_jobs"`       // about which no question was answered for 75 s after all troubles
	LongestUnanswered   float64  `json:"longest_unanswered_s"` // after all troubles
	LongestDetection    float64  `json:"deaf_noticed_s"`       // from when a machine with work or orders hears nothing to when it gets no more; the worst
	MeanDetection       float64  `json:"deaf_noticed_mean_s"`
	Detected            int      `json:"deaf_noticed"`                // machines
	Undetected          int      `json:"deaf_not_noticed"`            // of those that were deaf for a lease and longer
	KilledTasks         int      `json:"killed_tasks"`                // by their workers' leases
	LeastServed         float64  `json:"least_served"`                // the least part of a class, team or largest jobs that began
	LatestLargeStart    float64  `json:"largest_begin_s"`             // the latest beginning of a job of a class's largest quarter
	LongestCancellation float64  `json:"cancelled_gone_s"`            // the longest from that word to the end of the last task
	LongestWaitWithRoom float64  `json:"longest_waiting_with_room_s"` // of a job for which a machine had room, after all troubles
	StaleAnswers        int      `json:"older_answers"`               // answers of a member that say less than one before did
	AnsweredPolls       int      `json:"questions_answered"`
	Overlaps            Overlaps `json:"by_meeting,omitempty"`
	FirstViolations     []string `json:"what,omitempty"` // the first broken rules
}

// Overlaps counts how often two troubles met: at the same time, or within seconds.
type Overlaps map[string]int

// Good tells whether no rule was broken and nothing forgotten.
func (r *Result) Good() bool { return r.Violations == 0 && r.ForgottenJobs == 0 }

func (r *Result) add(o *Result) {
	r.Runs += o.Runs
	r.Violations, r.ForgottenJobs, r.Undetected, r.KilledTasks = r.Violations+o.Violations, r.ForgottenJobs+o.ForgottenJobs, r.Undetected+o.Undetected, r.KilledTasks+o.KilledTasks
	r.LongestUnanswered, r.LongestDetection, r.LatestLargeStart, r.LeastServed, r.LongestCancellation = max(r.LongestUnanswered, o.LongestUnanswered), max(r.LongestDetection, o.LongestDetection), max(r.LatestLargeStart, o.LatestLargeStart), min(r.LeastServed, o.LeastServed), max(r.LongestCancellation, o.LongestCancellation)
	r.LongestWaitWithRoom, r.StaleAnswers, r.AnsweredPolls = max(r.LongestWaitWithRoom, o.LongestWaitWithRoom), r.StaleAnswers+o.StaleAnswers, r.AnsweredPolls+o.AnsweredPolls
	for pair, n := range o.Overlaps {
		if r.Overlaps == nil {
			r.Overlaps = Overlaps{}
		}
		r.Overlaps[pair] += n
	}
	if o.Detected > 0 {
		r.MeanDetection += (o.MeanDetection - r.MeanDetection) * float64(o.Detected) / float64(r.Detected+o.Detected)
		r.Detected += o.Detected
	}
	r.FirstViolations = append(r.FirstViolations, o.FirstViolations[:min(len(o.FirstViolations), max(0, 5-len(r.FirstViolations)))]...)
}

// Run draws runs from a seed on and plays them, some at once.
func Run(machines, runs int, seed uint64, atOnce int) *Result {
	return runAll(runs, seed, atOnce, func(seed uint64) *Result { return runOne(machines, seed) })
}

func runAll(runs int, seed uint64, atOnce int, one func(seed uint64) *Result) *Result {
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
	sum := &Result{LeastServed: 1}
	for _, r := range results {
		sum.add(r)
	}
	return sum
}

const (
	second        = time.Second
	tick          = 100 * time.Millisecond
	faultPhase    = 150 * second // from the first submissions to the end of all troubles
	recoveryPhase = 180 * second // and then
	maxUnanswered = 75 * second
)

// simulation is one run.
type simulation struct {
	*rand.Rand
	world        *fake.World
	result       *Result
	plan         []event
	jobs         []*job
	blockedSince map[string]time.Time // since when machines hear nothing
	detected     map[string]bool
	cancelAtEnd  float64 // the part of the jobs that are cancelled as their last task ends
}

type event struct {
	at     time.Time
	action func()
}

type job struct {
	spec                   *model.Spec
	submittedAt, startedAt time.Time
	answeredAt             time.Time
	cancelled, forgotten   bool
	completed              bool // its last task has ended
}

func (r *simulation) planIn(d time.Duration, do func()) {
	r.plan = append(r.plan, event{r.world.Now().Add(d), do})
}

func (r *simulation) randomUpTo(most time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(most) + 1))
}

// newWorld is a deployment of some members, two zones and two teams.
func newWorld(members, machines int) *fake.World {
	p := &config.Platform{Member: "tiller-0"}
	d := &p.Deployment
	d.Zones = []string{"a", "b"}
	d.Workers.Heartbeat, d.Workers.Lease, d.Workers.GangWait, d.Workers.GangPeer, d.Workers.Cancel = 2.5, 14, 35, 5, 34
	d.State.ValueKB, d.State.TxnOps, d.Cloud.ListLag = 8, 12, 6
	o := config.Defaults()
	o.Scheduler.StarvationBound = config.Duration(240 * second)
	o.Votes = &config.Votes{Outage: config.Duration(10 * second)}
	set, el := config.ReconcilerSettings(p, o), config.ElectionSettings(p, o)
	cpus := 8 * float64(machines)
	set.Teams = []model.Team{{Name: "red", Guarantee: model.Resources{CPU: cpus / 4}, Quota: model.NewQuota(cpus*3/4, 0)},
		{Name: "blue", Guarantee: model.Resources{CPU: cpus / 4}}}
	w := fake.NewWorld(members, set, el, config.StoreLimits(p), slog.New(slog.NewTextHandler(io.Discard, nil)))
	w.Tick, w.FetchTime, w.BootTime, w.Capacity, w.MaxRetainedHeartbeats = tick, second, 20*second, machines*5/4, 40*machines
	w.Types = []model.MachineType{{Name: "eight", Capacity: model.Resources{CPU: 8, MemGB: 64}, PricePerHour: 1, SpotPricePerHour: 0.3, BootTime: 20 * second, Zones: d.Zones}}
	for i := range machines {
		w.AddMachine(model.MachineInfo{Name: fmt.Sprintf("m-%06d", i), Type: "eight", Zone: d.Zones[i%2]})
	}
	return w
}

// runOne plays one run.
func runOne(machines int, seed uint64) *Result {
	r := &simulation{Rand: rand.New(rand.NewPCG(seed, 1)), world: newWorld(3, machines), result: &Result{Runs: 1, LeastServed: 1}, blockedSince: map[string]time.Time{}, detected: map[string]bool{}}
	w := r.world
	w.RunTimeOf = func(id model.TaskID) time.Duration { return 5*second + time.Duration(id.Index%7)*5*second }
	w.Advance(8 * second)
	r.planRun(machines)
	r.advance(faultPhase, recoveryPhase)
	r.summarize()
	return r.result
}

// advance plays what is planned, and asks about every job all along.
func (r *simulation) advance(troubled, after time.Duration) {
	w, start := r.world, r.world.Now()
	for now := start; now.Sub(start) < troubled+after; now = w.Now() {
		for i := 0; i < len(r.plan); i++ {
			if e := r.plan[i]; !now.Before(e.at) {
				r.plan = slices.Delete(r.plan, i, i+1)
				i--
				e.action()
			}
		}
		w.Advance(tick)
		r.recordDetections()
		r.cancelCompleted()
		if now.Sub(start)%(5*second) < tick {
			r.pollJobs(now.Sub(start) > troubled)
		}
		for _, j := range r.jobs {
			if j.startedAt.IsZero() && w.Starts[model.TaskID{Job: j.spec.ID}]+w.Starts[model.TaskID{Job: j.spec.ID, Index: j.spec.Tasks - 1}] > 0 {
				j.startedAt = now
			}
		}
	}
}

// planRun plans submissions and troubles.
func (r *simulation) planRun(machines int) {
	w := r.world
	id := 0
	submit := func(shape model.Shape, tasks int, class string) {
		id++
		s := &model.Spec{ID: fmt.Sprintf("wk-%06d", id), Class: class, Team: [...]string{"red", "blue"}[r.IntN(2)], Shape: shape, Priority: model.PriorityNormal, Tasks: tasks,
			Demand: model.Resources{CPU: 4, MemGB: 8}, Image: "img", ImageGB: 1, EstimatedRunTime: 20 * second, AllowSpot: true}
		if shape == model.Service {
			s.Priority, s.Spread = model.PriorityProduction, true
		}
		r.planIn(r.randomUpTo(faultPhase), func() {
			for _, c := range r.Perm(len(w.Controllers)) {
				if ctl := w.Controllers[c]; ctl.Up && w.Submit(ctl, s) == nil {
					r.jobs = append(r.jobs, &job{spec: s, submittedAt: w.Now(), answeredAt: w.Now()})
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
		r.planIn(r.randomUpTo(faultPhase), func() {
			if len(r.jobs) > 0 {
				if j := r.jobs[r.IntN(len(r.jobs))]; !j.cancelled {
					r.cancel(w.Controllers[r.IntN(3)], j)
				}
			}
		})
	}
	machine := func() *fake.Worker {
		if names := w.WorkerNames(); len(names) > 0 {
			return w.Workers[names[r.IntN(len(names))]]
		}
		return nil
	}
	member := func() *fake.Controller { return w.Controllers[r.IntN(len(w.Controllers))] }
	for range 1 + r.IntN(machines/20+1) { // deaf ones, sometimes a good part of a zone
		at, long := r.randomUpTo(faultPhase-30*second), 5*second+r.randomUpTo(40*second)
		r.planIn(at, func() {
			if k := machine(); k != nil && !k.InboundBlocked {
				k.InboundBlocked, r.blockedSince[k.Name] = true, w.Now()
				r.planIn(min(long, faultPhase-at), func() {
					if k.InboundBlocked = false; !r.detected[k.Name] && long > w.Lease && w.Workers[k.Name] == k {
						r.result.Undetected++
					}
					delete(r.blockedSince, k.Name)
				})
			}
		})
	}
	for range machines * 2 { // copies, from seconds to well over a lease late
		r.planIn(r.randomUpTo(faultPhase), func() {
			if len(w.RetainedHeartbeats) > 0 {
				c := w.RetainedHeartbeats[r.IntN(len(w.RetainedHeartbeats))]
				r.planIn(r.randomUpTo(3*w.Lease), func() { w.ReplayHeartbeat(member(), c) })
			}
		})
	}
	for range 1 + r.IntN(machines/30+1) { // machines back at once
		r.planIn(r.randomUpTo(faultPhase), func() {
			if k := machine(); k != nil {
				w.RestartWorker(k)
			}
		})
	}
	for range 1 + r.IntN(5) { // members back at once, or after some seconds
		at, back := r.randomUpTo(faultPhase-10*second), 50*time.Millisecond+r.randomUpTo(450*time.Millisecond)
		if r.IntN(3) == 0 {
			back = r.randomUpTo(8 * second)
		}
		r.planIn(at, func() {
			if c := member(); c.Up {
				c.Crash()
				r.planIn(back, c.Start)
			}
		})
	}
	for range 1 + r.IntN(2) { // one that is cut off from all but the workers
		at, long := r.randomUpTo(faultPhase/2), 10*second+r.randomUpTo(40*second)
		r.planIn(at, func() {
			c := member()
			c.StateUnreachable, c.PeersUnreachable = true, true
			r.planIn(long, func() { c.StateUnreachable, c.PeersUnreachable = false, false })
		})
	}
	if r.IntN(2) == 0 {
		long := 3*second + r.randomUpTo(12*second)
		r.planIn(r.randomUpTo(faultPhase-20*second), func() {
			w.State.SetDown(true)
			r.planIn(long, func() { w.State.SetDown(false) })
		})
	}
}

// recordDetections notes when the leader has begun to place nothing more on machines that hear nothing.
func (r *simulation) recordDetections() {
	l := r.world.Leader()
	if l == nil {
		return
	}
	for name, since := range r.blockedSince {
		if k := r.world.Workers[name]; !r.detected[name] && (k == nil || l.Reconciler.Liveness(name) >= liveness.Suspect) {
			r.detected[name] = true
			took := r.world.Now().Sub(since).Seconds()
			r.result.LongestDetection = max(r.result.LongestDetection, took)
			r.result.Detected++
			r.result.MeanDetection += (took - r.result.MeanDetection) / float64(r.result.Detected)
		}
	}
}

// pollJobs asks about every job at some member that is up. The world holds what is told against all that was told before.
func (r *simulation) pollJobs(counts bool) {
	for _, j := range r.jobs {
		c := r.world.Controllers[r.IntN(len(r.world.Controllers))]
		if c.Up && !c.Frozen {
			if _, err := r.world.Poll(c, j.spec.ID); err == nil {
				j.answeredAt = r.world.Now()
			}
		}
		if silent := r.world.Now().Sub(j.answeredAt); counts && !j.cancelled {
			r.result.LongestUnanswered = max(r.result.LongestUnanswered, silent.Seconds())
			if silent > maxUnanswered && !j.forgotten {
				j.forgotten = true
				r.result.ForgottenJobs++
			}
		}
	}
}

// cancel has a job cancelled through a member. Its user asks again until there is an answer.
func (r *simulation) cancel(c *fake.Controller, j *job) {
	if c.Up && !c.Frozen {
		if v, err := r.world.Cancel(c, j.spec.ID); err == nil {
			j.answeredAt = r.world.Now()
			j.cancelled = v.State == wire.StateCancelled
			return
		}
	}
	r.planIn(2*second, func() { r.cancel(r.randomController(), j) })
}

// summarize counts what was served.
func (r *simulation) summarize() {
	groups := map[string][]*job{}
	for _, j := range r.jobs {
		if !j.cancelled {
			groups[j.spec.Class], groups["team "+j.spec.Team] = append(groups[j.spec.Class], j), append(groups["team "+j.spec.Team], j)
		}
	}
	part := func(jobs []*job) {
		n := 0
		for _, j := range jobs {
			if !j.startedAt.IsZero() {
				n++
			}
		}
		r.result.LeastServed = min(r.result.LeastServed, float64(n)/float64(len(jobs)))
	}
	for _, jobs := range groups {
		part(jobs)
		slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(b.spec.Tasks, a.spec.Tasks) })
		large := jobs[:max(len(jobs)/4, 1)]
		part(large)
		for _, j := range large {
			began := j.startedAt
			if began.IsZero() {
				began = r.world.Now()
			}
			r.result.LatestLargeStart = max(r.result.LatestLargeStart, began.Sub(j.submittedAt).Seconds())
		}
	}
	r.result.Violations, r.result.FirstViolations = r.result.Violations+len(r.world.Violations), append(r.result.FirstViolations, r.world.Violations...)
	r.result.KilledTasks, r.result.LongestCancellation = r.world.KilledTasks, r.world.LongestCancellation.Seconds()
	r.result.LongestWaitWithRoom, r.result.AnsweredPolls = r.world.LongestWait.Seconds(), r.world.AnsweredPolls
	for _, b := range r.world.Violations {
		if strings.HasPrefix(b, "went_back") || strings.HasPrefix(b, "forgotten") {
			r.result.StaleAnswers++
		}
	}
}
