package fake

import (
	"context"
	"errors"
	"fmt"
	"iter"
	"log/slog"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/rpc"
	"github.com/glentiller/glentiller/internal/staleness"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

// World is a deployment in memory: controllers, the state service, the cloud and
// workers, in a time of its own. It checks the rules as time passes.
type World struct {
	Site
	*Cloud
	State       *State
	Controllers []*Controller
	Workers     map[string]*Worker
	Types       []model.MachineType
	ToldBy      map[string]string // by which member users were told first that a job is cancelled
	Teams       map[string]model.Team
	Limits      store.Limits    // that the controllers keep within
	Bound       staleness.Bound // how old a leader's knowledge of cancellations may be
	Keep        int             // ended jobs that a controller remembers
	Rejected    []string        // records that the state service would not take

	Slow     func() time.Duration                                  // until the state service answers a leader; nil: none
	Net      func(c *Controller, body []byte) (err error, ok bool) // what becomes of a transaction; !ok: nothing
	Observer Observer                                              // nil: nobody listens

	Apart bool // controllers do not reach each other

	CloudMute bool          // the cloud carries requests out, but its answers are lost
	CloudFull bool          // returns wait in the cloud's queue until this ends
	Returns   int           // requests to return machines
	Commands  int           // requests straight to workers
	Gone      time.Duration // the longest from the word that a job is cancelled to the end of its last task
	queue     []func()
	lives     uint64 // of controllers

	Copied []*model.Heartbeat // copies of reports that the network keeps; the oldest go first
	Copies int                // how many it keeps at the most
	Held   []func()           // direct commands that the network holds back
	Again  []Again            // direct commands that were answered, and may be repeated
	Hold   bool               // hold direct commands back and give their senders up
	Way    func() Fate        // what becomes of the next direct command; nil: it is answered
	ledger *reconciler.LedgerSettings

	Looks       bool          // users ask everywhere about a job as a transaction changes its record
	Unread      bool          // members answer from what they have read last: shows that checks can fail
	Asked       int           // questions of users that were answered
	LongestWait time.Duration // of a job for which there was room, once troubles were over
	looking     bool
	calm        time.Time // since when there are no troubles; zero: there are, or nobody has said
	waiting     map[string]time.Time
	waitsAt     time.Time
	full        bool // the cloud has no more machines
}

// Again is a direct command that was carried out once.
type Again struct {
	At time.Time
	Do func()
}

// Fate is what becomes of a direct command on its way.
type Fate uint8

// The fates of direct commands.
const (
	Answered   Fate = iota
	Unanswered      // carried out, but its answer is lost
	Held            // not answered; it may arrive later
	Lost            // not answered, and never arrives
)

// Observer is told what passes between controllers and the stand-ins.
type Observer interface {
	// Taken: a leader takes a worker's message.
	Taken(c *Controller, token uint64, r *model.Heartbeat)
	// Sent: a transaction leaves a controller, now or once more.
	Sent(ops []any)
}

// Controller is one controller of a world.
type Controller struct {
	w      *World
	Member string
	set    reconciler.Settings
	esets  election.Settings
	log    *slog.Logger
	Up     bool
	NoNet  bool          // cut off from the state service
	NoRead bool          // its reads are not answered by the state service; all else is
	Alone  bool          // cut off from the other controllers
	Frozen bool          // stands still while its clocks run on
	Deaf   bool          // cut off from the workers
	Old    bool          // plays a version without a ledger, from its next start on
	Before bool          // plays a program from before levels
	DayOff time.Duration // how far its time of day is off
	Seen   uint64        // the last revision of the job records that it has read
	State  *store.Client
	Jobs   *store.JobCache
	Elect  *election.StateMachine
	Core   *reconciler.Core
	book   *staleness.Tracker // nil: it has no core
	toldBy map[string]store.CancellationCursor
	token  uint64
	ver    uint64
	held   bool

	changes []store.JobChange
	later   []func()
	slow    []slowAnswer // of the state service
	readAt  time.Time    // the changes of the records are not read before this
}

// slowAnswer is one that is on its way.
type slowAnswer struct {
	at time.Time
	f  func()
}

// replied takes the answer to a request to the state service, at once or after a while. It was carried out
// when it was sent.
func (c *Controller) replied(f func()) {
	if c.w.Slow == nil {
		c.later = append(c.later, f)
		return
	}
	c.slow = append(c.slow, slowAnswer{c.w.now.Add(c.w.Slow()), f})
}

// arrive takes the slow answers that are due.
func (c *Controller) arrive() {
	waiting := c.slow
	c.slow = nil
	for i, a := range waiting {
		if !c.w.now.Before(a.at) {
			c.later = append(c.later, a.f)
			continue
		}
		c.slow = append(c.slow, waiting[i])
	}
}

// Call carries a controller's requests to the state service.
func (c *Controller) Call(method, uri string, body []byte, d time.Duration) ([]byte, error) {
	if c.NoNet {
		return nil, &rpc.StatusError{Status: 503}
	}
	if c.NoRead && method == http.MethodGet {
		return nil, context.DeadlineExceeded
	}
	if uri == "/commit" {
		if c.w.Observer != nil {
			c.w.Observer.Sent(Ops(body))
		}
		if c.w.Net != nil {
			if err, ok := c.w.Net(c, body); ok {
				return nil, err
			}
		}
	}
	out, err := c.w.State.Call(method, uri, body, d)
	if err == nil && strings.HasPrefix(uri, "/changes?prefix=job") {
		c.Seen = c.w.State.rev
	}
	return out, err
}

// Ops are the changes of a transaction's request.
func Ops(body []byte) []any {
	v, _, err := msgp.ReadIntfBytes(body)
	m, ok := v.(map[string]any)
	if err != nil || !ok {
		return nil
	}
	ops, _ := m["apply"].([]any)
	return ops
}

// NewWorld makes a deployment with n controllers, which work by the settings.
func NewWorld(n int, set reconciler.Settings, el election.Settings, limits store.Limits, log *slog.Logger) *World {
	w := &World{Workers: map[string]*Worker{}, ToldBy: map[string]string{}, Teams: map[string]model.Team{},
		Limits: limits, Keep: 1000, ledger: set.Ledger}
	w.Site = newSite(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), w.gang)
	w.Lease, w.ReportEvery, w.GangWait, w.CancelIn = set.WorkerLease, set.HeartbeatInterval, set.GangWait, set.CancelWithin
	w.Cloud = NewCloud(func() int { return len(w.Workers) })
	w.State = NewState(func() time.Time { return w.now })
	w.State.Carried = w.look
	w.Bound, _ = staleness.BoundFor(set.CancelWithin, set.WorkerLease)
	for _, t := range set.Teams {
		w.Teams[t.Name] = t
	}
	for i := range n {
		c := &Controller{w: w, Member: fmt.Sprintf("tiller-%d", i), set: set, esets: el, log: log}
		c.set.Member, c.esets.Member = c.Member, c.Member
		w.Controllers = append(w.Controllers, c)
	}
	for _, c := range w.Controllers {
		c.Start()
	}
	return w
}

