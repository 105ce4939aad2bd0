package model

import (
	"fmt"
	"math"
)

// Bound is the most of one amount that may be in use, or none: its zero value bounds
// nothing. Guards against an absent limit that is read as one of nothing at all, as a
// number for both made of it (docs/incidents/exams-limits.md).
type Bound struct {
	max     float64
	limited bool
}

// AtMost bounds an amount. Settings say 0 where they mean no bound.
func AtMost(amount float64) Bound { return Bound{amount, amount > 0} }

// Max is the bound; !ok: there is none.
func (b Bound) Max() (most float64, ok bool) { return b.max, b.limited }

// Allows tells whether as much may be in use.
func (b Bound) Allows(amount float64) bool { return !b.limited || amount <= b.max+roundingTolerance }

// Remaining is what may be used on top of what is in use: below zero where that is beyond the
// bound already, infinite without one.
func (b Bound) Remaining(used float64) float64 {
	if !b.limited {
		return math.Inf(1)
	}
	return b.max - used
}

// ExceedsFraction tells whether more than a part of what is allowed is in use.
func (b Bound) ExceedsFraction(used, part float64) bool { return b.limited && used > part*b.max }

func (b Bound) String() string {
	if !b.limited {
		return "no limit"
	}
	return fmt.Sprintf("%g", b.max)
}

// Quota is what a team's tasks may use at once, each amount for itself; the zero value
// limits nothing. Memory is never limited.
type Quota struct{ CPU, GPU Bound }

// NewQuota makes a limit of amounts as settings give them: 0 where there is none.
func NewQuota(cpus, gpus float64) Quota { return Quota{AtMost(cpus), AtMost(gpus)} }

// Allows tells whether an amount stays within the limit.
func (l Quota) Allows(amount Resources) bool {
	return l.CPU.Allows(amount.CPU) && l.GPU.Allows(amount.GPU)
}

// Limited tells whether any amount is limited.
func (l Quota) Limited() bool { return l.CPU.limited || l.GPU.limited }

// Remaining is what may be used on top of what is in use. It may be infinite, or below zero.
func (l Quota) Remaining(used Resources) Resources {
	return Resources{l.CPU.Remaining(used.CPU), l.GPU.Remaining(used.GPU), math.Inf(1)}
}

// ExceedsFraction tells whether more than a part of any amount that is allowed is in use.
func (l Quota) ExceedsFraction(used Resources, part float64) bool {
	return l.CPU.ExceedsFraction(used.CPU, part) || l.GPU.ExceedsFraction(used.GPU, part)
}

// FormatUsage says how much of what is allowed is in use, for people; nothing of GPUs that are neither
// limited nor used.
func (l Quota) FormatUsage(used Resources) string {
	text := fmt.Sprintf("%g of %s CPUs", used.CPU, l.CPU)
	if l.GPU.limited || used.GPU > 0 {
		text += fmt.Sprintf(" and %g of %s GPUs", used.GPU, l.GPU)
	}
	return text
}

// Team is one tenant with what it is guaranteed and what it may use.
type Team struct {
	Name      string
	Guarantee Resources // MemGB is unused; 0: none of that amount
	Quota     Quota
}

// WithinGuarantee tells whether an amount is covered by what the team is guaranteed. Nothing is
// where it is guaranteed nothing.
func (t *Team) WithinGuarantee(amount Resources) bool {
	g := t.Guarantee
	return (g.CPU > 0 || g.GPU > 0) && amount.CPU <= g.CPU+roundingTolerance && amount.GPU <= g.GPU+roundingTolerance
}
