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

// clients holds a controller's clients for the services and the other members. Each client is safe for
// concurrent use.
type clients struct {
	store   *store.Client
	jobs    *store.JobCache
	cloud   *cloud.Client
	workers *worker.Client
	peers   map[string]*peer.Client // by member name

	// forwardClients carry users' requests, by member name. They are separate from peers so that a slow request
	// does not delay votes and heartbeats.
	forwardClients map[string]*peer.Client
}

// cloudTimeout bounds a single request to the cloud.
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
		jobs:           store.NewJobCache(state, incarnation, o.HTTPAPI.MaxCachedEndedJobs, limits, onJobChanges, log),
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

// catalogPublisher is a cloud client that publishes the machine types whenever it reads the catalog.
type catalogPublisher struct {
	*cloud.Client
	machineTypes *atomic.Pointer[[]model.MachineType]
}

func (c *Controller) publishingCloud() catalogPublisher {
	return catalogPublisher{Client: c.cloud, machineTypes: &c.machineTypes}
}

// Catalog reads the machine types from the cloud and publishes them if the read succeeds.
func (p catalogPublisher) Catalog(ctx context.Context) ([]model.MachineType, error) {
	types, err := p.Client.Catalog(ctx)
	if err == nil {
		p.machineTypes.Store(&types)
	}
	return types, err
}

// The published rate limits apply to all controllers together, and the leader sends most of the requests. These
// are the fractions of the limits that a controller may use.
const (
	stateRateShareSingle    = 0.9 // of a deployment with a single controller
	stateRateShareLeader    = 0.5
	stateRateShareFollowers = 0.35 // of all followers together
	cloudRateShareLeader    = 0.85
	cloudRateShareFollower  = 0.05
)

// setRateLimits sets this controller's request rates to its fraction of the published limits.
func (c *clients) setRateLimits(p *config.Platform, leading bool) {
	controllers := float64(len(p.Members) + 1)
	stateShare := stateRateShareSingle
	if controllers > 1 {
		stateShare = stateRateShareFollowers / (controllers - 1)
		if leading {
			stateShare = stateRateShareLeader
		}
	}
	limits := p.StateLimits()
	c.store.SetRateLimits(stateShare*limits.RPS, stateShare*limits.WriteRPS)
	cloudShare := cloudRateShareFollower
	if leading {
		cloudShare = cloudRateShareLeader
	}
	c.cloud.SetRate(cloudShare * p.CloudRPS())
}
