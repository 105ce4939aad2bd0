package reconciler

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/autoscaler"
	"github.com/glentiller/glentiller/internal/ledger"
	"github.com/glentiller/glentiller/internal/liveness"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// Settings are what a core works by; the platform and the operators set them.
type Settings struct {
	Member     string
	Teams      []model.Team
	Objectives map[string][]Objective // by class

	HeartbeatInterval, WorkerLease, GangWait, GangPeer, CancelWithin time.Duration // of the workers
	MachineListLag                                                   time.Duration

	Scheduler  scheduler.Settings
	Autoscaler autoscaler.Settings

	LeaseMargin          time.Duration // beyond a worker's lease before it counts as run out
	PassInterval         time.Duration // least time between scheduling passes
	FlushInterval        time.Duration // between batches of finished tasks
	MachineListInterval  time.Duration
	CatalogInterval      time.Duration
	UnresponsiveAfter    time.Duration // a machine that is silent this long is given back
	MaxUnresponsiveShare float64       // unless more than this share of the machines is silent
	Backoff              time.Duration // after a failed task, doubling
	MaxBackoff           time.Duration
	MachineFaultErrors   int // errors of several jobs that condemn a machine
	CommandHoldOff       time.Duration
	ConsolidateInterval  time.Duration // between moves off dear machines; 0: none
	MaxTxnOps            int
	NumberedChunkTasks   int // tasks in a numbered chunk of the finished-task record, where no record says so

	Ledger *LedgerSettings // nil: no ledger is kept
}

// Objective is what users expect of a class of jobs, as far as the order of waiting
// work depends on it.
type Objective struct {
	StartWithin      time.Duration // tasks are to start within this; 0: not this kind
	FinishWithin     time.Duration // jobs are to be done within this; 0: not this kind
	DeadlineMultiple float64       // jobs are to be done by this many times their deadline; 0: not this kind
}

// maxClockDrift bounds how far the steady clocks of two machines part.
const maxClockDrift = 0.001

// Snapshot is what the state service held when the leader took over.
type Snapshot struct {
	Revision             uint64
	Jobs                 []JobAdded
	FinishedTasks        map[string]map[model.Chunk][]byte // finished tasks by job
	NumberedChunkTasks   int                               // tasks in a numbered chunk; 0: not on record
	OrphanedDependencies []Change                          // parts of lists of awaited jobs that no unfinished job owns
	Machines             []model.MachineInfo
	GPUDemands           []model.Resources      // GPU requests that were seen
	Accounts             []ledger.StoredAccount // of the teams; only where a ledger is kept
}

