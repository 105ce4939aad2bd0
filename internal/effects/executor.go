// Package effects performs the effects that the state machines of packages reconciler and election return, and maps
// the result of each request to the event that reports its outcome. It makes no decisions: the outcome follows from
// the client's result alone.
//
// The controller process (package controller) calls an Executor from one goroutine for each effect, with clients of
// the real services. The simulations (package fake) call it synchronously, in simulated time, with in-memory fakes.
// Both pass the returned event to the state machine themselves.
package effects

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/glentiller/glentiller/internal/connquota"
	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/record"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/worker"
)

// StateService executes transactions and reads records at the state service. *store.Client implements it.
type StateService interface {
	CommitFenced(
		ctx context.Context, tokenVersion uint64, changes []record.Change,
	) (revision uint64, ok bool, err error)
	TokenUnchanged(ctx context.Context, tokenVersion uint64) (bool, error)
	RewriteToken(
		ctx context.Context, member string, token, tokenVersion uint64,
	) (version uint64, ok bool, err error)
	Account(ctx context.Context, team string) (ledger.StoredAccount, error)
	Segments(
		ctx context.Context, team string, after uint64, limit int,
	) (segments []ledger.StoredSegment, more bool, err error)
}

// Cloud provisions and releases machines. *cloud.Client implements it.
type Cloud interface {
	// Wait blocks until the rate limit permits another request that provisions or releases machines. It returns an
	// error if ctx ends before.
	Wait(ctx context.Context) error
	Provision(request model.Provisioning) (machines []string, refused bool, err error)
	Release(machines []string) error
	ListMachines(ctx context.Context) ([]model.MachineInfo, error)
	Catalog(ctx context.Context) ([]model.MachineType, error)
}

// Workers sends commands to workers. *worker.Client implements it.
type Workers interface {
	Send(addr string, fencingToken, epoch uint64, commands []model.Command, urgent bool) worker.Reply
}

// Leadership identifies the leadership on whose behalf effects are performed.
type Leadership struct {
	Member       string // the name of this controller
	FencingToken uint64
	TokenVersion uint64 // the version of the fencing token's record, on which every transaction depends

	// MayAct reports whether this leadership is still valid and may act. It is called immediately before commands are
	// sent.
	MayAct func() bool
	// MayProvision is like MayAct, for requests that provision or release machines. It is called immediately before
	// the request is sent, after the wait for the rate limit.
	MayProvision func() bool
	// ReportFenced is called when a request shows that another leader has taken over.
	ReportFenced func(election.Fenced)
}

// Executor performs the effects of one leadership. It is safe for concurrent use if its clients and the functions of
// Leadership are.
type Executor struct {
	Leadership
	State   StateService
	Jobs    *store.JobCache
	Cloud   Cloud
	Workers Workers
	Now     func() time.Time
	Log     *slog.Logger
}

// Execute performs an effect and returns the event that reports its outcome. It returns nil for the two effects that
// it does not perform: the caller answers the heartbeat with a HeartbeatResponse, and calls Fence for a Fence.
func (x *Executor) Execute(ctx context.Context, effect reconciler.Effect) reconciler.Event {
	switch e := effect.(type) {
	case reconciler.SendCommands:
		return x.sendCommands(e)
	case reconciler.Provision:
		return x.provision(ctx, e)
	case reconciler.Release:
		return x.release(ctx, e)
	case reconciler.ListMachines:
		return x.listMachines(ctx)
	case reconciler.FetchCatalog:
		return x.fetchCatalog(ctx)
	case reconciler.LookUpJobEnds:
		return reconciler.JobEndsReceived{Ends: x.Jobs.ReadEnds(ctx, e.IDs)}
	case reconciler.Commit:
		return x.commit(ctx, e)
	case reconciler.ReadAccounts:
		return x.readAccounts(ctx, e)
	case reconciler.ReadSegments:
		return x.readSegments(ctx, e)
	}
	return nil
}

