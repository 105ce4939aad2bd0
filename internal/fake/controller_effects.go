package fake

import (
	"context"
	"log/slog"

	"github.com/glentiller/glentiller/internal/effects"
	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/store"
)

// heartbeatResponse is a controller's response to a worker's heartbeat.
type heartbeatResponse struct {
	fencingToken uint64
	commands     []model.Command
}

// completion passes the outcome of an effect to the reconciler that requested the effect.
type completion func(reconciler.Event)

// handleHeartbeat processes a heartbeat that a worker has sent or another controller has relayed. The second result is
// false if the controller does not answer it.
func (c *Controller) handleHeartbeat(heartbeat *model.Heartbeat, relayed bool) (heartbeatResponse, bool) {
	if !c.Leads() || c.WorkersUnreachable || c.Frozen {
		return heartbeatResponse{}, false
	}
	result, ok := heartbeatResponse{fencingToken: c.fencingToken}, true
	for _, effect := range c.stepReconciler(reconciler.HeartbeatReceived{Heartbeat: heartbeat, Relayed: relayed}) {
		if response, isResponse := effect.(reconciler.HeartbeatResponse); isResponse {
			result.commands, ok = response.Commands, !response.Refused
		}
	}
	return result, ok
}

// stepReconciler passes an event to the reconciler, executes the effects and returns them. It does nothing if the
// controller has no reconciler.
func (c *Controller) stepReconciler(event reconciler.Event) []reconciler.Effect {
	if c.Reconciler == nil {
		return nil
	}
	c.notifyObserver(event)
	requested := append([]reconciler.Effect(nil), c.Reconciler.Step(c.world.now, event)...)
	complete := c.completionFor(c.Reconciler)
	for _, effect := range requested {
		c.execute(effect, complete)
	}
	return requested
}

// notifyObserver notifies the observer, if any, of a heartbeat that is about to be passed to the reconciler.
func (c *Controller) notifyObserver(event reconciler.Event) {
	if c.world.Observer == nil {
		return
	}
	switch event := event.(type) {
	case reconciler.HeartbeatReceived:
		c.world.Observer.HeartbeatAccepted(c, c.fencingToken, event.Heartbeat)
	case reconciler.CommandCompleted:
		if event.Heartbeat != nil {
			c.world.Observer.HeartbeatAccepted(c, c.fencingToken, event.Heartbeat)
		}
	}
}

// completionFor returns the function that passes outcomes to a reconciler. Outcomes that arrive when the controller no
// longer leads with that reconciler are dropped. The state service may delay the outcomes of requests to it.
func (c *Controller) completionFor(core *reconciler.Core) completion {
	return func(event reconciler.Event) {
		deliver := func() {
			if c.Reconciler == core {
				c.stepReconciler(event)
			}
		}
		switch event.(type) {
		case reconciler.CommitCompleted, reconciler.FenceCompleted:
			c.scheduleStateReply(deliver)
		default:
			c.deferred = append(c.deferred, deliver)
		}
	}
}

// discardLog discards the log records of failed requests, since the simulations let many requests fail on purpose.
var discardLog = slog.New(slog.DiscardHandler)

// executor returns the executor for the effects of the current leadership. The executor sends messages without checking
// whether the controller may act, since the fake network checks that when a message arrives.
func (c *Controller) executor() *effects.Executor {
	always := func() bool { return true }
	return &effects.Executor{
		Leadership: effects.Leadership{
			Member:       c.Member,
			FencingToken: c.fencingToken,
			TokenVersion: c.tokenVersion,
			MayAct:       always,
			MayProvision: always,
			ReportFenced: func(event election.Fenced) { c.stepElection(event) },
		},
		State: c.stateClient(),
		Jobs:  c.Jobs,
		Cloud: cloudClient{c.world},
		Now:   c.world.Now,
		Log:   discardLog,
	}
}

// execute executes an effect of the reconciler and passes its outcome to complete.
func (c *Controller) execute(effect reconciler.Effect, complete completion) {
	ctx, executor := context.Background(), c.executor()
	switch effect := effect.(type) {
	case reconciler.HeartbeatResponse: // handleHeartbeat sends it to the worker
	case reconciler.SendCommands:
		executor.Workers = workerClient{c, effect.Machine}
		complete(executor.Execute(ctx, effect))
	case reconciler.Release:
		c.world.requestRelease(func() { complete(executor.Execute(ctx, effect)) })
	case reconciler.Commit:
		event := executor.Execute(ctx, effect)
		if event.(reconciler.CommitCompleted).Outcome == reconciler.OutcomeRejected {
			c.world.RejectedKeys = append(c.world.RejectedKeys, store.ChangeKeys(effect.Changes)...)
		}
		complete(event)
	case reconciler.Fence:
		c.fence(executor, complete)
	default:
		complete(executor.Execute(ctx, effect))
	}
}

// fence rewrites the record of the fencing token, so that no transaction that was sent before can take effect later.
func (c *Controller) fence(executor *effects.Executor, complete completion) {
	result := executor.Fence(context.Background())
	switch result.Outcome {
	case reconciler.OutcomeRefused:
		return // another leader has taken over
	case reconciler.OutcomeOK:
		c.tokenVersion = result.TokenVersion
		c.stepElection(election.TokenRewritten{
			FencingToken: executor.FencingToken,
			TokenVersion: result.TokenVersion,
		})
	}
	complete(reconciler.FenceCompleted{Outcome: result.Outcome})
}
