package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/liveness"
	"github.com/glentiller/glentiller/internal/model"
)

// reportIn takes a worker's report and answers it, unless its worker certainly waits for no
// answer any more: docs/safety.md, "Copies and lives".
func (c *Core) reportIn(now time.Time, ev ReportIn) {
	r := ev.Report
	m := c.machines[r.Machine]
	if m == nil {
		if _, ok := c.gone[r.Machine]; ok {
			// Guards against a report that was held back until its machine was gone.
			c.emit(Answer{Refused: true})
			return
		}
		// A machine that nobody here rented. No leader launches anything on a
		// machine without a record, so it holds nothing; what this report says may be of long ago.
		m = c.newMachine(now, model.Listed{Machine: r.Machine, Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot}, model.Booting)
		m.Detector.Strange(now)
		c.log.Info("unexpected machine reports", "machine", m.Name, "type", r.Type, "zone", r.Zone)
	}
	if m.State == model.Booting && m.Detector.State >= liveness.Doubtful && r.Token < c.token {
		// Guards against a late copy that brings back a machine which an earlier leader has given
		// back: work was placed on it, and its rows counted, until it was silent for long enough.
		c.question(now, m)
		c.emit(Answer{})
		return
	}
	if c.foreign(m, r) {
		if now.Sub(c.foreignAt) > 10*time.Second {
			c.foreignAt = now
			c.log.Warn("a report of another machine by this name", "machine", m.Name, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "known", m.Type.Name, "in", m.Zone)
		}
		c.emit(Answer{Refused: true})
		return
	}
	session, numbering := m.Session, m.Numbering
	kind := m.Hear(r.Session, r.Seq, r.Token)
	if m.Numbering != numbering {
		m.Deadline = c.leaseEnd(now) // of the new life, which has begun before now
		c.log.Warn("machine has begun anew", "machine", m.Name, "known", m.Known(), "session", r.Session, "number", r.Seq, "token", m.Token, "shows", r.Token)
	}
	switch kind {
	case liveness.Old:
		c.log.Debug("old report", "machine", m.Name, "session", r.Session, "number", r.Seq, "known", m.Known())
		c.question(now, m)
		c.emit(Answer{Refused: true})
		return
	case liveness.Unsorted:
		c.question(now, m)
	case liveness.Fresh:
		sign := liveness.Sign{Straight: !ev.Handed, Lacks: r.Session == session && c.lacks(m, r), Session: session != 0 && r.Session > session, Quiet: c.quietNow(now, m.Zone),
			Shows: r.Token >= c.token && m.Token < c.token}
		sign.Shows = c.observe(now, m, r, false) || sign.Shows
		c.heard(now, m, sign)
		if m.Unsure && now.After(c.leaseEnd(c.start).Add(dropped)) {
			c.untold(now, m)
		}
	}
	if kind != liveness.Repeated {
		// Also one that an answer to a command has overtaken: it renews the worker's lease. One that
		// comes again was sent before it first came.
		m.Deadline = c.leaseEnd(now)
		if m.Holding == 0 && now.Sub(m.LastReport) > c.set.SilentAfter {
			m.EmptySince = now // from here on it is of use again
		}
		// Only here. Guards against a machine that reaches no controller, while commands reach it: its answers to
		// them were taken for reports, so it got work again and again that its lease killed.
		m.LastReport = now
	}
	c.emit(Answer{Orders: c.orders(now, m, !ev.Handed)})
	if kind == liveness.Fresh {
		delete(c.news, m)
	}
}

// untold takes a fresh report of a machine that has reported since the takeover, and has not taken this
// leader's token for more than a lease: nothing that a leader before has started is on it, but for what its
// reports have shown (docs/safety.md, "Rebuilding"). Guards against work of before the takeover that waits
// for as long as machines hear nothing, since each of their reports puts off the end of their leases.
func (c *Core) untold(now time.Time, m *model.Machine) {
	if m.Detector.Untold(now) {
		c.hearingMoved(m)
	}
	c.settle(now, m, "not renewed since the takeover")
}

// foreign tells that a report names another type, zone or kind than its machine is known to have.
// None of them ever changes. Guards against bounds by zone that count tasks where they are not.
func (c *Core) foreign(m *model.Machine, r *model.Report) bool {
	if m.State == model.Booting || m.Session == 0 {
		return false
	}
	return r.Type != m.Type.Name || r.Zone != m.Zone || r.Spot != m.Spot
}

