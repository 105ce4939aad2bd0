package reconciler

import "github.com/glentiller/glentiller/internal/model"

// machineKind is what decides whether a job may ever have been placed on a machine.
type machineKind struct {
	breed, zone string
	spot        bool
}

// kindOf is the kind that a machine's record says: that is what leaders before went by.
func kindOf(m *model.Machine) machineKind {
	return machineKind{m.Record.Type, m.Record.Zone, m.Record.Spot}
}

// inDoubt tells whether a waiting task of a job may already be on a machine that is not settled
// since the takeover: then it is not started. It cannot be if the job was accepted since, and
// neither if no leader could have placed it on a machine of any kind that is in doubt
// (docs/safety.md, "Rebuilding"). Guards against work that waits for the leases of machines
// that it may not even use.
func (c *Core) inDoubt(j *model.Job) bool {
	if c.unsure == 0 || j.RecordVersion > c.rev || j.NoPriorAttempts {
		return false
	}
	s := j.Spec
	for k := range c.doubts {
		t := c.typeOf(k.breed)
		known := t.Capacity.CPU > 1e-6 // a type that the catalogue lacks may be anything
		if s.AllowsType(k.breed) && (s.Zone == "" || s.Zone == k.zone) && (s.AllowSpot || !k.spot) && (!known || s.Demand.Fits(t.Capacity)) {
			return true
		}
	}
	return false
}
