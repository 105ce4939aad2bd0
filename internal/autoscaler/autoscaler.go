// Package autoscaler decides which machines to rent and which to give back. It is
// pure, like package sched.
package autoscaler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// Settings are the fleet rule's starting values.
type Settings struct {
	IdleTimeout       time.Duration // an empty machine is kept this long at least
	IdleBootFactor    float64       // and this many times its type's boot time
	MinBilledTime     time.Duration // a machine is paid for at least this long, so it is not given back sooner
	SpotIdleFactor    float64       // the floor for a spot machine is this many times as long
	BootTimeoutFactor float64       // a machine that takes longer than this many boot times is replaced
	BootTimeoutExtra  time.Duration // plus this
	RefusalBackoff    time.Duration // a refused kind of machine is asked for again after this
	LookaheadBoots    float64       // nothing is rented for what likely becomes free within this many boot times
	MaxPerRequest     int           // machines in one request
}

// Offer is a kind of machine: what one rental request asks for.
type Offer struct {
	Type string
	Zone string
	Spot bool
}

// Request is a number of machines of one kind.
type Request struct {
	Offer
	Count    int
	JobClass string
}

// Incoming is room that comes without renting: a machine that is booting or on
// order, or the part of one that is up which is likely free within a boot time.
type Incoming struct {
	Type     *model.MachineType
	Zone     string
	Spot     bool
	FreeSoon func() model.Resources // of a machine that is up, asked for once where tasks may go there; nil: the whole machine

	free             model.Resources
	computed         bool               // free is
	kindIndex        int                // its kind's number
	lastRequest      *scheduler.Request // the last one that it was filled with
	lastRequestTasks int                // and how many tasks of it
}

// available is what is left of it.
func (c *Incoming) available() model.Resources {
	if !c.computed {
		c.computed = true
		if c.free = c.Type.Capacity; c.FreeSoon != nil {
			c.free = c.FreeSoon()
		}
	}
	return c.free
}

// ShouldRelease tells whether a machine that has been empty for some time is to be given
// back. It is kept as long as renting it anew would take, and no less than a
// floor; what is paid for anyway is kept too. Spot machines are cheap and scarce,
// so they are kept longer.
func (s *Settings) ShouldRelease(t *model.MachineType, spot bool, empty, age time.Duration) bool {
	floor := s.IdleTimeout
	if spot {
		floor = time.Duration(float64(floor) * s.SpotIdleFactor)
	}
	return empty > max(floor, time.Duration(s.IdleBootFactor*float64(t.BootTime))) && age >= s.MinBilledTime
}

// BootTimeout is when a machine that has not come up is given up. Guards against machines of a
// type without a stated boot time that are given up before any of them can come up, over and over.
func (s *Settings) BootTimeout(t *model.MachineType) time.Duration {
	boot := t.BootTime
	if boot == 0 {
		boot = defaultBootTime
	}
	return time.Duration(s.BootTimeoutFactor*float64(boot)) + s.BootTimeoutExtra
}

// defaultBootTime is how long a machine may take whose type says nothing of it.
const defaultBootTime = 2 * time.Minute

// Snapshot is what the fleet rule decides from.
type Snapshot struct {
	Types          []model.MachineType
	Incoming       []*Incoming
	RefusedUntil   map[Offer]time.Time                         // not before
	MachinesByZone map[string]int                              // machines by zone, to spread over zones
	SuspectZones   map[string]bool                             // zones that are likely cut off: what comes up there cannot report
	ReservedForGPU func(t *model.MachineType, spot bool) bool  // machines that are kept for GPU work
	CapacityInZone func(w *scheduler.Request, zone string) int // how many tasks fit on what is up in a zone; nil: none

	kinds          []machineKind      // of what is coming, by number
	judgedRequest  *scheduler.Request // whom the kinds were judged for last
	feasibleByKind []bool             // by kind: whether its tasks may go there
}

// machineKind is a type, ordinary or spot, in a zone, as a machine that is up or as one that is coming.
type machineKind struct {
	machineType *model.MachineType
	zone        string
	spot, up    bool
}

