package reconciler

import (
	"log/slog"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
)

// Core holds the view and makes the decisions of one leader, for one fencing token. It is discarded when the
// leadership ends. It is not safe for concurrent use.
type Core struct {
	settings     Settings
	log          *slog.Logger
	fencingToken uint64

	// The view: what waits and runs, as far as this leader knows.
	machineTypes []model.MachineType
	machines     map[string]*model.Machine
	teams        map[string]*model.Team
	jobs         map[string]*model.Job
	jobsByAge    []*model.Job // by the moment from which their ages count
	usage        teamUsage

	// The parts. Each is changed in its own file only.
	takeover       takeover
	passes         passTimer
	commits        pendingCommits
	finished       finishedTasks
	dependencies   dependencyTracker
	deadlines      deadlineMultiples
	runTimes       runTimes
	gpus           gpuReservations
	constraints    constraintRegistry
	liveness       livenessTracker
	partitions     partitionDetector
	provisioning   provisioner
	releases       machineReleases
	inventory      cloudInventory
	accounting     *accounting // nil: no ledger is kept
	attemptCounter uint64      // attempts that this leader has numbered

	commandsPending map[*model.Machine]bool // machines with commands to send directly

	sweepAt  time.Time
	statusAt time.Time

	effects []Effect // of the present step
}

// The intervals of what every leader does regularly.
const (
	sweepInterval  = 250 * time.Millisecond
	statusInterval = 10 * time.Second
)

// New makes the Core of a leader that has just taken over. The Core keeps what snapshot and types refer to, so the
// caller must not change that afterwards.
func New(
	now time.Time, settings Settings, token uint64, snapshot *record.Snapshot, types []model.MachineType, log *slog.Logger,
) *Core {
	c := &Core{
		settings:        settings,
		log:             log,
		fencingToken:    token,
		machineTypes:    types,
		machines:        map[string]*model.Machine{},
		teams:           map[string]*model.Team{},
		jobs:            map[string]*model.Job{},
		usage:           newTeamUsage(settings.Teams),
		takeover:        newTakeover(now, snapshot.Revision),
		commits:         newPendingCommits(),
		finished:        newFinishedTasks(),
		dependencies:    newDependencyTracker(),
		deadlines:       newDeadlineMultiples(settings.Objectives),
		runTimes:        runTimes{},
		gpus:            newGPUReservations(),
		constraints:     newConstraintRegistry(),
		liveness:        newLivenessTracker(now, &settings),
		partitions:      newPartitionDetector(now, &settings),
		provisioning:    newProvisioner(),
		releases:        newMachineReleases(),
		inventory:       newCloudInventory(now, types, &settings),
		commandsPending: map[*model.Machine]bool{},
		sweepAt:         now,
	}
	for i := range settings.Teams {
		c.teams[settings.Teams[i].Name] = &settings.Teams[i]
	}
	c.loadSnapshot(now, snapshot)
	c.log.Info("leader started", "fencing_token", token, "jobs", len(c.jobs), "machines", len(c.machines))
	return c
}

// Step applies an event and returns the effects to perform, in order. The slice is valid until the next Step.
func (c *Core) Step(now time.Time, event Event) []Effect {
	c.effects = c.effects[:0]
	switch event := event.(type) {
	case Tick:
		c.runTimers(now)
	case JobAdded:
		c.addJob(now, event)
	case JobEnded:
		c.endJob(now, event)
	case JobEndsReceived:
		c.jobEndsReceived(now, event)
	case HeartbeatReceived:
		c.heartbeatReceived(now, event)
	case CommandCompleted:
		c.commandCompleted(now, event)
	case CatalogReceived:
		c.catalogReceived(now, event)
	case MachineListReceived:
		c.machineListReceived(now, event)
	case ProvisionCompleted:
		c.provisionCompleted(now, event)
	case ReleaseCompleted:
		c.releaseCompleted(now, event)
	case CommitCompleted:
		c.commitCompleted(now, event)
	case FenceCompleted:
		c.fenceCompleted(now, event)
	case AccountsReceived:
		c.accountsReceived(now, event)
	case SegmentsReceived:
		c.segmentsReceived(now, event)
	}
	c.dispatch(now)
	return c.effects
}

// runTimers does what is due by time: it sweeps the machines, runs a scheduling pass and queries the cloud. Only a
// Tick leads here; the controller sends it after all other events that have come in, and only while the leadership
// lease is valid. So no heartbeat, whose answer renews a worker's lease, waits behind a pass; and a leader that was
// suspended does not count heartbeats as missing that it has only not read yet.
func (c *Core) runTimers(now time.Time) {
	if !now.Before(c.sweepAt) {
		c.sweep(now)
		c.sweepAt = now.Add(sweepInterval)
	}
	if !now.Before(c.statusAt) {
		c.logStatus()
		c.statusAt = now.Add(statusInterval)
	}
	if c.passes.due(now, c.settings.PassInterval) {
		c.runPass(now)
	}
	if c.finished.due(now) {
		c.queueDirtyChunks(now)
	}
	c.runAccounting(now)
	c.refreshInventory(now)
}

// dispatch sends what is ready: transactions, lookups and commands to workers.
func (c *Core) dispatch(now time.Time) {
	c.startCommit(now)
	c.lookUpJobEnds(now)
	for machine := range c.commandsPending {
		c.sendDirectCommands(now, machine)
	}
}

// NextTick is when the next Tick is due.
func (c *Core) NextTick() time.Time {
	next := c.sweepAt
	if passAt, ok := c.passes.next(c.settings.PassInterval); ok && passAt.Before(next) {
		next = passAt
	}
	if flushAt, ok := c.finished.next(); ok && flushAt.Before(next) {
		next = flushAt
	}
	return next
}

// ObserveStepDuration records how long the last Step took by the controller's clock, and reports whether it ran a
// pass. After a long pass the next one is delayed in proportion.
func (c *Core) ObserveStepDuration(d time.Duration) (passed bool) { return c.passes.observe(d) }

// PauseStarts sets whether the starting of tasks is paused: docs/safety.md, "Extended votes". What runs goes on.
func (c *Core) PauseStarts(paused bool) {
	if c.passes.pauseStarts(paused) {
		c.log.Info("task starts paused", "paused", paused, "fencing_token", c.fencingToken)
	}
}

// Resume is called when the leadership lease is valid again after it had expired. Heartbeats could not be answered
// meanwhile, so missing ones do not count against their workers.
func (c *Core) Resume(now time.Time) { c.partitions.restart(now, c.settings.UnresponsiveAfter) }

// Progress returns how many tasks of an active job are done and running, for display; ok is false if there is no
// such job.
func (c *Core) Progress(id string) (done, running int, ok bool) {
	job := c.jobs[id]
	if job == nil {
		return 0, 0, false
	}
	return job.Count(model.TaskDone), job.Running(), true
}

// EachProgress calls f for each active job.
func (c *Core) EachProgress(f func(id string, done, running int)) {
	for id, job := range c.jobs {
		f(id, job.Count(model.TaskDone), job.Running())
	}
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }
