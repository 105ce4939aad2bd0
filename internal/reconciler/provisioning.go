package reconciler

import (
	"fmt"
	"time"

	"github.com/glentiller/glentiller/internal/autoscaler"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// provisioner keeps the requests for machines to the cloud.
type provisioner struct {
	counter      uint64                        // requests that this leader has named
	requests     map[string]model.Provisioning // not answered yet, by name
	retryAt      map[string]time.Time          // of those whose outcome is unknown
	refusedUntil map[autoscaler.Offer]time.Time
	scaledOutAt  time.Time // when scaling out was last considered
}

const (
	maxProvisionsInFlight  = 4                      // the cloud takes few requests a second
	scaleOutInterval       = 200 * time.Millisecond // between considerations of scaling out
	provisionRetryDelay    = time.Second            // after an unknown outcome
	provisionAnswerTimeout = time.Minute            // of a repeated request, before it is repeated again
)

func newProvisioner() provisioner {
	return provisioner{
		requests:     map[string]model.Provisioning{},
		retryAt:      map[string]time.Time{},
		refusedUntil: map[autoscaler.Offer]time.Time{},
	}
}

// full reports that no further request may be sent now.
func (p *provisioner) full() bool { return len(p.requests) >= maxProvisionsInFlight }

// remove forgets a request that was answered.
func (p *provisioner) remove(name string) {
	delete(p.requests, name)
	delete(p.retryAt, name)
}

// nextProvisionName returns a name for a request that no controller uses again.
func (c *Core) nextProvisionName() string {
	c.provisioning.counter++
	return fmt.Sprintf("%s-%d-%d", c.settings.Member, c.fencingToken, c.provisioning.counter)
}

// scaleOut requests machines from the cloud for the tasks that fit nowhere.
func (c *Core) scaleOut(now time.Time, input *scheduler.Snapshot, shortages []scheduler.Shortage) {
	if len(shortages) == 0 || c.provisioning.full() {
		return
	}
	if now.Before(c.provisioning.scaledOutAt.Add(scaleOutInterval)) {
		c.passes.request() // considered in a later pass
		return
	}
	c.provisioning.scaledOutAt = now
	snapshot := &autoscaler.Snapshot{
		Types:          c.machineTypes,
		Incoming:       c.incomingCapacity(now),
		RefusedUntil:   c.provisioning.refusedUntil,
		MachinesByZone: map[string]int{},
		SuspectZones:   c.partitionedZones(now),
		ReservedForGPU: c.gpus.reserves,
		CapacityInZone: input.CapacityInZone,
	}
	for _, machine := range c.machines {
		snapshot.MachinesByZone[machine.Zone]++
	}
	for _, request := range autoscaler.ScaleOut(&c.settings.Autoscaler, now, snapshot, shortages) {
		if c.provisioning.full() {
			break
		}
		provisioning := model.Provisioning{
			Name: c.nextProvisionName(), Type: request.Type, Zone: request.Zone, Spot: request.Spot, Count: request.Count,
		}
		c.provisioning.requests[provisioning.Name] = provisioning
		c.log.Info("provisioning machines", "request", provisioning.Name, "type", provisioning.Type,
			"zone", provisioning.Zone, "spot", provisioning.Spot, "count", provisioning.Count, "for", request.JobClass)
		c.emit(Provision{provisioning})
	}
}

// incomingCapacity is the capacity that becomes available without provisioning.
func (c *Core) incomingCapacity(now time.Time) []*autoscaler.Incoming {
	var incoming []*autoscaler.Incoming
	for _, machine := range c.machines {
		if machine.State == model.MachineBooting {
			incoming = append(incoming, &autoscaler.Incoming{Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot})
			continue
		}
		if !machine.Unreconciled && machine.ActiveCount > 0 && c.placeable(now, machine) {
			incoming = append(incoming, &autoscaler.Incoming{
				Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot,
				FreeSoon: func() model.Resources { return c.freeSoon(now, machine) },
			})
		}
	}
	for _, request := range c.provisioning.requests {
		for range request.Count {
			incoming = append(incoming, &autoscaler.Incoming{
				Type: c.machineType(request.Type), Zone: request.Zone, Spot: request.Spot,
			})
		}
	}
	return incoming
}

// freeSoon is what is likely free on a machine within a boot time. It is nothing where no attempt ends soon, since
// what is free now has been considered already.
func (c *Core) freeSoon(now time.Time, machine *model.Machine) model.Resources {
	var soon model.Resources
	for _, attempt := range machine.ActiveAttempts() {
		if attempt.Job != nil && c.endsSoon(now, attempt) {
			soon = soon.Add(attempt.Demand)
		}
	}
	if soon == (model.Resources{}) {
		return soon
	}
	return soon.Add(machine.Free())
}

// endsSoon reports whether an attempt has likely ended by the time that a machine like its own would be up.
func (c *Core) endsSoon(now time.Time, attempt *model.Attempt) bool {
	if attempt.State == model.AttemptStopping {
		return true
	}
	spec, machineType := attempt.Job.Spec, attempt.Machine.Type
	if spec.Shape == model.Service {
		return false
	}
	estimate := c.runTimes.estimate(spec)
	left := estimate - now.Sub(attempt.RunningAt)
	if attempt.RunningAt.IsZero() {
		left = estimate
		if rate := machineType.FetchGBPerS; rate > 0 && attempt.Phase != model.PhaseWaiting {
			fetch := time.Duration(spec.ImageGB / rate * float64(time.Second))
			left += max(0, fetch-now.Sub(attempt.LaunchedAt))
		}
	} else if left < 0 {
		left = estimate / 2 // it takes longer than estimated
	}
	return left < time.Duration(c.settings.Autoscaler.LookaheadBoots*float64(machineType.BootTime))
}

// retryProvisioning repeats the requests whose outcome is unknown, under their own names.
func (c *Core) retryProvisioning(now time.Time) {
	for name, at := range c.provisioning.retryAt {
		if now.After(at) {
			c.provisioning.retryAt[name] = now.Add(provisionAnswerTimeout)
			c.emit(Provision{c.provisioning.requests[name]})
		}
	}
}

// provisionCompleted handles the answer to a request for machines.
func (c *Core) provisionCompleted(now time.Time, event ProvisionCompleted) {
	request := event.Provisioning
	if event.Outcome == Unknown || event.Outcome == NotSent {
		c.provisioning.retryAt[request.Name] = now.Add(provisionRetryDelay)
		return
	}
	c.provisioning.remove(request.Name)
	if len(event.Machines) < request.Count {
		offer := autoscaler.Offer{Type: request.Type, Zone: request.Zone, Spot: request.Spot}
		c.provisioning.refusedUntil[offer] = now.Add(c.settings.Autoscaler.RefusalBackoff)
	}
	c.log.Info("machines provisioned", "request", request.Name, "type", request.Type, "zone", request.Zone,
		"spot", request.Spot, "requested", request.Count, "received", len(event.Machines))
	for _, name := range event.Machines {
		if c.releases.isReleased(name) || c.machines[name] != nil {
			continue
		}
		machine := c.addMachine(now, model.MachineInfo{
			Name: name, Type: request.Type, Zone: request.Zone, Spot: request.Spot,
		}, model.MachineBooting)
		machine.RequestedAt = now
	}
	c.passes.request()
}
