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
	KeepIdle   time.Duration // an empty machine is kept this long at least
	KeepBoots  float64       // and this many times its type's boot time
	LeastPaid  time.Duration // a machine is paid for at least this long, so it is not given back sooner
	KeepSpot   float64       // the floor for a spot machine is this many times as long
	BootFactor float64       // a machine that takes longer than this many boot times is replaced
	BootExtra  time.Duration // plus this
	Refused    time.Duration // a refused kind of machine is asked for again after this
	SoonBoots  float64       // nothing is rented for what likely becomes free within this many boot times
	MaxRent    int           // machines in one request
}

// Offer is a kind of machine: what one rental request asks for.
type Offer struct {
	Type string
	Zone string
	Spot bool
}

// Ask is a number of machines of one kind.
type Ask struct {
	Offer
	Count int
	For   string
}

// Coming is room that comes without renting: a machine that is booting or on
// order, or the part of one that is up which is likely free within a boot time.
type Coming struct {
	Type *model.MachineType
	Zone string
	Spot bool
	Soon func() model.Resources // of a machine that is up, asked for once where tasks may go there; nil: the whole machine

	free  model.Resources
	known bool            // free is
	kind  int             // its kind's number
	by    *scheduler.Want // the last one that it was filled with
	of    int             // and how many tasks of it
}

// room is what is left of it.
func (c *Coming) room() model.Resources {
	if !c.known {
		c.known = true
		if c.free = c.Type.Capacity; c.Soon != nil {
			c.free = c.Soon()
		}
	}
	return c.free
}

// Idle tells whether a machine that has been empty for some time is to be given
// back. It is kept as long as renting it anew would take, and no less than a
// floor; what is paid for anyway is kept too. Spot machines are cheap and scarce,
// so they are kept longer.
func (s *Settings) Idle(t *model.MachineType, spot bool, empty, age time.Duration) bool {
	floor := s.KeepIdle
	if spot {
		floor = time.Duration(float64(floor) * s.KeepSpot)
	}
	return empty > max(floor, time.Duration(s.KeepBoots*float64(t.BootTime))) && age >= s.LeastPaid
}

// BootLimit is when a machine that has not come up is given up. Guards against machines of a
// type without a stated boot time that are given up before any of them can come up, over and over.
func (s *Settings) BootLimit(t *model.MachineType) time.Duration {
	boot := t.BootTime
	if boot == 0 {
		boot = unstatedBoot
	}
	return time.Duration(s.BootFactor*float64(boot)) + s.BootExtra
}

// unstatedBoot is how long a machine may take whose type says nothing of it.
const unstatedBoot = 2 * time.Minute

// View is what the fleet rule decides from.
type View struct {
	Types   []model.MachineType
	Coming  []*Coming
	Refused map[Offer]time.Time                        // not before
	Count   map[string]int                             // machines by zone, to spread over zones
	Quiet   map[string]bool                            // zones that are likely cut off: what comes up there cannot report
	ForGPU  func(t *model.MachineType, spot bool) bool // machines that are kept for GPU work
	Room    func(w *scheduler.Want, zone string) int   // how many tasks fit on what is up in a zone; nil: none

	kinds   []kindOfMachine // of what is coming, by number
	judged  *scheduler.Want // whom the kinds were judged for last
	verdict []bool          // by kind: whether its tasks may go there
}

// kindOfMachine is a type, ordinary or spot, in a zone, as a machine that is up or as one that is coming.
type kindOfMachine struct {
	of       *model.MachineType
	zone     string
	spot, up bool
}

// number gives what is coming the number of its kind.
func (v *View) number(c *Coming) {
	k := kindOfMachine{c.Type, c.Zone, c.Spot, c.Soon != nil}
	if c.kind = slices.Index(v.kinds, k); c.kind < 0 {
		c.kind = len(v.kinds)
		v.kinds = append(v.kinds, k)
	}
}

// may tells whether tasks of a want may go to what is coming, whatever room it has. It is judged once a kind for each
// want. Guards against judging thousands of machines for each of hundreds of wants.
func (v *View) may(w *scheduler.Want, c *Coming) bool {
	if v.judged != w {
		v.judged, v.verdict = w, v.verdict[:0]
	}
	for len(v.verdict) < len(v.kinds) {
		k := v.kinds[len(v.verdict)]
		spec := w.Job.Spec
		v.verdict = append(v.verdict, !(w.Urgent() && k.up) && (spec.AllowSpot || !k.spot) && spec.Demand.Fits(k.of.Capacity) && spec.AllowsType(k.of.Name) &&
			(spec.Zone == "" || spec.Zone == k.zone) && !v.keeps(w.Job, k.of, k.spot) && w.Rules.Offer(k.of, k.zone, k.spot))
	}
	return v.verdict[c.kind]
}

// price is what one task costs an hour on a machine of the type, if the
// machine is filled with tasks like it. Machines that GPU work needs are not
// rented for anything else.
func (v *View) price(j *model.Job, t *model.MachineType, spot bool) (float64, int) {
	n := j.Spec.Demand.FitCount(t.Capacity)
	if n == 0 || v.keeps(j, t, spot) {
		return 0, 0
	}
	p := t.PricePerHour
	if spot {
		p = t.SpotPricePerHour
	}
	return p / float64(n), n
}

