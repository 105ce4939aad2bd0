// Package controller is the controller process: it puts sockets, timers and clients around the state
// machines of packages election and reconciler, which themselves do no input or output.
//
// New builds a controller from its settings and Run serves until its context ends. One goroutine, the
// event loop (loop.go), owns both state machines. Every other goroutine hands it work through one of its
// two inboxes, and the loop has the effects that the state machines return performed by goroutines of
// their own, whose results come back as events. What handlers of requests need without waiting for the
// loop, such as the leadership lease, is published through atomic pointers.
package controller

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/glentiller/glentiller/internal/admin"
	"github.com/glentiller/glentiller/internal/config"
	"github.com/glentiller/glentiller/internal/connquota"
	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/httpapi"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/peer"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/route"
)

// Controller is one member of a deployment's controllers: it follows the leader, or leads.
type Controller struct {
	// Fixed by New.
	release  string
	platform *config.Platform
	operator *config.Operator
	settings reconciler.Settings
	teams    map[string]*model.Team
	log      *slog.Logger

	clients
	tasks       *taskGroup
	httpAPI     *httpapi.Server
	router      *route.Router // nil: users' requests are answered where they arrive
	connections *connquota.Quotas
	memory      *connquota.MemoryMonitor

	// Input to the event loop.
	loop       *eventLoop
	jobChanges jobChangeQueue

	// Read and written by the event loop alone.
	election      *election.StateMachine
	reconciler    *reconciler.Core // nil: this controller does not lead, or has not read the records yet
	term          uint64           // counts this process's leaderships: an effect of an earlier one is void
	cancellations cancellationKnowledge
	lapse         leaseLapse

	// Published by the event loop and the goroutines beside it, read by all.
	lease        leaseHolder
	leader       leaderView
	progress     progressView
	rollout      rolloutView
	machineTypes atomic.Pointer[[]model.MachineType]

	// How workers' heartbeats reach a leader that the workers themselves do not reach.
	relayTracker     relayTracker
	storeRelay       *storeRelay // nil: heartbeats are relayed by members alone
	peerReachability route.PeerReachability
}

// defaultMaxConnections applies where the platform names no limit.
const defaultMaxConnections = 1000

// New makes a controller that announces itself with the release given.
func New(p *config.Platform, o *config.Operator, release string, log *slog.Logger) *Controller {
	c := &Controller{
		release:    release,
		platform:   p,
		operator:   o,
		settings:   config.ReconcilerSettings(p, o),
		teams:      map[string]*model.Team{},
		log:        log,
		tasks:      &taskGroup{},
		jobChanges: jobChangeQueue{ready: make(chan struct{}, 1)},
	}
	c.loop = newEventLoop(c.tasks, log)
	teams := p.Teams()
	for i := range teams {
		c.teams[teams[i].Name] = &teams[i]
	}
	maxConns := p.Deployment.Limits.MaxConnections
	if maxConns == 0 {
		maxConns = defaultMaxConnections
	}
	c.connections = newConnectionQuotas(maxConns, len(p.Members), log)
	c.memory = newMemoryMonitor(p.Deployment.Limits.MemMB, log)
	c.clients = newClients(p, o, c.connections, c.jobChanges.push, log)
	c.election = newElection(p, o, log)
	c.cancellations = newCancellationKnowledge(p, log)
	c.router = newRouter(p, o, log)
	c.storeRelay = newStoreRelay(p, o, c.store, c.tasks, log)
	c.httpAPI = httpapi.New(httpapi.Settings{
		RetryAfter:         o.HTTPAPI.RetryAfter.Std(),
		MaxConns:           maxConns,
		ConnQuotas:         c.connections,
		ConstraintsEnabled: o.Constraints != nil,
		ConstraintsInForce: c.constraintsInForce(),
		Router:             c.router,
	}, c.jobs, c, time.Now, log)
	c.setRates(p, false)
	return c
}