// Core is the picture and the decisions of one leader, for one token. It is
// thrown away when the leadership ends.
type Core struct {
	settings         Settings
	log              *slog.Logger
	fencingToken     uint64
	startedAt        time.Time
	takeoverRevision uint64 // jobs with a later version were accepted after the takeover

	attemptCounter   uint64
	provisionCounter uint64

	machineTypes      []model.MachineType
	teams             map[string]*model.Team
	jobs              map[string]*model.Job
	jobsByAge         []*model.Job // by the moment from which their ages count
	dependencies      *model.DependencyGraph
	endLookupAt       time.Time // ends of awaited jobs are not asked for before this
	endLookupPending  bool
	criticalPathsAt   time.Time            // when the paths behind jobs are looked over again
	deadlineMultiples map[string][]float64 // by class: the multiples of their deadline by which jobs are to be done
	machines          map[string]*model.Machine
	releasedMachines  map[string]time.Time    // machines that the cloud has taken back
	usageByTeam       map[string]*model.Usage // by team
	orphanUsage       model.Usage             // of attempts whose job has ended and whose needs are not known any more
	unreconciled      int                     // machines that may hold tasks that nobody here knows
	unreconciledKinds map[machineKind]int     // of what kinds those are

	gpuDemands      map[model.Resources]bool    // GPU requests seen: machines are kept for them
	keptForGPUTypes map[*model.MachineType]bool // types that are, as of the last pass
	runTimes        runTimes
	// hasStartObjective: users expect tasks of the class to start in some time, so a
	// start that is taken back soon was in vain.
	hasStartObjective map[string]bool
	refusedOffers     map[autoscaler.Offer]time.Time
	provisioning      map[string]model.Provisioning
	provisionRetryAt  map[string]time.Time

	releasePending bool      // a return is asked for and not answered
	releaseAt      time.Time // none is asked for before this

	pendingChanges  []Change
	queuedChunks    map[chunkKey]bool // of finished-task records that wait among the saves
	commitInFlight  bool
	fenceNeeded     bool // a transaction without an answer may yet be carried out
	lastCommitAlone bool // the last transaction held one save
	commitAt        time.Time
	dirtyJobs       map[string]bool
	flushAt         time.Time

	passNeeded         bool      // the picture has changed since the last pass
	scaledOutAt        time.Time // when renting was last thought over
	lastPassAt         time.Time
	passPause          time.Duration // from one pass's beginning to the next one's, at least
	passRan            bool          // the last step held a pass
	startsPaused       bool          // nothing is started
	servicesRestored   bool          // nothing of the highest rank from before the takeover waits any more
	machineListAt      time.Time
	catalogAt          time.Time
	sweepAt            time.Time
	statusAt           time.Time
	partitionedAt      map[string]time.Time // when most of a zone was silent last
	consolidateAt      time.Time            // no replica is moved before this
	machineListPending bool
	catalogPending     bool
	silenceCountsAfter time.Time // no machine counts as silent before this

	livenessSettings liveness.Settings
	foreignLoggedAt  time.Time               // when a report of another machine by a known name was last told of
	probesInFlight   int                     // questions that are out
	suspects         map[*model.Machine]bool // machines that seem not to hear this leader
	lastProofAt      time.Time               // when any machine last proved that it does

	commandsPending map[*model.Machine]bool // machines with commands to send straight away

	accounting *accounting // nil: no ledger is kept

	constraints    map[*model.Job]*jobConstraints // the unfinished jobs that have rules
	machineClasses machineClasses

	effects []Effect
}

// New makes the core of a leader that has just taken over.
func New(now time.Time, set Settings, token uint64, snap *Snapshot, types []model.MachineType, log *slog.Logger) *Core {
	c := &Core{settings: set, log: log, fencingToken: token, startedAt: now, takeoverRevision: snap.Revision,
		teams: map[string]*model.Team{}, jobs: map[string]*model.Job{}, dependencies: model.NewDependencyGraph(), deadlineMultiples: map[string][]float64{}, machines: map[string]*model.Machine{},
		releasedMachines: map[string]time.Time{}, usageByTeam: map[string]*model.Usage{}, gpuDemands: map[model.Resources]bool{}, runTimes: runTimes{}, hasStartObjective: map[string]bool{},
		refusedOffers: map[autoscaler.Offer]time.Time{}, provisioning: map[string]model.Provisioning{}, provisionRetryAt: map[string]time.Time{},
		dirtyJobs: map[string]bool{}, queuedChunks: map[chunkKey]bool{}, constraints: map[*model.Job]*jobConstraints{}, keptForGPUTypes: map[*model.MachineType]bool{}, unreconciledKinds: map[machineKind]int{}, partitionedAt: map[string]time.Time{}, commandsPending: map[*model.Machine]bool{}, machineTypes: types, machineListAt: now, catalogAt: now, sweepAt: now,
		silenceCountsAfter: now.Add(set.UnresponsiveAfter),
		livenessSettings:   liveness.Settings{Lease: set.WorkerLease, HeartbeatGap: max(responseTimeout, set.HeartbeatInterval+set.HeartbeatInterval/2), ReplaceAfter: set.UnresponsiveAfter},
		suspects:           map[*model.Machine]bool{}, lastProofAt: now}
	for i := range set.Teams {
		c.teams[set.Teams[i].Name] = &set.Teams[i]
		c.usageByTeam[set.Teams[i].Name] = &model.Usage{}
	}
	for class, aims := range set.Objectives {
		for _, a := range aims {
			c.hasStartObjective[class] = c.hasStartObjective[class] || a.StartWithin > 0
			if a.DeadlineMultiple > 0 && a.DeadlineMultiple != 1 {
				c.deadlineMultiples[class] = append(c.deadlineMultiples[class], a.DeadlineMultiple)
			}
		}
		slices.Sort(c.deadlineMultiples[class])
	}
	numbered := snap.NumberedChunkTasks
	if numbered == 0 {
		// From here on it is on record, whatever the limits become that it went by.
		numbered = set.NumberedChunkTasks
		c.pendingChanges = append(c.pendingChanges, Change{Kind: PutChunkLayout, Tasks: numbered})
	}
	c.pendingChanges = append(c.pendingChanges, snap.OrphanedDependencies...)
	if len(types) > 0 {
		c.catalogAt = now.Add(set.CatalogInterval)
	}
	for _, n := range snap.GPUDemands {
		c.gpuDemands[n] = true
	}
	for _, j := range snap.Jobs {
		c.addJob(now, j)
	}
	for id, chunks := range snap.FinishedTasks {
		j := c.jobs[id]
		if j == nil {
			for chunk := range chunks {
				c.pendingChanges = append(c.pendingChanges, Change{Kind: DeleteTasks, Job: id, Chunk: chunk})
			}
			continue
		}
		for chunk, bits := range chunks {
			from := chunk.First(numbered)
			j.LoadDone(from, bits)
			j.MarkDurable(from, bits)
			j.RecordedChunks[chunk] = true
		}
		c.endIfFinished(now, j)
	}
	for _, j := range c.jobs {
		for id := range j.Dependency.Upstream {
			// What it needs was not done when this leader took over, so no leader
			// before can have started it: docs/safety.md, "Pipelines".
			j.NoPriorAttempts = j.NoPriorAttempts || c.jobs[id] != nil
		}
	}
	for _, l := range snap.Machines {
		m := c.newMachine(now, l, model.MachineInherited)
		m.Registered, m.Unreconciled, m.Record = true, true, l
		c.unreconciled++
		c.unreconciledKinds[recordedKind(m)]++
	}
	c.openAccounts(now, snap)
	c.log.Info("takeover", "token", token, "jobs", len(c.jobs), "machines", len(c.machines))
	return c
}

