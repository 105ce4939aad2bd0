package controller

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/store"
)

func discard() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func TestRelayTrackerRedirectsAndRelaysLongerAfterReturn(t *testing.T) {
	start := time.Unix(1000, 0)
	steps := []struct {
		name  string
		after time.Duration // the start
		want  bool
	}{
		{"the first heartbeat is relayed", 0, true},
		{"the others within the initial period too", 2 * time.Second, true},
		{"then the worker is redirected", 4 * time.Second, false},
		{"if it is back soon it is relayed", 8 * time.Second, true},
		{"for the extended period", 50 * time.Second, true},
		{"then it is redirected again", 60 * time.Second, false},
		{"if it comes back late it begins anew", 75 * time.Second, true},
		{"with the initial period", 77 * time.Second, true},
		{"and is redirected after that", 79 * time.Second, false},
	}
	tracker := &relayTracker{}
	for _, step := range steps {
		if got := tracker.shouldRelay("m", start.Add(step.after)); got != step.want {
			t.Errorf("%s: got %v, want %v", step.name, got, step.want)
		}
	}
	tracker.forget("m")
	if !tracker.shouldRelay("m", start.Add(80*time.Second)) {
		t.Error("got a redirect of a forgotten worker, want it relayed")
	}
}

func TestLeaseHolderExtendsOnlyItsOwnLeadership(t *testing.T) {
	now := time.Now()
	var holder leaseHolder
	holder.extend(1, now.Add(time.Hour))
	if holder.load() != nil {
		t.Fatal("got a lease that was extended after it was given up, want none")
	}
	holder.current.Store(&leadershipLease{fencingToken: 1, leaseUntil: now, freshUntil: now.Add(time.Hour)})
	holder.extend(2, now.Add(time.Hour))
	if holder.valid() {
		t.Error("got a lease valid by another leadership's renewal, want it expired")
	}
	holder.extend(1, now.Add(time.Hour))
	if !holder.holds(1) || holder.holds(2) {
		t.Errorf("got holds(1)=%v, holds(2)=%v, want true, false", holder.holds(1), holder.holds(2))
	}
	holder.extend(1, now)
	if got, want := holder.load().leaseUntil, now.Add(time.Hour); !got.Equal(want) {
		t.Errorf("got a lease until %v after an older renewal, want %v", got, want)
	}
}

func TestLeaseIsLimitedByCancellationKnowledge(t *testing.T) {
	now := time.Now()
	knowledge := cancellationKnowledge{acknowledged: map[string]store.CancellationCursor{}, log: discard()}
	knowledge.bound.KeepLeases, knowledge.bound.StartTasks = 10*time.Second, 4*time.Second
	lease := &leadershipLease{leaseUntil: now.Add(time.Minute)}
	knowledge.limit(now, lease)
	if got := lease.validUntil(); !got.Equal(lease.leaseUntil) {
		t.Errorf("without a reconciler: got %v, want the lease's %v", got, lease.leaseUntil)
	}
	knowledge.begin([]string{"b"}, now)
	knowledge.limit(now, lease)
	if got, want := lease.validUntil(), now.Add(10*time.Second); !got.Equal(want) {
		t.Errorf("got valid until %v, want %v", got, want)
	}
	if !lease.mayStartTasks(now.Add(3*time.Second)) || lease.mayStartTasks(now.Add(5*time.Second)) {
		t.Error("got another time for starts of tasks, want 4 s")
	}
	knowledge.limit(now.Add(10*time.Second), lease)
	if !knowledge.tooStale {
		t.Error("got fresh knowledge after 10 s, want it too stale")
	}
	knowledge.end()
	if knowledge.tooStale || knowledge.tracker != nil {
		t.Error("got knowledge that outlasts its leadership, want none")
	}
}

func TestJobChangeQueueKeepsOrderAndSignalsOnce(t *testing.T) {
	queue := jobChangeQueue{ready: make(chan struct{}, 1)}
	queue.push(nil)
	if len(queue.ready) != 0 {
		t.Error("got a signal for no changes, want none")
	}
	queue.push(make([]store.JobChange, 2))
	queue.push(make([]store.JobChange, 1))
	if got := len(queue.ready); got != 1 {
		t.Errorf("got %d signals, want 1", got)
	}
	if got := len(queue.take()); got != 3 {
		t.Errorf("got %d changes, want 3", got)
	}
	if got := len(queue.take()); got != 0 {
		t.Errorf("got %d changes from an empty queue, want 0", got)
	}
}

func TestHoldMonitorNamesTheLongestEvent(t *testing.T) {
	monitor := holdMonitor{log: discard()}
	monitor.measure("pass", func(time.Time) {
		monitor.lastEvent = reconciler.Tick{}
		time.Sleep(time.Millisecond)
	})
	monitor.longest.duration = time.Hour // so that no pause of the machine makes the next one longer
	monitor.measure("message", func(time.Time) {})
	if got := monitor.longest; got.work != "pass" || got.event != "Tick" {
		t.Errorf("got %q %q, want pass Tick", got.work, got.event)
	}
}
