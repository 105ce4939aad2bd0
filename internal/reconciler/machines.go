package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/liveness"
	"github.com/glentiller/glentiller/internal/model"
)

// releaseAttempt takes an attempt off its machine's account. Its task waits again
// unless it is done.
func (c *Core) releaseAttempt(now time.Time, a *model.Attempt, s model.AttemptState) {
	a.Transition(s)
	if a.Machine.ActiveCount == 0 {
		a.Machine.EmptySince = now
	}
	c.passNeeded = true
	j, i := a.Job, a.Task.Index
	if j == nil || j.ActiveAttempts[i] != a {
		return
	}
	delete(j.ActiveAttempts, i)
	if j.State == model.JobEnded {
		return
	}
	if j.Task(i) != model.TaskDone {
		if j.Waiting() == 0 {
			j.WaitingSince = now
		}
		if a.Preempted && j.Spec.Shape != model.Gang {
			j.SetTask(i, model.TaskPreempted)
		} else {
			j.SetTask(i, model.TaskRetry)
		}
	}
	if j.Spec.Shape == model.Gang {
		if len(j.ActiveAttempts) == 0 {
			j.Gang = model.GangIdle
		} else if j.Unfinished() > 0 {
			c.breakGang(now, j)
		}
	}
}

// breakGang stops what is left of a gang that has lost a task: the others make
// no progress, and the next attempt starts when all of them are gone.
func (c *Core) breakGang(now time.Time, j *model.Job) {
	if j.Gang == model.GangBroken || j.Gang == model.GangStopping {
		return
	}
	j.Gang = model.GangBroken
	for _, a := range j.ActiveAttempts {
		c.stopAttempt(now, a, 0)
	}
}

// loseAttempt takes an attempt as gone without a word.
func (c *Core) loseAttempt(now time.Time, a *model.Attempt) {
	if a.Active() {
		c.chargeUntil(now, a, a.Machine.LastSeen)
		c.chargeWasted(now, a)
		c.releaseAttempt(now, a, model.AttemptDropped)
	} else if a.State == model.AttemptEnded {
		a.Transition(model.AttemptDropped)
	}
}

// loseAttempts takes everything on a machine as gone.
func (c *Core) loseAttempts(now time.Time, m *model.Machine, why string) {
	if n := m.ActiveCount; n > 0 {
		c.log.Info("attempts lost", "machine", m.Name, "count", n, "why", why)
	}
	for key, a := range m.Attempts {
		delete(m.Attempts, key)
		c.loseAttempt(now, a)
	}
}

// stopAttempt tells an attempt to stop.
func (c *Core) stopAttempt(now time.Time, a *model.Attempt, grace time.Duration) {
	if a.RequestStop(now, grace) {
		a.CommandedState = 0
		c.commandsPending[a.Machine] = true
	}
}

// gracePeriod is how long an attempt may take to save.
func gracePeriod(a *model.Attempt) time.Duration {
	if a.Job == nil || a.Job.Spec.CheckpointInterval == 0 {
		return 0
	}
	return a.Job.Spec.CheckpointTime + 2*time.Second
}

// stopGracefully stops an attempt in order. Of a gang all tasks are stopped together.
func (c *Core) stopGracefully(now time.Time, a *model.Attempt) {
	j := a.Job
	if j == nil || j.Spec.Shape != model.Gang {
		c.stopAttempt(now, a, gracePeriod(a))
		return
	}
	if j.Gang == model.GangLaunched {
		j.Gang = model.GangStopping
		for _, b := range j.ActiveAttempts {
			c.stopAttempt(now, b, gracePeriod(b))
		}
	}
}

// drain places nothing more on a machine; it is given back when it is empty.
func (c *Core) drain(now time.Time, m *model.Machine, why string) {
	if m.Transition(now, model.MachineDraining, why) {
		c.log.Info("draining", "machine", m.Name, "why", why, "holding", m.ActiveCount)
		c.passNeeded = true
	}
}

