package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/liveness"
	"github.com/glentiller/glentiller/internal/model"
)

// responseCommands lists everything that a worker is to do, for the answer to a report, which came straight from
// it or by way of another member.
func (c *Core) responseCommands(now time.Time, m *model.Machine, straight bool) []model.Command {
	var out []model.Command
	for _, a := range m.Attempts {
		// Stops go first. Guards against an answer that is full before them, and renews the lease
		// of a machine that holds tasks of a cancelled job.
		if a.State == model.AttemptStopping && len(out) < maxCommands {
			out = c.appendCommands(out, a)
		}
	}
	for _, a := range m.Attempts {
		if len(out) >= maxCommands {
			break
		}
		if a.State == model.AttemptStopping {
			continue
		}
		n := len(out)
		if out = c.appendCommands(out, a); len(out) > n && straight && a.SentInReplyTo == (liveness.MessageNumber{}) {
			a.SentInReplyTo = m.LatestHeartbeat()
		}
		if a.State == model.AttemptEnded && c.canForget(now, a) {
			out = append(out, model.Command{Op: model.OpForget, Task: a.Task, Attempt: a.Number})
		}
	}
	return out
}

// maxCommands keeps an answer far below the published limit.
const maxCommands = 200

// duplicateRetentionLeases is for how many leases the row of an ended attempt is kept that was launched straight.
const duplicateRetentionLeases = 3

// maxUnansweredLaunches bounds of how many attempts on a machine unanswered launches may be out: their
// rows stay in the worker's reports until its session ends. Beyond it launches go with
// answers to reports, which are never carried out late. Guards against a network that
// swallows answers for hours, until a worker's report passes the published limit.
const maxUnansweredLaunches = 64

// maxDirectLaunches bounds how many rows of attempts that were launched straight a machine has. Beyond it, too,
// launches go with answers to reports: those are not repeated, and so need no row that outlives them.
const maxDirectLaunches = 256

// countDirectLaunches counts the rows on a machine of attempts that were launched straight.
func countDirectLaunches(m *model.Machine) int {
	n := 0
	for _, a := range m.Attempts {
		if a.LaunchedDirectly {
			n++
		}
	}
	return n
}

// appendCommands adds the orders that bring one attempt to where it should be. An
// unwanted attempt that no report has shown yet is launched and stopped: then
// the worker knows it, and a late copy of its launch does nothing
// (docs/safety.md, "Late launches").
func (c *Core) appendCommands(out []model.Command, a *model.Attempt) []model.Command {
	switch {
	case a.State == model.AttemptLaunching, a.State == model.AttemptStopping && a.Phase == 0:
		out = append(out, model.Command{Op: model.OpLaunch, Task: a.Task, Attempt: a.Number})
	}
	if a.State == model.AttemptStopping && (a.Phase != model.PhaseCheckpointing || a.GracePeriod == 0) {
		out = append(out, model.Command{Op: model.OpStop, Task: a.Task, Attempt: a.Number, GracePeriod: a.GracePeriod})
	}
	return out
}

// canForget tells whether the row of an ended attempt may be removed: what it did is durable, and no copy
// of its launch can come late. One that went straight to the worker and was answered may yet be repeated by
// the network: its row stays for some leases, and maxStraight keeps reports within their limit. Guards
// against a repeat that starts a stopped task beside its next start, or one of a cancelled job.
func (c *Core) canForget(now time.Time, a *model.Attempt) bool {
	if a.LaunchedDirectly && now.Sub(a.EndedAt) < duplicateRetentionLeases*c.settings.WorkerLease {
		return false
	}
	if a.Machine.UnansweredLaunches.MayArrive(model.AttemptKey{Task: a.Task, Number: a.Number}) || a.Machine.FencingToken < c.fencingToken {
		return false
	}
	if a.Cause != model.CauseDone || a.Job == nil || a.Job.Spec.Shape == model.Service {
		return true
	}
	return a.Job.IsDurable(a.Task.Index)
}

// sendDirectCommands sends new launches and stops straight to a worker.
func (c *Core) sendDirectCommands(now time.Time, m *model.Machine) {
	if m.CommandInFlight {
		return
	}
	delete(c.commandsPending, m)
	if now.Before(m.NoDirectCommandBefore) || m.Epoch == 0 || m.Epoch <= m.ExpiredEpoch || m.Addr == "" || m.State >= model.MachineReleasing {
		return // the next answer to a report carries it
	}
	var out []model.Command
	urgent := false
	rows := -1 // launched straight; not counted yet
	for key, a := range m.Attempts {
		if !a.Active() || a.CommandedState == a.State || len(out) >= maxCommands {
			continue
		}
		n := len(out)
		if out = c.appendCommands(out, a); len(out) > n && out[n].Op == model.OpLaunch {
			if rows < 0 {
				rows = countDirectLaunches(m)
			}
			if m.UnansweredLaunches.Len() >= maxUnansweredLaunches && !m.UnansweredLaunches.MayArrive(key) || rows >= maxDirectLaunches && !a.LaunchedDirectly {
				out = out[:n] // the next answer to a report carries it
				continue
			}
			if !a.LaunchedDirectly {
				a.LaunchedDirectly = true
				rows++
			}
			m.UnansweredLaunches.Add(key)
			urgent = urgent || a.Job != nil && a.Job.EffectivePriority >= model.PriorityHigh
		}
		a.CommandedState = a.State
	}
	if len(out) > 0 {
		c.sendCommands(m, out, urgent)
	}
}

// sendCommands sends commands straight to a worker; none of them is a question.
func (c *Core) sendCommands(m *model.Machine, orders []model.Command, urgent bool) {
	m.CommandInFlight = true
	m.CommandSent()
	c.emit(SendCommands{Machine: m.Name, Addr: m.Addr, Epoch: m.Epoch, Commands: orders, Urgent: urgent})
}

func (c *Core) commandCompleted(now time.Time, ev CommandCompleted) {
	if len(ev.Commands) == 0 {
		c.probesInFlight--
	}
	m := c.machines[ev.Machine]
	if m == nil {
		return
	}
	m.CommandInFlight = false
	if len(ev.Commands) == 0 && ev.Heartbeat == nil && (ev.Outcome == Unknown || ev.Outcome == Refused) {
		m.ProbeUnanswered = true // it was asked whether it is there
		if m.Detector.ProbeTimedOut(now) {
			c.livenessChanged(m)
		}
	}
	if ev.Outcome == Unknown {
		m.NoDirectCommandBefore = now.Add(c.settings.CommandHoldOff)
	} else if ev.Epoch == m.Epoch {
		for _, o := range ev.Commands {
			if o.Op == model.OpLaunch {
				m.UnansweredLaunches.Remove(model.AttemptKey{Task: o.Task, Number: o.Attempt})
			}
		}
	}
	if ev.Heartbeat != nil && ev.Heartbeat.Machine == m.Name {
		c.commandAnswered(now, m, ev.Heartbeat)
	}
	for _, a := range m.Attempts {
		if a.Active() && a.CommandedState != a.State && (a.State == model.AttemptLaunching || a.State == model.AttemptStopping) {
			c.commandsPending[m] = true
		}
	}
}
