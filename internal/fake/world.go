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
	State             *State
	Controllers       []*Controller
	Workers           map[string]*Worker
	Types             []model.MachineType
	CancelConfirmedBy map[string]string // by which member users were told first that a job is cancelled
	Teams             map[string]model.Team
	Limits            store.Limits    // that the controllers keep within
	StalenessBound    staleness.Bound // how old a leader's knowledge of cancellations may be
	EndedJobsKept     int             // ended jobs that a controller remembers
	RejectedKeys      []string        // records that the state service would not take

	StateLatency    func() time.Duration                                  // until the state service answers a leader; nil: none
	InterceptCommit func(c *Controller, body []byte) (err error, ok bool) // what becomes of a transaction; !ok: nothing
	Observer        Observer                                              // nil: nobody listens

	ControllersPartitioned bool // controllers do not reach each other

	CloudAnswersLost    bool          // the cloud carries requests out, but its answers are lost
	ReleasesBlocked     bool          // returns wait in the cloud's queue until this ends
	ReleaseRequests     int           // requests to return machines
	DirectCommands      int           // requests straight to workers
	LongestCancellation time.Duration // the longest from the word that a job is cancelled to the end of its last task
	pendingReleases     []func()
	controllerStarts    uint64 // of controllers

	RetainedHeartbeats    []*model.Heartbeat  // copies of reports that the network keeps; the oldest go first
	MaxRetainedHeartbeats int                 // how many it keeps at the most
	HeldCommands          []func()            // direct commands that the network holds back
	RepeatableCommands    []RepeatableCommand // direct commands that were answered, and may be repeated
	HoldCommands          bool                // hold direct commands back and give their senders up
	NextDelivery          func() Delivery     // what becomes of the next direct command; nil: it is answered
	ledger                *reconciler.LedgerSettings

	PollOnCommit        bool          // users ask everywhere about a job as a transaction changes its record
	StaleReads          bool          // members answer from what they have read last: shows that checks can fail
	AnsweredPolls       int           // questions of users that were answered
	LongestWait         time.Duration // of a job for which there was room, once troubles were over
	polling             bool
	faultsEndedAt       time.Time // since when there are no troubles; zero: there are, or nobody has said
	waitingSince        map[string]time.Time
	starvationCheckedAt time.Time
	cloudExhausted      bool // the cloud has no more machines
}

// RepeatableCommand is a direct command that was carried out once.
type RepeatableCommand struct {
	DeliveredAt time.Time
	Repeat      func()
}

// Delivery is what becomes of a direct command on its way.
type Delivery uint8

// The fates of direct commands.
const (
	Delivered  Delivery = iota
	AnswerLost          // carried out, but its answer is lost
	Delayed             // not answered; it may arrive later
	Dropped             // not answered, and never arrives
)

// Observer is told what passes between controllers and the stand-ins.
type Observer interface {
	// HeartbeatAccepted: a leader takes a worker's message.
	HeartbeatAccepted(c *Controller, token uint64, r *model.Heartbeat)
	// TransactionSent: a transaction leaves a controller, now or once more.
	TransactionSent(ops []any)
}

// Controller is one controller of a world.
type Controller struct {
	world               *World
	Member              string
	settings            reconciler.Settings
	electionSettings    election.Settings
	log                 *slog.Logger
	Up                  bool
	StateUnreachable    bool          // cut off from the state service
	ReadsBlocked        bool          // its reads are not answered by the state service; all else is
	PeersUnreachable    bool          // cut off from the other controllers
	Frozen              bool          // stands still while its clocks run on
	WorkersUnreachable  bool          // cut off from the workers
	WithoutLedger       bool          // plays a version without a ledger, from its next start on
	WithoutFeatureGates bool          // plays a program from before levels
	ClockOffset         time.Duration // how far its time of day is off
	ReadRevision        uint64        // the last revision of the job records that it has read
	State               *store.Client
	Jobs                *store.JobCache
	Election            *election.StateMachine
	Reconciler          *reconciler.Core
	staleness           *staleness.Tracker // nil: it has no core
	acknowledgedBy      map[string]store.CancellationCursor
	fencingToken        uint64
	tokenVersion        uint64
	suspended           bool

	jobChanges     []store.JobChange
	deferred       []func()
	delayedReplies []delayedReply // of the state service
	nextReadAt     time.Time      // the changes of the records are not read before this
}