// observe takes what a worker says of itself, unless something newer is known. certain tells that
// it answers a question, so that it is no copy. It tells whether it shows something that this
// leader has sent, for the first time.
func (c *Core) observe(now time.Time, m *model.Machine, r *model.Report, certain bool) (shows bool) {
	if r.Session < m.Session || r.Session == m.Session && r.Seq <= m.Seq {
		return false
	}
	if r.Session > m.Session {
		if m.Session != 0 {
			c.log.Warn("worker's lease has run out", "machine", m.Name, "session", r.Session)
			c.loseAll(now, m, "new session")
			m.Copies.Void()
		}
		m.DeadSession = r.Session - 1
		// The new session has a lease of its own, which began before now. Guards
		// against a session that an answer to a command has shown, and that was taken
		// for run out when the one before it would have been: what had been started
		// in it meanwhile was started once more elsewhere.
		m.Deadline = c.leaseEnd(now)
		m.Errors = map[string]int{}
	}
	m.Unanswering = false
	before := m.LastSeen
	m.Session, m.Seq, m.Token, m.LastSeen, m.Addr = r.Session, r.Seq, r.Token, now, r.Addr
	if r.Type != m.Type.Name || m.Type.Cap.CPU < 1e-6 {
		m.Type = c.typeOf(r.Type)
	}
	m.Zone, m.Spot = r.Zone, r.Spot

	seen := make(map[model.AttemptKey]bool, len(r.Tasks))
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.Try > c.token<<24+c.tries {
			// Guards against numbers that nobody has given out: a later start by the same number would
			// take its place in the accounts. If a later leader has, nothing of this one counts any more.
			continue
		}
		key := model.AttemptKey{Task: t.Task, Try: t.Try}
		seen[key] = true
		a := m.Rows[key]
		if a == nil {
			a = c.adopt(now, m, t)
		} else if a.State == model.Launching {
			shows = true
		}
		c.update(now, a, t)
	}
	for key, a := range m.Rows {
		if seen[key] {
			continue
		}
		switch {
		case a.State == model.Ended:
			a.Set(model.Dropped)
			delete(m.Rows, key)
		case a.Phase != 0 && !certain:
			// Rows stay until they are forgotten, so one of the two messages is of another life. Guards
			// against a late copy from before the machine began anew, or from before the task was
			// started: it was taken for gone, and started elsewhere while it ran.
			c.question(now, m)
		case a.Phase != 0 && !m.Copies.Out(key):
			// It was there, and the answer to a question lacks it.
			c.log.Warn("attempt has vanished", "task", a.Task, "try", a.Try, "machine", m.Name)
			c.charge(now, a, before) // it was last seen then
			c.wasted(now, a)
			a.Charged = time.Time{}
			c.lose(now, a)
			delete(m.Rows, key)
		}
	}
	if m.State == model.Booting && m.Set(now, model.Ready, "") {
		// Only now it gets a record: a machine that still boots holds nothing, and
		// a new leader need not wait for it to say so.
		c.register(m)
		m.EmptySince = now
		c.dirty = true
		c.log.Info("machine is up", "machine", m.Name, "type", m.Type.Name, "zone", m.Zone, "spot", m.Spot)
	}
	if m.Unsure && m.Token >= c.token {
		c.settle(now, m, "reported")
	}
	if r.Notice {
		if m.Notice.IsZero() {
			c.log.Info("spot notice", "machine", m.Name, "in", r.NoticeIn)
			m.Notice = now.Add(r.NoticeIn)
			c.drain(now, m, "notice")
		}
		c.evacuate(now, m)
	}
	return shows
}

// settle notes that everything on a machine from before the takeover is known:
// see docs/safety.md, "Rebuilding".
func (c *Core) settle(now time.Time, m *model.Machine, why string) {
	m.Unsure = false
	c.unsure--
	if k := kindOf(m); c.doubts[k] > 1 {
		c.doubts[k]--
	} else {
		delete(c.doubts, k)
	}
	if m.State == model.Unsettled {
		m.Set(now, model.Ready, "")
	}
	if m.Holding == 0 {
		m.EmptySince = now
	}
	c.dirty = true
	c.log.Debug("machine settled", "machine", m.Name, "how", why, "holding", m.Holding, "left", c.unsure)
	if c.unsure > 0 {
		return
	}
	c.log.Info("all machines settled", "token", c.token, "after", now.Sub(c.start))
	for _, j := range c.jobs {
		if j.Spec.Shape == model.Gang && len(j.Live) > 0 && !c.whole(j) {
			c.breakGang(now, j)
		}
	}
}

