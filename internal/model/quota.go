package model

import (
	"fmt"
	"math"
)

// Bound is an optional upper bound on the amount of a resource in use. The zero value means that there is no bound. A
// bound is not a plain number, so that a missing quota cannot be mistaken for a quota of zero
// (docs/incidents/exams-limits.md).
type Bound struct {
	max     float64
	limited bool
}

// NewBound returns a bound for an amount from the settings. An amount of 0 or less means that there is no bound.
func NewBound(amount float64) Bound { return Bound{max: amount, limited: amount > 0} }

// Max returns the bound. ok is false if there is none.
func (b Bound) Max() (amount float64, ok bool) { return b.max, b.limited }

// Allows reports whether the amount is within the bound.
func (b Bound) Allows(amount float64) bool { return !b.limited || amount <= b.max+roundingTolerance }

// Remaining returns the amount that may be used in addition to used. It is negative if used exceeds the bound, and
// infinite if there is no bound.
func (b Bound) Remaining(used float64) float64 {
	if !b.limited {
		return math.Inf(1)
	}
	return b.max - used
}

// ExceedsFraction reports whether used is more than the given fraction of the bound. It is false if there is no
// bound.
func (b Bound) ExceedsFraction(used, fraction float64) bool {
	return b.limited && used > fraction*b.max
}

// String returns the bound as text for users, "no limit" if there is none.
func (b Bound) String() string {
	if !b.limited {
		return "no limit"
	}
	return fmt.Sprintf("%g", b.max)
}

// Quota bounds the resources that a team's tasks may use at the same time. CPUs and GPUs are bounded independently,
// and memory is not bounded. The zero value does not limit anything.
type Quota struct{ CPU, GPU Bound }

// NewQuota returns a quota for amounts from the settings. An amount of 0 or less means that there is no bound.
func NewQuota(cpus, gpus float64) Quota { return Quota{NewBound(cpus), NewBound(gpus)} }

// Allows reports whether the amount of each resource is within its bound.
func (q Quota) Allows(amount Resources) bool {
	return q.CPU.Allows(amount.CPU) && q.GPU.Allows(amount.GPU)
}

// Limited reports whether any resource is bounded.
func (q Quota) Limited() bool { return q.CPU.limited || q.GPU.limited }

// Remaining returns the resources that may be used in addition to used. An amount is negative if used exceeds the
// bound, and infinite if there is no bound.
func (q Quota) Remaining(used Resources) Resources {
	return Resources{q.CPU.Remaining(used.CPU), q.GPU.Remaining(used.GPU), math.Inf(1)}
}

// ExceedsFraction reports whether used is more than the given fraction of any bound.
func (q Quota) ExceedsFraction(used Resources, fraction float64) bool {
	return q.CPU.ExceedsFraction(used.CPU, fraction) || q.GPU.ExceedsFraction(used.GPU, fraction)
}

// FormatUsage returns a description of the usage of the quota for users. It omits GPUs if they are neither bounded
// nor used.
func (q Quota) FormatUsage(used Resources) string {
	text := fmt.Sprintf("%g of %s CPUs", used.CPU, q.CPU)
	if q.GPU.limited || used.GPU > 0 {
		text += fmt.Sprintf(" and %g of %s GPUs", used.GPU, q.GPU)
	}
	return text
}

// Team is a tenant of the cluster.
type Team struct {
	Name string
	// Guarantee is the amount of CPUs and GPUs that is guaranteed to the team. Work within the guarantee of its team
	// is served before work beyond guarantees. An amount of 0 means that there is no guarantee for that resource.
	// MemGB is not used.
	Guarantee Resources
	Quota     Quota
}

// WithinGuarantee reports whether the team's guarantee covers the CPUs and GPUs of amount. It is false if the team
// has no guarantee at all.
func (t *Team) WithinGuarantee(amount Resources) bool {
	guarantee := t.Guarantee
	return (guarantee.CPU > 0 || guarantee.GPU > 0) &&
		amount.CPU <= guarantee.CPU+roundingTolerance &&
		amount.GPU <= guarantee.GPU+roundingTolerance
}
