package reconciler

import (
	"github.com/glentiller/glentiller/internal/constraint"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// jobConstraints is a job with rules: compiled once, judged once a class of machines.
type jobConstraints struct {
	set            *constraint.Set // nil: this version cannot read them, so none of its tasks starts
	err            error
	catalogVersion int // the catalogue that fit and wishes were worked out for
	allowed        []bool
	preferences    [2][]float64
	unsatisfiable  bool // it has been said that nothing in the catalogue meets them
}

// machineClasses numbers the classes of machines, for one catalogue.
type machineClasses struct {
	catalogVersion int // counts catalogues
	numbers        map[constraint.Class]int
	list           []constraint.Class
}

// number is the number of a class.
func (k *machineClasses) number(c constraint.Class) int {
	n, ok := k.numbers[c]
	if !ok {
		if k.numbers == nil {
			k.numbers = map[constraint.Class]int{}
		}
		n = len(k.list)
		k.numbers[c] = n
		k.list = append(k.list, c)
	}
	return n
}

// reset forgets the classes: the catalogue has changed.
func (k *machineClasses) reset() { *k = machineClasses{catalogVersion: k.catalogVersion + 1} }

// addConstraints compiles the rules of a job that was accepted with some. Guards against
// starting a job whose rules a later version has accepted and this one cannot read.
func (c *Core) addConstraints(j *model.Job) {
	if j.Spec.Rules == "" {
		return
	}
	r := &jobConstraints{}
	if r.set, r.err = constraint.Parse(j.Spec.Rules); r.err != nil {
		c.log.Error("a job's rules cannot be read, so it waits", "id", j.Spec.ID, "err", r.err)
	}
	c.constraints[j] = r
	c.checkSatisfiable(j, r)
}

// checkSatisfiable says once where nothing in the catalogue meets a job's rules any more, and
// once when something does again. The job stays accepted.
func (c *Core) checkSatisfiable(j *model.Job, r *jobConstraints) {
	if r.set == nil || len(c.machineTypes) == 0 {
		return
	}
	err := constraint.Check(r.set, j.Spec, constraint.Environment{Types: c.machineTypes})
	if stuck := err != nil; stuck != r.unsatisfiable {
		r.unsatisfiable = stuck
		if stuck {
			c.log.Warn("no machine in the catalogue meets a job's rules", "id", j.Spec.ID, "err", err)
		} else {
			c.log.Info("machines in the catalogue meet a job's rules again", "id", j.Spec.ID)
		}
	}
}

// constraintsReadable tells whether a job's rules, if it has any, can be read.
func (c *Core) constraintsReadable(j *model.Job) bool {
	r := c.constraints[j]
	return r == nil || r.set != nil
}

// constraintsOf is what a job's rules say of the machines of this pass; nil: it has none.
func (c *Core) constraintsOf(j *model.Job) *scheduler.Rules {
	r := c.constraints[j]
	if r == nil || r.set == nil {
		return nil
	}
	if r.catalogVersion != c.machineClasses.catalogVersion || r.allowed == nil {
		r.catalogVersion, r.allowed, r.preferences = c.machineClasses.catalogVersion, []bool{}, [2][]float64{}
	}
	for len(r.allowed) < len(c.machineClasses.list) {
		class := c.machineClasses.list[len(r.allowed)]
		_, ok := r.set.Allows(class)
		r.allowed = append(r.allowed, ok)
		for k := range r.preferences {
			r.preferences[k] = append(r.preferences[k], r.set.PreferenceWeight(class, k == 1)/100)
		}
	}
	out := &scheduler.Rules{FeasibleByClass: r.allowed, PreferenceByClass: r.preferences, MaxPerMachine: r.set.MaxPerMachine(), MaxPerZone: r.set.MaxPerZone(),
		OfferFeasible: func(o scheduler.MachineOffer) bool {
			_, ok := r.set.Allows(constraint.Class{Type: o.Type, Zone: o.Zone, Spot: o.Spot})
			return ok
		}}
	if out.MaxPerMachine > 0 {
		out.TasksByMachine = map[*model.Machine]int{}
		for _, a := range j.ActiveAttempts {
			out.TasksByMachine[a.Machine]++
		}
	}
	for i := range r.set.Affinities {
		c.addAffinity(out, &r.set.Affinities[i])
	}
	return out
}

// addAffinity works out where another job is that a rule speaks of. While it is on no machine,
// it counts as where it may be: guards against a start in another zone while the other
// job moves. Once it has ended the rule says nothing.
func (c *Core) addAffinity(out *scheduler.Rules, k *constraint.Affinity) {
	other := c.jobs[k.Job]
	if other == nil {
		return
	}
	zones, machines := map[string]bool{}, map[*model.Machine]bool{}
	for _, a := range other.ActiveAttempts {
		zones[a.Machine.Zone] = true
		machines[a.Machine] = true
	}
	if len(other.ActiveAttempts) == 0 {
		if !k.SameZone {
			return
		}
		for _, z := range constraint.FeasibleZones(other.Spec, c.machineTypes) {
			zones[z] = true
		}
	}
	if k.ByZone {
		machines = nil
	} else {
		zones = nil
	}
	switch {
	case k.Weight != 0 && k.SameZone:
		out.JobPreferences = append(out.JobPreferences, scheduler.JobPreference{Zones: zones, Weight: k.Weight / 100})
	case k.Weight != 0:
		out.JobPreferences = append(out.JobPreferences, scheduler.JobPreference{Zones: zones, Machines: machines, Weight: -k.Weight / 100})
	case k.SameZone:
		out.AffinityZones = append(out.AffinityZones, zones)
	default:
		for z := range zones {
			if out.AntiAffinityZones == nil {
				out.AntiAffinityZones = map[string]bool{}
			}
			out.AntiAffinityZones[z] = true
		}
		for m := range machines {
			if out.AntiAffinityMachines == nil {
				out.AntiAffinityMachines = map[*model.Machine]bool{}
			}
			out.AntiAffinityMachines[m] = true
		}
	}
}

// affinityHolds tells whether a placement still meets what its job's rules say of other jobs.
// Guards against a pass that starts that other job too, ahead of it: the rules were
// judged by where it was before. Of a gang all placements stand or none does.
func (c *Core) affinityHolds(pl scheduler.Placement, all []scheduler.Placement) bool {
	j := pl.Request.Job
	r := c.constraints[j]
	if r == nil || r.set == nil || len(r.set.Affinities) == 0 {
		return true
	}
	rules := c.constraintsOf(j)
	if j.Spec.Shape != model.Gang {
		return rules.StillMet(pl.Node.Machine)
	}
	for _, o := range all {
		if o.Request == pl.Request && !rules.StillMet(o.Node.Machine) {
			return false
		}
	}
	return true
}

// classifyNodes numbers the classes of the machines of a pass, where any job has rules.
func (c *Core) classifyNodes(nodes []*scheduler.Node) {
	if len(c.constraints) == 0 {
		return
	}
	for _, nd := range nodes {
		m := nd.Machine
		nd.MachineClass = c.machineClasses.number(constraint.Class{Type: m.Type, Zone: m.Zone, Spot: m.Spot})
	}
}

// recheckConstraints looks over what has rules when the catalogue was read anew.
func (c *Core) recheckConstraints() {
	c.machineClasses.reset()
	for j, r := range c.constraints {
		c.checkSatisfiable(j, r)
	}
}
