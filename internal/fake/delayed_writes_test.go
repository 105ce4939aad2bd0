package fake

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

// heldWrites holds back what a leader writes to records whose keys begin in some way, without an answer.
type heldWrites struct{ bodies [][]byte }

func (l *heldWrites) hold(w *World, prefix string, most int) {
	w.InterceptCommit = func(c *Controller, body []byte) (bool, error) {
		for _, op := range TransactionOps(body) {
			if len(l.bodies) < most && strings.HasPrefix(op.Write, prefix) {
				l.bodies = append(l.bodies, append([]byte(nil), body...))
				return true, context.DeadlineExceeded
			}
		}
		return false, nil
	}
}

// deliver has all of it carried out.
func (l *heldWrites) deliver(w *World) {
	for _, body := range l.bodies {
		_, _ = w.State.Call("POST", "/commit", body, second) // refused, or not
	}
	l.bodies = nil
}

// Jobs of three tasks whose ends lie far apart: the record of the first end is carried out after that
// of the second, and then the leader changes. Nothing that was done runs again.
func TestDelayedTaskRecordDoesNotOverwriteNewerOne(t *testing.T) {
	w := newVotingMembers(t, 3, 4)
	w.RunTimeOf = func(id model.TaskID) time.Duration { return [...]time.Duration{4, 24, 200}[id.Index] * second }
	s := newJob(model.Array, 3, nil)
	var l heldWrites
	l.hold(w, "tasks/", 1)
	submitJob(t, w, s)
	waitUntil(t, w, 120*second, "the second task is done and forgotten", func() bool {
		n := 0
		for _, k := range w.Workers {
			for key := range k.Tasks {
				if key.Task.Job == s.ID {
					n++
				}
			}
		}
		return len(l.bodies) > 0 && w.Completed[model.TaskID{Job: s.ID, Index: 1}] && n == 1
	})
	l.deliver(w)
	w.Leader().Crash()
	waitUntil(t, w, 300*second, "done", func() bool {
		for _, c := range w.Controllers {
			if c.Up {
				return refreshedState(t, c, s.ID) == wire.StateDone
			}
		}
		return false
	})
	if n := startCount(w, s); n != 3 {
		t.Errorf("%d starts of three tasks", n)
	}
}

// A record of a machine that is carried out after the machine has gone back stays away.
func TestDelayedMachineRecordDoesNotReviveReleasedMachine(t *testing.T) {
	w := newVotingMembers(t, 3, 2)
	w.RunTime = 5 * second
	var l heldWrites
	l.hold(w, "machine/", 1)
	s := newJob(model.Array, 16, nil)
	submitJob(t, w, s)
	waitUntil(t, w, 120*second, "done", jobDone(t, w, s))
	w.Advance(120 * second) // what was rented goes back
	before := len(w.State.Keys("machine/"))
	if l.bodies == nil {
		t.Fatal("no record of a machine was held back")
	}
	l.deliver(w)
	if n := len(w.State.Keys("machine/")); n != before {
		t.Errorf("%d machines on record, of %d", n, before)
	}
}

// The fence itself is not answered, and carried out late, while other members look who leads.
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
			s := newJob(model.Array, 3, nil)
			submitJob(t, w, s)
			waitUntil(t, w, 30*second, "a fence was sent", func() bool { return fences > 0 })
			w.Advance(2 * second)
			held.deliver(w)
			first.deliver(w)
			waitUntil(t, w, 120*second, "done", jobDone(t, w, s))
			if w.Leader() != leader || startCount(w, s) != 3 {
				t.Errorf("leads: %v; %d starts", w.Leader() == leader, startCount(w, s))
			}
		})
	}
}
