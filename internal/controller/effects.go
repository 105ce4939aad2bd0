package controller

import (
	"time"

	"github.com/glentiller/glentiller/internal/effects"
	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/record"
)

// stepReconciler has the reconciler take an event, if this controller leads, and starts the effects that it
// asks for. It returns them too, for callers that answer somebody by them.
func (c *Controller) stepReconciler(now time.Time, ev reconciler.Event) []reconciler.Effect {
	if c.reconciler == nil {
		return nil
	}
	c.loop.hold.lastEvent = ev
	requested := c.reconciler.Step(now, ev)
	for _, effect := range requested {
		c.perform(effect)
	}
	return requested
}

// runPass is a scheduling pass: the reconciler's Tick.
func (c *Controller) runPass(now time.Time) {
	c.stepReconciler(now, reconciler.Tick{})
	took := time.Since(now)
	if c.reconciler != nil && c.reconciler.ObserveStepDuration(took) && took > longPassThreshold {
		c.log.Debug("long pass", "took", took)
	}
}

// leaderTerm is the leadership in which the reconciler has asked for an effect. Its methods have effects
// carried out beside the event loop and hand the result back as an event.
type leaderTerm struct {
	*Controller
	number       uint64 // the controller's term as the effect was asked for
	token        uint64 // the fencing token of that leadership
	tokenVersion uint64 // of the token's record
}

// perform starts an effect. HeartbeatResponse is none: whoever stepped the reconciler answers with it.
func (c *Controller) perform(effect reconciler.Effect) {
	lease := c.lease.load()
	if lease == nil {
		return
	}
	t := &leaderTerm{Controller: c, number: c.term, token: lease.fencingToken, tokenVersion: lease.tokenVersion}
	switch effect.(type) {
	case reconciler.HeartbeatResponse:
	case reconciler.Fence:
		t.tasks.spawn(t.fence)
	default:
		own := withOwnSlices(effect)
		t.tasks.spawn(func() { t.complete(t.execute(own)) })
	}
}

// withOwnSlices returns an effect that shares no slice with the reconciler, which may write to its own while
// the effect is carried out.
func withOwnSlices(effect reconciler.Effect) reconciler.Effect {
	switch e := effect.(type) {
	case reconciler.SendCommands:
		e.Commands = append([]model.Command(nil), e.Commands...)
		return e
	case reconciler.Release:
		e.Machines = append([]string(nil), e.Machines...)
		return e
	case reconciler.Commit:
		e.Changes = append([]record.Change(nil), e.Changes...)
		return e
	}
	return effect
}

// execute carries an effect out and returns the event that answers it.
func (t *leaderTerm) execute(effect reconciler.Effect) reconciler.Event {
	return t.executor().Execute(t.tasks.ctx, effect)
}

// executor carries out the effects of this leadership, which has to hold its lease right before a request
// leaves that needs it.
func (t *leaderTerm) executor() *effects.Executor {
	return &effects.Executor{
		Leadership: effects.Leadership{
			Member:       t.platform.Member,
			FencingToken: t.token,
			TokenVersion: t.tokenVersion,
			MayAct:       t.leading,
			MayProvision: t.mayProvision,
			ReportFenced: func(ev election.Fenced) { t.postElectionEvent(ev) },
		},
		State:   t.store,
		Jobs:    t.jobs,
		Cloud:   t.publishingCloud(),
		Workers: t.workers,
		Now:     time.Now,
		Log:     t.log,
	}
}

// leading reports whether this leadership may act now.
func (t *leaderTerm) leading() bool { return t.lease.holds(t.token) }

// mayProvision reports whether machines may be rented or released: not on votes alone, as nothing of it
// could be put on record then.
func (t *leaderTerm) mayProvision() bool {
	if !t.leading() {
		return false
	}
	lease := t.lease.load()
	return lease != nil && !lease.restsOnVotes(time.Now())
}

// complete has the reconciler of the same leadership take the result of an effect.
func (t *leaderTerm) complete(ev reconciler.Event) {
	t.loop.post(func(now time.Time) {
		if t.term == t.number {
			t.stepReconciler(now, ev)
		}
	})
}

// fence makes all transactions void that have not been answered. The election learns the new version of the
// token's record before the reconciler goes on.
func (t *leaderTerm) fence() {
	result := t.executor().Fence(t.tasks.ctx)
	switch result.Outcome {
	case reconciler.Refused: // another leader has taken over
	case reconciler.OK:
		t.log.Info("unanswered transactions fenced", "fencing_token", t.token, "version", result.TokenVersion)
		t.loop.post(func(now time.Time) {
			if t.term == t.number {
				t.stepElection(now, election.TokenRewritten{FencingToken: t.token, TokenVersion: result.TokenVersion})
				t.stepReconciler(now, reconciler.FenceCompleted{Outcome: reconciler.OK})
			}
		})
	default:
		t.complete(reconciler.FenceCompleted{Outcome: result.Outcome})
	}
}
