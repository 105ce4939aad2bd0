package reconciler

import "time"

// allZones is the key under which all zones together are counted.
const allZones = ""

// isolationMargin is the time beyond UnresponsiveAfter that has to pass without a heartbeat of any machine before the
// leader considers itself isolated.
const isolationMargin = 2 * time.Second

// partitionDetector detects zones in which so many machines are unresponsive that a network partition is more likely
// than their failure.
type partitionDetector struct {
	detectedAt           map[string]time.Time // by zone: the last time at which too many machines were unresponsive
	timeoutsIgnoredUntil time.Time            // missing heartbeats are disregarded until this time
}

// zoneHeartbeats counts the machines of a zone that are up, and how many of them have not sent a heartbeat recently.
type zoneHeartbeats struct{ up, overdue int }

func newPartitionDetector(now time.Time, settings *Settings) partitionDetector {
	detector := partitionDetector{detectedAt: map[string]time.Time{}}
	detector.resetHeartbeatTimeouts(now, settings.UnresponsiveAfter)
	return detector
}

// resetHeartbeatTimeouts starts all heartbeat timeouts anew, because workers could not deliver heartbeats before now.
func (d *partitionDetector) resetHeartbeatTimeouts(now time.Time, unresponsiveAfter time.Duration) {
	d.timeoutsIgnoredUntil = now.Add(unresponsiveAfter)
}

// heartbeatTimeoutsValid reports whether missing heartbeats of a machine count as evidence of its failure at present.
func (d *partitionDetector) heartbeatTimeoutsValid(now time.Time) bool {
	return now.After(d.timeoutsIgnoredUntil)
}

// recentlyPartitioned reports whether a zone, or all zones together, showed a partition less than the given time ago.
func (d *partitionDetector) recentlyPartitioned(now time.Time, zone string, within time.Duration) bool {
	return now.Sub(d.detectedAt[zone]) < within || now.Sub(d.detectedAt[allZones]) < within
}

// update evaluates the current counts and returns the partitioned zones. maxShare is the share of a zone's machines
// above which their missing heartbeats indicate a partition. A zone counts as partitioned until retention has passed
// since the last indication, because most of its workers may have found another path while the last ones are still
// looking for one.
func (d *partitionDetector) update(
	now time.Time, zones map[string]*zoneHeartbeats, maxShare float64, retention time.Duration,
) map[string]bool {
	for zone, count := range zones {
		if count.overdue > 1 && float64(count.overdue) > maxShare*float64(count.up) {
			d.detectedAt[zone] = now
		}
	}
	partitioned := map[string]bool{}
	for zone, at := range d.detectedAt {
		if partitioned[zone] = now.Sub(at) < retention; !partitioned[zone] {
			delete(d.detectedAt, zone)
		}
	}
	return partitioned
}

func (count *zoneHeartbeats) add(overdue bool) {
	count.up++
	if overdue {
		count.overdue++
	}
}

// partitionedZones returns the zones that are probably partitioned. Their machines are not released as unresponsive,
// since their workers are probably healthy and about to find another path to a controller.
func (c *Core) partitionedZones(now time.Time) map[string]bool {
	zones := map[string]*zoneHeartbeats{allZones: {}}
	all := zones[allZones]
	for _, machine := range c.machines {
		if !isUp(machine) {
			continue
		}
		zone := zones[machine.Zone]
		if zone == nil {
			zone = &zoneHeartbeats{}
			zones[machine.Zone] = zone
		}
		overdue := now.Sub(machine.LastHeartbeat) > c.settings.UnresponsiveAfter/2
		zone.add(overdue)
		if zone != all {
			all.add(overdue)
		}
	}
	return c.partitions.update(now, zones, c.settings.MaxUnresponsiveShare, c.settings.WorkerLease)
}

// Isolated reports whether this controller is probably partitioned, so that another one should lead: there are several
// machines, and either none has sent a heartbeat for a long time, or none appears to receive this leader's messages.
func (c *Core) Isolated(now time.Time) bool {
	if c.outboundIsolated(now) {
		return true
	}
	if now.Before(c.partitions.timeoutsIgnoredUntil.Add(isolationMargin)) {
		return false
	}
	up := 0
	for _, machine := range c.machines {
		if !isUp(machine) {
			continue
		}
		if now.Sub(machine.LastHeartbeat) <= c.settings.UnresponsiveAfter+isolationMargin {
			return false
		}
		up++
	}
	return up > 1
}

// outboundIsolated reports whether this controller's messages appear to reach no machine although heartbeats arrive:
// no machine has recently proved that it receives any, and at least half of the reporting machines are suspects. The
// fault is then probably this controller's.
func (c *Core) outboundIsolated(now time.Time) bool {
	suspects := len(c.liveness.suspects)
	return suspects > 1 &&
		now.Sub(c.liveness.lastProofAt) > c.settings.UnresponsiveAfter+isolationMargin &&
		suspects >= c.countReporting(now)/2
}

// countReporting returns the number of machines that are up and have sent a heartbeat recently.
func (c *Core) countReporting(now time.Time) int {
	count := 0
	for _, machine := range c.machines {
		if isUp(machine) && now.Sub(machine.LastHeartbeat) <= c.settings.UnresponsiveAfter {
			count++
		}
	}
	return count
}