// Rent decides what to rent for the tasks that fit on no machine that is up.
// Tasks first fill what is booting; for the rest the cheapest fitting kind that
// was not refused lately is asked for, in a quiet zone only where no other will do.
// Guards against renting in the middle of a cut right where nothing can report, since
// that zone seems to have the fewest machines.
func Rent(s *Settings, now time.Time, v *View, lacking []scheduler.Shortage) []Ask {
	v.kinds, v.judged = nil, nil
	for _, c := range v.Coming {
		c.known = false
		v.number(c)
	}
	var asks []Ask
	full := fulls{}
	for _, l := range lacking {
		if l.Limited {
			continue
		}
		spec := l.Want.Job.Spec
		n := l.Count
		zones := map[string]int{}
		for z, k := range l.Want.Zones {
			zones[z] = k
		}
		lock := v.lock(now, l.Want)
		for from := full.from(l.Want); n > 0; n-- {
			if from = fillComing(v, l.Want, zones, lock, from); from == len(v.Coming) {
				full.add(l.Want, lock, from)
				break
			}
		}
		for n > 0 {
			best, per, ok := cheapest(now, v, l.Want, zones, lock)
			if !ok {
				break
			}
			per = min(per, l.Want.PerMachine())
			t := typeOf(v.Types, best.Type)
			c := &Coming{Type: t, Zone: best.Zone, Spot: best.Spot, free: t.Capacity, known: true}
			v.number(c)
			v.Coming = append(v.Coming, c)
			v.Count[best.Zone]++
			k := 0
			for ; n > 0 && k < per; k++ {
				if l.Want.ZoneFull(zones, best.Zone) {
					break
				}
				c.free = c.free.Sub(spec.Demand)
				zones[best.Zone]++
				n--
			}
			if k == 0 {
				break
			}
			asks = add(asks, best, spec.Class, s.MaxRent)
		}
	}
	return asks
}

func add(asks []Ask, o Offer, why string, most int) []Ask {
	for i := range asks {
		if asks[i].Offer == o {
			if asks[i].Count < most {
				asks[i].Count++
			}
			return asks
		}
	}
	return append(asks, Ask{o, 1, why})
}

func typeOf(types []model.MachineType, name string) *model.MachineType {
	for i := range types {
		if types[i].Name == name {
			return &types[i]
		}
	}
	return nil
}

// fillComing puts one task of a want on what is coming, beginning at a place in the list,
// and tells where; the length of the list: nothing has room. lock is the only zone; "": any.
func fillComing(v *View, w *scheduler.Want, zones map[string]int, lock string, from int) int {
	spec := w.Job.Spec
	for i := from; i < len(v.Coming); i++ {
		c := v.Coming[i]
		if !v.takes(w, c) || lock != "" && lock != c.Zone || w.ZoneFull(zones, c.Zone) || c.by == w && c.of >= w.PerMachine() {
			continue
		}
		if c.by != w {
			c.by, c.of = w, 0
		}
		c.of++
		c.free = c.free.Sub(spec.Demand)
		zones[c.Zone]++
		return i
	}
	return len(v.Coming)
}

// fulls says up to where in the list of what is coming there is no room for tasks of a kind.
// Room there only becomes less. Guards against a look at all that is coming for each task of
// hundreds of jobs that wait.
type fulls map[kind][]full

// kind is what decides where tasks without rules may go, but for how much they need.
type kind struct {
	urgent, spot, gpu, gpuToo bool
	zone, types               string
}

type full struct {
	need model.Resources
	upTo int
}

func kindOf(w *scheduler.Want) kind {
	s := w.Job.Spec
	return kind{w.Urgent(), s.AllowSpot, s.Demand.GPU > 0, w.Job.MayUseGPUMachines, s.Zone, strings.Join(s.MachineTypes, " ")}
}

// from is where to begin to look for room.
func (f fulls) from(w *scheduler.Want) int {
	at := 0
	for _, e := range f[kindOf(w)] {
		if e.need.Fits(w.Job.Spec.Demand) {
			at = max(at, e.upTo)
		}
	}
	return at
}

// add notes that there is no room for a want's tasks up to a place in the list. What else
// bounds them says nothing of others.
func (f fulls) add(w *scheduler.Want, lock string, upTo int) {
	k := kindOf(w)
	if w.Rules != nil || w.Job.Spec.Spread || lock != "" || len(f[k]) >= mostFull {
		return
	}
	f[k] = append(f[k], full{w.Job.Spec.Demand, upTo})
}

// mostFull bounds what is kept for tasks of one kind.
const mostFull = 32

// cheapest chooses what to rent for one more task, in one zone unless that is empty.
func cheapest(now time.Time, v *View, w *scheduler.Want, zones map[string]int, lock string) (Offer, int, bool) {
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
			p, per := v.price(w.Job, t, spot)
			if per == 0 {
				continue
			}
			for _, z := range t.Zones {
				o := Offer{t.Name, z, spot}
				if spec.Zone != "" && z != spec.Zone || lock != "" && z != lock || now.Before(v.Refused[o]) || w.ZoneFull(zones, z) || !w.Rules.Offer(t, z, spot) {
					continue
				}
				quiet := 0
				if v.Quiet[z] {
					quiet = 1
				}
				options = append(options, option{o, p, per, v.Count[z], quiet})
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
