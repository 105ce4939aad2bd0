// Package controller is the controller process. It connects sockets, timers and clients to the state machines
// of the packages election and reconciler, which do no I/O themselves.
//
// New builds a controller from its settings, and Run serves until its context is cancelled. A single goroutine,
// the event loop (loop.go), owns both state machines. All other goroutines send it functions to run through one
// of its two inboxes. The state machines return effects, which separate goroutines perform; the results come
// back to the loop as events. State that request handlers need without waiting for the loop, such as the
// leadership lease, is published through atomic pointers.
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

// Controller is one member of a deployment's group of controllers. It either leads or follows the leader.
type Controller struct {
	// Set by New and not changed afterwards.
	release  string
	platform *config.Platform
	operator *config.Operator
	settings reconciler.Settings
	teams    map[string]*model.Team
	log      *slog.Logger

	clients
	tasks       *taskGroup
	httpAPI     *httpapi.Server
	router      *route.Router // nil if requests are answered by the member that receives them
	connections *connquota.Quotas
	memory      *connquota.MemoryMonitor

	// Input of the event loop.
	loop       *eventLoop
	jobChanges jobChangeQueue

	// Accessed by the event loop only.
	election   *election.StateMachine
	reconciler *reconciler.Core // nil if this controller does not lead or has not read the records yet
	// term is incremented when a leadership begins or ends. Results of effects of an earlier term are
	// discarded.
	term          uint64
	cancellations cancellationFreshness
	lapse         leaseLapse

	// Published by the event loop and by background goroutines, and read by all goroutines.
	lease        publishedLease
	leader       leaderView
	progress     progressView
	rollout      rolloutView
	machineTypes atomic.Pointer[[]model.MachineType]

	// Relaying of heartbeats from workers that do not reach the leader themselves.
	relayTracker     relayTracker
	storeRelay       *storeRelay // nil if heartbeats are relayed by other members only
	peerReachability route.PeerReachability
}

// defaultMaxConnections is the connection limit if the platform configures none.
const defaultMaxConnections = 1000

// New returns a controller for the given platform and operator settings. It announces the given release to the
// other members.
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
	c.cancellations = newCancellationFreshness(p, log)
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
	c.setRateLimits(p, false)
	return c
}

func newConnectionQuotas(maxConns, members int, log *slog.Logger) *connquota.Quotas {
	var lastInfo time.Time // guarded by the quotas' lock, which is held during the callback
	onChange := func(from, to connquota.Occupancy, used, limit int) {
		level := slog.LevelDebug
		// Connections that come and go around a threshold would otherwise flood the log.
		if now := time.Now(); now.Sub(lastInfo) > holdLogInterval {
			lastInfo, level = now, slog.LevelInfo
		}
		log.Log(context.Background(), level, "connection occupancy changed",
			"from", from.String(), "to", to.String(), "used", used, "limit", limit)
	}
	return connquota.New(maxConns, members, onChange)
}

func newMemoryMonitor(limitMB float64, log *slog.Logger) *connquota.MemoryMonitor {
	return connquota.NewMemoryMonitor(uint64(limitMB*(1<<20)), func(underPressure bool, used, limit uint64) {
		attributes := []any{"short", underPressure, "held_mb", used >> 20, "limit_mb", limit >> 20}
		if underPressure {
			attributes = append(attributes, "largest_heap_users", largestHeapUsers(loggedHeapUsers))
		}
		log.Warn("memory pressure changed", attributes...)
	})
}

func newElection(p *config.Platform, o *config.Operator, log *slog.Logger) *election.StateMachine {
	settings := config.ElectionSettings(p, o)
	machine := election.New(time.Now(), settings, log)
	if o.Votes != nil && settings.VoteDuration == 0 {
		log.Warn("votes disabled: the sum of worker lease, leader lease and 3 s must be less than cancel_s",
			"lease_s", p.Deployment.Workers.LeaseSeconds,
			"leader_lease", settings.LeaseDuration,
			"cancel_s", p.Deployment.Workers.CancelSeconds)
	}
	return machine
}

// Run serves until ctx is cancelled, in which case it returns nil. It returns an error if a listener cannot be
// opened, or if a server or background task fails in a way that cannot be retried.
func (c *Controller) Run(ctx context.Context) error {
	httpListener, err := net.Listen("tcp4", c.platform.HTTPAddr)
	if err != nil {
		return err
	}
	peerListener, err := net.Listen("tcp4", c.platform.PeerAddr)
	if err != nil {
		return errors.Join(err, httpListener.Close())
	}
	c.tasks.group, c.tasks.ctx = errgroup.WithContext(ctx)
	c.tasks.serve(func() error { return c.httpAPI.Serve(httpListener) })
	c.tasks.onShutdown(func() error {
		return errors.Join(httpListener.Close(), peerListener.Close(), c.httpAPI.Shutdown())
	})
	if err := c.serveAdmin(); err != nil {
		return errors.Join(err, httpListener.Close(), peerListener.Close())
	}
	c.tasks.group.Go(func() error {
		return peer.Serve(c.tasks.ctx, c.limitConnections(peerListener, connquota.Peers), peerHandler{c})
	})
	c.startTasks()
	c.log.Info("controller started", "member", c.platform.Member, "front", c.platform.HTTPAddr)
	err = c.tasks.group.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// startTasks starts the background goroutines, which serve no listener.
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

// limitConnections returns a listener that counts its connections against the quota of the given class.
func (c *Controller) limitConnections(l net.Listener, class connquota.Class) *connquota.Listener {
	return &connquota.Listener{Listener: l, Quotas: c.connections, Class: class, Now: time.Now}
}

// serveAdmin opens the operators' interface if the settings enable it.
func (c *Controller) serveAdmin() error {
	if c.operator.Admin == nil {
		return nil
	}
	l, err := net.Listen("tcp", c.operator.Admin.Listen)
	if err != nil {
		return err
	}
	server := admin.New(config.AdminSettings(c.platform, c.operator), c.store, c, c.log)
	c.log.Info("operators' interface listening", "listen", l.Addr().String())
	c.tasks.serve(func() error { return server.Serve(c.limitConnections(l, connquota.Operators)) })
	c.tasks.onShutdown(func() error { return errors.Join(l.Close(), server.Shutdown()) })
	return nil
}
