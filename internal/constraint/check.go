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
	Clauses  []string // the smallest set that cannot hold together
	Smallest bool     // no smaller set does; else none that leaves one of these out does
	Together int      // tasks that run at the same time, where the clauses are about that; else 0
}

func (c *Contradiction) Error() string {
	if c.Together > 0 {
		return fmt.Sprintf("rules: %d tasks run at the same time, and so many cannot under %s", c.Together, strings.Join(c.Clauses, "; "))
	}
	if len(c.Clauses) == 1 {
		return "rules: no machine that can be rented meets " + c.Clauses[0]
	}
	return "rules: these exclude each other: " + strings.Join(c.Clauses, "; ")
}

// World is what rules are judged in.
type World struct {
	Types []model.MachineType
	// Zones tells in which zones another job's tasks may be; ok is false for a job that
	// nothing keeps to any. nil: nothing is known of other jobs.
	Zones func(job string) (zones []string, ok bool)
}

func (w World) zones(job string) ([]string, bool) {
	if w.Zones == nil {
		return nil, false
	}
	return w.Zones(job)
}

// Takes tells whether a job's own fields, its rules aside, allow it a class of machines.
func Takes(spec *model.Spec, c Class) bool {
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

// ZonesOf lists the zones in which an unfinished job's tasks may be, in order.
func ZonesOf(spec *model.Spec, types []model.MachineType) []string {
	set, err := Parse(spec.Rules)
	if err != nil {
		set = &Set{}
	}
	zones := []string{}
	for _, c := range Classes(types) {
		if _, ok := set.Allows(c); ok && Takes(spec, c) && !slices.Contains(zones, c.Zone) {
			zones = append(zones, c.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// item is one condition of a job: a clause of its rules or another of its fields.
type item struct {
	what   string
	allows []bool // by class; nil: it says something else
	most   int    // tasks in a zone; 0: says nothing
	one    bool   // all tasks in one zone
	near   string // in the zones of this job
	far    string // not in the zones of this job
}

// problem is a job's conditions over the classes of machines.
type problem struct {
	classes []Class
	items   []item
	gather  int // tasks that run at the same time: all of them, but of an array one
}

// describe gathers the conditions of a job.
func describe(set *Set, spec *model.Spec, w World) *problem {
	p := &problem{classes: Classes(w.Types), gather: 1}
	if spec.Shape != model.Array {
		p.gather = spec.Tasks
	}
	class := func(what string, holds func(c Class) bool) {
		allows := make([]bool, len(p.classes))
		all := true
		for i, c := range p.classes {
			allows[i] = holds(c)
			all = all && allows[i]
		}
		if !all { // what allows everything excludes nothing
			p.items = append(p.items, item{what: what, allows: allows})
		}
	}
	for i := range set.Hard {
		c := &set.Hard[i]
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
	for _, k := range set.Kin {
		if k.Weight != 0 || !k.Zone {
			continue
		}
		it := item{what: k.Clause.String(), far: k.Job}
		if k.Same {
			it.near, it.far = k.Job, ""
			if zones, ok := w.zones(k.Job); ok {
				it.allows = make([]bool, len(p.classes))
				for i, c := range p.classes {
					it.allows[i] = slices.Contains(zones, c.Zone)
				}
				it.what += fmt.Sprintf(", which may only be in %s", strings.Join(zones, ", "))
			}
		}
		p.items = append(p.items, it)
	}
	for _, m := range set.Most {
		if m.Zone && m.Count < p.gather {
			p.items = append(p.items, item{what: m.Clause.String(), most: m.Count})
		}
	}
	if spec.Spread && spec.MaxTasksPerZone() < p.gather {
		p.items = append(p.items, item{what: "the job's scatter", most: spec.MaxTasksPerZone()})
	}
	if spec.SingleZone && p.gather > 1 {
		p.items = append(p.items, item{what: "the job's oneZone", one: true})
	}
	return p
}

// feasible tells whether some of the conditions, by their bits, can hold together.
func (p *problem) feasible(some uint64) bool {
	most, one := p.gather, false
	near, far := map[string]bool{}, map[string]bool{}
	for m := some; m != 0; m &= m - 1 {
		it := &p.items[bits.TrailingZeros64(m)]
		if it.most > 0 {
			most = min(most, it.most)
		}
		one = one || it.one
		if it.near != "" {
			near[it.near] = true
		}
		if it.far != "" {
			far[it.far] = true
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
			it := &p.items[bits.TrailingZeros64(m)]
			ok = it.allows == nil || it.allows[i]
		}
		if ok {
			zones[c.Zone] = true
		}
	}
	room := len(zones) * most
	if one {
		room = min(room, most)
	}
	return len(zones) > 0 && room >= p.gather
}

// Check tells whether a job with these rules can run at all on the machines that can be
// rented; where not, the error is a *Contradiction. It decides exactly, in a time that
// the bounds of a text bound.
func Check(set *Set, spec *model.Spec, w World) error {
	p := describe(set, spec, w)
	all := uint64(1)<<len(p.items) - 1
	if p.feasible(all) {
		return nil
	}
	core, smallest := p.smallest(all)
	c := &Contradiction{Smallest: smallest}
	for m := core; m != 0; m &= m - 1 {
		it := &p.items[bits.TrailingZeros64(m)]
		c.Clauses = append(c.Clauses, it.what)
		if it.most > 0 || it.one {
			c.Together = p.gather
		}
	}
	return c
}

// The bounds of the search for the smallest set.
const (
	maxRounds = 200
	maxSteps  = 20_000
)

// smallest finds the smallest infeasible part of an infeasible whole. A set that hits
// the complement of every feasible set that is as large as it can be is infeasible, and
// the other way round; so it looks for the smallest set that hits those found so far,
// and takes in another one while that is feasible. Beyond the bound on its rounds it
// falls back on a set of which nothing can be left out.
func (p *problem) smallest(all uint64) (core uint64, exact bool) {
	var hit []uint64
	for round, steps := 0, maxSteps; round < maxRounds && steps > 0; round++ {
		core = smallestHitting(hit, all, &steps)
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

// smallestHitting is the smallest set that has something of each of the sets.
// Each step is taken off steps; without any left there is no answer.
func smallestHitting(sets []uint64, all uint64, steps *int) uint64 {
	for size := 0; ; size++ {
		if got, ok := hitting(sets, 0, size, steps); ok || *steps <= 0 || size > bits.OnesCount64(all) {
			return got
		}
	}
}

func hitting(sets []uint64, chosen uint64, left int, steps *int) (uint64, bool) {
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
		if got, ok := hitting(sets, chosen|m&-m, left-1, steps); ok {
			return got, true
		}
	}
	return 0, false
}
