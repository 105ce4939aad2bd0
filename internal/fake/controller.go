package fake

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/rpc"
	"github.com/glentiller/glentiller/internal/staleness"
	"github.com/glentiller/glentiller/internal/store"
)

// unlimitedRate is the limit on a controller's requests to the state service, and on its changes there, per second. It
// is so high that it never takes effect.
const unlimitedRate = 1e9

// Controller is one controller of a World: the real election, reconciler and store client, with fakes in place of
// sockets and timers.
type Controller struct {
	world            *World
	Member           string
	settings         reconciler.Settings
	electionSettings election.Settings
	log              *slog.Logger

	Up bool // whether the controller is running; a frozen one is up
	ControllerFaults
	ClockOffset         time.Duration // offset of the controller's time of day from the simulated time
	WithoutLedger       bool          // whether it runs a version without a ledger from its next start on
	WithoutFeatureGates bool          // whether it runs a version that predates feature gates

	State        *store.Client
	Jobs         *store.JobCache
	Election     *election.StateMachine
	ReadRevision uint64 // revision of the state service when the changes of the job records were last read

	leadership
	inbox
}

// ControllerFaults are the faults that can be injected into a controller.
type ControllerFaults struct {
	StateUnreachable   bool // the state service answers every request of the controller with status 503
	ReadsBlocked       bool // the controller's reads from the state service time out; other requests are answered
	PeersUnreachable   bool // no messages pass between the controller and the other controllers
	WorkersUnreachable bool // no messages pass between the controller and the workers
	Frozen             bool // the controller does nothing, while its clocks advance
}

// leadership is the state that a controller has only while it leads.
type leadership struct {
	Reconciler          *reconciler.Core                    // nil unless the controller leads
	staleness           *staleness.Tracker                  // nil unless the controller leads
	cancellationCursors map[string]store.CancellationCursor // by member: cursor into the cancellations it has reported
	fencingToken        uint64
	tokenVersion        uint64 // version of the record that holds the fencing token
	suspended           bool   // whether the controller has a reconciler but may not act now
}

// depose ends the leadership.
func (l *leadership) depose() { l.Reconciler, l.staleness = nil, nil }

// inbox holds the input that a controller has not processed yet.
type inbox struct {
	jobChanges     []store.JobChange // changes of job records that the reconciler has not received yet
	deferred       []func()          // called in the controller's next step
	delayedReplies []delayedReply
	nextReadAt     time.Time // earliest time of the next read of the changes of the job records
}

// delayedReply is an answer of the state service that reaches the controller later.
type delayedReply struct {
	dueAt   time.Time
	deliver func()
}

// collectDelayedReplies moves the delayed replies that are due to the deferred functions.
func (in *inbox) collectDelayedReplies(now time.Time) {
	replies := in.delayedReplies
	in.delayedReplies = nil
	for _, reply := range replies {
		if now.Before(reply.dueAt) {
			in.delayedReplies = append(in.delayedReplies, reply)
		} else {
			in.deferred = append(in.deferred, reply.deliver)
		}
	}
}

// runDeferred calls the deferred functions. What they defer in turn is left for the next call.
func (in *inbox) runDeferred() {
	deferred := in.deferred
	in.deferred = nil
	for _, deliver := range deferred {
		deliver()
	}
}

// Start starts or restarts the controller with nothing in memory. It ends the fault Frozen; other faults persist.
func (c *Controller) Start() {
	w := c.world
	c.Up, c.Frozen, c.suspended = true, false, false
	c.depose()
	c.cancellationCursors = map[string]store.CancellationCursor{}
	c.inbox = inbox{}
	w.controllerStarts++
	c.State = store.NewWithTransports(c, c, time.Second)
	c.State.SetRateLimits(unlimitedRate, unlimitedRate)
	c.settings.Ledger = c.ledgerSettings()
	onChanges := func(changes []store.JobChange) { c.jobChanges = append(c.jobChanges, changes...) }
	c.Jobs = store.NewJobCache(c.State, w.controllerStarts, w.EndedJobsKept, w.StoreLimits, onChanges, c.log)
	c.State.SetClock(func() time.Time { return w.now }, func(time.Duration) {})
	c.electionSettings.Peers = nil
	for _, peer := range w.Controllers {
		if peer != c {
			c.electionSettings.Peers = append(c.electionSettings.Peers, peer.Member)
		}
	}
	c.Election = election.New(w.now, c.electionSettings, c.log)
}

// ledgerSettings returns the ledger settings of the World with the controller's own time of day, or nil if the
// controller keeps no ledger.
func (c *Controller) ledgerSettings() *reconciler.LedgerSettings {
	if c.WithoutLedger || c.world.ledger == nil {
		return nil
	}
	settings := *c.world.ledger
	settings.TimeOfDay = func(now time.Time) time.Time { return now.Add(c.ClockOffset) }
	return &settings
}

// Crash stops the controller at once: it releases neither its lease nor the votes for it.
func (c *Controller) Crash() {
	c.Up = false
	c.depose()
}

