package scale

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// shutdownSignal makes a controller shut down in an orderly way, as at the end of a run. Crashes use SIGKILL.
const shutdownSignal = syscall.SIGTERM

// The churn of the target fleet: the machines that fail and those that are replaced per day, out of targetWorkers.
const (
	targetWorkers           = 21_000
	targetDailyFailures     = 420
	targetDailyReplacements = 2_500
)

const (
	machinesPerRack = 40
	rackHangTime    = 20 * time.Second // shorter than leaseTime: the workers keep their leases
	zoneHangTime    = 45 * time.Second // longer than leaseTime: the workers' leases expire
	restartDelay    = 5 * time.Second  // until a replaced machine or a crashed controller is up again
)

// faultInjector injects the scheduled faults and the machine churn of a plan.
type faultInjector struct {
	plan    *Plan
	regions []*region
	workers *workers
	random  *rand.Rand
}

// run injects the plan's faults at their scheduled times, counted from the call. It returns after the last fault or
// when the context is done.
func (f *faultInjector) run(ctx context.Context) {
	startedAt := time.Now()
	schedule := slices.SortedFunc(
		slices.Values(f.plan.Faults),
		func(a, b Fault) int { return int(a.At*1000) - int(b.At*1000) },
	)
	for _, fault := range schedule {
		sleep(ctx, time.Duration(fault.At*float64(time.Second))-time.Since(startedAt))
		if ctx.Err() != nil {
			return
		}
		region := f.regions[f.random.IntN(len(f.regions))]
		switch fault.Kind {
		case LeaderCrash:
			f.crashController(ctx, region.leader())
		case RackHang:
			f.hang(ctx, f.pickRack(region), rackHangTime)
		case ZoneOutage:
			f.failZone(ctx, region, region.zones[f.random.IntN(len(region.zones))])
		}
	}
}

// churn replaces machines, each in a random region, until the context is done. The times between replacements are
// exponentially distributed. Their mean rate is the target fleet's rate, scaled to the plan's number of workers and
// multiplied by its churn factor.
func (f *faultInjector) churn(ctx context.Context) {
	if f.plan.Churn == 0 {
		return
	}
	replacementsPerSecond := f.plan.Churn * (targetDailyFailures + targetDailyReplacements) / (24 * 3600) *
		float64(f.plan.Workers) / targetWorkers
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(f.random.ExpFloat64()/replacementsPerSecond*float64(time.Second)))
		if ctx.Err() == nil {
			f.replace(ctx, f.regions[f.random.IntN(len(f.regions))])
		}
	}
}

// replace terminates an arbitrary machine of a region together with its tasks. After restartDelay, a machine with the
// same name comes up without tasks.
func (f *faultInjector) replace(ctx context.Context, region *region) {
	w := f.workers
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.byRegion[region] {
		machine := h.machineInfo()
		w.remove(h)
		go func() {
			sleep(ctx, restartDelay)
			w.mu.Lock()
			defer w.mu.Unlock()
			if ctx.Err() == nil && w.byName[machine.Name] == nil {
				w.add(region, machine)
			}
		}()
		return
	}
}

// pickRack returns the machines of a simulated rack: the first machinesPerRack, in the order of their names, of a
// random zone of the region.
func (f *faultInjector) pickRack(region *region) []*hollowWorker {
	w := f.workers
	w.mu.Lock()
	defer w.mu.Unlock()
	zone := region.zones[f.random.IntN(len(region.zones))]
	var machines []*hollowWorker
	for _, name := range slices.Sorted(maps.Keys(w.byRegion[region])) {
		if h := w.byRegion[region][name]; h.worker.Zone == zone && len(machines) < machinesPerRack {
			machines = append(machines, h)
		}
	}
	return machines
}

// hang makes machines hang, and lets them continue after the given duration. It does not block.
func (f *faultInjector) hang(ctx context.Context, machines []*hollowWorker, duration time.Duration) {
	setHung := func(hung bool) {
		f.workers.mu.Lock()
		defer f.workers.mu.Unlock()
		for _, h := range machines {
			h.worker.Hung = hung
		}
	}
	setHung(true)
	go func() {
		sleep(ctx, duration)
		setHung(false)
	}()
}

// failZone makes all machines of a zone hang for zoneHangTime and crashes the controllers of the zone.
func (f *faultInjector) failZone(ctx context.Context, region *region, zone string) {
	f.workers.mu.Lock()
	var machines []*hollowWorker
	for _, h := range f.workers.byRegion[region] {
		if h.worker.Zone == zone {
			machines = append(machines, h)
		}
	}
	f.workers.mu.Unlock()
	f.hang(ctx, machines, zoneHangTime)
	for _, c := range region.controllers {
		if c.zone == zone {
			f.crashController(ctx, c)
		}
	}
}

// crashController kills a controller and restarts it after restartDelay. A nil controller is ignored, so that a
// leader crash has no effect while there is no leader.
func (f *faultInjector) crashController(ctx context.Context, c *controller) {
	if c == nil {
		return
	}
	c.stop(syscall.SIGKILL)
	go func() {
		sleep(ctx, restartDelay)
		if ctx.Err() == nil {
			_ = c.start() // a process that exits while it starts up counts as crashed
		}
	}()
}

// initialMachines returns count machines for the start of a run, with names and addresses of their own. Their types
// and zones are spread evenly. The caller holds w.mu.
func initialMachines(region *region, w *workers, count int) []model.MachineInfo {
	machines := make([]model.MachineInfo, count)
	for i := range machines {
		machines[i] = model.MachineInfo{
			Name: region.cloud.cloud.NextName(),
			Addr: w.nextAddress(),
			Type: machineTypeAt(i),
			Zone: region.zones[(i/machinesPerGPUMachine+i)%len(region.zones)],
		}
	}
	return machines
}
