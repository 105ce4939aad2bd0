package model

// CheckFeasibility reports whether a job of the team can ever run on machines of the given types. A task must fit at
// least one machine type that the job allows, and the tasks that have to run at the same time must fit the team's
// quota and the zones. If the job can never run, reason explains why to the user; otherwise it is "". team is nil if
// it is unknown.
func CheckFeasibility(spec *Spec, team *Team, types []MachineType) (ok bool, reason string) {
	if team == nil {
		return false, "unknown team"
	}
	concurrentDemand := spec.Demand
	if spec.Shape != Array {
		concurrentDemand = spec.TotalDemand()
	}
	if !team.Quota.Allows(concurrentDemand) {
		return false, "more than the team's limit"
	}
	if spec.Shape != Array && spec.Spread && spec.Tasks > 1 && (spec.SingleZone || spec.Zone != "") {
		// If the job were accepted, some of its tasks would wait forever.
		return false, "its tasks are to be spread and in one zone"
	}
	spreadGang := spec.Shape == Gang && spec.Spread && spec.Tasks != 1
	feasibleZones := map[string]bool{}
	for i := range types {
		machineType := &types[i]
		if !spec.AllowsType(machineType.Name) || !spec.Demand.Fits(machineType.Capacity) ||
			spec.Zone != "" && !machineType.OfferedIn(spec.Zone) {
			continue
		}
		if !spreadGang {
			return true, ""
		}
		for _, zone := range machineType.Zones {
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
