package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/liveness"
	"github.com/glentiller/glentiller/internal/model"
)

// statusKey returns the key of the attempt that a status in a heartbeat is about.
func statusKey(status *model.TaskStatus) model.AttemptKey {
	return model.AttemptKey{Task: status.Task, Number: status.Attempt}
}

// heartbeatReceived applies a worker's heartbeat and answers it. A heartbeat is refused if it is certain that the
// worker no longer waits for the answer (docs/safety.md, "Duplicates and incarnations").
func (c *Core) heartbeatReceived(now time.Time, event HeartbeatReceived) {
	heartbeat := event.Heartbeat
	machine := c.machines[heartbeat.Machine]
	if machine == nil {
		if c.releases.isReleased(heartbeat.Machine) {
			c.emit(HeartbeatResponse{Refused: true}) // a heartbeat that was delayed until its machine was released
			return
		}
		machine = c.addUnexpectedMachine(now, heartbeat)
	}
	if c.mayBeFromReleasedMachine(machine, heartbeat) {
		c.probe(now, machine)
		c.emit(HeartbeatResponse{})
		return
	}
	if hasIdentityMismatch(machine, heartbeat) {
		c.logIdentityMismatch(now, machine, heartbeat)
		c.emit(HeartbeatResponse{Refused: true})
		return
	}
	kind := c.classifyHeartbeat(now, machine, heartbeat)
	switch kind {
	case liveness.Stale:
		c.log.Debug("stale heartbeat refused", "machine", machine.Name, "epoch", heartbeat.Epoch, "seq", heartbeat.Seq,
			"latest", machine.LatestMessage())
		c.probe(now, machine)
		c.emit(HeartbeatResponse{Refused: true})
		return
	case liveness.Unordered:
		c.probe(now, machine)
	case liveness.Fresh:
		c.handleFreshHeartbeat(now, machine, event)
	}
	if kind != liveness.Duplicate {
		// A heartbeat that was overtaken by the answer to a command also renews the worker's lease. A duplicate does
		// not: workers count their lease from when they sent the heartbeat, which was before its first copy arrived.
		c.renewLease(now, machine)
	}
	c.emit(HeartbeatResponse{Commands: c.responseCommands(now, machine, !event.Relayed)})
	if kind == liveness.Fresh {
		delete(c.commandsPending, machine)
	}
}

// addUnexpectedMachine adds a machine that this leader has not provisioned. The heartbeat may be an old one. No task
// runs on the machine, since no leader launches anything on a machine without a record.
func (c *Core) addUnexpectedMachine(now time.Time, heartbeat *model.Heartbeat) *model.Machine {
	machine := c.addMachine(now, model.MachineInfo{
		Name: heartbeat.Machine, Addr: heartbeat.Addr, Type: heartbeat.Type, Zone: heartbeat.Zone, Spot: heartbeat.Spot,
	}, model.MachineBooting)
	machine.Detector.MarkUnexpected(now)
	c.log.Info("heartbeat from machine that this leader did not provision",
		"machine", machine.Name, "type", heartbeat.Type, "zone", heartbeat.Zone)
	return machine
}

// mayBeFromReleasedMachine reports whether a heartbeat may be a delayed copy from a machine that an earlier leader
// has released. Such a machine has to answer a probe first. Otherwise tasks would be placed on it until it had been
// unresponsive for long enough to be released.
func (c *Core) mayBeFromReleasedMachine(machine *model.Machine, heartbeat *model.Heartbeat) bool {
	return machine.State == model.MachineBooting && machine.Detector.State >= liveness.Suspect &&
		heartbeat.FencingToken < c.fencingToken
}

// hasIdentityMismatch reports whether a heartbeat differs from its machine in type, zone or spot flag. A machine
// never changes these, so the heartbeat is of another machine with the same name. Accepting it would violate limits
// per zone.
func hasIdentityMismatch(machine *model.Machine, heartbeat *model.Heartbeat) bool {
	if machine.State == model.MachineBooting || machine.Epoch == 0 {
		return false
	}
	return heartbeat.Type != machine.Type.Name || heartbeat.Zone != machine.Zone || heartbeat.Spot != machine.Spot
}

func (c *Core) logIdentityMismatch(now time.Time, machine *model.Machine, heartbeat *model.Heartbeat) {
	if !c.liveness.mayLogIdentityMismatch(now) {
		return
	}
	c.log.Warn("heartbeat refused: type, zone or spot flag differs from known machine",
		"machine", machine.Name, "type", heartbeat.Type, "zone", heartbeat.Zone, "spot", heartbeat.Spot,
		"known_type", machine.Type.Name, "known_zone", machine.Zone)
}

