package reconciler

import (
	"fmt"
	"time"

	"github.com/glentiller/glentiller/internal/autoscaler"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// provisioner tracks the requests for machines that were sent to the cloud.
type provisioner struct {
	requestCounter uint64                         // number of request names that this leader has generated
	requests       map[string]model.Provisioning  // unanswered requests by name
	retryAt        map[string]time.Time           // retry times by name of requests that were not answered
	refusedUntil   map[autoscaler.Offer]time.Time // ends of the back-off for offers that the cloud has refused
	lastScaleOutAt time.Time                      // when scaling out was last considered
}

const (
	maxProvisionsInFlight  = 4                      // the cloud accepts only a few requests per second
	scaleOutInterval       = 200 * time.Millisecond // minimum time between two evaluations of the scale-out
	provisionRetryDelay    = time.Second            // delay of a retry after an unknown outcome
	provisionAnswerTimeout = time.Minute            // time that a retry may take before the next one is sent
)

func newProvisioner() provisioner {
	return provisioner{
		requests:     map[string]model.Provisioning{},
		retryAt:      map[string]time.Time{},
		refusedUntil: map[autoscaler.Offer]time.Time{},
	}
}

// atRequestLimit reports whether maxProvisionsInFlight requests are unanswered, so that no more may be sent.
func (p *provisioner) atRequestLimit() bool { return len(p.requests) >= maxProvisionsInFlight }

// remove removes a request that was answered.
func (p *provisioner) remove(name string) {
	delete(p.requests, name)
	delete(p.retryAt, name)
}

// nextProvisionName returns a unique name for a request. No controller uses the name for another request.
func (c *Core) nextProvisionName() string {
	c.provisioning.requestCounter++
	return fmt.Sprintf("%s-%d-%d", c.settings.Member, c.fencingToken, c.provisioning.requestCounter)
}

// scaleOut requests machines from the cloud for the tasks that fit on no existing machine. It is evaluated at most
// once per scaleOutInterval.
func (c *Core) scaleOut(now time.Time, input *scheduler.Snapshot, shortages []scheduler.Shortage) {
	if len(shortages) == 0 || c.provisioning.atRequestLimit() {
		return
	}
	if now.Before(c.provisioning.lastScaleOutAt.Add(scaleOutInterval)) {
		c.passes.request() // a later pass evaluates the scale-out
		return
	}
	c.provisioning.lastScaleOutAt = now
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
		if c.provisioning.atRequestLimit() {
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

// incomingCapacity returns the capacity that becomes available without new requests to the cloud: booting machines,
// requested machines, and resources that attempts are about to release.
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
				FreeSoon: func() model.Resources { return c.resourcesFreeSoon(now, machine) },
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

// resourcesFreeSoon returns the resources that will likely be free on a machine before a new machine could boot. It
// returns no resources if no attempt ends soon, because the pass has already considered the currently free resources.
func (c *Core) resourcesFreeSoon(now time.Time, machine *model.Machine) model.Resources {
	var freeing model.Resources
	for _, attempt := range machine.ActiveAttempts() {
		if attempt.Job != nil && c.endsSoon(now, attempt) {
			freeing = freeing.Add(attempt.Demand)
		}
	}
	if freeing == (model.Resources{}) {
		return freeing
	}
	return freeing.Add(machine.Free())
}

// endsSoon reports whether an attempt will likely have ended by the time a new machine of the same type could be
// ready.
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
		left = estimate / 2 // the task has exceeded its estimate, so its remaining time is a guess
	}
	return left < time.Duration(c.settings.Autoscaler.LookaheadBootTimes*float64(machineType.BootTime))
}

// retryProvisioning repeats requests that were not answered, under their original names.
func (c *Core) retryProvisioning(now time.Time) {
	for name, at := range c.provisioning.retryAt {
		if now.After(at) {
			c.provisioning.retryAt[name] = now.Add(provisionAnswerTimeout)
			c.emit(Provision{c.provisioning.requests[name]})
		}
	}
}

// provisionCompleted handles the outcome of a request for machines. A request that was not answered is repeated. If
// the cloud provides fewer machines than requested, the offer is not requested again during the back-off period.
func (c *Core) provisionCompleted(now time.Time, event ProvisionCompleted) {
	request := event.Provisioning
	if event.Outcome == OutcomeUnknown || event.Outcome == OutcomeNotSent {
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