// assignKind gives what is coming the number of its kind.
func (v *Snapshot) assignKind(c *Incoming) {
	k := machineKind{c.Type, c.Zone, c.Spot, c.FreeSoon != nil}
	if c.kindIndex = slices.Index(v.kinds, k); c.kindIndex < 0 {
		c.kindIndex = len(v.kinds)
		v.kinds = append(v.kinds, k)
	}
}

// feasible tells whether tasks of a want may go to what is coming, whatever room it has. It is judged once a kind for each
// want. Guards against judging thousands of machines for each of hundreds of wants.
func (v *Snapshot) feasible(w *scheduler.Request, c *Incoming) bool {
	if v.judgedRequest != w {
		v.judgedRequest, v.feasibleByKind = w, v.feasibleByKind[:0]
	}
	for len(v.feasibleByKind) < len(v.kinds) {
		k := v.kinds[len(v.feasibleByKind)]
		spec := w.Job.Spec
		v.feasibleByKind = append(v.feasibleByKind, !(w.Urgent() && k.up) && (spec.AllowSpot || !k.spot) && spec.Demand.Fits(k.machineType.Capacity) && spec.AllowsType(k.machineType.Name) &&
			(spec.Zone == "" || spec.Zone == k.zone) && !v.reservedForGPU(w.Job, k.machineType, k.spot) && w.Rules.AcceptsOffer(k.machineType, k.zone, k.spot))
	}
	return v.feasibleByKind[c.kindIndex]
}

// pricePerTask is what one task costs an hour on a machine of the type, if the
// machine is filled with tasks like it. Machines that GPU work needs are not
// rented for anything else.
func (v *Snapshot) pricePerTask(j *model.Job, t *model.MachineType, spot bool) (float64, int) {
	n := j.Spec.Demand.FitCount(t.Capacity)
	if n == 0 || v.reservedForGPU(j, t, spot) {
		return 0, 0
	}
	p := t.PricePerHour
	if spot {
		p = t.SpotPricePerHour
	}
	return p / float64(n), n
}

// ScaleOut decides what to rent for the tasks that fit on no machine that is up.
// Tasks first fill what is booting; for the rest the cheapest fitting kind that
// was not refused lately is asked for, in a quiet zone only where no other will do.
// Guards against renting in the middle of a cut right where nothing can report, since
// that zone seems to have the fewest machines.
func ScaleOut(s *Settings, now time.Time, v *Snapshot, lacking []scheduler.Shortage) []Request {
	v.kinds, v.judgedRequest = nil, nil
	for _, c := range v.Incoming {
		c.computed = false
		v.assignKind(c)
	}
	var asks []Request
	full := fullCache{}
	for _, l := range lacking {
		if l.OverQuota {
			continue
		}
		spec := l.Request.Job.Spec
		n := l.Count
		zones := map[string]int{}
		for z, k := range l.Request.TasksByZone {
			zones[z] = k
		}
		lock := v.lockedZone(now, l.Request)
		for from := full.startIndex(l.Request); n > 0; n-- {
			if from = fillIncoming(v, l.Request, zones, lock, from); from == len(v.Incoming) {
				full.add(l.Request, lock, from)
				break
			}
		}
		for n > 0 {
			best, per, ok := cheapestOffer(now, v, l.Request, zones, lock)
			if !ok {
				break
			}
			per = min(per, l.Request.MaxPerMachine())
			t := findType(v.Types, best.Type)
			c := &Incoming{Type: t, Zone: best.Zone, Spot: best.Spot, free: t.Capacity, computed: true}
			v.assignKind(c)
			v.Incoming = append(v.Incoming, c)
			v.MachinesByZone[best.Zone]++
			k := 0
			for ; n > 0 && k < per; k++ {
				if l.Request.ZoneFull(zones, best.Zone) {
					break
				}
				c.free = c.free.Sub(spec.Demand)
				zones[best.Zone]++
				n--
			}
			if k == 0 {
				break
			}
			asks = addRequest(asks, best, spec.Class, s.MaxPerRequest)
		}
	}
	return asks
}

func addRequest(asks []Request, o Offer, why string, most int) []Request {
	for i := range asks {
		if asks[i].Offer == o {
			if asks[i].Count < most {
				asks[i].Count++
			}
			return asks
		}
	}
	return append(asks, Request{o, 1, why})
}

