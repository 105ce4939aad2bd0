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

// newTestLeader makes the core of a leader for a small deployment.
func newTestLeader(now time.Time, snap *Snapshot) *Core {
	types := []model.MachineType{{Name: "eight", Capacity: model.Resources{CPU: 8, MemGB: 64}, BootTime: 5 * time.Second}}
	set := Settings{Member: "tiller-0",
		Teams:             []model.Team{{Name: "red", Guarantee: model.Resources{CPU: 10}, Quota: model.NewQuota(100, 0)}},
		Objectives:        map[string][]Objective{"last": {{DeadlineMultiple: 1}, {DeadlineMultiple: 1.5}}},
		HeartbeatInterval: 2 * time.Second, WorkerLease: 12 * time.Second, LeaseMargin: 500 * time.Millisecond, UnresponsiveAfter: 7 * time.Second, MaxTxnOps: 12,
		MaxBackoff: time.Minute, Scheduler: scheduler.Settings{IdlePowerFraction: 0.7}, Autoscaler: autoscaler.Settings{IdleTimeout: time.Hour, BootTimeoutFactor: 100}}
	return New(now, set, 1, snap, types, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// Guards against a task that was started twice after a long outage of the state
// service: the answer to a command showed a worker's new session, a task was started
// in it, and then the deadline of the session before was taken for the new one's. Only a machine that has
// reported lately gets work, so the answer comes soon after the last report here.
func TestNewEpochHasItsOwnLease(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestLeader(now, &Snapshot{})
	step := func(after time.Duration, ev Event) []Effect {
		now = now.Add(after)
		return append([]Effect(nil), c.Step(now, ev)...)
	}
	report := func(session, seq uint64) *model.Heartbeat {
		return &model.Heartbeat{Machine: "n-1", Addr: "n-1", Type: "eight", Zone: "a", Epoch: session, Seq: seq, FencingToken: 1}
	}
	for _, e := range step(0, HeartbeatReceived{Heartbeat: report(1, 1)}) {
		if s, ok := e.(Commit); ok {
			step(0, CommitCompleted{Changes: s.Changes, Outcome: OK})
		}
	}
	step(time.Second, HeartbeatReceived{Heartbeat: report(1, 2)}) // the last report that is answered
	step(time.Second, JobAdded{Version: 9, SubmittedAt: now, Spec: &model.Spec{ID: "wk-1", Team: "red", Shape: model.Array, Priority: model.PriorityNormal, Tasks: 1,
		Demand: model.Resources{CPU: 4, MemGB: 8}, EstimatedRunTime: time.Minute}})
	launches := func(effects []Effect) (n int) {
		for _, e := range effects {
			if cmd, ok := e.(SendCommands); ok && len(cmd.Commands) > 0 && cmd.Commands[0].Op == model.OpLaunch {
				n++
			}
		}
		return n
	}
	// The launch hangs; its answer shows that the worker has begun a new session.
	first := step(500*time.Millisecond, CommandCompleted{Machine: "n-1", Epoch: 1, Outcome: Refused, Heartbeat: report(2, 1)})
	if n := launches(first) + launches(step(100*time.Millisecond, Tick{})); n != 1 {
		t.Fatalf("started %d times in the new session", n)
	}
	for range 48 { // past the deadline of the old session, which is 12.5 s after its last report
		if n := launches(step(250*time.Millisecond, Tick{})); n != 0 {
			t.Fatal("started once more")
		}
	}
	if m := c.machines["n-1"]; m.ActiveCount != 1 || m.ExpiredEpoch != 1 {
		t.Errorf("holding %d, sessions up to %d count as over", m.ActiveCount, m.ExpiredEpoch)
	}
}
