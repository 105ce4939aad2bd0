package connquota

import (
	"testing"
	"time"
)

var startTime = time.Unix(1e9, 0)

// acquireSlots takes n sockets for an owner and tells how many there were.
func acquireSlots(b *Quotas, now time.Time, o Class, n int, closed *int) (got []*Slot) {
	for range n {
		h, err := b.Acquire(now, Unclassified, func() { *closed++ })
		if err != nil {
			return got
		}
		if !h.Classify(o) {
			h.Release()
			return got
		}
		h.MarkIdle(now)
		got = append(got, h)
	}
	return got
}

func TestQuotasFitWithinCapacity(t *testing.T) {
	for _, most := range []int{40, 200, 1200, 2681, 3995, 20000} {
		b := New(most, 4, nil)
		s := b.Status()
		sum := 0
		for _, o := range []Class{Users, DirectCommands, Unclassified} {
			sum += s.Classes[o].Quota
		}
		if sum > s.Capacity || s.Capacity >= most {
			t.Errorf("%d sockets: users, newcomers and direct commands may hold %d of %d", most, sum, s.Capacity)
		}
	}
}

func TestHeartbeatsAndHealthChecksConnectWhenUsersAreAtQuota(t *testing.T) {
	b, closed := New(1000, 2, nil), 0
	users := acquireSlots(b, startTime, Users, 1000, &closed)
	if len(users) != b.Status().Classes[Users].Quota {
		t.Fatalf("users hold %d, their share is %d", len(users), b.Status().Classes[Users].Quota)
	}
	if b.Status().Classes[Users].Rejected == 0 {
		t.Error("nobody was sent away")
	}
	if n := len(acquireSlots(b, startTime, Heartbeats, 500, &closed)); n != 500 {
		t.Errorf("%d of 500 workers got in", n)
	}
	if n := len(acquireSlots(b, startTime, HealthChecks, 3, &closed)); n != 3 {
		t.Errorf("%d of 3 probes got in", n)
	}
	// Workers push out users that have asked nothing lately, and nobody else.
	later := startTime.Add(10 * time.Second)
	if acquireSlots(b, later, Heartbeats, 400, &closed); closed == 0 {
		t.Error("idle users keep workers out")
	}
	if s := b.Status(); s.Used > s.Capacity || s.Classes[HealthChecks].Used != 3 || s.Classes[Heartbeats].Used < 800 {
		t.Errorf("held now: %+v", s)
	}
}

func TestHeartbeatBurstLeavesReservedClassesTheirQuota(t *testing.T) {
	for _, most := range []int{1200, 2681} {
		b, closed := New(most, 4, nil), 0
		acquireSlots(b, startTime, Heartbeats, 2*most, &closed)
		for _, o := range []Class{StateService, Peers, Cloud, Operators} {
			for i := range b.Status().Classes[o].Quota {
				if _, err := b.Acquire(time.Time{}, o, nil); err != nil {
					t.Fatalf("%d sockets: %v gets %d of %d", most, o, i, b.Status().Classes[o].Quota)
				}
			}
		}
		if s := b.Status(); s.Used > s.Capacity {
			t.Errorf("%d held of %d", s.Used, s.Capacity)
		}
	}
}

func TestSilentConnectionsAreEvicted(t *testing.T) {
	b, closed := New(1000, 2, nil), 0
	silent := 0
	for {
		if _, err := b.Acquire(startTime, Unclassified, func() { closed++ }); err != nil {
			break
		}
		silent++
	}
	if s := b.Status(); silent >= s.Capacity {
		t.Fatalf("those that say nothing hold all %d sockets", silent)
	}
	if _, err := b.Acquire(startTime.Add(time.Second), Unclassified, func() {}); err == nil {
		t.Error("one that has only just come is closed already")
	}
	if h, err := b.Acquire(startTime.Add(6*time.Second), Unclassified, func() {}); err != nil || closed != 1 || !h.Classify(Heartbeats) {
		t.Errorf("a worker does not get in: %v, %d closed", err, closed)
	}
}

func TestOccupancyDecidesKeepAlive(t *testing.T) {
	var moves []Occupancy
	b, closed := New(1000, 2, func(_, to Occupancy, _, _ int) { moves = append(moves, to) }), 0
	user := acquireSlots(b, startTime, Users, 1, &closed)[0]
	all := acquireSlots(b, startTime, Heartbeats, 700, &closed)
	if !user.KeepAlive() || !all[0].KeepAlive() || b.Occupancy() != Low {
		t.Fatalf("at 700 of 1000: %v", b.Occupancy())
	}
	all = append(all, acquireSlots(b, startTime, Heartbeats, 120, &closed)...)
	if user.KeepAlive() || !all[0].KeepAlive() || b.Occupancy() != High {
		t.Fatalf("at 820 of 1000: %v", b.Occupancy())
	}
	all = append(all, acquireSlots(b, startTime, Heartbeats, 30, &closed)...)
	if user.KeepAlive() || all[0].KeepAlive() || b.Occupancy() != Full {
		t.Fatalf("at 850 of 1000: %v", b.Occupancy())
	}
	if h, err := b.Acquire(startTime, Unclassified, nil); err != nil || h.Classify(Users) {
		t.Error("a new user is taken in although the process is full")
	}
	for _, h := range all {
		h.Release()
		h.Release() // said twice
	}
	if s := b.Status(); s.Occupancy != Low || s.Used != 2 {
		t.Errorf("afterwards: %+v", s)
	}
	if want := []Occupancy{High, Full, High, Low}; len(moves) != len(want) {
		t.Errorf("levels went %v, want %v: none flaps", moves, want)
	}
}

func TestRetryAfterIsSpreadInTime(t *testing.T) {
	b := New(1000, 2, nil)
	times := map[time.Duration]bool{}
	for range 30 {
		times[b.RetryAfter(time.Second)] = true
	}
	if len(times) < 3 {
		t.Errorf("all come back after %v", times)
	}
}

func TestMemoryPressureHasHysteresis(t *testing.T) {
	moves := 0
	m := NewMemoryMonitor(100<<20, func(bool, uint64, uint64) { moves++ })
	for _, c := range []struct {
		held  uint64
		short bool
	}{{30 << 20, false}, {44 << 20, false}, {46 << 20, true}, {40 << 20, true}, {37 << 20, false}, {40 << 20, false}} {
		if m.Observe(c.held); m.UnderPressure() != c.short {
			t.Errorf("%d MB of 100 held: short %v", c.held>>20, m.UnderPressure())
		}
	}
	if moves != 2 {
		t.Errorf("told %d times of 2 changes", moves)
	}
	m = NewMemoryMonitor(0, nil)
	if m.Observe(1 << 40); m.UnderPressure() {
		t.Error("short of a memory that is not bounded")
	}
}