// Start starts a controller with nothing in memory.
func (c *Controller) Start() {
	c.Up, c.Core, c.book, c.held, c.Frozen = true, nil, nil, false, false
	c.toldBy = map[string]store.CancellationCursor{}
	c.w.lives++
	c.State = store.NewOver(c, c, time.Second)
	c.State.SetRateLimits(1e9, 1e9)
	c.changes, c.later, c.slow, c.readAt = nil, nil, nil, time.Time{}
	if c.set.Ledger = c.w.ledger; c.Old {
		c.set.Ledger = nil
	}
	if c.set.Ledger != nil {
		own := *c.set.Ledger
		own.TimeOfDay = func(now time.Time) time.Time { return now.Add(c.DayOff) }
		c.set.Ledger = &own
	}
	c.Jobs = store.NewJobCache(c.State, c.w.lives, c.w.Keep, c.w.Limits, func(ch []store.JobChange) { c.changes = append(c.changes, ch...) }, c.log)
	c.State.SetClock(func() time.Time { return c.w.now }, func(time.Duration) {})
	c.esets.Peers = nil
	for _, o := range c.w.Controllers {
		if o != c {
			c.esets.Peers = append(c.esets.Peers, o.Member)
		}
	}
	c.Elect = election.New(c.w.now, c.esets, c.log)
}

// Crash ends a controller without a word.
func (c *Controller) Crash() { c.Up, c.Core, c.book = false, nil, nil }

