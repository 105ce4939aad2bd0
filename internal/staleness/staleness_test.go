package staleness

import (
	"math/rand/v2"
	"testing"
	"time"
)

const second = time.Second

func at(s int) time.Time { return time.Unix(1_800_000_000, 0).Add(time.Duration(s) * second) }

// Only the reports of all other members, or a reading, move what a leader knows, and nothing moves it back.
func TestTrackerKnowsAsOfLeastRecentAcknowledgement(t *testing.T) {
	tracker := NewTracker([]string{"b", "c"}, at(0))
	for _, step := range []struct {
		name string
		do   func()
		want time.Time
	}{
		{"one of two members", func() { tracker.Acknowledged("b", at(9)) }, at(0)},
		{"no member", func() { tracker.Acknowledged("x", at(9)) }, at(0)},
		{"both members", func() { tracker.Acknowledged("c", at(5)) }, at(5)},
		{"an older report", func() { tracker.Acknowledged("c", at(4)) }, at(5)},
		{"a later reading", func() { tracker.RecordsRead(at(7)) }, at(7)},
		{"a later report", func() { tracker.Acknowledged("c", at(8)) }, at(8)},
		{"an older reading", func() { tracker.RecordsRead(at(6)) }, at(8)},
	} {
		if step.do(); !tracker.KnownAsOf().Equal(step.want) {
			t.Errorf("%s: known as of %v, want %v", step.name, tracker.KnownAsOf(), step.want)
		}
	}
	if alone := NewTracker(nil, at(3)); !alone.KnownAsOf().Equal(at(3)) {
		t.Errorf("a leader without other members: known as of %v, want %v", alone.KnownAsOf(), at(3))
	}
}

// Whatever the settings: what is answered by the oldest knowledge that the bound allows ends in time, with clocks that
// drift; or the bound says that it cannot ensure that.
func TestBoundEndsCancelledTasksInTime(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for range 20_000 {
		lease := time.Duration(1+r.IntN(600_000)) * time.Millisecond
		cancel := max(lease+time.Duration(r.IntN(60_000)-20_000)*time.Millisecond, time.Millisecond)
		bound, ok := BoundFor(cancel, lease)
		endsWithin := time.Duration(float64(bound.KeepLeases+lease) * (1 + maxClockDrift))
		if ok && endsWithin > cancel || bound.KeepLeases < minBound || bound.StartTasks > bound.KeepLeases ||
			bound.StartTasks > maxStartBound {
			t.Errorf("cancel within %v, lease %v: got %+v, tasks end within %v", cancel, lease, bound, endsWithin)
		}
		if room := cancel - lease - 5*second; !ok && room > cancel/500 {
			t.Errorf("cancel within %v, lease %v: got no bound, want one as %v are left", cancel, lease, room)
		}
	}
}