// delayedReply is one that is on its way.
type delayedReply struct {
	dueAt   time.Time
	deliver func()
}

// onStateReply takes the answer to a request to the state service, at once or after a while. It was carried out
// when it was sent.
func (c *Controller) onStateReply(f func()) {
	if c.world.StateLatency == nil {
		c.deferred = append(c.deferred, f)
		return
	}
	c.delayedReplies = append(c.delayedReplies, delayedReply{c.world.now.Add(c.world.StateLatency()), f})
}

// collectDelayedReplies takes the slow answers that are due.
func (c *Controller) collectDelayedReplies() {
	waiting := c.delayedReplies
	c.delayedReplies = nil
	for i, a := range waiting {
		if !c.world.now.Before(a.dueAt) {
			c.deferred = append(c.deferred, a.deliver)
			continue
		}
		c.delayedReplies = append(c.delayedReplies, waiting[i])
	}
}

// Call carries a controller's requests to the state service.
func (c *Controller) Call(method, uri string, body []byte, d time.Duration) ([]byte, error) {
	if c.StateUnreachable {
		return nil, &rpc.StatusError{Status: 503}
	}
	if c.ReadsBlocked && method == http.MethodGet {
		return nil, context.DeadlineExceeded
	}
	if uri == "/commit" {
		if c.world.Observer != nil {
			c.world.Observer.TransactionSent(TransactionOps(body))
		}
		if c.world.InterceptCommit != nil {
			if err, ok := c.world.InterceptCommit(c, body); ok {
				return nil, err
			}
		}
	}
	out, err := c.world.State.Call(method, uri, body, d)
	if err == nil && strings.HasPrefix(uri, "/changes?prefix=job") {
		c.ReadRevision = c.world.State.revision
	}
	return out, err
}

// TransactionOps are the changes of a transaction's request.
func TransactionOps(body []byte) []any {
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
	w := &World{Workers: map[string]*Worker{}, CancelConfirmedBy: map[string]string{}, Teams: map[string]model.Team{},
		Limits: limits, EndedJobsKept: 1000, ledger: set.Ledger}
	w.Site = newSite(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), w.gangAttemptTasks)
	w.Lease, w.HeartbeatInterval, w.GangWait, w.CancelDeadline = set.WorkerLease, set.HeartbeatInterval, set.GangWait, set.CancelWithin
	w.Cloud = NewCloud(func() int { return len(w.Workers) })
	w.State = NewState(func() time.Time { return w.now })
	w.State.OnCommit = w.pollCommitted
	w.StalenessBound, _ = staleness.BoundFor(set.CancelWithin, set.WorkerLease)
	for _, t := range set.Teams {
		w.Teams[t.Name] = t
	}
	for i := range n {
		c := &Controller{world: w, Member: fmt.Sprintf("tiller-%d", i), settings: set, electionSettings: el, log: log}
		c.settings.Member, c.electionSettings.Member = c.Member, c.Member
		w.Controllers = append(w.Controllers, c)
	}
	for _, c := range w.Controllers {
		c.Start()
	}
	return w
}

