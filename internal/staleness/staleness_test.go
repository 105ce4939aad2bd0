package staleness

import (
	"math/rand/v2"
	"testing"
	"time"
)

const second = time.Second

func at(s int) time.Time { return time.Unix(1_800_000_000, 0).Add(time.Duration(s) * second) }

// Only the words of all others, or a reading, move what a leader knows, and nothing moves it back.
func TestTrackerKnowsAsOfLeastRecentAcknowledgement(t *testing.T) {
	b := NewTracker([]string{"b", "c"}, at(0))
	for i, step := range []struct {
		do   func()
		want time.Time
	}{
		{func() { b.Acknowledged("b", at(9)) }, at(0)},
		{func() { b.Acknowledged("x", at(9)) }, at(0)}, // no member
		{func() { b.Acknowledged("c", at(5)) }, at(5)},
		{func() { b.Acknowledged("c", at(4)) }, at(5)},
		{func() { b.RecordsRead(at(7)) }, at(7)},
		{func() { b.Acknowledged("c", at(8)) }, at(8)},
		{func() { b.RecordsRead(at(6)) }, at(8)},
	} {
		if step.do(); !b.KnownAsOf().Equal(step.want) {
			t.Errorf("step %d: as of %v, want %v", i, b.KnownAsOf(), step.want)
		}
	}
	if alone := NewTracker(nil, at(3)); !alone.KnownAsOf().Equal(at(3)) {
		t.Errorf("one without others knows as of %v", alone.KnownAsOf())
	}
}

// Whatever the settings: what is answered by what was known last is gone in time, clocks that part included; or the
// bound says that it can't see to that.
func TestBoundEndsCancelledTasksInTime(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for range 20_000 {
		lease := time.Duration(1+r.IntN(600_000)) * time.Millisecond
		cancel := max(lease+time.Duration(r.IntN(60_000)-20_000)*time.Millisecond, time.Millisecond)
		b, ok := BoundFor(cancel, lease)
		gone := time.Duration(float64(b.KeepLeases+lease) * (1 + maxClockDrift))
		if ok && gone > cancel || b.KeepLeases < minBound || b.StartTasks > b.KeepLeases || b.StartTasks > maxStartBound {
			t.Errorf("cancel %v, lease %v: %+v", cancel, lease, b)
		}
		if room := cancel - lease - 5*second; !ok && room > cancel/500 {
			t.Errorf("no bound, though cancel %v leaves %v beside lease %v", cancel, room, lease)
		}
	}
}
