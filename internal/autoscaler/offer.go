package autoscaler

import (
	"cmp"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// offerOption is an offer that the tasks of a request may use, with what it is compared by.
type offerOption struct {
	Offer
	suspectZone     bool    // its zone is likely cut off
	pricePerTask    float64 // an hour
	machinesInZone  int
	tasksPerMachine int // not compared
}

// compare is negative if the offer is better than another one.
func (o offerOption) compare(other offerOption) int {
	return cmp.Or(
		compareFalseFirst(o.suspectZone, other.suspectZone),
		cmp.Compare(o.pricePerTask, other.pricePerTask),
		cmp.Compare(o.machinesInZone, other.machinesInZone),
		cmp.Compare(o.Zone, other.Zone),
	)
}

// compareFalseFirst compares two booleans, false before true.
func compareFalseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// cheapestOffer chooses the offer for one more task of a pending request, in a locked zone ("": any); ok is false where
// there is none.
func (s *Snapshot) cheapestOffer(
	now time.Time, pending *scheduler.Request, tasksByZone map[string]int, lockedZone string,
) (best offerOption, ok bool) {
	options := slices.DeleteFunc(s.offersFor(pending), func(o offerOption) bool {
		otherZone := lockedZone != "" && o.Zone != lockedZone
		return otherZone || now.Before(s.RefusedUntil[o.Offer]) || pending.ZoneFull(tasksByZone, o.Zone)
	})
	if len(options) == 0 {
		return offerOption{}, false
	}
	return slices.MinFunc(options, offerOption.compare), true
}

// offersFor lists the offers that a pending request may use.
func (s *Snapshot) offersFor(pending *scheduler.Request) []offerOption {
	var options []offerOption
	for i := range s.Types {
		machineType := &s.Types[i]
		if !pending.Job.Spec.AllowsType(machineType.Name) {
			continue
		}
		for _, spot := range []bool{false, true} {
			options = s.appendOffers(options, pending, machineType, spot)
		}
	}
	return options
}

// appendOffers appends the offers of one machine type, spot or not, that a pending request may use.
func (s *Snapshot) appendOffers(
	options []offerOption, pending *scheduler.Request, machineType *model.MachineType, spot bool,
) []offerOption {
	spec := pending.Job.Spec
	if spot && (!spec.AllowSpot || machineType.SpotPricePerHour <= 0) {
		return options // a type without a spot price is not offered as spot
	}
	price, tasks := s.pricePerTask(pending.Job, machineType, spot)
	if tasks == 0 {
		return options
	}
	for _, zone := range machineType.Zones {
		if spec.Zone != "" && zone != spec.Zone || !pending.Rules.AcceptsOffer(machineType, zone, spot) {
			continue
		}
		options = append(options, offerOption{
			Offer:           Offer{Type: machineType.Name, Zone: zone, Spot: spot},
			suspectZone:     s.SuspectZones[zone],
			pricePerTask:    price,
			machinesInZone:  s.MachinesByZone[zone],
			tasksPerMachine: tasks,
		})
	}
	return options
}

// pricePerTask is the price of one task for an hour on a machine that is filled with tasks like it, and the number of
// those; 0: the type is too small, or reserved for GPU work that the job is not.
func (s *Snapshot) pricePerTask(job *model.Job, machineType *model.MachineType, spot bool) (price float64, tasks int) {
	tasks = job.Spec.Demand.FitCount(machineType.Capacity)
	if tasks == 0 || s.reservedForGPU(job, machineType, spot) {
		return 0, 0
	}
	price = machineType.PricePerHour
	if spot {
		price = machineType.SpotPricePerHour
	}
	return price / float64(tasks), tasks
}