// classifyHeartbeat classifies a heartbeat by its message number, and records whether the machine has restarted.
func (c *Core) classifyHeartbeat(
	now time.Time, machine *model.Machine, heartbeat *model.Heartbeat,
) liveness.HeartbeatKind {
	before := machine.Numbering
	kind := machine.ClassifyHeartbeat(heartbeat.Epoch, heartbeat.Seq, heartbeat.FencingToken)
	if machine.Numbering != before {
		machine.LeaseExpiry = c.leaseExpiry(now) // the new incarnation began before now
		c.log.Warn("machine restarted", "machine", machine.Name, "latest", machine.LatestMessage(),
			"epoch", heartbeat.Epoch, "seq", heartbeat.Seq,
			"known_token", machine.FencingToken, "heartbeat_token", heartbeat.FencingToken)
	}
	return kind
}

// handleFreshHeartbeat applies a heartbeat that is newer than all earlier ones, and passes its evidence to the
// machine's failure detector.
func (c *Core) handleFreshHeartbeat(now time.Time, machine *model.Machine, event HeartbeatReceived) {
	heartbeat := event.Heartbeat
	epoch := machine.Epoch
	evidence := liveness.Evidence{
		Direct:          !event.Relayed,
		Acknowledges:    heartbeat.FencingToken >= c.fencingToken && machine.FencingToken < c.fencingToken,
		MissesCommands:  heartbeat.Epoch == epoch && missesCommands(machine, heartbeat),
		NewEpoch:        epoch != 0 && heartbeat.Epoch > epoch,
		ZonePartitioned: c.partitions.recentlyPartitioned(now, machine.Zone, c.settings.WorkerLease),
	}
	showsLaunch := c.applyHeartbeat(now, machine, heartbeat, false)
	evidence.Acknowledges = evidence.Acknowledges || showsLaunch
	c.observeLiveness(now, machine, evidence)
	inheritedUntil := c.leaseExpiry(c.takeover.startedAt).Add(responseTimeout)
	if machine.Unreconciled && now.After(inheritedUntil) {
		c.reconcileUnrenewed(now, machine)
	}
}

// renewLease records that a heartbeat is being answered, which renews the worker's lease. An answer to a command does
// not count as a heartbeat. Otherwise a machine that receives commands but reaches no controller would be given tasks
// again and again, and they would end each time its lease expires.
func (c *Core) renewLease(now time.Time, machine *model.Machine) {
	machine.LeaseExpiry = c.leaseExpiry(now)
	if machine.ActiveCount == 0 && now.Sub(machine.LastHeartbeat) > c.settings.UnresponsiveAfter {
		machine.EmptySince = now // no task could be placed on it before
	}
	machine.LastHeartbeat = now
}

// applyHeartbeat applies the state that a worker reports, unless a newer one is known. answersProbe is true if the
// state answers a command or probe and is therefore not a delayed copy. The result reports whether the heartbeat
// shows a launch of this leader for the first time.
func (c *Core) applyHeartbeat(
	now time.Time, machine *model.Machine, heartbeat *model.Heartbeat, answersProbe bool,
) (showsLaunch bool) {
	if heartbeat.Epoch < machine.Epoch || heartbeat.Epoch == machine.Epoch && heartbeat.Seq <= machine.Seq {
		return false
	}
	if heartbeat.Epoch > machine.Epoch {
		c.beginEpoch(now, machine, heartbeat.Epoch)
	}
	machine.ProbeUnanswered = false
	lastSeen := machine.LastSeen
	machine.Epoch, machine.Seq, machine.FencingToken = heartbeat.Epoch, heartbeat.Seq, heartbeat.FencingToken
	machine.LastSeen, machine.Addr = now, heartbeat.Addr
	if heartbeat.Type != machine.Type.Name || !isListedInCatalog(machine.Type) {
		machine.Type = c.machineType(heartbeat.Type)
	}
	machine.Zone, machine.Spot = heartbeat.Zone, heartbeat.Spot

	reported, showsLaunch := c.applyTasks(now, machine, heartbeat.Tasks)
	c.checkMissingAttempts(now, machine, reported, lastSeen, answersProbe)
	if machine.State == model.MachineBooting && machine.Transition(now, model.MachineReady, "") {
		// The machine is recorded only now. A booting machine holds no tasks, so a new leader need not wait for it.
		c.recordMachine(machine)
		machine.EmptySince = now
		c.passes.request()
		c.log.Info("machine ready", "machine", machine.Name, "type", machine.Type.Name, "zone", machine.Zone,
			"spot", machine.Spot)
	}
	if machine.Unreconciled && machine.FencingToken >= c.fencingToken {
		c.markReconciled(now, machine, "heartbeat")
	}
	if heartbeat.InterruptionNotice {
		c.handleInterruptionNotice(now, machine, heartbeat.InterruptionIn)
	}
	return showsLaunch
}

