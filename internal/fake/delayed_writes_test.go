package fake

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

// heldTransactions holds transactions that controllers have sent and that were neither committed nor answered.
type heldTransactions struct{ bodies [][]byte }

// hold intercepts transactions that write a key with the given prefix, until limit transactions are held. The sender
// of a held transaction gets a deadline error instead of an answer.
func (h *heldTransactions) hold(w *World, prefix string, limit int) {
	w.InterceptCommit = func(c *Controller, body []byte) (bool, error) {
		for _, op := range TransactionOps(body) {
			if len(h.bodies) < limit && strings.HasPrefix(op.Write, prefix) {
				h.bodies = append(h.bodies, append([]byte(nil), body...))
				return true, context.DeadlineExceeded
			}
		}
		return false, nil
	}
}

// deliver makes the state service process the held transactions.
func (h *heldTransactions) deliver(w *World) {
	for _, body := range h.bodies {
		_, _ = w.State.Call("POST", "/commit", body, second) // a condition may fail
	}
	h.bodies = nil
}

// The transaction that records the end of a job's first task arrives after the one for the second task, and then the
// leader crashes. The late transaction must not overwrite the newer record, or the next leader would start a
// completed task again.
func TestDelayedTaskRecordDoesNotOverwriteNewerOne(t *testing.T) {
	w := newVotingTestWorld(t, 3, 4)
	w.RunTimeOf = func(id model.TaskID) time.Duration { return [...]time.Duration{4, 24, 200}[id.Index] * second }
	spec := newJob(model.Array, 3, nil)
	var held heldTransactions
	held.hold(w, "tasks/", 1)
	submitJob(t, w, spec)
	waitUntil(t, w, 120*second, "the second task is completed and its worker has forgotten it", func() bool {
		knownTasks := 0
		for _, worker := range w.Workers {
			for key := range worker.Tasks {
				if key.Task.Job == spec.ID {
					knownTasks++
				}
			}
		}
		return len(held.bodies) > 0 && w.Completed[model.TaskID{Job: spec.ID, Index: 1}] && knownTasks == 1
	})
	held.deliver(w)
	w.Leader().Crash()
	waitUntil(t, w, 300*second, "the job is done", func() bool {
		for _, c := range w.Controllers {
			if c.Up {
				return refreshedState(t, c, spec.ID) == wire.StateDone
			}
		}
		return false
	})
	if n := startCount(w, spec); n != 3 {
		t.Errorf("launches of the job's 3 tasks: got %d, want 3", n)
	}
}

// The transaction that writes a machine's record arrives after the machine was released. It must not create the
// record again.
func TestDelayedMachineRecordDoesNotReviveReleasedMachine(t *testing.T) {
	w := newVotingTestWorld(t, 3, 2)
	w.RunTime = 5 * second
	var held heldTransactions
	held.hold(w, "machine/", 1)
	spec := newJob(model.Array, 16, nil)
	submitJob(t, w, spec)
	waitUntil(t, w, 120*second, "the job is done", jobDone(t, w, spec))
	w.Advance(120 * second) // until the idle machines are released
	before := len(w.State.Keys("machine/"))
	if held.bodies == nil {
		t.Fatal("no transaction that writes a machine's record was held")
	}
	held.deliver(w)
	if n := len(w.State.Keys("machine/")); n != before {
		t.Errorf("machine records after the late transaction: got %d, want %d", n, before)
	}
}

// A transaction that records the end of a task gets no answer. The leader therefore sends a fence: it rewrites the
// token's record, after which the unanswered transaction can no longer be committed. The fence gets no answer either;
// it may be committed, arrive late or be lost. The leader has to keep its leadership, and each task has to start only
// once.
func TestUnansweredFenceKeepsLeaderAndStartsTasksOnce(t *testing.T) {
	for _, fenceOutcome := range []string{"committed", "delayed", "lost"} {
		t.Run(fenceOutcome, func(t *testing.T) {
			w := newVotingTestWorld(t, 3, 4)
			w.RunTimeOf = func(id model.TaskID) time.Duration { return time.Duration(4+20*id.Index) * second }
			leader := w.Leader()
			var heldTaskRecords, heldFences heldTransactions
			heldTaskRecords.hold(w, "tasks/", 1)
			holdTaskRecords, interceptedFences := w.InterceptCommit, 0
			w.InterceptCommit = func(c *Controller, body []byte) (bool, error) {
				for _, op := range TransactionOps(body) {
					if op.Write == "leader/token" && c == leader && interceptedFences < 3 {
						interceptedFences++
						switch fenceOutcome {
						case "committed":
							_, _ = w.State.Call("POST", "/commit", body, second)
						case "delayed":
							heldFences.bodies = append(heldFences.bodies, append([]byte(nil), body...))
						}
						return true, context.DeadlineExceeded
					}
				}
				return holdTaskRecords(c, body)
			}
			spec := newJob(model.Array, 3, nil)
			submitJob(t, w, spec)
			waitUntil(t, w, 30*second, "a fence was sent", func() bool { return interceptedFences > 0 })
			w.Advance(2 * second)
			heldFences.deliver(w)
			heldTaskRecords.deliver(w)
			waitUntil(t, w, 120*second, "the job is done", jobDone(t, w, spec))
			if w.Leader() != leader || startCount(w, spec) != 3 {
				t.Errorf("leadership kept: got %v, want true; launches of 3 tasks: got %d, want 3",
					w.Leader() == leader, startCount(w, spec))
			}
		})
	}
}