// Leads tells whether the controller may act for all.
func (c *Controller) Leads() bool {
	return c.entitled() && c.w.now.Before(c.book.KnownAsOf().Add(c.w.Bound.KeepLeases))
}

func (c *Controller) entitled() bool {
	return c.Up && c.Core != nil && c.Elect.LeadershipValid(c.w.now)
}

// Team is a team as the controller knows it; nil: it does not.
func (c *Controller) Team(name string) *model.Team {
	for i := range c.set.Teams {
		if c.set.Teams[i].Name == name {
			return &c.set.Teams[i]
		}
	}
	return nil
}

// Leader is the controller that may act, if there is one.
func (w *World) Leader() *Controller {
	var l *Controller
	for _, c := range w.Controllers {
		if !c.entitled() {
			continue
		}
		if l != nil {
			w.broken("two leaders: %s and %s", l.Member, c.Member)
		}
		l = c
	}
	if l != nil && !l.Leads() {
		return nil
	}
	return l
}

// Pass lets time pass.
func (w *World) Pass(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(w.Tick)
		w.drain()
		for _, l := range w.Up(w.now) {
			w.AddMachine(l)
		}
		for _, c := range w.Controllers {
			c.step()
		}
		for _, name := range w.Names() {
			if k := w.Workers[name]; k != nil {
				if k.Advance() && !k.Cut && !k.Mute {
					w.send(k)
				}
			}
		}
		w.Check()
		w.checkWaits()
	}
}

// drain carries out the returns that wait.
func (w *World) drain() {
	for !w.CloudFull && len(w.queue) > 0 {
		f := w.queue[0]
		w.queue = w.queue[1:]
		f()
	}
}

// Release has the commands arrive that the network has held.
func (w *World) Release() {
	held := w.Held
	w.Held = nil
	for _, f := range held {
		f()
		w.Check()
	}
}

