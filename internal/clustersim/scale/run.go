package scale

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"time"
)

// run is a run under way.
type run struct {
	plan      Plan
	logf      func(format string, args ...any)
	dir       string
	regions   []*region
	workers   *workers
	users     *users
	startedAt time.Time
	result    *Result
	peak      peaks
}

// peaks are the most that processes were seen to hold while it was measured.
type peaks struct {
	total, leader, member, standIns  float64 // MB
	leaderSockets, memberSockets     int
	leaderCPU, memberCPU, standInCPU time.Duration
}

// Run plays a plan. say tells how it goes on. What it starts ends with it, also where the context ends.
func Run(ctx context.Context, p Plan, say func(format string, args ...any)) (*Result, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	need := p.requirements()
	if err := need.Check(); err != nil {
		return nil, err
	}
	say(
		"%d hollow workers, %d controllers: up to %d MB, %d open files here, %d processes",
		p.Workers,
		p.Regions*p.Controllers,
		need.MemoryMB,
		need.Files,
		need.Processes,
	)
	dir, err := os.MkdirTemp("", "rehearse-scale-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	r := &run{
		plan: p,
		logf: say,
		dir:  dir,
		result: &Result{Workers: p.Workers, Hollow: true, Violations: []string{}, Regions: p.Regions, Zones: p.Zones,
			Controllers: p.Controllers, Teams: p.Teams, Seed: p.Seed, MachineCores: runtime.NumCPU(), Processes: need.Processes},
	}
	if err := r.prepare(ctx); err != nil {
		return nil, err
	}
	err = r.play(ctx)
	r.keepLogs()
	if err == nil {
		err = ctx.Err()
	}
	return r.result, err
}

// prepare builds the program and opens all stand-ins.
func (r *run) prepare(ctx context.Context) error {
	program := r.plan.Program
	if program == "" {
		program = filepath.Join(r.dir, "glentiller")
		r.logf("building the controller")
		build := exec.CommandContext(ctx, "go", "build", "-ldflags=-linkmode=external", "-o", program, "./cmd/glentiller")
		if out, err := build.CombinedOutput(); err != nil {
			return fmt.Errorf("building the controller: %w: %s", err, out)
		}
	}
	if err := r.writeOperator(); err != nil {
		return err
	}
	var err error
	if r.workers, err = newWorkers(&r.plan); err != nil {
		return err
	}
	for i := range r.plan.Regions {
		region, err := newRegion(&r.plan, i, r.dir, program, r.workers)
		if err != nil {
			return errors.Join(err, r.close())
		}
		r.regions = append(r.regions, region)
	}
	r.users = newUsers(&r.plan, r.regions, r.workers)
	return nil
}

// keepIdle has controllers give no idle machine back: the fleet keeps its size for as long as it is measured.
const keepIdle = "<fleet><keep-idle>24h</keep-idle></fleet>"

// writeOperator writes the operators' settings of all controllers.
func (r *run) writeOperator() error {
	b, err := os.ReadFile(r.plan.Operator)
	if err != nil {
		return err
	}
	text := string(b)
	end := strings.LastIndex(text, "</glentiller>")
	if end < 0 {
		return fmt.Errorf("%s: does not end with </glentiller>", r.plan.Operator)
	}
	if !strings.Contains(text, "<fleet>") {
		text = text[:end] + keepIdle + text[end:]
	}
	return os.WriteFile(filepath.Join(r.dir, "operator.xml"), []byte(text), 0o644)
}

func (r *run) close() error {
	for _, region := range r.regions {
		region.close()
	}
	return r.workers.close()
}

// play brings the deployment up, has it carry its load, and measures.
func (r *run) play(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer func() {
		cancel() // users and workers first: controllers answer what is under way as they end
		r.users.pending.Wait()
		r.workers.closeIdleConns()
		for _, region := range r.regions {
			group.Go(region.stop)
		}
		group.Wait()
		_ = r.close() // everything has ended
	}()
	r.startedAt = time.Now()
	r.startMachines()
	for _, region := range r.regions {
		if err := region.start(); err != nil {
			return err
		}
	}
	go r.workers.run(ctx, r.regions)
	if err := r.warmUp(ctx); err != nil {
		return err
	}
	failures := &faultInjector{
		plan:    &r.plan,
		regions: r.regions,
		workers: r.workers,
		random:  rand.New(rand.NewPCG(r.plan.Seed, 4)),
	}
	go r.users.generateLoad(ctx)
	sleep(ctx, rampUp)
	before := r.takeBaseline()
	go failures.run(ctx)
	go failures.churn(ctx)
	r.watch(ctx, time.Duration(r.plan.Seconds)*time.Second)
	r.measure(before)
	return nil
}

const (
	rampUp           = 5 * time.Second // of the load, before it is measured
	maxWarmUp        = 3 * time.Minute
	warmUpShare      = 0.9 // of the services' replicas run before the load begins
	sampleInterval   = time.Second
	progressInterval = 10 * time.Second
)

