// Package controller is a controller: it puts sockets, timers and clients round the
// cores of election and control. One goroutine owns both cores; everything else
// reaches them through its inbox.
package controller

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/glentiller/glentiller/internal/admin"
	"github.com/glentiller/glentiller/internal/cloud"
	"github.com/glentiller/glentiller/internal/config"
	"github.com/glentiller/glentiller/internal/connquota"
	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/httpapi"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/peer"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/route"
	"github.com/glentiller/glentiller/internal/staleness"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/worker"
)

// Controller is one controller.
type Controller struct {
	release  string
	platform *config.Platform
	operator *config.Operator
	settings reconciler.Settings
	log      *slog.Logger

	store          *store.Client
	jobs           *store.JobCache
	cloud          *cloud.Client
	workers        *worker.Client
	httpAPI        *httpapi.Server
	peers          map[string]*peer.Client
	forwardClients map[string]*peer.Client // for users' requests, so that a late one costs no promise
	router         *route.Router           // nil: requests are answered where they come
	relayTracker   relayTracker
	connections    *connquota.Quotas
	memory         *connquota.MemoryMonitor
	teams          map[string]*model.Team

	group  *errgroup.Group
	ctx    context.Context
	inbox  chan func(now time.Time)
	urgent chan func(now time.Time) // what the right to act hangs on; it goes before the inbox

	jobChangesMu    sync.Mutex
	jobChanges      []store.JobChange // of the job records, in order, for the loop
	jobChangesReady chan struct{}

	// Owned by the loop.
	election    *election.StateMachine
	reconciler  *reconciler.Core
	term        uint64 // counts the leaderships of this process; effects of an earlier one are void
	longestHold loopHold
	lastEvent   reconciler.Event // that the core took last
	// What it knows of cancellations as leader; nil: its core is not there yet.
	staleness      *staleness.Tracker
	stalenessBound staleness.Bound
	tooStale       bool                                // it knows too little to act
	acknowledged   map[string]store.CancellationCursor // by member, how far this one was told
	// While the right of the present leadership has lapsed: its token, and since when.
	lapsedToken uint64
	lapsedAt    time.Time

	// Shown to others.
	lease           atomic.Pointer[leadershipLease]
	lastRenewalSent atomic.Pointer[time.Time] // when the last renewal that succeeded was sent
	leader          atomic.Pointer[string]
	featureLevel    atomic.Uint32 // in force, as the election knows it
	rollout         atomic.Pointer[rolloutStatus]
	storeRelay      *storeRelay // nil: reports go by way of members alone
	machineTypes    atomic.Pointer[[]model.MachineType]
	progress        atomic.Pointer[map[string][2]int]

	peerReachability route.PeerReachability
	leaderContact    atomic.Pointer[leaderContact]
	leaderSince      atomic.Pointer[time.Time] // when the present leader became known
}

// New makes a controller of a release.
func New(p *config.Platform, o *config.Operator, release string, log *slog.Logger) *Controller {
	n := &Controller{platform: p, operator: o, release: release, settings: config.ReconcilerSettings(p, o), log: log, teams: map[string]*model.Team{}, inbox: make(chan func(time.Time), 256),
		urgent: make(chan func(time.Time), 64), jobChangesReady: make(chan struct{}, 1)}
	teams := p.Teams()
	for i := range teams {
		n.teams[teams[i].Name] = &teams[i]
	}
	conns := p.Deployment.Limits.MaxConnections
	if conns == 0 {
		conns = 1000
	}
	var told time.Time // the budget's lock is held where this is used
	n.connections = connquota.New(conns, len(p.Members), func(from, to connquota.Occupancy, used, most int) {
		level := slog.LevelDebug
		if now := time.Now(); now.Sub(told) > holdLogInterval {
			// Guards against a flood where workers come and go round a level's edge.
			told, level = now, slog.LevelInfo
		}
		log.Log(context.Background(), level, "sockets", "from", from.String(), "to", to.String(), "used", used, "most", most)
	})
	n.memory = connquota.NewMemoryMonitor(uint64(p.Deployment.Limits.MemMB*(1<<20)), func(short bool, held, most uint64) {
		log.Warn("memory", "short", short, "held_mb", held>>20, "most_mb", most>>20)
	})
	n.store = store.New(p.Services.State, o.HTTPAPI.StateTimeout.Std(), n.connections.Dialer(connquota.StateService))
	n.jobs = store.NewJobCache(n.store, rand.Uint64()|1, o.HTTPAPI.EndedJobsCached, config.StoreLimits(p), n.enqueueJobChanges, log)
	n.cloud = cloud.New(p.Services.Cloud, 1, cloudTimeout, n.connections.Dialer(connquota.Cloud))
	n.workers = worker.New(o.Workers.CommandTimeout.Std(), n.connections.Dialer(connquota.DirectCommands))
	set := config.ElectionSettings(p, o)
	n.election = election.New(time.Now(), set, log)
	if o.Votes != nil && set.VoteDuration == 0 {
		log.Warn("promises stay off: workers' leases, the leader's lease and 3 s are not below cancel_s", "lease_s", p.Deployment.Workers.Lease,
			"leader_lease", set.LeaseDuration, "cancel_s", p.Deployment.Workers.Cancel)
	}
	var ok bool
	if n.stalenessBound, ok = config.StalenessBound(p); !ok {
		log.Warn("workers' leases are too long for cancel_s: tasks of cancelled jobs on machines that can't be reached may outlast it", "lease_s", p.Deployment.Workers.Lease,
			"cancel_s", p.Deployment.Workers.Cancel, "knows_of_cancellations_within", n.stalenessBound.KeepLeases)
	}
	n.acknowledged = map[string]store.CancellationCursor{}
	n.router = n.newRouter()
	n.storeRelay = newStoreRelay(n)
	n.httpAPI = httpapi.New(httpapi.Settings{RetryAfter: o.HTTPAPI.RetryAfter.Std(), MaxConns: conns, ConnQuotas: n.connections, ConstraintsEnabled: o.Constraints != nil, ConstraintsInForce: n.rulesSupported(), Router: n.router}, n.jobs, n, time.Now, log)
	n.peers, n.forwardClients = map[string]*peer.Client{}, map[string]*peer.Client{}
	for _, m := range p.Members {
		n.peers[m.Member] = peer.NewClient(m.Addr, n.connections.Dialer(connquota.Peers))
		n.forwardClients[m.Member] = peer.NewClient(m.Addr, n.connections.Dialer(connquota.Peers))
	}
	n.allocateRates(false)
	return n
}

