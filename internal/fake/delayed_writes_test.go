package fake

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

// heldWrites are transactions that were held back without an answer.
type heldWrites struct{ bodies [][]byte }

// hold holds back the next transactions, up to a number, that write a key with a prefix.
func (h *heldWrites) hold(w *World, prefix string, most int) {
	w.InterceptCommit = func(c *Controller, body []byte) (bool, error) {
		for _, op := range TransactionOps(body) {
			if len(h.bodies) < most && strings.HasPrefix(op.Write, prefix) {
				h.bodies = append(h.bodies, append([]byte(nil), body...))
				return true, context.DeadlineExceeded
			}
		}
		return false, nil
	}
}

// deliver has all of them carried out.
func (h *heldWrites) deliver(w *World) {
	for _, body := range h.bodies {
		_, _ = w.State.Call("POST", "/commit", body, second) // its conditions may fail
	}
	h.bodies = nil
}

// The tasks of a job end far apart. The record of the first end is carried out after that of the second, and then the
// leader changes: no task that is done runs again.
func TestDelayedTaskRecordDoesNotOverwriteNewerOne(t *testing.T) {
	w := newVotingMembers(t, 3, 4)
	w.RunTimeOf = func(id model.TaskID) time.Duration { return [...]time.Duration{4, 24, 200}[id.Index] * second }
	spec := newJob(model.Array, 3, nil)
	var held heldWrites
	held.hold(w, "tasks/", 1)
	submitJob(t, w, spec)
	waitUntil(t, w, 120*second, "the second task is done and forgotten", func() bool {
		n := 0
		for _, worker := range w.Workers {
			for key := range worker.Tasks {
				if key.Task.Job == spec.ID {
					n++
				}
			}
		}
		return len(held.bodies) > 0 && w.Completed[model.TaskID{Job: spec.ID, Index: 1}] && n == 1
	})
	held.deliver(w)
	w.Leader().Crash()
	waitUntil(t, w, 300*second, "done", func() bool {
		for _, c := range w.Controllers {
			if c.Up {
				return refreshedState(t, c, spec.ID) == wire.StateDone
			}
		}
		return false
	})
	if n := startCount(w, spec); n != 3 {
		t.Errorf("starts of three tasks: got %d, want 3", n)
	}
}

// A record of a machine is carried out after the machine was released: it does not come into being.
func TestDelayedMachineRecordDoesNotReviveReleasedMachine(t *testing.T) {
	w := newVotingMembers(t, 3, 2)
	w.RunTime = 5 * second
	var held heldWrites
	held.hold(w, "machine/", 1)
	spec := newJob(model.Array, 16, nil)
	submitJob(t, w, spec)
	waitUntil(t, w, 120*second, "done", jobDone(t, w, spec))
	w.Advance(120 * second) // the machines are released
	before := len(w.State.Keys("machine/"))
	if held.bodies == nil {
		t.Fatal("no record of a machine was held back")
	}
	held.deliver(w)
	if n := len(w.State.Keys("machine/")); n != before {
		t.Errorf("machines on record: got %d, want %d", n, before)
	}
}

// The fence itself is not answered, or carried out late, while other members look for a leader.
func TestUnansweredFenceKeepsLeaderAndStartsTasksOnce(t *testing.T) {
	for _, at := range []string{"sent and carried out", "sent and held", "lost"} {
		t.Run(at, func(t *testing.T) {
			w := newVotingMembers(t, 3, 4)
			w.RunTimeOf = func(id model.TaskID) time.Duration { return time.Duration(4+20*id.Index) * second }
			leader := w.Leader()
			var first, held heldWrites
			first.hold(w, "tasks/", 1)
			saves, fences := w.InterceptCommit, 0
			w.InterceptCommit = func(c *Controller, body []byte) (bool, error) {
				for _, op := range TransactionOps(body) {
					if op.Write == "leader/token" && c == leader && fences < 3 {
						fences++
						switch at {
						case "sent and carried out":
							_, _ = w.State.Call("POST", "/commit", body, second)
						case "sent and held":
							held.bodies = append(held.bodies, append([]byte(nil), body...))
						}
						return true, context.DeadlineExceeded
					}
				}
				return saves(c, body)
			}
			spec := newJob(model.Array, 3, nil)
			submitJob(t, w, spec)
			waitUntil(t, w, 30*second, "a fence was sent", func() bool { return fences > 0 })
			w.Advance(2 * second)
			held.deliver(w)
			first.deliver(w)
			waitUntil(t, w, 120*second, "done", jobDone(t, w, spec))
			if w.Leader() != leader || startCount(w, spec) != 3 {
				t.Errorf("leads: %v; %d starts", w.Leader() == leader, startCount(w, spec))
			}
		})
	}
}
