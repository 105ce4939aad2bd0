package constraint

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/glentiller/glentiller/internal/model"
)

// Clause is one clause of a text.
type Clause struct {
	Text         string
	Line, Column int
	expr         *either
}

func (c *Clause) String() string { return fmt.Sprintf("`%s` (line %d)", c.Text, c.Line) }

// Preference is a clause that is wished for, with its weight: hundredths of efficiency.
type Preference struct {
	Clause
	Weight float64
}

// Affinity ties the job to another one: to its zones, or away from its zones or machines.
type Affinity struct {
	Clause
	Job      string
	SameZone bool
	ByZone   bool    // its zones; else its machines
	Weight   float64 // 0: required
}

// TaskLimit bounds the job's own tasks on one machine or in one zone.
type TaskLimit struct {
	Clause
	Count   int
	PerZone bool
}

// Set is what a text says.
type Set struct {
	Text        string
	Required    []Clause
	Preferences []Preference
	Affinities  []Affinity
	TaskLimits  []TaskLimit
}

// Class is a kind of machine in a zone: what rules speak of, besides other work.
type Class struct {
	Type *model.MachineType
	Zone string
	Spot bool
}

func (c Class) String() string {
	kind := "ordinary"
	if c.Spot {
		kind = "spot"
	}
	return fmt.Sprintf("%s in %s, %s", c.Type.Name, c.Zone, kind)
}

// Price is what a machine of the class costs an hour.
func (c Class) Price() float64 {
	if c.Spot {
		return c.Type.SpotPricePerHour
	}
	return c.Type.PricePerHour
}

// Allows tells whether all required clauses hold on a class of machines. The first one
// that does not is returned.
func (s *Set) Allows(c Class) (by *Clause, ok bool) {
	for i := range s.Required {
		if !s.Required[i].expr.holds(c, false) {
			return &s.Required[i], false
		}
	}
	return nil, true
}

// PreferenceWeight sums the weights of the wishes that hold on a class of machines, where the image
// is there or not.
func (s *Set) PreferenceWeight(c Class, image bool) (sum float64) {
	for i := range s.Preferences {
		if s.Preferences[i].expr.holds(c, image) {
			sum += s.Preferences[i].Weight
		}
	}
	return sum
}

// MaxPerMachine and PerZone are the smallest bounds on the job's own tasks; 0: there is none.
func (s *Set) MaxPerMachine() int { return s.minTaskLimit(false) }

// MaxPerZone is the smallest bound on the job's tasks in a zone; 0: there is none.
func (s *Set) MaxPerZone() int { return s.minTaskLimit(true) }

func (s *Set) minTaskLimit(zone bool) (least int) {
	for _, m := range s.TaskLimits {
		if m.PerZone == zone && (least == 0 || m.Count < least) {
			least = m.Count
		}
	}
	return least
}

func (e *either) holds(c Class, image bool) bool {
	for _, b := range e.Any {
		if b.holds(c, image) {
			return true
		}
	}
	return false
}

func (b *both) holds(c Class, image bool) bool {
	for _, t := range b.All {
		if !t.holds(c, image) {
			return false
		}
	}
	return true
}

func (t *term) holds(c Class, image bool) bool {
	switch {
	case t.Not != nil:
		return !t.Not.holds(c, image)
	case t.Group != nil:
		return t.Group.holds(c, image)
	case t.Spot:
		return c.Spot
	case t.Image:
		return image
	}
	return t.Compare.holds(c)
}

func (p *compare) holds(c Class) bool {
	if p.Value == nil {
		for _, v := range p.In {
			if p.equal(c, v) {
				return !p.NotIn
			}
		}
		return p.NotIn
	}
	switch p.Op {
	case "=":
		return p.equal(c, p.Value)
	case "!=":
		return !p.equal(c, p.Value)
	}
	have, want := p.number(c), *p.Value.Number
	switch p.Op {
	case "<":
		return have < want-tolerance
	case "<=":
		return have <= want+tolerance
	case ">":
		return have > want+tolerance
	}
	return have >= want-tolerance
}

// tolerance absorbs the rounding of decimal amounts.
const tolerance = 1e-9

func (p *compare) equal(c Class, v *value) bool {
	switch p.Attr {
	case "type":
		return c.Type.Name == *v.Text
	case "zone":
		return c.Zone == *v.Text
	}
	d := p.number(c) - *v.Number
	return d < tolerance && d > -tolerance
}

// number is an attribute of a class: CPUs, GPUs, GB, GB a second, or a price an hour.
func (p *compare) number(c Class) float64 {
	switch p.Attr {
	case "cpus":
		return c.Type.Capacity.CPU
	case "gpus":
		return c.Type.Capacity.GPU
	case "memory":
		return c.Type.Capacity.MemGB
	case "disk":
		return c.Type.CacheGB
	case "fetch":
		return c.Type.FetchGBPerS
	}
	return c.Price()
}

// ClauseTexts lists the clauses as they were written, in their order.
func (s *Set) ClauseTexts() []string {
	var all []*Clause
	for i := range s.Required {
		all = append(all, &s.Required[i])
	}
	for i := range s.Preferences {
		all = append(all, &s.Preferences[i].Clause)
	}
	for i := range s.Affinities {
		all = append(all, &s.Affinities[i].Clause)
	}
	for i := range s.TaskLimits {
		all = append(all, &s.TaskLimits[i].Clause)
	}
	slices.SortFunc(all, func(a, b *Clause) int { return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column)) })
	var out []string
	for _, c := range all {
		out = append(out, c.Text)
	}
	return out
}
