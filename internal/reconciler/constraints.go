package reconciler

import (
	"github.com/glentiller/glentiller/internal/constraint"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// constraintRegistry holds the placement constraints of unfinished jobs and numbers the machine classes that the
// constraints are evaluated for. Jobs without constraints have no entry.
type constraintRegistry struct {
	byJob   map[*model.Job]*jobConstraints
	classes machineClasses
}

// jobConstraints holds the constraints of one job. They are parsed once, and evaluated once for each machine class.
type jobConstraints struct {
	set            *constraint.Set // nil if this program version cannot parse them; then no task of the job starts
	err            error           // the parse error if set is nil
	catalogVersion int             // the machineClasses.catalogVersion that allowed and preferences were computed for
	allowed        []bool          // whether the constraints allow a machine class, by class number
	preferences    [2][]float64    // preference weights by class number: [0] without, [1] with the job's image cached
	unsatisfiable  bool            // whether the constraints were last logged as unsatisfiable by the catalog
}

// machineClasses assigns consecutive numbers, starting at 0, to the machine classes of one catalog.
type machineClasses struct {
	catalogVersion int // incremented by every new catalog
	numbers        map[constraint.MachineClass]int
	byNumber       []constraint.MachineClass
}

func newConstraintRegistry() constraintRegistry {
	return constraintRegistry{byJob: map[*model.Job]*jobConstraints{}}
}

// readable reports whether the constraints of a job could be parsed. It is true for a job without constraints.
func (r *constraintRegistry) readable(job *model.Job) bool {
	constraints := r.byJob[job]
	return constraints == nil || constraints.set != nil
}

func (r *constraintRegistry) remove(job *model.Job) { delete(r.byJob, job) }

// numberOf returns the number of a class, and assigns one to a new class.
func (m *machineClasses) numberOf(class constraint.MachineClass) int {
	number, ok := m.numbers[class]
	if !ok {
		if m.numbers == nil {
			m.numbers = map[constraint.MachineClass]int{}
		}
		number = len(m.byNumber)
		m.numbers[class] = number
		m.byNumber = append(m.byNumber, class)
	}
	return number
}

// reset removes all classes after a change of the catalog.
func (m *machineClasses) reset() { *m = machineClasses{catalogVersion: m.catalogVersion + 1} }

// evaluate extends allowed and preferences to all numbered classes. It starts over if the catalog has changed.
func (j *jobConstraints) evaluate(classes *machineClasses) {
	if j.catalogVersion != classes.catalogVersion || j.allowed == nil {
		j.catalogVersion, j.allowed, j.preferences = classes.catalogVersion, []bool{}, [2][]float64{}
	}
	for len(j.allowed) < len(classes.byNumber) {
		class := classes.byNumber[len(j.allowed)]
		_, ok := j.set.Allows(class)
		j.allowed = append(j.allowed, ok)
		for i := range j.preferences {
			weight := j.set.PreferenceWeight(class, i == 1) / 100
			j.preferences[i] = append(j.preferences[i], weight)
		}
	}
}

func classOf(machine *model.Machine) constraint.MachineClass {
	return constraint.MachineClass{Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot}
}

// addConstraints parses the constraints of an accepted job, if it has any. A later program version may have accepted
// constraints that this version cannot parse; no task of such a job is started.
func (c *Core) addConstraints(job *model.Job) {
	if job.Spec.Rules == "" {
		return
	}
	constraints := &jobConstraints{}
	if constraints.set, constraints.err = constraint.Parse(job.Spec.Rules); constraints.err != nil {
		c.log.Error("cannot parse job constraints", "id", job.Spec.ID, "err", constraints.err)
	}
	c.constraints.byJob[job] = constraints
	c.checkSatisfiable(job, constraints)
}

// checkSatisfiable logs when no machine in the catalog satisfies the constraints of a job, and when a later catalog
// makes them satisfiable again. The job remains accepted in either case.
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
		c.log.Warn("no machine in the catalog satisfies the job constraints", "id", job.Spec.ID, "err", err)
	} else {
		c.log.Info("job constraints satisfiable again", "id", job.Spec.ID)
	}
}

// recheckConstraints discards all evaluations and checks all constraints against a new catalog.
func (c *Core) recheckConstraints() {
	c.constraints.classes.reset()
	for job, constraints := range c.constraints.byJob {
		c.checkSatisfiable(job, constraints)
	}
}

// classifyNodes sets the machine class of each node of a pass. It does nothing if no job has constraints.
func (c *Core) classifyNodes(nodes []*scheduler.Node) {
	if len(c.constraints.byJob) == 0 {
		return
	}
	for _, node := range nodes {
		node.MachineClass = c.constraints.classes.numberOf(classOf(node.Machine))
	}
}

// constraintsOf returns the constraints of a job in the scheduler's form, evaluated for the machine classes numbered
// so far. It returns nil if the job has no constraints or they could not be parsed.
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
			_, ok := set.Allows(constraint.MachineClass{Type: offer.Type, Zone: offer.Zone, Spot: offer.Spot})
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

// addAffinity adds the current location of the job that an affinity names to the evaluated constraints. While that job
// is on no machine, an affinity for its zone uses the zones in which it may run, so that this job does not start in
// another zone while the other one is being moved. An affinity has no effect once the named job has ended.
func (c *Core) addAffinity(rules *scheduler.Rules, affinity *constraint.Affinity) {
	other := c.jobs[affinity.JobID]
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

// union adds the elements of more to set and returns set. A nil set is allocated if more is not empty.
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
// the named job elsewhere after the affinities were evaluated. For a gang, all placements have to satisfy them.
func (c *Core) affinityHolds(placement scheduler.Placement, all []scheduler.Placement) bool {
	job := placement.Request.Job
	constraints := c.constraints.byJob[job]
	if constraints == nil || constraints.set == nil || len(constraints.set.Affinities) == 0 {
		return true
	}
	rules := c.constraintsOf(job)
	if job.Spec.Shape != model.Gang {
		return rules.MeetsJobClauses(placement.Node.Machine)
	}
	for _, other := range all {
		if other.Request == placement.Request && !rules.MeetsJobClauses(other.Node.Machine) {
			return false
		}
	}
	return true
}