// cloudTimeout bounds a request to the cloud.
const cloudTimeout = 4 * time.Second

// allocateRates sets this controller's part of the published limits. All controllers
// spend from the same allowance; the leader does most of the work.
func (n *Controller) allocateRates(leading bool) {
	nodes := float64(len(n.platform.Members) + 1)
	part := 0.9
	if nodes > 1 {
		part = 0.35 / (nodes - 1)
		if leading {
			part = 0.5
		}
	}
	l := n.platform.StateLimits()
	n.store.SetRateLimits(part*l.RPS, part*l.WriteRPS)
	c := 0.05
	if leading {
		c = 0.85
	}
	n.cloud.SetRate(c * n.platform.CloudRPS())
}

// Run serves until the context ends or something breaks that cannot be mended.
func (n *Controller) Run(ctx context.Context) error {
	l, err := net.Listen("tcp4", n.platform.HTTPAddr)
	if err != nil {
		return err
	}
	back, err := net.Listen("tcp4", n.platform.PeerAddr)
	if err != nil {
		return errors.Join(err, l.Close())
	}
	n.group, n.ctx = errgroup.WithContext(ctx)
	n.group.Go(func() error {
		if err := n.httpAPI.Serve(l); err != nil {
			return err
		}
		return n.ctx.Err()
	})
	n.group.Go(func() error {
		<-n.ctx.Done()
		return errors.Join(l.Close(), back.Close(), n.httpAPI.Shutdown())
	})
	if err := n.serveAdmin(); err != nil {
		return errors.Join(err, l.Close(), back.Close())
	}
	n.group.Go(func() error {
		return peer.Serve(n.ctx, &connquota.Listener{Listener: back, Quotas: n.connections, Class: connquota.Peers, Now: time.Now}, peerHandler{n})
	})
	n.group.Go(func() error { return n.publishProgress() })
	n.group.Go(func() error { return n.watchMemory() })
	if len(n.peers) > 0 {
		n.group.Go(n.probePeers)
	}
	n.group.Go(func() error { return n.runLoop() })
	n.group.Go(func() error { return n.jobs.Run(n.ctx) })
	n.group.Go(func() error { return n.watchLeader() })
	n.group.Go(n.pollJobRecords)
	if n.storeRelay != nil {
		n.group.Go(n.storeRelay.flushBatches)
		n.group.Go(n.storeRelay.watchAnswers)
		n.group.Go(n.watchRelayedBatches)
	}
	if n.operator.Rollout != nil {
		n.group.Go(func() error { return n.runRollout() })
	}
	n.group.Go(func() error { return n.refreshMachineTypes() })
	n.log.Info("serving", "member", n.platform.Member, "front", n.platform.HTTPAddr)
	err = n.group.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// serveAdmin opens the operators' interface, if it is turned on.
func (n *Controller) serveAdmin() error {
	if n.operator.Admin == nil {
		return nil
	}
	l, err := net.Listen("tcp", n.operator.Admin.Listen)
	if err != nil {
		return err
	}
	s := admin.New(config.AdminSettings(n.platform, n.operator), n.store, n, n.log)
	n.log.Info("operators' interface", "listen", l.Addr().String())
	n.group.Go(func() error {
		if err := s.Serve(&connquota.Listener{Listener: l, Quotas: n.connections, Class: connquota.Operators, Now: time.Now}); err != nil {
			return err
		}
		return n.ctx.Err()
	})
	n.group.Go(func() error {
		<-n.ctx.Done()
		return errors.Join(l.Close(), s.Shutdown())
	})
	return nil
}

// watchMemory looks after how much memory is in use.
func (n *Controller) watchMemory() error {
	samples := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"}}
	for n.ctx.Err() == nil {
		metrics.Read(samples)
		n.memory.Observe(samples[0].Value.Uint64() + samples[1].Value.Uint64())
		store.Sleep(n.ctx, time.Second)
	}
	return nil
}

// UnderMemoryPressure tells that there is no memory for more jobs.
func (n *Controller) UnderMemoryPressure() bool { return n.memory.UnderPressure() }

// stepDown gives the leadership up in order, so that nobody has to wait for its
// lease.
func (n *Controller) stepDown(now time.Time) {
	for _, e := range n.election.Step(now, election.Resign{}) {
		if d, ok := e.(election.RevokeLease); ok {
			n.lease.Store(nil)
			if err := n.store.RevokeLease(d.LeaseID); err != nil {
				n.log.Warn("the lease was not given up", "err", err)
			}
		}
	}
}

// spawn runs a piece of input or output beside the loop.
func (n *Controller) spawn(f func()) {
	n.group.Go(func() error { f(); return nil })
}

// --- what the front asks

// HandleHeartbeat hands a worker's report to the core.
func (n *Controller) HandleHeartbeat(ctx context.Context, r *model.Heartbeat) httpapi.HeartbeatResult {
	return n.handleHeartbeat(ctx, reconciler.HeartbeatReceived{Heartbeat: r})
}

func (n *Controller) handleHeartbeat(ctx context.Context, r reconciler.HeartbeatReceived) httpapi.HeartbeatResult {
	leader := ""
	if p := n.leader.Load(); p != nil {
		leader = *p
	}
	if cur := n.lease.Load(); !cur.valid() {
		return httpapi.HeartbeatResult{Leading: leader == n.platform.Member, Leader: n.redirectTarget(leader, time.Now()), LeaseValid: neverValid}
	}
	answer := make(chan httpapi.HeartbeatResult, 1)
	f := func(now time.Time) {
		cur := n.lease.Load()
		if n.reconciler == nil || !cur.valid() || ctx.Err() != nil {
			answer <- httpapi.HeartbeatResult{Leading: true, LeaseValid: neverValid}
			return
		}
		v := httpapi.HeartbeatResult{Leading: true, FencingToken: cur.fencingToken, LeaseValid: func() bool {
			r := n.lease.Load()
			return r != nil && r.fencingToken == cur.fencingToken && r.valid()
		}}
		for _, e := range n.stepReconciler(now, r) {
			if a, ok := e.(reconciler.HeartbeatResponse); ok {
				if v.Commands = a.Commands; a.Refused {
					v.LeaseValid = neverValid
				}
			}
		}
		answer <- v
	}
	select {
	case n.inbox <- f:
	case <-ctx.Done():
		return httpapi.HeartbeatResult{Leading: true, LeaseValid: neverValid}
	}
	select {
	case v := <-answer:
		return v
	case <-ctx.Done():
		return httpapi.HeartbeatResult{Leading: true, LeaseValid: neverValid}
	}
}

func neverValid() bool { return false }

// Progress tells how far an unfinished job is.
func (n *Controller) Progress(id string) (done, running int) {
	if p := n.progress.Load(); p != nil {
		v := (*p)[id]
		return v[0], v[1]
	}
	return 0, 0
}

// MachineTypes are the machine types.
func (n *Controller) MachineTypes() []model.MachineType {
	if p := n.machineTypes.Load(); p != nil {
		return *p
	}
	return nil
}

// Team finds a team.
func (n *Controller) Team(name string) *model.Team { return n.teams[name] }

// Healthy tells whether this controller can take requests. Without the state
// service it cannot, but if that is out for all, there is nobody to send users to
// instead. So it only counts itself out while it hears a leader, whose right to
// act shows that the state service answers others. In an outage for all that
// right lapses before this controller has been without for long enough. One that reaches no
// other member either counts itself out too: guards against users who stay for as long as the cut
// with the one controller that can do nothing for them. If all are apart and the state service is
// out, that costs about two probes after the outage, in which nobody could be served anyway.
func (n *Controller) Healthy() bool {
	now := time.Now()
	if !n.jobs.Loaded() || len(n.MachineTypes()) == 0 || n.isolated() {
		return false
	}
	// A leader that acts on promises alone shows nothing of the kind.
	alone := n.store.UnreachableFor(now) > config.ElectionSettings(n.platform, n.operator).LeaseDuration+leaderTimeout
	h := n.leaderContact.Load()
	return !alone || h == nil || h.onVotes || now.Sub(h.at) > leaderTimeout/2 || n.lease.Load().valid()
}
