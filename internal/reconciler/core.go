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
	Member string
	Teams  []model.Team
	Aims   map[string][]Aim // by class

	Report, Lease, GangWait, GangPeer, Cancel time.Duration // of the workers
	ListLag                                   time.Duration

	Sched scheduler.Settings
	Fleet autoscaler.Settings

	LeaseMargin  time.Duration // beyond a worker's lease before it counts as run out
	Pass         time.Duration // least time between scheduling passes
	Flush        time.Duration // between batches of finished tasks
	ListEvery    time.Duration
	CatalogEvery time.Duration
	SilentAfter  time.Duration // a machine that is silent this long is given back
	SilentShare  float64       // unless more than this share of the machines is silent
	Backoff      time.Duration // after a failed task, doubling
	BackoffMost  time.Duration
	SickErrors   int // errors of several jobs that condemn a machine
	DirectHold   time.Duration
	Consolidate  time.Duration // between moves off dear machines; 0: none
	TxnOps       int
	Numbered     int // tasks in a numbered chunk of the finished-task record, where no record says so

	Ledger *Ledger // nil: no ledger is kept
}

// Aim is what users expect of a class of jobs, as far as the order of waiting
// work depends on it.
type Aim struct {
	Start  time.Duration // tasks are to start within this; 0: not this kind
	Finish time.Duration // jobs are to be done within this; 0: not this kind
	Times  float64       // jobs are to be done by this many times their deadline; 0: not this kind
}

// drift bounds how far the steady clocks of two machines part.
const drift = 0.001

// Snapshot is what the state service held when the leader took over.
type Snapshot struct {
	Revision uint64
	Jobs     []JobAdded
	Done     map[string]map[model.Chunk][]byte // finished tasks by job
	Numbered int                               // tasks in a numbered chunk; 0: not on record
	Strays   []Save                            // parts of lists of awaited jobs that no unfinished job owns
	Machines []model.MachineInfo
	Needs    []model.Resources // GPU requests that were seen
	Accounts []ledger.OnRecord // of the teams; only where a ledger is kept
}

// Core is the picture and the decisions of one leader, for one token. It is
// thrown away when the leadership ends.
type Core struct {
	set   Settings
	log   *slog.Logger
	token uint64
	start time.Time
	rev   uint64 // jobs with a later version were accepted after the takeover

	tries uint64
	hires uint64

	types    []model.MachineType
	teams    map[string]*model.Team
	jobs     map[string]*model.Job
	order    []*model.Job // by the moment from which their ages count
	graph    *model.DependencyGraph
	lookAt   time.Time // ends of awaited jobs are not asked for before this
	looking  bool
	pathsAt  time.Time            // when the paths behind jobs are looked over again
	times    map[string][]float64 // by class: the multiples of their deadline by which jobs are to be done
	machines map[string]*model.Machine
	gone     map[string]time.Time    // machines that the cloud has taken back
	use      map[string]*model.Usage // by team
	stray    model.Usage             // of attempts whose job has ended and whose needs are not known any more
	unsure   int                     // machines that may hold tasks that nobody here knows
	doubts   map[machineKind]int     // of what kinds those are

	gpuNeed map[model.Resources]bool    // GPU requests seen: machines are kept for them
	keptGPU map[*model.MachineType]bool // types that are, as of the last pass
	runs    runTimes
	// startCounts: users expect tasks of the class to start in some time, so a
	// start that is taken back soon was in vain.
	startCounts map[string]bool
	refused     map[autoscaler.Offer]time.Time
	renting     map[string]model.Provisioning
	rentAt      map[string]time.Time

	returning bool      // a return is asked for and not answered
	returnAt  time.Time // none is asked for before this

	saves     []Save
	chunks    map[chunkKey]bool // of finished-task records that wait among the saves
	saving    bool
	fence     bool // a transaction without an answer may yet be carried out
	lone      bool // the last transaction held one save
	saveAt    time.Time
	dirtyJobs map[string]bool
	flushAt   time.Time

	dirty     bool      // the picture has changed since the last pass
	rentedAt  time.Time // when renting was last thought over
	lastPass  time.Time
	passPause time.Duration // from one pass's beginning to the next one's, at least
	passed    bool          // the last step held a pass
	still     bool          // nothing is started
	restored  bool          // nothing of the highest rank from before the takeover waits any more
	listAt    time.Time
	catalogAt time.Time
	sweepAt   time.Time
	statusAt  time.Time
	quietAt   map[string]time.Time // when most of a zone was silent last
	moveAt    time.Time            // no replica is moved before this
	listing   bool
	catalogs  bool
	resumeAt  time.Time // no machine counts as silent before this

	detector  liveness.Settings
	foreignAt time.Time               // when a report of another machine by a known name was last told of
	asking    int                     // questions that are out
	inDoubtOf map[*model.Machine]bool // machines that seem not to hear this leader
	provedAt  time.Time               // when any machine last proved that it does

	news map[*model.Machine]bool // machines with commands to send straight away

	acc *accounts // nil: no ledger is kept

	ruled   map[*model.Job]*ruled // the unfinished jobs that have rules
	classes classes

	out []Effect
}