// startMachines brings all machines up, on record as if a leader before had rented them.
func (r *run) startMachines() {
	r.workers.mu.Lock()
	defer r.workers.mu.Unlock()
	for i, region := range r.regions {
		count := r.plan.Workers / r.plan.Regions
		if i < r.plan.Workers%r.plan.Regions {
			count++
		}
		listed := initialMachines(region, r.workers, count)
		region.preload(listed)
		for _, l := range listed {
			r.workers.add(region, l)
		}
	}
}

// warmUp waits until every worker was answered, and then until the services run.
func (r *run) warmUp(ctx context.Context) error {
	until := time.Now().Add(maxWarmUp)
	answered := func() bool {
		r.workers.mu.Lock()
		defer r.workers.mu.Unlock()
		for _, h := range r.workers.byName {
			if h.worker.FencingToken == 0 {
				return false
			}
		}
		return true
	}
	if err := r.waitFor(ctx, until, answered); err != nil {
		return err
	}
	r.result.SettledS = time.Since(r.startedAt).Seconds()
	r.logf("every worker was answered after %.1f s", r.result.SettledS)
	r.users.submitServices(ctx)
	replicas := int(warmUpShare * replicasPerWorker * float64(r.plan.Workers))
	runs := func() bool { return r.activeTasks() >= replicas }
	if err := r.waitFor(ctx, until, runs); err != nil {
		return err
	}
	r.result.CompletedWarmUp = answered() && runs()
	r.logf("%d tasks of services run", r.activeTasks())
	return nil
}

// waitFor waits until something holds or a moment has come. It fails where a controller has ended.
func (r *run) waitFor(ctx context.Context, until time.Time, holds func() bool) error {
	for !holds() && time.Now().Before(until) && ctx.Err() == nil {
		sleep(ctx, 200*time.Millisecond)
		for _, region := range r.regions {
			for _, c := range region.controllers {
				if _, crashed := c.process(); crashed {
					return fmt.Errorf("controller %s has ended before the load began: %s", c.name, lastLine(c.logPath))
				}
			}
		}
	}
	return ctx.Err()
}

func lastLine(path string) string {
	b, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	return lines[len(lines)-1]
}

// activeTasks tells how many tasks are on machines.
func (r *run) activeTasks() int {
	r.workers.mu.Lock()
	defer r.workers.mu.Unlock()
	return r.workers.fleet.ActiveTasks()
}

// takeBaseline notes all counts, and empties the histograms.
func (r *run) takeBaseline() *baseline {
	m := &baseline{
		takenAt: time.Now(),
		logs:    map[*controller]int64{},
		writes:  map[*region]int{},
		calls:   map[*region]int{},
		traffic: r.traffic(),
	}
	for _, region := range r.regions {
		m.writes[region], m.calls[region] = region.state.changeCount(), messageCount(region.state.traffic.snapshot())
		for _, c := range region.controllers {
			m.logs[c] = c.logSize()
		}
	}
	r.workers.mu.Lock()
	m.workers, m.leaseExpiries = r.workers.counts, r.workers.fleet.LeaseExpiries
	r.workers.roundTrips.Reset()
	r.workers.mu.Unlock()
	r.users.mu.Lock()
	m.users = r.users.counts
	for _, h := range []interface{ Reset() }{r.users.urgentWaits, r.users.otherWaits, r.users.acceptTimes} {
		h.Reset()
	}
	r.users.mu.Unlock()
	return m
}

// traffic sums up the messages of all stand-ins by kind.
func (r *run) traffic() map[string]Flow {
	out := map[string]Flow{}
	all := []*traffic{r.workers.traffic, r.users.traffic}
	for _, region := range r.regions {
		all = append(all, region.state.traffic, region.cloud.traffic)
	}
	for _, t := range all {
		for k, f := range t.snapshot() {
			o := out[k]
			out[k] = Flow{o.Messages + f.Messages, o.BytesIn + f.BytesIn, o.BytesOut + f.BytesOut}
		}
	}
	return out
}

func messageCount(flows map[string]Flow) int {
	n := 0
	for _, f := range flows {
		n += f.Messages
	}
	return n
}

// watch lets the load run for some time, and looks at what processes use and hold.
func (r *run) watch(ctx context.Context, d time.Duration) {
	last := map[int]time.Duration{}
	r.sample(last, true)
	told := time.Now()
	for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, min(sampleInterval, time.Until(end)))
		r.sample(last, false)
		if time.Since(told) > progressInterval {
			told = time.Now()
			r.logf("%.0f s left, %d tasks run, %.0f MB", time.Until(end).Seconds(), r.activeTasks(), r.peak.total)
		}
	}
}

