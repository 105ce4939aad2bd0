package connquota

import (
	"slices"
	"testing"
	"time"
)

var startTime = time.Unix(1e9, 0)

// acquireSlots acquires up to n slots of a class and marks them idle. It adds to closed how many of these slots are
// evicted later, and stops at the first slot that is rejected.
func acquireSlots(q *Quotas, now time.Time, class Class, n int, closed *int) (slots []*Slot) {
	for range n {
		slot, err := q.Acquire(now, Unclassified, func() { *closed++ })
		if err != nil {
			return slots
		}
		if !slot.Classify(class) {
			slot.Release()
			return slots
		}
		slot.MarkIdle(now)
		slots = append(slots, slot)
	}
	return slots
}

func TestQuotasFitWithinCapacity(t *testing.T) {
	for _, maxFiles := range []int{40, 200, 1200, 2681, 3995, 20000} {
		status := New(maxFiles, 4, nil).Status()
		sum := 0
		for _, class := range []Class{Users, DirectCommands, Unclassified} {
			sum += status.Classes[class].Quota
		}
		if sum > status.Capacity || status.Capacity >= maxFiles {
			t.Errorf("%d files: got quotas of %d and capacity %d, want quotas <= capacity < files",
				maxFiles, sum, status.Capacity)
		}
	}
}

func TestHeartbeatsAndHealthChecksConnectWhenUsersAreAtQuota(t *testing.T) {
	q, closed := New(1000, 2, nil), 0
	users := acquireSlots(q, startTime, Users, 1000, &closed)
	if want := q.Status().Classes[Users].Quota; len(users) != want {
		t.Fatalf("slots of users: got %d, want their quota, %d", len(users), want)
	}
	if q.Status().Classes[Users].Rejected == 0 {
		t.Error("rejected users: got 0, want some")
	}
	if n := len(acquireSlots(q, startTime, Heartbeats, 500, &closed)); n != 500 {
		t.Errorf("slots of heartbeats: got %d, want 500", n)
	}
	if n := len(acquireSlots(q, startTime, HealthChecks, 3, &closed)); n != 3 {
		t.Errorf("slots of health checks: got %d, want 3", n)
	}
	// Heartbeats evict idle connections of users, but none of other classes.
	later := startTime.Add(10 * time.Second)
	if acquireSlots(q, later, Heartbeats, 400, &closed); closed == 0 {
		t.Error("evicted users: got 0, want some")
	}
	status := q.Status()
	if status.Used > status.Capacity || status.Classes[HealthChecks].Used != 3 || status.Classes[Heartbeats].Used < 800 {
		t.Errorf("after evictions: got %+v, want 3 health checks and at least 800 heartbeats within the capacity", status)
	}
}

func TestHeartbeatBurstLeavesReservedClassesTheirQuota(t *testing.T) {
	for _, maxFiles := range []int{1200, 2681} {
		q, closed := New(maxFiles, 4, nil), 0
		acquireSlots(q, startTime, Heartbeats, 2*maxFiles, &closed)
		for _, class := range []Class{StateService, Peers, Cloud, Operators} {
			quota := q.Status().Classes[class].Quota
			for i := range quota {
				if _, err := q.Acquire(time.Time{}, class, nil); err != nil {
					t.Fatalf("%d files, class %v: got %d slots, want %d", maxFiles, class, i, quota)
				}
			}
		}
		if status := q.Status(); status.Used > status.Capacity {
			t.Errorf("slots in use: got %d, want at most %d", status.Used, status.Capacity)
		}
	}
}

func TestSilentConnectionsAreEvicted(t *testing.T) {
	q, closed := New(1000, 2, nil), 0
	silent := 0
	for {
		if _, err := q.Acquire(startTime, Unclassified, func() { closed++ }); err != nil {
			break
		}
		silent++
	}
	if capacity := q.Status().Capacity; silent >= capacity {
		t.Fatalf("silent connections: got %d, want fewer than the capacity, %d", silent, capacity)
	}
	if _, err := q.Acquire(startTime.Add(time.Second), Unclassified, func() {}); err == nil {
		t.Error("after 1 s: got a slot, want none: the silent connections have not been idle long enough")
	}
	slot, err := q.Acquire(startTime.Add(6*time.Second), Unclassified, func() {})
	if err != nil || closed != 1 || !slot.Classify(Heartbeats) {
		t.Errorf("after 6 s: got %v and %d evicted, want a slot for heartbeats and 1 evicted", err, closed)
	}
}

func TestOccupancyDecidesKeepAlive(t *testing.T) {
	var levels []Occupancy
	onChange := func(_, to Occupancy, _, _ int) { levels = append(levels, to) }
	q, closed := New(1000, 2, onChange), 0
	user := acquireSlots(q, startTime, Users, 1, &closed)[0]
	workers := acquireSlots(q, startTime, Heartbeats, 700, &closed)
	if !user.KeepAlive() || !workers[0].KeepAlive() || q.Occupancy() != OccupancyLow {
		t.Fatalf("at 700 of 1000: got %v, keep-alive of users %v, of workers %v, want %v, true, true",
			q.Occupancy(), user.KeepAlive(), workers[0].KeepAlive(), OccupancyLow)
	}
	workers = append(workers, acquireSlots(q, startTime, Heartbeats, 120, &closed)...)
	if user.KeepAlive() || !workers[0].KeepAlive() || q.Occupancy() != OccupancyHigh {
		t.Fatalf("at 820 of 1000: got %v, keep-alive of users %v, of workers %v, want %v, false, true",
			q.Occupancy(), user.KeepAlive(), workers[0].KeepAlive(), OccupancyHigh)
	}
	workers = append(workers, acquireSlots(q, startTime, Heartbeats, 30, &closed)...)
	if user.KeepAlive() || workers[0].KeepAlive() || q.Occupancy() != OccupancyFull {
		t.Fatalf("at 850 of 1000: got %v, keep-alive of users %v, of workers %v, want %v, false, false",
			q.Occupancy(), user.KeepAlive(), workers[0].KeepAlive(), OccupancyFull)
	}
	if slot, err := q.Acquire(startTime, Unclassified, nil); err != nil || slot.Classify(Users) {
		t.Errorf("new user at full occupancy: got error %v, or a slot of class Users, want no error and no such slot", err)
	}
	for _, slot := range workers {
		slot.Release()
		slot.Release() // the second call has no effect
	}
	if status := q.Status(); status.Occupancy != OccupancyLow || status.Used != 2 {
		t.Errorf("after the release: got %+v, want %v with 2 slots in use", status, OccupancyLow)
	}
	if want := []Occupancy{OccupancyHigh, OccupancyFull, OccupancyHigh, OccupancyLow}; !slices.Equal(levels, want) {
		t.Errorf("levels of occupancy: got %v, want %v", levels, want)
	}
}

func TestRetryAfterIsSpreadInTime(t *testing.T) {
	q := New(1000, 2, nil)
	times := map[time.Duration]bool{}
	for range 30 {
		times[q.RetryAfter(time.Second)] = true
	}
	if len(times) < 3 {
		t.Errorf("Retry-After: got %v, want at least 3 different values", times)
	}
}
