package fake

import (
	"context"
	"strings"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

// jobAnswers summarizes the answers that users have received about one job. In a World each request is answered at
// once, so the answers are in the order of the requests. An accepted job stays known, and a final state never changes,
// so an answer that contradicts an earlier one is stale.
type jobAnswers struct {
	answeredBy      string        // the member that gave the latest answer, or the first one with a final state
	finalState      wire.JobState // wire.StateUnknown until an answer has a final state
	cancelRequested bool          // whether the user has asked to cancel the job
}

// userPolls controls how the users of a World poll the controllers for the states of their jobs.
type userPolls struct {
	PollOnCommit  bool // users poll every controller for a job whenever a transaction changes its record
	StaleReads    bool // an injected fault: members answer from the job records that they have read last
	AnsweredPolls int  // number of polls that were answered, except from stale records under StaleReads
	polling       bool // whether a poll for PollOnCommit is in progress
}

// recordAnswer records the state that a member has answered a user about a job, and checks it against all earlier
// answers about the job.
func (e *Environment) recordAnswer(member, id string, state wire.JobState) {
	history := e.answers[id]
	if history == nil {
		if state == wire.StateUnknown {
			return
		}
		history = &jobAnswers{}
		e.answers[id] = history
	}
	lastMember, finalState := history.answeredBy, history.finalState
	switch {
	case state == wire.StateUnknown:
		e.recordViolation("forgotten: %s answered that %s is unknown, but %s had answered that it is known",
			member, id, lastMember)
	case finalState != wire.StateUnknown && state != finalState:
		e.recordViolation("went_back: %s answered that %s is %v, but %s had answered that it is %v",
			member, id, state, lastMember, finalState)
	case state == wire.StateCancelled && !e.cancelRequested(id):
		e.recordViolation("went_back: %s answered that %s is cancelled, but no user has asked to cancel it or a dependency",
			member, id)
	case state == wire.StateDone && !e.mayBeDone(id):
		e.recordViolation("not_done: %s answered that %s is done, but its tasks have not completed", member, id)
	}
	if state == wire.StateUnknown || finalState != wire.StateUnknown {
		return
	}
	history.answeredBy = member
	if state.Ended() {
		history.finalState = state
	}
}

// mayBeDone reports whether a controller may answer that a job is done: all tasks of the job have completed, or at
// least one task if the job is a gang.
func (e *Environment) mayBeDone(id string) bool {
	return e.AllCompleted(id) || e.Specs[id].Shape == model.Gang && e.anyCompleted(id)
}

// recordCancelRequest records that a user has asked to cancel a job. It ignores a job about which no user has been
// answered yet.
func (e *Environment) recordCancelRequest(id string) {
	if history := e.answers[id]; history != nil {
		history.cancelRequested = true
	}
}

// cancelRequested reports whether a user has asked to cancel a job or another one that it depends on, directly or
// indirectly.
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

// Poll asks a controller for the state of a job, as a user does, and checks the answer. The error is that of the
// controller's lookup.
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

// PollAll polls all controllers that are up and not frozen for the state of a job. No time passes between the polls.
func (w *World) PollAll(id string) {
	for _, c := range w.Controllers {
		if c.Up && !c.Frozen {
			_, _ = w.Poll(c, id) // it is no violation if a controller cannot answer
		}
	}
}

// pollCommitted polls every controller for the jobs whose records a transaction has changed, if PollOnCommit is set. It
// is called as soon as the state service has applied the transaction: before the sender learns the outcome, and even if
// the sender never learns it.
func (w *World) pollCommitted(ops []Operation) {
	if !w.PollOnCommit || w.polling {
		return
	}
	w.polling = true // a transaction that results from a poll triggers no further polls
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
