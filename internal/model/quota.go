package model

import (
	"fmt"
	"math"
)

// Bound is an upper bound of one amount in use, or none: the zero value does not
// bound anything. It is a type of its own so that an absent quota can't be
// mistaken for a quota of zero (docs/incidents/exams-limits.md).
type Bound struct {
	max     float64
	limited bool
}

// AtMost returns a bound of an amount. Settings say 0 where they mean no bound.
func AtMost(amount float64) Bound { return Bound{max: amount, limited: amount > 0} }

// Max returns the bound; ok is false where there is none.
func (b Bound) Max() (amount float64, ok bool) { return b.max, b.limited }

// Allows reports whether the amount may be in use.
func (b Bound) Allows(amount float64) bool { return !b.limited || amount <= b.max+roundingTolerance }

// Remaining returns how much more may be used: below zero where the amount used
// exceeds the bound, infinite where there is none.
func (b Bound) Remaining(used float64) float64 {
	if !b.limited {
		return math.Inf(1)
	}
	return b.max - used
}

// ExceedsFraction reports whether more than a fraction of the bound is in use.
func (b Bound) ExceedsFraction(used, fraction float64) bool {
	return b.limited && used > fraction*b.max
}

// String returns the bound as text for people.
func (b Bound) String() string {
	if !b.limited {
		return "no limit"
	}
	return fmt.Sprintf("%g", b.max)
}

// Quota bounds what a team's tasks may use at once, each resource by itself; the
// zero value does not limit anything. Memory is never limited.
type Quota struct{ CPU, GPU Bound }

// NewQuota returns a quota of amounts as settings give them: 0 where there is none.
func NewQuota(cpus, gpus float64) Quota { return Quota{AtMost(cpus), AtMost(gpus)} }

// Allows reports whether the resources stay within the quota.
func (q Quota) Allows(amount Resources) bool {
	return q.CPU.Allows(amount.CPU) && q.GPU.Allows(amount.GPU)
}

// Limited reports whether any resource is limited.
func (q Quota) Limited() bool { return q.CPU.limited || q.GPU.limited }

// Remaining returns how much more may be used. Amounts may be infinite, or below
// zero.
func (q Quota) Remaining(used Resources) Resources {
	return Resources{q.CPU.Remaining(used.CPU), q.GPU.Remaining(used.GPU), math.Inf(1)}
}

// ExceedsFraction reports whether more than a fraction of any limited resource is
// in use.
func (q Quota) ExceedsFraction(used Resources, fraction float64) bool {
	return q.CPU.ExceedsFraction(used.CPU, fraction) || q.GPU.ExceedsFraction(used.GPU, fraction)
}

// FormatUsage describes the use of the quota to people. It leaves GPUs out where
// they are neither limited nor used.
func (q Quota) FormatUsage(used Resources) string {
	text := fmt.Sprintf("%g of %s CPUs", used.CPU, q.CPU)
	if q.GPU.limited || used.GPU > 0 {
		text += fmt.Sprintf(" and %g of %s GPUs", used.GPU, q.GPU)
	}
	return text
}

// Team is one tenant with its guarantee and its quota.
type Team struct {
	Name      string
	Guarantee Resources // MemGB is unused; 0: none of that resource
	Quota     Quota
}

// WithinGuarantee reports whether the team's guarantee covers the resources. A
// team without any guarantee has nothing covered.
func (t *Team) WithinGuarantee(amount Resources) bool {
	g := t.Guarantee
	return (g.CPU > 0 || g.GPU > 0) &&
		amount.CPU <= g.CPU+roundingTolerance &&
		amount.GPU <= g.GPU+roundingTolerance
}
