package reconciler

import (
	"slices"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
)

// Guards against starting a task twice after its worker has begun a new epoch. The answer to a command shows the new
// epoch, and a task is started in it. If the expiry of the former epoch's lease is then taken for that of the new
// one, the task is started again elsewhere. This happened after a long outage of the state service. Tasks are placed
// only on machines that have sent a heartbeat recently, so in this test the answer follows soon after the last
// heartbeat.
func TestNewEpochHasItsOwnLease(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestLeader(now, &record.Snapshot{})
	step := func(after time.Duration, event Event) []Effect {
		now = now.Add(after)
		return slices.Clone(c.Step(now, event))
	}
	for _, effect := range step(0, HeartbeatReceived{Heartbeat: heartbeatOf("n-1", 1, 1, 1)}) {
		if commit, ok := effect.(Commit); ok {
			step(0, CommitCompleted{Changes: commit.Changes, Outcome: OutcomeOK})
		}
	}
	step(time.Second, HeartbeatReceived{Heartbeat: heartbeatOf("n-1", 1, 2, 1)}) // the last one to be answered
	step(time.Second, JobAdded{Version: 9, SubmittedAt: now, Spec: oneTask("wk-1", model.Array)})
	launches := func(effects []Effect) (count int) {
		for _, effect := range effects {
			sent, ok := effect.(SendCommands)
			if ok && len(sent.Commands) > 0 && sent.Commands[0].Op == model.OpLaunch {
				count++
			}
		}
		return count
	}
	// The launch is delayed. Its answer shows that the worker has begun a new epoch.
	first := step(500*time.Millisecond, CommandCompleted{
		Machine: "n-1", Epoch: 1, Outcome: OutcomeRefused, Heartbeat: heartbeatOf("n-1", 2, 1, 1),
	})
	if got := launches(first) + launches(step(100*time.Millisecond, Tick{})); got != 1 {
		t.Fatalf("got %d launches in the new epoch, want 1", got)
	}
	for range 48 { // until after the former lease has expired, 12.5 s after its last heartbeat
		if got := launches(step(250*time.Millisecond, Tick{})); got != 0 {
			t.Fatalf("got %d more launches, want none", got)
		}
	}
	if m := c.machines["n-1"]; m.ActiveCount != 1 || m.ExpiredEpoch != 1 {
		t.Errorf("got %d attempts, expired epoch %d; want 1, 1", m.ActiveCount, m.ExpiredEpoch)
	}
}
