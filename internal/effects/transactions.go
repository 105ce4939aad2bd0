package effects

import (
	"context"
	"errors"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/store"
)

// commit executes a transaction on the condition that the record of the fencing token is unchanged.
func (x *Executor) commit(ctx context.Context, e reconciler.Commit) reconciler.CommitCompleted {
	revision, ok, err := x.State.CommitFenced(ctx, x.TokenVersion, e.Changes)
	ev := reconciler.CommitCompleted{Changes: e.Changes, Version: revision, Outcome: reconciler.OutcomeOK}
	switch {
	case errors.Is(err, store.ErrRejected):
		ev.Outcome = reconciler.OutcomeRejected
		x.Log.Error("state service rejected records", "keys", store.ChangeKeys(e.Changes), "err", err)
	case errors.Is(err, store.ErrNotExecuted):
		ev.Outcome = reconciler.OutcomeNotSent
	case err != nil:
		ev.Outcome = reconciler.OutcomeUnknown
	case !ok:
		ev.Outcome = x.refusedCommit(ctx)
	}
	return ev
}

// refusedCommit determines why the conditions of a commit failed: another leader has taken over, which it reports to
// the election, or one of the commit's own conditions did not hold.
func (x *Executor) refusedCommit(ctx context.Context) reconciler.Outcome {
	unchanged, err := x.State.TokenUnchanged(ctx, x.TokenVersion)
	if err != nil {
		return reconciler.OutcomeUnknown
	}
	if !unchanged {
		x.reportFenced()
	}
	return reconciler.OutcomeRefused
}

func (x *Executor) reportFenced() { x.ReportFenced(election.Fenced{FencingToken: x.FencingToken}) }

// FenceResult is the result of Executor.Fence.
type FenceResult struct {
	// Outcome is OutcomeOK if no transaction that was sent earlier and not answered can still be executed. It is
	// OutcomeRefused if another leader has taken over; the caller then passes no event to the reconciler. Otherwise it is
	// OutcomeUnknown.
	Outcome reconciler.Outcome
	// TokenVersion is the new version of the token's record if Outcome is OutcomeOK. The caller passes it to the election
	// before it lets the reconciler continue.
	TokenVersion uint64
}

// Fence rewrites the record of the fencing token. Unanswered transactions depend on the former version of the record,
// so none of them can be executed afterwards.
func (x *Executor) Fence(ctx context.Context) FenceResult {
	version, ok, err := x.State.RewriteToken(ctx, x.Member, x.FencingToken, x.TokenVersion)
	switch {
	case err != nil:
		x.Log.Debug("rewriting the fencing token record failed", "err", err)
		return FenceResult{Outcome: reconciler.OutcomeUnknown}
	case !ok:
		x.reportFenced()
		return FenceResult{Outcome: reconciler.OutcomeRefused}
	}
	return FenceResult{Outcome: reconciler.OutcomeOK, TokenVersion: version}
}
