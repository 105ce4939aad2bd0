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

// Node is one controller.
type Node struct {
	version string
	plat    *config.Platform
	oper    *config.Operator
	set     reconciler.Settings
	log     *slog.Logger

	state    *store.Client
	jobs     *store.Jobs
	cloud    *cloud.Client
	workers  *worker.Client
	front    *httpapi.Server
	peers    map[string]*peer.Client
	forwards map[string]*peer.Client // for users' requests, so that a late one costs no promise
	router   *route.Router           // nil: requests are answered where they come
	relays   relays
	sockets  *connquota.Budget
	memory   *connquota.Memory
	teams    map[string]*model.Team

	group  *errgroup.Group
	ctx    context.Context
	inbox  chan func(now time.Time)
	urgent chan func(now time.Time) // what the right to act hangs on; it goes before the inbox

	changeMu sync.Mutex
	changes  []store.JobChange // of the job records, in order, for the loop
	changed  chan struct{}

	// Owned by the loop.
	elect *election.Machine
	core  *reconciler.Core
	term  uint64 // counts the leaderships of this process; effects of an earlier one are void
	held  holds
	event reconciler.Event // that the core took last
	// What it knows of cancellations as leader; nil: its core is not there yet.
	book   *staleness.Tracker
	bound  staleness.Bound
	behind bool                  // it knows too little to act
	toldBy map[string]store.Told // by member, how far this one was told
	// While the right of the present leadership has lapsed: its token, and since when.
	lapsed   uint64
	lapsedAt time.Time

	// Shown to others.
	right    atomic.Pointer[right]
	touched  atomic.Pointer[time.Time] // when the last renewal that succeeded was sent
	leader   atomic.Pointer[string]
	level    atomic.Uint32 // in force, as the election knows it
	rollout  atomic.Pointer[standing]
	mail     *mail // nil: reports go by way of members alone
	types    atomic.Pointer[[]model.MachineType]
	progress atomic.Pointer[map[string][2]int]

	company     route.Company
	heard       atomic.Pointer[heard]
	leaderSince atomic.Pointer[time.Time] // when the present leader became known
}

// New makes a controller of a release.
func New(p *config.Platform, o *config.Operator, release string, log *slog.Logger) *Node {
	n := &Node{plat: p, oper: o, version: release, set: config.ReconcilerSettings(p, o), log: log, teams: map[string]*model.Team{}, inbox: make(chan func(time.Time), 256),
		urgent: make(chan func(time.Time), 64), changed: make(chan struct{}, 1)}
	teams := p.Teams()
	for i := range teams {
		n.teams[teams[i].Name] = &teams[i]
	}
	conns := p.Deployment.Limits.MaxConnections
	if conns == 0 {
		conns = 1000
	}
	var told time.Time // the budget's lock is held where this is used
	n.sockets = connquota.New(conns, len(p.Members), func(from, to connquota.Level, used, most int) {
		level := slog.LevelDebug
		if now := time.Now(); now.Sub(told) > holdEvery {
			// Guards against a flood where workers come and go round a level's edge.
			told, level = now, slog.LevelInfo
		}
		log.Log(context.Background(), level, "sockets", "from", from.String(), "to", to.String(), "used", used, "most", most)
	})
	n.memory = connquota.NewMemory(uint64(p.Deployment.Limits.MemMB*(1<<20)), func(short bool, held, most uint64) {
		log.Warn("memory", "short", short, "held_mb", held>>20, "most_mb", most>>20)
	})
	n.state = store.New(p.Services.State, o.HTTPAPI.StateTimeout.Std(), n.sockets.Dial(connquota.State))
	n.jobs = store.NewJobs(n.state, rand.Uint64()|1, o.HTTPAPI.EndedJobsCached, config.StoreLimits(p), n.jobsChanged, log)
	n.cloud = cloud.New(p.Services.Cloud, 1, cloudTimeout, n.sockets.Dial(connquota.Cloud))
	n.workers = worker.New(o.Workers.CommandTimeout.Std(), n.sockets.Dial(connquota.Direct))
	set := config.ElectionSettings(p, o)
	n.elect = election.New(time.Now(), set, log)
	if o.Votes != nil && set.Promise == 0 {
		log.Warn("promises stay off: workers' leases, the leader's lease and 3 s are not below cancel_s", "lease_s", p.Deployment.Workers.Lease,
			"leader_lease", set.Life, "cancel_s", p.Deployment.Workers.Cancel)
	}
	var ok bool
	if n.bound, ok = config.StalenessBound(p); !ok {
		log.Warn("workers' leases are too long for cancel_s: tasks of cancelled jobs on machines that can't be reached may outlast it", "lease_s", p.Deployment.Workers.Lease,
			"cancel_s", p.Deployment.Workers.Cancel, "knows_of_cancellations_within", n.bound.KeepLeases)
	}
	n.toldBy = map[string]store.Told{}
	n.router = n.newRouter()
	n.mail = newMail(n)
	n.front = httpapi.New(httpapi.Settings{RetryAfter: o.HTTPAPI.RetryAfter.Std(), Conns: conns, Sockets: n.sockets, Rules: o.Constraints != nil, RulesNow: n.rulesNow(), Router: n.router}, n.jobs, n, time.Now, log)
	n.peers, n.forwards = map[string]*peer.Client{}, map[string]*peer.Client{}
	for _, m := range p.Members {
		n.peers[m.Member] = peer.NewClient(m.Addr, n.sockets.Dial(connquota.Peers))
		n.forwards[m.Member] = peer.NewClient(m.Addr, n.sockets.Dial(connquota.Peers))
	}
	n.share(false)
	return n
}

