package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/liveness"
	"github.com/glentiller/glentiller/internal/model"
)

// heartbeatReceived takes a worker's report and answers it, unless its worker certainly waits for no
// answer any more: docs/safety.md, "Copies and lives".
func (c *Core) heartbeatReceived(now time.Time, ev HeartbeatReceived) {
	r := ev.Heartbeat
	m := c.machines[r.Machine]
	if m == nil {
		if _, ok := c.releasedMachines[r.Machine]; ok {
			// Guards against a report that was held back until its machine was gone.
			c.emit(HeartbeatResponse{Refused: true})
			return
		}
		// A machine that nobody here rented. No leader launches anything on a
		// machine without a record, so it holds nothing; what this report says may be of long ago.
		m = c.newMachine(now, model.MachineInfo{Name: r.Machine, Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot}, model.MachineBooting)
		m.Detector.MarkUnexpected(now)
		c.log.Info("unexpected machine reports", "machine", m.Name, "type", r.Type, "zone", r.Zone)
	}
	if m.State == model.MachineBooting && m.Detector.State >= liveness.Suspect && r.FencingToken < c.fencingToken {
		// Guards against a late copy that brings back a machine which an earlier leader has given
		// back: work was placed on it, and its rows counted, until it was silent for long enough.
		c.probe(now, m)
		c.emit(HeartbeatResponse{})
		return
	}
	if c.isForeign(m, r) {
		if now.Sub(c.foreignLoggedAt) > 10*time.Second {
			c.foreignLoggedAt = now
			c.log.Warn("a report of another machine by this name", "machine", m.Name, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "known", m.Type.Name, "in", m.Zone)
		}
		c.emit(HeartbeatResponse{Refused: true})
		return
	}
	session, numbering := m.Epoch, m.Numbering
	kind := m.ClassifyHeartbeat(r.Epoch, r.Seq, r.FencingToken)
	if m.Numbering != numbering {
		m.LeaseExpiry = c.leaseExpiry(now) // of the new life, which has begun before now
		c.log.Warn("machine has begun anew", "machine", m.Name, "known", m.LatestMessage(), "session", r.Epoch, "number", r.Seq, "token", m.FencingToken, "shows", r.FencingToken)
	}
	switch kind {
	case liveness.Stale:
		c.log.Debug("old report", "machine", m.Name, "session", r.Epoch, "number", r.Seq, "known", m.LatestMessage())
		c.probe(now, m)
		c.emit(HeartbeatResponse{Refused: true})
		return
	case liveness.Unordered:
		c.probe(now, m)
	case liveness.Fresh:
		sign := liveness.Evidence{Direct: !ev.Relayed, MissesCommands: r.Epoch == session && c.missesCommands(m, r), NewEpoch: session != 0 && r.Epoch > session, ZonePartitioned: c.recentlyPartitioned(now, m.Zone),
			Acknowledges: r.FencingToken >= c.fencingToken && m.FencingToken < c.fencingToken}
		sign.Acknowledges = c.applyHeartbeat(now, m, r, false) || sign.Acknowledges
		c.observeLiveness(now, m, sign)
		if m.Unreconciled && now.After(c.leaseExpiry(c.startedAt).Add(responseTimeout)) {
			c.reconcileUnrenewed(now, m)
		}
	}
	if kind != liveness.Duplicate {
		// Also one that an answer to a command has overtaken: it renews the worker's lease. One that
		// comes again was sent before it first came.
		m.LeaseExpiry = c.leaseExpiry(now)
		if m.ActiveCount == 0 && now.Sub(m.LastHeartbeat) > c.settings.UnresponsiveAfter {
			m.EmptySince = now // from here on it is of use again
		}
		// Only here. Guards against a machine that reaches no controller, while commands reach it: its answers to
		// them were taken for reports, so it got work again and again that its lease killed.
		m.LastHeartbeat = now
	}
	c.emit(HeartbeatResponse{Commands: c.responseCommands(now, m, !ev.Relayed)})
	if kind == liveness.Fresh {
		delete(c.commandsPending, m)
	}
}

// reconcileUnrenewed takes a fresh report of a machine that has reported since the takeover, and has not taken this
// leader's token for more than a lease: nothing that a leader before has started is on it, but for what its
// reports have shown (docs/safety.md, "Rebuilding"). Guards against work of before the takeover that waits
// for as long as machines hear nothing, since each of their reports puts off the end of their leases.
func (c *Core) reconcileUnrenewed(now time.Time, m *model.Machine) {
	if m.Detector.TokenNotTaken(now) {
		c.livenessChanged(m)
	}
	c.markReconciled(now, m, "not renewed since the takeover")
}

// isForeign tells that a report names another type, zone or kind than its machine is known to have.
// None of them ever changes. Guards against bounds by zone that count tasks where they are not.
func (c *Core) isForeign(m *model.Machine, r *model.Heartbeat) bool {
	if m.State == model.MachineBooting || m.Epoch == 0 {
		return false
	}
	return r.Type != m.Type.Name || r.Zone != m.Zone || r.Spot != m.Spot
}

