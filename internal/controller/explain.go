package controller

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/glentiller/glentiller/internal/peer/peerpb"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/wire"
)

// errNoLeader says that nobody can answer what only the leader's picture knows.
var errNoLeader = errors.New("no leader is within reach")

// explainTimeout bounds how long an explanation may take.
const explainTimeout = 3 * time.Second

// Explain says why a job's tasks wait, as JSON; empty: the job is not among the unfinished
// ones. A controller that does not lead asks the one that does.
func (n *Controller) Explain(ctx context.Context, id string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	if a := n.explainLocally(ctx, id); a.GetAct() {
		return a.GetBody(), nil
	}
	leader := n.leader.Load()
	if leader == nil || n.peers[*leader] == nil {
		return nil, errNoLeader
	}
	a, err := n.peers[*leader].Explain(ctx, &peerpb.Ask{Explain: id})
	if err == nil && !a.GetAct() {
		err = errNoLeader
	}
	return a.GetBody(), err
}

// explainLocally answers where this controller leads.
func (n *Controller) explainLocally(ctx context.Context, id string) *peerpb.AskAnswer {
	if !n.lease.Load().valid() {
		return nil
	}
	a, _ := runInLoop(ctx, n.inbox, func(now time.Time) *peerpb.AskAnswer {
		a := &peerpb.AskAnswer{}
		var e *reconciler.Explanation
		if n.reconciler != nil && ctx.Err() == nil {
			a.Act, e = true, n.reconciler.Explain(now, id)
		}
		if e != nil {
			var err error
			if a.Body, err = json.Marshal(e); err != nil {
				a.Act = false
				n.log.Error("an explanation cannot be written", "id", id, "err", err)
			}
		}
		return a
	})
	return a
}

// runInLoop has the loop, which owns the cores, work something out; it is handed over through
// one of the loop's inboxes.
func runInLoop[T any](ctx context.Context, inbox chan<- func(time.Time), f func(now time.Time) T) (out T, err error) {
	got := make(chan T, 1)
	select {
	case inbox <- func(now time.Time) { got <- f(now) }:
	case <-ctx.Done():
		return out, ctx.Err()
	}
	select {
	case out = <-got:
		return out, nil
	case <-ctx.Done():
		return out, ctx.Err()
	}
}

// JobState tells how a job stands by the state service's records.
func (n *Controller) JobState(ctx context.Context, id string) (wire.JobState, error) {
	v, err := n.jobs.Lookup(ctx, id)
	return v.State, err
}

// HandleExplain answers an operator's question that another controller hands over.
func (h peerHandler) HandleExplain(ctx context.Context, q *peerpb.Ask) *peerpb.AskAnswer {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	if a := h.controller.explainLocally(ctx, q.GetExplain()); a != nil {
		return a
	}
	return &peerpb.AskAnswer{}
}
