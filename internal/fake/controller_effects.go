package fake

import (
	"context"
	"errors"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/ledger"
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
	effects := append([]reconciler.Effect(nil), c.Reconciler.Step(c.world.now, event)...)
	complete := c.completionFor(c.Reconciler)
	for _, effect := range effects {
		c.execute(effect, complete)
	}
	return effects
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

// execute carries out an effect of the reconciler.
func (c *Controller) execute(effect reconciler.Effect, complete completion) {
	ctx := context.Background()
	switch effect := effect.(type) {
	case reconciler.SendCommands:
		c.sendCommands(effect, complete)
	case reconciler.Provision:
		c.provision(effect, complete)
	case reconciler.Release:
		c.release(effect, complete)
	case reconciler.ListMachines:
		c.listMachines(complete)
	case reconciler.FetchCatalog:
		complete(reconciler.CatalogReceived{Types: c.world.Types})
	case reconciler.LookUpJobEnds:
		complete(reconciler.JobEndsReceived{Ends: c.Jobs.ReadEnds(ctx, effect.IDs)})
	case reconciler.Commit:
		c.commit(ctx, effect, complete)
	case reconciler.Fence:
		c.fence(ctx, complete)
	case reconciler.ReadAccounts:
		c.readAccounts(ctx, effect, complete)
	case reconciler.ReadSegments:
		// Without an answer they are looked for again later.
		segments, _, _ := c.State.Segments(ctx, effect.Team, 0, reconciler.MaxSegmentsRead)
		complete(reconciler.SegmentsReceived{Team: effect.Team, Segments: segments})
	}
}

// sendCommands sends commands directly to a worker, as the network delivers them.
func (c *Controller) sendCommands(effect reconciler.SendCommands, complete completion) {
	w, token := c.world, c.fencingToken
	w.DirectCommands++
	outcome := reconciler.CommandCompleted{
		Machine:  effect.Machine,
		Epoch:    effect.Epoch,
		Commands: effect.Commands,
		Outcome:  reconciler.Unknown,
	}
	worker := w.Workers[effect.Machine]
	deliver := func() (reconciler.Outcome, *model.Heartbeat) {
		if worker == nil || w.Workers[effect.Machine] != worker {
			return reconciler.Unknown, nil // the machine has restarted since: the connection is gone
		}
		if !worker.HandleCommands(token, effect.Epoch, effect.Commands) {
			return reconciler.Refused, worker.heartbeat()
		}
		return reconciler.OK, worker.heartbeat()
	}
	later := func() { deliver() }
	delivery := w.nextDelivery()
	switch {
	case w.HoldCommands, delivery == Delayed:
		w.hold(later)
	case delivery == Dropped:
	case worker != nil && worker.Hung:
		w.hold(later) // it is carried out when the machine goes on
	case worker != nil && !worker.Partitioned && !worker.InboundBlocked && !c.WorkersUnreachable && c.Leads():
		if len(effect.Commands) > 0 {
			w.retainCommand(w.now, later)
		}
		if outcome.Outcome, outcome.Heartbeat = deliver(); delivery == AnswerLost {
			outcome.Outcome, outcome.Heartbeat = reconciler.Unknown, nil
		}
	}
	complete(outcome)
}

// provision asks the cloud for machines.
func (c *Controller) provision(effect reconciler.Provision, complete completion) {
	w := c.world
	outcome := reconciler.ProvisionCompleted{Provisioning: effect.Provisioning, Outcome: reconciler.Refused}
	if w.cloudExhausted {
		complete(outcome)
		return
	}
	if names, ok := w.Provision(w.now, effect.Provisioning); ok {
		if outcome.Outcome = reconciler.Unknown; !w.CloudAnswersLost {
			outcome.Outcome, outcome.Machines = reconciler.OK, names
		}
	}
	complete(outcome)
}

// release gives machines back to the cloud, which ends them.
func (c *Controller) release(effect reconciler.Release, complete completion) {
	w := c.world
	w.ReleaseRequests++
	w.pendingReleases = append(w.pendingReleases, func() {
		for _, name := range effect.Machines {
			delete(w.Workers, name)
			w.Forget(name)
		}
		complete(reconciler.ReleaseCompleted{Machines: effect.Machines, Outcome: reconciler.OK})
	})
	w.runPendingReleases()
}

// listMachines lists the machines that the cloud has up.
func (c *Controller) listMachines(complete completion) {
	w := c.world
	var machines []model.MachineInfo
	for _, name := range w.WorkerNames() {
		worker := w.Workers[name]
		machines = append(machines, model.MachineInfo{
			Name: name,
			Addr: name,
			Type: worker.Type,
			Zone: worker.Zone,
			Spot: worker.Spot,
		})
	}
	complete(reconciler.MachineListReceived{Machines: machines, RequestedAt: w.now})
}

// commit sends a transaction to the state service.
func (c *Controller) commit(ctx context.Context, effect reconciler.Commit, complete completion) {
	token := c.fencingToken
	version, ok, err := c.State.CommitFenced(ctx, c.tokenVersion, effect.Changes)
	outcome := reconciler.CommitCompleted{Changes: effect.Changes, Outcome: reconciler.OK, Version: version}
	switch {
	case errors.Is(err, store.ErrRejected):
		outcome.Outcome = reconciler.Rejected
		c.world.RejectedKeys = append(c.world.RejectedKeys, store.ChangeKeys(effect.Changes)...)
	case errors.Is(err, store.ErrNotExecuted):
		outcome.Outcome = reconciler.NotSent
	case err != nil:
		outcome.Outcome = reconciler.Unknown
	case !ok:
		outcome.Outcome = reconciler.Refused
		if unchanged, err := c.State.TokenUnchanged(ctx, c.tokenVersion); err == nil && !unchanged {
			c.stepElection(election.Fenced{FencingToken: token})
		}
	}
	complete(outcome)
}

// fence rewrites the token's record, so that no transaction from before is carried out any more.
func (c *Controller) fence(ctx context.Context, complete completion) {
	token := c.fencingToken
	version, ok, err := c.State.RewriteToken(ctx, c.Member, token, c.tokenVersion)
	switch {
	case err != nil:
		complete(reconciler.FenceCompleted{Outcome: reconciler.Unknown})
	case !ok:
		c.stepElection(election.Fenced{FencingToken: token})
	default:
		c.tokenVersion = version
		c.stepElection(election.TokenRewritten{FencingToken: token, TokenVersion: version})
		complete(reconciler.FenceCompleted{Outcome: reconciler.OK})
	}
}

// readAccounts reads teams' accounts; one that cannot be read is left out.
func (c *Controller) readAccounts(ctx context.Context, effect reconciler.ReadAccounts, complete completion) {
	accounts := map[string]ledger.StoredAccount{}
	for _, team := range effect.Teams {
		if account, err := c.State.Account(ctx, team); err == nil {
			accounts[team] = account
		}
	}
	complete(reconciler.AccountsReceived{Accounts: accounts})
}
