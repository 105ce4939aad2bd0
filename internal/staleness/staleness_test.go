package staleness

import (
	"math/rand/v2"
	"testing"
	"time"
)

const second = time.Second

func timeAt(s int) time.Time { return time.Unix(1_800_000_000, 0).Add(time.Duration(s) * second) }

// KnownAsOf advances only after a read of the records or after reports of all other members, and it never goes back.
func TestTrackerKnowsAsOfLeastRecentAcknowledgement(t *testing.T) {
	tracker := NewTracker([]string{"b", "c"}, timeAt(0))
	for _, step := range []struct {
		name string
		do   func()
		want time.Time
	}{
		{"report of one of two members", func() { tracker.ReportReceived("b", timeAt(9)) }, timeAt(0)},
		{"report of an unknown member", func() { tracker.ReportReceived("x", timeAt(9)) }, timeAt(0)},
		{"report of the second member", func() { tracker.ReportReceived("c", timeAt(5)) }, timeAt(5)},
		{"older report", func() { tracker.ReportReceived("c", timeAt(4)) }, timeAt(5)},
		{"later read", func() { tracker.RecordsRead(timeAt(7)) }, timeAt(7)},
		{"later report", func() { tracker.ReportReceived("c", timeAt(8)) }, timeAt(8)},
		{"older read", func() { tracker.RecordsRead(timeAt(6)) }, timeAt(8)},
	} {
		if step.do(); !tracker.KnownAsOf().Equal(step.want) {
			t.Errorf("%s: got KnownAsOf %v, want %v", step.name, tracker.KnownAsOf(), step.want)
		}
	}
	if alone := NewTracker(nil, timeAt(3)); !alone.KnownAsOf().Equal(timeAt(3)) {
		t.Errorf("leader without other members: got KnownAsOf %v, want %v", alone.KnownAsOf(), timeAt(3))
	}
}

// For random settings, a lease that is renewed at the maximum age of the knowledge expires within the time to cancel,
// even if clocks drift, unless BoundFor reports that no bound ensures this. BoundFor may report that only if too little
// time is left after the lease and the allowance for late stops.
func TestBoundEndsCancelledTasksInTime(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for range 20_000 {
		lease := time.Duration(1+r.IntN(600_000)) * time.Millisecond
		cancel := max(lease+time.Duration(r.IntN(60_000)-20_000)*time.Millisecond, time.Millisecond)
		bound, ok := BoundFor(cancel, lease)
		endsWithin := time.Duration(float64(bound.RenewLeases+lease) * (1 + maxClockDrift))
		if ok && endsWithin > cancel || bound.RenewLeases < minBound || bound.StartTasks > bound.RenewLeases ||
			bound.StartTasks > maxStartBound {
			t.Errorf("cancel within %v, lease %v: got %+v, tasks end within %v", cancel, lease, bound, endsWithin)
		}
		if remaining := cancel - lease - 5*second; !ok && remaining > cancel/500 {
			t.Errorf("cancel within %v, lease %v: got no bound, want one since %v remain", cancel, lease, remaining)
		}
	}
}