// Names lists the machines that are up, in order.
func (w *World) Names() []string {
	var names []string
	for n := range w.Workers {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// Elect has a controller take an event of its election.
func (w *World) Elect(c *Controller, ev election.Event) {
	if c.Up {
		c.election(ev)
	}
}

// Late has a copy of an earlier report arrive at whoever leads, or at a controller of the caller's
// choice. Nobody waits for its answer.
func (w *World) Late(c *Controller, r *model.Heartbeat) {
	c.report(r, false)
	w.Check()
}

// Blink has a machine end and be back at once: everything on it is gone, and its worker begins with
// its first numbers.
func (w *World) Blink(k *Worker) {
	w.Workers[k.Name] = nil
	n := w.AddMachine(model.MachineInfo{Name: k.Name, Type: k.Type, Zone: k.Zone, Spot: k.Spot})
	n.target, n.Deaf, n.Mute, n.Cut, n.Hung, n.Sick, n.Slow = k.target, k.Deaf, k.Mute, k.Cut, k.Hung, k.Sick, k.Slow
}

// AddMachine brings a machine up.
func (w *World) AddMachine(l model.MachineInfo) *Worker {
	k := &Worker{site: &w.Site, Name: l.Name, Type: l.Type, Zone: l.Zone, Spot: l.Spot, Session: 1, Tasks: map[model.AttemptKey]*Task{}, renewed: w.now}
	w.Workers[l.Name] = k
	return k
}

// Submit has a job accepted by a controller.
func (w *World) Submit(c *Controller, s *model.Spec) error {
	w.Specs[s.ID] = s
	ctx := context.Background()
	awaits := s.Dependencies
	doomed, err := c.Jobs.ResolveDependencies(ctx, s)
	if err != nil {
		return err
	}
	if w.Awaits[s.ID] == nil {
		w.Awaits[s.ID] = awaits
	}
	_, v, err := c.Jobs.Accept(ctx, s, doomed, w.now)
	if err == nil {
		w.tell(c.Member, s.ID, v.State)
	}
	return err
}

// Cancel cancels a job through a controller.
func (w *World) Cancel(c *Controller, id string) (store.JobRecord, error) {
	if h := w.told[id]; h != nil {
		h.askedTo = true
	}
	v, err := c.Jobs.Cancel(context.Background(), id, w.now)
	if _, told := w.Cancelled[id]; err == nil && !told && v.State.Ended() && !w.AllDone(id) {
		w.Cancelled[id], w.ToldBy[id] = w.now, c.Member
	}
	if err == nil {
		w.tell(c.Member, id, v.State)
	}
	return v, err
}

// On lists the machines that a task is on.
func (w *World) On(t model.TaskID) []string {
	var on []string
	for _, n := range w.Names() {
		for _, x := range w.Workers[n].Tasks {
			if x.ID == t && x.On() {
				on = append(on, n)
			}
		}
	}
	return on
}

// Check looks for broken rules.
func (w *World) Check() {
	on := map[model.TaskID]string{}
	used := map[string]model.Resources{}
	zones := map[string]map[string]int{}
	for _, n := range w.Names() {
		k := w.Workers[n]
		for _, t := range k.Tasks {
			if !t.On() {
				continue
			}
			if other, ok := on[t.ID]; ok {
				w.broken("ran_twice: %v on %s and %s", t.ID, other, n)
			}
			on[t.ID] = n
			for _, need := range w.Awaits[t.ID.Job] {
				if !w.AllDone(need) {
					w.broken("too_early: %v on %s before %s is done", t.ID, n, need)
				}
			}
			used[t.Spec.Team] = used[t.Spec.Team].Add(t.Spec.Demand)
			if zones[t.ID.Job] == nil {
				zones[t.ID.Job] = map[string]int{}
			}
			zones[t.ID.Job][k.Zone]++
			if !t.Spec.AllowSpot && k.Spot || !t.Spec.AllowsType(k.Type) {
				w.broken("wrong_place: %v on %s", t.ID, n)
			}
			if at, ok := w.Cancelled[t.ID.Job]; ok {
				w.Gone = max(w.Gone, w.now.Sub(at))
				if w.now.Sub(at) > w.CancelIn {
					w.broken("ran_cancelled: %v on %s, told by %s", t.ID, n, w.ToldBy[t.ID.Job])
				}
			}
		}
	}
	for team, u := range used {
		if !w.Teams[team].Quota.Allows(u) {
			w.broken("quota: %s uses %v", team, u)
		}
	}
	for id, z := range zones {
		s := w.Specs[id]
		for zone, n := range z {
			if s.Spread && n > s.MaxTasksPerZone() || s.SingleZone && len(z) > 1 {
				w.broken("wrong_place: %s has %d tasks in %s", id, n, zone)
			}
		}
	}
}

// gang finds the tasks of a gang's attempt on all machines.
func (w *World) gang(job string, attempt uint64) iter.Seq[*Task] {
	return func(yield func(*Task) bool) {
		for _, k := range w.Workers {
			for _, t := range k.Tasks {
				if t.ID.Job == job && t.Try == attempt && !yield(t) {
					return
				}
			}
		}
	}
}

// --- controllers

type verdict struct {
	token  uint64
	orders []model.Command
}

func (c *Controller) report(r *model.Heartbeat, handed bool) (verdict, bool) {
	if !c.Leads() || c.Deaf || c.Frozen {
		return verdict{}, false
	}
	v, ok := verdict{token: c.token}, true
	for _, e := range c.act(reconciler.HeartbeatReceived{Heartbeat: r, Relayed: handed}) {
		if a, is := e.(reconciler.HeartbeatResponse); is {
			v.orders, ok = a.Commands, !a.Refused
		}
	}
	return v, ok
}

func (c *Controller) step() {
	if !c.Up || c.Frozen {
		return
	}
	c.arrive()
	later := c.later
	c.later = nil
	for _, f := range later {
		f()
	}
	c.election(election.Tick{})
	if c.Elect.State() == election.Following {
		if r, err := c.look(); err == nil && !r.Held {
			c.election(election.LeaderKeyVacant{})
		}
	}
	if c.Core == nil {
		if !c.Jobs.Loaded() {
			_ = c.Jobs.Refresh(context.Background()) // tried again with the next step
		}
		return
	}
	if c.Jobs.Loaded() && !c.w.now.Before(c.readAt) {
		_ = c.Jobs.CatchUp(context.Background()) // tried again with the next step
		if c.w.Slow != nil {
			c.readAt = c.w.now.Add(c.w.Slow())
		}
	}
	at := c.Jobs.AsOf()
	c.applyChanges()
	if c.book == nil {
		return // another leader has taken over
	}
	c.book.RecordsRead(at)
	if !c.Leads() && c.w.now.Before(c.Elect.LeaseValidUntil()) {
		c.election(election.Resign{}) // it is served, and knows too little to act
		return
	}
	if c.Leads() {
		if c.held {
			c.Core.Resume(c.w.now)
		}
		c.Core.PauseStarts(!c.w.now.Before(c.Elect.StartsValidUntil()) || !c.w.now.Before(c.book.KnownAsOf().Add(c.w.Bound.StartTasks)))
		c.act(reconciler.Tick{})
		if c.Core.Isolated(c.w.now) {
			c.election(election.Resign{})
		}
	}
	c.held = c.Core != nil && !c.Leads()
}

// applyChanges tells the core of changes of the job records.
func (c *Controller) applyChanges() {
	changes := c.changes
	c.changes = nil
	for _, ch := range changes {
		c.act(c.Jobs.EventFor(ch))
	}
}

// look reads who leads. A program from before levels takes every record there for a token's.
func (c *Controller) look() (election.Record, error) {
	r, _, err := c.State.ReadLeaderRecord(context.Background())
	if !c.Before || err != nil {
		return r, err
	}
	entries, _, err := c.State.List(context.Background(), "leader/")
	for _, e := range entries {
		if _, _, bad := wire.DecodeLeaderRecord(e.Value); bad != nil {
			err = bad
		}
	}
	r.Level, r.LevelVersion = 0, 0
	return r, err
}

// claim takes the leader's key and the next token. A program from before levels knows no
// condition on one.
func (c *Controller) claim(e election.Claim) (uint64, bool, error) {
	if !c.Before {
		return c.State.ClaimLeadership(context.Background(), c.Member, e)
	}
	v := wire.AppendLeaderRecord(nil, e.FencingToken, c.Member)
	return c.State.Commit(context.Background(), &wire.Txn{
		Conditions: []wire.Condition{{Key: "leader/holder"}, {Key: "leader/token", Version: e.TokenVersion}},
		Changes:    []wire.Change{{Key: "leader/holder", Value: v, Lease: e.LeaseID}, {Key: "leader/token", Value: v}}}, true)
}

func (c *Controller) election(ev election.Event) {
	for _, e := range c.Elect.Step(c.w.now, ev) {
		sent := c.w.now
		switch e := e.(type) {
		case election.ReadRecord:
			r, err := c.look()
			c.replied(func() { c.election(election.RecordRead{Record: r, Err: err}) })
		case election.GrantLease:
			id, err := c.State.GrantLease(e.Duration)
			c.replied(func() { c.election(election.LeaseGranted{LeaseID: id, Sent: sent, Err: err}) })
		case election.Claim:
			v, ok, err := c.claim(e)
			c.replied(func() { c.election(election.ClaimCompleted{OK: ok, TokenVersion: v, Err: err}) })
		case election.RenewLease:
			err := c.State.RenewLease(e.LeaseID)
			c.replied(func() {
				c.election(election.LeaseRenewed{LeaseID: e.LeaseID, Sent: sent, Expired: err == store.ErrLeaseExpired, Err: err})
			})
		case election.RequestVotes:
			for _, o := range c.w.Controllers {
				if o == c {
					continue
				}
				rev, silent, told := c.Jobs.Revision(), c.w.now.Sub(c.State.LastContact()), c.toldBy[o.Member]
				c.w.between(c, o, func() {
					q := election.VoteRequest{Leader: c.Member, FencingToken: e.FencingToken, Seq: e.Seq, Duration: e.Duration, Supersedes: e.Supersedes}
					word := o.Jobs.CancellationsAfter(rev, told)
					long := o.promise(q, silent)
					c.w.between(o, c, func() {
						if c.token != e.FencingToken || c.Core == nil {
							return
						}
						c.Jobs.ApplyCancellations(word.Cancelled)
						c.applyChanges()
						c.toldBy[o.Member] = word.Cursor
						if word.Complete && c.book != nil {
							c.book.Acknowledged(o.Member, sent)
						}
						if long > 0 {
							c.election(election.VoteReceived{Member: o.Member, FencingToken: e.FencingToken, Sent: sent, Seq: e.Seq, Duration: long})
						}
					})
				})
			}
		case election.QueryLeadership:
			for _, o := range c.w.Controllers {
				if o != c {
					life := c.Elect
					c.w.between(c, o, func() {
						if s := o.Elect.State(); s != election.Leading && s != election.Claiming {
							c.w.between(o, c, func() {
								if c.Elect == life {
									c.election(election.NotLeadingReceived{Member: o.Member, Sent: sent})
								}
							})
						}
					})
				}
			}
		case election.ReleaseVotes:
			for _, o := range c.w.Controllers {
				if o != c {
					c.w.between(c, o, func() { o.Elect.HandleVoteRelease(e.FencingToken) })
				}
			}
		case election.RevokeLease:
			_ = c.State.RevokeLease(e.LeaseID) // a lost drop only means waiting for the lease
		case election.Elected:
			c.token, c.ver = e.FencingToken, e.TokenVersion
			c.takeOver()
		case election.Deposed:
			c.Core, c.book = nil, nil
		}
	}
}

// promise decides as package node does.
func (c *Controller) promise(q election.VoteRequest, silent time.Duration) time.Duration {
	if c.Jobs.Revision() == 0 || c.State.LastContact().Sub(c.w.now.Add(-silent)) > 2*time.Second && c.State.UnreachableFor(c.w.now) == 0 {
		return 0
	}
	return c.Elect.HandleVoteRequest(c.w.now, q)
}

// between carries a message from one controller to another, unless one is down or they are
// cut off from each other.
func (w *World) between(from, to *Controller, deliver func()) {
	if !from.Up || !to.Up || w.Apart || from.Alone || to.Alone {
		return
	}
	life := to.Elect
	to.later = append(to.later, func() {
		if to.Elect == life {
			deliver()
		}
	})
}

func (c *Controller) takeOver() {
	ctx := context.Background()
	if err := c.Jobs.Refresh(ctx); err != nil {
		c.later = append(c.later, c.takeOver)
		return
	}
	snap, err := c.State.ReadSnapshot(ctx, c.set.Ledger != nil)
	if err != nil {
		c.later = append(c.later, c.takeOver)
		return
	}
	c.Jobs.AddToSnapshot(snap)
	c.Core = reconciler.New(c.w.now, c.set, c.token, snap, c.w.Types, c.log)
	c.changes = nil
	c.book = staleness.NewTracker(c.esets.Peers, c.Jobs.AsOf())
}

// act hands an event to the core and carries out the effects.
func (c *Controller) act(ev reconciler.Event) []reconciler.Effect {
	if c.Core == nil {
		return nil
	}
	if c.w.Observer != nil {
		switch ev := ev.(type) {
		case reconciler.HeartbeatReceived:
			c.w.Observer.Taken(c, c.token, ev.Heartbeat)
		case reconciler.CommandCompleted:
			if ev.Heartbeat != nil {
				c.w.Observer.Taken(c, c.token, ev.Heartbeat)
			}
		}
	}
	effects := append([]reconciler.Effect(nil), c.Core.Step(c.w.now, ev)...)
	core := c.Core
	back := func(ev reconciler.Event) {
		f := func() {
			if c.Core == core {
				c.act(ev)
			}
		}
		switch ev.(type) {
		case reconciler.CommitCompleted, reconciler.FenceCompleted:
			c.replied(f)
		default:
			c.later = append(c.later, f)
		}
	}
	for _, e := range effects {
		c.perform(e, back)
	}
	return effects
}

func (c *Controller) perform(e reconciler.Effect, back func(reconciler.Event)) {
	w, token := c.w, c.token
	switch e := e.(type) {
	case reconciler.SendCommands:
		w.Commands++
		ev := reconciler.CommandCompleted{Machine: e.Machine, Epoch: e.Epoch, Commands: e.Commands, Outcome: reconciler.Unknown}
		k := w.Workers[e.Machine]
		deliver := func() (reconciler.Outcome, *model.Heartbeat) {
			if k == nil || w.Workers[e.Machine] != k { // a later life knows nothing of its connections
				return reconciler.Unknown, nil
			}
			if !k.Command(token, e.Epoch, e.Commands) {
				return reconciler.Refused, k.report()
			}
			return reconciler.OK, k.report()
		}
		fate := Answered
		if w.Way != nil {
			fate = w.Way()
		}
		switch {
		case w.Hold, fate == Held:
			w.Held = append(w.Held, func() { deliver() })
		case fate == Lost:
		case k != nil && k.Hung:
			w.Held = append(w.Held, func() { deliver() }) // it is carried out when the machine goes on
		case k != nil && !k.Cut && !k.Deaf && !c.Deaf && c.Leads():
			if len(e.Commands) > 0 && w.Copies > 0 {
				w.Again = append(w.Again[max(0, len(w.Again)-w.Copies):], Again{w.now, func() { deliver() }})
			}
			if ev.Outcome, ev.Heartbeat = deliver(); fate == Unanswered {
				ev.Outcome, ev.Heartbeat = reconciler.Unknown, nil
			}
		}
		back(ev)
	case reconciler.Provision:
		if w.full {
			back(reconciler.ProvisionCompleted{Provisioning: e.Provisioning, Outcome: reconciler.Refused})
			return
		}
		names, ok := w.Rent(w.now, e.Provisioning)
		if !ok {
			back(reconciler.ProvisionCompleted{Provisioning: e.Provisioning, Outcome: reconciler.Refused})
			return
		}
		if w.CloudMute {
			back(reconciler.ProvisionCompleted{Provisioning: e.Provisioning, Outcome: reconciler.Unknown})
		} else {
			back(reconciler.ProvisionCompleted{Provisioning: e.Provisioning, Outcome: reconciler.OK, Machines: names})
		}
	case reconciler.Release:
		w.Returns++
		w.queue = append(w.queue, func() {
			for _, n := range e.Machines {
				delete(w.Workers, n)
				w.Forget(n)
			}
			back(reconciler.ReleaseCompleted{Machines: e.Machines, Outcome: reconciler.OK})
		})
		w.drain()
	case reconciler.ListMachines:
		var list []model.MachineInfo
		for _, n := range w.Names() {
			k := w.Workers[n]
			list = append(list, model.MachineInfo{Name: n, Addr: n, Type: k.Type, Zone: k.Zone, Spot: k.Spot})
		}
		back(reconciler.MachineListReceived{Machines: list, RequestedAt: w.now})
	case reconciler.FetchCatalog:
		back(reconciler.CatalogReceived{Types: w.Types})
	case reconciler.LookUpJobEnds:
		back(reconciler.JobEndsReceived{Ends: c.Jobs.ReadEnds(context.Background(), e.IDs)})
	case reconciler.Commit:
		rev, ok, err := c.State.CommitFenced(context.Background(), c.ver, e.Changes)
		ev := reconciler.CommitCompleted{Changes: e.Changes, Outcome: reconciler.OK, Version: rev}
		switch {
		case errors.Is(err, store.ErrRejected):
			ev.Outcome = reconciler.Rejected
			w.Rejected = append(w.Rejected, store.ChangeKeys(e.Changes)...)
		case errors.Is(err, store.ErrNotExecuted):
			ev.Outcome = reconciler.NotSent
		case err != nil:
			ev.Outcome = reconciler.Unknown
		case !ok:
			ev.Outcome = reconciler.Refused
			if last, err := c.State.TokenUnchanged(context.Background(), c.ver); err == nil && !last {
				c.election(election.Fenced{FencingToken: token})
			}
		}
		back(ev)
	case reconciler.Fence:
		v, ok, err := c.State.RewriteToken(context.Background(), c.Member, token, c.ver)
		switch {
		case err != nil:
			back(reconciler.FenceCompleted{Outcome: reconciler.Unknown})
		case !ok:
			c.election(election.Fenced{FencingToken: token})
		default:
			c.ver = v
			c.election(election.TokenRewritten{FencingToken: token, TokenVersion: v})
			back(reconciler.FenceCompleted{Outcome: reconciler.OK})
		}
	case reconciler.ReadAccounts:
		ev := reconciler.AccountsReceived{Accounts: map[string]ledger.StoredAccount{}}
		for _, team := range e.Teams {
			if r, err := c.State.Account(context.Background(), team); err == nil {
				ev.Accounts[team] = r
			}
		}
		back(ev)
	case reconciler.ReadSegments:
		pages, _, _ := c.State.Segments(context.Background(), e.Team, 0, reconciler.MaxSegmentsRead) // none: looked for again later
		back(reconciler.SegmentsReceived{Team: e.Team, Segments: pages})
	}
}
