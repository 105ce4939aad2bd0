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

// Wish is a clause that is wished for, with its weight: hundredths of efficiency.
type Wish struct {
	Clause
	Weight float64
}

// Kin ties the job to another one: to its zones, or away from its zones or machines.
type Kin struct {
	Clause
	Job    string
	Same   bool
	Zone   bool    // its zones; else its machines
	Weight float64 // 0: required
}

// Most bounds the job's own tasks on one machine or in one zone.
type Most struct {
	Clause
	Count int
	Zone  bool
}

// Set is what a text says.
type Set struct {
	Text   string
	Hard   []Clause
	Wishes []Wish
	Kin    []Kin
	Most   []Most
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
	for i := range s.Hard {
		if !s.Hard[i].expr.holds(c, false) {
			return &s.Hard[i], false
		}
	}
	return nil, true
}

// Wish sums the weights of the wishes that hold on a class of machines, where the image
// is there or not.
func (s *Set) Wish(c Class, image bool) (sum float64) {
	for i := range s.Wishes {
		if s.Wishes[i].expr.holds(c, image) {
			sum += s.Wishes[i].Weight
		}
	}
	return sum
}

// PerMachine and PerZone are the smallest bounds on the job's own tasks; 0: there is none.
func (s *Set) PerMachine() int { return s.most(false) }

// PerZone is the smallest bound on the job's tasks in a zone; 0: there is none.
func (s *Set) PerZone() int { return s.most(true) }

func (s *Set) most(zone bool) (least int) {
	for _, m := range s.Most {
		if m.Zone == zone && (least == 0 || m.Count < least) {
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
		return have < want-slop
	case "<=":
		return have <= want+slop
	case ">":
		return have > want+slop
	}
	return have >= want-slop
}

// slop absorbs the rounding of decimal amounts.
const slop = 1e-9

func (p *compare) equal(c Class, v *value) bool {
	switch p.Attr {
	case "type":
		return c.Type.Name == *v.Text
	case "zone":
		return c.Zone == *v.Text
	}
	d := p.number(c) - *v.Number
	return d < slop && d > -slop
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

// Lines lists the clauses as they were written, in their order.
func (s *Set) Lines() []string {
	var all []*Clause
	for i := range s.Hard {
		all = append(all, &s.Hard[i])
	}
	for i := range s.Wishes {
		all = append(all, &s.Wishes[i].Clause)
	}
	for i := range s.Kin {
		all = append(all, &s.Kin[i].Clause)
	}
	for i := range s.Most {
		all = append(all, &s.Most[i].Clause)
	}
	slices.SortFunc(all, func(a, b *Clause) int { return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column)) })
	var out []string
	for _, c := range all {
		out = append(out, c.Text)
	}
	return out
}
