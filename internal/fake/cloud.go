package fake

import (
	"fmt"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// Cloud is a fake of the cloud's provisioning service. It keeps track of the machines that were provisioned for each
// request, and of those that are still booting. The caller keeps track of the machines that are up.
type Cloud struct {
	BootTime     time.Duration        // time that each machine takes to boot if DrawBootTime is nil
	DrawBootTime func() time.Duration // returns the boot time of the next machine; may be nil
	Capacity     int                  // maximum number of machines that are booting or up; 0 means no limit
	NamePrefix   string               // prefix of the names of machines

	runningCount  func() int                // returns the number of machines that are up
	provisioned   map[string][]string       // names of the machines, by name of the request
	booting       map[string]bootingMachine // by name
	namesAssigned int                       // number of names that NextName has returned
}

// bootingMachine is a machine that was provisioned and is not up yet.
type bootingMachine struct {
	model.MachineInfo
	readyAt time.Time
}

// NewCloud returns a cloud without machines. runningCount must return the number of machines that have finished booting
// and were not released.
func NewCloud(runningCount func() int) *Cloud {
	return &Cloud{
		BootTime:     5 * time.Second,
		NamePrefix:   "n-",
		runningCount: runningCount,
		provisioned:  map[string][]string{},
		booting:      map[string]bootingMachine{},
	}
}

// Provision provisions machines and returns their names. If the capacity does not suffice for the whole request, it
// provisions fewer; ok is false if it can provision none. Requests are idempotent: one with the name of an earlier
// request returns the machines of that request.
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

// NextName returns a name for a new machine. It never returns a name twice.
func (c *Cloud) NextName() string {
	c.namesAssigned++
	return fmt.Sprintf("%s%06d", c.NamePrefix, c.namesAssigned)
}

// TakeBooted returns the machines that have finished booting since the last call. The caller keeps track of them from
// then on.
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

// RemoveBooting removes a released machine from those that are booting. It ignores a machine that is not booting.
func (c *Cloud) RemoveBooting(name string) { delete(c.booting, name) }

// NamesAssigned returns the number of machines that were ever provisioned, including those that a caller has created
// itself under a name from NextName.
func (c *Cloud) NamesAssigned() int { return c.namesAssigned }

// Booting returns the machines that are booting, by name.
func (c *Cloud) Booting() map[string]model.MachineInfo {
	machines := make(map[string]model.MachineInfo, len(c.booting))
	for name, machine := range c.booting {
		machines[name] = machine.MachineInfo
	}
	return machines
}
