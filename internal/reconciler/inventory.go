package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// cloudInventory schedules the requests for the cloud's machine list and for its catalog of machine types.
type cloudInventory struct {
	nextMachineListAt  time.Time // earliest time of the next list request
	machineListPending bool
	nextCatalogAt      time.Time // earliest time of the next catalog request
	catalogPending     bool
}

const (
	catalogRetryDelay = 2 * time.Second

	// A machine list is assumed to lag by less than listLagFactor times Settings.MachineListLag plus listLagMargin.
	listLagFactor = 3
	listLagMargin = 10 * time.Second
)

// newCloudInventory returns an inventory that requests the machine list at once, and also the catalog unless types
// are already known.
func newCloudInventory(now time.Time, types []model.MachineType, settings *Settings) cloudInventory {
	inventory := cloudInventory{nextMachineListAt: now, nextCatalogAt: now}
	if len(types) > 0 {
		inventory.nextCatalogAt = now.Add(settings.CatalogInterval)
	}
	return inventory
}

// refreshInventory requests the machine list and the catalog when they are due.
func (c *Core) refreshInventory(now time.Time) {
	inventory := &c.inventory
	if !inventory.machineListPending && !now.Before(inventory.nextMachineListAt) {
		inventory.machineListPending = true
		c.emit(ListMachines{})
	}
	if !inventory.catalogPending && !now.Before(inventory.nextCatalogAt) {
		inventory.catalogPending = true
		c.emit(FetchCatalog{})
	}
}

// catalogReceived applies a new catalog of machine types.
func (c *Core) catalogReceived(now time.Time, event CatalogReceived) {
	c.inventory.catalogPending = false
	if len(event.Types) == 0 {
		c.inventory.nextCatalogAt = now.Add(catalogRetryDelay)
		return
	}
	c.inventory.nextCatalogAt = now.Add(c.settings.CatalogInterval)
	c.machineTypes = event.Types
	c.recheckConstraints()
	for _, machine := range c.machines {
		machine.Type = c.machineType(machine.Type.Name)
	}
	c.passes.request()
}

// machineListReceived applies the cloud's machine list. It adds the listed machines that this leader does not know,
// which earlier leaders have usually provisioned.
func (c *Core) machineListReceived(now time.Time, event MachineListReceived) {
	c.inventory.machineListPending = false
	c.inventory.nextMachineListAt = now.Add(c.settings.MachineListInterval)
	unexpected, firstName := 0, ""
	for _, info := range event.Machines {
		machine := c.machines[info.Name]
		if machine == nil {
			if c.mayListReleasedMachine(info.Name, event.RequestedAt) {
				continue
			}
			machine = c.addMachine(now, info, model.MachineBooting)
			machine.StateSince, machine.RequestedAt = now.Add(-info.Age), now.Add(-info.Age)
			if unexpected++; firstName == "" {
				firstName = info.Name
			}
			c.log.Debug("cloud lists machine that this leader did not provision",
				"machine", info.Name, "type", info.Type, "zone", info.Zone)
		}
		if machine.Addr == "" {
			machine.Addr = info.Addr
		}
		if info.Failed {
			c.startRelease(now, machine, reasonCloudFailure)
		}
	}
	if unexpected > 0 {
		c.log.Info("cloud lists machines that this leader did not provision", "count", unexpected, "first", firstName)
	}
}

// mayListReleasedMachine reports whether a machine list that was requested at requestedAt may still contain a
// released machine, since the cloud's list lags behind.
func (c *Core) mayListReleasedMachine(name string, requestedAt time.Time) bool {
	releasedAt, ok := c.releases.released[name]
	return ok && requestedAt.Sub(releasedAt) < listLagFactor*c.settings.MachineListLag+listLagMargin
}
