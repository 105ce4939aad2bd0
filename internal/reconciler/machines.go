package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/liveness"
	"github.com/glentiller/glentiller/internal/model"
)

// release takes an attempt off its machine's account. Its task waits again
// unless it is done.
func (c *Core) release(now time.Time, a *model.Attempt, s model.AttemptState) {
	a.Transition(s)
	if a.Machine.ActiveCount == 0 {
		a.Machine.EmptySince = now
	}
	c.dirty = true
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
		c.stop(now, a, 0)
	}
}

// lose takes an attempt as gone without a word.
func (c *Core) lose(now time.Time, a *model.Attempt) {
	if a.Active() {
		c.charge(now, a, a.Machine.LastSeen)
		c.wasted(now, a)
		c.release(now, a, model.AttemptDropped)
	} else if a.State == model.AttemptEnded {
		a.Transition(model.AttemptDropped)
	}
}

// loseAll takes everything on a machine as gone.
func (c *Core) loseAll(now time.Time, m *model.Machine, why string) {
	if n := m.ActiveCount; n > 0 {
		c.log.Info("attempts lost", "machine", m.Name, "count", n, "why", why)
	}
	for key, a := range m.Attempts {
		delete(m.Attempts, key)
		c.lose(now, a)
	}
}

// stop tells an attempt to stop.
func (c *Core) stop(now time.Time, a *model.Attempt, grace time.Duration) {
	if a.RequestStop(now, grace) {
		a.CommandedState = 0
		c.news[a.Machine] = true
	}
}

// grace is how long an attempt may take to save.
func grace(a *model.Attempt) time.Duration {
	if a.Job == nil || a.Job.Spec.CheckpointInterval == 0 {
		return 0
	}
	return a.Job.Spec.CheckpointTime + 2*time.Second
}

// halt stops an attempt in order. Of a gang all tasks are stopped together.
func (c *Core) halt(now time.Time, a *model.Attempt) {
	j := a.Job
	if j == nil || j.Spec.Shape != model.Gang {
		c.stop(now, a, grace(a))
		return
	}
	if j.Gang == model.GangLaunched {
		j.Gang = model.GangStopping
		for _, b := range j.ActiveAttempts {
			c.stop(now, b, grace(b))
		}
	}
}

// drain places nothing more on a machine; it is given back when it is empty.
func (c *Core) drain(now time.Time, m *model.Machine, why string) {
	if m.Transition(now, model.MachineDraining, why) {
		c.log.Info("draining", "machine", m.Name, "why", why, "holding", m.ActiveCount)
		c.dirty = true
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
		if j.Spec.Shape == model.Array && j.Spec.CheckpointInterval == 0 && c.runs.estimate(j.Spec)-ran < left {
			continue
		}
		c.halt(now, a)
	}
}

// sweep looks after what time brings: leases that run out, machines that do not
// come up, fall silent or stand empty.
func (c *Core) sweep(now time.Time) {
	quiet := c.quietZones(now)
	var back []string
	giveBack := func(m *model.Machine, why string) {
		if m.Transition(now, model.MachineReleasing, why) {
			c.log.Info("returning", "machine", m.Name, "type", m.Type.Name, "why", why, "holding", m.ActiveCount)
		}
	}
	ask := !c.returning && !now.Before(c.returnAt)
	probe := c.wantsProof(now)
	for _, m := range c.machines {
		if probe && m.Detector.State == liveness.Hears && c.placeable(now, m) {
			probe = !c.question(now, m)
		}
		if m.State != model.MachineBooting && now.After(m.LeaseExpiry) && (m.Session > m.DeadSession || m.Unreconciled) {
			c.log.Warn("lease has certainly run out", "machine", m.Name, "session", m.Session)
			m.DeadSession = m.Session
			c.loseAll(now, m, "lease")
			if m.Unreconciled {
				c.settle(now, m, "lease")
			}
		}
		if m.Detector.State != liveness.Hears && m.State < model.MachineReleasing {
			c.listen(now, m)
		}
		if !m.QuarantinedSince.IsZero() {
			c.blame(now, m)
		}
		switch m.State {
		case model.MachineBooting:
			if now.Sub(m.StateSince) > c.set.Fleet.BootLimit(m.Type) {
				giveBack(m, "boot")
			}
		case model.MachineReady, model.MachineInherited, model.MachineDraining:
			switch {
			case m.Unreconciled && m.ProbeUnanswered && c.fewUnsure():
				giveBack(m, "silent")
			case now.Sub(m.LastHeartbeat) > c.set.SilentAfter && now.After(c.resumeAt) && !quiet[m.Zone] && !quiet[anyZone]:
				giveBack(m, "silent")
			case m.Detector.State == liveness.Deaf && c.fewInDoubt():
				giveBack(m, "deaf")
			case m.Unreconciled || m.ActiveCount > 0:
			case m.State == model.MachineDraining:
				giveBack(m, m.StateReason)
			case c.away(now, m):
			case c.set.Fleet.Idle(m.Type, m.Spot, now.Sub(m.EmptySince), now.Sub(m.RequestedAt)):
				giveBack(m, "idle")
			}
		}
		if ask && m.State == model.MachineReleasing && len(back) < maxReturn {
			back = append(back, m.Name)
		}
	}
	if len(back) > 0 {
		// One request at a time, and none is repeated before it was answered.
		// Guards against a queue that grows faster than the cloud's limit lets it
		// drain: dozens of machines then stood idle, and were paid for, for minutes,
		// and rentals waited behind their returns.
		c.returning = true
		c.emit(Return{back})
	}
	c.ask(now)
	for name, at := range c.gone {
		if now.Sub(at) > goneKept {
			delete(c.gone, name)
		}
	}
	for name, at := range c.rentAt {
		if now.After(at) {
			c.rentAt[name] = now.Add(time.Minute) // until it is answered
			c.emit(Rent{c.renting[name]})
		}
	}
	for _, j := range c.jobs {
		if !j.RetryNotBefore.IsZero() && now.After(j.RetryNotBefore) {
			j.RetryNotBefore = time.Time{}
			c.dirty = true
			c.checkEnd(now, j)
		}
	}
	if now.Sub(c.lastPass) > time.Second {
		c.dirty = true // slack and waiting change with time alone
	}
}

