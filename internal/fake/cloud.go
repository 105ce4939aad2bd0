package fake

import (
	"fmt"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// Cloud is a stand-in for the cloud's provisioning: which machines were provisioned under which request, and which of
// them still boot. Machines that are up belong to whoever simulates the workers.
type Cloud struct {
	BootTime     time.Duration        // how long a machine takes to come up, where DrawBootTime is nil
	DrawBootTime func() time.Duration // called for each machine
	Capacity     int                  // machines that the cloud has at once; 0: any number
	NamePrefix   string               // of machines' names

	runningCount  func() int          // machines that are up
	provisioned   map[string][]string // machines' names, by the name of the request
	booting       map[string]bootingMachine
	namedMachines int
}

// bootingMachine is a machine that has been provisioned and is not up yet.
type bootingMachine struct {
	model.MachineInfo
	readyAt time.Time
}

// NewCloud makes a cloud without machines; runningCount counts those that have come up and were not released.
func NewCloud(runningCount func() int) *Cloud {
	return &Cloud{
		BootTime:     5 * time.Second,
		NamePrefix:   "n-",
		runningCount: runningCount,
		provisioned:  map[string][]string{},
		booting:      map[string]bootingMachine{},
	}
}

// Provision carries a request out, or answers a repeated one with the machines of the first. It is false where there
// is no machine left.
func (c *Cloud) Provision(now time.Time, request model.Provisioning) (names []string, ok bool) {
	if names = c.provisioned[request.Name]; names != nil {
		return names, true
	}
	count := request.Count
	if c.Capacity > 0 {
		count = min(count, c.Capacity-c.runningCount()-len(c.booting))
	}
	if count <= 0 {
		return nil, false
	}
	for range count {
		bootTime := c.BootTime
		if c.DrawBootTime != nil {
			bootTime = c.DrawBootTime()
		}
		name := c.NextName()
		names = append(names, name)
		c.booting[name] = bootingMachine{
			MachineInfo: model.MachineInfo{
				Name:    name,
				Type:    request.Type,
				Zone:    request.Zone,
				Spot:    request.Spot,
				Booting: true,
			},
			readyAt: now.Add(bootTime),
		}
	}
	c.provisioned[request.Name] = names
	return names, true
}

// NextName gives the next machine its name.
func (c *Cloud) NextName() string {
	c.namedMachines++
	return fmt.Sprintf("%s%06d", c.NamePrefix, c.namedMachines)
}

// TakeBooted takes the machines whose boot has ended off the list of those that boot.
func (c *Cloud) TakeBooted(now time.Time) (booted []model.MachineInfo) {
	for name, machine := range c.booting {
		if !now.Before(machine.readyAt) {
			delete(c.booting, name)
			machine.Booting = false
			booted = append(booted, machine.MachineInfo)
		}
	}
	return booted
}

// Forget takes a machine that is released off the list of those that boot.
func (c *Cloud) Forget(name string) { delete(c.booting, name) }

// ProvisionedTotal counts the machines that were ever provisioned.
func (c *Cloud) ProvisionedTotal() int { return c.namedMachines }

// Booting lists the machines that boot, by name.
func (c *Cloud) Booting() map[string]model.MachineInfo {
	machines := make(map[string]model.MachineInfo, len(c.booting))
	for name, machine := range c.booting {
		machines[name] = machine.MachineInfo
	}
	return machines
}
