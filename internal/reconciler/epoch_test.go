package reconciler

import (
	"slices"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
)

// A task was once started twice after a long outage of the state service: the answer to a command showed a worker's
// new epoch, a task was started in it, and then the expiry of the former epoch's lease was taken for the new one's.
// Only a machine that has sent a heartbeat lately gets tasks, so the answer comes soon after the last heartbeat here.
func TestNewEpochHasItsOwnLease(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestLeader(now, &record.Snapshot{})
	step := func(after time.Duration, event Event) []Effect {
		now = now.Add(after)
		return slices.Clone(c.Step(now, event))
	}
	for _, effect := range step(0, HeartbeatReceived{Heartbeat: heartbeatOf("n-1", 1, 1, 1)}) {
		if commit, ok := effect.(Commit); ok {
			step(0, CommitCompleted{Changes: commit.Changes, Outcome: OK})
		}
	}
	step(time.Second, HeartbeatReceived{Heartbeat: heartbeatOf("n-1", 1, 2, 1)}) // the last one that is answered
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
	// The launch hangs; its answer shows that the worker has begun a new epoch.
	first := step(500*time.Millisecond, CommandCompleted{
		Machine: "n-1", Epoch: 1, Outcome: Refused, Heartbeat: heartbeatOf("n-1", 2, 1, 1),
	})
	if got := launches(first) + launches(step(100*time.Millisecond, Tick{})); got != 1 {
		t.Fatalf("got %d launches in the new epoch, want 1", got)
	}
	for range 48 { // past the expiry of the former lease, which is 12.5 s after its last heartbeat
		if got := launches(step(250*time.Millisecond, Tick{})); got != 0 {
			t.Fatalf("got %d more launches, want none", got)
		}
	}
	if m := c.machines["n-1"]; m.ActiveCount != 1 || m.ExpiredEpoch != 1 {
		t.Errorf("got %d attempts, expired epoch %d; want 1, 1", m.ActiveCount, m.ExpiredEpoch)
	}
}
