package reconciler

import (
	"github.com/glentiller/glentiller/internal/constraint"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// constraintRegistry keeps the placement constraints of the unfinished jobs that have any, and numbers the classes of
// machines that they are evaluated for.
type constraintRegistry struct {
	byJob   map[*model.Job]*jobConstraints
	classes machineClasses
}

// jobConstraints are the constraints of one job: parsed once, and evaluated once a class of machines.
type jobConstraints struct {
	set            *constraint.Set // nil: this version cannot read them, so none of the job's tasks starts
	err            error           // why it cannot
	catalogVersion int             // that the following two hold for
	allowed        []bool          // by number of a class
	preferences    [2][]float64    // by number of a class; the second for machines that hold the job's image
	unsatisfiable  bool            // it was logged that nothing in the catalog satisfies them
}

// machineClasses numbers the classes of machines of one catalog.
type machineClasses struct {
	catalogVersion int // counts catalogs
	numbers        map[constraint.Class]int
	list           []constraint.Class
}

func newConstraintRegistry() constraintRegistry {
	return constraintRegistry{byJob: map[*model.Job]*jobConstraints{}}
}

// readable reports whether a job's constraints, if it has any, can be read.
func (r *constraintRegistry) readable(job *model.Job) bool {
	constraints := r.byJob[job]
	return constraints == nil || constraints.set != nil
}

func (r *constraintRegistry) remove(job *model.Job) { delete(r.byJob, job) }

// number returns the number of a class.
func (m *machineClasses) number(class constraint.Class) int {
	number, ok := m.numbers[class]
	if !ok {
		if m.numbers == nil {
			m.numbers = map[constraint.Class]int{}
		}
		number = len(m.list)
		m.numbers[class] = number
		m.list = append(m.list, class)
	}
	return number
}

// reset forgets the classes: the catalog has changed.
func (m *machineClasses) reset() { *m = machineClasses{catalogVersion: m.catalogVersion + 1} }

// evaluate evaluates constraints for the classes that they were not evaluated for yet.
func (j *jobConstraints) evaluate(classes *machineClasses) {
	if j.catalogVersion != classes.catalogVersion || j.allowed == nil {
		j.catalogVersion, j.allowed, j.preferences = classes.catalogVersion, []bool{}, [2][]float64{}
	}
	for len(j.allowed) < len(classes.list) {
		class := classes.list[len(j.allowed)]
		_, ok := j.set.Allows(class)
		j.allowed = append(j.allowed, ok)
		for i := range j.preferences {
			weight := j.set.PreferenceWeight(class, i == 1) / 100
			j.preferences[i] = append(j.preferences[i], weight)
		}
	}
}

// classOf returns the class that a machine belongs to.
func classOf(machine *model.Machine) constraint.Class {
	return constraint.Class{Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot}
}

// addConstraints parses the constraints of a job that was accepted with some. A later version may have accepted a job
// whose constraints this one cannot read; such a job is not started.
func (c *Core) addConstraints(job *model.Job) {
	if job.Spec.Rules == "" {
		return
	}
	constraints := &jobConstraints{}
	if constraints.set, constraints.err = constraint.Parse(job.Spec.Rules); constraints.err != nil {
		c.log.Error("job constraints unreadable", "id", job.Spec.ID, "err", constraints.err)
	}
	c.constraints.byJob[job] = constraints
	c.checkSatisfiable(job, constraints)
}

// checkSatisfiable logs once when nothing in the catalog satisfies a job's constraints any more, and once when
// something does again. The job stays accepted.
func (c *Core) checkSatisfiable(job *model.Job, constraints *jobConstraints) {
	if constraints.set == nil || len(c.machineTypes) == 0 {
		return
	}
	err := constraint.Check(constraints.set, job.Spec, constraint.Environment{Types: c.machineTypes})
	unsatisfiable := err != nil
	if unsatisfiable == constraints.unsatisfiable {
		return
	}
	constraints.unsatisfiable = unsatisfiable
	if unsatisfiable {
		c.log.Warn("job constraints unsatisfiable", "id", job.Spec.ID, "err", err)
	} else {
		c.log.Info("job constraints satisfiable again", "id", job.Spec.ID)
	}
}

// recheckConstraints checks all constraints when the catalog was read anew.
func (c *Core) recheckConstraints() {
	c.constraints.classes.reset()
	for job, constraints := range c.constraints.byJob {
		c.checkSatisfiable(job, constraints)
	}
}

// classifyNodes numbers the classes of the machines of a pass, where any job has constraints.
func (c *Core) classifyNodes(nodes []*scheduler.Node) {
	if len(c.constraints.byJob) == 0 {
		return
	}
	for _, node := range nodes {
		node.MachineClass = c.constraints.classes.number(classOf(node.Machine))
	}
}

// constraintsOf returns what a job's constraints say of the machines of this pass; nil: it has none.
func (c *Core) constraintsOf(job *model.Job) *scheduler.Rules {
	constraints := c.constraints.byJob[job]
	if constraints == nil || constraints.set == nil {
		return nil
	}
	constraints.evaluate(&c.constraints.classes)
	set := constraints.set
	rules := &scheduler.Rules{
		FeasibleByClass:   constraints.allowed,
		PreferenceByClass: constraints.preferences,
		MaxPerMachine:     set.MaxPerMachine(),
		MaxPerZone:        set.MaxPerZone(),
		OfferFeasible: func(offer scheduler.MachineOffer) bool {
			_, ok := set.Allows(constraint.Class{Type: offer.Type, Zone: offer.Zone, Spot: offer.Spot})
			return ok
		},
	}
	if rules.MaxPerMachine > 0 {
		rules.TasksByMachine = map[*model.Machine]int{}
		for _, attempt := range job.ActiveAttempts {
			rules.TasksByMachine[attempt.Machine]++
		}
	}
	for i := range set.Affinities {
		c.addAffinity(rules, &set.Affinities[i])
	}
	return rules
}

// addAffinity adds where another job is that an affinity names. While that job is on no machine it counts as where it
// may be, so that this one does not start in another zone while the other one moves. Once it has ended the affinity
// has no effect.
func (c *Core) addAffinity(rules *scheduler.Rules, affinity *constraint.Affinity) {
	other := c.jobs[affinity.Job]
	if other == nil {
		return
	}
	zones, machines := map[string]bool{}, map[*model.Machine]bool{}
	for _, attempt := range other.ActiveAttempts {
		zones[attempt.Machine.Zone] = true
		machines[attempt.Machine] = true
	}
	if len(other.ActiveAttempts) == 0 {
		if !affinity.SameZone {
			return
		}
		for _, zone := range constraint.FeasibleZones(other.Spec, c.machineTypes) {
			zones[zone] = true
		}
	}
	if affinity.ByZone {
		machines = nil
	} else {
		zones = nil
	}
	switch weight := affinity.Weight / 100; {
	case affinity.Weight != 0 && affinity.SameZone:
		rules.JobPreferences = append(rules.JobPreferences, scheduler.JobPreference{Zones: zones, Weight: weight})
	case affinity.Weight != 0:
		rules.JobPreferences = append(rules.JobPreferences, scheduler.JobPreference{
			Zones: zones, Machines: machines, Weight: -weight,
		})
	case affinity.SameZone:
		rules.AffinityZones = append(rules.AffinityZones, zones)
	default:
		rules.AntiAffinityZones = union(rules.AntiAffinityZones, zones)
		rules.AntiAffinityMachines = union(rules.AntiAffinityMachines, machines)
	}
}

// union adds the elements of a set to another one, which is made if it is nil and there are any.
func union[K comparable](set, more map[K]bool) map[K]bool {
	for element := range more {
		if set == nil {
			set = map[K]bool{}
		}
		set[element] = true
	}
	return set
}

// affinityHolds reports whether a placement still satisfies the affinities of its job. The same pass may have started
// the job that they name elsewhere, after they were evaluated. Of a gang all placements have to satisfy them.
func (c *Core) affinityHolds(placement scheduler.Placement, all []scheduler.Placement) bool {
	job := placement.Request.Job
	constraints := c.constraints.byJob[job]
	if constraints == nil || constraints.set == nil || len(constraints.set.Affinities) == 0 {
		return true
	}
	rules := c.constraintsOf(job)
	if job.Spec.Shape != model.Gang {
		return rules.StillMet(placement.Node.Machine)
	}
	for _, other := range all {
		if other.Request == placement.Request && !rules.StillMet(other.Node.Machine) {
			return false
		}
	}
	return true
}