// Start starts a controller with nothing in memory.
func (c *Controller) Start() {
	c.Up, c.Reconciler, c.staleness, c.suspended, c.Frozen = true, nil, nil, false, false
	c.acknowledgedBy = map[string]store.CancellationCursor{}
	c.world.controllerStarts++
	c.State = store.NewOver(c, c, time.Second)
	c.State.SetRateLimits(1e9, 1e9)
	c.jobChanges, c.deferred, c.delayedReplies, c.nextReadAt = nil, nil, nil, time.Time{}
	if c.settings.Ledger = c.world.ledger; c.WithoutLedger {
		c.settings.Ledger = nil
	}
	if c.settings.Ledger != nil {
		own := *c.settings.Ledger
		own.TimeOfDay = func(now time.Time) time.Time { return now.Add(c.ClockOffset) }
		c.settings.Ledger = &own
	}
	c.Jobs = store.NewJobCache(c.State, c.world.controllerStarts, c.world.EndedJobsKept, c.world.Limits, func(ch []store.JobChange) { c.jobChanges = append(c.jobChanges, ch...) }, c.log)
	c.State.SetClock(func() time.Time { return c.world.now }, func(time.Duration) {})
	c.electionSettings.Peers = nil
	for _, o := range c.world.Controllers {
		if o != c {
			c.electionSettings.Peers = append(c.electionSettings.Peers, o.Member)
		}
	}
	c.Election = election.New(c.world.now, c.electionSettings, c.log)
}

// Crash ends a controller without a word.
func (c *Controller) Crash() { c.Up, c.Reconciler, c.staleness = false, nil, nil }

// Leads tells whether the controller may act for all.
func (c *Controller) Leads() bool {
	return c.holdsLease() && c.world.now.Before(c.staleness.KnownAsOf().Add(c.world.StalenessBound.KeepLeases))
}

func (c *Controller) holdsLease() bool {
	return c.Up && c.Reconciler != nil && c.Election.LeadershipValid(c.world.now)
}

// Team is a team as the controller knows it; nil: it does not.
func (c *Controller) Team(name string) *model.Team {
	for i := range c.settings.Teams {
		if c.settings.Teams[i].Name == name {
			return &c.settings.Teams[i]
		}
	}
	return nil
}

// Leader is the controller that may act, if there is one.
func (w *World) Leader() *Controller {
	var l *Controller
	for _, c := range w.Controllers {
		if !c.holdsLease() {
			continue
		}
		if l != nil {
			w.violated("two leaders: %s and %s", l.Member, c.Member)
		}
		l = c
	}
	if l != nil && !l.Leads() {
		return nil
	}
	return l
}

// Advance lets time pass.
func (w *World) Advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(w.Tick)
		w.runPendingReleases()
		for _, l := range w.TakeBooted(w.now) {
			w.AddMachine(l)
		}
		for _, c := range w.Controllers {
			c.step()
		}
		for _, name := range w.WorkerNames() {
			if k := w.Workers[name]; k != nil {
				if k.Advance() && !k.Partitioned && !k.OutboundBlocked {
					w.sendHeartbeat(k)
				}
			}
		}
		w.CheckInvariants()
		w.checkStarvation()
	}
}

// runPendingReleases carries out the returns that wait.
func (w *World) runPendingReleases() {
	for !w.ReleasesBlocked && len(w.pendingReleases) > 0 {
		f := w.pendingReleases[0]
		w.pendingReleases = w.pendingReleases[1:]
		f()
	}
}

// DeliverHeldCommands has the commands arrive that the network has held.
func (w *World) DeliverHeldCommands() {
	held := w.HeldCommands
	w.HeldCommands = nil
	for _, f := range held {
		f()
		w.CheckInvariants()
	}
}

