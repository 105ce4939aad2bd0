package controller

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/glentiller/glentiller/internal/admin"
	"github.com/glentiller/glentiller/internal/peer/peerpb"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/wire"
)

// Controller provides the operators' interface with everything that is not in the ledger's records.
var _ admin.Controller = (*Controller)(nil)

// ErrNoLeader is returned if a request has to be answered by the leader and no leader is reachable.
var ErrNoLeader = errors.New("no leader is within reach") // the text is sent to operators in HTTP response bodies

// explainTimeout bounds the time to answer a request for an explanation.
const explainTimeout = 3 * time.Second

// Explain returns a JSON document that says why a job's tasks are waiting. The document is empty if no
// unfinished job has the ID. A controller that does not lead asks the leader, and returns ErrNoLeader if it
// knows none or if the controller that it asked does not lead.
func (c *Controller) Explain(ctx context.Context, id string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	if answer := c.explainLocally(ctx, id); answer.GetAct() {
		return answer.GetBody(), nil
	}
	leader := c.peers[c.leader.current()]
	if leader == nil {
		return nil, ErrNoLeader
	}
	answer, err := leader.Explain(ctx, &peerpb.Ask{Explain: id})
	if err == nil && !answer.GetAct() {
		err = ErrNoLeader
	}
	return answer.GetBody(), err
}

// explainLocally answers the request if this controller leads. Otherwise it returns nil or an answer without
// Act.
func (c *Controller) explainLocally(ctx context.Context, id string) *peerpb.AskAnswer {
	if !c.lease.valid() {
		return nil
	}
	answer, err := runInLoop(ctx, c.loop.inbox, func(now time.Time) *peerpb.AskAnswer {
		return c.explainInLoop(ctx, now, id)
	})
	if err != nil {
		return nil
	}
	return answer
}

func (c *Controller) explainInLoop(ctx context.Context, now time.Time, id string) *peerpb.AskAnswer {
	answer := &peerpb.AskAnswer{}
	var explanation *reconciler.Explanation
	if c.reconciler != nil && ctx.Err() == nil {
		answer.Act, explanation = true, c.reconciler.Explain(now, id)
	}
	if explanation == nil {
		return answer
	}
	var err error
	if answer.Body, err = json.Marshal(explanation); err != nil {
		answer.Act = false
		c.log.Error("encoding the explanation of a job failed", "id", id, "err", err)
	}
	return answer
}

// JobState returns the state of a job according to the job records.
func (c *Controller) JobState(ctx context.Context, id string) (wire.JobState, error) {
	view, err := c.jobs.Lookup(ctx, id)
	return view.State, err
}

// HandleExplain answers a request for an explanation that another controller has forwarded.
func (h peerHandler) HandleExplain(ctx context.Context, request *peerpb.Ask) *peerpb.AskAnswer {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	if answer := h.controller.explainLocally(ctx, request.GetExplain()); answer != nil {
		return answer
	}
	return &peerpb.AskAnswer{}
}