// whole tells whether all tasks of a gang are live with one attempt number.
func (c *Core) whole(j *model.Job) bool {
	var try uint64
	for _, a := range j.Live {
		if try != 0 && a.Try != try || a.State == model.Stopping {
			return false
		}
		try = a.Try
	}
	return len(j.Live) == j.Unfinished()
}

// adopt enters an attempt that only the worker knew.
func (c *Core) adopt(now time.Time, m *model.Machine, t *model.TaskReport) *model.Attempt {
	a := &model.Attempt{Task: t.Task, Try: t.Try, Machine: m, Session: m.Session, Job: c.jobs[t.Task.Job], Phase: t.Phase, LaunchedAt: now}
	m.Rows[model.AttemptKey{Task: t.Task, Try: t.Try}] = a
	j := a.Job
	if j == nil || t.Task.Index >= j.Spec.Tasks {
		// Of a job that has ended. What it takes is not known any more, so it
		// counts as taking the whole machine, for every team, until it is gone.
		a.Job, a.Need, a.Use = nil, m.Type.Cap, &c.stray
		a.Set(model.Present)
		if t.Phase != model.Exited {
			c.stop(now, a, 0)
		}
		return a
	}
	a.Need, a.Team, a.Use = j.Spec.Need, j.Spec.Team, c.usage(j.Spec.Team)
	a.Set(model.Present)
	m.Images[j.Spec.Image] = now
	if t.Phase == model.Exited {
		return a
	}
	c.begin(now, a, t.Phase, true)
	if old := j.Live[t.Task.Index]; old != nil && old.Try < t.Try && j.Spec.Shape != model.Gang {
		// A task's starts have rising numbers, and each waited until the one before was gone: so the
		// other one is what a late copy has shown. Guards against stopping the one that runs.
		c.stop(now, old, 0)
		delete(j.Live, t.Task.Index)
	}
	if j.Live[t.Task.Index] != nil || j.Task(t.Task.Index) == model.TaskDone {
		c.log.Warn("task is not wanted here", "task", t.Task, "try", t.Try, "machine", m.Name)
		c.stop(now, a, 0)
		return a
	}
	j.Live[t.Task.Index] = a
	j.SetTask(t.Task.Index, model.TaskLive)
	if j.Spec.Shape == model.Gang {
		j.Gang = model.GangLive
	}
	return a
}

// update takes what a report says of one attempt.
func (c *Core) update(now time.Time, a *model.Attempt, t *model.TaskReport) {
	if a.State == model.Ended || a.State == model.Dropped {
		return
	}
	if t.Phase == model.Exited {
		c.exited(now, a, t)
		return
	}
	if a.State == model.Launching {
		a.Set(model.Present)
	}
	if t.Phase == model.Running && a.Phase != model.Running {
		a.RunningAt = now
		c.log.Debug("attempt runs", "task", a.Task, "machine", a.Machine.Name, "after", now.Sub(a.LaunchedAt))
	}
	a.Phase = t.Phase
	c.begin(now, a, t.Phase, false)
}

// exited takes the end of an attempt.
func (c *Core) exited(now time.Time, a *model.Attempt, t *model.TaskReport) {
	a.Cause, a.Phase, a.EndedAt = t.Cause, model.Exited, now
	c.log.Debug("attempt ended", "task", a.Task, "try", a.Try, "machine", a.Machine.Name, "why", t.Cause.String(), "saved", t.Saved)
	c.charge(now, a, now)
	if t.Cause != model.CauseDone && !t.Saved {
		c.wasted(now, a)
	}
	j, i := a.Job, a.Task.Index
	if j == nil || j.State == model.JobEnded {
		c.release(now, a, model.Ended)
		return
	}
	switch t.Cause {
	case model.CauseDone:
		if !a.RunningAt.IsZero() && !j.Restarted(i) {
			c.runs.observe(j.Spec, now.Sub(a.RunningAt))
		}
		if j.Spec.Shape == model.Gang {
			// When one task of a gang is done, all are.
			for k := 0; k < j.Spec.Tasks; k++ {
				c.taskDone(now, j, k)
			}
		} else {
			c.taskDone(now, j, i)
		}
		a.Machine.Errors[j.Spec.ID] = 0
		c.cleared(a)
	case model.CauseError:
		c.failed(now, a)
	case model.CauseNoRoom, model.CauseBusy, model.CauseUnknown:
		c.log.Warn("start refused", "task", a.Task, "machine", a.Machine.Name, "why", t.Cause.String())
		j.NotBefore = now.Add(c.set.Backoff / 4)
	}
	c.release(now, a, model.Ended)
}
