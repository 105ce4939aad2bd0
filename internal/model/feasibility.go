package model

// CheckFeasibility reports whether the job can ever run: whether a task fits some
// machine type that the job allows, and whether all tasks that must run at once
// fit the team's quota and the zones. If not, it returns the reason.
func CheckFeasibility(s *Spec, team *Team, types []MachineType) (ok bool, reason string) {
	if team == nil {
		return false, "unknown team"
	}
	concurrentDemand := s.Demand
	if s.Shape != Array {
		concurrentDemand = s.TotalDemand()
	}
	if !team.Quota.Allows(concurrentDemand) {
		return false, "more than the team's limit"
	}
	if s.Shape != Array && s.Spread && s.Tasks > 1 && (s.SingleZone || s.Zone != "") {
		// Once accepted, a part of the tasks would wait for ever.
		return false, "its tasks are to be spread and in one zone"
	}
	spreadGang := s.Shape == Gang && s.Spread && s.Tasks != 1
	feasibleZones := map[string]bool{}
	for i := range types {
		t := &types[i]
		if !s.AllowsType(t.Name) || !s.Demand.Fits(t.Capacity) || s.Zone != "" && !t.OfferedIn(s.Zone) {
			continue
		}
		if !spreadGang {
			return true, ""
		}
		for _, zone := range t.Zones {
			if feasibleZones[zone] = true; len(feasibleZones) > 1 {
				return true, ""
			}
		}
	}
	if len(feasibleZones) > 0 {
		return false, "a gang that is to be spread fits in one zone only"
	}
	return false, "fits no allowed machine type"
}