func (x *Executor) sendCommands(e reconciler.SendCommands) reconciler.CommandCompleted {
	ev := reconciler.CommandCompleted{
		Machine:  e.Machine,
		Epoch:    e.Epoch,
		Commands: e.Commands,
		Outcome:  reconciler.OutcomeNotSent,
	}
	if x.MayAct() {
		reply := x.Workers.Send(e.Addr, x.FencingToken, e.Epoch, e.Commands, e.Urgent)
		ev.Outcome, ev.Heartbeat = commandOutcome(reply), reply.Heartbeat
	}
	return ev
}

// commandOutcome maps the result of sending commands to an outcome.
func commandOutcome(reply worker.Reply) reconciler.Outcome {
	switch {
	case reply.Executed:
		return reconciler.OutcomeOK
	case errors.Is(reply.Err, connquota.ErrQuotaExhausted):
		return reconciler.OutcomeNotSent // the request never left this process, so it says nothing about the machine
	case reply.NeverExecuted:
		return reconciler.OutcomeRefused
	}
	return reconciler.OutcomeUnknown
}

func (x *Executor) provision(ctx context.Context, e reconciler.Provision) reconciler.ProvisionCompleted {
	ev := reconciler.ProvisionCompleted{Provisioning: e.Provisioning, Outcome: reconciler.OutcomeUnknown}
	if x.Cloud.Wait(ctx) != nil || !x.MayProvision() {
		return ev
	}
	machines, refused, err := x.Cloud.Provision(e.Provisioning)
	switch {
	case refused:
		ev.Outcome = reconciler.OutcomeRefused
	case err == nil:
		ev.Outcome, ev.Machines = reconciler.OutcomeOK, machines
	default:
		x.Log.Debug("provisioning request failed with unknown outcome", "request", e.Provisioning.Name, "err", err)
	}
	return ev
}

func (x *Executor) release(ctx context.Context, e reconciler.Release) reconciler.ReleaseCompleted {
	ev := reconciler.ReleaseCompleted{Machines: e.Machines, Outcome: reconciler.OutcomeUnknown}
	if x.Cloud.Wait(ctx) == nil && x.MayProvision() {
		if err := x.Cloud.Release(e.Machines); err == nil {
			ev.Outcome = reconciler.OutcomeOK
		}
	}
	return ev
}

func (x *Executor) listMachines(ctx context.Context) reconciler.MachineListReceived {
	requestedAt := x.Now()
	machines, err := x.Cloud.ListMachines(ctx)
	if err != nil {
		x.Log.Debug("listing machines failed", "err", err)
	}
	return reconciler.MachineListReceived{Machines: machines, RequestedAt: requestedAt}
}

func (x *Executor) fetchCatalog(ctx context.Context) reconciler.CatalogReceived {
	types, err := x.Cloud.Catalog(ctx)
	if err != nil {
		x.Log.Debug("reading the catalog failed", "err", err)
	}
	return reconciler.CatalogReceived{Types: types}
}

func (x *Executor) readAccounts(ctx context.Context, e reconciler.ReadAccounts) reconciler.AccountsReceived {
	accounts := map[string]ledger.StoredAccount{}
	for _, team := range e.Teams {
		account, err := x.State.Account(ctx, team)
		if err != nil {
			x.Log.Debug("reading a ledger account failed", "team", team, "err", err)
			continue
		}
		accounts[team] = account
	}
	return reconciler.AccountsReceived{Accounts: accounts}
}

func (x *Executor) readSegments(ctx context.Context, e reconciler.ReadSegments) reconciler.SegmentsReceived {
	segments, _, err := x.State.Segments(ctx, e.Team, 0, reconciler.MaxSegmentsRead)
	if err != nil {
		x.Log.Debug("reading ledger segments failed", "team", e.Team, "err", err)
	}
	return reconciler.SegmentsReceived{Team: e.Team, Segments: segments}
}
