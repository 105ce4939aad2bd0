// Package ledger keeps who used what, and why who waited: amounts in integers, one
// account a team, pages that are chained by their hashes, and a share that forgets.
// It is pure: values in, records and decisions out; no input or output, no clock.
// docs/ledger.md tells what counts and why; docs/safety.md, "Ledger", why nothing is
// charged twice.
package ledger

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// WaitCause says why tasks wait.
type WaitCause uint8

// The causes of waiting, in the order in which records hold them. New ones go behind.
const (
	WaitQuota        WaitCause = iota // the team is at its limit
	WaitGuarantee                     // others' guarantees and production go first
	WaitCapacity                      // no machine that fits has room
	WaitFairShare                     // teams below their fair share go first
	WaitDependencies                  // other jobs have to be done first
	WaitBackoff                       // it failed, and is tried again later
	WaitFailover                      // a new leader does not know yet what runs where
	NumWaitCauses                     // how many there are
)

func (c WaitCause) String() string {
	return [...]string{"limit", "guarantee", "room", "share", "awaits", "backoff", "takeover", "causes"}[c]
}

// Usage is what was used and waited for. Sums of it are exact: it holds integers.
type Usage struct {
	CPU       uint64                // CPU-microseconds
	GPU       uint64                // GPU-microseconds
	Mem       uint64                // GB-microseconds
	Lost      uint64                // CPU-microseconds of attempts that neither completed nor saved
	Starts    uint64                // attempts that began to run
	TakenOver uint64                // attempts that a new leader found running: they began or ended unseen
	Wait      [NumWaitCauses]uint64 // task-milliseconds, by cause
}

// Add adds another amount.
func (u *Usage) Add(o Usage) {
	u.CPU += o.CPU
	u.GPU += o.GPU
	u.Mem += o.Mem
	u.Lost += o.Lost
	u.Starts += o.Starts
	u.TakenOver += o.TakenOver
	for i := range u.Wait {
		u.Wait[i] += o.Wait[i]
	}
}

// numbers lists the amounts in the order of the records.
func (u *Usage) numbers() []*uint64 {
	out := []*uint64{&u.CPU, &u.GPU, &u.Mem, &u.Lost, &u.Starts, &u.TakenOver}
	for i := range u.Wait {
		out = append(out, &u.Wait[i])
	}
	return out
}

// Numbers lists the amounts in the order of the records.
func (u Usage) Numbers() []uint64 {
	var out []uint64
	for _, n := range u.numbers() {
		out = append(out, *n)
	}
	return out
}

// FromNumbers reads amounts in the order of the records. What is missing is zero; what
// a later version has put behind is left out.
func FromNumbers(list []uint64) (u Usage) {
	for i, n := range u.numbers() {
		if i < len(list) {
			*n = list[i]
		}
	}
	return u
}

// Rate is what a task takes of its machine, in thousandths.
type Rate struct{ CPU, GPU, Mem uint64 }

// RateOf rounds a request to thousandths of a CPU, a GPU and a GB.
func RateOf(r model.Resources) Rate {
	milli := func(v float64) uint64 { return uint64(math.Round(max(v, 0) * 1000)) }
	return Rate{milli(r.CPU), milli(r.GPU), milli(r.MemGB)}
}

// Usage is what is used at the rate in some milliseconds: a thousandth of a CPU for a
// millisecond is a CPU-microsecond, so nothing is rounded here.
func (r Rate) Usage(ms uint64) Usage { return Usage{CPU: r.CPU * ms, GPU: r.GPU * ms, Mem: r.Mem * ms} }

// ClassUsage is what one class of jobs of a team used in the time of a page.
type ClassUsage struct {
	Class string
	Usage
}

// AddUsage adds an amount to the cell of a class; cells are in the order of their classes.
func AddUsage(cells []ClassUsage, class string, u Usage) []ClassUsage {
	i, ok := slices.BinarySearchFunc(cells, class, func(c ClassUsage, class string) int { return strings.Compare(c.Class, class) })
	if !ok {
		cells = slices.Insert(cells, i, ClassUsage{Class: class})
	}
	cells[i].Add(u)
	return cells
}

// Total is the sum of cells.
func Total(cells []ClassUsage) (u Usage) {
	for _, c := range cells {
		u.Add(c.Usage)
	}
	return u
}

// Interval is a time that no leader accounted for, as the time of day names it: from the
// last settlement of the leader before to the takeover of the next one that keeps a
// ledger.
type Interval struct {
	Start, End       time.Time
	FencingToken     uint64 // of the leader that took over
	UnsettledLeaders uint64 // leaderships in between that settled nothing: of versions without a ledger, or too short
}

// Weights say what counts towards a team's decayed use.
type Weights struct {
	GPU float64 // a GPU counts as this many CPUs
	Mem float64 // a GB counts as this many CPUs
}

// cost is an amount in CPU-microseconds by the weights.
func (w Weights) cost(u Usage) uint64 {
	return u.CPU + uint64(float64(u.GPU)*w.GPU) + uint64(float64(u.Mem)*w.Mem)
}

// decay is what is left of an amount after some time, which halves it in each half-life.
func decay(v uint64, after, half time.Duration) uint64 {
	if after <= 0 || half <= 0 || v == 0 {
		return v
	}
	return uint64(float64(v) * math.Exp2(-float64(after)/float64(half)))
}