// applyHeartbeat takes what a worker says of itself, unless something newer is known. certain tells that
// it answers a question, so that it is no copy. It tells whether it shows something that this
// leader has sent, for the first time.
func (c *Core) applyHeartbeat(now time.Time, m *model.Machine, r *model.Heartbeat, certain bool) (shows bool) {
	if r.Epoch < m.Epoch || r.Epoch == m.Epoch && r.Seq <= m.Seq {
		return false
	}
	if r.Epoch > m.Epoch {
		if m.Epoch != 0 {
			c.log.Warn("worker's lease has run out", "machine", m.Name, "session", r.Epoch)
			c.loseAttempts(now, m, "new session")
			m.UnansweredLaunches.Clear()
		}
		m.ExpiredEpoch = r.Epoch - 1
		// The new session has a lease of its own, which began before now. Guards
		// against a session that an answer to a command has shown, and that was taken
		// for run out when the one before it would have been: what had been started
		// in it meanwhile was started once more elsewhere.
		m.LeaseExpiry = c.leaseExpiry(now)
		m.ErrorsByJob = map[string]int{}
	}
	m.ProbeUnanswered = false
	before := m.LastSeen
	m.Epoch, m.Seq, m.FencingToken, m.LastSeen, m.Addr = r.Epoch, r.Seq, r.FencingToken, now, r.Addr
	if r.Type != m.Type.Name || m.Type.Capacity.CPU < 1e-6 {
		m.Type = c.machineTypeNamed(r.Type)
	}
	m.Zone, m.Spot = r.Zone, r.Spot

	seen := make(map[model.AttemptKey]bool, len(r.Tasks))
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.Attempt > c.fencingToken<<24+c.attemptCounter {
			// Guards against numbers that nobody has given out: a later start by the same number would
			// take its place in the accounts. If a later leader has, nothing of this one counts any more.
			continue
		}
		key := model.AttemptKey{Task: t.Task, Number: t.Attempt}
		seen[key] = true
		a := m.Attempts[key]
		if a == nil {
			a = c.adoptAttempt(now, m, t)
		} else if a.State == model.AttemptLaunching {
			shows = true
		}
		c.updateAttempt(now, a, t)
	}
	for key, a := range m.Attempts {
		if seen[key] {
			continue
		}
		switch {
		case a.State == model.AttemptEnded:
			a.Transition(model.AttemptDropped)
			delete(m.Attempts, key)
		case a.Phase != 0 && !certain:
			// Rows stay until they are forgotten, so one of the two messages is of another life. Guards
			// against a late copy from before the machine began anew, or from before the task was
			// started: it was taken for gone, and started elsewhere while it ran.
			c.probe(now, m)
		case a.Phase != 0 && !m.UnansweredLaunches.MayArrive(key):
			// It was there, and the answer to a question lacks it.
			c.log.Warn("attempt has vanished", "task", a.Task, "try", a.Number, "machine", m.Name)
			c.chargeUntil(now, a, before) // it was last seen then
			c.chargeWasted(now, a)
			a.ChargedUntil = time.Time{}
			c.loseAttempt(now, a)
			delete(m.Attempts, key)
		}
	}
	if m.State == model.MachineBooting && m.Transition(now, model.MachineReady, "") {
		// Only now it gets a record: a machine that still boots holds nothing, and
		// a new leader need not wait for it to say so.
		c.recordMachine(m)
		m.EmptySince = now
		c.passNeeded = true
		c.log.Info("machine is up", "machine", m.Name, "type", m.Type.Name, "zone", m.Zone, "spot", m.Spot)
	}
	if m.Unreconciled && m.FencingToken >= c.fencingToken {
		c.markReconciled(now, m, "reported")
	}
	if r.InterruptionNotice {
		if m.InterruptionAt.IsZero() {
			c.log.Info("spot notice", "machine", m.Name, "in", r.InterruptionIn)
			m.InterruptionAt = now.Add(r.InterruptionIn)
			c.drain(now, m, "notice")
		}
		c.evacuate(now, m)
	}
	return shows
}

// markReconciled notes that everything on a machine from before the takeover is known:
// see docs/safety.md, "Rebuilding".
func (c *Core) markReconciled(now time.Time, m *model.Machine, why string) {
	m.Unreconciled = false
	c.unreconciled--
	if k := recordedKind(m); c.unreconciledKinds[k] > 1 {
		c.unreconciledKinds[k]--
	} else {
		delete(c.unreconciledKinds, k)
	}
	if m.State == model.MachineInherited {
		m.Transition(now, model.MachineReady, "")
	}
	if m.ActiveCount == 0 {
		m.EmptySince = now
	}
	c.passNeeded = true
	c.log.Debug("machine settled", "machine", m.Name, "how", why, "holding", m.ActiveCount, "left", c.unreconciled)
	if c.unreconciled > 0 {
		return
	}
	c.log.Info("all machines settled", "token", c.fencingToken, "after", now.Sub(c.startedAt))
	for _, j := range c.jobs {
		if j.Spec.Shape == model.Gang && len(j.ActiveAttempts) > 0 && !c.gangComplete(j) {
			c.breakGang(now, j)
		}
	}
}

