package connquota

import "sync/atomic"

// MemoryMonitor tells whether there is memory for more work. What is already there is always kept
// up; only new submissions wait.
type MemoryMonitor struct {
	limit    uint64 // bytes that the process may hold; 0: unknown, never short
	pressure atomic.Bool
	onChange func(short bool, held, most uint64)
}

const (
	pressureFrom  = 0.45 // of what the process may hold: the collector's limit is 0.6, and beyond this it runs all the time
	pressureBelow = 0.38
)

// NewMemoryMonitor makes the account of a process that may hold some bytes. moved is told of each
// change.
func NewMemoryMonitor(most uint64, moved func(short bool, held, most uint64)) *MemoryMonitor {
	return &MemoryMonitor{limit: most, onChange: moved}
}

// Observe takes how many bytes are in use, of the heap after its last collection and of stacks.
// It is the only place that changes the state, and is called by one goroutine.
func (m *MemoryMonitor) Observe(held uint64) {
	was := m.pressure.Load()
	is := was
	switch part := float64(held) / float64(max(m.limit, 1)); {
	case m.limit == 0:
		is = false
	case part >= pressureFrom:
		is = true
	case part < pressureBelow:
		is = false
	}
	if is != was {
		m.pressure.Store(is)
		if m.onChange != nil {
			m.onChange(is, held, m.limit)
		}
	}
}

// UnderPressure tells that no new work is to be taken in for now.
func (m *MemoryMonitor) UnderPressure() bool { return m.pressure.Load() }
