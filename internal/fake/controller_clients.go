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

// The clients that a controller's effects use in place of the real ones.
var (
	_ effects.StateService  = stateClient{}
	_ effects.ElectionState = stateClient{}
	_ effects.Cloud         = cloudClient{}
	_ effects.Workers       = workerClient{}
)

// errNoAnswer is returned for a request that was not answered, so that its outcome is unknown.
var errNoAnswer = errors.New("request was not answered; its outcome is unknown")

// stateClient sends a controller's requests to the fake state service.
type stateClient struct {
	*store.Client
	controller *Controller
}

func (c *Controller) stateClient() stateClient { return stateClient{c.State, c} }

// TokenUnchanged reports whether the record of the fencing token still has the version tokenVersion. A record that
// cannot be read counts as unchanged, and the error is always nil: in the simulations a refused commit has to count as
// refused even if the record cannot be read.
func (s stateClient) TokenUnchanged(ctx context.Context, tokenVersion uint64) (bool, error) {
	unchanged, err := s.Client.TokenUnchanged(ctx, tokenVersion)
	return unchanged || err != nil, nil
}

// ReadLeaderRecord reads the record of the leader. A version that predates feature gates knows no feature level: it
// decodes every record with the prefix "leader/" as a leader's record, and fails if one is in another format.
func (s stateClient) ReadLeaderRecord(ctx context.Context) (election.Record, uint64, error) {
	record, revision, err := s.Client.ReadLeaderRecord(ctx)
	if !s.controller.WithoutFeatureGates || err != nil {
		return record, revision, err
	}
	entries, _, err := s.List(ctx, "leader/")
	for _, entry := range entries {
		if _, _, decodeErr := wire.DecodeLeaderRecord(entry.Value); decodeErr != nil {
			err = decodeErr
		}
	}
	record.Level, record.LevelVersion = 0, 0
	return record, revision, err
}

// ClaimLeadership writes the leader's key with the next fencing token. ok is false if another controller has done so.
func (s stateClient) ClaimLeadership(
	_ context.Context, _ string, claim election.Claim,
) (tokenVersion uint64, ok bool, err error) {
	return s.controller.claim(claim)
}

// cloudClient sends a controller's requests to the fake cloud.
type cloudClient struct{ world *World }

// Wait returns at once, since the fake cloud has no rate limit.
func (cloudClient) Wait(context.Context) error { return nil }

// Provision requests machines from the cloud. refused is true if the cloud has none left.
func (r cloudClient) Provision(request model.Provisioning) (names []string, refused bool, err error) {
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

// Release returns machines to the cloud, which terminates them at once. It never fails.
func (r cloudClient) Release(names []string) error {
	for _, name := range names {
		delete(r.world.Workers, name)
		r.world.RemoveBooting(name)
	}
	return nil
}

// ListMachines returns the machines that are up.
func (r cloudClient) ListMachines(context.Context) ([]model.MachineInfo, error) {
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

// Catalog returns the machine types that the cloud offers.
func (r cloudClient) Catalog(context.Context) ([]model.MachineType, error) {
	return r.world.Types, nil
}

// workerClient sends a controller's direct commands to the worker on a machine.
type workerClient struct {
	controller *Controller
	machine    string
}

// Send sends commands to the worker. The network decides whether they arrive now, later or never.
func (r workerClient) Send(_ string, fencingToken, epoch uint64, commands []model.Command, _ bool) worker.Reply {
	w := r.controller.world
	w.DirectCommands++
	target := w.Workers[r.machine]
	deliver := func() worker.Reply {
		if target == nil || w.Workers[r.machine] != target {
			return worker.Reply{Err: errNoAnswer} // the connection was lost when the machine restarted or was released
		}
		executed := target.HandleCommands(fencingToken, epoch, commands)
		return worker.Reply{Executed: executed, NeverExecuted: !executed, Heartbeat: target.heartbeat()}
	}
	deliverLater := func() { deliver() }
	delivery := w.nextDelivery()
	switch {
	case w.HoldCommands, delivery == CommandDelayed:
		w.holdCommand(deliverLater)
	case delivery == CommandDropped:
	case target != nil && target.Hung:
		w.holdCommand(deliverLater) // a hung worker executes commands only when it resumes
	case r.controller.canReach(target):
		if len(commands) > 0 {
			w.retainCommand(w.now, deliverLater)
		}
		if reply := deliver(); delivery != CommandAnswerLost {
			return reply
		}
	}
	return worker.Reply{Err: errNoAnswer}
}

// canReach reports whether a message that the controller sends to a worker now arrives. The fake network drops messages
// of a controller that may not act as the leader.
func (c *Controller) canReach(target *Worker) bool {
	return target != nil && !target.Partitioned && !target.InboundBlocked && !c.WorkersUnreachable && c.Leads()
}
