package controller

import (
	"errors"
	"time"

	"github.com/glentiller/glentiller/internal/connquota"
	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/store"
)

// The leading core's effects, and the changes and answers that are handed back to it.

// stepReconciler hands an event to the core, if this controller may act.
func (n *Controller) stepReconciler(now time.Time, ev reconciler.Event) []reconciler.Effect {
	if n.reconciler == nil {
		return nil
	}
	n.lastEvent = ev
	effects := n.reconciler.Step(now, ev)
	for _, e := range effects {
		n.perform(now, e)
	}
	return effects
}

// postCompletion hands the answer to an effect to the core of the same leadership.
func (n *Controller) postCompletion(term uint64, ev reconciler.Event) {
	n.post(func(now time.Time) {
		if n.term == term {
			n.stepReconciler(now, ev)
		}
	})
}

// perform carries out one effect. Whoever needs the right to act has it checked
// right before the request leaves.
func (n *Controller) perform(now time.Time, e reconciler.Effect) {
	term, r := n.term, n.lease.Load()
	if r == nil {
		return
	}
	may := func() bool {
		cur := n.lease.Load()
		return cur != nil && cur.fencingToken == r.fencingToken && cur.valid()
	}
	switch e := e.(type) {
	case reconciler.SendCommands:
		orders := append([]model.Command(nil), e.Commands...)
		n.spawn(func() {
			ev := reconciler.CommandCompleted{Machine: e.Machine, Epoch: e.Epoch, Commands: orders, Outcome: reconciler.NotSent}
			if may() {
				reply := n.workers.Send(e.Addr, r.fencingToken, e.Epoch, orders, e.Urgent)
				ev.Heartbeat = reply.Heartbeat
				switch {
				case reply.Executed:
					ev.Outcome = reconciler.OK
				case errors.Is(reply.Err, connquota.ErrFull):
					// Nothing is known of the machine.
				case reply.NotSent:
					ev.Outcome = reconciler.Refused
				default:
					ev.Outcome = reconciler.Unknown
				}
			}
			n.postCompletion(term, ev)
		})
	case reconciler.Provision:
		n.spawn(func() {
			ev := reconciler.ProvisionCompleted{Provisioning: e.Provisioning, Outcome: reconciler.Unknown}
			if n.cloud.Wait(n.ctx) == nil && may() && n.mayProvision() {
				names, full, err := n.cloud.Provision(e.Provisioning)
				switch {
				case full:
					ev.Outcome = reconciler.Refused
				case err == nil:
					ev.Outcome, ev.Machines = reconciler.OK, names
				default:
					n.log.Debug("rental not answered", "request", e.Provisioning.Name, "err", err)
				}
			}
			n.postCompletion(term, ev)
		})
	case reconciler.Release:
		names := append([]string(nil), e.Machines...)
		n.spawn(func() {
			ev := reconciler.ReleaseCompleted{Machines: names, Outcome: reconciler.Unknown}
			if n.cloud.Wait(n.ctx) == nil && may() && n.mayProvision() {
				if err := n.cloud.Release(names); err == nil {
					ev.Outcome = reconciler.OK
				}
			}
			n.postCompletion(term, ev)
		})
	case reconciler.ListMachines:
		n.spawn(func() {
			asked := time.Now()
			list, err := n.cloud.ListMachines(n.ctx)
			if err != nil {
				n.log.Debug("machine list", "err", err)
			}
			n.postCompletion(term, reconciler.MachineListReceived{Machines: list, RequestedAt: asked})
		})
	case reconciler.FetchCatalog:
		n.spawn(func() {
			types, err := n.cloud.Catalog(n.ctx)
			if err != nil {
				n.log.Debug("catalogue", "err", err)
			} else {
				n.machineTypes.Store(&types)
			}
			n.postCompletion(term, reconciler.CatalogReceived{Types: types})
		})
	case reconciler.LookUpJobEnds:
		n.spawn(func() { n.postCompletion(term, reconciler.JobEndsReceived{Ends: n.jobs.ReadEnds(n.ctx, e.IDs)}) })
	case reconciler.Commit:
		saves := append([]reconciler.Change(nil), e.Changes...)
		n.spawn(func() {
			ev := reconciler.CommitCompleted{Changes: saves, Outcome: reconciler.OK}
			rev, ok, err := n.store.CommitFenced(n.ctx, r.tokenVersion, saves)
			ev.Version = rev
			switch {
			case errors.Is(err, store.ErrRejected):
				ev.Outcome = reconciler.Rejected
				n.log.Error("the state service rejects records", "keys", store.ChangeKeys(saves), "err", err)
			case errors.Is(err, store.ErrNotExecuted):
				ev.Outcome = reconciler.NotSent
			case err != nil:
				ev.Outcome = reconciler.Unknown
			case !ok:
				ev.Outcome = reconciler.Refused
				if last, err := n.store.TokenUnchanged(n.ctx, r.tokenVersion); err != nil {
					ev.Outcome = reconciler.Unknown
				} else if !last {
					n.postElectionEvent(election.Fenced{FencingToken: r.fencingToken})
				}
			}
			n.postCompletion(term, ev)
		})
	case reconciler.Fence:
		n.spawn(func() {
			v, ok, err := n.store.RewriteToken(n.ctx, n.platform.Member, r.fencingToken, r.tokenVersion)
			if err != nil {
				n.log.Debug("fence", "err", err)
				n.postCompletion(term, reconciler.FenceCompleted{Outcome: reconciler.Unknown})
				return
			}
			if !ok {
				n.postElectionEvent(election.Fenced{FencingToken: r.fencingToken})
				return
			}
			n.log.Info("transactions without an answer are void", "token", r.fencingToken, "version", v)
			n.post(func(now time.Time) {
				if n.term == term {
					n.applyElectionEffects(now, n.election.Step(now, election.TokenRewritten{FencingToken: r.fencingToken, TokenVersion: v}))
					n.stepReconciler(now, reconciler.FenceCompleted{Outcome: reconciler.OK})
				}
			})
		})
	case reconciler.ReadAccounts:
		n.spawn(func() {
			ev := reconciler.AccountsReceived{Accounts: map[string]ledger.StoredAccount{}}
			for _, team := range e.Teams {
				if r, err := n.store.Account(n.ctx, team); err == nil {
					ev.Accounts[team] = r
				} else {
					n.log.Debug("account in doubt", "team", team, "err", err)
				}
			}
			n.postCompletion(term, ev)
		})
	case reconciler.ReadSegments:
		n.spawn(func() {
			pages, _, err := n.store.Segments(n.ctx, e.Team, 0, reconciler.MaxSegmentsRead)
			if err != nil {
				n.log.Debug("closed pages", "team", e.Team, "err", err)
			}
			n.postCompletion(term, reconciler.SegmentsReceived{Team: e.Team, Segments: pages})
		})
	}
}

