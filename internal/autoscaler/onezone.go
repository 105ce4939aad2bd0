package autoscaler

import (
	"cmp"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// lockedZone chooses the zone that machines for a want have to be in; "": any. What has to be in one
// zone goes where most of it fits already, on what is up and on what is coming, and is rented for
// only there. Guards against machines for a gang that are rented spread over the zones, where
// no zone ever holds all of it, and that go back idle to be rented again in the same way.
func (v *Snapshot) lockedZone(now time.Time, w *scheduler.Request) string {
	spec := w.Job.Spec
	if !spec.SingleZone || spec.Zone != "" {
		return ""
	}
	for z, n := range w.TasksByZone {
		if n > 0 {
			return z
		}
	}
	zones := v.offeredZones()
	if w.Count == 1 || len(zones) < 2 {
		return ""
	}
	type option struct {
		zone  string
		lacks int // tasks that fit nowhere there yet
		rent  bool
		quiet bool
		price float64
		count int
	}
	var options []option
	for _, z := range zones {
		o := option{zone: z, lacks: max(w.Count-v.incomingCapacity(w, z), 0), quiet: v.SuspectZones[z], count: v.MachinesByZone[z]}
		if o.lacks > 0 && v.CapacityInZone != nil {
			o.lacks = max(o.lacks-v.CapacityInZone(w, z), 0)
		}
		if offer, _, ok := cheapestOffer(now, v, w, w.TasksByZone, z); ok {
			o.rent = true
			if t := findType(v.Types, offer.Type); t != nil {
				o.price, _ = v.pricePerTask(w.Job, t, offer.Spot)
			}
		}
		if o.lacks == 0 || o.rent {
			options = append(options, o)
		}
	}
	if len(options) == 0 {
		return "" // nothing is offered anywhere
	}
	return slices.MinFunc(options, func(a, b option) int {
		return cmp.Or(compareFalseFirst(a.quiet, b.quiet), cmp.Compare(a.lacks, b.lacks), cmp.Compare(a.price, b.price), cmp.Compare(a.count, b.count), cmp.Compare(a.zone, b.zone))
	}).zone
}

func compareFalseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// offeredZones lists the zones in which anything is offered, by name.
func (v *Snapshot) offeredZones() []string {
	var out []string
	for i := range v.Types {
		out = append(out, v.Types[i].Zones...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// incomingCapacity is how many tasks of a want fit on what is coming in a zone.
func (v *Snapshot) incomingCapacity(w *scheduler.Request, zone string) int {
	n := 0
	for _, c := range v.Incoming {
		if c.Zone == zone && v.fits(w, c) {
			n += min(w.Job.Spec.Demand.FitCount(c.available()), w.MaxPerMachine())
		}
	}
	return n
}

// fits tells whether tasks of a want may go to what is coming, and one of them fits.
func (v *Snapshot) fits(w *scheduler.Request, c *Incoming) bool {
	return v.feasible(w, c) && w.Job.Spec.Demand.Fits(c.available())
}

// reservedForGPU tells whether a kind of machine is kept for GPU work, which a job is not.
func (v *Snapshot) reservedForGPU(j *model.Job, t *model.MachineType, spot bool) bool {
	return j.Spec.Demand.GPU == 0 && !j.MayUseGPUMachines && v.ReservedForGPU(t, spot)
}
