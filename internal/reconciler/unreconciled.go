package reconciler

import "github.com/glentiller/glentiller/internal/model"

// machineKind is what decides whether a job may ever have been placed on a machine.
type machineKind struct {
	machineType, zone string
	spot              bool
}

// recordedKind is the kind that a machine's record says: that is what leaders before went by.
func recordedKind(m *model.Machine) machineKind {
	return machineKind{m.Record.Type, m.Record.Zone, m.Record.Spot}
}

// mayAlreadyRun tells whether a waiting task of a job may already be on a machine that is not settled
// since the takeover: then it is not started. It cannot be if the job was accepted since, and
// neither if no leader could have placed it on a machine of any kind that is in doubt
// (docs/safety.md, "Rebuilding"). Guards against work that waits for the leases of machines
// that it may not even use.
func (c *Core) mayAlreadyRun(j *model.Job) bool {
	if c.unreconciled == 0 || j.RecordVersion > c.takeoverRevision || j.NoPriorAttempts {
		return false
	}
	s := j.Spec
	for k := range c.unreconciledKinds {
		t := c.machineTypeNamed(k.machineType)
		known := t.Capacity.CPU > 1e-6 // a type that the catalogue lacks may be anything
		if s.AllowsType(k.machineType) && (s.Zone == "" || s.Zone == k.zone) && (s.AllowSpot || !k.spot) && (!known || s.Demand.Fits(t.Capacity)) {
			return true
		}
	}
	return false
}
