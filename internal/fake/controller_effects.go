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

// heartbeatAnswer is what a worker is answered.
type heartbeatAnswer struct {
	token    uint64
	commands []model.Command
}

// completion hands the outcome of an effect to the reconciler that wanted it.
type completion func(reconciler.Event)

// handleHeartbeat takes a worker's heartbeat, directly or relayed. It is false where the controller does not answer.
func (c *Controller) handleHeartbeat(heartbeat *model.Heartbeat, relayed bool) (heartbeatAnswer, bool) {
	if !c.Leads() || c.WorkersUnreachable || c.Frozen {
		return heartbeatAnswer{}, false
	}
	answer, ok := heartbeatAnswer{token: c.fencingToken}, true
	for _, effect := range c.stepReconciler(reconciler.HeartbeatReceived{Heartbeat: heartbeat, Relayed: relayed}) {
		if response, is := effect.(reconciler.HeartbeatResponse); is {
			answer.commands, ok = response.Commands, !response.Refused
		}
	}
	return answer, ok
}

// stepReconciler hands an event to the reconciler and carries out the effects.
func (c *Controller) stepReconciler(event reconciler.Event) []reconciler.Effect {
	if c.Reconciler == nil {
		return nil
	}
	c.observe(event)
	requested := append([]reconciler.Effect(nil), c.Reconciler.Step(c.world.now, event)...)
	complete := c.completionFor(c.Reconciler)
	for _, effect := range requested {
		c.execute(effect, complete)
	}
	return requested
}

// observe tells the observer of a heartbeat that the reconciler takes.
func (c *Controller) observe(event reconciler.Event) {
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

// completionFor hands outcomes to a reconciler for as long as the controller leads with it. Answers of the state
// service may be delayed.
func (c *Controller) completionFor(core *reconciler.Core) completion {
	return func(event reconciler.Event) {
		deliver := func() {
			if c.Reconciler == core {
				c.stepReconciler(event)
			}
		}
		switch event.(type) {
		case reconciler.CommitCompleted, reconciler.FenceCompleted:
			c.onStateReply(deliver)
		default:
			c.deferred = append(c.deferred, deliver)
		}
	}
}

// noLog takes the log records of failed requests, of which the simulations make many on purpose.
var noLog = slog.New(slog.DiscardHandler)

// executor carries out the effects of the present leadership. The simulation's network decides as a message arrives
// whether the controller may act, so nothing is checked before one leaves.
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
		State: c.stateRequests(),
		Jobs:  c.Jobs,
		Cloud: cloudRequests{c.world},
		Now:   c.world.Now,
		Log:   noLog,
	}
}

// execute carries out an effect of the reconciler.
func (c *Controller) execute(effect reconciler.Effect, complete completion) {
	ctx, executor := context.Background(), c.executor()
	switch effect := effect.(type) {
	case reconciler.HeartbeatResponse: // handleHeartbeat answers with it
	case reconciler.SendCommands:
		executor.Workers = workerRequests{c, effect.Machine}
		complete(executor.Execute(ctx, effect))
	case reconciler.Release:
		c.world.requestRelease(func() { complete(executor.Execute(ctx, effect)) })
	case reconciler.Commit:
		event := executor.Execute(ctx, effect)
		if event.(reconciler.CommitCompleted).Outcome == reconciler.Rejected {
			c.world.RejectedKeys = append(c.world.RejectedKeys, store.ChangeKeys(effect.Changes)...)
		}
		complete(event)
	case reconciler.Fence:
		c.fence(executor, complete)
	default:
		complete(executor.Execute(ctx, effect))
	}
}

// fence rewrites the token's record, so that no transaction from before is carried out any more.
func (c *Controller) fence(executor *effects.Executor, complete completion) {
	result := executor.Fence(context.Background())
	switch result.Outcome {
	case reconciler.Refused:
		return // another leader has taken over
	case reconciler.OK:
		c.tokenVersion = result.TokenVersion
		c.stepElection(election.TokenRewritten{
			FencingToken: executor.FencingToken,
			TokenVersion: result.TokenVersion,
		})
	}
	complete(reconciler.FenceCompleted{Outcome: result.Outcome})
}
