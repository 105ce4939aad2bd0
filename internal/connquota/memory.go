package connquota

import "sync/atomic"

// MemoryMonitor decides whether the process has enough memory for new jobs. Under memory pressure new submissions
// have to wait; jobs that were already accepted are served as usual. UnderPressure may be called by any goroutine.
type MemoryMonitor struct {
	limit    uint64 // memory limit of the process in bytes; if it is 0, there is never any pressure
	pressure atomic.Bool
	onChange func(pressure bool, used, limit uint64)
}

const (
	// pressureThreshold is the fraction of the limit at which memory pressure begins. The soft limit of the garbage
	// collector is 0.6 of the limit; with more than pressureThreshold in use, the collector would run all the time.
	pressureThreshold = 0.45

	// pressureClearThreshold is the fraction of the limit below which memory pressure ends. It is lower than
	// pressureThreshold, so that the state does not flap.
	pressureClearThreshold = 0.38
)

// NewMemoryMonitor returns the monitor of a process with a memory limit in bytes. A limit of 0 means that the limit
// is unknown. onChange is called whenever memory pressure begins or ends, unless it is nil.
func NewMemoryMonitor(limit uint64, onChange func(pressure bool, used, limit uint64)) *MemoryMonitor {
	return &MemoryMonitor{limit: limit, onChange: onChange}
}

// Observe updates the monitor with the number of bytes that are in use: by stacks, and by the heap after its last
// garbage collection. It must not be called concurrently.
func (m *MemoryMonitor) Observe(used uint64) {
	wasUnderPressure := m.pressure.Load()
	pressure := wasUnderPressure
	switch fraction := float64(used) / float64(max(m.limit, 1)); {
	case m.limit == 0:
		pressure = false
	case fraction >= pressureThreshold:
		pressure = true
	case fraction < pressureClearThreshold:
		pressure = false
	}
	if pressure == wasUnderPressure {
		return
	}
	m.pressure.Store(pressure)
	if m.onChange != nil {
		m.onChange(pressure, used, m.limit)
	}
}

// UnderPressure reports whether new jobs have to wait for lack of memory.
func (m *MemoryMonitor) UnderPressure() bool { return m.pressure.Load() }
