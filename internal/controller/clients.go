package controller

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/glentiller/glentiller/internal/cloud"
	"github.com/glentiller/glentiller/internal/config"
	"github.com/glentiller/glentiller/internal/connquota"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/peer"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/worker"
)

// clients are a controller's connections to all that it talks to. Each is safe for concurrent use.
type clients struct {
	store   *store.Client
	jobs    *store.JobCache
	cloud   *cloud.Client
	workers *worker.Client
	peers   map[string]*peer.Client // by member

	// forwardClients carry users' requests, so that a slow one does not delay votes and heartbeats.
	forwardClients map[string]*peer.Client
}

// cloudTimeout bounds a request to the cloud.
const cloudTimeout = 4 * time.Second

func newClients(
	p *config.Platform, o *config.Operator, quotas *connquota.Quotas,
	onJobChanges func([]store.JobChange), log *slog.Logger,
) clients {
	state := store.New(p.Services.State, o.HTTPAPI.StateTimeout.Std(), quotas.Dialer(connquota.StateService))
	incarnation := rand.Uint64() | 1
	limits := config.StoreLimits(p)
	c := clients{
		store:          state,
		jobs:           store.NewJobCache(state, incarnation, o.HTTPAPI.EndedJobsCached, limits, onJobChanges, log),
		cloud:          cloud.New(p.Services.Cloud, 1, cloudTimeout, quotas.Dialer(connquota.Cloud)),
		workers:        worker.New(o.Workers.CommandTimeout.Std(), quotas.Dialer(connquota.DirectCommands)),
		peers:          map[string]*peer.Client{},
		forwardClients: map[string]*peer.Client{},
	}
	for _, m := range p.Members {
		c.peers[m.Member] = peer.NewClient(m.Addr, quotas.Dialer(connquota.Peers))
		c.forwardClients[m.Member] = peer.NewClient(m.Addr, quotas.Dialer(connquota.Peers))
	}
	return c
}

// catalogPublisher is the cloud's client. It publishes the machine types that it reads.
type catalogPublisher struct {
	*cloud.Client
	machineTypes *atomic.Pointer[[]model.MachineType]
}

func (c *Controller) publishingCloud() catalogPublisher {
	return catalogPublisher{Client: c.cloud, machineTypes: &c.machineTypes}
}

// Catalog reads the machine types.
func (p catalogPublisher) Catalog(ctx context.Context) ([]model.MachineType, error) {
	types, err := p.Client.Catalog(ctx)
	if err == nil {
		p.machineTypes.Store(&types)
	}
	return types, err
}

// All controllers spend from one published allowance of requests, and the leader does most of the work.
// These are each controller's fractions of it.
const (
	stateShareAlone      = 0.9
	stateShareLeader     = 0.5
	stateShareFollowers  = 0.35 // of all followers together
	cloudShareLeader     = 0.85
	cloudShareNotLeading = 0.05
)

// setRates sets this controller's fraction of the published request limits.
func (c *clients) setRates(p *config.Platform, leading bool) {
	controllers := float64(len(p.Members) + 1)
	share := stateShareAlone
	if controllers > 1 {
		share = stateShareFollowers / (controllers - 1)
		if leading {
			share = stateShareLeader
		}
	}
	limits := p.StateLimits()
	c.store.SetRateLimits(share*limits.RPS, share*limits.WriteRPS)
	cloudShare := cloudShareNotLeading
	if leading {
		cloudShare = cloudShareLeader
	}
	c.cloud.SetRate(cloudShare * p.CloudRPS())
}