// Leads reports whether the controller may act as the leader: its leadership is valid, and its knowledge of
// cancellations is recent enough.
func (c *Controller) Leads() bool {
	return c.leadershipValid() && c.world.now.Before(c.staleness.KnownAsOf().Add(c.world.StalenessBound.RenewLeases))
}

// leadershipValid reports whether the controller leads by a valid lease or valid votes. Unlike Leads, it ignores how
// recent the controller's knowledge of cancellations is.
func (c *Controller) leadershipValid() bool {
	return c.Up && c.Reconciler != nil && c.Election.LeadershipValid(c.world.now)
}

// Team returns the team called name in the controller's settings, or nil if there is none.
func (c *Controller) Team(name string) *model.Team {
	for i := range c.settings.Teams {
		if c.settings.Teams[i].Name == name {
			return &c.settings.Teams[i]
		}
	}
	return nil
}

// Call sends a request of the controller to the state service, unless an injected fault prevents that. It implements
// store.Transport.
func (c *Controller) Call(method, uri string, body []byte, timeout time.Duration) ([]byte, error) {
	if c.StateUnreachable {
		return nil, &rpc.StatusError{Status: http.StatusServiceUnavailable}
	}
	if c.ReadsBlocked && method == http.MethodGet {
		return nil, context.DeadlineExceeded
	}
	if uri == "/commit" {
		if c.world.Observer != nil {
			c.world.Observer.TransactionSent(TransactionOps(body))
		}
		if c.world.InterceptCommit != nil {
			if intercepted, err := c.world.InterceptCommit(c, body); intercepted {
				return nil, err
			}
		}
	}
	answer, err := c.world.State.Call(method, uri, body, timeout)
	if err == nil && strings.HasPrefix(uri, "/changes?prefix=job") {
		c.ReadRevision = c.world.State.revision
	}
	return answer, err
}

// scheduleStateReply schedules deliver, which processes the answer to a request to the state service, for the
// controller's next step, or for the end of the delay that World.StateLatency returns. The request itself took effect
// when it was sent.
func (c *Controller) scheduleStateReply(deliver func()) {
	if c.world.StateLatency == nil {
		c.deferred = append(c.deferred, deliver)
		return
	}
	dueAt := c.world.now.Add(c.world.StateLatency())
	c.delayedReplies = append(c.delayedReplies, delayedReply{dueAt, deliver})
}

// step runs the controller once, like one iteration of its event loop. Instead of watching the leader's key, a follower
// reads the record of the leader in each step.
func (c *Controller) step() {
	if !c.Up || c.Frozen {
		return
	}
	c.collectDelayedReplies(c.world.now)
	c.runDeferred()
	c.stepElection(election.Tick{})
	if c.Election.State() == election.Following {
		if read := c.electionExecutor().ReadRecord(context.Background()); read.Err == nil && !read.Record.Held {
			c.stepElection(election.LeaderKeyVacant{})
		}
	}
	if c.Reconciler == nil {
		if !c.Jobs.Loaded() {
			_ = c.Jobs.LoadAndApplyChanges(context.Background()) // retried in the next step
		}
		return
	}
	c.readJobRecords()
	readAsOf := c.Jobs.AsOf()
	c.applyJobChanges()
	if c.staleness == nil {
		return // another leader has taken over
	}
	c.staleness.RecordsRead(readAsOf)
	if !c.Leads() && c.world.now.Before(c.Election.LeaseValidUntil()) {
		c.stepElection(election.Resign{}) // it can renew its lease, but knows too little of cancellations to act
		return
	}
	if c.Leads() {
		c.actAsLeader()
	}
	c.suspended = c.Reconciler != nil && !c.Leads()
}

// readJobRecords reads the changes of the job records. If World.StateLatency is set, it returns the minimum time until
// the next read.
func (c *Controller) readJobRecords() {
	if !c.Jobs.Loaded() || c.world.now.Before(c.nextReadAt) {
		return
	}
	_ = c.Jobs.ApplyNewChanges(context.Background()) // retried in a later step
	if c.world.StateLatency != nil {
		c.nextReadAt = c.world.now.Add(c.world.StateLatency())
	}
}

// applyJobChanges passes the job changes in the inbox to the reconciler.
func (c *Controller) applyJobChanges() {
	changes := c.jobChanges
	c.jobChanges = nil
	for _, change := range changes {
		c.stepReconciler(reconciler.JobUpdateEvent(c.Jobs.UpdateFor(change)))
	}
}

// actAsLeader runs the reconciler of a leader once. A leader that is probably cut off from its workers resigns.
func (c *Controller) actAsLeader() {
	now := c.world.now
	if c.suspended {
		c.Reconciler.OnLeaseRestored(now)
	}
	startsUntil := c.staleness.KnownAsOf().Add(c.world.StalenessBound.StartTasks)
	c.Reconciler.SetStartsPaused(!now.Before(c.Election.StartsValidUntil()) || !now.Before(startsUntil))
	c.stepReconciler(reconciler.Tick{})
	if c.Reconciler.Isolated(now) {
		c.stepElection(election.Resign{})
	}
}
