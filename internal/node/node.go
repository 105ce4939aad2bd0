// Package node is a controller: it puts sockets, timers and clients round the
// cores of election and control. One goroutine owns both cores; everything else
// reaches them through its inbox.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"runtime/metrics"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/glentiller/glentiller/internal/admin"
	"github.com/glentiller/glentiller/internal/budget"
	"github.com/glentiller/glentiller/internal/cloud"
	"github.com/glentiller/glentiller/internal/config"
	"github.com/glentiller/glentiller/internal/control"
	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/front"
	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/peer"
	"github.com/glentiller/glentiller/internal/route"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/word"
	"github.com/glentiller/glentiller/internal/worker"
)

// Node is one controller.
type Node struct {
	version string
	plat    *config.Platform
	oper    *config.Operator
	set     control.Settings
	log     *slog.Logger

	state   *store.Client
	jobs    *store.Jobs
	cloud   *cloud.Client
	workers *worker.Client
	front   *front.Server
	peers   map[string]*peer.Client
	hands   map[string]*peer.Client // for users' requests, so that a late one costs no promise
	router  *route.Router           // nil: requests are answered where they come
	relays  relays
	sockets *budget.Budget
	memory  *budget.Memory
	teams   map[string]*model.Team

	group  *errgroup.Group
	ctx    context.Context
	inbox  chan func(now time.Time)
	urgent chan func(now time.Time) // what the right to act hangs on; it goes before the inbox

	changeMu sync.Mutex
	changes  []store.JobChange // of the job records, in order, for the loop
	changed  chan struct{}

	// Owned by the loop.
	elect *election.Machine
	core  *control.Core
	term  uint64 // counts the leaderships of this process; effects of an earlier one are void
	held  holds
	event control.Event // that the core took last
	// What it knows of cancellations as leader; nil: its core is not there yet.
	book   *word.Book
	bound  word.Bound
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
	n := &Node{plat: p, oper: o, version: release, set: config.Control(p, o), log: log, teams: map[string]*model.Team{}, inbox: make(chan func(time.Time), 256),
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
	n.sockets = budget.New(conns, len(p.Members), func(from, to budget.Level, used, most int) {
		level := slog.LevelDebug
		if now := time.Now(); now.Sub(told) > holdEvery {
			// Guards against a flood where workers come and go round a level's edge.
			told, level = now, slog.LevelInfo
		}
		log.Log(context.Background(), level, "sockets", "from", from.String(), "to", to.String(), "used", used, "most", most)
	})
	n.memory = budget.NewMemory(uint64(p.Deployment.Limits.MemMB*(1<<20)), func(short bool, held, most uint64) {
		log.Warn("memory", "short", short, "held_mb", held>>20, "most_mb", most>>20)
	})
	n.state = store.New(p.Outside.State, o.Front.StateTimeout.D(), n.sockets.Dial(budget.State))
	n.jobs = store.NewJobs(n.state, rand.Uint64()|1, o.Front.KeepEnded, config.Store(p), n.jobsChanged, log)
	n.cloud = cloud.New(p.Outside.Cloud, 1, cloudTimeout, n.sockets.Dial(budget.Cloud))
	n.workers = worker.New(o.Workers.DirectWait.D(), n.sockets.Dial(budget.Direct))
	set := config.Election(p, o)
	n.elect = election.New(time.Now(), set, log)
	if o.Promises != nil && set.Promise == 0 {
		log.Warn("promises stay off: workers' leases, the leader's lease and 3 s are not below cancel_s", "lease_s", p.Deployment.Workers.Lease,
			"leader_lease", set.Life, "cancel_s", p.Deployment.Workers.Cancel)
	}
	var ok bool
	if n.bound, ok = config.Informed(p); !ok {
		log.Warn("workers' leases are too long for cancel_s: tasks of cancelled jobs on machines that can't be reached may outlast it", "lease_s", p.Deployment.Workers.Lease,
			"cancel_s", p.Deployment.Workers.Cancel, "knows_of_cancellations_within", n.bound.Keep)
	}
	n.toldBy = map[string]store.Told{}
	n.router = n.newRouter()
	n.mail = newMail(n)
	n.front = front.New(front.Settings{RetryAfter: o.Front.RetryAfter.D(), Conns: conns, Sockets: n.sockets, Rules: o.Constraints != nil, RulesNow: n.rulesNow(), Router: n.router}, n.jobs, n, time.Now, log)
	n.peers, n.hands = map[string]*peer.Client{}, map[string]*peer.Client{}
	for _, m := range p.Members {
		n.peers[m.Member] = peer.NewClient(m.Addr, n.sockets.Dial(budget.Peers))
		n.hands[m.Member] = peer.NewClient(m.Addr, n.sockets.Dial(budget.Peers))
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
	l, err := net.Listen("tcp4", n.plat.Front)
	if err != nil {
		return err
	}
	back, err := net.Listen("tcp4", n.plat.Back)
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
		return peer.Serve(n.ctx, &budget.Listener{Listener: back, Budget: n.sockets, Owner: budget.Peers, Now: time.Now}, relayed{n})
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
	n.log.Info("serving", "member", n.plat.Member, "front", n.plat.Front)
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
	s := admin.New(config.AdminServer(n.plat, n.oper), n.state, n, n.log)
	n.log.Info("operators' interface", "listen", l.Addr().String())
	n.group.Go(func() error {
		if err := s.Serve(&budget.Listener{Listener: l, Budget: n.sockets, Owner: budget.Operators, Now: time.Now}); err != nil {
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

// loop owns the cores. What the right to act hangs on goes first, then what has come in, a
// bounded time at once, then what time brings: passes come last, and leave room for the
// others (Core.Took).
func (n *Node) loop() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-n.ctx.Done():
			n.stepDown(time.Now())
			return nil
		case f := <-n.urgent:
			n.hold("election", f)
		case f := <-n.inbox:
			n.hold("message", f)
			n.drain(time.Now().Add(inboxTime))
		case <-n.changed:
			n.hold("jobs", n.applyChanges)
		case <-timer.C:
		}
		n.first()
		now := time.Now()
		n.inform(now)
		n.elected(now, n.elect.Step(now, election.Tick{}))
		if n.ignorant(now) && len(n.peers) > 0 {
			n.log.Warn("the records cannot be read, stepping down")
			n.elected(now, n.elect.Step(now, election.Resign{}))
		}
		wake := n.elect.Wake()
		if n.core != nil && n.right.Load().holds() {
			n.core.Still(!n.right.Load().mayStart(now))
			n.hold("pass", func(now time.Time) {
				n.step(now, control.Tick{})
				if took := time.Since(now); n.core != nil && n.core.Took(took) && took > longPass {
					n.log.Debug("long pass", "took", took)
				}
			})
			if n.core != nil && n.core.Deaf(now) && len(n.peers) > 0 {
				n.log.Warn("no worker is heard, stepping down")
				n.elected(now, n.elect.Step(now, election.Resign{}))
				continue
			}
			if n.core != nil {
				if w := n.core.Wake(); w.Before(wake) {
					wake = w
				}
			}
			n.tellHolds(now)
		}
		timer.Reset(max(time.Until(wake), time.Millisecond))
	}
}

const (
	inboxTime = 20 * time.Millisecond  // for what has come in, before the election and time have their turn
	longPass  = 200 * time.Millisecond // worth a line in the log
	holdEvery = 10 * time.Second       // between words on what held the loop longest
)

// first carries out what the right to act hangs on.
func (n *Node) first() {
	for {
		select {
		case f := <-n.urgent:
			n.hold("election", f)
		default:
			return
		}
	}
}

// drain takes in what else has come, until a moment.
func (n *Node) drain(until time.Time) {
	for time.Now().Before(until) {
		n.first()
		select {
		case f := <-n.inbox:
			n.hold("message", f)
		default:
			return
		}
	}
}

// hold runs a piece of work and measures for how long it held the loop.
func (n *Node) hold(what string, f func(now time.Time)) {
	now := time.Now()
	n.event = nil
	f(now)
	if took := time.Since(now); took > n.held.most {
		n.held.most, n.held.what, n.held.event = took, what, ""
		if n.event != nil {
			n.held.event = strings.TrimPrefix(fmt.Sprintf("%T", n.event), "control.")
		}
	}
}

// holds is what held the loop longest since it was last told.
type holds struct {
	most  time.Duration
	what  string
	event string // the kind of the core's event; "": none
	told  time.Time
}

// tellHolds logs what held the loop longest.
func (n *Node) tellHolds(now time.Time) {
	if now.Sub(n.held.told) < holdEvery {
		return
	}
	n.log.Info("loop", "longest_hold", n.held.most, "by", n.held.what, "event", n.held.event, "inbox", len(n.inbox), "right", n.right.Load().until().Sub(now))
	n.held = holds{told: now}
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

// post hands a piece of work to the loop.
func (n *Node) post(f func(now time.Time)) {
	select {
	case n.inbox <- f:
	case <-n.ctx.Done():
	}
}

// spawn runs a piece of input or output beside the loop.
func (n *Node) spawn(f func()) {
	n.group.Go(func() error { f(); return nil })
}

// --- election

// elected carries out the election's effects.
func (n *Node) elected(now time.Time, effects []election.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case election.Look:
			n.spawn(func() {
				r, _, err := n.state.Look(n.ctx)
				n.election(election.Looked{Record: r, Err: err})
			})
		case election.Grant:
			n.spawn(func() {
				sent := time.Now()
				lease, err := n.state.Grant(e.Life)
				n.election(election.Granted{Lease: lease, Sent: sent, Err: err})
			})
		case election.Claim:
			n.spawn(func() {
				v, ok, err := n.state.Claim(n.ctx, n.plat.Member, e)
				n.election(election.Claimed{OK: ok, Version: v, Err: err})
			})
		case election.Touch:
			token := n.elect.Token()
			n.spawn(func() { n.touch(token, e.Lease) })
		case election.Drop:
			n.spawn(func() {
				for range 3 {
					if n.state.Drop(e.Lease) == nil {
						return
					}
					store.Wait(n.ctx, 300*time.Millisecond)
				}
			})
		case election.AskPromises:
			n.askPromises(n.term, e)
		case election.AskUnbound:
			n.askUnbound()
		case election.Release:
			n.release(e.Token)
		case election.Elected:
			n.term++
			n.share(true)
			n.takeOver(n.term, e)
			n.renew(e.Token, n.elect.Lease())
		case election.Deposed:
			n.right.Store(nil) // before anybody may hear of it
			n.term++
			n.core, n.book, n.behind = nil, nil, false
			n.share(false)
		}
	}
	n.showRight(now)
	n.level.Store(uint32(n.elect.Level()))
	leader := n.elect.Leader()
	if old := n.leader.Swap(&leader); old == nil || *old != leader {
		n.leaderSince.Store(&now)
		if n.mail != nil {
			n.mail.changed(leader == "")
		}
	}
}

// election hands an event to the election, before everything else.
func (n *Node) election(ev election.Event) {
	n.postFirst(func(now time.Time) { n.elected(now, n.elect.Step(now, ev)) })
}

// postFirst hands a piece of work to the loop that goes before the inbox.
func (n *Node) postFirst(f func(now time.Time)) {
	select {
	case n.urgent <- f:
	case <-n.ctx.Done():
	}
}

// watchLeader tells the election when the leader's key is free.
func (n *Node) watchLeader() error {
	var rev uint64
	for n.ctx.Err() == nil {
		if rev == 0 {
			r, at, err := n.state.Look(n.ctx)
			if err != nil {
				store.Wait(n.ctx, 500*time.Millisecond)
				continue
			}
			rev = at
			n.election(election.Looked{Record: r})
		}
		at, vacant, leader, err := n.state.WatchLeader(n.ctx, rev)
		if err != nil {
			rev = 0
			store.Wait(n.ctx, 300*time.Millisecond)
			continue
		}
		rev = at
		if vacant {
			n.election(election.Vacant{})
		} else if leader != "" {
			n.election(election.Looked{Record: election.Record{Held: true, Leader: leader}})
		}
	}
	return nil
}

// takeOver reads what a new leader needs, and starts its core.
func (n *Node) takeOver(term uint64, e election.Elected) {
	n.spawn(func() {
		for n.ctx.Err() == nil {
			var snap *control.Snapshot
			err := n.jobs.Refresh(n.ctx)
			if err == nil {
				snap, err = n.state.Records(n.ctx, n.set.Ledger != nil)
			}
			if err == nil {
				started := make(chan bool, 1)
				n.post(func(now time.Time) {
					if n.term == term {
						// Read in the loop: no change of a job can come in between.
						n.jobs.Snapshot(snap)
						n.core = control.New(now, n.set, e.Token, snap, n.Types(), n.log)
						n.informed(now)
					}
					started <- true
				})
				return
			}
			n.log.Warn("takeover: reading the records", "err", err)
			stop := make(chan bool, 1)
			n.post(func(time.Time) { stop <- n.term != term })
			select {
			case over := <-stop:
				if over {
					return
				}
			case <-n.ctx.Done():
			}
			store.Wait(n.ctx, 200*time.Millisecond)
		}
	})
}

// --- control

// step hands an event to the core, if this controller may act.
func (n *Node) step(now time.Time, ev control.Event) []control.Effect {
	if n.core == nil {
		return nil
	}
	n.event = ev
	effects := n.core.Step(now, ev)
	for _, e := range effects {
		n.perform(now, e)
	}
	return effects
}

// back hands the answer to an effect to the core of the same leadership.
func (n *Node) back(term uint64, ev control.Event) {
	n.post(func(now time.Time) {
		if n.term == term {
			n.step(now, ev)
		}
	})
}

// perform carries out one effect. Whoever needs the right to act has it checked
// right before the request leaves.
func (n *Node) perform(now time.Time, e control.Effect) {
	term, r := n.term, n.right.Load()
	if r == nil {
		return
	}
	may := func() bool { cur := n.right.Load(); return cur != nil && cur.token == r.token && cur.holds() }
	switch e := e.(type) {
	case control.Command:
		orders := append([]model.Order(nil), e.Orders...)
		n.spawn(func() {
			ev := control.CommandBack{Machine: e.Machine, Session: e.Session, Orders: orders, Outcome: control.NotSent}
			if may() {
				reply := n.workers.Commands(e.Addr, r.token, e.Session, orders)
				ev.Report = reply.Report
				switch {
				case reply.Executed:
					ev.Outcome = control.OK
				case errors.Is(reply.Err, budget.ErrFull):
					// Nothing is known of the machine.
				case reply.NotSent:
					ev.Outcome = control.Refused
				default:
					ev.Outcome = control.Unknown
				}
			}
			n.back(term, ev)
		})
	case control.Rent:
		n.spawn(func() {
			ev := control.RentBack{Rental: e.Rental, Outcome: control.Unknown}
			if n.cloud.Wait(n.ctx) == nil && may() && n.mayRent() {
				names, full, err := n.cloud.Rent(e.Rental)
				switch {
				case full:
					ev.Outcome = control.Refused
				case err == nil:
					ev.Outcome, ev.Machines = control.OK, names
				default:
					n.log.Debug("rental not answered", "request", e.Rental.Name, "err", err)
				}
			}
			n.back(term, ev)
		})
	case control.Return:
		names := append([]string(nil), e.Machines...)
		n.spawn(func() {
			ev := control.ReturnBack{Machines: names, Outcome: control.Unknown}
			if n.cloud.Wait(n.ctx) == nil && may() && n.mayRent() {
				if err := n.cloud.Return(names); err == nil {
					ev.Outcome = control.OK
				}
			}
			n.back(term, ev)
		})
	case control.List:
		n.spawn(func() {
			asked := time.Now()
			list, err := n.cloud.List(n.ctx)
			if err != nil {
				n.log.Debug("machine list", "err", err)
			}
			n.back(term, control.ListIn{Machines: list, Asked: asked})
		})
	case control.Catalog:
		n.spawn(func() {
			types, err := n.cloud.Catalog(n.ctx)
			if err != nil {
				n.log.Debug("catalogue", "err", err)
			} else {
				n.types.Store(&types)
			}
			n.back(term, control.CatalogIn{Types: types})
		})
	case control.LookUp:
		n.spawn(func() { n.back(term, control.EndsIn{Ends: n.jobs.Ends(n.ctx, e.IDs)}) })
	case control.Commit:
		saves := append([]control.Save(nil), e.Saves...)
		n.spawn(func() {
			ev := control.SaveBack{Saves: saves, Outcome: control.OK}
			rev, ok, err := n.state.Save(n.ctx, r.version, saves)
			ev.Version = rev
			switch {
			case errors.Is(err, store.ErrRejected):
				ev.Outcome = control.Rejected
				n.log.Error("the state service rejects records", "keys", store.Keys(saves), "err", err)
			case errors.Is(err, store.ErrNotExecuted):
				ev.Outcome = control.NotSent
			case err != nil:
				ev.Outcome = control.Unknown
			case !ok:
				ev.Outcome = control.Refused
				if last, err := n.state.StillLast(n.ctx, r.version); err != nil {
					ev.Outcome = control.Unknown
				} else if !last {
					n.election(election.Fenced{Token: r.token})
				}
			}
			n.back(term, ev)
		})
	case control.Fence:
		n.spawn(func() {
			v, ok, err := n.state.Rewrite(n.ctx, n.plat.Member, r.token, r.version)
			if err != nil {
				n.log.Debug("fence", "err", err)
				n.back(term, control.FenceBack{Outcome: control.Unknown})
				return
			}
			if !ok {
				n.election(election.Fenced{Token: r.token})
				return
			}
			n.log.Info("transactions without an answer are void", "token", r.token, "version", v)
			n.post(func(now time.Time) {
				if n.term == term {
					n.elected(now, n.elect.Step(now, election.Rewritten{Token: r.token, Version: v}))
					n.step(now, control.FenceBack{Outcome: control.OK})
				}
			})
		})
	case control.ReadAccounts:
		n.spawn(func() {
			ev := control.AccountsIn{Accounts: map[string]ledger.OnRecord{}}
			for _, team := range e.Teams {
				if r, err := n.state.Account(n.ctx, team); err == nil {
					ev.Accounts[team] = r
				} else {
					n.log.Debug("account in doubt", "team", team, "err", err)
				}
			}
			n.back(term, ev)
		})
	case control.ReadPages:
		n.spawn(func() {
			pages, _, err := n.state.Pages(n.ctx, e.Team, 0, control.OldestPages)
			if err != nil {
				n.log.Debug("closed pages", "team", e.Team, "err", err)
			}
			n.back(term, control.PagesIn{Team: e.Team, Pages: pages})
		})
	}
}

// mayRent tells that the right rests on the lease: on promises alone nothing is rented or
// given back, since nothing of it could be put on record.
func (n *Node) mayRent() bool {
	r := n.right.Load()
	return r != nil && !r.onPromises(time.Now())
}

// jobsChanged queues changes of the job records for the loop. The view is locked
// while it tells of them, and the loop asks it: so nothing is waited for here.
func (n *Node) jobsChanged(changes []store.JobChange) {
	if len(changes) == 0 {
		return
	}
	n.changeMu.Lock()
	n.changes = append(n.changes, changes...)
	n.changeMu.Unlock()
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// applyChanges tells the core of changes of the job records.
func (n *Node) applyChanges(now time.Time) {
	n.changeMu.Lock()
	changes := n.changes
	n.changes = nil
	n.changeMu.Unlock()
	for _, ch := range changes {
		n.step(now, n.jobs.Event(ch))
	}
}

// fetchTypes keeps the machine types known, which users' requests are checked
// against.
func (n *Node) fetchTypes() error {
	for n.ctx.Err() == nil {
		wait := time.Second
		if len(n.Types()) > 0 {
			wait = 5 * time.Minute
		}
		if types, err := n.cloud.Catalog(n.ctx); err == nil {
			n.types.Store(&types)
			wait = 5 * time.Minute
		} else {
			n.log.Debug("catalogue", "err", err)
		}
		store.Wait(n.ctx, wait)
	}
	return nil
}

// --- what the front asks

// Report hands a worker's report to the core.
func (n *Node) Report(ctx context.Context, r *model.Report) front.Verdict {
	return n.report(ctx, control.ReportIn{Report: r})
}

func (n *Node) report(ctx context.Context, r control.ReportIn) front.Verdict {
	leader := ""
	if p := n.leader.Load(); p != nil {
		leader = *p
	}
	if cur := n.right.Load(); !cur.holds() {
		return front.Verdict{Act: leader == n.plat.Member, Leader: n.redirect(leader, time.Now()), Valid: never}
	}
	answer := make(chan front.Verdict, 1)
	f := func(now time.Time) {
		cur := n.right.Load()
		if n.core == nil || !cur.holds() || ctx.Err() != nil {
			answer <- front.Verdict{Act: true, Valid: never}
			return
		}
		v := front.Verdict{Act: true, Token: cur.token, Valid: func() bool {
			r := n.right.Load()
			return r != nil && r.token == cur.token && r.holds()
		}}
		for _, e := range n.step(now, r) {
			if a, ok := e.(control.Answer); ok {
				if v.Orders = a.Orders; a.Refused {
					v.Valid = never
				}
			}
		}
		answer <- v
	}
	select {
	case n.inbox <- f:
	case <-ctx.Done():
		return front.Verdict{Act: true, Valid: never}
	}
	select {
	case v := <-answer:
		return v
	case <-ctx.Done():
		return front.Verdict{Act: true, Valid: never}
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
	alone := n.state.Down(now) > config.Election(n.plat, n.oper).Life+outOfReach
	h := n.heard.Load()
	return !alone || h == nil || h.onPromises || now.Sub(h.at) > outOfReach/2 || n.right.Load().holds()
}
