package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/liveness"
	"github.com/glentiller/glentiller/internal/model"
)

// maxPassAge is the maximum time between scheduling passes, since slack and waiting times change with time alone.
const maxPassAge = time.Second

// sweep handles everything that changes with time alone: leases that expire, machines that do not come up, become
// unresponsive or stay empty, requests to the cloud that are due for a retry, and jobs whose backoff has ended.
func (c *Core) sweep(now time.Time) {
	c.sweepMachines(now)
	c.probeUnreconciled(now)
	c.releases.forgetOld(now)
	c.retryProvisioning(now)
	for _, job := range c.jobs {
		if !job.RetryNotBefore.IsZero() && now.After(job.RetryNotBefore) {
			job.RetryNotBefore = time.Time{}
			c.passes.request()
			c.endIfFinished(now, job)
		}
	}
	if now.Sub(c.passes.lastStartedAt) > maxPassAge {
		c.passes.request()
	}
}

// sweepMachines checks each machine, and requests the release of those that are marked as releasing.
func (c *Core) sweepMachines(now time.Time) {
	partitioned := c.partitionedZones(now)
	mayRelease := c.releases.mayRequest(now)
	needsProof := c.needsReachabilityProof(now)
	var toRelease []string
	for _, machine := range c.machines {
		if needsProof && machine.Detector.State == liveness.Alive && c.placeable(now, machine) {
			needsProof = !c.probe(now, machine)
		}
		c.expireLease(now, machine)
		if machine.Detector.State != liveness.Alive && machine.State < model.MachineReleasing {
			c.checkSuspect(now, machine)
		}
		if !machine.QuarantinedSince.IsZero() {
			c.attributeFaults(now, machine)
		}
		if reason, ok := c.releaseReason(now, machine, partitioned); ok {
			c.startRelease(now, machine, reason)
		}
		if mayRelease && machine.State == model.MachineReleasing && len(toRelease) < maxReleaseBatch {
			toRelease = append(toRelease, machine.Name)
		}
	}
	if len(toRelease) > 0 {
		c.releases.requested()
		c.emit(Release{toRelease})
	}
}

// expireLease drops the attempts on a machine once its worker's lease has certainly expired.
func (c *Core) expireLease(now time.Time, machine *model.Machine) {
	if machine.State == model.MachineBooting || !now.After(machine.LeaseExpiry) {
		return
	}
	if machine.Epoch <= machine.ExpiredEpoch && !machine.Unreconciled {
		return
	}
	c.log.Warn("worker lease expired", "machine", machine.Name, "epoch", machine.Epoch)
	machine.ExpiredEpoch = machine.Epoch
	c.dropAttempts(now, machine, "lease expired")
	if machine.Unreconciled {
		c.markReconciled(now, machine, "lease expired")
	}
}

// releaseReason returns the reason why a machine has to be released. ok is false if it is kept.
func (c *Core) releaseReason(
	now time.Time, machine *model.Machine, partitioned map[string]bool,
) (reason string, ok bool) {
	if machine.State == model.MachineBooting {
		return reasonBootTimeout, now.Sub(machine.StateSince) > c.settings.Autoscaler.BootTimeout(machine.Type)
	}
	if !isUp(machine) {
		return "", false
	}
	switch {
	case machine.Unreconciled && machine.ProbeUnanswered && c.fewUnreconciled():
		return reasonNoHeartbeat, true
	case now.Sub(machine.LastHeartbeat) > c.settings.UnresponsiveAfter && c.partitions.heartbeatTimeoutsValid(now) &&
		!partitioned[machine.Zone] && !partitioned[allZones]:
		return reasonNoHeartbeat, true
	case machine.Detector.State == liveness.Failed && likelyMachineFault(len(c.liveness.suspects), len(c.machines)):
		return reasonUnresponsive, true
	case machine.Unreconciled || machine.ActiveCount > 0:
		return "", false
	case machine.State == model.MachineDraining:
		return machine.StateReason, true
	case c.isRecentlyUnreachable(now, machine):
		return "", false
	}
	empty, age := now.Sub(machine.EmptySince), now.Sub(machine.RequestedAt)
	return reasonIdle, c.settings.Autoscaler.ShouldRelease(machine.Type, machine.Spot, empty, age)
}

// isRecentlyUnreachable reports whether an empty machine sends no heartbeats at present but may come back. Such a
// machine is not idle for lack of tasks. It is kept for as long as a replacement would be billed at least. Otherwise a
// whole zone would be released during a network partition and then provisioned again.
func (c *Core) isRecentlyUnreachable(now time.Time, machine *model.Machine) bool {
	sinceHeartbeat := now.Sub(machine.LastHeartbeat)
	maxUnreachable := c.settings.UnresponsiveAfter + c.settings.Autoscaler.MinBilledTime
	return sinceHeartbeat > c.settings.UnresponsiveAfter && sinceHeartbeat < maxUnreachable
}