// New makes the core of a leader that has just taken over.
func New(now time.Time, set Settings, token uint64, snap *Snapshot, types []model.MachineType, log *slog.Logger) *Core {
	c := &Core{set: set, log: log, token: token, start: now, rev: snap.Revision,
		teams: map[string]*model.Team{}, jobs: map[string]*model.Job{}, graph: model.NewDependencyGraph(), times: map[string][]float64{}, machines: map[string]*model.Machine{},
		gone: map[string]time.Time{}, use: map[string]*model.Usage{}, gpuNeed: map[model.Resources]bool{}, runs: runTimes{}, startCounts: map[string]bool{},
		refused: map[autoscaler.Offer]time.Time{}, renting: map[string]model.Provisioning{}, rentAt: map[string]time.Time{},
		dirtyJobs: map[string]bool{}, chunks: map[chunkKey]bool{}, ruled: map[*model.Job]*ruled{}, keptGPU: map[*model.MachineType]bool{}, doubts: map[machineKind]int{}, quietAt: map[string]time.Time{}, news: map[*model.Machine]bool{}, types: types, listAt: now, catalogAt: now, sweepAt: now,
		resumeAt:  now.Add(set.SilentAfter),
		detector:  liveness.Settings{Lease: set.Lease, Gap: max(dropped, set.Report+set.Report/2), Replace: set.SilentAfter},
		inDoubtOf: map[*model.Machine]bool{}, provedAt: now}
	for i := range set.Teams {
		c.teams[set.Teams[i].Name] = &set.Teams[i]
		c.use[set.Teams[i].Name] = &model.Usage{}
	}
	for class, aims := range set.Aims {
		for _, a := range aims {
			c.startCounts[class] = c.startCounts[class] || a.Start > 0
			if a.Times > 0 && a.Times != 1 {
				c.times[class] = append(c.times[class], a.Times)
			}
		}
		slices.Sort(c.times[class])
	}
	numbered := snap.Numbered
	if numbered == 0 {
		// From here on it is on record, whatever the limits become that it went by.
		numbered = set.Numbered
		c.saves = append(c.saves, Save{Kind: SaveLayout, Tasks: numbered})
	}
	c.saves = append(c.saves, snap.Strays...)
	if len(types) > 0 {
		c.catalogAt = now.Add(set.CatalogEvery)
	}
	for _, n := range snap.Needs {
		c.gpuNeed[n] = true
	}
	for _, j := range snap.Jobs {
		c.addJob(now, j)
	}
	for id, chunks := range snap.Done {
		j := c.jobs[id]
		if j == nil {
			for chunk := range chunks {
				c.saves = append(c.saves, Save{Kind: DropTasks, Job: id, Chunk: chunk})
			}
			continue
		}
		for chunk, bits := range chunks {
			from := chunk.First(numbered)
			j.LoadDone(from, bits)
			j.MarkDurable(from, bits)
			j.RecordedChunks[chunk] = true
		}
		c.checkEnd(now, j)
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
		c.unsure++
		c.doubts[kindOf(m)]++
	}
	c.openAccounts(now, snap)
	c.log.Info("takeover", "token", token, "jobs", len(c.jobs), "machines", len(c.machines))
	return c
}

