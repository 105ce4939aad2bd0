package autoscaler

import (
	"cmp"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// offerOption is an offer that the tasks of a pending request may use, with the values by which offers are compared.
type offerOption struct {
	Offer
	suspectZone     bool    // the zone is suspected to be partitioned
	pricePerTask    float64 // price per hour of a full machine, divided by tasksPerMachine
	machinesInZone  int
	requestFull     bool // no more machines of the offer can be requested in this call of ScaleOut
	tasksPerMachine int  // tasks of the request that fit on an empty machine; not compared
}

// compare returns a negative number if o is preferable to other. Zones without a suspected partition come first, then
// the lower price per task, the zone with fewer machines, and the zone name. Among offers in the same zone, one that
// can still be requested is preferable.
func (o offerOption) compare(other offerOption) int {
	return cmp.Or(
		compareFalseFirst(o.suspectZone, other.suspectZone),
		cmp.Compare(o.pricePerTask, other.pricePerTask),
		cmp.Compare(o.machinesInZone, other.machinesInZone),
		cmp.Compare(o.Zone, other.Zone),
		compareFalseFirst(o.requestFull, other.requestFull),
	)
}

// compareFalseFirst returns -1, 0 or 1 like cmp.Compare, with false ordered before true.
func compareFalseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// equallyGood reports whether two offers cost the same per task and are both in a suspect zone or both in another one.
func (o offerOption) equallyGood(other offerOption) bool {
	return o.suspectZone == other.suspectZone && o.pricePerTask == other.pricePerTask
}

// bestOffer returns the preferred one among the feasible offers for one more task of a pending request; see
// feasibleOffers. ok is false if there is none.
func (s *Snapshot) bestOffer(
	now time.Time, pending *scheduler.Request, tasksByZone map[string]int, pinnedZone string,
) (best offerOption, ok bool) {
	options := s.feasibleOffers(now, pending, tasksByZone, pinnedZone)
	if len(options) == 0 {
		return offerOption{}, false
	}
	return slices.MinFunc(options, offerOption.compare), true
}

// feasibleOffers returns the offers for one more task of a pending request. If pinnedZone is not empty, only offers in
// that zone are feasible. Offers that the cloud refused recently and zones that may not hold another task of the job
// are excluded.
func (s *Snapshot) feasibleOffers(
	now time.Time, pending *scheduler.Request, tasksByZone map[string]int, pinnedZone string,
) []offerOption {
	return slices.DeleteFunc(s.offersFor(pending), func(o offerOption) bool {
		otherZone := pinnedZone != "" && o.Zone != pinnedZone
		return otherZone || now.Before(s.RefusedUntil[o.Offer]) || pending.ZoneRemaining(tasksByZone, o.Zone) == 0
	})
}

// offersFor returns the offers that the tasks of a pending request may use, including recently refused ones.
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

// appendOffers appends to options the offers of one machine type that the tasks of a pending request may use: those
// of spot machines if spot is true, otherwise those of on-demand machines.
func (s *Snapshot) appendOffers(
	options []offerOption, pending *scheduler.Request, machineType *model.MachineType, spot bool,
) []offerOption {
	spec := pending.Job.Spec
	if spot && (!spec.AllowSpot || machineType.SpotPricePerHour <= 0) {
		return options // the cloud offers no spot machines of a type without a spot price
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

// pricePerTask returns how many tasks of the job fit on an empty machine of the type, and the price per task and hour
// if the machine is full of them. tasks is 0 if the machine is too small for a task, or if it is reserved for GPU
// work and the job may not use it.
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
