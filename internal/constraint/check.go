package constraint

import (
	"fmt"
	"slices"
	"strings"

	"github.com/glentiller/glentiller/internal/model"
)

// ContradictionError reports that the constraints of a job contradict each other or other fields of the job, so that
// the job could never run.
type ContradictionError struct {
	// Clauses describes a set of conditions that cannot hold together, but can if any one of them is removed. It is
	// empty if the catalog offers no machines.
	Clauses []string

	// Smallest is true if no contradictory set with fewer conditions exists. It is false if the search for such a set
	// reached its bounds.
	Smallest bool

	// ConcurrentTasks is the number of the job's tasks that run at the same time. It is 0 if none of the conditions
	// limits how these tasks are distributed over zones.
	ConcurrentTasks int
}

func (e *ContradictionError) Error() string {
	clauses := strings.Join(e.Clauses, "; ")
	switch {
	case e.ConcurrentTasks > 0:
		return fmt.Sprintf("rules: %d tasks run at the same time, and so many cannot under %s", e.ConcurrentTasks, clauses)
	case len(e.Clauses) == 1:
		return "rules: no machine that can be rented meets " + clauses
	}
	return "rules: these exclude each other: " + clauses
}

// Environment holds the facts about the cluster that constraints are checked against.
type Environment struct {
	Types []model.MachineType // the cloud's catalog

	// JobZones returns the zones that the tasks of another job may run in. ok is false if an affinity to that job
	// excludes no zone, for example because the job has ended. If JobZones is nil, nothing is known about other jobs and
	// affinities exclude no zone.
	JobZones func(job string) (zones []string, ok bool)
}

func (e Environment) jobZones(job string) (zones []string, ok bool) {
	if e.JobZones == nil {
		return nil, false
	}
	return e.JobZones(job)
}

// SpecAllows reports whether the fields of a job other than its constraints allow its tasks to run on machines of a
// class.
func SpecAllows(spec *model.Spec, class MachineClass) bool {
	return (spec.Zone == "" || spec.Zone == class.Zone) && (spec.AllowSpot || !class.Spot) &&
		spec.AllowsType(class.Type.Name) && spec.Demand.Fits(class.Type.Capacity)
}