func findType(types []model.MachineType, name string) *model.MachineType {
	for i := range types {
		if types[i].Name == name {
			return &types[i]
		}
	}
	return nil
}

// fillIncoming puts one task of a want on what is coming, beginning at a place in the list,
// and tells where; the length of the list: nothing has room. lock is the only zone; "": any.
func fillIncoming(v *Snapshot, w *scheduler.Request, zones map[string]int, lock string, from int) int {
	spec := w.Job.Spec
	for i := from; i < len(v.Incoming); i++ {
		c := v.Incoming[i]
		if !v.fits(w, c) || lock != "" && lock != c.Zone || w.ZoneFull(zones, c.Zone) || c.lastRequest == w && c.lastRequestTasks >= w.MaxPerMachine() {
			continue
		}
		if c.lastRequest != w {
			c.lastRequest, c.lastRequestTasks = w, 0
		}
		c.lastRequestTasks++
		c.free = c.free.Sub(spec.Demand)
		zones[c.Zone]++
		return i
	}
	return len(v.Incoming)
}

// fullCache says up to where in the list of what is coming there is no room for tasks of a kind.
// Room there only becomes less. Guards against a look at all that is coming for each task of
// hundreds of jobs that wait.
type fullCache map[requestKind][]fullEntry

// requestKind is what decides where tasks without rules may go, but for how much they need.
type requestKind struct {
	urgent, spot, gpu, gpuMachinesAllowed bool
	zone, types                           string
}

type fullEntry struct {
	need     model.Resources
	endIndex int
}

func requestKindOf(w *scheduler.Request) requestKind {
	s := w.Job.Spec
	return requestKind{w.Urgent(), s.AllowSpot, s.Demand.GPU > 0, w.Job.MayUseGPUMachines, s.Zone, strings.Join(s.MachineTypes, " ")}
}

// startIndex is where to begin to look for room.
func (f fullCache) startIndex(w *scheduler.Request) int {
	at := 0
	for _, e := range f[requestKindOf(w)] {
		if e.need.Fits(w.Job.Spec.Demand) {
			at = max(at, e.endIndex)
		}
	}
	return at
}

// add notes that there is no room for a want's tasks up to a place in the list. What else
// bounds them says nothing of others.
func (f fullCache) add(w *scheduler.Request, lock string, upTo int) {
	k := requestKindOf(w)
	if w.Rules != nil || w.Job.Spec.Spread || lock != "" || len(f[k]) >= maxFullEntries {
		return
	}
	f[k] = append(f[k], fullEntry{w.Job.Spec.Demand, upTo})
}

// maxFullEntries bounds what is kept for tasks of one kind.
const maxFullEntries = 32

// cheapestOffer chooses what to rent for one more task, in one zone unless that is empty.
func cheapestOffer(now time.Time, v *Snapshot, w *scheduler.Request, zones map[string]int, lock string) (Offer, int, bool) {
	spec := w.Job.Spec
	type option struct {
		Offer
		price float64
		per   int
		count int
		quiet int
	}
	var options []option
	for i := range v.Types {
		t := &v.Types[i]
		if !spec.AllowsType(t.Name) {
			continue
		}
		for _, spot := range []bool{false, true} {
			if spot && (!spec.AllowSpot || t.SpotPricePerHour <= 0) {
				continue // a type without a spot price is not offered as one
			}
			p, per := v.pricePerTask(w.Job, t, spot)
			if per == 0 {
				continue
			}
			for _, z := range t.Zones {
				o := Offer{t.Name, z, spot}
				if spec.Zone != "" && z != spec.Zone || lock != "" && z != lock || now.Before(v.RefusedUntil[o]) || w.ZoneFull(zones, z) || !w.Rules.AcceptsOffer(t, z, spot) {
					continue
				}
				quiet := 0
				if v.SuspectZones[z] {
					quiet = 1
				}
				options = append(options, option{o, p, per, v.MachinesByZone[z], quiet})
			}
		}
	}
	if len(options) == 0 {
		return Offer{}, 0, false
	}
	best := slices.MinFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.quiet, b.quiet), cmp.Compare(a.price, b.price), cmp.Compare(a.count, b.count), cmp.Compare(a.Zone, b.Zone))
	})
	return best.Offer, best.per, true
}