// beginEpoch records that a worker has begun a new epoch, because its lease had expired or it was restarted. All of
// its attempts are gone.
func (c *Core) beginEpoch(now time.Time, machine *model.Machine, epoch uint64) {
	if machine.Epoch != 0 {
		c.log.Warn("worker began a new epoch", "machine", machine.Name, "epoch", epoch)
		c.dropAttempts(now, machine, "new epoch")
		machine.UnansweredLaunches.Clear()
	}
	machine.ExpiredEpoch = epoch - 1
	// The new epoch has its own lease, which began before now. If the expiry of the former lease stayed in force,
	// tasks of the new epoch would be started elsewhere while they are still running.
	machine.LeaseExpiry = c.leaseExpiry(now)
	machine.ErrorsByJob = map[string]int{}
}

// applyTasks applies the attempt statuses of a heartbeat and returns the keys of the reported attempts. showsLaunch
// is true if one of them was launched by this leader and is reported for the first time.
func (c *Core) applyTasks(
	now time.Time, machine *model.Machine, tasks []model.TaskStatus,
) (reported map[model.AttemptKey]bool, showsLaunch bool) {
	reported = make(map[model.AttemptKey]bool, len(tasks))
	for i := range tasks {
		status := &tasks[i]
		if status.Attempt > c.lastAttemptNumber() {
			// Neither this leader nor an earlier one has assigned this number, and this leader may still assign it to
			// another attempt. If a later leader has assigned it, nothing that this leader does has an effect any more.
			continue
		}
		key := statusKey(status)
		reported[key] = true
		attempt := machine.Attempts[key]
		if attempt == nil {
			attempt = c.adoptAttempt(now, machine, status)
		} else if attempt.State == model.AttemptLaunching {
			showsLaunch = true
		}
		c.updateAttempt(now, attempt, status)
	}
	return reported, showsLaunch
}

// checkMissingAttempts handles the attempts that a heartbeat does not list. lastSeen is the time at which the
// machine's previous message was received.
func (c *Core) checkMissingAttempts(
	now time.Time, machine *model.Machine, reported map[model.AttemptKey]bool, lastSeen time.Time, answersProbe bool,
) {
	for key, attempt := range machine.Attempts {
		if reported[key] {
			continue
		}
		switch {
		case attempt.State == model.AttemptEnded:
			attempt.Transition(model.AttemptDropped)
			delete(machine.Attempts, key)
		case attempt.Phase != 0 && !answersProbe:
			// Workers list attempts until they are commanded to forget them, so either this heartbeat or the earlier
			// one is of another incarnation. A delayed copy must not cause a running task to be started elsewhere.
			c.probe(now, machine)
		case attempt.Phase != 0 && !machine.UnansweredLaunches.MayArrive(key):
			c.log.Warn("reported attempt missing from worker's heartbeat", "task", attempt.Task, "attempt", attempt.Number,
				"machine", machine.Name)
			c.accounting.chargeUntil(now, attempt, lastSeen)
			c.accounting.chargeWasted(now, attempt)
			attempt.ChargedUntil = time.Time{}
			c.dropAttempt(now, attempt)
			delete(machine.Attempts, key)
		}
	}
}

// handleInterruptionNotice drains and evacuates a spot machine that the cloud is about to reclaim. timeLeft is the
// time until then.
func (c *Core) handleInterruptionNotice(now time.Time, machine *model.Machine, timeLeft time.Duration) {
	if machine.InterruptionAt.IsZero() {
		c.log.Info("spot interruption notice received", "machine", machine.Name, "in", timeLeft)
		machine.InterruptionAt = now.Add(timeLeft)
		c.drain(now, machine, reasonInterruption)
	}
	c.evacuate(now, machine)
}