// evacuate moves the tasks off a machine under notice: what can save is stopped
// in order, what cannot and will not finish in time is stopped too.
func (c *Core) evacuate(now time.Time, m *model.Machine) {
	left := m.InterruptionAt.Sub(now)
	for _, a := range m.Attempts {
		if !a.Active() || a.State == model.AttemptStopping {
			continue
		}
		j := a.Job
		if j == nil {
			continue
		}
		ran := time.Duration(0)
		if !a.RunningAt.IsZero() {
			ran = now.Sub(a.RunningAt)
		}
		if j.Spec.Shape == model.Array && j.Spec.CheckpointInterval == 0 && c.runTimes.estimate(j.Spec)-ran < left {
			continue
		}
		c.stopGracefully(now, a)
	}
}

// sweepMachines looks after what time brings: leases that run out, machines that do not
// come up, fall silent or stand empty.
func (c *Core) sweepMachines(now time.Time) {
	quiet := c.partitionedZones(now)
	var back []string
	giveBack := func(m *model.Machine, why string) {
		if m.Transition(now, model.MachineReleasing, why) {
			c.log.Info("returning", "machine", m.Name, "type", m.Type.Name, "why", why, "holding", m.ActiveCount)
		}
	}
	ask := !c.releasePending && !now.Before(c.releaseAt)
	probe := c.needsProof(now)
	for _, m := range c.machines {
		if probe && m.Detector.State == liveness.Alive && c.placeable(now, m) {
			probe = !c.probe(now, m)
		}
		if m.State != model.MachineBooting && now.After(m.LeaseExpiry) && (m.Epoch > m.ExpiredEpoch || m.Unreconciled) {
			c.log.Warn("lease has certainly run out", "machine", m.Name, "session", m.Epoch)
			m.ExpiredEpoch = m.Epoch
			c.loseAttempts(now, m, "lease")
			if m.Unreconciled {
				c.markReconciled(now, m, "lease")
			}
		}
		if m.Detector.State != liveness.Alive && m.State < model.MachineReleasing {
			c.checkSuspect(now, m)
		}
		if !m.QuarantinedSince.IsZero() {
			c.attributeFaults(now, m)
		}
		switch m.State {
		case model.MachineBooting:
			if now.Sub(m.StateSince) > c.settings.Autoscaler.BootTimeout(m.Type) {
				giveBack(m, "boot")
			}
		case model.MachineReady, model.MachineInherited, model.MachineDraining:
			switch {
			case m.Unreconciled && m.ProbeUnanswered && c.fewUnreconciled():
				giveBack(m, "silent")
			case now.Sub(m.LastHeartbeat) > c.settings.UnresponsiveAfter && now.After(c.silenceCountsAfter) && !quiet[m.Zone] && !quiet[anyZone]:
				giveBack(m, "silent")
			case m.Detector.State == liveness.Failed && c.fewSuspects():
				giveBack(m, "deaf")
			case m.Unreconciled || m.ActiveCount > 0:
			case m.State == model.MachineDraining:
				giveBack(m, m.StateReason)
			case c.mayReconnect(now, m):
			case c.settings.Autoscaler.ShouldRelease(m.Type, m.Spot, now.Sub(m.EmptySince), now.Sub(m.RequestedAt)):
				giveBack(m, "idle")
			}
		}
		if ask && m.State == model.MachineReleasing && len(back) < maxReleaseBatch {
			back = append(back, m.Name)
		}
	}
	if len(back) > 0 {
		// One request at a time, and none is repeated before it was answered.
		// Guards against a queue that grows faster than the cloud's limit lets it
		// drain: dozens of machines then stood idle, and were paid for, for minutes,
		// and rentals waited behind their returns.
		c.releasePending = true
		c.emit(Release{back})
	}
	c.probeUnreconciled(now)
	for name, at := range c.releasedMachines {
		if now.Sub(at) > releasedRetention {
			delete(c.releasedMachines, name)
		}
	}
	for name, at := range c.provisionRetryAt {
		if now.After(at) {
			c.provisionRetryAt[name] = now.Add(time.Minute) // until it is answered
			c.emit(Provision{c.provisioning[name]})
		}
	}
	for _, j := range c.jobs {
		if !j.RetryNotBefore.IsZero() && now.After(j.RetryNotBefore) {
			j.RetryNotBefore = time.Time{}
			c.passNeeded = true
			c.endIfFinished(now, j)
		}
	}
	if now.Sub(c.lastPassAt) > time.Second {
		c.passNeeded = true // slack and waiting change with time alone
	}
}

