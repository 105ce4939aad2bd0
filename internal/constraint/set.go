package constraint

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/glentiller/glentiller/internal/model"
)

// Set holds the parsed clauses of a constraint text. The zero value is a set without clauses.
type Set struct {
	Text        string       // the constraint text
	Required    []Clause     // expressions that have to hold
	Preferences []Preference // expressions that are preferred to hold
	Affinities  []Affinity   // affinities and anti-affinities to other jobs, required or preferred
	TaskLimits  []TaskLimit  // limits on the job's own tasks
}

// Clause is one clause of a constraint text.
type Clause struct {
	Text         string  // source text, with each run of white space replaced by one space
	Line, Column int     // position in the constraint text, counted from 1
	expr         *either // nil if the clause is an affinity or a task limit
}

func (c *Clause) String() string { return fmt.Sprintf("`%s` (line %d)", c.Text, c.Line) }

// Preference is an expression that is preferred to hold.
type Preference struct {
	Clause
	Weight float64 // hundredths that are added to the efficiency of machines for which the expression holds
}

// Affinity places a job relative to another job: in the same zones as the other job (affinity), or away from its
// zones or its machines (anti-affinity).
type Affinity struct {
	Clause
	JobID    string // ID of the other job
	SameZone bool   // true for an affinity, false for an anti-affinity
	ByZone   bool   // true if the zones of the other job count, false if its machines do; always true for an affinity

	// Weight is 0 if the affinity or anti-affinity is required. Otherwise it is the preference in hundredths of
	// efficiency: an affinity adds it to the efficiency of machines in the other job's zones, and an anti-affinity
	// subtracts it from the efficiency of machines in its zones or among its machines.
	Weight float64
}

// TaskLimit limits how many of the job's own tasks run on one machine or in one zone.
type TaskLimit struct {
	Clause
	Count   int  // maximum number of tasks
	PerZone bool // true for a limit per zone, false for a limit per machine
}

// MachineClass is a kind of machine in a zone. Expressions are evaluated once per class rather than per machine.
type MachineClass struct {
	Type *model.MachineType
	Zone string
	Spot bool
}

func (c MachineClass) String() string {
	kind := "ordinary"
	if c.Spot {
		kind = "spot"
	}
	return fmt.Sprintf("%s in %s, %s", c.Type.Name, c.Zone, kind)
}

// Price returns the price per hour of a machine of the class.
func (c MachineClass) Price() float64 {
	if c.Spot {
		return c.Type.SpotPricePerHour
	}
	return c.Type.PricePerHour
}

// MachineClasses returns the classes of machines that can be provisioned: for each type and each of its zones an
// on-demand and a spot class. The classes point into types.
func MachineClasses(types []model.MachineType) []MachineClass {
	var classes []MachineClass
	for i := range types {
		for _, zone := range types[i].Zones {
			classes = append(
				classes,
				MachineClass{Type: &types[i], Zone: zone, Spot: false},
				MachineClass{Type: &types[i], Zone: zone, Spot: true},
			)
		}
	}
	return classes
}

// Allows reports whether all required expressions hold for a class of machines. If not, violated is the first one
// that does not hold, and otherwise it is nil. Whether a machine holds the job's image does not matter, since
// required expressions cannot test for it.
func (s *Set) Allows(class MachineClass) (violated *Clause, ok bool) {
	for i := range s.Required {
		if !s.Required[i].expr.holds(class, false) {
			return &s.Required[i], false
		}
	}
	return nil, true
}

// PreferenceWeight returns the sum of the weights of all preferences that hold for a machine of a class, in
// hundredths of efficiency. hasImage is whether the machine holds the job's image. Preferred affinities are not
// included.
func (s *Set) PreferenceWeight(class MachineClass, hasImage bool) (sum float64) {
	for i := range s.Preferences {
		if s.Preferences[i].expr.holds(class, hasImage) {
			sum += s.Preferences[i].Weight
		}
	}
	return sum
}

// MaxPerMachine returns the smallest limit on the job's tasks on one machine, or 0 if there is none.
func (s *Set) MaxPerMachine() int { return s.minTaskLimit(false) }

// MaxPerZone returns the smallest limit on the job's tasks in one zone, or 0 if there is none.
func (s *Set) MaxPerZone() int { return s.minTaskLimit(true) }

func (s *Set) minTaskLimit(perZone bool) (smallest int) {
	for _, limit := range s.TaskLimits {
		if limit.PerZone == perZone && (smallest == 0 || limit.Count < smallest) {
			smallest = limit.Count
		}
	}
	return smallest
}

// ClauseTexts returns the texts of all clauses in the order of the constraint text.
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
