package constraint

import (
	"fmt"
	"math/bits"
	"slices"
	"strings"

	"github.com/glentiller/glentiller/internal/model"
)

// Contradiction says that rules exclude each other, or a job's other fields: the job
// could never run.
type Contradiction struct {
	Clauses         []string // the smallest set that cannot hold together
	Smallest        bool     // no smaller set does; else none that leaves one of these out does
	ConcurrentTasks int      // tasks that run at the same time, where the clauses are about that; else 0
}

func (c *Contradiction) Error() string {
	if c.ConcurrentTasks > 0 {
		return fmt.Sprintf("rules: %d tasks run at the same time, and so many cannot under %s", c.ConcurrentTasks, strings.Join(c.Clauses, "; "))
	}
	if len(c.Clauses) == 1 {
		return "rules: no machine that can be rented meets " + c.Clauses[0]
	}
	return "rules: these exclude each other: " + strings.Join(c.Clauses, "; ")
}

// Environment is what rules are judged in.
type Environment struct {
	Types []model.MachineType
	// JobZones tells in which zones another job's tasks may be; ok is false for a job that
	// nothing keeps to any. nil: nothing is known of other jobs.
	JobZones func(job string) (zones []string, ok bool)
}

func (w Environment) jobZones(job string) ([]string, bool) {
	if w.JobZones == nil {
		return nil, false
	}
	return w.JobZones(job)
}

// SpecAllows tells whether a job's own fields, its rules aside, allow it a class of machines.
func SpecAllows(spec *model.Spec, c Class) bool {
	return (spec.Zone == "" || spec.Zone == c.Zone) && (spec.AllowSpot || !c.Spot) && spec.AllowsType(c.Type.Name) && spec.Demand.Fits(c.Type.Capacity)
}

// Classes lists the classes of machines that can be rented.
func Classes(types []model.MachineType) (out []Class) {
	for i := range types {
		for _, z := range types[i].Zones {
			out = append(out, Class{&types[i], z, false}, Class{&types[i], z, true})
		}
	}
	return out
}

