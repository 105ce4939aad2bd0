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

// World is a deployment in memory: controllers, the state service, the cloud and workers, in a simulated time. It
// checks the invariants as time passes. It is not safe for concurrent use.
type World struct {
	Environment
	*Cloud
	cloudFaults
	network
	polls
	starvation

	State       *State
	Controllers []*Controller
	Workers     map[string]*Worker
	Types       []model.MachineType
	Teams       map[string]model.Team

	Limits           store.Limits    // of records and transactions, which the controllers keep
	StalenessBound   staleness.Bound // on a leader's knowledge of cancellations
	EndedJobsKept    int             // ended jobs that a controller remembers
	ledger           *reconciler.LedgerSettings
	controllerStarts uint64 // counts the starts of all controllers, and numbers their incarnations

	StateLatency    func() time.Duration // until the state service's answer reaches a leader; nil: none
	InterceptCommit CommitInterceptor    // nil: no transaction is intercepted
	Observer        Observer             // nil: nobody observes

	RejectedKeys        []string          // records that the state service rejected
	CancelConfirmedBy   map[string]string // by job: the member that first confirmed its cancellation
	LongestCancellation time.Duration     // the longest from there to the end of a job's last task
}

// CommitInterceptor may take the place of the state service for a transaction of a controller. Where it does, the
// controller gets its error in place of an answer.
type CommitInterceptor func(c *Controller, body []byte) (intercepted bool, err error)

// Observer is told what passes between controllers and the stand-ins.
type Observer interface {
	// HeartbeatAccepted is called when a leader takes a worker's heartbeat.
	HeartbeatAccepted(c *Controller, token uint64, heartbeat *model.Heartbeat)
	// TransactionSent is called when a transaction leaves a controller, for the first time or as a retry.
	TransactionSent(ops []Operation)
}

// cloudFaults are the failures of the cloud, and the releases that they hold up.
type cloudFaults struct {
	cloudExhausted   bool // the cloud has no more machines
	CloudAnswersLost bool // the cloud provisions machines, but its answers are lost
	ReleasesBlocked  bool // releases wait in the cloud's queue
	ReleaseRequests  int  // that controllers have sent
	pendingReleases  []func()
}

// requestRelease has the cloud carry a release out, now or as soon as releases are not blocked.
func (f *cloudFaults) requestRelease(release func()) {
	f.ReleaseRequests++
	f.pendingReleases = append(f.pendingReleases, release)
	f.runPendingReleases()
}

// runPendingReleases carries out the releases that wait.
func (f *cloudFaults) runPendingReleases() {
	for !f.ReleasesBlocked && len(f.pendingReleases) > 0 {
		release := f.pendingReleases[0]
		f.pendingReleases = f.pendingReleases[1:]
		release()
	}
}

// NewWorld makes a deployment with some members, which work by the settings, and starts them.
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
		Limits:            limits,
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

// Leader is the controller that may act; nil: none may. Two that hold the leadership lease break an invariant.
func (w *World) Leader() *Controller {
	var leader *Controller
	for _, c := range w.Controllers {
		if !c.holdsLease() {
			continue
		}
		if leader != nil {
			w.violated("two leaders: %s and %s", leader.Member, c.Member)
		}
		leader = c
	}
	if leader != nil && !leader.Leads() {
		return nil
	}
	return leader
}

// Advance lets time pass, tick by tick.
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

// WorkerNames lists the machines that are up, in order.
func (w *World) WorkerNames() []string {
	var names []string
	for name := range w.Workers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// StepElection has a controller that is up take an event of its election.
func (w *World) StepElection(c *Controller, event election.Event) {
	if c.Up {
		c.stepElection(event)
	}
}

// RestartWorker ends a machine and has it back at once, with its faults: everything on it is gone, and its worker
// begins with epoch and message number 1 again.
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

// AddMachine brings a machine up.
func (w *World) AddMachine(m model.MachineInfo) *Worker {
	worker := newWorker(&w.Environment, m)
	w.Workers[m.Name] = worker
	return worker
}

// Submit has a job accepted by a controller.
func (w *World) Submit(c *Controller, spec *model.Spec) error {
	w.Specs[spec.ID] = spec
	ctx := context.Background()
	dependencies := spec.Dependencies // resolving leaves those out that are done
	doomed, err := c.Jobs.ResolveDependencies(ctx, spec)
	if err != nil {
		return err
	}
	if w.Dependencies[spec.ID] == nil {
		w.Dependencies[spec.ID] = dependencies
	}
	_, record, err := c.Jobs.Accept(ctx, spec, doomed, w.now)
	if err == nil {
		w.recordAnswer(c.Member, spec.ID, record.State)
	}
	return err
}

// Cancel cancels a job through a controller.
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

// MachinesOf lists the machines that a task is on.
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

// gangAttemptTasks finds the tasks of a gang's attempt on all machines.
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
