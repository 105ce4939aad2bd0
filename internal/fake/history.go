package fake

import (
	"context"
	"strings"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

// history is what users were told of one job, in the order of the answers. Here each question is answered
// within a moment, so an answer is older than another one if it comes after it and says less: an accepted
// job stays known, and an end stays as it is.
type history struct {
	by      string // who gave the last answer that counts
	final   wire.JobState
	askedTo bool // its user has asked to cancel it
}

// tell holds what a member has told a user of a job against all that was told before.
func (w *Site) tell(by, id string, s wire.JobState) {
	h := w.told[id]
	if h == nil {
		if s == wire.StateUnknown {
			return
		}
		h = &history{}
		w.told[id] = h
	}
	spec := w.Specs[id]
	switch {
	case s == wire.StateUnknown:
		w.broken("forgotten: %s says that %s is not known, %s knew it", by, id, h.by)
	case h.final != wire.StateUnknown && s != h.final:
		w.broken("went_back: %s says that %s is %v, %s said %v", by, id, s, h.by, h.final)
	case s == wire.StateCancelled && !w.askedToCancel(id):
		w.broken("went_back: %s says that %s is cancelled, which nobody has asked for", by, id)
	case s == wire.StateDone && !w.AllDone(id) && (spec.Shape != model.Gang || !w.anyDone(id)):
		w.broken("not_done: %s says that %s is done", by, id)
	}
	if s == wire.StateUnknown || h.final != wire.StateUnknown {
		return
	}
	h.by = by
	if s.Ended() {
		h.final = s
	}
}

func (w *Site) askedToCancel(id string) bool {
	if h := w.told[id]; h != nil && h.askedTo {
		return true
	}
	for _, need := range w.Awaits[id] {
		if w.askedToCancel(need) {
			return true
		}
	}
	return false
}

func (w *Site) anyDone(id string) bool {
	for i := range w.Specs[id].Tasks {
		if w.Done[model.TaskID{Job: id, Index: i}] {
			return true
		}
	}
	return false
}

// Ask has a user ask a controller about a job.
func (w *World) Ask(c *Controller, id string) (wire.JobState, error) {
	if v := c.Jobs.Peek(id); w.Unread && v.State != wire.StateUnknown {
		w.tell(c.Member, id, v.State)
		return v.State, nil
	}
	v, err := c.Jobs.Lookup(context.Background(), id)
	if err == nil {
		w.Asked++
		w.tell(c.Member, id, v.State)
	}
	return v.State, err
}

// look has users ask every controller about the jobs of a transaction at the moment at which it is carried out: before
// whoever has sent it knows, and whether it ever learns of it.
func (w *World) look(ops []any) {
	if !w.Looks || w.looking {
		return
	}
	w.looking = true // what a look has written itself, nobody looks at
	defer func() { w.looking = false }()
	seen := map[string]bool{}
	for _, op := range ops {
		for _, what := range []string{"write", "remove"} {
			key, _ := op.(map[string]any)[what].(string)
			id, ok := strings.CutPrefix(key, "job/a/")
			if !ok {
				id, ok = strings.CutPrefix(key, "job/e/")
			}
			if ok && !seen[id] && w.Specs[id] != nil {
				seen[id] = true
				w.AskAll(id)
			}
		}
	}
}

// AskAll has users ask all controllers about a job, one right after the other.
func (w *World) AskAll(id string) {
	for _, c := range w.Controllers {
		if c.Up && !c.Frozen {
			_, _ = w.Ask(c, id) // no answer is one too
		}
	}
}
