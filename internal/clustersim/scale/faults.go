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

const terminate = syscall.SIGTERM

// The churn of the target fleet: machines that fail and that are replaced in a day, of targetWorkers.
const (
	targetWorkers  = 21_000
	targetFailed   = 420
	targetReplaced = 2_500
)

const (
	rackMachines = 40
	rackHangTime = 20 * time.Second // less than a lease
	zoneHangTime = 45 * time.Second // longer than a lease
	restartDelay = 5 * time.Second  // of a replaced machine, and of a controller that crashed
)

// faultInjector injects failures.
type faultInjector struct {
	plan    *Plan
	regions []*region
	workers *workers
	random  *rand.Rand
}

// run injects the plan's failures until the context ends, on a schedule that begins now.
func (f *faultInjector) run(ctx context.Context) {
	began := time.Now()
	schedule := slices.SortedFunc(
		slices.Values(f.plan.Faults),
		func(a, b Fault) int { return int(a.At*1000) - int(b.At*1000) },
	)
	for _, fault := range schedule {
		sleep(ctx, time.Duration(fault.At*float64(time.Second))-time.Since(began))
		if ctx.Err() != nil {
			return
		}
		region := f.regions[f.random.IntN(len(f.regions))]
		switch fault.Kind {
		case LeaderCrash:
			f.crashController(ctx, region.leader())
		case RackHang:
			f.hang(ctx, f.rack(region), rackHangTime)
		case ZoneOutage:
			f.failZone(ctx, region, region.zones[f.random.IntN(len(region.zones))])
		}
	}
}

// churn ends and replaces machines one by one, as the target's rate and the plan's factor say.
func (f *faultInjector) churn(ctx context.Context) {
	if f.plan.Churn == 0 {
		return
	}
	perSecond := f.plan.Churn * (targetFailed + targetReplaced) / (24 * 3600) * float64(f.plan.Workers) / targetWorkers
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(f.random.ExpFloat64()/perSecond*float64(time.Second)))
		if ctx.Err() == nil {
			f.replace(ctx, f.regions[f.random.IntN(len(f.regions))])
		}
	}
}

// replace ends a machine. It is back after a delay by the same name, without tasks.
func (f *faultInjector) replace(ctx context.Context, region *region) {
	w := f.workers
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.byRegion[region] {
		machine := h.listed()
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

// rack chooses the machines of a rack: neighbors by name in one zone.
func (f *faultInjector) rack(region *region) []*hollowWorker {
	w := f.workers
	w.mu.Lock()
	defer w.mu.Unlock()
	zone := region.zones[f.random.IntN(len(region.zones))]
	var out []*hollowWorker
	for _, name := range slices.Sorted(maps.Keys(w.byRegion[region])) {
		if h := w.byRegion[region][name]; h.worker.Zone == zone && len(out) < rackMachines {
			out = append(out, h)
		}
	}
	return out
}

// hang has machines hang for some time.
func (f *faultInjector) hang(ctx context.Context, machines []*hollowWorker, d time.Duration) {
	set := func(hung bool) {
		f.workers.mu.Lock()
		defer f.workers.mu.Unlock()
		for _, h := range machines {
			h.worker.Hung = hung
		}
	}
	set(true)
	go func() {
		sleep(ctx, d)
		set(false)
	}()
}

// failZone has all machines of a zone hang and crashes its controllers.
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

// crashController kills a controller and starts it again after a delay.
func (f *faultInjector) crashController(ctx context.Context, c *controller) {
	if c == nil {
		return
	}
	c.stop(syscall.SIGKILL)
	go func() {
		sleep(ctx, restartDelay)
		if ctx.Err() == nil {
			_ = c.start() // a controller that does not start counts as crashed
		}
	}()
}

// initialMachines are the machines that a region has at the start.
func initialMachines(region *region, w *workers, count int) []model.MachineInfo {
	out := make([]model.MachineInfo, count)
	for i := range out {
		out[i] = model.MachineInfo{
			Name: region.cloud.cloud.NextName(),
			Addr: w.nextAddress(),
			Type: machineTypeAt(i),
			Zone: region.zones[(i/gpuShare+i)%len(region.zones)],
		}
	}
	return out
}
