package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// takeover tracks what a new leader does not know yet about the time before its takeover: which tasks earlier leaders
// started on the machines that it inherits. docs/safety.md, "Reconciliation after failover", argues why it is safe to
// start other tasks in the meantime.
type takeover struct {
	startedAt           time.Time
	revision            uint64              // of the snapshot; jobs with a later version were accepted after the takeover
	unreconciled        int                 // number of machines that may hold tasks that this leader does not know
	unreconciledKinds   map[machineKind]int // number of unreconciled machines of each kind
	urgentTasksRestored bool                // no urgent task from before the takeover is waiting any more
}

// machineKind is the set of machine properties that decide whether a job can have been placed on a machine.
type machineKind struct {
	machineType, zone string
	spot              bool
}

// machineFaultDivisor sets the share of machines that is attributed to faults of their own: at most one in this many.
const machineFaultDivisor = 10

// likelyMachineFault reports whether so few of all machines are affected that the fault is probably theirs and not this
// leader's. That always holds for a single machine.
func likelyMachineFault(affected, all int) bool { return affected <= max(1, all/machineFaultDivisor) }

func newTakeover(now time.Time, revision uint64) takeover {
	return takeover{startedAt: now, revision: revision, unreconciledKinds: map[machineKind]int{}}
}

// recordedKind returns the kind that is stated in a machine's record, which earlier leaders used for placement.
func recordedKind(machine *model.Machine) machineKind {
	return machineKind{machine.RecordedInfo.Type, machine.RecordedInfo.Zone, machine.RecordedInfo.Spot}
}

// inherit marks a machine as inherited. It may hold tasks of earlier leaders.
func (t *takeover) inherit(machine *model.Machine, info model.MachineInfo) {
	machine.RecordDurable, machine.Unreconciled, machine.RecordedInfo = true, true, info
	t.unreconciled++
	t.unreconciledKinds[recordedKind(machine)]++
}

// reconciled marks an inherited machine as reconciled.
func (t *takeover) reconciled(machine *model.Machine) {
	machine.Unreconciled = false
	t.unreconciled--
	if kind := recordedKind(machine); t.unreconciledKinds[kind] > 1 {
		t.unreconciledKinds[kind]--
	} else {
		delete(t.unreconciledKinds, kind)
	}
}

// complete reports whether all inherited machines are reconciled.
func (t *takeover) complete() bool { return t.unreconciled == 0 }

// loadSnapshot initializes the view from the records of a snapshot.
func (c *Core) loadSnapshot(now time.Time, snapshot *record.Snapshot) {
	chunkTasks := snapshot.NumberedChunkTasks
	if chunkTasks == 0 {
		// The number is recorded now, and stays valid even if the limit from which it was derived changes.
		chunkTasks = c.settings.NumberedChunkTasks
		c.commits.add(record.Change{Kind: record.PutChunkLayout, Tasks: chunkTasks})
	}
	c.commits.add(snapshot.OrphanedDependencies...)
	for _, demand := range snapshot.GPUDemands {
		c.gpus.restore(demand)
	}
	for _, job := range snapshot.Jobs {
		c.addJob(now, JobAdded(job))
	}
	c.loadFinishedTasks(now, snapshot.FinishedTasks, chunkTasks)
	for _, job := range c.jobs {
		for id := range job.Dependency.Upstream {
			// A dependency that is still active was not done when this leader took over, so no earlier leader can
			// have started this job (docs/safety.md, "Pipelines").
			job.NoPriorAttempts = job.NoPriorAttempts || c.jobs[id] != nil
		}
	}
	for _, info := range snapshot.Machines {
		c.takeover.inherit(c.addMachine(now, info, model.MachineInherited), info)
	}
	c.openAccounts(now, snapshot.Accounts)
}

// loadFinishedTasks loads the records of finished tasks. Those of jobs that have ended are deleted.
func (c *Core) loadFinishedTasks(now time.Time, finished map[string]map[model.Chunk][]byte, chunkTasks int) {
	for id, chunks := range finished {
		job := c.jobs[id]
		if job == nil {
			for chunk := range chunks {
				c.commits.add(record.Change{Kind: record.DeleteTasks, Job: id, Chunk: chunk})
			}
			continue
		}
		for chunk, bits := range chunks {
			first := chunk.First(chunkTasks)
			job.MarkDone(first, bits)
			job.MarkDurable(first, bits)
			job.RecordedChunks[chunk] = true
		}
		c.endIfFinished(now, job)
	}
}