// mayReconnect tells that an empty machine cannot be reached and may come back: it was not
// needed for nothing. Guards against giving a whole zone back as idle in the middle of
// a cut, and renting it anew with work waiting. It is waited for as long as another
// one in its place would be paid for at least.
func (c *Core) mayReconnect(now time.Time, m *model.Machine) bool {
	silent := now.Sub(m.LastHeartbeat)
	return silent > c.settings.UnresponsiveAfter && silent < c.settings.UnresponsiveAfter+c.settings.Autoscaler.MinBilledTime
}

// probeUnreconciled asks the machines that have not reported to a new leader whether they are
// there, once most have. Guards against a few dead machines, or a single one, that
// keep all work from before the takeover waiting until their silence is long enough.
func (c *Core) probeUnreconciled(now time.Time) {
	if c.unreconciled == 0 || now.Sub(c.startedAt) < c.settings.HeartbeatInterval*reconcileProbeAfterHeartbeats || !c.fewUnreconciled() {
		return
	}
	asked := 0
	for _, m := range c.machines {
		if m.Unreconciled && !m.ProbeUnanswered && !m.CommandInFlight && m.Addr != "" && m.State < model.MachineReleasing &&
			now.Sub(m.ProbedAt) > probeInterval && asked < maxReconcileProbes {
			m.ProbedAt = now
			asked++
			c.probesInFlight++
			c.sendCommands(m, nil, false)
		}
	}
}

const (
	reconcileProbeAfterHeartbeats = 1                      // report intervals after the takeover
	probeInterval                 = 500 * time.Millisecond // between questions to one machine
	maxReconcileProbes            = 8                      // at a time
	minorityDivisor               = 10                     // the unsure are few up to a tenth of all machines
)

// fewUnreconciled tells that nearly all machines are settled: then those that are not
// are likely dead, and the fault is not here.
func (c *Core) fewUnreconciled() bool {
	return c.unreconciled <= max(1, len(c.machines)/minorityDivisor)
}

// Isolated tells that no worker at all has been heard for long, or that none seems to hear, although there are
// several: then this controller is likely the one that is cut off, and another
// would lead better.
func (c *Core) Isolated(now time.Time) bool {
	if c.outboundIsolated(now) {
		return true
	}
	patience := c.settings.UnresponsiveAfter + 2*time.Second
	if now.Before(c.silenceCountsAfter.Add(patience - c.settings.UnresponsiveAfter)) {
		return false
	}
	up := 0
	for _, m := range c.machines {
		if m.State == model.MachineReady || m.State == model.MachineDraining || m.State == model.MachineInherited {
			if now.Sub(m.LastHeartbeat) <= patience {
				return false
			}
			up++
		}
	}
	return up > 1
}

// anyZone stands for all zones together.
const anyZone = ""

// partitionedZones tells the zones of which so many machines are silent at once that a
// cut is likelier than their death. Guards against giving back healthy machines
// whose workers are about to find a way round a cut. A zone stays quiet for a lease after that:
// most of its workers may have found their way while the last ones are still looking for theirs,
// and must not be taken for dead.
func (c *Core) partitionedZones(now time.Time) map[string]bool {
	counts := map[string]*zoneCount{anyZone: {}}
	all := counts[anyZone]
	for _, m := range c.machines {
		if m.State != model.MachineReady && m.State != model.MachineDraining && m.State != model.MachineInherited {
			continue
		}
		n := counts[m.Zone]
		if n == nil {
			n = &zoneCount{}
			counts[m.Zone] = n
		}
		silent := now.Sub(m.LastHeartbeat) > c.settings.UnresponsiveAfter/2
		n.add(silent)
		if n != all {
			all.add(silent)
		}
	}
	quiet := map[string]bool{}
	for z, n := range counts {
		if n.silent > 1 && float64(n.silent) > c.settings.MaxUnresponsiveShare*float64(n.reachable) {
			c.partitionedAt[z] = now
		}
	}
	for z, at := range c.partitionedAt {
		if quiet[z] = now.Sub(at) < c.settings.WorkerLease; !quiet[z] {
			delete(c.partitionedAt, z)
		}
	}
	return quiet
}

// zoneCount counts the machines of a zone that are up, and those of them that are silent.
type zoneCount struct{ reachable, silent int }

func (n *zoneCount) add(silent bool) {
	n.reachable++
	if silent {
		n.silent++
	}
}
