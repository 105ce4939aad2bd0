package autoscaler

import (
	"cmp"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/scheduler"
)

// pinnedZone returns the only zone whose machines a pending request may use, or "" if the request is not pinned to a
// zone. A single-zone job is pinned to the zone that already has tasks of it, or else to the zone where most of its
// tasks fit on running and incoming machines. Without the pin, machines for a gang could be spread over several zones
// so that no zone ever holds the whole gang: they would be released when idle and requested again in the same way.
func (s *Snapshot) pinnedZone(now time.Time, pending *scheduler.Request) string {
	spec := pending.Job.Spec
	if !spec.SingleZone || spec.Zone != "" {
		return ""
	}
	for zone, tasks := range pending.TasksByZone {
		if tasks > 0 {
			return zone
		}
	}
	zones := s.offeredZones()
	if pending.PendingTasks == 1 || len(zones) < 2 {
		return ""
	}
	var options []zoneOption
	for _, zone := range zones {
		if option, ok := s.evaluateZone(now, pending, zone); ok {
			options = append(options, option)
		}
	}
	if len(options) == 0 {
		return "" // no zone has enough capacity or an offer
	}
	return slices.MinFunc(options, zoneOption.compare).zone
}

// zoneOption is a zone that could take all tasks of a pending request, with the values by which zones are compared.
type zoneOption struct {
	zone         string
	suspect      bool    // the zone is suspected to be partitioned
	missing      int     // tasks that fit on no running or incoming machine in the zone
	pricePerTask float64 // price per task and hour of the best offer in the zone, or 0 if there is no offer
	machines     int     // number of machines in the zone
}

// compare returns a negative number if o is preferable to other. Zones without a suspected partition come first, then
// the zone with fewer missing tasks, the lower price, the zone with fewer machines, and the zone name as the
// tie-breaker.
func (o zoneOption) compare(other zoneOption) int {
	return cmp.Or(
		compareFalseFirst(o.suspect, other.suspect),
		cmp.Compare(o.missing, other.missing),
		cmp.Compare(o.pricePerTask, other.pricePerTask),
		cmp.Compare(o.machines, other.machines),
		cmp.Compare(o.zone, other.zone),
	)
}

// evaluateZone computes the values by which a zone is compared for a pending request. ok is false if some tasks do
// not fit on the running and incoming machines of the zone and there is no offer in it.
func (s *Snapshot) evaluateZone(now time.Time, pending *scheduler.Request, zone string) (option zoneOption, ok bool) {
	option = zoneOption{
		zone:     zone,
		suspect:  s.SuspectZones[zone],
		missing:  max(pending.PendingTasks-s.incomingCapacity(pending, zone), 0),
		machines: s.MachinesByZone[zone],
	}
	if option.missing > 0 && s.CapacityInZone != nil {
		option.missing = max(option.missing-s.CapacityInZone(pending, zone), 0)
	}
	offer, hasOffer := s.bestOffer(now, pending, pending.TasksByZone, zone)
	if hasOffer {
		option.pricePerTask = offer.pricePerTask
	}
	return option, option.missing == 0 || hasOffer
}

// offeredZones returns the zones in which at least one machine type is offered, sorted by name.
func (s *Snapshot) offeredZones() []string {
	var zones []string
	for i := range s.Types {
		zones = append(zones, s.Types[i].Zones...)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// incomingCapacity returns how many tasks of a pending request fit on the incoming machines in a zone.
func (s *Snapshot) incomingCapacity(pending *scheduler.Request, zone string) int {
	tasks := 0
	for _, incoming := range s.Incoming {
		if incoming.Zone == zone {
			tasks += s.capacityOf(pending, incoming)
		}
	}
	return tasks
}
