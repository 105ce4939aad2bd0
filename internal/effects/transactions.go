package effects

import (
	"context"
	"errors"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/store"
)

// commit carries out a transaction on condition that the leadership's fencing token is the last one.
func (x *Executor) commit(ctx context.Context, e reconciler.Commit) reconciler.CommitCompleted {
	revision, ok, err := x.State.CommitFenced(ctx, x.TokenVersion, e.Changes)
	ev := reconciler.CommitCompleted{Changes: e.Changes, Version: revision, Outcome: reconciler.OK}
	switch {
	case errors.Is(err, store.ErrRejected):
		ev.Outcome = reconciler.Rejected
		x.Log.Error("the state service rejects records", "keys", store.ChangeKeys(e.Changes), "err", err)
	case errors.Is(err, store.ErrNotExecuted):
		ev.Outcome = reconciler.NotSent
	case err != nil:
		ev.Outcome = reconciler.Unknown
	case !ok:
		ev.Outcome = x.refusedCommit(ctx)
	}
	return ev
}

// refusedCommit finds out whether a commit was refused since another leader has taken over, which the
// election has to know, or for one of the commit's own conditions.
func (x *Executor) refusedCommit(ctx context.Context) reconciler.Outcome {
	unchanged, err := x.State.TokenUnchanged(ctx, x.TokenVersion)
	if err != nil {
		return reconciler.Unknown
	}
	if !unchanged {
		x.reportFenced()
	}
	return reconciler.Refused
}

func (x *Executor) reportFenced() { x.ReportFenced(election.Fenced{FencingToken: x.FencingToken}) }

// FenceResult is what became of a Fence.
type FenceResult struct {
	// Outcome is OK if no transaction that was sent before will be carried out any more, and Refused if
	// another leader has taken over: nothing answers the Fence then. Otherwise it is Unknown.
	Outcome reconciler.Outcome
	// TokenVersion is the new version of the token's record, if the outcome is OK. The election has to know
	// it before the reconciler goes on.
	TokenVersion uint64
}

// Fence rewrites the record of the fencing token, after which no transaction that has not been answered can be
// carried out any more.
func (x *Executor) Fence(ctx context.Context) FenceResult {
	version, ok, err := x.State.RewriteToken(ctx, x.Member, x.FencingToken, x.TokenVersion)
	switch {
	case err != nil:
		x.Log.Debug("fencing failed", "err", err)
		return FenceResult{Outcome: reconciler.Unknown}
	case !ok:
		x.reportFenced()
		return FenceResult{Outcome: reconciler.Refused}
	}
	return FenceResult{Outcome: reconciler.OK, TokenVersion: version}
}
