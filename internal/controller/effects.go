package controller

import (
	"errors"
	"time"

	"github.com/glentiller/glentiller/internal/connquota"
	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/record"
	"github.com/glentiller/glentiller/internal/store"
)

// stepReconciler has the reconciler take an event, if this controller leads, and starts the effects that it
// asks for. It returns them too, for callers that answer somebody by them.
func (c *Controller) stepReconciler(now time.Time, ev reconciler.Event) []reconciler.Effect {
	if c.reconciler == nil {
		return nil
	}
	c.loop.hold.lastEvent = ev
	effects := c.reconciler.Step(now, ev)
	for _, effect := range effects {
		c.perform(effect)
	}
	return effects
}

// runPass is a scheduling pass: the reconciler's Tick.
func (c *Controller) runPass(now time.Time) {
	c.stepReconciler(now, reconciler.Tick{})
	took := time.Since(now)
	if c.reconciler != nil && c.reconciler.ObserveStepDuration(took) && took > longPassThreshold {
		c.log.Debug("long pass", "took", took)
	}
}

// leaderTerm is the leadership in which the reconciler has asked for an effect. Its methods carry effects
// out beside the event loop, check the lease right before a request leaves that needs it, and hand the
// result back as an event.
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
	switch e := effect.(type) {
	case reconciler.SendCommands:
		commands := append([]model.Command(nil), e.Commands...)
		t.start(func() reconciler.Event { return t.sendCommands(e, commands) })
	case reconciler.Provision:
		t.start(func() reconciler.Event { return t.provisionMachines(e) })
	case reconciler.Release:
		machines := append([]string(nil), e.Machines...)
		t.start(func() reconciler.Event { return t.releaseMachines(machines) })
	case reconciler.ListMachines:
		t.start(t.listMachines)
	case reconciler.FetchCatalog:
		t.start(t.fetchCatalog)
	case reconciler.LookUpJobEnds:
		t.start(func() reconciler.Event { return reconciler.JobEndsReceived{Ends: t.jobs.ReadEnds(t.tasks.ctx, e.IDs)} })
	case reconciler.Commit:
		changes := append([]record.Change(nil), e.Changes...)
		t.start(func() reconciler.Event { return t.commit(changes) })
	case reconciler.Fence:
		t.tasks.spawn(t.fence)
	case reconciler.ReadAccounts:
		t.start(func() reconciler.Event { return t.readAccounts(e.Teams) })
	case reconciler.ReadSegments:
		t.start(func() reconciler.Event { return t.readSegments(e.Team) })
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

// start carries an effect out beside the event loop, and completes it with the event that f returns.
func (t *leaderTerm) start(f func() reconciler.Event) {
	t.tasks.spawn(func() { t.complete(f()) })
}

// complete has the reconciler of the same leadership take the result of an effect.
func (t *leaderTerm) complete(ev reconciler.Event) {
	t.loop.post(func(now time.Time) {
		if t.term == t.number {
			t.stepReconciler(now, ev)
		}
	})
}

func (t *leaderTerm) sendCommands(e reconciler.SendCommands, commands []model.Command) reconciler.Event {
	ev := reconciler.CommandCompleted{
		Machine:  e.Machine,
		Epoch:    e.Epoch,
		Commands: commands,
		Outcome:  reconciler.NotSent,
	}
	if t.leading() {
		reply := t.workers.Send(e.Addr, t.token, e.Epoch, commands, e.Urgent)
		ev.Heartbeat = reply.Heartbeat
		switch {
		case reply.Executed:
			ev.Outcome = reconciler.OK
		case errors.Is(reply.Err, connquota.ErrFull):
			// The request stayed here, which says nothing about the machine.
		case reply.NotSent:
			ev.Outcome = reconciler.Refused
		default:
			ev.Outcome = reconciler.Unknown
		}
	}
	return ev
}

func (t *leaderTerm) provisionMachines(e reconciler.Provision) reconciler.Event {
	ev := reconciler.ProvisionCompleted{Provisioning: e.Provisioning, Outcome: reconciler.Unknown}
	if t.cloud.Wait(t.tasks.ctx) == nil && t.mayProvision() {
		machines, full, err := t.cloud.Provision(e.Provisioning)
		switch {
		case full:
			ev.Outcome = reconciler.Refused
		case err == nil:
			ev.Outcome, ev.Machines = reconciler.OK, machines
		default:
			t.log.Debug("provisioning not answered", "request", e.Provisioning.Name, "err", err)
		}
	}
	return ev
}

func (t *leaderTerm) releaseMachines(machines []string) reconciler.Event {
	ev := reconciler.ReleaseCompleted{Machines: machines, Outcome: reconciler.Unknown}
	if t.cloud.Wait(t.tasks.ctx) == nil && t.mayProvision() {
		if err := t.cloud.Release(machines); err == nil {
			ev.Outcome = reconciler.OK
		}
	}
	return ev
}

func (t *leaderTerm) listMachines() reconciler.Event {
	requested := time.Now()
	machines, err := t.cloud.ListMachines(t.tasks.ctx)
	if err != nil {
		t.log.Debug("listing machines failed", "err", err)
	}
	return reconciler.MachineListReceived{Machines: machines, RequestedAt: requested}
}

func (t *leaderTerm) fetchCatalog() reconciler.Event {
	types, err := t.cloud.Catalog(t.tasks.ctx)
	if err != nil {
		t.log.Debug("reading the catalog failed", "err", err)
	} else {
		t.machineTypes.Store(&types)
	}
	return reconciler.CatalogReceived{Types: types}
}

func (t *leaderTerm) commit(changes []record.Change) reconciler.Event {
	revision, ok, err := t.store.CommitFenced(t.tasks.ctx, t.tokenVersion, changes)
	ev := reconciler.CommitCompleted{Changes: changes, Version: revision, Outcome: reconciler.OK}
	switch {
	case errors.Is(err, store.ErrRejected):
		ev.Outcome = reconciler.Rejected
		t.log.Error("the state service rejects records", "keys", store.ChangeKeys(changes), "err", err)
	case errors.Is(err, store.ErrNotExecuted):
		ev.Outcome = reconciler.NotSent
	case err != nil:
		ev.Outcome = reconciler.Unknown
	case !ok:
		ev.Outcome = t.refusedCommit()
	}
	return ev
}

// refusedCommit finds out whether a commit was refused since another leader has taken over, which the
// election has to know, or for one of the commit's own conditions.
func (t *leaderTerm) refusedCommit() reconciler.Outcome {
	unchanged, err := t.store.TokenUnchanged(t.tasks.ctx, t.tokenVersion)
	if err != nil {
		return reconciler.Unknown
	}
	if !unchanged {
		t.postElectionEvent(election.Fenced{FencingToken: t.token})
	}
	return reconciler.Refused
}

// fence rewrites the record of the fencing token, after which no transaction that has not been answered can
// be carried out any more. The election learns the record's new version before the reconciler goes on.
func (t *leaderTerm) fence() {
	version, ok, err := t.store.RewriteToken(t.tasks.ctx, t.platform.Member, t.token, t.tokenVersion)
	if err != nil {
		t.log.Debug("fencing failed", "err", err)
		t.complete(reconciler.FenceCompleted{Outcome: reconciler.Unknown})
		return
	}
	if !ok {
		t.postElectionEvent(election.Fenced{FencingToken: t.token})
		return
	}
	t.log.Info("unanswered transactions fenced", "token", t.token, "version", version)
	t.loop.post(func(now time.Time) {
		if t.term == t.number {
			t.stepElection(now, election.TokenRewritten{FencingToken: t.token, TokenVersion: version})
			t.stepReconciler(now, reconciler.FenceCompleted{Outcome: reconciler.OK})
		}
	})
}

func (t *leaderTerm) readAccounts(teams []string) reconciler.Event {
	ev := reconciler.AccountsReceived{Accounts: map[string]ledger.StoredAccount{}}
	for _, team := range teams {
		account, err := t.store.Account(t.tasks.ctx, team)
		if err != nil {
			t.log.Debug("reading an account failed", "team", team, "err", err)
			continue
		}
		ev.Accounts[team] = account
	}
	return ev
}

func (t *leaderTerm) readSegments(team string) reconciler.Event {
	segments, _, err := t.store.Segments(t.tasks.ctx, team, 0, reconciler.MaxSegmentsRead)
	if err != nil {
		t.log.Debug("reading ledger segments failed", "team", team, "err", err)
	}
	return reconciler.SegmentsReceived{Team: team, Segments: segments}
}
