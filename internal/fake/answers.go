package fake

import (
	"context"
	"strings"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

// jobAnswers is what users were told of one job, in the order of the answers. Here each question is answered
// within a moment, so an answer is older than another one if it comes after it and says less: an accepted
// job stays known, and an end stays as it is.
type jobAnswers struct {
	answeredBy      string // who gave the last answer that counts
	finalState      wire.JobState
	cancelRequested bool // its user has asked to cancel it
}

// recordAnswer holds what a member has told a user of a job against all that was told before.
func (w *Site) recordAnswer(by, id string, s wire.JobState) {
	h := w.answers[id]
	if h == nil {
		if s == wire.StateUnknown {
			return
		}
		h = &jobAnswers{}
		w.answers[id] = h
	}
	spec := w.Specs[id]
	switch {
	case s == wire.StateUnknown:
		w.violated("forgotten: %s says that %s is not known, %s knew it", by, id, h.answeredBy)
	case h.finalState != wire.StateUnknown && s != h.finalState:
		w.violated("went_back: %s says that %s is %v, %s said %v", by, id, s, h.answeredBy, h.finalState)
	case s == wire.StateCancelled && !w.cancelRequested(id):
		w.violated("went_back: %s says that %s is cancelled, which nobody has asked for", by, id)
	case s == wire.StateDone && !w.AllCompleted(id) && (spec.Shape != model.Gang || !w.anyCompleted(id)):
		w.violated("not_done: %s says that %s is done", by, id)
	}
	if s == wire.StateUnknown || h.finalState != wire.StateUnknown {
		return
	}
	h.answeredBy = by
	if s.Ended() {
		h.finalState = s
	}
}

func (w *Site) cancelRequested(id string) bool {
	if h := w.answers[id]; h != nil && h.cancelRequested {
		return true
	}
	for _, need := range w.Dependencies[id] {
		if w.cancelRequested(need) {
			return true
		}
	}
	return false
}

func (w *Site) anyCompleted(id string) bool {
	for i := range w.Specs[id].Tasks {
		if w.Completed[model.TaskID{Job: id, Index: i}] {
			return true
		}
	}
	return false
}

// Poll has a user ask a controller about a job.
func (w *World) Poll(c *Controller, id string) (wire.JobState, error) {
	if v := c.Jobs.Peek(id); w.StaleReads && v.State != wire.StateUnknown {
		w.recordAnswer(c.Member, id, v.State)
		return v.State, nil
	}
	v, err := c.Jobs.Lookup(context.Background(), id)
	if err == nil {
		w.AnsweredPolls++
		w.recordAnswer(c.Member, id, v.State)
	}
	return v.State, err
}

// pollCommitted has users ask every controller about the jobs of a transaction at the moment at which it is carried out: before
// whoever has sent it knows, and whether it ever learns of it.
func (w *World) pollCommitted(ops []any) {
	if !w.PollOnCommit || w.polling {
		return
	}
	w.polling = true // what a look has written itself, nobody looks at
	defer func() { w.polling = false }()
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
				w.PollAll(id)
			}
		}
	}
}

// PollAll has users ask all controllers about a job, one right after the other.
func (w *World) PollAll(id string) {
	for _, c := range w.Controllers {
		if c.Up && !c.Frozen {
			_, _ = w.Poll(c, id) // no answer is one too
		}
	}
}