// mayProvision tells that the right rests on the lease: on promises alone nothing is rented or
// given back, since nothing of it could be put on record.
func (n *Controller) mayProvision() bool {
	r := n.lease.Load()
	return r != nil && !r.restsOnVotes(time.Now())
}

// enqueueJobChanges queues changes of the job records for the loop. The view is locked
// while it tells of them, and the loop asks it: so nothing is waited for here.
func (n *Controller) enqueueJobChanges(changes []store.JobChange) {
	if len(changes) == 0 {
		return
	}
	n.jobChangesMu.Lock()
	n.jobChanges = append(n.jobChanges, changes...)
	n.jobChangesMu.Unlock()
	select {
	case n.jobChangesReady <- struct{}{}:
	default:
	}
}

// applyJobChanges tells the core of changes of the job records.
func (n *Controller) applyJobChanges(now time.Time) {
	n.jobChangesMu.Lock()
	changes := n.jobChanges
	n.jobChanges = nil
	n.jobChangesMu.Unlock()
	for _, ch := range changes {
		n.stepReconciler(now, n.jobs.EventFor(ch))
	}
}

// refreshMachineTypes keeps the machine types known, which users' requests are checked
// against.
func (n *Controller) refreshMachineTypes() error {
	for n.ctx.Err() == nil {
		wait := time.Second
		if len(n.MachineTypes()) > 0 {
			wait = 5 * time.Minute
		}
		if types, err := n.cloud.Catalog(n.ctx); err == nil {
			n.machineTypes.Store(&types)
			wait = 5 * time.Minute
		} else {
			n.log.Debug("catalogue", "err", err)
		}
		store.Sleep(n.ctx, wait)
	}
	return nil
}
