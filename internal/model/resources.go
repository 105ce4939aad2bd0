package model

import "math"

// Resources is an amount of each resource that machines offer and tasks demand: CPUs, GPUs and gigabytes of memory.
type Resources struct {
	CPU, GPU, MemGB float64
}

// roundingTolerance absorbs the rounding errors of decimal amounts that are added and subtracted many times. It is
// far below any amount that a job may demand.
const roundingTolerance = 1e-6

// Add returns r + other.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.CPU + other.CPU, r.GPU + other.GPU, r.MemGB + other.MemGB}
}

// Sub returns r - other. Amounts of the result may be negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.CPU - other.CPU, r.GPU - other.GPU, r.MemGB - other.MemGB}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	factor := float64(n)
	return Resources{r.CPU * factor, r.GPU * factor, r.MemGB * factor}
}

// AtLeastZero returns r with negative amounts replaced by zero.
func (r Resources) AtLeastZero() Resources {
	return Resources{max(r.CPU, 0), max(r.GPU, 0), max(r.MemGB, 0)}
}

// Fits reports whether no amount of r exceeds that of free by more than a rounding error.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU+roundingTolerance &&
		r.GPU <= free.GPU+roundingTolerance &&
		r.MemGB <= free.MemGB+roundingTolerance
}

// FitCount returns how many times r fits into free, from 0 to math.MaxInt32. Amounts of free may be infinite.
func (r Resources) FitCount(free Resources) int {
	count := math.MaxInt32
	for _, resource := range [...]struct{ demand, free float64 }{
		{r.CPU, free.CPU}, {r.GPU, free.GPU}, {r.MemGB, free.MemGB},
	} {
		if resource.demand <= roundingTolerance {
			continue
		}
		// Compare before the conversion, because an infinite quotient cannot be converted to int.
		if times := (resource.free + roundingTolerance) / resource.demand; times < float64(count) {
			count = int(times)
		}
	}
	return max(count, 0)
}
