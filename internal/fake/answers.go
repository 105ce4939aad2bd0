package fake

import (
	"context"
	"strings"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

// jobAnswers is what users were answered about one job, in the order of the answers. In a World each question is
// answered at once, so an answer is stale if it says less than one before it: an accepted job stays known, and a final
// state stays as it is.
type jobAnswers struct {
	answeredBy      string        // the member that gave the last answer that was not stale
	finalState      wire.JobState // StateUnknown: none was answered
	cancelRequested bool          // its user has asked to cancel it
}

// polls is how users ask the controllers of a World about their jobs.
type polls struct {
	PollOnCommit  bool // users ask every controller about a job as a transaction changes its record
	StaleReads    bool // a deliberate fault: members answer from what they have read last
	AnsweredPolls int
	polling       bool // a poll of PollOnCommit is under way
}

// recordAnswer checks what a member has answered a user about a job against all answers before.
func (e *Environment) recordAnswer(member, id string, state wire.JobState) {
	history := e.answers[id]
	if history == nil {
		if state == wire.StateUnknown {
			return
		}
		history = &jobAnswers{}
		e.answers[id] = history
	}
	known, final := history.answeredBy, history.finalState
	switch {
	case state == wire.StateUnknown:
		e.violated("forgotten: %s says that %s is not known, %s knew it", member, id, known)
	case final != wire.StateUnknown && state != final:
		e.violated("went_back: %s says that %s is %v, %s said %v", member, id, state, known, final)
	case state == wire.StateCancelled && !e.cancelRequested(id):
		e.violated("went_back: %s says that %s is cancelled, which nobody has asked for", member, id)
	case state == wire.StateDone && !e.mayBeDone(id):
		e.violated("not_done: %s says that %s is done", member, id)
	}
	if state == wire.StateUnknown || final != wire.StateUnknown {
		return
	}
	history.answeredBy = member
	if state.Ended() {
		history.finalState = state
	}
}

// mayBeDone tells whether a job may be called done: all of its tasks have completed, or one of a gang's.
func (e *Environment) mayBeDone(id string) bool {
	return e.AllCompleted(id) || e.Specs[id].Shape == model.Gang && e.anyCompleted(id)
}

// recordCancelRequest notes that the user of a job asks to cancel it.
func (e *Environment) recordCancelRequest(id string) {
	if history := e.answers[id]; history != nil {
		history.cancelRequested = true
	}
}

// cancelRequested tells whether a user has asked to cancel a job or one that it depends on.
func (e *Environment) cancelRequested(id string) bool {
	if history := e.answers[id]; history != nil && history.cancelRequested {
		return true
	}
	for _, dependency := range e.Dependencies[id] {
		if e.cancelRequested(dependency) {
			return true
		}
	}
	return false
}

// Poll has a user ask a controller about a job.
func (w *World) Poll(c *Controller, id string) (wire.JobState, error) {
	if record := c.Jobs.Peek(id); w.StaleReads && record.State != wire.StateUnknown {
		w.recordAnswer(c.Member, id, record.State)
		return record.State, nil
	}
	record, err := c.Jobs.Lookup(context.Background(), id)
	if err == nil {
		w.AnsweredPolls++
		w.recordAnswer(c.Member, id, record.State)
	}
	return record.State, err
}

// PollAll has users ask all controllers about a job, one right after the other.
func (w *World) PollAll(id string) {
	for _, c := range w.Controllers {
		if c.Up && !c.Frozen {
			_, _ = w.Poll(c, id) // a controller need not answer
		}
	}
}

// pollCommitted has users ask every controller about the jobs of a transaction at the moment at which it is carried
// out: before its sender knows, and whether or not it ever learns of it.
func (w *World) pollCommitted(ops []Operation) {
	if !w.PollOnCommit || w.polling {
		return
	}
	w.polling = true // transactions that a poll causes are not polled for
	defer func() { w.polling = false }()
	seen := map[string]bool{}
	for _, op := range ops {
		for _, key := range []string{op.Write, op.Remove} {
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