// FeasibleZones lists the zones in which an unfinished job's tasks may be, in order.
func FeasibleZones(spec *model.Spec, types []model.MachineType) []string {
	set, err := Parse(spec.Rules)
	if err != nil {
		set = &Set{}
	}
	zones := []string{}
	for _, c := range Classes(types) {
		if _, ok := set.Allows(c); ok && SpecAllows(spec, c) && !slices.Contains(zones, c.Zone) {
			zones = append(zones, c.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// condition is one condition of a job: a clause of its rules or another of its fields.
type condition struct {
	description     string
	allowedByClass  []bool // by class; nil: it says something else
	maxPerZone      int    // tasks in a zone; 0: says nothing
	oneZone         bool   // all tasks in one zone
	affinityJob     string // in the zones of this job
	antiAffinityJob string // not in the zones of this job
}

// problem is a job's conditions over the classes of machines.
type problem struct {
	classes         []Class
	conditions      []condition
	concurrentTasks int // tasks that run at the same time: all of them, but of an array one
}

// newProblem gathers the conditions of a job.
func newProblem(set *Set, spec *model.Spec, w Environment) *problem {
	p := &problem{classes: Classes(w.Types), concurrentTasks: 1}
	if spec.Shape != model.Array {
		p.concurrentTasks = spec.Tasks
	}
	class := func(what string, holds func(c Class) bool) {
		allows := make([]bool, len(p.classes))
		all := true
		for i, c := range p.classes {
			allows[i] = holds(c)
			all = all && allows[i]
		}
		if !all { // what allows everything excludes nothing
			p.conditions = append(p.conditions, condition{description: what, allowedByClass: allows})
		}
	}
	for i := range set.Required {
		c := &set.Required[i]
		class(c.String(), func(at Class) bool { return c.expr.holds(at, false) })
	}
	class(fmt.Sprintf("a task's %g CPUs, %g GPUs and %g GB", spec.Demand.CPU, spec.Demand.GPU, spec.Demand.MemGB), func(c Class) bool { return spec.Demand.Fits(c.Type.Capacity) })
	if len(spec.MachineTypes) > 0 {
		class("the job's breeds "+strings.Join(spec.MachineTypes, ", "), func(c Class) bool { return spec.AllowsType(c.Type.Name) })
	}
	if spec.Zone != "" {
		class("the job's field "+spec.Zone, func(c Class) bool { return c.Zone == spec.Zone })
	}
	if !spec.AllowSpot {
		class("the job's loaners: false", func(c Class) bool { return !c.Spot })
	}
	for _, k := range set.Affinities {
		if k.Weight != 0 || !k.ByZone {
			continue
		}
		it := condition{description: k.Clause.String(), antiAffinityJob: k.Job}
		if k.SameZone {
			it.affinityJob, it.antiAffinityJob = k.Job, ""
			if zones, ok := w.jobZones(k.Job); ok {
				it.allowedByClass = make([]bool, len(p.classes))
				for i, c := range p.classes {
					it.allowedByClass[i] = slices.Contains(zones, c.Zone)
				}
				it.description += fmt.Sprintf(", which may only be in %s", strings.Join(zones, ", "))
			}
		}
		p.conditions = append(p.conditions, it)
	}
	for _, m := range set.TaskLimits {
		if m.PerZone && m.Count < p.concurrentTasks {
			p.conditions = append(p.conditions, condition{description: m.Clause.String(), maxPerZone: m.Count})
		}
	}
	if spec.Spread && spec.MaxTasksPerZone() < p.concurrentTasks {
		p.conditions = append(p.conditions, condition{description: "the job's scatter", maxPerZone: spec.MaxTasksPerZone()})
	}
	if spec.SingleZone && p.concurrentTasks > 1 {
		p.conditions = append(p.conditions, condition{description: "the job's oneZone", oneZone: true})
	}
	return p
}

// feasible tells whether some of the conditions, by their bits, can hold together.
func (p *problem) feasible(some uint64) bool {
	most, one := p.concurrentTasks, false
	near, far := map[string]bool{}, map[string]bool{}
	for m := some; m != 0; m &= m - 1 {
		it := &p.conditions[bits.TrailingZeros64(m)]
		if it.maxPerZone > 0 {
			most = min(most, it.maxPerZone)
		}
		one = one || it.oneZone
		if it.affinityJob != "" {
			near[it.affinityJob] = true
		}
		if it.antiAffinityJob != "" {
			far[it.antiAffinityJob] = true
		}
	}
	for job := range near {
		if far[job] {
			return false
		}
	}
	zones := map[string]bool{}
	for i, c := range p.classes {
		if zones[c.Zone] {
			continue
		}
		ok := true
		for m := some; m != 0 && ok; m &= m - 1 {
			it := &p.conditions[bits.TrailingZeros64(m)]
			ok = it.allowedByClass == nil || it.allowedByClass[i]
		}
		if ok {
			zones[c.Zone] = true
		}
	}
	room := len(zones) * most
	if one {
		room = min(room, most)
	}
	return len(zones) > 0 && room >= p.concurrentTasks
}

// Check tells whether a job with these rules can run at all on the machines that can be
// rented; where not, the error is a *Contradiction. It decides exactly, in a time that
// the bounds of a text bound.
func Check(set *Set, spec *model.Spec, w Environment) error {
	p := newProblem(set, spec, w)
	all := uint64(1)<<len(p.conditions) - 1
	if p.feasible(all) {
		return nil
	}
	core, smallest := p.smallestConflict(all)
	c := &Contradiction{Smallest: smallest}
	for m := core; m != 0; m &= m - 1 {
		it := &p.conditions[bits.TrailingZeros64(m)]
		c.Clauses = append(c.Clauses, it.description)
		if it.maxPerZone > 0 || it.oneZone {
			c.ConcurrentTasks = p.concurrentTasks
		}
	}
	return c
}

// The bounds of the search for the smallest set.
const (
	maxRounds = 200
	maxSteps  = 20_000
)

// smallestConflict finds the smallest infeasible part of an infeasible whole. A set that hits
// the complement of every feasible set that is as large as it can be is infeasible, and
// the other way round; so it looks for the smallest set that hits those found so far,
// and takes in another one while that is feasible. Beyond the bound on its rounds it
// falls back on a set of which nothing can be left out.
func (p *problem) smallestConflict(all uint64) (core uint64, exact bool) {
	var hit []uint64
	for round, steps := 0, maxSteps; round < maxRounds && steps > 0; round++ {
		core = smallestHittingSet(hit, all, &steps)
		if steps <= 0 {
			break
		}
		if !p.feasible(core) {
			return core, true
		}
		for m := all &^ core; m != 0; m &= m - 1 {
			if b := m & -m; p.feasible(core | b) {
				core |= b
			}
		}
		hit = append(hit, all&^core)
	}
	core = all
	for m := all; m != 0; m &= m - 1 {
		if b := m & -m; !p.feasible(core &^ b) {
			core &^= b
		}
	}
	return core, false
}

// smallestHittingSet is the smallest set that has something of each of the sets.
// Each step is taken off steps; without any left there is no answer.
func smallestHittingSet(sets []uint64, all uint64, steps *int) uint64 {
	for size := 0; ; size++ {
		if got, ok := hittingSet(sets, 0, size, steps); ok || *steps <= 0 || size > bits.OnesCount64(all) {
			return got
		}
	}
}

func hittingSet(sets []uint64, chosen uint64, left int, steps *int) (uint64, bool) {
	if *steps--; *steps <= 0 {
		return 0, false
	}
	open, least := uint64(0), 65
	for _, s := range sets {
		if n := bits.OnesCount64(s); s&chosen == 0 && n < least {
			open, least = s, n
		}
	}
	if least == 65 {
		return chosen, true
	}
	if left == 0 {
		return 0, false
	}
	for m := open; m != 0; m &= m - 1 {
		if got, ok := hittingSet(sets, chosen|m&-m, left-1, steps); ok {
			return got, true
		}
	}
	return 0, false
}
