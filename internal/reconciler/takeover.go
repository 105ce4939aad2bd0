package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/record"
	"github.com/glentiller/glentiller/internal/scheduler"
)

// takeover is what a new leader does not know yet of the time before it: which tasks earlier leaders have started on
// the machines that it inherits. docs/safety.md, "Reconciliation after failover", argues why what it starts meanwhile
// is safe.
type takeover struct {
	startedAt        time.Time
	revision         uint64              // jobs with a later version were accepted after the takeover
	unreconciled     int                 // machines that may hold tasks that this leader does not know
	kinds            map[machineKind]int // how many machines of each kind those are
	servicesRestored bool                // no urgent task from before the takeover waits any more
}

// machineKind is what decides whether a job may ever have been placed on a machine.
type machineKind struct {
	machineType, zone string
	spot              bool
}

// minorityDivisor: so few machines are a minority that one part of this many of all machines is as many.
const minorityDivisor = 10

// isMinority reports whether some machines are so few of all that the fault is likely theirs and not this leader's.
func isMinority(count, all int) bool { return count <= max(1, all/minorityDivisor) }

func newTakeover(now time.Time, revision uint64) takeover {
	return takeover{startedAt: now, revision: revision, kinds: map[machineKind]int{}}
}

// recordedKind is the kind that a machine's record states: earlier leaders decided by that.
func recordedKind(machine *model.Machine) machineKind {
	return machineKind{machine.Record.Type, machine.Record.Zone, machine.Record.Spot}
}

// inherit counts a machine that may hold tasks of earlier leaders.
func (t *takeover) inherit(machine *model.Machine, info model.MachineInfo) {
	machine.Registered, machine.Unreconciled, machine.Record = true, true, info
	t.unreconciled++
	t.kinds[recordedKind(machine)]++
}

// reconciled counts an inherited machine as known.
func (t *takeover) reconciled(machine *model.Machine) {
	machine.Unreconciled = false
	t.unreconciled--
	if kind := recordedKind(machine); t.kinds[kind] > 1 {
		t.kinds[kind]--
	} else {
		delete(t.kinds, kind)
	}
}

// complete reports whether everything on inherited machines is known.
func (t *takeover) complete() bool { return t.unreconciled == 0 }

// loadSnapshot takes the records over.
func (c *Core) loadSnapshot(now time.Time, snapshot *record.Snapshot) {
	chunkTasks := snapshot.NumberedChunkTasks
	if chunkTasks == 0 {
		// From here on the number is on record, even if the limit that it was derived from changes.
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
			// What it depends on was not done when this leader took over, so no leader before can have started it:
			// docs/safety.md, "Pipelines".
			job.NoPriorAttempts = job.NoPriorAttempts || c.jobs[id] != nil
		}
	}
	for _, info := range snapshot.Machines {
		c.takeover.inherit(c.addMachine(now, info, model.MachineInherited), info)
	}
	c.openAccounts(now, snapshot.Accounts)
}

// loadFinishedTasks takes over the records of finished tasks; those whose job has ended are deleted.
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
			job.LoadDone(first, bits)
			job.MarkDurable(first, bits)
			job.RecordedChunks[chunk] = true
		}
		c.endIfFinished(now, job)
	}
}

// markReconciled notes that everything on an inherited machine is known, and repairs gangs once all machines are.
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

// reconcileUnrenewed takes a fresh heartbeat of a machine that has sent heartbeats since the takeover but has not
// taken this leader's token for more than a lease. Nothing that an earlier leader started is on it, apart from what
// its heartbeats have shown (docs/safety.md, "Reconciliation after failover"). Without this, tasks from before the
// takeover would wait for as long as the machine receives nothing, since each of its heartbeats puts off the end of
// its lease.
func (c *Core) reconcileUnrenewed(now time.Time, machine *model.Machine) {
	if machine.Detector.TokenNotTaken(now) {
		c.livenessChanged(machine)
	}
	c.markReconciled(now, machine, "lease not renewed since the takeover")
}

// fewUnreconciled reports that nearly all machines are reconciled: the others have likely failed.
func (c *Core) fewUnreconciled() bool { return isMinority(c.takeover.unreconciled, len(c.machines)) }

// The probing of inherited machines.
const (
	reconcileProbeHeartbeats = 1 // it begins so many heartbeat intervals after the takeover
	maxReconcileProbes       = 8 // machines at a time
)

// probeUnreconciled probes the machines that have not reported to a new leader, once most have. So a few failed
// machines do not keep all tasks from before the takeover waiting until they are silent for long enough.
func (c *Core) probeUnreconciled(now time.Time) {
	earliest := c.settings.HeartbeatInterval * reconcileProbeHeartbeats
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

// mayAlreadyRun reports whether a waiting task of a job may already be on a machine that is not reconciled since the
// takeover; then it is not started. It cannot be if the job was accepted since, nor if no leader could have placed it
// on a machine of any kind that is not reconciled (docs/safety.md, "Reconciliation after failover").
func (c *Core) mayAlreadyRun(job *model.Job) bool {
	if c.takeover.complete() || job.RecordVersion > c.takeover.revision || job.NoPriorAttempts {
		return false
	}
	for kind := range c.takeover.kinds {
		if c.couldRunOn(job.Spec, kind) {
			return true
		}
	}
	return false
}

// couldRunOn reports whether a job's tasks may have been placed on a kind of machines. A type that the catalog lacks
// may have any capacity.
func (c *Core) couldRunOn(spec *model.Spec, kind machineKind) bool {
	machineType := c.machineType(kind.machineType)
	return spec.AllowsType(kind.machineType) &&
		(spec.Zone == "" || spec.Zone == kind.zone) &&
		(spec.AllowSpot || !kind.spot) &&
		(!inCatalog(machineType) || spec.Demand.Fits(machineType.Capacity))
}

// logServicesRestored logs once after a takeover that no urgent task from before it waits any more.
func (c *Core) logServicesRestored(now time.Time, requests []*scheduler.Request) {
	if c.takeover.servicesRestored || !c.takeover.complete() {
		return
	}
	for _, request := range requests {
		if request.Urgent() && request.Job.RecordVersion <= c.takeover.revision {
			return
		}
	}
	c.takeover.servicesRestored = true
	c.log.Info("services restored", "fencing_token", c.fencingToken, "after", now.Sub(c.takeover.startedAt))
}
