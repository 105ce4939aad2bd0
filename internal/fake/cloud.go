package fake

import (
	"fmt"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// Cloud is a stand-in for the cloud's side of rentals: which machines were rented under which request, and which
// of them still boot. Machines that are up belong to whoever plays the workers.
type Cloud struct {
	BootTime     time.Duration        // how long a machine takes to come up
	DrawBootTime func() time.Duration // the same, drawn anew for each machine; nil: Boot
	Capacity     int                  // machines that the cloud has at once; 0: any number
	NamePrefix   string               // of machines' names

	runningCount  func() int // machines that are up
	provisioned   map[string][]string
	booting       map[string]bootingMachine
	namedMachines int
}

type bootingMachine struct {
	model.MachineInfo
	readyAt time.Time
}

// NewCloud makes a cloud without machines; up counts those that have come up and were not given back.
func NewCloud(up func() int) *Cloud {
	return &Cloud{
		BootTime:     5 * time.Second,
		NamePrefix:   "n-",
		runningCount: up,
		provisioned:  map[string][]string{},
		booting:      map[string]bootingMachine{},
	}
}

// Provision carries a request out, or tells what it has led to before. It is false where there is no machine left.
func (c *Cloud) Provision(now time.Time, r model.Provisioning) (names []string, ok bool) {
	if names = c.provisioned[r.Name]; names != nil {
		return names, true
	}
	have := r.Count
	if c.Capacity > 0 {
		have = min(have, c.Capacity-c.runningCount()-len(c.booting))
	}
	if have <= 0 {
		return nil, false
	}
	for range have {
		boot := c.BootTime
		if c.DrawBootTime != nil {
			boot = c.DrawBootTime()
		}
		n := c.NextName()
		names = append(names, n)
		c.booting[n] = bootingMachine{
			model.MachineInfo{Name: n, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Booting: true},
			now.Add(boot),
		}
	}
	c.provisioned[r.Name] = names
	return names, true
}

// NextName gives the next machine's name.
func (c *Cloud) NextName() string {
	c.namedMachines++
	return fmt.Sprintf("%s%06d", c.NamePrefix, c.namedMachines)
}

// TakeBooted takes the machines whose boot has ended off the list of those that boot.
func (c *Cloud) TakeBooted(now time.Time) (up []model.MachineInfo) {
	for n, b := range c.booting {
		if !now.Before(b.readyAt) {
			delete(c.booting, n)
			b.Booting = false
			up = append(up, b.MachineInfo)
		}
	}
	return up
}

// Forget takes a machine that is given back off the list of those that boot.
func (c *Cloud) Forget(name string) { delete(c.booting, name) }

// ProvisionedTotal tells how many machines were ever rented.
func (c *Cloud) ProvisionedTotal() int { return c.namedMachines }

// Booting lists the machines that boot, by name.
func (c *Cloud) Booting() map[string]model.MachineInfo {
	out := make(map[string]model.MachineInfo, len(c.booting))
	for n, b := range c.booting {
		out[n] = b.MachineInfo
	}
	return out
}