// newMachine enters a machine into the picture.
func (c *Core) newMachine(now time.Time, l model.MachineInfo, s model.MachineState) *model.Machine {
	m := &model.Machine{Name: l.Name, Addr: l.Addr, Zone: l.Zone, Spot: l.Spot, Type: c.typeOf(l.Type),
		Attempts: map[model.AttemptKey]*model.Attempt{}, CachedImages: map[string]time.Time{}, ErrorsByJob: map[string]int{},
		EmptySince: now, LastHeartbeat: now, LastSeen: now, LeaseExpiry: c.leaseEnd(now)}
	m.Transition(now, s, "")
	c.machines[m.Name] = m
	return m
}

// usage is the account of a team. One that the settings do not name has one too:
// its jobs may have been accepted under other settings.
func (c *Core) usage(team string) *model.Usage {
	u := c.use[team]
	if u == nil {
		u = &model.Usage{}
		c.use[team] = u
	}
	return u
}

// typeOf finds a machine type. A type that the catalogue does not (yet) list
// has no room: nothing is placed on it.
func (c *Core) typeOf(name string) *model.MachineType {
	for i := range c.types {
		if c.types[i].Name == name {
			return &c.types[i]
		}
	}
	return &model.MachineType{Name: name, Capacity: model.Resources{CPU: 1e-9}}
}

// leaseEnd is when the lease of a worker whose last answered report came at t
// has certainly run out: the worker counts from the sending, which was earlier.
func (c *Core) leaseEnd(t time.Time) time.Time {
	return t.Add(c.set.Lease + time.Duration(float64(c.set.Lease)*drift) + c.set.LeaseMargin)
}

// Step takes an event and gives the effects.
func (c *Core) Step(now time.Time, ev Event) []Effect {
	c.out = c.out[:0]
	switch ev := ev.(type) {
	case Tick:
		c.due(now)
	case JobAdded:
		c.addJob(now, ev)
	case JobEnded:
		c.endJob(now, ev)
	case EndsIn:
		c.endsIn(now, ev)
	case ReportIn:
		c.reportIn(now, ev)
	case CommandBack:
		c.commandBack(now, ev)
	case CatalogIn:
		c.catalogIn(now, ev)
	case ListIn:
		c.listIn(now, ev)
	case RentBack:
		c.rentBack(now, ev)
	case ReturnBack:
		c.returnBack(now, ev)
	case SaveBack:
		c.saveBack(now, ev)
	case FenceBack:
		c.fenceBack(now, ev)
	case AccountsIn:
		c.accountsIn(now, ev)
	case PagesIn:
		c.pagesIn(now, ev)
	}
	c.send(now)
	return c.out
}

// due does what time brings: it sweeps, passes and asks. Only a Tick leads here, which comes
// when everything else that waits was taken in, and only while its controller may act. Guards
// against reports, and the answers that their workers' leases hang on, that wait behind a
// pass; and against a leader that has stood still for long, and takes its own silence for
// that of its workers.
func (c *Core) due(now time.Time) {
	if !now.Before(c.sweepAt) {
		c.sweep(now)
		c.sweepAt = now.Add(250 * time.Millisecond)
	}
	if !now.Before(c.statusAt) {
		c.status(now)
		c.statusAt = now.Add(10 * time.Second)
	}
	if c.dirty && !c.still && !now.Before(c.passAt()) {
		c.passed = true
		c.pass(now)
	}
	if len(c.dirtyJobs) > 0 && !now.Before(c.flushAt) {
		c.flush(now)
	}
	c.account(now)
	if !c.listing && !now.Before(c.listAt) {
		c.listing = true
		c.emit(List{})
	}
	if !c.catalogs && !now.Before(c.catalogAt) {
		c.catalogs = true
		c.emit(Catalog{})
	}
}

