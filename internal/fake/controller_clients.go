package fake

import (
	"context"
	"errors"

	"github.com/glentiller/glentiller/internal/effects"
	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
	"github.com/glentiller/glentiller/internal/worker"
)

// The stand-ins through which a controller's effects are carried out.
var (
	_ effects.StateService  = stateRequests{}
	_ effects.ElectionState = stateRequests{}
	_ effects.Cloud         = cloudRequests{}
	_ effects.Workers       = workerRequests{}
)

// errNoAnswer is a request of which nothing is known.
var errNoAnswer = errors.New("no answer")

// stateRequests are a controller's requests to the state service.
type stateRequests struct {
	*store.Client
	controller *Controller
}

func (c *Controller) stateRequests() stateRequests { return stateRequests{c.State, c} }

// TokenUnchanged reports whether the token's record still has a version. A refused commit counts as refused in the
// simulations even where the record cannot be read, so a failed read reports no change.
func (s stateRequests) TokenUnchanged(ctx context.Context, tokenVersion uint64) (bool, error) {
	unchanged, err := s.Client.TokenUnchanged(ctx, tokenVersion)
	return unchanged || err != nil, nil
}

// ReadLeaderRecord reads who leads. A program from before feature gates takes every record there for a token's.
func (s stateRequests) ReadLeaderRecord(ctx context.Context) (election.Record, uint64, error) {
	record, revision, err := s.Client.ReadLeaderRecord(ctx)
	if !s.controller.WithoutFeatureGates || err != nil {
		return record, revision, err
	}
	entries, _, err := s.List(ctx, "leader/")
	for _, entry := range entries {
		if _, _, malformed := wire.DecodeLeaderRecord(entry.Value); malformed != nil {
			err = malformed
		}
	}
	record.Level, record.LevelVersion = 0, 0
	return record, revision, err
}

// ClaimLeadership takes the leader's key and the next token.
func (s stateRequests) ClaimLeadership(
	_ context.Context, _ string, claim election.Claim,
) (tokenVersion uint64, ok bool, err error) {
	return s.controller.claim(claim)
}

// cloudRequests are a controller's requests to the cloud.
type cloudRequests struct{ world *World }

// Wait returns at once: the simulated cloud has no rate limit.
func (cloudRequests) Wait(context.Context) error { return nil }

// Provision asks the cloud for machines.
func (r cloudRequests) Provision(request model.Provisioning) (names []string, refused bool, err error) {
	w := r.world
	if w.cloudExhausted {
		return nil, true, nil
	}
	names, ok := w.Provision(w.now, request)
	switch {
	case !ok:
		return nil, true, nil
	case w.CloudAnswersLost:
		return nil, false, errNoAnswer
	}
	return names, false, nil
}

// Release gives machines back to the cloud, which ends them.
func (r cloudRequests) Release(names []string) error {
	for _, name := range names {
		delete(r.world.Workers, name)
		r.world.Forget(name)
	}
	return nil
}

// ListMachines lists the machines that the cloud has up.
func (r cloudRequests) ListMachines(context.Context) ([]model.MachineInfo, error) {
	var machines []model.MachineInfo
	for _, name := range r.world.WorkerNames() {
		worker := r.world.Workers[name]
		machines = append(machines, model.MachineInfo{
			Name: name,
			Addr: name,
			Type: worker.Type,
			Zone: worker.Zone,
			Spot: worker.Spot,
		})
	}
	return machines, nil
}

// Catalog lists the machine types.
func (r cloudRequests) Catalog(context.Context) ([]model.MachineType, error) {
	return r.world.Types, nil
}

// workerRequests are a controller's direct commands to the worker on a machine.
type workerRequests struct {
	controller *Controller
	machine    string
}

// Send sends commands as the network delivers them: now, later, or never.
func (r workerRequests) Send(_ string, fencingToken, epoch uint64, commands []model.Command, _ bool) worker.Reply {
	w := r.controller.world
	w.DirectCommands++
	target := w.Workers[r.machine]
	deliver := func() worker.Reply {
		if target == nil || w.Workers[r.machine] != target {
			return worker.Reply{Err: errNoAnswer} // the machine has restarted since: the connection is gone
		}
		executed := target.HandleCommands(fencingToken, epoch, commands)
		return worker.Reply{Executed: executed, NotSent: !executed, Heartbeat: target.heartbeat()}
	}
	later := func() { deliver() }
	delivery := w.nextDelivery()
	switch {
	case w.HoldCommands, delivery == Delayed:
		w.hold(later)
	case delivery == Dropped:
	case target != nil && target.Hung:
		w.hold(later) // it is carried out when the machine goes on
	case r.controller.reaches(target):
		if len(commands) > 0 {
			w.retainCommand(w.now, later)
		}
		if reply := deliver(); delivery != AnswerLost {
			return reply
		}
	}
	return worker.Reply{Err: errNoAnswer}
}

// reaches tells whether a worker takes what the controller sends it now.
func (c *Controller) reaches(target *Worker) bool {
	return target != nil && !target.Partitioned && !target.InboundBlocked && !c.WorkersUnreachable && c.Leads()
}
