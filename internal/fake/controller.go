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

// stateRate is the rate limit of a controller's requests to the state service: none that matters here.
const stateRate = 1e9

// Controller is one controller of a World: the real election, reconciler and store client, with the stand-ins in
// place of sockets and timers.
type Controller struct {
	world            *World
	Member           string
	settings         reconciler.Settings
	electionSettings election.Settings
	log              *slog.Logger

	Up bool
	ControllerFaults
	ClockOffset         time.Duration // how far its time of day is off
	WithoutLedger       bool          // from its next start on it runs a version without a ledger
	WithoutFeatureGates bool          // it runs a version from before feature gates

	State        *store.Client
	Jobs         *store.JobCache
	Election     *election.StateMachine
	ReadRevision uint64 // of the state service when the job records were last read

	leadership
	inbox
}

// ControllerFaults are the failures that a controller can be given.
type ControllerFaults struct {
	StateUnreachable   bool // the state service answers 503
	ReadsBlocked       bool // the state service does not answer its reads; all else it does
	PeersUnreachable   bool // it is cut off from the other controllers
	WorkersUnreachable bool // it is cut off from the workers
	Frozen             bool // it stands still while its clocks run on
}

// leadership is what a controller has only while it leads.
type leadership struct {
	Reconciler     *reconciler.Core                    // nil: it does not lead
	staleness      *staleness.Tracker                  // nil: it does not lead
	acknowledgedBy map[string]store.CancellationCursor // by member: the cancellations that are known from it
	fencingToken   uint64
	tokenVersion   uint64 // of the token's record
	suspended      bool   // it has a reconciler and may not act for now
}

// depose ends a leadership.
func (l *leadership) depose() { l.Reconciler, l.staleness = nil, nil }

// inbox is what is on its way to a controller.
type inbox struct {
	jobChanges     []store.JobChange
	deferred       []func() // carried out in the controller's next step
	delayedReplies []delayedReply
	nextReadAt     time.Time // before which the changes of the job records are not read
}

// delayedReply is an answer of the state service that is on its way.
type delayedReply struct {
	dueAt   time.Time
	deliver func()
}

// collectDelayedReplies defers the replies that are due.
func (in *inbox) collectDelayedReplies(now time.Time) {
	waiting := in.delayedReplies
	in.delayedReplies = nil
	for _, reply := range waiting {
		if now.Before(reply.dueAt) {
			in.delayedReplies = append(in.delayedReplies, reply)
		} else {
			in.deferred = append(in.deferred, reply.deliver)
		}
	}
}

// runDeferred carries out what was deferred before.
func (in *inbox) runDeferred() {
	deferred := in.deferred
	in.deferred = nil
	for _, deliver := range deferred {
		deliver()
	}
}

// Start starts a controller with nothing in memory.
func (c *Controller) Start() {
	w := c.world
	c.Up, c.Frozen, c.suspended = true, false, false
	c.depose()
	c.acknowledgedBy = map[string]store.CancellationCursor{}
	c.inbox = inbox{}
	w.controllerStarts++
	c.State = store.NewOver(c, c, time.Second)
	c.State.SetRateLimits(stateRate, stateRate)
	c.settings.Ledger = c.ledgerSettings()
	onChanges := func(changes []store.JobChange) { c.jobChanges = append(c.jobChanges, changes...) }
	c.Jobs = store.NewJobCache(c.State, w.controllerStarts, w.EndedJobsKept, w.Limits, onChanges, c.log)
	c.State.SetClock(func() time.Time { return w.now }, func(time.Duration) {})
	c.electionSettings.Peers = nil
	for _, peer := range w.Controllers {
		if peer != c {
			c.electionSettings.Peers = append(c.electionSettings.Peers, peer.Member)
		}
	}
	c.Election = election.New(w.now, c.electionSettings, c.log)
}

// ledgerSettings are the world's, with the controller's own time of day; nil: it keeps no ledger.
func (c *Controller) ledgerSettings() *reconciler.LedgerSettings {
	if c.WithoutLedger || c.world.ledger == nil {
		return nil
	}
	settings := *c.world.ledger
	settings.TimeOfDay = func(now time.Time) time.Time { return now.Add(c.ClockOffset) }
	return &settings
}

// Crash ends a controller without notice to anybody.
func (c *Controller) Crash() {
	c.Up = false
	c.depose()
}

// Leads tells whether the controller may act as the leader.
func (c *Controller) Leads() bool {
	return c.holdsLease() && c.world.now.Before(c.staleness.KnownAsOf().Add(c.world.StalenessBound.KeepLeases))
}

// holdsLease tells whether the controller holds the leadership lease, whatever it knows of cancellations.
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

// Call carries a controller's requests to the state service.
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

// onStateReply takes the answer to a request to the state service with the next step, or as late as StateLatency
// says. The request was carried out when it was sent.
func (c *Controller) onStateReply(deliver func()) {
	if c.world.StateLatency == nil {
		c.deferred = append(c.deferred, deliver)
		return
	}
	dueAt := c.world.now.Add(c.world.StateLatency())
	c.delayedReplies = append(c.delayedReplies, delayedReply{dueAt, deliver})
}

// step lets the controller act once, as its event loop would.
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
			_ = c.Jobs.Refresh(context.Background()) // tried again with the next step
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
		c.stepElection(election.Resign{}) // it reaches the state service, and knows too little to act
		return
	}
	if c.Leads() {
		c.lead()
	}
	c.suspended = c.Reconciler != nil && !c.Leads()
}

// readJobRecords follows the changes of the job records, as late as StateLatency says.
func (c *Controller) readJobRecords() {
	if !c.Jobs.Loaded() || c.world.now.Before(c.nextReadAt) {
		return
	}
	_ = c.Jobs.CatchUp(context.Background()) // tried again with the next step
	if c.world.StateLatency != nil {
		c.nextReadAt = c.world.now.Add(c.world.StateLatency())
	}
}

// applyJobChanges hands changes of the job records to the reconciler.
func (c *Controller) applyJobChanges() {
	changes := c.jobChanges
	c.jobChanges = nil
	for _, change := range changes {
		c.stepReconciler(reconciler.JobUpdated(c.Jobs.UpdateFor(change)))
	}
}

// lead has the reconciler of a leader act.
func (c *Controller) lead() {
	now := c.world.now
	if c.suspended {
		c.Reconciler.Resume(now)
	}
	startsUntil := c.staleness.KnownAsOf().Add(c.world.StalenessBound.StartTasks)
	c.Reconciler.PauseStarts(!now.Before(c.Election.StartsValidUntil()) || !now.Before(startsUntil))
	c.stepReconciler(reconciler.Tick{})
	if c.Reconciler.Isolated(now) {
		c.stepElection(election.Resign{})
	}
}
