package connquota

import "sync/atomic"

// MemoryMonitor reports whether there is memory for more jobs. Jobs that are known
// already are served whatever it says; only new submissions wait.
type MemoryMonitor struct {
	limit    uint64 // bytes that the process may hold; 0: unknown, never under pressure
	pressure atomic.Bool
	onChange func(pressure bool, used, limit uint64)
}

const (
	// pressureFrom is the fraction of the limit from which on new jobs wait. The
	// garbage collector's limit is 0.6; with more than this in use it runs all the time.
	pressureFrom = 0.45
	// pressureBelow is the fraction below which new jobs are accepted again.
	pressureBelow = 0.38
)

// NewMemoryMonitor returns the monitor of a process that may hold limit bytes.
// onChange, if not nil, is called with each change.
func NewMemoryMonitor(limit uint64, onChange func(pressure bool, used, limit uint64)) *MemoryMonitor {
	return &MemoryMonitor{limit: limit, onChange: onChange}
}

// Observe records how many bytes are in use by stacks, and by the heap after its last
// garbage collection. It must be called by one goroutine only.
func (m *MemoryMonitor) Observe(used uint64) {
	before := m.pressure.Load()
	pressure := before
	switch fraction := float64(used) / float64(max(m.limit, 1)); {
	case m.limit == 0:
		pressure = false
	case fraction >= pressureFrom:
		pressure = true
	case fraction < pressureBelow:
		pressure = false
	}
	if pressure == before {
		return
	}
	m.pressure.Store(pressure)
	if m.onChange != nil {
		m.onChange(pressure, used, m.limit)
	}
}

// UnderPressure reports that there is no memory for new jobs now.
func (m *MemoryMonitor) UnderPressure() bool { return m.pressure.Load() }
