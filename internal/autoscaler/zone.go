package autoscaler

import (
	"cmp"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/scheduler"
)

// lockedZone chooses the zone that machines for a pending request have to be in; "": any. What has to be in one zone
// goes where most of it fits already, on running and incoming machines, and machines are requested only there.
// Otherwise machines for a gang would be spread over zones of which none ever holds all of it, released when idle, and
// requested again in the same way.
func (s *Snapshot) lockedZone(now time.Time, pending *scheduler.Request) string {
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
	if pending.Count == 1 || len(zones) < 2 {
		return ""
	}
	var options []zoneOption
	for _, zone := range zones {
		if option, ok := s.zoneOption(now, pending, zone); ok {
			options = append(options, option)
		}
	}
	if len(options) == 0 {
		return "" // nothing is offered anywhere
	}
	return slices.MinFunc(options, zoneOption.compare).zone
}

// zoneOption is a zone that could take all tasks of a request, with what it is compared by.
type zoneOption struct {
	zone         string
	suspect      bool    // likely cut off
	missing      int     // tasks that fit on no running or incoming machine there
	pricePerTask float64 // of the cheapest offer, an hour; 0: there is none
	machines     int
}

// compare is negative if the zone is better than another one.
func (o zoneOption) compare(other zoneOption) int {
	return cmp.Or(
		compareFalseFirst(o.suspect, other.suspect),
		cmp.Compare(o.missing, other.missing),
		cmp.Compare(o.pricePerTask, other.pricePerTask),
		cmp.Compare(o.machines, other.machines),
		cmp.Compare(o.zone, other.zone),
	)
}

// zoneOption weighs a zone for a pending request. ok is false where tasks would be missing and nothing is offered.
func (s *Snapshot) zoneOption(now time.Time, pending *scheduler.Request, zone string) (option zoneOption, ok bool) {
	option = zoneOption{
		zone:     zone,
		suspect:  s.SuspectZones[zone],
		missing:  max(pending.Count-s.incomingCapacity(pending, zone), 0),
		machines: s.MachinesByZone[zone],
	}
	if option.missing > 0 && s.CapacityInZone != nil {
		option.missing = max(option.missing-s.CapacityInZone(pending, zone), 0)
	}
	offer, offered := s.cheapestOffer(now, pending, pending.TasksByZone, zone)
	if offered {
		option.pricePerTask = offer.pricePerTask
	}
	return option, option.missing == 0 || offered
}

// offeredZones lists the zones in which anything is offered, by name.
func (s *Snapshot) offeredZones() []string {
	var zones []string
	for i := range s.Types {
		zones = append(zones, s.Types[i].Zones...)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// incomingCapacity is how many tasks of a pending request fit on incoming machines in a zone.
func (s *Snapshot) incomingCapacity(pending *scheduler.Request, zone string) int {
	tasks := 0
	for _, incoming := range s.Incoming {
		if incoming.Zone == zone && s.fits(pending, incoming) {
			tasks += min(pending.Job.Spec.Demand.FitCount(incoming.available()), pending.MaxPerMachine())
		}
	}
	return tasks
}
