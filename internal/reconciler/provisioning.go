package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/autoscaler"
	"github.com/glentiller/glentiller/internal/model"
)

const (
	maxReleaseBatch   = 100 // machines in one request
	releaseInterval   = time.Second
	releasedRetention = 15 * time.Minute
)

func (c *Core) recordMachine(m *model.Machine) {
	c.pendingChanges = append(c.pendingChanges, Change{Kind: PutMachine, Machine: model.MachineInfo{Name: m.Name, Addr: m.Addr, Type: m.Type.Name, Zone: m.Zone, Spot: m.Spot}})
}

func (c *Core) provisionCompleted(now time.Time, ev ProvisionCompleted) {
	r := ev.Provisioning
	if ev.Outcome == Unknown || ev.Outcome == NotSent {
		c.provisionRetryAt[r.Name] = now.Add(time.Second)
		return
	}
	delete(c.provisioning, r.Name)
	delete(c.provisionRetryAt, r.Name)
	offer := autoscaler.Offer{Type: r.Type, Zone: r.Zone, Spot: r.Spot}
	if len(ev.Machines) < r.Count {
		c.refusedOffers[offer] = now.Add(c.settings.Autoscaler.RefusalBackoff)
	}
	c.log.Info("rented", "request", r.Name, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "asked", r.Count, "got", len(ev.Machines))
	for _, name := range ev.Machines {
		if _, ok := c.releasedMachines[name]; ok || c.machines[name] != nil {
			continue
		}
		m := c.newMachine(now, model.MachineInfo{Name: name, Type: r.Type, Zone: r.Zone, Spot: r.Spot}, model.MachineBooting)
		m.RequestedAt = now
	}
	c.passNeeded = true
}

func (c *Core) releaseCompleted(now time.Time, ev ReleaseCompleted) {
	c.releasePending, c.releaseAt = false, now.Add(releaseInterval)
	if ev.Outcome != OK {
		return // they are asked for again
	}
	for _, name := range ev.Machines {
		m := c.machines[name]
		if m == nil {
			continue
		}
		// It and everything on it are gone.
		c.loseAttempts(now, m, "returned")
		if m.Unreconciled {
			c.markReconciled(now, m, "returned")
		}
		m.Transition(now, model.MachineReleased, "")
		delete(c.machines, name)
		delete(c.commandsPending, m)
		delete(c.suspects, m)
		c.releasedMachines[name] = now
		c.pendingChanges = append(c.pendingChanges, Change{Kind: DeleteMachine, Machine: model.MachineInfo{Name: name}})
	}
}

func (c *Core) catalogReceived(now time.Time, ev CatalogReceived) {
	c.catalogPending = false
	if len(ev.Types) == 0 {
		c.catalogAt = now.Add(2 * time.Second)
		return
	}
	c.catalogAt = now.Add(c.settings.CatalogInterval)
	c.machineTypes = ev.Types
	c.recheckConstraints()
	for _, m := range c.machines {
		m.Type = c.machineTypeNamed(m.Type.Name)
	}
	c.passNeeded = true
}

func (c *Core) machineListReceived(now time.Time, ev MachineListReceived) {
	c.machineListPending = false
	c.machineListAt = now.Add(c.settings.MachineListInterval)
	news, first := 0, ""
	for _, l := range ev.Machines {
		m := c.machines[l.Name]
		if m == nil {
			if at, ok := c.releasedMachines[l.Name]; ok && ev.RequestedAt.Sub(at) < 3*c.settings.MachineListLag+10*time.Second {
				continue // the list lags
			}
			m = c.newMachine(now, l, model.MachineBooting)
			m.StateSince, m.RequestedAt = now.Add(-l.Age), now.Add(-l.Age)
			if news++; first == "" {
				first = l.Name
			}
			c.log.Debug("unexpected machine is listed", "machine", l.Name, "type", l.Type, "zone", l.Zone)
		}
		if m.Addr == "" {
			m.Addr = l.Addr
		}
		if l.Failed && m.State != model.MachineReleasing && m.Transition(now, model.MachineReleasing, "failed") {
			c.log.Info("returning", "machine", m.Name, "why", "failed", "holding", m.ActiveCount)
		}
	}
	if news > 0 {
		c.log.Info("unexpected machines are listed", "count", news, "first", first)
	}
}