// newMachine enters a machine into the picture.
func (c *Core) newMachine(now time.Time, l model.MachineInfo, s model.MachineState) *model.Machine {
	m := &model.Machine{Name: l.Name, Addr: l.Addr, Zone: l.Zone, Spot: l.Spot, Type: c.machineTypeNamed(l.Type),
		Attempts: map[model.AttemptKey]*model.Attempt{}, CachedImages: map[string]time.Time{}, ErrorsByJob: map[string]int{},
		EmptySince: now, LastHeartbeat: now, LastSeen: now, LeaseExpiry: c.leaseExpiry(now)}
	m.Transition(now, s, "")
	c.machines[m.Name] = m
	return m
}

// usageOf is the account of a team. One that the settings do not name has one too:
// its jobs may have been accepted under other settings.
func (c *Core) usageOf(team string) *model.Usage {
	u := c.usageByTeam[team]
	if u == nil {
		u = &model.Usage{}
		c.usageByTeam[team] = u
	}
	return u
}

// machineTypeNamed finds a machine type. A type that the catalogue does not (yet) list
// has no room: nothing is placed on it.
func (c *Core) machineTypeNamed(name string) *model.MachineType {
	for i := range c.machineTypes {
		if c.machineTypes[i].Name == name {
			return &c.machineTypes[i]
		}
	}
	return &model.MachineType{Name: name, Capacity: model.Resources{CPU: 1e-9}}
}

// leaseExpiry is when the lease of a worker whose last answered report came at t
// has certainly run out: the worker counts from the sending, which was earlier.
func (c *Core) leaseExpiry(t time.Time) time.Time {
	return t.Add(c.settings.WorkerLease + time.Duration(float64(c.settings.WorkerLease)*maxClockDrift) + c.settings.LeaseMargin)
}

