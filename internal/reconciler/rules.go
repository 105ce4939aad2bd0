package reconciler

import (
	"github.com/glentiller/glentiller/internal/constraint"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// ruled is a job with rules: compiled once, judged once a class of machines.
type ruled struct {
	set    *constraint.Set // nil: this version cannot read them, so none of its tasks starts
	err    error
	made   int // the catalogue that fit and wishes were worked out for
	fit    []bool
	wishes [2][]float64
	stuck  bool // it has been said that nothing in the catalogue meets them
}

// classes numbers the classes of machines, for one catalogue.
type classes struct {
	made int // counts catalogues
	by   map[constraint.Class]int
	list []constraint.Class
}

// of is the number of a class.
func (k *classes) of(c constraint.Class) int {
	n, ok := k.by[c]
	if !ok {
		if k.by == nil {
			k.by = map[constraint.Class]int{}
		}
		n = len(k.list)
		k.by[c] = n
		k.list = append(k.list, c)
	}
	return n
}

// anew forgets the classes: the catalogue has changed.
func (k *classes) anew() { *k = classes{made: k.made + 1} }

// addRules compiles the rules of a job that was accepted with some. Guards against
// starting a job whose rules a later version has accepted and this one cannot read.
func (c *Core) addRules(j *model.Job) {
	if j.Spec.Rules == "" {
		return
	}
	r := &ruled{}
	if r.set, r.err = constraint.Parse(j.Spec.Rules); r.err != nil {
		c.log.Error("a job's rules cannot be read, so it waits", "id", j.Spec.ID, "err", r.err)
	}
	c.ruled[j] = r
	c.checkRules(j, r)
}

// checkRules says once where nothing in the catalogue meets a job's rules any more, and
// once when something does again. The job stays accepted.
func (c *Core) checkRules(j *model.Job, r *ruled) {
	if r.set == nil || len(c.types) == 0 {
		return
	}
	err := constraint.Check(r.set, j.Spec, constraint.World{Types: c.types})
	if stuck := err != nil; stuck != r.stuck {
		r.stuck = stuck
		if stuck {
			c.log.Warn("no machine in the catalogue meets a job's rules", "id", j.Spec.ID, "err", err)
		} else {
			c.log.Info("machines in the catalogue meet a job's rules again", "id", j.Spec.ID)
		}
	}
}

// readable tells whether a job's rules, if it has any, can be read.
func (c *Core) readable(j *model.Job) bool {
	r := c.ruled[j]
	return r == nil || r.set != nil
}

// rulesOf is what a job's rules say of the machines of this pass; nil: it has none.
func (c *Core) rulesOf(j *model.Job) *scheduler.Rules {
	r := c.ruled[j]
	if r == nil || r.set == nil {
		return nil
	}
	if r.made != c.classes.made || r.fit == nil {
		r.made, r.fit, r.wishes = c.classes.made, []bool{}, [2][]float64{}
	}
	for len(r.fit) < len(c.classes.list) {
		class := c.classes.list[len(r.fit)]
		_, ok := r.set.Allows(class)
		r.fit = append(r.fit, ok)
		for k := range r.wishes {
			r.wishes[k] = append(r.wishes[k], r.set.Wish(class, k == 1)/100)
		}
	}
	out := &scheduler.Rules{Fit: r.fit, Wishes: r.wishes, PerMachine: r.set.PerMachine(), PerZone: r.set.PerZone(),
		Offers: func(o scheduler.Offered) bool {
			_, ok := r.set.Allows(constraint.Class{Type: o.Type, Zone: o.Zone, Spot: o.Spot})
			return ok
		}}
	if out.PerMachine > 0 {
		out.On = map[*model.Machine]int{}
		for _, a := range j.ActiveAttempts {
			out.On[a.Machine]++
		}
	}
	for i := range r.set.Kin {
		c.tie(out, &r.set.Kin[i])
	}
	return out
}

// tie works out where another job is that a rule speaks of. While it is on no machine,
// it counts as where it may be: guards against a start in another zone while the other
// job moves. Once it has ended the rule says nothing.
func (c *Core) tie(out *scheduler.Rules, k *constraint.Kin) {
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
		if !k.Same {
			return
		}
		for _, z := range constraint.ZonesOf(other.Spec, c.types) {
			zones[z] = true
		}
	}
	if k.Zone {
		machines = nil
	} else {
		zones = nil
	}
	switch {
	case k.Weight != 0 && k.Same:
		out.Ties = append(out.Ties, scheduler.Tie{Zones: zones, Weight: k.Weight / 100})
	case k.Weight != 0:
		out.Ties = append(out.Ties, scheduler.Tie{Zones: zones, Machines: machines, Weight: -k.Weight / 100})
	case k.Same:
		out.Near = append(out.Near, zones)
	default:
		for z := range zones {
			if out.FarZones == nil {
				out.FarZones = map[string]bool{}
			}
			out.FarZones[z] = true
		}
		for m := range machines {
			if out.Far == nil {
				out.Far = map[*model.Machine]bool{}
			}
			out.Far[m] = true
		}
	}
}

// stands tells whether a placement still meets what its job's rules say of other jobs.
// Guards against a pass that starts that other job too, ahead of it: the rules were
// judged by where it was before. Of a gang all placements stand or none does.
func (c *Core) stands(pl scheduler.Placement, all []scheduler.Placement) bool {
	j := pl.Want.Job
	r := c.ruled[j]
	if r == nil || r.set == nil || len(r.set.Kin) == 0 {
		return true
	}
	rules := c.rulesOf(j)
	if j.Spec.Shape != model.Gang {
		return rules.Stands(pl.Node.Machine)
	}
	for _, o := range all {
		if o.Want == pl.Want && !rules.Stands(o.Node.Machine) {
			return false
		}
	}
	return true
}

// classify numbers the classes of the machines of a pass, where any job has rules.
func (c *Core) classify(nodes []*scheduler.Node) {
	if len(c.ruled) == 0 {
		return
	}
	for _, nd := range nodes {
		m := nd.Machine
		nd.Class = c.classes.of(constraint.Class{Type: m.Type, Zone: m.Zone, Spot: m.Spot})
	}
}

// catalogRules looks over what has rules when the catalogue was read anew.
func (c *Core) catalogRules() {
	c.classes.anew()
	for j, r := range c.ruled {
		c.checkRules(j, r)
	}
}
