package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
)

// maxClockDrift bounds the difference in rate between the monotonic clocks of two machines, as a fraction of the time.
const maxClockDrift = 0.001

const (
	unlistedTypeCPUs = 1e-9 // capacity of a machine type that the catalog does not list, so that no task fits
	minCatalogCPUs   = 1e-6 // every type in the catalog has more CPUs than this
)

// The reasons for draining or releasing a machine. Logs and explanations show these values, and docs/operators.md
// lists them.
const (
	reasonBootTimeout  = "boot"
	reasonNoHeartbeat  = "silent"
	reasonUnresponsive = "deaf"
	reasonFaulty       = "sick"
	reasonIdle         = "idle"
	reasonInterruption = "notice"
	reasonCloudFailure = "failed"
	reasonRestarted    = "began anew"
)

// addMachine adds a machine to the view in the given state. Its worker's lease is assumed to have been renewed now.
func (c *Core) addMachine(now time.Time, info model.MachineInfo, state model.MachineState) *model.Machine {
	machine := &model.Machine{
		Name:          info.Name,
		Addr:          info.Addr,
		Zone:          info.Zone,
		Spot:          info.Spot,
		Type:          c.machineType(info.Type),
		Attempts:      map[model.AttemptKey]*model.Attempt{},
		CachedImages:  map[string]time.Time{},
		ErrorsByJob:   map[string]int{},
		EmptySince:    now,
		LastHeartbeat: now,
		LastSeen:      now,
		LeaseExpiry:   c.leaseExpiry(now),
	}
	machine.Transition(now, state, "")
	c.machines[machine.Name] = machine
	return machine
}

// machineType returns the machine type with the given name. A type that the catalog does not list, or not yet, has
// almost no capacity.
func (c *Core) machineType(name string) *model.MachineType {
	for i := range c.machineTypes {
		if c.machineTypes[i].Name == name {
			return &c.machineTypes[i]
		}
	}
	return &model.MachineType{Name: name, Capacity: model.Resources{CPU: unlistedTypeCPUs}}
}

// isListedInCatalog reports whether the catalog lists a type that machineType returned.
func isListedInCatalog(machineType *model.MachineType) bool {
	return machineType.Capacity.CPU > minCatalogCPUs
}

// leaseExpiry returns a time by which a worker's lease has expired. heartbeat is when the last answered heartbeat was
// received. The worker counts its lease from when it sent that heartbeat, which was earlier.
func (c *Core) leaseExpiry(heartbeat time.Time) time.Time {
	lease := c.settings.WorkerLease
	return heartbeat.Add(lease + time.Duration(float64(lease)*maxClockDrift) + c.settings.LeaseMargin)
}

// recordMachine queues the record of a machine that may hold tasks from now on. It must be durable before tasks are
// placed on the machine, so that a new leader knows the machine.
func (c *Core) recordMachine(machine *model.Machine) {
	c.commits.add(record.Change{Kind: record.PutMachine, Machine: model.MachineInfo{
		Name: machine.Name, Addr: machine.Addr, Type: machine.Type.Name, Zone: machine.Zone, Spot: machine.Spot,
	}})
}

// isUp reports whether heartbeats are expected from a machine's worker.
func isUp(machine *model.Machine) bool {
	switch machine.State {
	case model.MachineReady, model.MachineDraining, model.MachineInherited:
		return true
	}
	return false
}

// drain stops placing tasks on a machine. The machine is released when it is empty.
func (c *Core) drain(now time.Time, machine *model.Machine, reason string) {
	if machine.Transition(now, model.MachineDraining, reason) {
		c.log.Info("draining machine", "machine", machine.Name, "reason", reason, "attempts", machine.ActiveCount)
		c.passes.request()
	}
}

// evacuate stops the tasks on a spot machine that the cloud is about to reclaim. An array task that saves no
// checkpoints keeps running if it is expected to finish in time.
func (c *Core) evacuate(now time.Time, machine *model.Machine) {
	remaining := machine.InterruptionAt.Sub(now)
	for _, attempt := range machine.Attempts {
		if !attempt.Active() || attempt.State == model.AttemptStopping || attempt.Job == nil {
			continue
		}
		spec := attempt.Job.Spec
		elapsed := time.Duration(0)
		if !attempt.RunningAt.IsZero() {
			elapsed = now.Sub(attempt.RunningAt)
		}
		finishes := c.runTimes.estimate(spec)-elapsed < remaining
		if spec.Shape == model.Array && spec.CheckpointInterval == 0 && finishes {
			continue
		}
		c.stopGracefully(now, attempt)
	}
}

// startRelease marks a machine as releasing. One of the next Release effects returns it to the cloud.
func (c *Core) startRelease(now time.Time, machine *model.Machine, reason string) {
	if machine.Transition(now, model.MachineReleasing, reason) {
		c.log.Info("releasing machine", "machine", machine.Name, "type", machine.Type.Name, "reason", reason,
			"attempts", machine.ActiveCount)
	}
}