// Step takes an event and gives the effects.
func (c *Core) Step(now time.Time, ev Event) []Effect {
	c.effects = c.effects[:0]
	switch ev := ev.(type) {
	case Tick:
		c.runTimers(now)
	case JobAdded:
		c.addJob(now, ev)
	case JobEnded:
		c.endJob(now, ev)
	case JobEndsReceived:
		c.jobEndsReceived(now, ev)
	case HeartbeatReceived:
		c.heartbeatReceived(now, ev)
	case CommandCompleted:
		c.commandCompleted(now, ev)
	case CatalogReceived:
		c.catalogReceived(now, ev)
	case MachineListReceived:
		c.machineListReceived(now, ev)
	case ProvisionCompleted:
		c.provisionCompleted(now, ev)
	case ReleaseCompleted:
		c.releaseCompleted(now, ev)
	case CommitCompleted:
		c.commitCompleted(now, ev)
	case FenceCompleted:
		c.fenceCompleted(now, ev)
	case AccountsReceived:
		c.accountsReceived(now, ev)
	case SegmentsReceived:
		c.segmentsReceived(now, ev)
	}
	c.dispatch(now)
	return c.effects
}

// runTimers does what time brings: it sweeps, passes and asks. Only a Tick leads here, which comes
// when everything else that waits was taken in, and only while its controller may act. Guards
// against reports, and the answers that their workers' leases hang on, that wait behind a
// pass; and against a leader that has stood still for long, and takes its own silence for
// that of its workers.
func (c *Core) runTimers(now time.Time) {
	if !now.Before(c.sweepAt) {
		c.sweepMachines(now)
		c.sweepAt = now.Add(250 * time.Millisecond)
	}
	if !now.Before(c.statusAt) {
		c.logStatus(now)
		c.statusAt = now.Add(10 * time.Second)
	}
	if c.passNeeded && !c.startsPaused && !now.Before(c.nextPassAt()) {
		c.passRan = true
		c.runPass(now)
	}
	if len(c.dirtyJobs) > 0 && !now.Before(c.flushAt) {
		c.queueDirtyChunks(now)
	}
	c.runAccounting(now)
	if !c.machineListPending && !now.Before(c.machineListAt) {
		c.machineListPending = true
		c.emit(ListMachines{})
	}
	if !c.catalogPending && !now.Before(c.catalogAt) {
		c.catalogPending = true
		c.emit(FetchCatalog{})
	}
}

// dispatch sends what is ready: records, and commands to workers.
func (c *Core) dispatch(now time.Time) {
	c.startCommit(now)
	c.lookUpJobEnds(now)
	for m := range c.commandsPending {
		c.sendDirectCommands(now, m)
	}
}

// nextPassAt is when the next pass may begin: passes, which look at all that waits, leave most of
// the time to what must not wait.
func (c *Core) nextPassAt() time.Time {
	return c.lastPassAt.Add(max(c.settings.PassInterval, c.passPause))
}

// ObserveStepDuration tells the core how long a step took by the controller's clock. If it held a pass, the
// next one is put off in proportion. Guards against a leader that passes all the time, with
// reports and the renewal of its own lease waiting behind: its right lapsed by itself on days
// without any fault.
func (c *Core) ObserveStepDuration(d time.Duration) (passed bool) {
	if passed, c.passRan = c.passRan, false; passed {
		c.passPause = min(passTimeDivisor*d, maxPassPause)
	}
	return passed
}

const (
	passTimeDivisor = 3               // a pass takes no more than one part of so many of the time
	maxPassPause    = 3 * time.Second // but work does not wait longer than this for the next one
)

// NextTick is when the next Tick is due.
func (c *Core) NextTick() time.Time {
	t := c.sweepAt
	if c.passNeeded && !c.startsPaused {
		if p := c.nextPassAt(); p.Before(t) {
			t = p
		}
	}
	if len(c.dirtyJobs) > 0 && c.flushAt.Before(t) {
		t = c.flushAt
	}
	return t
}

// PauseStarts has the core start nothing until it is told otherwise: docs/safety.md, "Promises for
// longer". Whatever runs goes on.
func (c *Core) PauseStarts(still bool) {
	if c.startsPaused != still {
		c.log.Info("starting tasks", "still", still, "token", c.fencingToken)
	}
	c.startsPaused = still
}