// gangComplete tells whether all tasks of a gang are live with one attempt number.
func (c *Core) gangComplete(j *model.Job) bool {
	var try uint64
	for _, a := range j.ActiveAttempts {
		if try != 0 && a.Number != try || a.State == model.AttemptStopping {
			return false
		}
		try = a.Number
	}
	return len(j.ActiveAttempts) == j.Unfinished()
}

// adoptAttempt enters an attempt that only the worker knew.
func (c *Core) adoptAttempt(now time.Time, m *model.Machine, t *model.TaskStatus) *model.Attempt {
	a := &model.Attempt{Task: t.Task, Number: t.Attempt, Machine: m, Epoch: m.Epoch, Job: c.jobs[t.Task.Job], Phase: t.Phase, LaunchedAt: now}
	m.Attempts[model.AttemptKey{Task: t.Task, Number: t.Attempt}] = a
	j := a.Job
	if j == nil || t.Task.Index >= j.Spec.Tasks {
		// Of a job that has ended. What it takes is not known any more, so it
		// counts as taking the whole machine, for every team, until it is gone.
		a.Job, a.Demand, a.Usage = nil, m.Type.Capacity, &c.orphanUsage
		a.Transition(model.AttemptPresent)
		if t.Phase != model.PhaseExited {
			c.stopAttempt(now, a, 0)
		}
		return a
	}
	a.Demand, a.Team, a.Usage = j.Spec.Demand, j.Spec.Team, c.usageOf(j.Spec.Team)
	a.Transition(model.AttemptPresent)
	m.CachedImages[j.Spec.Image] = now
	if t.Phase == model.PhaseExited {
		return a
	}
	c.beginCharging(now, a, t.Phase, true)
	if old := j.ActiveAttempts[t.Task.Index]; old != nil && old.Number < t.Attempt && j.Spec.Shape != model.Gang {
		// A task's starts have rising numbers, and each waited until the one before was gone: so the
		// other one is what a late copy has shown. Guards against stopping the one that runs.
		c.stopAttempt(now, old, 0)
		delete(j.ActiveAttempts, t.Task.Index)
	}
	if j.ActiveAttempts[t.Task.Index] != nil || j.Task(t.Task.Index) == model.TaskDone {
		c.log.Warn("task is not wanted here", "task", t.Task, "try", t.Attempt, "machine", m.Name)
		c.stopAttempt(now, a, 0)
		return a
	}
	j.ActiveAttempts[t.Task.Index] = a
	j.SetTask(t.Task.Index, model.TaskActive)
	if j.Spec.Shape == model.Gang {
		j.Gang = model.GangLaunched
	}
	return a
}

// updateAttempt takes what a report says of one attempt.
func (c *Core) updateAttempt(now time.Time, a *model.Attempt, t *model.TaskStatus) {
	if a.State == model.AttemptEnded || a.State == model.AttemptDropped {
		return
	}
	if t.Phase == model.PhaseExited {
		c.attemptExited(now, a, t)
		return
	}
	if a.State == model.AttemptLaunching {
		a.Transition(model.AttemptPresent)
	}
	if t.Phase == model.PhaseRunning && a.Phase != model.PhaseRunning {
		a.RunningAt = now
		c.log.Debug("attempt runs", "task", a.Task, "machine", a.Machine.Name, "after", now.Sub(a.LaunchedAt))
	}
	a.Phase = t.Phase
	c.beginCharging(now, a, t.Phase, false)
}

// attemptExited takes the end of an attempt.
func (c *Core) attemptExited(now time.Time, a *model.Attempt, t *model.TaskStatus) {
	a.Cause, a.Phase, a.EndedAt = t.Cause, model.PhaseExited, now
	c.log.Debug("attempt ended", "task", a.Task, "try", a.Number, "machine", a.Machine.Name, "why", t.Cause.String(), "saved", t.Checkpointed)
	c.chargeUntil(now, a, now)
	if t.Cause != model.CauseDone && !t.Checkpointed {
		c.chargeWasted(now, a)
	}
	j, i := a.Job, a.Task.Index
	if j == nil || j.State == model.JobEnded {
		c.releaseAttempt(now, a, model.AttemptEnded)
		return
	}
	switch t.Cause {
	case model.CauseDone:
		if !a.RunningAt.IsZero() && !j.Restarted(i) {
			c.runTimes.observe(j.Spec, now.Sub(a.RunningAt))
		}
		if j.Spec.Shape == model.Gang {
			// When one task of a gang is done, all are.
			for k := 0; k < j.Spec.Tasks; k++ {
				c.completeTask(now, j, k)
			}
		} else {
			c.completeTask(now, j, i)
		}
		a.Machine.ErrorsByJob[j.Spec.ID] = 0
		c.clearFaults(a)
	case model.CauseError:
		c.taskFailed(now, a)
	case model.CauseNoCapacity, model.CauseAttemptConflict, model.CauseUnknownJob:
		c.log.Warn("start refused", "task", a.Task, "machine", a.Machine.Name, "why", t.Cause.String())
		j.RetryNotBefore = now.Add(c.settings.Backoff / 4)
	}
	c.releaseAttempt(now, a, model.AttemptEnded)
}