// cloudTimeout bounds a request to the cloud.
const cloudTimeout = 4 * time.Second

// share sets this controller's part of the published limits. All controllers
// spend from the same allowance; the leader does most of the work.
func (n *Node) share(leading bool) {
	nodes := float64(len(n.plat.Members) + 1)
	part := 0.9
	if nodes > 1 {
		part = 0.35 / (nodes - 1)
		if leading {
			part = 0.5
		}
	}
	l := n.plat.StateLimits()
	n.state.SetRates(part*l.RPS, part*l.WriteRPS)
	c := 0.05
	if leading {
		c = 0.85
	}
	n.cloud.SetRate(c * n.plat.CloudRPS())
}

// Run serves until the context ends or something breaks that cannot be mended.
func (n *Node) Run(ctx context.Context) error {
	l, err := net.Listen("tcp4", n.plat.HTTPAddr)
	if err != nil {
		return err
	}
	back, err := net.Listen("tcp4", n.plat.PeerAddr)
	if err != nil {
		return errors.Join(err, l.Close())
	}
	n.group, n.ctx = errgroup.WithContext(ctx)
	n.group.Go(func() error {
		if err := n.front.Serve(l); err != nil {
			return err
		}
		return n.ctx.Err()
	})
	n.group.Go(func() error {
		<-n.ctx.Done()
		return errors.Join(l.Close(), back.Close(), n.front.Shutdown())
	})
	if err := n.serveAdmin(); err != nil {
		return errors.Join(err, l.Close(), back.Close())
	}
	n.group.Go(func() error {
		return peer.Serve(n.ctx, &connquota.Listener{Listener: back, Budget: n.sockets, Owner: connquota.Peers, Now: time.Now}, relayed{n})
	})
	n.group.Go(func() error { return n.tellProgress() })
	n.group.Go(func() error { return n.weigh() })
	if len(n.peers) > 0 {
		n.group.Go(n.keepCompany)
	}
	n.group.Go(func() error { return n.loop() })
	n.group.Go(func() error { return n.jobs.Run(n.ctx) })
	n.group.Go(func() error { return n.watchLeader() })
	n.group.Go(n.keepReading)
	if n.mail != nil {
		n.group.Go(n.mail.flush)
		n.group.Go(n.mail.answers)
		n.group.Go(n.takeRelayed)
	}
	if n.oper.Rollout != nil {
		n.group.Go(func() error { return n.runRollout() })
	}
	n.group.Go(func() error { return n.fetchTypes() })
	n.log.Info("serving", "member", n.plat.Member, "front", n.plat.HTTPAddr)
	err = n.group.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// serveAdmin opens the operators' interface, if it is turned on.
func (n *Node) serveAdmin() error {
	if n.oper.Admin == nil {
		return nil
	}
	l, err := net.Listen("tcp", n.oper.Admin.Listen)
	if err != nil {
		return err
	}
	s := admin.New(config.AdminSettings(n.plat, n.oper), n.state, n, n.log)
	n.log.Info("operators' interface", "listen", l.Addr().String())
	n.group.Go(func() error {
		if err := s.Serve(&connquota.Listener{Listener: l, Budget: n.sockets, Owner: connquota.Operators, Now: time.Now}); err != nil {
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

// weigh looks after how much memory is in use.
func (n *Node) weigh() error {
	samples := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"}}
	for n.ctx.Err() == nil {
		metrics.Read(samples)
		n.memory.Weigh(samples[0].Value.Uint64() + samples[1].Value.Uint64())
		store.Wait(n.ctx, time.Second)
	}
	return nil
}

// Short tells that there is no memory for more jobs.
func (n *Node) Short() bool { return n.memory.Short() }

// stepDown gives the leadership up in order, so that nobody has to wait for its
// lease.
func (n *Node) stepDown(now time.Time) {
	for _, e := range n.elect.Step(now, election.Resign{}) {
		if d, ok := e.(election.Drop); ok {
			n.right.Store(nil)
			if err := n.state.Drop(d.Lease); err != nil {
				n.log.Warn("the lease was not given up", "err", err)
			}
		}
	}
}

// spawn runs a piece of input or output beside the loop.
func (n *Node) spawn(f func()) {
	n.group.Go(func() error { f(); return nil })
}

// --- what the front asks

// Report hands a worker's report to the core.
func (n *Node) Report(ctx context.Context, r *model.Heartbeat) httpapi.Verdict {
	return n.report(ctx, reconciler.HeartbeatReceived{Heartbeat: r})
}

func (n *Node) report(ctx context.Context, r reconciler.HeartbeatReceived) httpapi.Verdict {
	leader := ""
	if p := n.leader.Load(); p != nil {
		leader = *p
	}
	if cur := n.right.Load(); !cur.holds() {
		return httpapi.Verdict{Act: leader == n.plat.Member, Leader: n.redirect(leader, time.Now()), Valid: never}
	}
	answer := make(chan httpapi.Verdict, 1)
	f := func(now time.Time) {
		cur := n.right.Load()
		if n.core == nil || !cur.holds() || ctx.Err() != nil {
			answer <- httpapi.Verdict{Act: true, Valid: never}
			return
		}
		v := httpapi.Verdict{Act: true, Token: cur.token, Valid: func() bool {
			r := n.right.Load()
			return r != nil && r.token == cur.token && r.holds()
		}}
		for _, e := range n.step(now, r) {
			if a, ok := e.(reconciler.HeartbeatResponse); ok {
				if v.Orders = a.Commands; a.Refused {
					v.Valid = never
				}
			}
		}
		answer <- v
	}
	select {
	case n.inbox <- f:
	case <-ctx.Done():
		return httpapi.Verdict{Act: true, Valid: never}
	}
	select {
	case v := <-answer:
		return v
	case <-ctx.Done():
		return httpapi.Verdict{Act: true, Valid: never}
	}
}

func never() bool { return false }

// Progress tells how far an unfinished job is.
func (n *Node) Progress(id string) (done, running int) {
	if p := n.progress.Load(); p != nil {
		v := (*p)[id]
		return v[0], v[1]
	}
	return 0, 0
}

// Types are the machine types.
func (n *Node) Types() []model.MachineType {
	if p := n.types.Load(); p != nil {
		return *p
	}
	return nil
}

// Team finds a team.
func (n *Node) Team(name string) *model.Team { return n.teams[name] }

// Healthy tells whether this controller can take requests. Without the state
// service it cannot, but if that is out for all, there is nobody to send users to
// instead. So it only counts itself out while it hears a leader, whose right to
// act shows that the state service answers others. In an outage for all that
// right lapses before this controller has been without for long enough. One that reaches no
// other member either counts itself out too: guards against users who stay for as long as the cut
// with the one controller that can do nothing for them. If all are apart and the state service is
// out, that costs about two probes after the outage, in which nobody could be served anyway.
func (n *Node) Healthy() bool {
	now := time.Now()
	if !n.jobs.Loaded() || len(n.Types()) == 0 || n.alone() {
		return false
	}
	// A leader that acts on promises alone shows nothing of the kind.
	alone := n.state.Down(now) > config.ElectionSettings(n.plat, n.oper).Life+outOfReach
	h := n.heard.Load()
	return !alone || h == nil || h.onPromises || now.Sub(h.at) > outOfReach/2 || n.right.Load().holds()
}
