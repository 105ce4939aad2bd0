package controller

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/store"
)

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func TestRelayTrackerRedirectsAndRelaysLongerAfterReturn(t *testing.T) {
	start := time.Unix(1000, 0)
	steps := []struct {
		name  string
		after time.Duration // since the start
		want  bool
	}{
		{"the first heartbeat is relayed", 0, true},
		{"further heartbeats within the initial period are relayed too", 2 * time.Second, true},
		{"the worker is redirected after the initial period", 4 * time.Second, false},
		{"a worker that returns soon is relayed", 8 * time.Second, true},
		{"it is relayed for the extended period", 50 * time.Second, true},
		{"it is redirected again after the extended period", 60 * time.Second, false},
		{"a worker that returns late is treated as new", 75 * time.Second, true},
		{"it is relayed for the initial period", 77 * time.Second, true},
		{"it is redirected after that", 79 * time.Second, false},
	}
	tracker := &relayTracker{}
	for _, step := range steps {
		if got := tracker.shouldRelay("m", start.Add(step.after)); got != step.want {
			t.Errorf("%s: got %v, want %v", step.name, got, step.want)
		}
	}
	tracker.forget("m")
	if !tracker.shouldRelay("m", start.Add(80*time.Second)) {
		t.Error("got a redirect for a forgotten worker, want its heartbeat relayed")
	}
}

func TestLeaseHolderExtendsOnlyItsOwnLeadership(t *testing.T) {
	now := time.Now()
	var published publishedLease
	published.extend(1, now.Add(time.Hour))
	if published.load() != nil {
		t.Fatal("got a lease that was extended after it was cleared, want none")
	}
	published.current.Store(&leadershipLease{fencingToken: 1, leaseUntil: now, freshUntil: now.Add(time.Hour)})
	published.extend(2, now.Add(time.Hour))
	if published.valid() {
		t.Error("got a lease extended by another leadership's renewal, want it expired")
	}
	published.extend(1, now.Add(time.Hour))
	if !published.holds(1) || published.holds(2) {
		t.Errorf("got holds(1)=%v, holds(2)=%v, want true, false", published.holds(1), published.holds(2))
	}
	published.extend(1, now)
	if got, want := published.load().leaseUntil, now.Add(time.Hour); !got.Equal(want) {
		t.Errorf("got a lease until %v after an older renewal, want %v", got, want)
	}
}

func TestLeaseIsLimitedByCancellationKnowledge(t *testing.T) {
	now := time.Now()
	freshness := cancellationFreshness{acknowledgedCursors: map[string]store.CancellationCursor{}, log: discardLogger()}
	freshness.bound.RenewLeases, freshness.bound.StartTasks = 10*time.Second, 4*time.Second
	lease := &leadershipLease{leaseUntil: now.Add(time.Minute)}
	freshness.limitLease(now, lease)
	if got := lease.validUntil(); !got.Equal(lease.leaseUntil) {
		t.Errorf("without a reconciler: got %v, want the lease's %v", got, lease.leaseUntil)
	}
	freshness.startTracking([]string{"b"}, now)
	freshness.limitLease(now, lease)
	if got, want := lease.validUntil(), now.Add(10*time.Second); !got.Equal(want) {
		t.Errorf("got valid until %v, want %v", got, want)
	}
	if !lease.mayStartTasks(now.Add(3*time.Second)) || lease.mayStartTasks(now.Add(5*time.Second)) {
		t.Error("got task starts refused after 3 s or allowed after 5 s, want them allowed for 4 s")
	}
	freshness.limitLease(now.Add(10*time.Second), lease)
	if !freshness.tooStale {
		t.Error("got known cancellations fresh after 10 s, want them too stale")
	}
	freshness.stopTracking()
	if freshness.tooStale || freshness.tracker != nil {
		t.Error("got a tracker or staleness after the leadership ended, want none")
	}
}

func TestJobChangeQueueKeepsOrderAndSignalsOnce(t *testing.T) {
	queue := jobChangeQueue{ready: make(chan struct{}, 1)}
	queue.push(nil)
	if len(queue.ready) != 0 {
		t.Error("got a signal after an empty push, want none")
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

// TestHoldMonitorNamesTheLongestEvent also checks the form of the log message, which
// internal/clustersim/scale/process.go parses. If they differed, the scale simulation would report no hold at all.
func TestHoldMonitorNamesTheLongestEvent(t *testing.T) {
	var output bytes.Buffer
	monitor := holdMonitor{log: slog.New(slog.NewTextHandler(&output, nil))}
	monitor.measure("pass", func(time.Time) {
		monitor.lastEvent = reconciler.Tick{}
		time.Sleep(time.Millisecond)
	})
	monitor.longest.duration = time.Hour // so that a pause of the machine cannot make the next piece of work the longest
	monitor.measure("message", func(time.Time) {})
	if got := monitor.longest; got.workName != "pass" || got.event != "Tick" {
		t.Errorf("got %q %q, want pass Tick", got.workName, got.event)
	}
	monitor.logLongest(time.Now(), 0, &leadershipLease{})
	const want = `msg="event loop statistics" longest_hold=1h0m0s by=pass event=Tick inbox=0`
	if got := output.String(); !strings.Contains(got, want) {
		t.Errorf("got log output %q, want it to contain %q", got, want)
	}
}