// Resume tells the core that it may act again after a time without the right
// to: machines could not report, so their silence says nothing.
func (c *Core) Resume(now time.Time) { c.silenceCountsAfter = now.Add(c.settings.UnresponsiveAfter) }

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// Progress tells the state of an active job for display.
func (c *Core) Progress(id string) (done, running int, ok bool) {
	j := c.jobs[id]
	if j == nil {
		return 0, 0, false
	}
	return j.Count(model.TaskDone), j.Running(), true
}

// EachProgress calls f for each active job.
func (c *Core) EachProgress(f func(id string, done, running int)) {
	for id, j := range c.jobs {
		f(id, j.Count(model.TaskDone), j.Running())
	}
}

// --- jobs

func (c *Core) addJob(now time.Time, ev JobAdded) {
	if c.jobs[ev.Spec.ID] != nil {
		return
	}
	j := model.NewJob(ev.Spec, ev.SubmittedAt, ev.Version)
	j.DependencyKeys = ev.DependencyKeys
	c.jobs[ev.Spec.ID] = j
	c.addConstraints(j)
	j.Dependency = c.dependencies.Add(ev.Spec.ID, ev.Spec.Dependencies, ev.SubmittedAt)
	c.enqueue(j)
	if len(ev.Spec.Dependencies) > 0 {
		c.criticalPathsAt = now
		c.endIfFinished(now, j)
	}
	if need := ev.Spec.Demand; need.GPU > 0 && !c.gpuDemands[need] && len(c.gpuDemands) < maxGPUDemands {
		// Guards against a new leader that knows no GPU work at the moment, and
		// fills or rents the dearest machines for anything.
		c.gpuDemands[need] = true
		c.pendingChanges = append(c.pendingChanges, Change{Kind: PutGPUDemand, GPUDemand: need})
	}
	c.passNeeded = true
	c.log.Info("job", "id", ev.Spec.ID, "class", ev.Spec.Class, "team", ev.Spec.Team, "shape", ev.Spec.Shape.String(),
		"rank", ev.Spec.Priority.String(), "tasks", ev.Spec.Tasks, "awaits", len(ev.Spec.Dependencies), "link", j.Dependency.State.String())
}

// maxGPUDemands bounds the GPU requests that are kept in mind.
const maxGPUDemands = 64

// endJob takes a job that is done or cancelled out of the picture. Attempts of
// it stay on their machines' accounts until they are gone. The jobs behind it are
// freed or doomed by nothing else.
func (c *Core) endJob(now time.Time, ev JobEnded) {
	if j := c.jobs[ev.ID]; j != nil {
		c.log.Info("job ended", "id", ev.ID, "done", j.Count(model.TaskDone), "live", len(j.ActiveAttempts), "feeds", len(j.Dependency.Downstream))
		j.Transition(model.JobEnded)
		delete(c.jobs, ev.ID)
		delete(c.constraints, j)
		delete(c.dirtyJobs, ev.ID)
		for _, a := range j.ActiveAttempts {
			c.stopAttempt(now, a, 0)
		}
		for k := range j.RecordedChunks {
			c.pendingChanges = append(c.pendingChanges, Change{Kind: DeleteTasks, Job: ev.ID, Chunk: k})
		}
		for _, key := range j.DependencyKeys {
			c.pendingChanges = append(c.pendingChanges, Change{Kind: DeleteDependencies, Job: ev.ID, Key: key})
		}
		if ev.Outcome != model.OutcomeDone {
			c.exonerate(j)
		}
		c.recordWaiting(now, j, nil)
		c.dequeue(j)
		c.passNeeded = true
		if len(j.Dependency.Upstream) > 0 {
			c.criticalPathsAt = now
		}
	}
	if ev.Outcome == model.OutcomeUnknown {
		c.dependencies.Forget(ev.ID)
		return
	}
	freed, doomed := c.dependencies.End(ev.ID, ev.Outcome, ev.EndedAt)
	for _, l := range freed {
		c.startCountingAge(now, l)
	}
	for _, l := range doomed {
		if j := c.jobs[l.ID]; j != nil {
			c.endIfFinished(now, j)
		}
	}
}