// sample looks at all processes; first: nothing is counted yet. A process's time since the last look counts for the
// role that it has now.
func (r *run) sample(last map[int]time.Duration, first bool) {
	p := &r.peak
	total := 0.0
	look := func(pid int, cpu *time.Duration, mb *float64, sockets *int) {
		u, err := usageOf(pid)
		if err != nil {
			return // it has just ended
		}
		total += u.mb
		if before, known := last[pid]; known && !first {
			*cpu += u.cpu - before
			*mb = max(*mb, u.mb)
			*sockets = max(*sockets, u.sockets)
		}
		last[pid] = u.cpu
	}
	for _, region := range r.regions {
		leader := region.leader()
		for _, c := range region.controllers {
			pid, crashed := c.process()
			switch {
			case crashed:
				r.countCrash(c)
			case c == leader:
				look(pid, &p.leaderCPU, &p.leader, &p.leaderSockets)
			default:
				look(pid, &p.memberCPU, &p.member, &p.memberSockets)
			}
		}
	}
	own := 0
	look(os.Getpid(), &p.standInCPU, &p.standIns, &own)
	p.total = max(p.total, total)
}

// countCrash counts a controller that has ended by itself, once.
func (r *run) countCrash(c *controller) {
	if c.reportCrash() {
		r.result.EndedProcesses++
		r.logf("controller %s has ended: %s", c.name, lastLine(c.logPath))
	}
}

// measure works out the result.
func (r *run) measure(before *baseline) {
	out, p := r.result, &r.peak
	took := time.Since(before.takenAt).Seconds()
	out.Seconds = took
	r.workers.mu.Lock()
	out.Answers = r.workers.counts.since(before.workers)
	out.LeaseExpiries = r.workers.fleet.LeaseExpiries - before.leaseExpiries
	out.HeartbeatP50, out.HeartbeatP99 = quantile(r.workers.roundTrips, 50, 1000), quantile(r.workers.roundTrips, 99, 1000)
	out.Violations = append(out.Violations, r.workers.fleet.Violations...)
	out.Machines, out.Running = len(r.workers.byName), r.workers.fleet.ActiveTasks()
	r.workers.mu.Unlock()
	r.users.mu.Lock()
	out.Users = r.users.counts.since(before.users)
	out.UrgentP50, out.UrgentP99 = int64(quantile(r.users.urgentWaits, 50, 1)), int64(quantile(r.users.urgentWaits, 99, 1))
	out.OthersP50, out.OthersP99 = int64(quantile(r.users.otherWaits, 50, 1)), int64(quantile(r.users.otherWaits, 99, 1))
	out.AcceptP99 = int64(quantile(r.users.acceptTimes, 99, 1))
	r.users.mu.Unlock()
	out.Starts, out.RequestedStarts, out.JobsPerS = float64(
		out.Users.Starts,
	)/took, float64(
		out.Users.RequestedStarts,
	)/took, float64(
		out.Users.Submitted,
	)/took
	out.Heartbeats = float64(out.Answers.Heartbeats) / took
	if all := out.Answers.Heartbeats + out.Answers.Failed + out.Answers.Refused + out.Answers.Redirects; all > 0 {
		out.LateHeartbeatShare = float64(out.Answers.Late) / float64(all)
	}
	regions := float64(len(r.regions))
	out.LeaderCores, out.StandInCores = p.leaderCPU.Seconds()/took/regions, p.standInCPU.Seconds()/took
	if members := regions * float64(r.plan.Controllers-1); members > 0 {
		out.MemberCores = p.memberCPU.Seconds() / took / members
	}
	out.LeaderMB, out.MemberMB, out.StandInMB, out.PeakMB = p.leader, p.member, p.standIns, p.total
	out.LeaderSockets, out.MemberSockets = p.leaderSockets, p.memberSockets
	out.Traffic = trafficSince(r.traffic(), before.traffic)
	bytes := 0
	for _, kind := range []string{"report", "commands", "inspect"} {
		bytes += out.Traffic[kind].BytesIn + out.Traffic[kind].BytesOut
	}
	out.WorkerBytes = float64(bytes) / took / float64(max(out.Machines, 1))
	for _, region := range r.regions {
		out.StateRPS = max(out.StateRPS, float64(messageCount(region.state.traffic.snapshot())-before.calls[region])/took)
		out.StateWrites = max(out.StateWrites, float64(region.state.changeCount()-before.writes[region])/took)
		for _, c := range region.controllers {
			if h, err := c.longestHold(before.logs[c]); err == nil && h.took.Seconds()*1000 > out.LongestHoldMs {
				out.LongestHoldMs, out.LongestHoldBy = h.took.Seconds()*1000, h.by
			}
		}
	}
}

// keepLogs copies the controllers' logs to where the plan wants them.
func (r *run) keepLogs() {
	if r.plan.Logs == "" {
		return
	}
	for _, region := range r.regions {
		for _, c := range region.controllers {
			if b, err := os.ReadFile(c.logPath); err == nil {
				if err := os.WriteFile(filepath.Join(r.plan.Logs, c.name+".log"), b, 0o644); err != nil {
					r.logf("log of %s: %v", c.name, err)
				}
			}
		}
	}
}
