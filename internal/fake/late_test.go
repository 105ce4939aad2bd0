package fake

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

// late holds back what a leader writes to records whose keys begin in some way, without an answer.
type late struct{ held [][]byte }

func (l *late) hold(w *World, prefix string, most int) {
	w.Net = func(c *Controller, body []byte) (error, bool) {
		for _, op := range Ops(body) {
			key, _ := op.(map[string]any)["write"].(string)
			if len(l.held) < most && strings.HasPrefix(key, prefix) {
				l.held = append(l.held, append([]byte(nil), body...))
				return context.DeadlineExceeded, true
			}
		}
		return nil, false
	}
}

// arrive has all of it carried out.
func (l *late) arrive(w *World) {
	for _, body := range l.held {
		_, _ = w.State.Call("POST", "/commit", body, second) // refused, or not
	}
	l.held = nil
}

// Jobs of three tasks whose ends lie far apart: the record of the first end is carried out after that
// of the second, and then the leader changes. Nothing that was done runs again.
func TestALateRecordOfFinishedTasksUndoesNoNewerOne(t *testing.T) {
	w := members(t, 3, 4)
	w.Runs = func(id model.TaskID) time.Duration { return [...]time.Duration{4, 24, 200}[id.Index] * second }
	s := job(model.Array, 3, nil)
	var l late
	l.hold(w, "tasks/", 1)
	submit(t, w, s)
	until(t, w, 120*second, "the second task is done and forgotten", func() bool {
		n := 0
		for _, k := range w.Workers {
			for key := range k.Tasks {
				if key.Task.Job == s.ID {
					n++
				}
			}
		}
		return len(l.held) > 0 && w.Done[model.TaskID{Job: s.ID, Index: 1}] && n == 1
	})
	l.arrive(w)
	w.Leader().Crash()
	until(t, w, 300*second, "done", func() bool {
		for _, c := range w.Controllers {
			if c.Up {
				return state(t, c, s.ID) == wire.StateDone
			}
		}
		return false
	})
	if n := starts(w, s); n != 3 {
		t.Errorf("%d starts of three tasks", n)
	}
}

// A record of a machine that is carried out after the machine has gone back stays away.
func TestALateRecordOfAMachineDoesNotBringItBack(t *testing.T) {
	w := members(t, 3, 2)
	w.Run = 5 * second
	var l late
	l.hold(w, "machine/", 1)
	s := job(model.Array, 16, nil)
	submit(t, w, s)
	until(t, w, 120*second, "done", done(t, w, s))
	w.Pass(120 * second) // what was rented goes back
	before := len(w.State.Keys("machine/"))
	if l.held == nil {
		t.Fatal("no record of a machine was held back")
	}
	l.arrive(w)
	if n := len(w.State.Keys("machine/")); n != before {
		t.Errorf("%d machines on record, of %d", n, before)
	}
}

// The fence itself is not answered, and carried out late, while other members look who leads.
func TestAFenceWithoutAnAnswer(t *testing.T) {
	for _, at := range []string{"sent and carried out", "sent and held", "lost"} {
		t.Run(at, func(t *testing.T) {
			w := members(t, 3, 4)
			w.Runs = func(id model.TaskID) time.Duration { return time.Duration(4+20*id.Index) * second }
			leader := w.Leader()
			var first, held late
			first.hold(w, "tasks/", 1)
			saves, fences := w.Net, 0
			w.Net = func(c *Controller, body []byte) (error, bool) {
				for _, op := range Ops(body) {
					if key, _ := op.(map[string]any)["write"].(string); key == "leader/token" && c == leader && fences < 3 {
						fences++
						switch at {
						case "sent and carried out":
							_, _ = w.State.Call("POST", "/commit", body, second)
						case "sent and held":
							held.held = append(held.held, append([]byte(nil), body...))
						}
						return context.DeadlineExceeded, true
					}
				}
				return saves(c, body)
			}
			s := job(model.Array, 3, nil)
			submit(t, w, s)
			until(t, w, 30*second, "a fence was sent", func() bool { return fences > 0 })
			w.Pass(2 * second)
			held.arrive(w)
			first.arrive(w)
			until(t, w, 120*second, "done", done(t, w, s))
			if w.Leader() != leader || starts(w, s) != 3 {
				t.Errorf("leads: %v; %d starts", w.Leader() == leader, starts(w, s))
			}
		})
	}
}