// completeTask notes that a task has completed.
func (c *Core) completeTask(now time.Time, j *model.Job, i int) {
	if j.Task(i) == model.TaskDone || j.Spec.Shape == model.Service {
		return
	}
	j.SetTask(i, model.TaskDone)
	j.KnownGood, j.ConsecutiveErrors, j.FailedMachineCount = true, 0, 0
	j.DirtyChunks[j.Spec.ChunkOf(i)] = true
	if len(c.dirtyJobs) == 0 {
		c.flushAt = now.Add(c.settings.FlushInterval)
	}
	c.dirtyJobs[j.Spec.ID] = true
	c.endIfFinished(now, j)
}

// endIfFinished ends a job whose tasks are all done, or that awaits a cancelled one. The
// record of the end stands for the finished tasks' records too, so none of those is
// needed any more.
func (c *Core) endIfFinished(now time.Time, j *model.Job) {
	kind := CompleteJob
	switch {
	case j.State != model.JobActive:
		return
	case j.Dependency.State == model.DependencyFailed:
		kind = CancelDependent
		c.log.Info("job awaits a cancelled one", "id", j.Spec.ID, "cancelled", j.Dependency.DecidedBy)
	case j.Unfinished() > 0:
		return
	}
	if j.Transition(model.JobCompleting) {
		c.pendingChanges = append(c.pendingChanges, Change{Kind: kind, Job: j.Spec.ID, Version: j.RecordVersion, Tasks: j.Spec.Tasks, At: now})
		delete(c.dirtyJobs, j.Spec.ID)
	}
}

// nextAttemptNumber gives an attempt number that no leader gives again: the token is in
// its upper half.
func (c *Core) nextAttemptNumber() uint64 {
	c.attemptCounter++
	return c.fencingToken<<24 + c.attemptCounter
}

// nextProvisionName gives a rental request a name that is never used again.
func (c *Core) nextProvisionName() string {
	c.provisionCounter++
	return fmt.Sprintf("%s-%d-%d", c.settings.Member, c.fencingToken, c.provisionCounter)
}

// logStatus writes a summary of the picture to the log.
func (c *Core) logStatus(now time.Time) {
	var states [model.MachineReleased + 1]int
	var total, used model.Resources
	kinds := map[string]string{}
	for _, k := range c.summarizeMachines() {
		kinds[k.name] = fmt.Sprintf("%d(%.0f%%)", k.count, 100*k.used/max(k.cpus, 1e-9))
	}
	for _, m := range c.machines {
		states[m.State]++
		if m.State == model.MachineReady {
			total = total.Add(m.Type.Capacity)
			used = used.Add(m.Used)
		}
	}
	waiting, live, awaiting := map[string]int{}, map[string]int{}, map[string]int{}
	for _, j := range c.jobs {
		if n := j.Waiting(); n > 0 && j.Dependency.State == model.DependencySatisfied {
			waiting[j.Spec.Class] += n
		} else if n > 0 {
			awaiting[j.Spec.Class]++
		}
		if n := len(j.ActiveAttempts); n > 0 {
			live[j.Spec.Class] += n
		}
	}
	teams := map[string]string{} // only those that are near their limit
	for name, use := range c.usageByTeam {
		if t := c.teams[name]; t != nil && t.Quota.ExceedsFraction(use.Allocated, 0.9) {
			teams[name] = t.Quota.FormatUsage(use.Allocated)
		}
	}
	c.log.Info("status", "jobs", len(c.jobs), "waiting", waiting, "awaiting", awaiting, "live", live, "ready", states[model.MachineReady], "booting", states[model.MachineBooting],
		"draining", states[model.MachineDraining], "unsettled", c.unreconciled, "at_limit", teams, "kinds", kinds, "cpus", total.CPU, "cpus_used", used.CPU, "gpus", total.GPU, "gpus_used", used.GPU)
}

// machineSummary sums up the machines of one type, ordinary or spot.
type machineSummary struct {
	name       string
	count      int
	cpus, used float64
}

func (c *Core) summarizeMachines() map[string]*machineSummary {
	out := map[string]*machineSummary{}
	for _, m := range c.machines {
		name := m.Type.Name
		if m.Spot {
			name += "/spot"
		}
		k := out[name]
		if k == nil {
			k = &machineSummary{name: name}
			out[name] = k
		}
		k.count++
		k.cpus += m.Type.Capacity.CPU
		k.used += m.Used.CPU
	}
	return out
}
