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

// run is a simulation under way.
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

// Run simulates a plan and reports its progress to logf. All that it starts ends with it, also where the context ends.
func Run(ctx context.Context, p Plan, logf func(format string, args ...any)) (*Result, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	required := p.requirements()
	if err := required.Check(); err != nil {
		return nil, err
	}
	logf("%d hollow workers, %d controllers: up to %d MB, %d open files here, %d processes",
		p.Workers, p.Regions*p.Controllers, required.MemoryMB, required.Files, required.Processes)
	dir, err := os.MkdirTemp("", "clustersim-scale-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // what is left is in the system's folder for temporary files
	r := &run{
		plan: p,
		logf: logf,
		dir:  dir,
		result: &Result{
			Workers:      p.Workers,
			Hollow:       true,
			Violations:   []string{},
			Regions:      p.Regions,
			Zones:        p.Zones,
			Controllers:  p.Controllers,
			Teams:        p.Teams,
			Seed:         p.Seed,
			MachineCores: runtime.NumCPU(),
			Processes:    required.Processes,
		},
	}
	if err := r.prepare(ctx); err != nil {
		return nil, err
	}
	err = r.simulate(ctx)
	r.keepLogs()
	if err == nil {
		err = ctx.Err()
	}
	return r.result, err
}

// prepare builds the program and makes the stand-ins, the workers and the users.
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

// keepIdle has controllers release no idle machine: the fleet keeps its size for as long as it is measured.
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

// close ends all stand-ins.
func (r *run) close() error {
	for _, region := range r.regions {
		region.close()
	}
	return r.workers.close()
}

// simulate brings the deployment up, puts it under load, and measures.
func (r *run) simulate(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer func() {
		cancel() // users and workers first: the controllers still answer what is under way as they stop
		r.users.pending.Wait()
		r.workers.closeIdleConns()
		for _, region := range r.regions {
			group.Go(region.stop)
		}
		group.Wait()
		_ = r.close() // the result does not depend on how stand-ins close
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
		random:  rand.New(rand.NewPCG(r.plan.Seed, faultStream)),
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
	warmUpShare      = 0.9 // of the services' replicas that run before the load begins
	sampleInterval   = time.Second
	progressInterval = 10 * time.Second
)

// startMachines brings all machines up, with records as if an earlier leader had provisioned them.
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
		for _, machine := range listed {
			r.workers.add(region, machine)
		}
	}
}

// warmUp waits until every worker has been answered, and then until the services run.
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

// waitFor waits until a condition holds or a deadline has passed. It fails where a controller has ended.
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

// lastLine is the last line of a file, or why it cannot be read.
func lastLine(path string) string {
	b, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	return lines[len(lines)-1]
}

// activeTasks counts the tasks that are on machines.
func (r *run) activeTasks() int {
	r.workers.mu.Lock()
	defer r.workers.mu.Unlock()
	return r.workers.fleet.ActiveTasks()
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
