package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/autoscaler"
	"github.com/glentiller/glentiller/internal/model"
)

const (
	maxReturn   = 100 // machines in one request
	returnEvery = time.Second
	goneKept    = 15 * time.Minute
)

func (c *Core) register(m *model.Machine) {
	c.saves = append(c.saves, Save{Kind: SaveMachine, Machine: model.MachineInfo{Name: m.Name, Addr: m.Addr, Type: m.Type.Name, Zone: m.Zone, Spot: m.Spot}})
}

func (c *Core) rentBack(now time.Time, ev RentBack) {
	r := ev.Rental
	if ev.Outcome == Unknown || ev.Outcome == NotSent {
		c.rentAt[r.Name] = now.Add(time.Second)
		return
	}
	delete(c.renting, r.Name)
	delete(c.rentAt, r.Name)
	offer := autoscaler.Offer{Type: r.Type, Zone: r.Zone, Spot: r.Spot}
	if len(ev.Machines) < r.Count {
		c.refused[offer] = now.Add(c.set.Fleet.Refused)
	}
	c.log.Info("rented", "request", r.Name, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "asked", r.Count, "got", len(ev.Machines))
	for _, name := range ev.Machines {
		if _, ok := c.gone[name]; ok || c.machines[name] != nil {
			continue
		}
		m := c.newMachine(now, model.MachineInfo{Name: name, Type: r.Type, Zone: r.Zone, Spot: r.Spot}, model.MachineBooting)
		m.RequestedAt = now
	}
	c.dirty = true
}

func (c *Core) returnBack(now time.Time, ev ReturnBack) {
	c.returning, c.returnAt = false, now.Add(returnEvery)
	if ev.Outcome != OK {
		return // they are asked for again
	}
	for _, name := range ev.Machines {
		m := c.machines[name]
		if m == nil {
			continue
		}
		// It and everything on it are gone.
		c.loseAll(now, m, "returned")
		if m.Unreconciled {
			c.settle(now, m, "returned")
		}
		m.Transition(now, model.MachineReleased, "")
		delete(c.machines, name)
		delete(c.news, m)
		delete(c.inDoubtOf, m)
		c.gone[name] = now
		c.saves = append(c.saves, Save{Kind: DropMachine, Machine: model.MachineInfo{Name: name}})
	}
}

func (c *Core) catalogIn(now time.Time, ev CatalogIn) {
	c.catalogs = false
	if len(ev.Types) == 0 {
		c.catalogAt = now.Add(2 * time.Second)
		return
	}
	c.catalogAt = now.Add(c.set.CatalogEvery)
	c.types = ev.Types
	c.catalogRules()
	for _, m := range c.machines {
		m.Type = c.typeOf(m.Type.Name)
	}
	c.dirty = true
}

func (c *Core) listIn(now time.Time, ev ListIn) {
	c.listing = false
	c.listAt = now.Add(c.set.ListEvery)
	news, first := 0, ""
	for _, l := range ev.Machines {
		m := c.machines[l.Name]
		if m == nil {
			if at, ok := c.gone[l.Name]; ok && ev.Asked.Sub(at) < 3*c.set.ListLag+10*time.Second {
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