// away tells that an empty machine cannot be reached and may come back: it was not
// needed for nothing. Guards against giving a whole zone back as idle in the middle of
// a cut, and renting it anew with work waiting. It is waited for as long as another
// one in its place would be paid for at least.
func (c *Core) away(now time.Time, m *model.Machine) bool {
	silent := now.Sub(m.LastHeartbeat)
	return silent > c.set.SilentAfter && silent < c.set.SilentAfter+c.set.Fleet.LeastPaid
}

// ask asks the machines that have not reported to a new leader whether they are
// there, once most have. Guards against a few dead machines, or a single one, that
// keep all work from before the takeover waiting until their silence is long enough.
func (c *Core) ask(now time.Time) {
	if c.unsure == 0 || now.Sub(c.start) < c.set.Report*askAfter || !c.fewUnsure() {
		return
	}
	asked := 0
	for _, m := range c.machines {
		if m.Unreconciled && !m.ProbeUnanswered && !m.CommandInFlight && m.Addr != "" && m.State < model.MachineReleasing &&
			now.Sub(m.ProbedAt) > askEvery && asked < maxAsked {
			m.ProbedAt = now
			asked++
			c.asking++
			c.command(m, nil, false)
		}
	}
}

const (
	askAfter = 1                      // report intervals after the takeover
	askEvery = 500 * time.Millisecond // between questions to one machine
	maxAsked = 8                      // at a time
	fewShare = 10                     // the unsure are few up to a tenth of all machines
)

// fewUnsure tells that nearly all machines are settled: then those that are not
// are likely dead, and the fault is not here.
func (c *Core) fewUnsure() bool { return c.unsure <= max(1, len(c.machines)/fewShare) }

// Deaf tells that no worker at all has been heard for long, or that none seems to hear, although there are
// several: then this controller is likely the one that is cut off, and another
// would lead better.
func (c *Core) Deaf(now time.Time) bool {
	if c.unheard(now) {
		return true
	}
	patience := c.set.SilentAfter + 2*time.Second
	if now.Before(c.resumeAt.Add(patience - c.set.SilentAfter)) {
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

// quietZones tells the zones of which so many machines are silent at once that a
// cut is likelier than their death. Guards against giving back healthy machines
// whose workers are about to find a way round a cut. A zone stays quiet for a lease after that:
// most of its workers may have found their way while the last ones are still looking for theirs,
// and must not be taken for dead.
func (c *Core) quietZones(now time.Time) map[string]bool {
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
		silent := now.Sub(m.LastHeartbeat) > c.set.SilentAfter/2
		n.add(silent)
		if n != all {
			all.add(silent)
		}
	}
	quiet := map[string]bool{}
	for z, n := range counts {
		if n.silent > 1 && float64(n.silent) > c.set.SilentShare*float64(n.up) {
			c.quietAt[z] = now
		}
	}
	for z, at := range c.quietAt {
		if quiet[z] = now.Sub(at) < c.set.Lease; !quiet[z] {
			delete(c.quietAt, z)
		}
	}
	return quiet
}

// zoneCount counts the machines of a zone that are up, and those of them that are silent.
type zoneCount struct{ up, silent int }

func (n *zoneCount) add(silent bool) {
	n.up++
	if silent {
		n.silent++
	}
}
