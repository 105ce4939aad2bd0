package model

import "math"

// Resources is an amount of what a machine offers and a task demands.
type Resources struct {
	CPU, GPU, MemGB float64
}

// roundingTolerance absorbs the rounding of decimal amounts that are added and
// removed many times. It is far below any amount that a job may demand.
const roundingTolerance = 1e-6

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.GPU + o.GPU, r.MemGB + o.MemGB}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.GPU - o.GPU, r.MemGB - o.MemGB}
}

// Times returns r taken n times.
func (r Resources) Times(n int) Resources {
	f := float64(n)
	return Resources{r.CPU * f, r.GPU * f, r.MemGB * f}
}

// AtLeastZero returns r with negative amounts raised to zero.
func (r Resources) AtLeastZero() Resources {
	return Resources{max(r.CPU, 0), max(r.GPU, 0), max(r.MemGB, 0)}
}

// Fits reports whether r can be taken from free.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU+roundingTolerance &&
		r.GPU <= free.GPU+roundingTolerance &&
		r.MemGB <= free.MemGB+roundingTolerance
}

// FitCount returns how many times r can be taken from free, any amount of which
// may be infinite.
func (r Resources) FitCount(free Resources) int {
	count := math.MaxInt32
	for _, resource := range [...]struct{ demand, free float64 }{
		{r.CPU, free.CPU}, {r.GPU, free.GPU}, {r.MemGB, free.MemGB},
	} {
		if resource.demand <= roundingTolerance {
			continue
		}
		// Compare before the conversion: an infinite quotient has no int value.
		if times := (resource.free + roundingTolerance) / resource.demand; times < float64(count) {
			count = int(times)
		}
	}
	return max(count, 0)
}