// send sends what is ready: records, and commands to workers.
func (c *Core) send(now time.Time) {
	c.commit(now)
	c.lookUp(now)
	for m := range c.news {
		c.sendDirect(now, m)
	}
}

// passAt is when the next pass may begin: passes, which look at all that waits, leave most of
// the time to what must not wait.
func (c *Core) passAt() time.Time { return c.lastPass.Add(max(c.set.Pass, c.passPause)) }

// Took tells the core how long a step took by the controller's clock. If it held a pass, the
// next one is put off in proportion. Guards against a leader that passes all the time, with
// reports and the renewal of its own lease waiting behind: its right lapsed by itself on days
// without any fault.
func (c *Core) Took(d time.Duration) (passed bool) {
	if passed, c.passed = c.passed, false; passed {
		c.passPause = min(passPart*d, mostPause)
	}
	return passed
}

const (
	passPart  = 3               // a pass takes no more than one part of so many of the time
	mostPause = 3 * time.Second // but work does not wait longer than this for the next one
)

// Wake is when the next Tick is due.
func (c *Core) Wake() time.Time {
	t := c.sweepAt
	if c.dirty && !c.still {
		if p := c.passAt(); p.Before(t) {
			t = p
		}
	}
	if len(c.dirtyJobs) > 0 && c.flushAt.Before(t) {
		t = c.flushAt
	}
	return t
}

// Still has the core start nothing until it is told otherwise: docs/safety.md, "Promises for
// longer". Whatever runs goes on.
func (c *Core) Still(still bool) {
	if c.still != still {
		c.log.Info("starting tasks", "still", still, "token", c.token)
	}
	c.still = still
}

// Resume tells the core that it may act again after a time without the right
// to: machines could not report, so their silence says nothing.
func (c *Core) Resume(now time.Time) { c.resumeAt = now.Add(c.set.SilentAfter) }

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

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
	j := model.NewJob(ev.Spec, ev.At, ev.Version)
	j.DependencyKeys = ev.Parts
	c.jobs[ev.Spec.ID] = j
	c.addRules(j)
	j.Dependency = c.graph.Add(ev.Spec.ID, ev.Spec.Dependencies, ev.At)
	c.enqueue(j)
	if len(ev.Spec.Dependencies) > 0 {
		c.pathsAt = now
		c.checkEnd(now, j)
	}
	if need := ev.Spec.Demand; need.GPU > 0 && !c.gpuNeed[need] && len(c.gpuNeed) < maxNeeds {
		// Guards against a new leader that knows no GPU work at the moment, and
		// fills or rents the dearest machines for anything.
		c.gpuNeed[need] = true
		c.saves = append(c.saves, Save{Kind: SaveNeed, Need: need})
	}
	c.dirty = true
	c.log.Info("job", "id", ev.Spec.ID, "class", ev.Spec.Class, "team", ev.Spec.Team, "shape", ev.Spec.Shape.String(),
		"rank", ev.Spec.Priority.String(), "tasks", ev.Spec.Tasks, "awaits", len(ev.Spec.Dependencies), "link", j.Dependency.State.String())
}

// maxNeeds bounds the GPU requests that are kept in mind.
const maxNeeds = 64

// endJob takes a job that is done or cancelled out of the picture. Attempts of
// it stay on their machines' accounts until they are gone. The jobs behind it are
// freed or doomed by nothing else.
func (c *Core) endJob(now time.Time, ev JobEnded) {
	if j := c.jobs[ev.ID]; j != nil {
		c.log.Info("job ended", "id", ev.ID, "done", j.Count(model.TaskDone), "live", len(j.ActiveAttempts), "feeds", len(j.Dependency.Downstream))
		j.Transition(model.JobEnded)
		delete(c.jobs, ev.ID)
		delete(c.ruled, j)
		delete(c.dirtyJobs, ev.ID)
		for _, a := range j.ActiveAttempts {
			c.stop(now, a, 0)
		}
		for k := range j.RecordedChunks {
			c.saves = append(c.saves, Save{Kind: DropTasks, Job: ev.ID, Chunk: k})
		}
		for _, key := range j.DependencyKeys {
			c.saves = append(c.saves, Save{Kind: DropAwaits, Job: ev.ID, Key: key})
		}
		if ev.End != model.OutcomeDone {
			c.acquit(j)
		}
		c.waited(now, j, nil)
		c.dequeue(j)
		c.dirty = true
		if len(j.Dependency.Upstream) > 0 {
			c.pathsAt = now
		}
	}
	if ev.End == model.OutcomeUnknown {
		c.graph.Forget(ev.ID)
		return
	}
	freed, doomed := c.graph.End(ev.ID, ev.End, ev.At)
	for _, l := range freed {
		c.free(now, l)
	}
	for _, l := range doomed {
		if j := c.jobs[l.ID]; j != nil {
			c.checkEnd(now, j)
		}
	}
}

