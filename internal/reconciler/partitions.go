package reconciler

import "time"

// allZones is the name of all zones together, where zones are named.
const allZones = ""

// isolationMargin is how much longer than a single machine all machines have to be silent before the leader takes
// itself for isolated.
const isolationMargin = 2 * time.Second

// partitionDetector knows the zones of which so many machines are silent that a network partition is likelier than
// their death.
type partitionDetector struct {
	detectedAt         map[string]time.Time // by zone: when most of it was silent last
	silenceCountsAfter time.Time            // no machine counts as silent before this
}

// zoneSilence counts the machines of a zone that are up, and those of them that have sent no heartbeat lately.
type zoneSilence struct{ up, silent int }

func newPartitionDetector(now time.Time, settings *Settings) partitionDetector {
	detector := partitionDetector{detectedAt: map[string]time.Time{}}
	detector.restart(now, settings.UnresponsiveAfter)
	return detector
}

// restart has silence count anew: workers could not send heartbeats until now.
func (d *partitionDetector) restart(now time.Time, unresponsiveAfter time.Duration) {
	d.silenceCountsAfter = now.Add(unresponsiveAfter)
}

func (d *partitionDetector) silenceCounts(now time.Time) bool { return now.After(d.silenceCountsAfter) }

// recently reports whether a zone was partitioned within a time.
func (d *partitionDetector) recently(now time.Time, zone string, within time.Duration) bool {
	return now.Sub(d.detectedAt[zone]) < within || now.Sub(d.detectedAt[allZones]) < within
}

// update takes the present counts and returns the zones that count as partitioned. A zone does so for some time after
// most of it was silent: most of its workers may have found another path while the last ones are still looking for
// one.
func (d *partitionDetector) update(
	now time.Time, zones map[string]*zoneSilence, maxShare float64, hold time.Duration,
) map[string]bool {
	for zone, count := range zones {
		if count.silent > 1 && float64(count.silent) > maxShare*float64(count.up) {
			d.detectedAt[zone] = now
		}
	}
	partitioned := map[string]bool{}
	for zone, at := range d.detectedAt {
		if partitioned[zone] = now.Sub(at) < hold; !partitioned[zone] {
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

// partitionedZones returns the zones that are likely cut off. Their machines are not released for their silence:
// their workers are likely healthy and about to find another path to a controller.
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

// Isolated reports that no worker has sent a heartbeat for long, or that none seems to receive anything, although
// there are several. Then this controller is likely the one that is cut off, and another would lead better.
func (c *Core) Isolated(now time.Time) bool {
	if c.outboundIsolated(now) {
		return true
	}
	if now.Before(c.partitions.silenceCountsAfter.Add(isolationMargin)) {
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

// outboundIsolated reports that nothing that this controller sends seems to arrive anywhere, although heartbeats come
// in: then it is the one at fault.
func (c *Core) outboundIsolated(now time.Time) bool {
	suspects := len(c.liveness.suspects)
	return suspects > 1 &&
		now.Sub(c.liveness.lastProofAt) > c.settings.UnresponsiveAfter+isolationMargin &&
		suspects >= c.countReporting(now)/2
}

// countReporting counts the machines that are up and send heartbeats.
func (c *Core) countReporting(now time.Time) int {
	count := 0
	for _, machine := range c.machines {
		if isUp(machine) && now.Sub(machine.LastHeartbeat) <= c.settings.UnresponsiveAfter {
			count++
		}
	}
	return count
}