func newConnectionQuotas(maxConns, members int, log *slog.Logger) *connquota.Quotas {
	var lastInfo time.Time // guarded by the quotas' lock, which is held during the callback
	onChange := func(from, to connquota.Occupancy, used, most int) {
		level := slog.LevelDebug
		// Workers that come and go at the edge of a level would fill the log.
		if now := time.Now(); now.Sub(lastInfo) > holdLogInterval {
			lastInfo, level = now, slog.LevelInfo
		}
		log.Log(context.Background(), level, "sockets",
			"from", from.String(), "to", to.String(), "used", used, "limit", most)
	}
	return connquota.New(maxConns, members, onChange)
}

func newMemoryMonitor(limitMB float64, log *slog.Logger) *connquota.MemoryMonitor {
	return connquota.NewMemoryMonitor(uint64(limitMB*(1<<20)), func(short bool, held, most uint64) {
		log.Warn("memory", "short", short, "held_mb", held>>20, "limit_mb", most>>20)
	})
}

func newElection(p *config.Platform, o *config.Operator, log *slog.Logger) *election.StateMachine {
	settings := config.ElectionSettings(p, o)
	machine := election.New(time.Now(), settings, log)
	if o.Votes != nil && settings.VoteDuration == 0 {
		log.Warn("votes disabled: worker lease, leader lease and 3 s together are not below cancel_s",
			"lease_s", p.Deployment.Workers.Lease,
			"leader_lease", settings.LeaseDuration,
			"cancel_s", p.Deployment.Workers.Cancel)
	}
	return machine
}

// Run serves until ctx ends, which is no error, or until something fails that cannot be retried.
func (c *Controller) Run(ctx context.Context) error {
	users, err := net.Listen("tcp4", c.platform.HTTPAddr)
	if err != nil {
		return err
	}
	peers, err := net.Listen("tcp4", c.platform.PeerAddr)
	if err != nil {
		return errors.Join(err, users.Close())
	}
	c.tasks.group, c.tasks.ctx = errgroup.WithContext(ctx)
	c.tasks.serve(func() error { return c.httpAPI.Serve(users) })
	c.tasks.onShutdown(func() error {
		return errors.Join(users.Close(), peers.Close(), c.httpAPI.Shutdown())
	})
	if err := c.serveAdmin(); err != nil {
		return errors.Join(err, users.Close(), peers.Close())
	}
	c.tasks.group.Go(func() error {
		return peer.Serve(c.tasks.ctx, c.limited(peers, connquota.Peers), peerHandler{c})
	})
	c.startTasks()
	c.log.Info("serving", "member", c.platform.Member, "front", c.platform.HTTPAddr)
	err = c.tasks.group.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// startTasks starts the goroutines that serve no listener.
func (c *Controller) startTasks() {
	start := c.tasks.group.Go
	start(c.publishProgress)
	start(c.watchMemory)
	if len(c.peers) > 0 {
		start(c.probePeers)
	}
	start(c.runLoop)
	start(func() error { return c.jobs.Run(c.tasks.ctx) })
	start(c.watchLeader)
	start(c.pollJobRecords)
	if c.storeRelay != nil {
		start(c.storeRelay.flushBatches)
		start(c.storeRelay.watchResponses)
		start(c.watchRelayedBatches)
	}
	if c.operator.Rollout != nil {
		start(c.runRollout)
	}
	start(c.refreshMachineTypes)
}

// limited counts a listener's connections against the quota of their class.
func (c *Controller) limited(l net.Listener, class connquota.Class) *connquota.Listener {
	return &connquota.Listener{Listener: l, Quotas: c.connections, Class: class, Now: time.Now}
}

// serveAdmin opens the operators' interface, if the settings turn it on.
func (c *Controller) serveAdmin() error {
	if c.operator.Admin == nil {
		return nil
	}
	l, err := net.Listen("tcp", c.operator.Admin.Listen)
	if err != nil {
		return err
	}
	server := admin.New(config.AdminSettings(c.platform, c.operator), c.store, c, c.log)
	c.log.Info("operators' interface", "listen", l.Addr().String())
	c.tasks.serve(func() error { return server.Serve(c.limited(l, connquota.Operators)) })
	c.tasks.onShutdown(func() error { return errors.Join(l.Close(), server.Shutdown()) })
	return nil
}
