package reconciler

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/autoscaler"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// lead makes the core of a leader for a small deployment.
func lead(now time.Time, snap *Snapshot) *Core {
	types := []model.MachineType{{Name: "eight", Capacity: model.Resources{CPU: 8, MemGB: 64}, BootTime: 5 * time.Second}}
	set := Settings{Member: "tiller-0",
		Teams:  []model.Team{{Name: "red", Guarantee: model.Resources{CPU: 10}, Quota: model.NewQuota(100, 0)}},
		Aims:   map[string][]Aim{"last": {{Times: 1}, {Times: 1.5}}},
		Report: 2 * time.Second, Lease: 12 * time.Second, LeaseMargin: 500 * time.Millisecond, SilentAfter: 7 * time.Second, TxnOps: 12,
		BackoffMost: time.Minute, Sched: scheduler.Settings{IdleShare: 0.7}, Fleet: autoscaler.Settings{KeepIdle: time.Hour, BootFactor: 100}}
	return New(now, set, 1, snap, types, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// Guards against a task that was started twice after a long outage of the state
// service: the answer to a command showed a worker's new session, a task was started
// in it, and then the deadline of the session before was taken for the new one's. Only a machine that has
// reported lately gets work, so the answer comes soon after the last report here.
func TestANewSessionHasALeaseOfItsOwn(t *testing.T) {
	now := time.Unix(1000, 0)
	c := lead(now, &Snapshot{})
	step := func(after time.Duration, ev Event) []Effect {
		now = now.Add(after)
		return append([]Effect(nil), c.Step(now, ev)...)
	}
	report := func(session, seq uint64) *model.Heartbeat {
		return &model.Heartbeat{Machine: "n-1", Addr: "n-1", Type: "eight", Zone: "a", Epoch: session, Seq: seq, FencingToken: 1}
	}
	for _, e := range step(0, ReportIn{Report: report(1, 1)}) {
		if s, ok := e.(Commit); ok {
			step(0, SaveBack{Saves: s.Saves, Outcome: OK})
		}
	}
	step(time.Second, ReportIn{Report: report(1, 2)}) // the last report that is answered
	step(time.Second, JobAdded{Version: 9, At: now, Spec: &model.Spec{ID: "wk-1", Team: "red", Shape: model.Array, Priority: model.PriorityNormal, Tasks: 1,
		Demand: model.Resources{CPU: 4, MemGB: 8}, EstimatedRunTime: time.Minute}})
	launches := func(effects []Effect) (n int) {
		for _, e := range effects {
			if cmd, ok := e.(Command); ok && len(cmd.Orders) > 0 && cmd.Orders[0].Op == model.OpLaunch {
				n++
			}
		}
		return n
	}
	// The launch hangs; its answer shows that the worker has begun a new session.
	first := step(500*time.Millisecond, CommandBack{Machine: "n-1", Session: 1, Outcome: Refused, Report: report(2, 1)})
	if n := launches(first) + launches(step(100*time.Millisecond, Tick{})); n != 1 {
		t.Fatalf("started %d times in the new session", n)
	}
	for range 48 { // past the deadline of the old session, which is 12.5 s after its last report
		if n := launches(step(250*time.Millisecond, Tick{})); n != 0 {
			t.Fatal("started once more")
		}
	}
	if m := c.machines["n-1"]; m.ActiveCount != 1 || m.DeadSession != 1 {
		t.Errorf("holding %d, sessions up to %d count as over", m.ActiveCount, m.DeadSession)
	}
}
