package controller

import (
	"time"

	"github.com/glentiller/glentiller/internal/effects"
	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/record"
)

// stepReconciler passes an event to the reconciler and starts the effects that the reconciler returns. It also
// returns these effects, for callers that build a response from them. If this controller has no reconciler, the
// event is dropped and the result is nil.
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

// runSchedulingPass passes a Tick to the reconciler, which runs a scheduling pass if one is due.
func (c *Controller) runSchedulingPass(now time.Time) {
	c.stepReconciler(now, reconciler.Tick{})
	elapsed := time.Since(now)
	if c.reconciler != nil && c.reconciler.ObserveStepDuration(elapsed) && elapsed > longPassThreshold {
		c.log.Debug("slow scheduling pass", "took", elapsed)
	}
}

// leaderTerm is the term in which the reconciler returned an effect. Its methods perform effects outside the
// event loop and post the results to the loop as events.
type leaderTerm struct {
	*Controller
	termNumber   uint64 // the controller's term when the effect was returned
	fencingToken uint64 // the fencing token of this term
	tokenVersion uint64 // the version of the fencing token's record at the state service
}

// perform starts an effect. It ignores HeartbeatResponse, which the caller of stepReconciler handles.
func (c *Controller) perform(effect reconciler.Effect) {
	lease := c.lease.load()
	if lease == nil {
		return
	}
	t := &leaderTerm{Controller: c, termNumber: c.term, fencingToken: lease.fencingToken, tokenVersion: lease.tokenVersion}
	switch effect.(type) {
	case reconciler.HeartbeatResponse:
	case reconciler.Fence:
		t.tasks.spawn(t.fence)
	default:
		cloned := cloneSlices(effect)
		t.tasks.spawn(func() { t.complete(t.execute(cloned)) })
	}
}

// cloneSlices returns an effect that shares no slice that the reconciler may write to while the effect is
// performed.
func cloneSlices(effect reconciler.Effect) reconciler.Effect {
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

// execute performs an effect and returns the event with its result.
func (t *leaderTerm) execute(effect reconciler.Effect) reconciler.Event {
	return t.executor().Execute(t.tasks.ctx, effect)
}

// executor returns an executor for the effects of this term. It checks the lease immediately before it sends a
// request that needs one.
func (t *leaderTerm) executor() *effects.Executor {
	return &effects.Executor{
		Leadership: effects.Leadership{
			Member:       t.platform.Member,
			FencingToken: t.fencingToken,
			TokenVersion: t.tokenVersion,
			MayAct:       t.mayAct,
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

// mayAct reports whether the lease of this term is valid now.
func (t *leaderTerm) mayAct() bool { return t.lease.holds(t.fencingToken) }

// mayProvision reports whether machines may be provisioned or released now. They may not while the leadership is
// held by votes only, because the state service could not record the change.
func (t *leaderTerm) mayProvision() bool {
	if !t.mayAct() {
		return false
	}
	lease := t.lease.load()
	return lease != nil && !lease.heldByVotesOnly(time.Now())
}

// complete passes the result of an effect to the reconciler, unless the term has changed in the meantime.
func (t *leaderTerm) complete(ev reconciler.Event) {
	t.loop.post(func(now time.Time) {
		if t.term == t.termNumber {
			t.stepReconciler(now, ev)
		}
	})
}

// fence invalidates all transactions that have not been answered yet by rewriting the fencing token's record.
// The election receives the new version of that record before the reconciler receives the result.
func (t *leaderTerm) fence() {
	result := t.executor().Fence(t.tasks.ctx)
	switch result.Outcome {
	case reconciler.OutcomeRefused: // another leader has taken over, and the executor has reported it to the election
	case reconciler.OutcomeOK:
		t.log.Info("unanswered transactions invalidated", "fencing_token", t.fencingToken, "version", result.TokenVersion)
		t.loop.post(func(now time.Time) {
			if t.term == t.termNumber {
				t.stepElection(now, election.TokenRewritten{FencingToken: t.fencingToken, TokenVersion: result.TokenVersion})
				t.stepReconciler(now, reconciler.FenceCompleted{Outcome: reconciler.OutcomeOK})
			}
		})
	default:
		t.complete(reconciler.FenceCompleted{Outcome: result.Outcome})
	}
}
