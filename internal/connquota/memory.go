package connquota

import "sync/atomic"

// Memory tells whether there is memory for more work. What is already there is always kept
// up; only new submissions wait.
type Memory struct {
	most  uint64 // bytes that the process may hold; 0: unknown, never short
	short atomic.Bool
	moved func(short bool, held, most uint64)
}

const (
	shortFrom  = 0.45 // of what the process may hold: the collector's limit is 0.6, and beyond this it runs all the time
	ampleBelow = 0.38
)

// NewMemory makes the account of a process that may hold some bytes. moved is told of each
// change.
func NewMemory(most uint64, moved func(short bool, held, most uint64)) *Memory {
	return &Memory{most: most, moved: moved}
}

// Weigh takes how many bytes are in use, of the heap after its last collection and of stacks.
// It is the only place that changes the state, and is called by one goroutine.
func (m *Memory) Weigh(held uint64) {
	was := m.short.Load()
	is := was
	switch part := float64(held) / float64(max(m.most, 1)); {
	case m.most == 0:
		is = false
	case part >= shortFrom:
		is = true
	case part < ampleBelow:
		is = false
	}
	if is != was {
		m.short.Store(is)
		if m.moved != nil {
			m.moved(is, held, m.most)
		}
	}
}

// Short tells that no new work is to be taken in for now.
func (m *Memory) Short() bool { return m.short.Load() }
