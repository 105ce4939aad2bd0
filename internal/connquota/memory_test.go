package connquota

import "testing"

func TestMemoryPressureHasHysteresis(t *testing.T) {
	const mb = 1 << 20
	changes := 0
	m := NewMemoryMonitor(100*mb, func(bool, uint64, uint64) { changes++ })
	for _, c := range []struct {
		used     uint64
		pressure bool
	}{
		{30 * mb, false},
		{44 * mb, false},
		{46 * mb, true},
		{40 * mb, true},
		{37 * mb, false},
		{40 * mb, false},
	} {
		if m.Observe(c.used); m.UnderPressure() != c.pressure {
			t.Errorf("%d of 100 MB in use: got pressure %v, want %v", c.used/mb, m.UnderPressure(), c.pressure)
		}
	}
	if changes != 2 {
		t.Errorf("calls of onChange: got %d, want 2", changes)
	}
	m = NewMemoryMonitor(0, nil)
	if m.Observe(1 << 40); m.UnderPressure() {
		t.Error("without a limit: got pressure, want none")
	}
}
