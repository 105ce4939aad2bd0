package ledger

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// WaitCause is the cause for which a task waits to be started.
type WaitCause uint8

// The wait causes, in the order in which records store them. New causes are appended.
const (
	WaitQuota        WaitCause = iota // the team's quota is used up
	WaitGuarantee                     // production jobs and work within other teams' guarantees are served first
	WaitCapacity                      // no feasible machine has free capacity
	WaitFairShare                     // teams that have used less of their fair share are served first
	WaitDependencies                  // the job depends on jobs that are not done
	WaitBackoff                       // the job is in its retry back-off period after a failure
	WaitFailover                      // a new leader does not know yet which tasks are running on which machines
	NumWaitCauses                     // the number of causes
)

// waitCauseNames holds the names of the wait causes that users and operators see.
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

// String returns the cause's name for users and operators.
func (c WaitCause) String() string { return waitCauseNames[c] }

// Usage holds amounts of used resources and of waiting time. The amounts are integers, so that their sums are exact.
type Usage struct {
	CPU       uint64 // CPU-microseconds
	GPU       uint64 // GPU-microseconds
	Mem       uint64 // GB-microseconds
	WastedCPU uint64 // CPU-microseconds, contained in CPU, of attempts that neither completed nor saved a checkpoint
	Starts    uint64 // number of attempts that began to run
	// Adopted is the number of attempts that a new leader found running, or that ran on after the leader had
	// dropped them. Their beginning or end was not observed, so they are not counted in Starts.
	Adopted uint64
	Wait    [NumWaitCauses]uint64 // waiting time by cause, in task-milliseconds
}

// Add adds the amounts of other to u.
func (u *Usage) Add(other Usage) {
	u.CPU += other.CPU
	u.GPU += other.GPU
	u.Mem += other.Mem
	u.WastedCPU += other.WastedCPU
	u.Starts += other.Starts
	u.Adopted += other.Adopted
	for i := range u.Wait {
		u.Wait[i] += other.Wait[i]
	}
}

// fields returns pointers to the amounts in the order in which records store them.
func (u *Usage) fields() []*uint64 {
	fields := []*uint64{&u.CPU, &u.GPU, &u.Mem, &u.WastedCPU, &u.Starts, &u.Adopted}
	for i := range u.Wait {
		fields = append(fields, &u.Wait[i])
	}
	return fields
}

// Numbers returns the amounts in the order in which records store them.
func (u Usage) Numbers() []uint64 {
	var numbers []uint64
	for _, field := range u.fields() {
		numbers = append(numbers, *field)
	}
	return numbers
}

// UsageFromNumbers is the inverse of Numbers. Missing amounts are zero, and amounts that a later program version has
// appended are ignored.
func UsageFromNumbers(numbers []uint64) (u Usage) {
	for i, field := range u.fields() {
		if i < len(numbers) {
			*field = numbers[i]
		}
	}
	return u
}

// Rate is the rate at which a running task uses resources, in thousandths of a CPU, a GPU and a GB of memory.
type Rate struct{ CPU, GPU, Mem uint64 }

// rateUnitsPerResource is the value of a Rate's field for one CPU, GPU or GB.
const rateUnitsPerResource = 1000

// RateOf returns the rate of a task with the given demand, rounded to the nearest thousandth. Negative amounts count
// as zero.
func RateOf(demand model.Resources) Rate {
	round := func(amount float64) uint64 { return uint64(math.Round(max(amount, 0) * rateUnitsPerResource)) }
	return Rate{CPU: round(demand.CPU), GPU: round(demand.GPU), Mem: round(demand.MemGB)}
}

// Usage returns the usage at the rate for a number of milliseconds. The result is exact: a thousandth of a CPU for
// one millisecond is one CPU-microsecond.
func (r Rate) Usage(milliseconds uint64) Usage {
	return Usage{CPU: r.CPU * milliseconds, GPU: r.GPU * milliseconds, Mem: r.Mem * milliseconds}
}

// ClassUsage is the usage of a team's jobs of one job class.
type ClassUsage struct {
	Class string
	Usage
}

// AddUsage adds the usage of a job class to usages, which is sorted by class, and returns the updated slice. It
// modifies usages in place if the class is present or the slice has spare capacity.
func AddUsage(usages []ClassUsage, class string, usage Usage) []ClassUsage {
	i, found := slices.BinarySearchFunc(usages, class, func(c ClassUsage, class string) int {
		return strings.Compare(c.Class, class)
	})
	if !found {
		usages = slices.Insert(usages, i, ClassUsage{Class: class})
	}
	usages[i].Add(usage)
	return usages
}

// TotalUsage returns the sum of the usage of all job classes.
func TotalUsage(usages []ClassUsage) (total Usage) {
	for _, class := range usages {
		total.Add(class.Usage)
	}
	return total
}

// UnaccountedInterval is a period for which no usage is accounted: from the last settlement of one leader to the
// takeover of the next leader that keeps a ledger.
type UnaccountedInterval struct {
	Start, End       time.Time // times of day
	FencingToken     uint64    // fencing token of the leader that took over at End
	UnsettledLeaders uint64    // number of leaders in between that settled nothing, for lack of a ledger or of time
}

// Weights convert usage of other resources than CPU to CPU-microseconds.
type Weights struct {
	GPU float64 // number of CPUs that one GPU counts as
	Mem float64 // number of CPUs that one GB of memory counts as
}

// cost returns a usage in weighted CPU-microseconds.
func (w Weights) cost(usage Usage) uint64 {
	return usage.CPU + uint64(float64(usage.GPU)*w.GPU) + uint64(float64(usage.Mem)*w.Mem)
}

// decay returns what remains of an amount after the elapsed time. An amount does not decay if halfLife is 0.
func decay(amount uint64, elapsed, halfLife time.Duration) uint64 {
	if elapsed <= 0 || halfLife <= 0 || amount == 0 {
		return amount
	}
	return uint64(float64(amount) * math.Exp2(-float64(elapsed)/float64(halfLife)))
}
