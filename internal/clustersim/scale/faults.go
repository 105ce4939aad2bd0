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

// What the target says of machines that come and go: in a day, of so many.
const (
	targetWorkers  = 21_000
	targetFailed   = 420
	targetReplaced = 2_500
)

const (
	rackMachines = 40
	rackHangTime = 20 * time.Second // less than a lease
	zoneHangTime = 45 * time.Second // longer than a lease
	restartDelay = 5 * time.Second  // a machine that is replaced, and a controller that ended
)

// faultInjector plays failures.
type faultInjector struct {
	plan    *Plan
	regions []*region
	workers *workers
	random  *rand.Rand
}

// run plays the plan's failures until the context ends; what is measured begins now.
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
		r := f.regions[f.random.IntN(len(f.regions))]
		switch fault.Kind {
		case LeaderCrash:
			f.crashController(ctx, r.leader())
		case RackHang:
			f.hang(ctx, f.rack(r), rackHangTime)
		case ZoneOutage:
			f.failZone(ctx, r, r.zones[f.random.IntN(len(r.zones))])
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

// replace ends a machine; it is back after a while with nothing on it, by the same name.
func (f *faultInjector) replace(ctx context.Context, r *region) {
	w := f.workers
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.byRegion[r] {
		l := h.listed()
		w.remove(h)
		go func() {
			sleep(ctx, restartDelay)
			w.mu.Lock()
			defer w.mu.Unlock()
			if ctx.Err() == nil && w.byName[l.Name] == nil {
				w.add(r, l)
			}
		}()
		return
	}
}

// rack chooses the machines of a rack: neighbours by name in one zone.
func (f *faultInjector) rack(r *region) []*hollowWorker {
	w := f.workers
	w.mu.Lock()
	defer w.mu.Unlock()
	zone := r.zones[f.random.IntN(len(r.zones))]
	var out []*hollowWorker
	for _, name := range slices.Sorted(maps.Keys(w.byRegion[r])) {
		if h := w.byRegion[r][name]; h.worker.Zone == zone && len(out) < rackMachines {
			out = append(out, h)
		}
	}
	return out
}

// hang has machines stand still for some time.
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

// failZone has all machines of a zone stand still and ends its controllers.
func (f *faultInjector) failZone(ctx context.Context, r *region, zone string) {
	f.workers.mu.Lock()
	var machines []*hollowWorker
	for _, h := range f.workers.byRegion[r] {
		if h.worker.Zone == zone {
			machines = append(machines, h)
		}
	}
	f.workers.mu.Unlock()
	f.hang(ctx, machines, zoneHangTime)
	for _, c := range r.controllers {
		if c.zone == zone {
			f.crashController(ctx, c)
		}
	}
}

// crashController ends a controller without a word and starts it again after a while.
func (f *faultInjector) crashController(ctx context.Context, c *controller) {
	if c == nil {
		return
	}
	c.stop(syscall.SIGKILL)
	go func() {
		sleep(ctx, restartDelay)
		if ctx.Err() == nil {
			_ = c.start() // one that does not start again counts as ended
		}
	}()
}

// initialMachines makes the machines that a region has at the start.
func initialMachines(r *region, w *workers, count int) []model.MachineInfo {
	out := make([]model.MachineInfo, count)
	for i := range out {
		out[i] = model.MachineInfo{
			Name: r.cloud.cloud.NextName(),
			Addr: w.nextAddress(),
			Type: machineTypeAt(i),
			Zone: r.zones[(i/gpuShare+i)%len(r.zones)],
		}
	}
	return out
}
