package reconciler

import "time"

// allZones is the key under which all zones together are counted.
const allZones = ""

// isolationMargin is the time by which the silence of all machines has to exceed the limit for a single machine
// before the leader considers itself isolated.
const isolationMargin = 2 * time.Second

// partitionDetector detects zones in which so many machines are silent that a network partition is more likely than
// their failure.
type partitionDetector struct {
	detectedAt          map[string]time.Time // by zone: the last time at which most of its machines were silent
	silenceIgnoredUntil time.Time            // silence is not counted against machines until this time
}

// zoneSilence counts the machines of a zone that are up, and how many of them have not sent a heartbeat recently.
type zoneSilence struct{ up, silent int }

func newPartitionDetector(now time.Time, settings *Settings) partitionDetector {
	detector := partitionDetector{detectedAt: map[string]time.Time{}}
	detector.resetSilence(now, settings.UnresponsiveAfter)
	return detector
}

// resetSilence disregards all silence until now, since workers could not send heartbeats.
func (d *partitionDetector) resetSilence(now time.Time, unresponsiveAfter time.Duration) {
	d.silenceIgnoredUntil = now.Add(unresponsiveAfter)
}

// silenceIsEvidence reports whether the silence of a machine counts as evidence of its failure at present.
func (d *partitionDetector) silenceIsEvidence(now time.Time) bool {
	return now.After(d.silenceIgnoredUntil)
}

// recentlyPartitioned reports whether a zone, or all zones together, showed a partition less than the given time ago.
func (d *partitionDetector) recentlyPartitioned(now time.Time, zone string, within time.Duration) bool {
	return now.Sub(d.detectedAt[zone]) < within || now.Sub(d.detectedAt[allZones]) < within
}

// update evaluates the current counts and returns the partitioned zones. maxShare is the share of a zone's machines
// above which their silence indicates a partition. A zone counts as partitioned until retention has passed since the
// last indication, because most of its workers may have found another path while the last ones are still looking for
// one.
func (d *partitionDetector) update(
	now time.Time, zones map[string]*zoneSilence, maxShare float64, retention time.Duration,
) map[string]bool {
	for zone, count := range zones {
		if count.silent > 1 && float64(count.silent) > maxShare*float64(count.up) {
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

func (count *zoneSilence) add(silent bool) {
	count.up++
	if silent {
		count.silent++
	}
}

// partitionedZones returns the zones that are probably cut off. Their machines are not released for being silent,
// since their workers are probably healthy and about to find another path to a controller.
func (c *Core) partitionedZones(now time.Time) map[string]bool {
	zones := map[string]*zoneSilence{allZones: {}}
	all := zones[allZones]
	for _, machine := range c.machines {
		if !isUp(machine) {
			continue
		}
		zone := zones[machine.Zone]
		if zone == nil {
			zone = &zoneSilence{}
			zones[machine.Zone] = zone
		}
		silent := now.Sub(machine.LastHeartbeat) > c.settings.UnresponsiveAfter/2
		zone.add(silent)
		if zone != all {
			all.add(silent)
		}
	}
	return c.partitions.update(now, zones, c.settings.MaxUnresponsiveShare, c.settings.WorkerLease)
}

// Isolated reports whether this controller is probably cut off, so that another one should lead: there are several
// machines, and either none has sent a heartbeat for a long time, or none appears to receive this leader's messages.
func (c *Core) Isolated(now time.Time) bool {
	if c.outboundIsolated(now) {
		return true
	}
	if now.Before(c.partitions.silenceIgnoredUntil.Add(isolationMargin)) {
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
