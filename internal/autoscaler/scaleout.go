package autoscaler

import (
	"time"

	"github.com/glentiller/glentiller/internal/scheduler"
)

// ScaleOut decides which machines to request for tasks that fit on no running machine. The tasks first fill the
// incoming capacity; for the rest it requests the cheapest feasible offers that were not refused recently. Shortages
// that are due to a team's quota are skipped, since more machines would not help.
//
// At most Settings.MaxPerRequest machines of each offer are requested. Tasks for which that is not enough are left to
// later calls, so the time and memory that a call takes do not depend on how many tasks wait.
//
// A machine is requested in a zone that is suspected to be partitioned only if no other zone is feasible. Machines
// cannot register from such a zone, so it appears to have the fewest machines and would otherwise be preferred.
//
// ScaleOut modifies the snapshot; see Snapshot.
func ScaleOut(settings *Settings, now time.Time, snapshot *Snapshot, shortages []scheduler.Shortage) []MachineRequest {
	snapshot.resetCaches()
	requests := &requestSet{maxPerRequest: settings.MaxPerRequest}
	exhausted := exhaustedPrefixes{}
	for _, shortage := range shortages {
		if shortage.OverQuota {
			continue
		}
		p := newPacking(now, snapshot, shortage)
		p.fillIncoming(exhausted)
		if p.missing > 0 {
			p.requestMachines(now, requests)
		}
	}
	return requests.list
}

// requestSet holds the requests that a call of ScaleOut makes, at most one for each offer.
type requestSet struct {
	maxPerRequest int
	list          []MachineRequest
}

// find returns the request for an offer, or nil if there is none.
func (s *requestSet) find(offer Offer) *MachineRequest {
	for i := range s.list {
		if s.list[i].Offer == offer {
			return &s.list[i]
		}
	}
	return nil
}

// full reports whether no more machines of an offer can be requested.
func (s *requestSet) full(offer Offer) bool {
	request := s.find(offer)
	return request != nil && request.Count >= s.maxPerRequest
}

// add requests one more machine of an offer, which must not be full.
func (s *requestSet) add(offer Offer, jobClass string) {
	if request := s.find(offer); request != nil {
		request.Count++
		return
	}
	s.list = append(s.list, MachineRequest{Offer: offer, Count: 1, JobClass: jobClass})
}