// taskDone notes that a task has completed.
func (c *Core) taskDone(now time.Time, j *model.Job, i int) {
	if j.Task(i) == model.TaskDone || j.Spec.Shape == model.Service {
		return
	}
	j.SetTask(i, model.TaskDone)
	j.KnownGood, j.ConsecutiveErrors, j.FailedMachineCount = true, 0, 0
	j.DirtyChunks[j.Spec.ChunkOf(i)] = true
	if len(c.dirtyJobs) == 0 {
		c.flushAt = now.Add(c.set.Flush)
	}
	c.dirtyJobs[j.Spec.ID] = true
	c.checkEnd(now, j)
}

// checkEnd ends a job whose tasks are all done, or that awaits a cancelled one. The
// record of the end stands for the finished tasks' records too, so none of those is
// needed any more.
func (c *Core) checkEnd(now time.Time, j *model.Job) {
	kind := EndJob
	switch {
	case j.State != model.JobActive:
		return
	case j.Dependency.State == model.DependencyFailed:
		kind = EndDoomed
		c.log.Info("job awaits a cancelled one", "id", j.Spec.ID, "cancelled", j.Dependency.DecidedBy)
	case j.Unfinished() > 0:
		return
	}
	if j.Transition(model.JobCompleting) {
		c.saves = append(c.saves, Save{Kind: kind, Job: j.Spec.ID, Version: j.RecordVersion, Tasks: j.Spec.Tasks, At: now})
		delete(c.dirtyJobs, j.Spec.ID)
	}
}

// nextTry gives an attempt number that no leader gives again: the token is in
// its upper half.
func (c *Core) nextTry() uint64 {
	c.tries++
	return c.token<<24 + c.tries
}

// nextHire gives a rental request a name that is never used again.
func (c *Core) nextHire() string {
	c.hires++
	return fmt.Sprintf("%s-%d-%d", c.set.Member, c.token, c.hires)
}

// status writes a summary of the picture to the log.
func (c *Core) status(now time.Time) {
	var states [model.MachineReleased + 1]int
	var total, used model.Resources
	kinds := map[string]string{}
	for _, k := range c.kinds() {
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
	for name, use := range c.use {
		if t := c.teams[name]; t != nil && t.Quota.ExceedsFraction(use.Allocated, 0.9) {
			teams[name] = t.Quota.FormatUsage(use.Allocated)
		}
	}
	c.log.Info("status", "jobs", len(c.jobs), "waiting", waiting, "awaiting", awaiting, "live", live, "ready", states[model.MachineReady], "booting", states[model.MachineBooting],
		"draining", states[model.MachineDraining], "unsettled", c.unsure, "at_limit", teams, "kinds", kinds, "cpus", total.CPU, "cpus_used", used.CPU, "gpus", total.GPU, "gpus_used", used.GPU)
}

// kind sums up the machines of one type, ordinary or spot.
type kind struct {
	name       string
	count      int
	cpus, used float64
}

func (c *Core) kinds() map[string]*kind {
	out := map[string]*kind{}
	for _, m := range c.machines {
		name := m.Type.Name
		if m.Spot {
			name += "/spot"
		}
		k := out[name]
		if k == nil {
			k = &kind{name: name}
			out[name] = k
		}
		k.count++
		k.cpus += m.Type.Capacity.CPU
		k.used += m.Used.CPU
	}
	return out
}
