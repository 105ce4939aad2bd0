package reconciler

import (
	"log/slog"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
)

// Core holds one leader's view of the cluster and makes its decisions. It serves one fencing token and is discarded
// when that leadership ends. It is not safe for concurrent use.
type Core struct {
	settings     Settings
	log          *slog.Logger
	fencingToken uint64

	// The view: the jobs, machines and usage that this leader knows.
	machineTypes []model.MachineType
	machines     map[string]*model.Machine
	teams        map[string]*model.Team
	jobs         map[string]*model.Job
	jobsByAge    []*model.Job // ordered by the time from which the job's age counts, oldest first
	usage        teamUsage

	// The components. Each one is changed only in its own file.
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
	accounting     *accounting // nil if no ledger is kept
	attemptCounter uint64      // number of attempt numbers that this leader has assigned

	commandsPending map[*model.Machine]bool // machines that may have commands to send directly

	nextSweepAt  time.Time
	nextStatusAt time.Time

	effects []Effect // of the current Step
}

// Intervals of the periodic work of every leader.
const (
	sweepInterval  = 250 * time.Millisecond
	statusInterval = 10 * time.Second
)

// New returns the Core of a leader that has just taken over with the given fencing token. The Core keeps what
// snapshot and types refer to, so the caller must not modify it afterwards.
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
		nextSweepAt:     now,
	}
	for i := range settings.Teams {
		c.teams[settings.Teams[i].Name] = &settings.Teams[i]
	}
	c.loadSnapshot(now, snapshot)
	c.log.Info("leader started", "fencing_token", token, "jobs", len(c.jobs), "machines", len(c.machines))
	return c
}

// Step applies an event and returns the effects to perform, in order. The slice is valid until the next call of Step.
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

// runTimers does the periodic work that is due: it sweeps the machines, runs a scheduling pass and queries the cloud.
// It runs only on a Tick. The controller sends a Tick after all other events that have been received, and only while
// the leadership lease is valid. Heartbeats, whose responses renew workers' leases, therefore never wait behind a pass.
// A leader that was suspended reads the heartbeats that have arrived before it decides which ones are missing.
func (c *Core) runTimers(now time.Time) {
	if !now.Before(c.nextSweepAt) {
		c.sweep(now)
		c.nextSweepAt = now.Add(sweepInterval)
	}
	if !now.Before(c.nextStatusAt) {
		c.logStatus()
		c.nextStatusAt = now.Add(statusInterval)
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

// dispatch emits what is ready to be sent: transactions, lookups of job ends, and commands to workers.
func (c *Core) dispatch(now time.Time) {
	c.startCommit(now)
	c.lookUpJobEnds(now)
	for machine := range c.commandsPending {
		c.sendDirectCommands(now, machine)
	}
}

// NextTick returns the time at which the next Tick is due.
func (c *Core) NextTick() time.Time {
	next := c.nextSweepAt
	if passAt, ok := c.passes.next(c.settings.PassInterval); ok && passAt.Before(next) {
		next = passAt
	}
	if flushAt, ok := c.finished.next(); ok && flushAt.Before(next) {
		next = flushAt
	}
	return next
}

// ObserveStepDuration records how long the last Step took by the controller's clock, and reports whether that Step
// ran a scheduling pass. The longer a pass took, the longer the next one is delayed.
func (c *Core) ObserveStepDuration(d time.Duration) (passed bool) { return c.passes.observe(d) }

// SetStartsPaused pauses or resumes the starting of tasks (docs/safety.md, "Extended votes"). Running tasks continue.
func (c *Core) SetStartsPaused(paused bool) {
	if c.passes.pauseStarts(paused) {
		c.log.Info("task start pause changed", "paused", paused, "fencing_token", c.fencingToken)
	}
}

// OnLeaseRestored must be called when the leadership lease is valid again after it had expired. Heartbeats could not be
// answered in the meantime, so missing ones do not count against their workers.
func (c *Core) OnLeaseRestored(now time.Time) {
	c.partitions.resetHeartbeatTimeouts(now, c.settings.UnresponsiveAfter)
}

// Progress returns the number of done and running tasks of an active job, for display. ok is false if there is no
// such job.
func (c *Core) Progress(id string) (done, running int, ok bool) {
	job := c.jobs[id]
	if job == nil {
		return 0, 0, false
	}
	return job.Count(model.TaskDone), job.RunningTasks(), true
}

// EachProgress calls f for each active job, in no particular order.
func (c *Core) EachProgress(f func(id string, done, running int)) {
	for id, job := range c.jobs {
		f(id, job.Count(model.TaskDone), job.RunningTasks())
	}
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }
