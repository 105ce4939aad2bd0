package fake

import (
	"context"
	"fmt"
	"iter"
	"log/slog"
	"sort"
	"time"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/staleness"
	"github.com/glentiller/glentiller/internal/store"
)

// World is an in-memory deployment of controllers, the state service, the cloud and workers in simulated time. It
// checks the invariants as time passes. It is not safe for concurrent use.
type World struct {
	Environment
	*Cloud
	cloudFaults
	network
	userPolls
	starvationState

	State       *State
	Controllers []*Controller
	Workers     map[string]*Worker    // by name of the machine
	Types       []model.MachineType   // the cloud's catalog
	Teams       map[string]model.Team // by name

	StoreLimits      store.Limits               // limits on records and transactions that the controllers comply with
	StalenessBound   staleness.Bound            // bound on the age of a leader's knowledge of cancellations
	EndedJobsKept    int                        // number of ended jobs that a controller remembers
	ledger           *reconciler.LedgerSettings // nil if no ledger is kept
	controllerStarts uint64                     // number of starts of all controllers, which numbers their incarnations

	StateLatency    func() time.Duration // returns the delay of the next answer of the state service; may be nil
	InterceptCommit CommitInterceptor    // may be nil
	Observer        Observer             // may be nil

	RejectedKeys        []string          // keys of the records in commits that were rejected as too large or malformed
	CancelConfirmedBy   map[string]string // by job ID: the member that first confirmed the cancellation to a user
	LongestCancellation time.Duration     // longest time that a task was on a machine after the confirmation
}

// CommitInterceptor is called with the body of each commit request before it reaches the state service. If it returns
// true, the request does not reach the service, and the controller gets err in place of an answer.
type CommitInterceptor func(c *Controller, body []byte) (intercepted bool, err error)

// Observer is notified of messages between controllers and the fakes.
type Observer interface {
	// HeartbeatAccepted is called before a leader's reconciler processes a heartbeat of a worker. token is the leader's
	// fencing token.
	HeartbeatAccepted(c *Controller, token uint64, heartbeat *model.Heartbeat)
	// TransactionSent is called when a controller sends a transaction, for the first time or as a retry.
	TransactionSent(ops []Operation)
}

// cloudFaults holds the faults injected into the cloud, and the releases that they delay.
type cloudFaults struct {
	cloudExhausted   bool     // the cloud refuses all requests for machines
	CloudAnswersLost bool     // machines are provisioned, but the answers to the requests are lost
	ReleasesBlocked  bool     // releases are queued until the fault ends
	ReleaseRequests  int      // number of releases that controllers have requested
	pendingReleases  []func() // the queued releases, oldest first
}

// requestRelease executes a release now, or as soon as releases are not blocked.
func (f *cloudFaults) requestRelease(release func()) {
	f.ReleaseRequests++
	f.pendingReleases = append(f.pendingReleases, release)
	f.runPendingReleases()
}

// runPendingReleases executes the queued releases unless releases are blocked.
func (f *cloudFaults) runPendingReleases() {
	for !f.ReleasesBlocked && len(f.pendingReleases) > 0 {
		release := f.pendingReleases[0]
		f.pendingReleases = f.pendingReleases[1:]
		release()
	}
}

// NewWorld returns a deployment with a number of controllers, which are started with the given settings. It has no
// machines; the caller sets Types and adds machines.
func NewWorld(
	members int,
	settings reconciler.Settings,
	electionSettings election.Settings,
	limits store.Limits,
	log *slog.Logger,
) *World {
	w := &World{
		Workers:           map[string]*Worker{},
		CancelConfirmedBy: map[string]string{},
		Teams:             map[string]model.Team{},
		StoreLimits:       limits,
		EndedJobsKept:     1000,
		ledger:            settings.Ledger,
	}
	w.Environment = newEnvironment(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), w.gangAttemptTasks)
	w.Lease, w.HeartbeatInterval = settings.WorkerLease, settings.HeartbeatInterval
	w.GangWait, w.CancelDeadline = settings.GangWait, settings.CancelWithin
	w.Cloud = NewCloud(func() int { return len(w.Workers) })
	w.State = NewState(func() time.Time { return w.now })
	w.State.OnCommit = w.pollCommitted
	w.StalenessBound, _ = staleness.BoundFor(settings.CancelWithin, settings.WorkerLease)
	for _, team := range settings.Teams {
		w.Teams[team.Name] = team
	}
	for i := range members {
		c := &Controller{
			world:            w,
			Member:           fmt.Sprintf("tiller-%d", i),
			settings:         settings,
			electionSettings: electionSettings,
			log:              log,
		}
		c.settings.Member, c.electionSettings.Member = c.Member, c.Member
		w.Controllers = append(w.Controllers, c)
	}
	for _, c := range w.Controllers {
		c.Start()
	}
	return w
}

// Leader returns the controller that may act as the leader, or nil if none may. It records a violation if two
// controllers have a valid leadership.
func (w *World) Leader() *Controller {
	var leader *Controller
	for _, c := range w.Controllers {
		if !c.leadershipValid() {
			continue
		}
		if leader != nil {
			w.recordViolation("two leaders: %s and %s both have a valid leadership", leader.Member, c.Member)
		}
		leader = c
	}
	if leader != nil && !leader.Leads() {
		return nil
	}
	return leader
}

// Advance advances the simulated time by d, in steps of Tick. In each step, pending releases are executed, machines
// finish booting, controllers and workers run, and the invariants are checked.
func (w *World) Advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(w.Tick)
		w.runPendingReleases()
		for _, machine := range w.TakeBooted(w.now) {
			w.AddMachine(machine)
		}
		for _, c := range w.Controllers {
			c.step()
		}
		for _, name := range w.WorkerNames() {
			worker := w.Workers[name]
			if worker != nil && worker.Advance() && !worker.Partitioned && !worker.OutboundBlocked {
				w.sendHeartbeat(worker)
			}
		}
		w.CheckInvariants()
		w.checkStarvation()
	}
}

// WorkerNames returns the names of the machines that are up in ascending order.
func (w *World) WorkerNames() []string {
	var names []string
	for name := range w.Workers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// StepElection passes an event to the election of a controller, unless the controller is down.
func (w *World) StepElection(c *Controller, event election.Event) {
	if c.Up {
		c.stepElection(event)
	}
}

// RestartWorker restarts a machine without letting time pass. The tasks on it are lost, and its worker begins again
// with epoch and sequence number 1. Its faults persist.
func (w *World) RestartWorker(worker *Worker) {
	w.Workers[worker.Name] = nil
	restarted := w.AddMachine(model.MachineInfo{
		Name: worker.Name,
		Type: worker.Type,
		Zone: worker.Zone,
		Spot: worker.Spot,
	})
	restarted.controllerIndex, restarted.WorkerFaults = worker.controllerIndex, worker.WorkerFaults
}

// AddMachine adds a machine that has just booted and returns its worker.
func (w *World) AddMachine(m model.MachineInfo) *Worker {
	worker := newWorker(&w.Environment, m)
	w.Workers[m.Name] = worker
	return worker
}

// Submit submits a job through a controller. On an error, the job may or may not have been accepted.
func (w *World) Submit(c *Controller, spec *model.Spec) error {
	w.Specs[spec.ID] = spec
	ctx := context.Background()
	dependencies := spec.Dependencies // kept here, since ResolveDependencies removes those that are done
	dependencyCancelled, err := c.Jobs.ResolveDependencies(ctx, spec)
	if err != nil {
		return err
	}
	if w.Dependencies[spec.ID] == nil {
		w.Dependencies[spec.ID] = dependencies
	}
	_, record, err := c.Jobs.Accept(ctx, spec, dependencyCancelled, w.now)
	if err == nil {
		w.recordAnswer(c.Member, spec.ID, record.State)
	}
	return err
}

// Cancel cancels a job through a controller and returns the resulting record. A job that is already done stays done.
func (w *World) Cancel(c *Controller, id string) (store.JobRecord, error) {
	w.recordCancelRequest(id)
	record, err := c.Jobs.Cancel(context.Background(), id, w.now)
	if err != nil {
		return record, err
	}
	if _, known := w.CancelledAt[id]; !known && record.State.Ended() && !w.AllCompleted(id) {
		w.CancelledAt[id], w.CancelConfirmedBy[id] = w.now, c.Member
	}
	w.recordAnswer(c.Member, id, record.State)
	return record, nil
}

// MachinesOf returns the names of the machines that a task is on.
func (w *World) MachinesOf(id model.TaskID) []string {
	var machines []string
	for _, name := range w.WorkerNames() {
		for _, t := range w.Workers[name].Tasks {
			if t.ID == id && t.OnMachine() {
				machines = append(machines, name)
			}
		}
	}
	return machines
}

// gangAttemptTasks yields the tasks of one attempt at a gang, across all machines.
func (w *World) gangAttemptTasks(job string, attempt uint64) iter.Seq[*Task] {
	return func(yield func(*Task) bool) {
		for _, worker := range w.Workers {
			for _, t := range worker.Tasks {
				if t.ID.Job == job && t.Attempt == attempt && !yield(t) {
					return
				}
			}
		}
	}
}
