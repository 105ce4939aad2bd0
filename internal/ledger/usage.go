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

// The causes of waiting, in the order in which records hold them. New ones are appended.
const (
	WaitQuota        WaitCause = iota // the team's quota is used up
	WaitGuarantee                     // production and work within other teams' guarantees are served first
	WaitCapacity                      // no feasible machine has capacity
	WaitFairShare                     // teams further below their fair share are served first
	WaitDependencies                  // other jobs have to be done first
	WaitBackoff                       // a failed task is retried later
	WaitFailover                      // a new leader does not know yet what runs where
	NumWaitCauses                     // the number of causes
)

// waitCauseNames are the causes as users and operators read them.
var waitCauseNames = [...]string{
	WaitQuota:        "limit",
	WaitGuarantee:    "guarantee",
	WaitCapacity:     "room",
	WaitFairShare:    "share",
	WaitDependencies: "awaits",
	WaitBackoff:      "backoff",
	WaitFailover:     "takeover",
	NumWaitCauses:    "causes",
}

func (c WaitCause) String() string { return waitCauseNames[c] }

// Usage is what was used and waited for. It holds integers, so that sums are exact.
type Usage struct {
	CPU       uint64                // CPU-microseconds
	GPU       uint64                // GPU-microseconds
	Mem       uint64                // GB-microseconds
	Lost      uint64                // CPU-microseconds of attempts that neither completed nor saved a checkpoint
	Starts    uint64                // attempts that began to run
	TakenOver uint64                // attempts that a new leader found running: they began or ended unobserved
	Wait      [NumWaitCauses]uint64 // task-milliseconds, by cause
}

// Add adds another amount.
func (u *Usage) Add(other Usage) {
	u.CPU += other.CPU
	u.GPU += other.GPU
	u.Mem += other.Mem
	u.Lost += other.Lost
	u.Starts += other.Starts
	u.TakenOver += other.TakenOver
	for i := range u.Wait {
		u.Wait[i] += other.Wait[i]
	}
}

// fields lists the amounts in the order of the records.
func (u *Usage) fields() []*uint64 {
	fields := []*uint64{&u.CPU, &u.GPU, &u.Mem, &u.Lost, &u.Starts, &u.TakenOver}
	for i := range u.Wait {
		fields = append(fields, &u.Wait[i])
	}
	return fields
}

// Numbers lists the amounts in the order of the records.
func (u Usage) Numbers() []uint64 {
	var numbers []uint64
	for _, field := range u.fields() {
		numbers = append(numbers, *field)
	}
	return numbers
}

// FromNumbers is the inverse of Numbers. Missing amounts are zero; those that a later version has appended are ignored.
func FromNumbers(numbers []uint64) (u Usage) {
	for i, field := range u.fields() {
		if i < len(numbers) {
			*field = numbers[i]
		}
	}
	return u
}

// Rate is what a task takes of its machine, in thousandths of a CPU, a GPU and a GB.
type Rate struct{ CPU, GPU, Mem uint64 }

// unitsPerResource is how many units of a Rate are one CPU, GPU or GB.
const unitsPerResource = 1000

// RateOf rounds a demand to a rate.
func RateOf(demand model.Resources) Rate {
	round := func(amount float64) uint64 { return uint64(math.Round(max(amount, 0) * unitsPerResource)) }
	return Rate{CPU: round(demand.CPU), GPU: round(demand.GPU), Mem: round(demand.MemGB)}
}

// Usage is what is used at the rate in some milliseconds. Nothing is rounded: a thousandth of a CPU for a millisecond
// is a CPU-microsecond.
func (r Rate) Usage(ms uint64) Usage {
	return Usage{CPU: r.CPU * ms, GPU: r.GPU * ms, Mem: r.Mem * ms}
}

// ClassUsage is the usage of one job class of a team.
type ClassUsage struct {
	Class string
	Usage
}

// AddUsage adds an amount to that of a job class in a list that is sorted by class.
func AddUsage(list []ClassUsage, class string, usage Usage) []ClassUsage {
	i, found := slices.BinarySearchFunc(list, class, func(c ClassUsage, class string) int {
		return strings.Compare(c.Class, class)
	})
	if !found {
		list = slices.Insert(list, i, ClassUsage{Class: class})
	}
	list[i].Add(usage)
	return list
}

// Total is the usage of all job classes.
func Total(list []ClassUsage) (total Usage) {
	for _, class := range list {
		total.Add(class.Usage)
	}
	return total
}

// Interval is a time that no leader accounted for: from the last settlement of one leader to the takeover of the next
// one that keeps a ledger. Its ends are times of day.
type Interval struct {
	Start, End       time.Time
	FencingToken     uint64 // of the leader that took over
	UnsettledLeaders uint64 // leaders in between that settled nothing, for lack of a ledger or of time
}

// Weights say what counts towards a team's decayed usage.
type Weights struct {
	GPU float64 // CPUs that a GPU counts as
	Mem float64 // CPUs that a GB counts as
}

// cost is an amount in weighted CPU-microseconds.
func (w Weights) cost(u Usage) uint64 {
	return u.CPU + uint64(float64(u.GPU)*w.GPU) + uint64(float64(u.Mem)*w.Mem)
}

// decay is what is left of an amount after some time, by its half-life.
func decay(amount uint64, after, halfLife time.Duration) uint64 {
	if after <= 0 || halfLife <= 0 || amount == 0 {
		return amount
	}
	return uint64(float64(amount) * math.Exp2(-float64(after)/float64(halfLife)))
}
