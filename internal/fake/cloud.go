package fake

import (
	"fmt"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// Cloud is a stand-in for the cloud's side of rentals: which machines were rented under which request, and which
// of them still boot. Machines that are up belong to whoever plays the workers.
type Cloud struct {
	Boot     time.Duration        // how long a machine takes to come up
	Boots    func() time.Duration // the same, drawn anew for each machine; nil: Boot
	Capacity int                  // machines that the cloud has at once; 0: any number
	Prefix   string               // of machines' names

	up       func() int // machines that are up
	rented   map[string][]string
	booting  map[string]bootingMachine
	machines int
}

type bootingMachine struct {
	model.MachineInfo
	at time.Time
}

// NewCloud makes a cloud without machines; up counts those that have come up and were not given back.
func NewCloud(up func() int) *Cloud {
	return &Cloud{
		Boot:    5 * time.Second,
		Prefix:  "n-",
		up:      up,
		rented:  map[string][]string{},
		booting: map[string]bootingMachine{},
	}
}

// Rent carries a request out, or tells what it has led to before. It is false where there is no machine left.
func (c *Cloud) Rent(now time.Time, r model.Provisioning) (names []string, ok bool) {
	if names = c.rented[r.Name]; names != nil {
		return names, true
	}
	have := r.Count
	if c.Capacity > 0 {
		have = min(have, c.Capacity-c.up()-len(c.booting))
	}
	if have <= 0 {
		return nil, false
	}
	for range have {
		boot := c.Boot
		if c.Boots != nil {
			boot = c.Boots()
		}
		n := c.Name()
		names = append(names, n)
		c.booting[n] = bootingMachine{
			model.MachineInfo{Name: n, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Booting: true},
			now.Add(boot),
		}
	}
	c.rented[r.Name] = names
	return names, true
}

// Name gives the next machine's name.
func (c *Cloud) Name() string {
	c.machines++
	return fmt.Sprintf("%s%06d", c.Prefix, c.machines)
}

// Up takes the machines whose boot has ended off the list of those that boot.
func (c *Cloud) Up(now time.Time) (up []model.MachineInfo) {
	for n, b := range c.booting {
		if !now.Before(b.at) {
			delete(c.booting, n)
			b.Booting = false
			up = append(up, b.MachineInfo)
		}
	}
	return up
}

// Forget takes a machine that is given back off the list of those that boot.
func (c *Cloud) Forget(name string) { delete(c.booting, name) }

// Rented tells how many machines were ever rented.
func (c *Cloud) Rented() int { return c.machines }

// Booting lists the machines that boot, by name.
func (c *Cloud) Booting() map[string]model.MachineInfo {
	out := make(map[string]model.MachineInfo, len(c.booting))
	for n, b := range c.booting {
		out[n] = b.MachineInfo
	}
	return out
}
