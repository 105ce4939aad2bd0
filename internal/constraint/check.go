package constraint

import (
	"fmt"
	"slices"
	"strings"

	"github.com/glentiller/glentiller/internal/model"
)

// ContradictionError says that rules exclude each other, or other fields of the job, so that it could never run.
type ContradictionError struct {
	Clauses         []string // the smallest set of conditions that cannot hold together
	Smallest        bool     // no smaller set exists; else only no part of this one
	ConcurrentTasks int      // tasks that run at the same time, where the conditions are about that; else 0
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

// Environment is what rules are checked against.
type Environment struct {
	Types []model.MachineType

	// JobZones returns in which zones another job's tasks may be; ok is false for a job that is not bound to any. nil:
	// nothing is known of other jobs.
	JobZones func(job string) (zones []string, ok bool)
}

func (e Environment) jobZones(job string) (zones []string, ok bool) {
	if e.JobZones == nil {
		return nil, false
	}
	return e.JobZones(job)
}

// SpecAllows reports whether a job's own fields, its rules aside, allow it a class of machines.
func SpecAllows(spec *model.Spec, class Class) bool {
	return (spec.Zone == "" || spec.Zone == class.Zone) && (spec.AllowSpot || !class.Spot) &&
		spec.AllowsType(class.Type.Name) && spec.Demand.Fits(class.Type.Capacity)
}

// FeasibleZones lists the zones in which an unfinished job's tasks may be, by name.
func FeasibleZones(spec *model.Spec, types []model.MachineType) []string {
	set, err := Parse(spec.Rules)
	if err != nil {
		set = &Set{} // rules of a later version, which this one cannot read
	}
	zones := []string{}
	for _, class := range Classes(types) {
		_, allowed := set.Allows(class)
		if allowed && SpecAllows(spec, class) && !slices.Contains(zones, class.Zone) {
			zones = append(zones, class.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// Check checks whether a job with these rules could run at all on the machines that can be provisioned; its error is a
// *ContradictionError. It decides exactly, in a time that the bounds of a text limit.
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
		if c.maxPerZone > 0 || c.oneZone {
			contradiction.ConcurrentTasks = p.concurrentTasks
		}
	}
	return contradiction
}

// condition is one condition of a job: a clause of its rules or another of its fields. The zero value of each field but
// the description says nothing.
type condition struct {
	description     string
	allowedByClass  []bool // indexed like problem.classes
	maxPerZone      int    // tasks in a zone
	oneZone         bool   // all tasks in one zone
	affinityJob     string // in the zones of this job
	antiAffinityJob string // not in the zones of this job
}

// problem is the question whether a job's conditions can hold together on any classes of machines.
type problem struct {
	classes         []Class
	conditions      []condition
	concurrentTasks int // tasks that run at the same time: all of them, but of an array one
}

// newProblem collects the conditions of a job.
func newProblem(set *Set, spec *model.Spec, env Environment) *problem {
	p := &problem{classes: Classes(env.Types), concurrentTasks: 1}
	if spec.Shape != model.Array {
		p.concurrentTasks = spec.Tasks
	}
	for i := range set.Required {
		clause := &set.Required[i]
		p.addByClass(clause.String(), func(class Class) bool { return clause.expr.holds(class, false) })
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
		p.add(condition{description: "the job's oneZone", oneZone: true})
	}
	return p
}

func (p *problem) add(c condition) { p.conditions = append(p.conditions, c) }

// addByClass adds a condition on classes, unless it allows all of them: then it excludes nothing.
func (p *problem) addByClass(description string, holds func(class Class) bool) {
	allowed := make([]bool, len(p.classes))
	for i, class := range p.classes {
		allowed[i] = holds(class)
	}
	if slices.Contains(allowed, false) {
		p.add(condition{description: description, allowedByClass: allowed})
	}
}

// addMaxPerZone adds a bound on the tasks in a zone, unless all tasks that run at the same time are within it.
func (p *problem) addMaxPerZone(description string, most int) {
	if most < p.concurrentTasks {
		p.add(condition{description: description, maxPerZone: most})
	}
}

// addFields adds what a job's fields say of classes. The descriptions use the names that the fields have for users.
func (p *problem) addFields(spec *model.Spec) {
	demand := spec.Demand
	size := fmt.Sprintf("a task's %g CPUs, %g GPUs and %g GB", demand.CPU, demand.GPU, demand.MemGB)
	p.addByClass(size, func(class Class) bool { return demand.Fits(class.Type.Capacity) })
	if len(spec.MachineTypes) > 0 {
		types := "the job's breeds " + strings.Join(spec.MachineTypes, ", ")
		p.addByClass(types, func(class Class) bool { return spec.AllowsType(class.Type.Name) })
	}
	if spec.Zone != "" {
		p.addByClass("the job's field "+spec.Zone, func(class Class) bool { return class.Zone == spec.Zone })
	}
	if !spec.AllowSpot {
		p.addByClass("the job's loaners: false", func(class Class) bool { return !class.Spot })
	}
}

// addAffinity adds a required affinity to, or anti-affinity from, the zones of another job.
func (p *problem) addAffinity(affinity *Affinity, env Environment) {
	if affinity.Weight != 0 || !affinity.ByZone {
		return
	}
	c := condition{description: affinity.Clause.String()}
	if !affinity.SameZone {
		c.antiAffinityJob = affinity.Job
		p.add(c)
		return
	}
	c.affinityJob = affinity.Job
	if zones, ok := env.jobZones(affinity.Job); ok {
		c.allowedByClass = make([]bool, len(p.classes))
		for i, class := range p.classes {
			c.allowedByClass[i] = slices.Contains(zones, class.Zone)
		}
		c.description += ", which may only be in " + strings.Join(zones, ", ")
	}
	p.add(c)
}

// feasible reports whether a set of conditions can hold together.
func (p *problem) feasible(set conditionSet) bool {
	if p.opposed(set) {
		return false
	}
	perZone, oneZone := p.concurrentTasks, false
	for i := range set.indices() {
		c := &p.conditions[i]
		if c.maxPerZone > 0 {
			perZone = min(perZone, c.maxPerZone)
		}
		oneZone = oneZone || c.oneZone
	}
	zones := p.feasibleZones(set)
	room := zones * perZone
	if oneZone {
		room = min(room, perZone)
	}
	return zones > 0 && room >= p.concurrentTasks
}

// opposed reports whether a set of conditions has both an affinity and an anti-affinity to the zones of one job.
func (p *problem) opposed(set conditionSet) bool {
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

// feasibleZones counts the zones that have a class which a set of conditions allows.
func (p *problem) feasibleZones(set conditionSet) int {
	zones := map[string]bool{}
	for i, class := range p.classes {
		if !zones[class.Zone] && p.allows(set, i) {
			zones[class.Zone] = true
		}
	}
	return len(zones)
}

// allows reports whether a set of conditions allows a class, by its index.
func (p *problem) allows(set conditionSet, class int) bool {
	for i := range set.indices() {
		if allowed := p.conditions[i].allowedByClass; allowed != nil && !allowed[class] {
			return false
		}
	}
	return true
}
