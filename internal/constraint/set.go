package constraint

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/glentiller/glentiller/internal/model"
)

// Set is what a text says.
type Set struct {
	Text        string
	Required    []Clause // expressions that have to hold
	Preferences []Preference
	Affinities  []Affinity // required or preferred
	TaskLimits  []TaskLimit
}

// Clause is one clause of a text.
type Clause struct {
	Text         string
	Line, Column int
	expr         *either // nil: it is no expression
}

func (c *Clause) String() string { return fmt.Sprintf("`%s` (line %d)", c.Text, c.Line) }

// Preference is an expression that is preferred to hold. Its weight is in hundredths of efficiency.
type Preference struct {
	Clause
	Weight float64
}

// Affinity ties the job to another one: to its zones, or away from its zones or machines.
type Affinity struct {
	Clause
	Job      string
	SameZone bool    // to the other job's zones; else away
	ByZone   bool    // from its zones; else from its machines
	Weight   float64 // 0: it is required
}

// TaskLimit bounds the job's own tasks on one machine or in one zone.
type TaskLimit struct {
	Clause
	Count   int
	PerZone bool // else per machine
}

// Class is a kind of machine in a zone. Expressions are evaluated for classes.
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

// Price is the price of a machine of the class for an hour.
func (c Class) Price() float64 {
	if c.Spot {
		return c.Type.SpotPricePerHour
	}
	return c.Type.PricePerHour
}

// Classes lists the classes of machines that can be provisioned.
func Classes(types []model.MachineType) []Class {
	var classes []Class
	for i := range types {
		for _, zone := range types[i].Zones {
			classes = append(
				classes,
				Class{Type: &types[i], Zone: zone, Spot: false},
				Class{Type: &types[i], Zone: zone, Spot: true},
			)
		}
	}
	return classes
}

// Allows reports whether all required expressions hold on a class of machines, and returns the first one that does not.
func (s *Set) Allows(class Class) (violated *Clause, ok bool) {
	for i := range s.Required {
		if !s.Required[i].expr.holds(class, false) {
			return &s.Required[i], false
		}
	}
	return nil, true
}

// PreferenceWeight sums the weights of the preferences that hold on a class of machines, with or without the image.
func (s *Set) PreferenceWeight(class Class, hasImage bool) (sum float64) {
	for i := range s.Preferences {
		if s.Preferences[i].expr.holds(class, hasImage) {
			sum += s.Preferences[i].Weight
		}
	}
	return sum
}

// MaxPerMachine is the smallest bound on the job's tasks on a machine; 0: there is none.
func (s *Set) MaxPerMachine() int { return s.minTaskLimit(false) }

// MaxPerZone is the smallest bound on the job's tasks in a zone; 0: there is none.
func (s *Set) MaxPerZone() int { return s.minTaskLimit(true) }

func (s *Set) minTaskLimit(perZone bool) (least int) {
	for _, limit := range s.TaskLimits {
		if limit.PerZone == perZone && (least == 0 || limit.Count < least) {
			least = limit.Count
		}
	}
	return least
}

// ClauseTexts lists the clauses as they were written, in their order.
func (s *Set) ClauseTexts() []string {
	var clauses []*Clause
	for i := range s.Required {
		clauses = append(clauses, &s.Required[i])
	}
	for i := range s.Preferences {
		clauses = append(clauses, &s.Preferences[i].Clause)
	}
	for i := range s.Affinities {
		clauses = append(clauses, &s.Affinities[i].Clause)
	}
	for i := range s.TaskLimits {
		clauses = append(clauses, &s.TaskLimits[i].Clause)
	}
	slices.SortFunc(clauses, func(a, b *Clause) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	var texts []string
	for _, clause := range clauses {
		texts = append(texts, clause.Text)
	}
	return texts
}