// FeasibleZones returns the zones that the tasks of an unfinished job may run in, sorted by name. Constraints that this
// version cannot parse do not restrict them.
func FeasibleZones(spec *model.Spec, types []model.MachineType) []string {
	set, err := Parse(spec.Rules)
	if err != nil {
		set = &Set{} // a controller of a later version has accepted constraints that this version cannot parse
	}
	zones := []string{}
	for _, class := range MachineClasses(types) {
		_, allowed := set.Allows(class)
		if allowed && SpecAllows(spec, class) && !slices.Contains(zones, class.Zone) {
			zones = append(zones, class.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// Check reports whether a job with these constraints could run at all on the machines that can be provisioned. It
// returns nil if it could, and a *ContradictionError otherwise. The decision is exact, and the limits on a constraint
// text (see MaxTextBytes) bound its running time.
func Check(set *Set, spec *model.Spec, env Environment) error {
	p := newProblem(set, spec, env)
	all := p.allConditions()
	if p.feasible(all) {
		return nil
	}
	conflict, smallest := p.smallestConflict(all)
	contradiction := &ContradictionError{Smallest: smallest}
	for i := range conflict.indices() {
		c := &p.conditions[i]
		contradiction.Clauses = append(contradiction.Clauses, c.description)
		if c.maxPerZone > 0 || c.singleZone {
			contradiction.ConcurrentTasks = p.concurrentTasks
		}
	}
	return contradiction
}

// condition is a requirement that a clause of the constraints or another field of a job places on where its tasks run.
// A field with the zero value, other than description, restricts nothing.
type condition struct {
	description     string // as shown to users
	allowedByClass  []bool // whether tasks may run on a class, indexed like problem.classes
	maxPerZone      int    // maximum number of tasks in one zone
	singleZone      bool   // all tasks have to run in the same zone
	affinityJob     string // ID of a job in whose zones the tasks have to run
	antiAffinityJob string // ID of a job in whose zones the tasks must not run
}

// problem is the decision problem of whether all conditions of a job can hold together on the classes of machines
// that can be provisioned.
type problem struct {
	classes         []MachineClass
	conditions      []condition
	concurrentTasks int // tasks that have to run at the same time: one for a job array, otherwise all tasks of the job
}

// newProblem collects the conditions of a job. It omits conditions that exclude nothing.
func newProblem(set *Set, spec *model.Spec, env Environment) *problem {
	p := &problem{classes: MachineClasses(env.Types), concurrentTasks: 1}
	if spec.Shape != model.Array {
		p.concurrentTasks = spec.Tasks
	}
	for i := range set.Required {
		clause := &set.Required[i]
		p.addByClass(clause.String(), func(class MachineClass) bool { return clause.expr.holds(class, false) })
	}
	p.addFields(spec)
	for i := range set.Affinities {
		p.addAffinity(&set.Affinities[i], env)
	}
	for i := range set.TaskLimits {
		if limit := &set.TaskLimits[i]; limit.PerZone {
			p.addMaxPerZone(limit.Clause.String(), limit.Count)
		}
	}
	if spec.Spread {
		p.addMaxPerZone("the job's scatter", spec.MaxTasksPerZone())
	}
	if spec.SingleZone && p.concurrentTasks > 1 {
		p.addCondition(condition{description: "the job's oneZone", singleZone: true})
	}
	return p
}

func (p *problem) addCondition(c condition) { p.conditions = append(p.conditions, c) }

// addByClass adds a condition that allows the classes for which holds returns true. It adds nothing if the condition
// allows all classes.
func (p *problem) addByClass(description string, holds func(class MachineClass) bool) {
	allowed := make([]bool, len(p.classes))
	for i, class := range p.classes {
		allowed[i] = holds(class)
	}
	if slices.Contains(allowed, false) {
		p.addCondition(condition{description: description, allowedByClass: allowed})
	}
}

// addMaxPerZone adds a limit on the tasks in one zone. It adds nothing if all concurrent tasks fit within the limit.
func (p *problem) addMaxPerZone(description string, maxTasks int) {
	if maxTasks < p.concurrentTasks {
		p.addCondition(condition{description: description, maxPerZone: maxTasks})
	}
}

// addFields adds the conditions that the fields of a job place on classes. The descriptions use the names of the
// fields in the API.
func (p *problem) addFields(spec *model.Spec) {
	demand := spec.Demand
	size := fmt.Sprintf("a task's %g CPUs, %g GPUs and %g GB", demand.CPU, demand.GPU, demand.MemGB)
	p.addByClass(size, func(class MachineClass) bool { return demand.Fits(class.Type.Capacity) })
	if len(spec.MachineTypes) > 0 {
		types := "the job's breeds " + strings.Join(spec.MachineTypes, ", ")
		p.addByClass(types, func(class MachineClass) bool { return spec.AllowsType(class.Type.Name) })
	}
	if spec.Zone != "" {
		p.addByClass("the job's field "+spec.Zone, func(class MachineClass) bool { return class.Zone == spec.Zone })
	}
	if !spec.AllowSpot {
		p.addByClass("the job's loaners: false", func(class MachineClass) bool { return !class.Spot })
	}
}

// addAffinity adds a required affinity to the zones of another job, or a required anti-affinity to them. It ignores
// preferred affinities and anti-affinities to machines, which exclude no class.
func (p *problem) addAffinity(affinity *Affinity, env Environment) {
	if affinity.Weight != 0 || !affinity.ByZone {
		return
	}
	c := condition{description: affinity.Clause.String()}
	if !affinity.SameZone {
		c.antiAffinityJob = affinity.JobID
		p.addCondition(c)
		return
	}
	c.affinityJob = affinity.JobID
	if zones, ok := env.jobZones(affinity.JobID); ok {
		c.allowedByClass = make([]bool, len(p.classes))
		for i, class := range p.classes {
			c.allowedByClass[i] = slices.Contains(zones, class.Zone)
		}
		c.description += ", which may only be in " + strings.Join(zones, ", ")
	}
	p.addCondition(c)
}

// feasible reports whether all conditions of a set can hold together while all concurrent tasks run.
func (p *problem) feasible(set conditionSet) bool {
	if p.hasOpposedAffinities(set) {
		return false
	}
	perZone, singleZone := p.concurrentTasks, false
	for i := range set.indices() {
		c := &p.conditions[i]
		if c.maxPerZone > 0 {
			perZone = min(perZone, c.maxPerZone)
		}
		singleZone = singleZone || c.singleZone
	}
	zones := p.feasibleZones(set)
	capacity := zones * perZone
	if singleZone {
		capacity = min(capacity, perZone)
	}
	return zones > 0 && capacity >= p.concurrentTasks
}

// hasOpposedAffinities reports whether a set of conditions contains both an affinity and an anti-affinity to the
// zones of the same job.
func (p *problem) hasOpposedAffinities(set conditionSet) bool {
	affinities, antiAffinities := map[string]bool{}, map[string]bool{}
	for i := range set.indices() {
		c := &p.conditions[i]
		if c.affinityJob != "" {
			affinities[c.affinityJob] = true
		}
		if c.antiAffinityJob != "" {
			antiAffinities[c.antiAffinityJob] = true
		}
	}
	for job := range affinities {
		if antiAffinities[job] {
			return true
		}
	}
	return false
}

// feasibleZones returns the number of zones with at least one class that all conditions of a set allow.
func (p *problem) feasibleZones(set conditionSet) int {
	zones := map[string]bool{}
	for i, class := range p.classes {
		if !zones[class.Zone] && p.allows(set, i) {
			zones[class.Zone] = true
		}
	}
	return len(zones)
}

// allows reports whether all conditions of a set allow the class p.classes[classIndex].
func (p *problem) allows(set conditionSet, classIndex int) bool {
	for i := range set.indices() {
		if allowed := p.conditions[i].allowedByClass; allowed != nil && !allowed[classIndex] {
			return false
		}
	}
	return true
}