// WorkerNames lists the machines that are up, in order.
func (w *World) WorkerNames() []string {
	var names []string
	for n := range w.Workers {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// StepElection has a controller take an event of its election.
func (w *World) StepElection(c *Controller, ev election.Event) {
	if c.Up {
		c.stepElection(ev)
	}
}

// ReplayHeartbeat has a copy of an earlier report arrive at whoever leads, or at a controller of the caller's
// choice. Nobody waits for its answer.
func (w *World) ReplayHeartbeat(c *Controller, r *model.Heartbeat) {
	c.handleHeartbeat(r, false)
	w.CheckInvariants()
}

// RestartWorker has a machine end and be back at once: everything on it is gone, and its worker begins with
// its first numbers.
func (w *World) RestartWorker(k *Worker) {
	w.Workers[k.Name] = nil
	n := w.AddMachine(model.MachineInfo{Name: k.Name, Type: k.Type, Zone: k.Zone, Spot: k.Spot})
	n.controllerIndex, n.InboundBlocked, n.OutboundBlocked, n.Partitioned, n.Hung, n.Faulty, n.FetchDelay = k.controllerIndex, k.InboundBlocked, k.OutboundBlocked, k.Partitioned, k.Hung, k.Faulty, k.FetchDelay
}

// AddMachine brings a machine up.
func (w *World) AddMachine(l model.MachineInfo) *Worker {
	k := &Worker{site: &w.Site, Name: l.Name, Type: l.Type, Zone: l.Zone, Spot: l.Spot, Epoch: 1, Tasks: map[model.AttemptKey]*Task{}, leaseRenewedAt: w.now}
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
	if w.Dependencies[s.ID] == nil {
		w.Dependencies[s.ID] = awaits
	}
	_, v, err := c.Jobs.Accept(ctx, s, doomed, w.now)
	if err == nil {
		w.recordAnswer(c.Member, s.ID, v.State)
	}
	return err
}

// Cancel cancels a job through a controller.
func (w *World) Cancel(c *Controller, id string) (store.JobRecord, error) {
	if h := w.answers[id]; h != nil {
		h.cancelRequested = true
	}
	v, err := c.Jobs.Cancel(context.Background(), id, w.now)
	if _, told := w.CancelledAt[id]; err == nil && !told && v.State.Ended() && !w.AllCompleted(id) {
		w.CancelledAt[id], w.CancelConfirmedBy[id] = w.now, c.Member
	}
	if err == nil {
		w.recordAnswer(c.Member, id, v.State)
	}
	return v, err
}

// MachinesOf lists the machines that a task is on.
func (w *World) MachinesOf(t model.TaskID) []string {
	var on []string
	for _, n := range w.WorkerNames() {
		for _, x := range w.Workers[n].Tasks {
			if x.ID == t && x.OnMachine() {
				on = append(on, n)
			}
		}
	}
	return on
}

// CheckInvariants looks for broken rules.
func (w *World) CheckInvariants() {
	on := map[model.TaskID]string{}
	used := map[string]model.Resources{}
	zones := map[string]map[string]int{}
	for _, n := range w.WorkerNames() {
		k := w.Workers[n]
		for _, t := range k.Tasks {
			if !t.OnMachine() {
				continue
			}
			if other, ok := on[t.ID]; ok {
				w.violated("ran_twice: %v on %s and %s", t.ID, other, n)
			}
			on[t.ID] = n
			for _, need := range w.Dependencies[t.ID.Job] {
				if !w.AllCompleted(need) {
					w.violated("too_early: %v on %s before %s is done", t.ID, n, need)
				}
			}
			used[t.Spec.Team] = used[t.Spec.Team].Add(t.Spec.Demand)
			if zones[t.ID.Job] == nil {
				zones[t.ID.Job] = map[string]int{}
			}
			zones[t.ID.Job][k.Zone]++
			if !t.Spec.AllowSpot && k.Spot || !t.Spec.AllowsType(k.Type) {
				w.violated("wrong_place: %v on %s", t.ID, n)
			}
			if at, ok := w.CancelledAt[t.ID.Job]; ok {
				w.LongestCancellation = max(w.LongestCancellation, w.now.Sub(at))
				if w.now.Sub(at) > w.CancelDeadline {
					w.violated("ran_cancelled: %v on %s, told by %s", t.ID, n, w.CancelConfirmedBy[t.ID.Job])
				}
			}
		}
	}
	for team, u := range used {
		if !w.Teams[team].Quota.Allows(u) {
			w.violated("quota: %s uses %v", team, u)
		}
	}
	for id, z := range zones {
		s := w.Specs[id]
		for zone, n := range z {
			if s.Spread && n > s.MaxTasksPerZone() || s.SingleZone && len(z) > 1 {
				w.violated("wrong_place: %s has %d tasks in %s", id, n, zone)
			}
		}
	}
}

// gangAttemptTasks finds the tasks of a gang's attempt on all machines.
func (w *World) gangAttemptTasks(job string, attempt uint64) iter.Seq[*Task] {
	return func(yield func(*Task) bool) {
		for _, k := range w.Workers {
			for _, t := range k.Tasks {
				if t.ID.Job == job && t.Attempt == attempt && !yield(t) {
					return
				}
			}
		}
	}
}

// --- controllers

type heartbeatAnswer struct {
	token    uint64
	commands []model.Command
}

func (c *Controller) handleHeartbeat(r *model.Heartbeat, handed bool) (heartbeatAnswer, bool) {
	if !c.Leads() || c.WorkersUnreachable || c.Frozen {
		return heartbeatAnswer{}, false
	}
	v, ok := heartbeatAnswer{token: c.fencingToken}, true
	for _, e := range c.stepReconciler(reconciler.HeartbeatReceived{Heartbeat: r, Relayed: handed}) {
		if a, is := e.(reconciler.HeartbeatResponse); is {
			v.commands, ok = a.Commands, !a.Refused
		}
	}
	return v, ok
}

func (c *Controller) step() {
	if !c.Up || c.Frozen {
		return
	}
	c.collectDelayedReplies()
	later := c.deferred
	c.deferred = nil
	for _, f := range later {
		f()
	}
	c.stepElection(election.Tick{})
	if c.Election.State() == election.Following {
		if r, err := c.readElectionRecord(); err == nil && !r.Held {
			c.stepElection(election.LeaderKeyVacant{})
		}
	}
	if c.Reconciler == nil {
		if !c.Jobs.Loaded() {
			_ = c.Jobs.Refresh(context.Background()) // tried again with the next step
		}
		return
	}
	if c.Jobs.Loaded() && !c.world.now.Before(c.nextReadAt) {
		_ = c.Jobs.CatchUp(context.Background()) // tried again with the next step
		if c.world.StateLatency != nil {
			c.nextReadAt = c.world.now.Add(c.world.StateLatency())
		}
	}
	at := c.Jobs.AsOf()
	c.applyJobChanges()
	if c.staleness == nil {
		return // another leader has taken over
	}
	c.staleness.RecordsRead(at)
	if !c.Leads() && c.world.now.Before(c.Election.LeaseValidUntil()) {
		c.stepElection(election.Resign{}) // it is served, and knows too little to act
		return
	}
	if c.Leads() {
		if c.suspended {
			c.Reconciler.Resume(c.world.now)
		}
		c.Reconciler.PauseStarts(!c.world.now.Before(c.Election.StartsValidUntil()) || !c.world.now.Before(c.staleness.KnownAsOf().Add(c.world.StalenessBound.StartTasks)))
		c.stepReconciler(reconciler.Tick{})
		if c.Reconciler.Isolated(c.world.now) {
			c.stepElection(election.Resign{})
		}
	}
	c.suspended = c.Reconciler != nil && !c.Leads()
}

// applyJobChanges tells the core of changes of the job records.
func (c *Controller) applyJobChanges() {
	changes := c.jobChanges
	c.jobChanges = nil
	for _, ch := range changes {
		c.stepReconciler(c.Jobs.EventFor(ch))
	}
}

// readElectionRecord reads who leads. A program from before levels takes every record there for a token's.
func (c *Controller) readElectionRecord() (election.Record, error) {
	r, _, err := c.State.ReadLeaderRecord(context.Background())
	if !c.WithoutFeatureGates || err != nil {
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
	if !c.WithoutFeatureGates {
		return c.State.ClaimLeadership(context.Background(), c.Member, e)
	}
	v := wire.AppendLeaderRecord(nil, e.FencingToken, c.Member)
	return c.State.Commit(context.Background(), &wire.Txn{
		Conditions: []wire.Condition{{Key: "leader/holder"}, {Key: "leader/token", Version: e.TokenVersion}},
		Changes:    []wire.Change{{Key: "leader/holder", Value: v, Lease: e.LeaseID}, {Key: "leader/token", Value: v}}}, true)
}

func (c *Controller) stepElection(ev election.Event) {
	for _, e := range c.Election.Step(c.world.now, ev) {
		sent := c.world.now
		switch e := e.(type) {
		case election.ReadRecord:
			r, err := c.readElectionRecord()
			c.onStateReply(func() { c.stepElection(election.RecordRead{Record: r, Err: err}) })
		case election.GrantLease:
			id, err := c.State.GrantLease(e.Duration)
			c.onStateReply(func() { c.stepElection(election.LeaseGranted{LeaseID: id, Sent: sent, Err: err}) })
		case election.Claim:
			v, ok, err := c.claim(e)
			c.onStateReply(func() { c.stepElection(election.ClaimCompleted{OK: ok, TokenVersion: v, Err: err}) })
		case election.RenewLease:
			err := c.State.RenewLease(e.LeaseID)
			c.onStateReply(func() {
				c.stepElection(election.LeaseRenewed{LeaseID: e.LeaseID, Sent: sent, Expired: err == store.ErrLeaseExpired, Err: err})
			})
		case election.RequestVotes:
			for _, o := range c.world.Controllers {
				if o == c {
					continue
				}
				rev, silent, told := c.Jobs.Revision(), c.world.now.Sub(c.State.LastContact()), c.acknowledgedBy[o.Member]
				c.world.sendBetween(c, o, func() {
					q := election.VoteRequest{Leader: c.Member, FencingToken: e.FencingToken, Seq: e.Seq, Duration: e.Duration, Supersedes: e.Supersedes}
					word := o.Jobs.CancellationsAfter(rev, told)
					long := o.vote(q, silent)
					c.world.sendBetween(o, c, func() {
						if c.fencingToken != e.FencingToken || c.Reconciler == nil {
							return
						}
						c.Jobs.ApplyCancellations(word.Cancelled)
						c.applyJobChanges()
						c.acknowledgedBy[o.Member] = word.Cursor
						if word.Complete && c.staleness != nil {
							c.staleness.Acknowledged(o.Member, sent)
						}
						if long > 0 {
							c.stepElection(election.VoteReceived{Member: o.Member, FencingToken: e.FencingToken, Sent: sent, Seq: e.Seq, Duration: long})
						}
					})
				})
			}
		case election.QueryLeadership:
			for _, o := range c.world.Controllers {
				if o != c {
					life := c.Election
					c.world.sendBetween(c, o, func() {
						if s := o.Election.State(); s != election.Leading && s != election.Claiming {
							c.world.sendBetween(o, c, func() {
								if c.Election == life {
									c.stepElection(election.NotLeadingReceived{Member: o.Member, Sent: sent})
								}
							})
						}
					})
				}
			}
		case election.ReleaseVotes:
			for _, o := range c.world.Controllers {
				if o != c {
					c.world.sendBetween(c, o, func() { o.Election.HandleVoteRelease(e.FencingToken) })
				}
			}
		case election.RevokeLease:
			_ = c.State.RevokeLease(e.LeaseID) // a lost drop only means waiting for the lease
		case election.Elected:
			c.fencingToken, c.tokenVersion = e.FencingToken, e.TokenVersion
			c.takeOver()
		case election.Deposed:
			c.Reconciler, c.staleness = nil, nil
		}
	}
}

// vote decides as package node does.
func (c *Controller) vote(q election.VoteRequest, silent time.Duration) time.Duration {
	if c.Jobs.Revision() == 0 || c.State.LastContact().Sub(c.world.now.Add(-silent)) > 2*time.Second && c.State.UnreachableFor(c.world.now) == 0 {
		return 0
	}
	return c.Election.HandleVoteRequest(c.world.now, q)
}

// sendBetween carries a message from one controller to another, unless one is down or they are
// cut off from each other.
func (w *World) sendBetween(from, to *Controller, deliver func()) {
	if !from.Up || !to.Up || w.ControllersPartitioned || from.PeersUnreachable || to.PeersUnreachable {
		return
	}
	life := to.Election
	to.deferred = append(to.deferred, func() {
		if to.Election == life {
			deliver()
		}
	})
}

func (c *Controller) takeOver() {
	ctx := context.Background()
	if err := c.Jobs.Refresh(ctx); err != nil {
		c.deferred = append(c.deferred, c.takeOver)
		return
	}
	snap, err := c.State.ReadSnapshot(ctx, c.settings.Ledger != nil)
	if err != nil {
		c.deferred = append(c.deferred, c.takeOver)
		return
	}
	c.Jobs.AddToSnapshot(snap)
	c.Reconciler = reconciler.New(c.world.now, c.settings, c.fencingToken, snap, c.world.Types, c.log)
	c.jobChanges = nil
	c.staleness = staleness.NewTracker(c.electionSettings.Peers, c.Jobs.AsOf())
}

// stepReconciler hands an event to the core and carries out the effects.
func (c *Controller) stepReconciler(ev reconciler.Event) []reconciler.Effect {
	if c.Reconciler == nil {
		return nil
	}
	if c.world.Observer != nil {
		switch ev := ev.(type) {
		case reconciler.HeartbeatReceived:
			c.world.Observer.HeartbeatAccepted(c, c.fencingToken, ev.Heartbeat)
		case reconciler.CommandCompleted:
			if ev.Heartbeat != nil {
				c.world.Observer.HeartbeatAccepted(c, c.fencingToken, ev.Heartbeat)
			}
		}
	}
	effects := append([]reconciler.Effect(nil), c.Reconciler.Step(c.world.now, ev)...)
	core := c.Reconciler
	back := func(ev reconciler.Event) {
		f := func() {
			if c.Reconciler == core {
				c.stepReconciler(ev)
			}
		}
		switch ev.(type) {
		case reconciler.CommitCompleted, reconciler.FenceCompleted:
			c.onStateReply(f)
		default:
			c.deferred = append(c.deferred, f)
		}
	}
	for _, e := range effects {
		c.execute(e, back)
	}
	return effects
}

func (c *Controller) execute(e reconciler.Effect, back func(reconciler.Event)) {
	w, token := c.world, c.fencingToken
	switch e := e.(type) {
	case reconciler.SendCommands:
		w.DirectCommands++
		ev := reconciler.CommandCompleted{Machine: e.Machine, Epoch: e.Epoch, Commands: e.Commands, Outcome: reconciler.Unknown}
		k := w.Workers[e.Machine]
		deliver := func() (reconciler.Outcome, *model.Heartbeat) {
			if k == nil || w.Workers[e.Machine] != k { // a later life knows nothing of its connections
				return reconciler.Unknown, nil
			}
			if !k.HandleCommands(token, e.Epoch, e.Commands) {
				return reconciler.Refused, k.heartbeat()
			}
			return reconciler.OK, k.heartbeat()
		}
		fate := Delivered
		if w.NextDelivery != nil {
			fate = w.NextDelivery()
		}
		switch {
		case w.HoldCommands, fate == Delayed:
			w.HeldCommands = append(w.HeldCommands, func() { deliver() })
		case fate == Dropped:
		case k != nil && k.Hung:
			w.HeldCommands = append(w.HeldCommands, func() { deliver() }) // it is carried out when the machine goes on
		case k != nil && !k.Partitioned && !k.InboundBlocked && !c.WorkersUnreachable && c.Leads():
			if len(e.Commands) > 0 && w.MaxRetainedHeartbeats > 0 {
				w.RepeatableCommands = append(w.RepeatableCommands[max(0, len(w.RepeatableCommands)-w.MaxRetainedHeartbeats):], RepeatableCommand{w.now, func() { deliver() }})
			}
			if ev.Outcome, ev.Heartbeat = deliver(); fate == AnswerLost {
				ev.Outcome, ev.Heartbeat = reconciler.Unknown, nil
			}
		}
		back(ev)
	case reconciler.Provision:
		if w.cloudExhausted {
			back(reconciler.ProvisionCompleted{Provisioning: e.Provisioning, Outcome: reconciler.Refused})
			return
		}
		names, ok := w.Provision(w.now, e.Provisioning)
		if !ok {
			back(reconciler.ProvisionCompleted{Provisioning: e.Provisioning, Outcome: reconciler.Refused})
			return
		}
		if w.CloudAnswersLost {
			back(reconciler.ProvisionCompleted{Provisioning: e.Provisioning, Outcome: reconciler.Unknown})
		} else {
			back(reconciler.ProvisionCompleted{Provisioning: e.Provisioning, Outcome: reconciler.OK, Machines: names})
		}
	case reconciler.Release:
		w.ReleaseRequests++
		w.pendingReleases = append(w.pendingReleases, func() {
			for _, n := range e.Machines {
				delete(w.Workers, n)
				w.Forget(n)
			}
			back(reconciler.ReleaseCompleted{Machines: e.Machines, Outcome: reconciler.OK})
		})
		w.runPendingReleases()
	case reconciler.ListMachines:
		var list []model.MachineInfo
		for _, n := range w.WorkerNames() {
			k := w.Workers[n]
			list = append(list, model.MachineInfo{Name: n, Addr: n, Type: k.Type, Zone: k.Zone, Spot: k.Spot})
		}
		back(reconciler.MachineListReceived{Machines: list, RequestedAt: w.now})
	case reconciler.FetchCatalog:
		back(reconciler.CatalogReceived{Types: w.Types})
	case reconciler.LookUpJobEnds:
		back(reconciler.JobEndsReceived{Ends: c.Jobs.ReadEnds(context.Background(), e.IDs)})
	case reconciler.Commit:
		rev, ok, err := c.State.CommitFenced(context.Background(), c.tokenVersion, e.Changes)
		ev := reconciler.CommitCompleted{Changes: e.Changes, Outcome: reconciler.OK, Version: rev}
		switch {
		case errors.Is(err, store.ErrRejected):
			ev.Outcome = reconciler.Rejected
			w.RejectedKeys = append(w.RejectedKeys, store.ChangeKeys(e.Changes)...)
		case errors.Is(err, store.ErrNotExecuted):
			ev.Outcome = reconciler.NotSent
		case err != nil:
			ev.Outcome = reconciler.Unknown
		case !ok:
			ev.Outcome = reconciler.Refused
			if last, err := c.State.TokenUnchanged(context.Background(), c.tokenVersion); err == nil && !last {
				c.stepElection(election.Fenced{FencingToken: token})
			}
		}
		back(ev)
	case reconciler.Fence:
		v, ok, err := c.State.RewriteToken(context.Background(), c.Member, token, c.tokenVersion)
		switch {
		case err != nil:
			back(reconciler.FenceCompleted{Outcome: reconciler.Unknown})
		case !ok:
			c.stepElection(election.Fenced{FencingToken: token})
		default:
			c.tokenVersion = v
			c.stepElection(election.TokenRewritten{FencingToken: token, TokenVersion: v})
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
