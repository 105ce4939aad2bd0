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
	rackHangs    = 20 * time.Second // less than a lease
	zoneHangs    = 45 * time.Second // longer than a lease
	backAfter    = 5 * time.Second  // a machine that is replaced, and a controller that ended
)

// faults plays failures.
type faults struct {
	plan    *Plan
	regions []*region
	workers *workers
	random  *rand.Rand
}

// run plays the plan's failures until the context ends; what is measured begins now.
func (f *faults) run(ctx context.Context) {
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
		case LeaderEnds:
			f.endController(ctx, r.leader())
		case RackHangs:
			f.hang(ctx, f.rack(r), rackHangs)
		case ZoneHangs:
			f.loseZone(ctx, r, r.zones[f.random.IntN(len(r.zones))])
		}
	}
}

// churn ends and replaces machines one by one, as the target's rate and the plan's factor say.
func (f *faults) churn(ctx context.Context) {
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
func (f *faults) replace(ctx context.Context, r *region) {
	w := f.workers
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.byRegion[r] {
		l := h.listed()
		w.remove(h)
		go func() {
			sleep(ctx, backAfter)
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
func (f *faults) rack(r *region) []*hollow {
	w := f.workers
	w.mu.Lock()
	defer w.mu.Unlock()
	zone := r.zones[f.random.IntN(len(r.zones))]
	var out []*hollow
	for _, name := range slices.Sorted(maps.Keys(w.byRegion[r])) {
		if h := w.byRegion[r][name]; h.worker.Zone == zone && len(out) < rackMachines {
			out = append(out, h)
		}
	}
	return out
}

// hang has machines stand still for some time.
func (f *faults) hang(ctx context.Context, machines []*hollow, d time.Duration) {
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

// loseZone has all machines of a zone stand still and ends its controllers.
func (f *faults) loseZone(ctx context.Context, r *region, zone string) {
	f.workers.mu.Lock()
	var machines []*hollow
	for _, h := range f.workers.byRegion[r] {
		if h.worker.Zone == zone {
			machines = append(machines, h)
		}
	}
	f.workers.mu.Unlock()
	f.hang(ctx, machines, zoneHangs)
	for _, c := range r.controllers {
		if c.zone == zone {
			f.endController(ctx, c)
		}
	}
}

// endController ends a controller without a word and starts it again after a while.
func (f *faults) endController(ctx context.Context, c *controller) {
	if c == nil {
		return
	}
	c.stop(syscall.SIGKILL)
	go func() {
		sleep(ctx, backAfter)
		if ctx.Err() == nil {
			_ = c.start() // one that does not start again counts as ended
		}
	}()
}

// machinesOf makes the machines that a region has at the start.
func machinesOf(r *region, w *workers, count int) []model.MachineInfo {
	out := make([]model.MachineInfo, count)
	for i := range out {
		out[i] = model.MachineInfo{
			Name: r.cloud.cloud.Name(),
			Addr: w.nextAddress(),
			Type: typeAt(i),
			Zone: r.zones[(i/gpuShare+i)%len(r.zones)],
		}
	}
	return out
}
