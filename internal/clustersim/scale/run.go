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

// run is the state of a simulation.
type run struct {
	plan      Plan
	logf      func(format string, args ...any)
	workDir   string // temporary directory for the program, the settings files and the controllers' logs
	regions   []*region
	workers   *workers // of all regions
	users     *users   // of all regions
	startedAt time.Time
	result    *Result
	usage     roleUsage
}

// Run simulates a plan and returns the measurements. It fails before it starts anything if the plan is invalid or the
// machine lacks the resources. Progress messages go to logf. All processes and servers are stopped before Run
// returns, also when the context is cancelled.
func Run(ctx context.Context, p Plan, logf func(format string, args ...any)) (*Result, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	required := p.requirements()
	if err := required.Check(); err != nil {
		return nil, err
	}
	logf("starting %d hollow workers, %d controllers: needs up to %d MB, %d open files in this process, %d processes",
		p.Workers, p.Regions*p.Controllers, required.MemoryMB, required.Files, required.Processes)
	workDir, err := os.MkdirTemp("", "clustersim-scale-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(workDir) }() // files that cannot be removed stay in the system's temporary directory
	r := &run{
		plan:    p,
		logf:    logf,
		workDir: workDir,
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

// prepare builds the controller program unless the plan names one, starts the servers of the stand-ins and workers,
// and writes the settings files. No controller runs yet.
func (r *run) prepare(ctx context.Context) error {
	program := r.plan.Program
	if program == "" {
		program = filepath.Join(r.workDir, "glentiller")
		r.logf("building the controller")
		build := exec.CommandContext(ctx, "go", "build", "-ldflags=-linkmode=external", "-o", program, "./cmd/glentiller")
		if out, err := build.CombinedOutput(); err != nil {
			return fmt.Errorf("build controller: %w: %s", err, out)
		}
	}
	if err := r.writeOperatorSettings(); err != nil {
		return err
	}
	var err error
	if r.workers, err = newWorkers(&r.plan); err != nil {
		return err
	}
	for i := range r.plan.Regions {
		region, err := newRegion(&r.plan, i, r.workDir, program, r.workers)
		if err != nil {
			return errors.Join(err, r.close())
		}
		r.regions = append(r.regions, region)
	}
	r.users = newUsers(&r.plan, r.regions, r.workers)
	return nil
}

// keepIdleSettings prevents controllers from releasing idle machines, so that the fleet keeps its size during the
// measurement.
const keepIdleSettings = "<fleet><keep-idle>24h</keep-idle></fleet>"

// writeOperatorSettings writes the operators' settings file of all controllers. It is the plan's file, with
// keepIdleSettings added unless the file already has a <fleet> element.
func (r *run) writeOperatorSettings() error {
	b, err := os.ReadFile(r.plan.Operator)
	if err != nil {
		return err
	}
	text := string(b)
	end := strings.LastIndex(text, "</glentiller>")
	if end < 0 {
		return fmt.Errorf("operators' settings %s: no closing tag </glentiller>", r.plan.Operator)
	}
	if !strings.Contains(text, "<fleet>") {
		text = text[:end] + keepIdleSettings + text[end:]
	}
	return os.WriteFile(filepath.Join(r.workDir, "operator.xml"), []byte(text), 0o644)
}

// close stops the servers of all stand-ins and of the workers.
func (r *run) close() error {
	for _, region := range r.regions {
		region.close()
	}
	return r.workers.close()
}

// simulate starts the machines and controllers, waits for the warm-up, applies the load and the faults, and collects
// the result. It stops everything before it returns.
func (r *run) simulate(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer func() {
		cancel() // ends users and workers first, while the controllers still answer their pending requests
		r.users.activeJobs.Wait()
		r.workers.closeIdleConns()
		for _, region := range r.regions {
			group.Go(region.stop)
		}
		group.Wait()
		_ = r.close() // a server that fails to close does not affect the result
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
	injector := &faultInjector{
		plan:    &r.plan,
		regions: r.regions,
		workers: r.workers,
		random:  rand.New(rand.NewPCG(r.plan.Seed, faultStream)),
	}
	go r.users.generateLoad(ctx)
	sleep(ctx, rampUp)
	before := r.takeBaseline()
	go injector.run(ctx)
	go injector.churn(ctx)
	r.monitor(ctx, time.Duration(r.plan.Seconds)*time.Second)
	r.collectResult(before)
	return nil
}

const (
	rampUp             = 5 * time.Second // under load before the measurement begins
	maxWarmUp          = 3 * time.Minute // after which the load begins even if the warm-up is incomplete
	warmUpRunningShare = 0.9             // of the service replicas, which have to be active before the load begins
	sampleInterval     = time.Second     // between samples of the processes' resource usage
	progressInterval   = 10 * time.Second
)

// startMachines starts the hollow workers of all regions, and stores the records of their machines in the state
// services as if an earlier leader had provisioned them. The workers are divided evenly among the regions.
func (r *run) startMachines() {
	r.workers.mu.Lock()
	defer r.workers.mu.Unlock()
	for i, region := range r.regions {
		count := r.plan.Workers / r.plan.Regions
		if i < r.plan.Workers%r.plan.Regions {
			count++
		}
		machines := initialMachines(region, r.workers, count)
		region.preload(machines)
		for _, machine := range machines {
			r.workers.add(region, machine)
		}
	}
}

// warmUp waits until every worker has accepted a leader's fencing token, then submits the services and waits until
// enough of their replicas are active. After maxWarmUp it stops waiting and returns nil; the result shows whether the
// warm-up was completed.
func (r *run) warmUp(ctx context.Context) error {
	deadline := time.Now().Add(maxWarmUp)
	allAnswered := func() bool {
		r.workers.mu.Lock()
		defer r.workers.mu.Unlock()
		for _, h := range r.workers.byName {
			if h.worker.FencingToken == 0 {
				return false
			}
		}
		return true
	}
	if err := r.waitFor(ctx, deadline, allAnswered); err != nil {
		return err
	}
	r.result.WorkersAnsweredSeconds = time.Since(r.startedAt).Seconds()
	r.logf("waited %.1f s for the leaders to answer every worker", r.result.WorkersAnsweredSeconds)
	r.users.submitServices(ctx)
	replicas := int(warmUpRunningShare * replicasPerWorker * float64(r.plan.Workers))
	servicesRunning := func() bool { return r.activeTasks() >= replicas }
	if err := r.waitFor(ctx, deadline, servicesRunning); err != nil {
		return err
	}
	r.result.CompletedWarmUp = allAnswered() && servicesRunning()
	r.logf("%d service replicas active", r.activeTasks())
	return nil
}

// waitFor polls until the condition holds or the deadline has passed, which is not an error. It returns an error if a
// controller has crashed or the context is done.
func (r *run) waitFor(ctx context.Context, deadline time.Time, condition func() bool) error {
	for !condition() && time.Now().Before(deadline) && ctx.Err() == nil {
		sleep(ctx, 200*time.Millisecond)
		for _, region := range r.regions {
			for _, c := range region.controllers {
				if _, crashed := c.processStatus(); crashed {
					return fmt.Errorf("controller %s ended before the load began; last log line: %s", c.name, lastLine(c.logPath))
				}
			}
		}
	}
	return ctx.Err()
}

// lastLine returns the last line of a file, or the error message if the file cannot be read.
func lastLine(path string) string {
	b, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	return lines[len(lines)-1]
}

// activeTasks returns the number of tasks that occupy machines, over all regions.
func (r *run) activeTasks() int {
	r.workers.mu.Lock()
	defer r.workers.mu.Unlock()
	return r.workers.fleet.ActiveTasks()
}

// keepLogs copies the controllers' logs to the plan's directory for logs, if it names one.
func (r *run) keepLogs() {
	if r.plan.Logs == "" {
		return
	}
	for _, region := range r.regions {
		for _, c := range region.controllers {
			if b, err := os.ReadFile(c.logPath); err == nil {
				if err := os.WriteFile(filepath.Join(r.plan.Logs, c.name+".log"), b, 0o644); err != nil {
					r.logf("copy log of controller %s: %v", c.name, err)
				}
			}
		}
	}
}