// markReconciled records that everything on an inherited machine is known. When this holds for all machines,
// incomplete gangs are stopped. how names the evidence for the log.
func (c *Core) markReconciled(now time.Time, machine *model.Machine, how string) {
	c.takeover.reconciled(machine)
	if machine.State == model.MachineInherited {
		machine.Transition(now, model.MachineReady, "")
	}
	if machine.ActiveCount == 0 {
		machine.EmptySince = now
	}
	c.passes.request()
	c.log.Debug("machine reconciled", "machine", machine.Name, "how", how,
		"attempts", machine.ActiveCount, "left", c.takeover.unreconciled)
	if !c.takeover.complete() {
		return
	}
	c.log.Info("all machines reconciled", "fencing_token", c.fencingToken, "after", now.Sub(c.takeover.startedAt))
	for _, job := range c.jobs {
		if job.Spec.Shape == model.Gang && len(job.ActiveAttempts) > 0 && !gangComplete(job) {
			c.breakGang(now, job)
		}
	}
}

// reconcileUnrenewed reconciles a machine that has just sent a fresh heartbeat, more than a lease after the takeover,
// but still without this leader's fencing token. The machine holds nothing that an earlier leader started, apart from
// what its heartbeats have shown (docs/safety.md, "Reconciliation after failover"). Without this rule, tasks from
// before the takeover would wait for as long as the machine receives nothing, because each of its heartbeats postpones
// the expiry of its lease.
func (c *Core) reconcileUnrenewed(now time.Time, machine *model.Machine) {
	if machine.Detector.FencingTokenNotAccepted(now) {
		c.livenessChanged(machine)
	}
	c.markReconciled(now, machine, "lease not renewed since the takeover")
}

// fewUnreconciled reports whether nearly all machines are reconciled. The remaining ones have probably failed.
func (c *Core) fewUnreconciled() bool {
	return likelyMachineFault(c.takeover.unreconciled, len(c.machines))
}

// Limits on the probing of inherited machines.
const (
	reconcileProbeDelayHeartbeats = 1 // heartbeat intervals from the takeover to the first probes
	maxReconcileProbes            = 8 // probes per sweep
)

// probeUnreconciled probes the machines that have not reported to a new leader, once most others have. A few failed
// machines therefore do not hold up all tasks from before the takeover until they count as unresponsive.
func (c *Core) probeUnreconciled(now time.Time) {
	earliest := c.settings.HeartbeatInterval * reconcileProbeDelayHeartbeats
	if c.takeover.complete() || now.Sub(c.takeover.startedAt) < earliest || !c.fewUnreconciled() {
		return
	}
	probed := 0
	for _, machine := range c.machines {
		if probed >= maxReconcileProbes {
			break
		}
		if machine.Unreconciled && !machine.ProbeUnanswered && canProbe(machine) &&
			now.Sub(machine.ProbedAt) > probeInterval {
			probed++
			c.sendProbe(now, machine)
		}
	}
}

// mayAlreadyRun reports whether a waiting task of a job may already be running on a machine that has not been
// reconciled since the takeover, so that it must not be started. That is ruled out if the job was accepted after the
// takeover, or if no leader can have placed it on any of the unreconciled kinds of machines (docs/safety.md,
// "Reconciliation after failover").
func (c *Core) mayAlreadyRun(job *model.Job) bool {
	if c.takeover.complete() || job.RecordVersion > c.takeover.revision || job.NoPriorAttempts {
		return false
	}
	for kind := range c.takeover.unreconciledKinds {
		if c.couldRunOn(job.Spec, kind) {
			return true
		}
	}
	return false
}

// couldRunOn reports whether a job's tasks may have been placed on machines of a kind. A type that is not in the
// catalog may have any capacity.
func (c *Core) couldRunOn(spec *model.Spec, kind machineKind) bool {
	machineType := c.machineType(kind.machineType)
	return spec.AllowsType(kind.machineType) &&
		(spec.Zone == "" || spec.Zone == kind.zone) &&
		(spec.AllowSpot || !kind.spot) &&
		(!isListedInCatalog(machineType) || spec.Demand.Fits(machineType.Capacity))
}

// logUrgentTasksRestored logs, once after a takeover, that no urgent task from before it is waiting any more.
func (c *Core) logUrgentTasksRestored(now time.Time, requests []*scheduler.Request) {
	if c.takeover.urgentTasksRestored || !c.takeover.complete() {
		return
	}
	for _, request := range requests {
		if request.Urgent() && request.Job.RecordVersion <= c.takeover.revision {
			return
		}
	}
	c.takeover.urgentTasksRestored = true
	c.log.Info("urgent tasks restored after failover",
		"fencing_token", c.fencingToken, "after", now.Sub(c.takeover.startedAt))
}
