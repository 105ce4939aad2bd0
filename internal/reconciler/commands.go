package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/liveness"
	"github.com/glentiller/glentiller/internal/model"
)

// maxCommands limits the commands in one message, so that the message stays far below the published size limit.
const maxCommands = 200

// duplicateRetentionLeases is the number of leases for which a directly launched attempt is kept after it has ended,
// since the network may repeat its launch.
const duplicateRetentionLeases = 3

// maxUnansweredLaunches limits the attempts on one machine whose direct launch has not been answered. A worker lists
// these attempts in its heartbeats until its epoch ends. Above the limit, launches are sent in heartbeat responses,
// which are never executed late. A network that loses answers for hours therefore cannot make heartbeats exceed the
// published size limit.
const maxUnansweredLaunches = 64

// maxDirectLaunches limits the directly launched attempts that are kept for one machine. Above the limit, launches
// are sent in heartbeat responses. The network does not repeat those, so their attempts need not be kept after they
// end.
const maxDirectLaunches = 256

// responseCommands returns all commands that a worker has to execute, for the response to its heartbeat. direct is
// true if the heartbeat came from the worker itself and was not relayed by another member.
func (c *Core) responseCommands(now time.Time, machine *model.Machine, direct bool) []model.Command {
	var commands []model.Command
	for _, attempt := range machine.Attempts {
		// Stops come first. A response that is full of launches would renew the worker's lease without stopping the
		// tasks of cancelled jobs on the machine.
		if attempt.State == model.AttemptStopping && len(commands) < maxCommands {
			commands = appendCommands(commands, attempt)
		}
	}
	for _, attempt := range machine.Attempts {
		if len(commands) >= maxCommands {
			break
		}
		if attempt.State == model.AttemptStopping {
			continue
		}
		before := len(commands)
		commands = appendCommands(commands, attempt)
		if len(commands) > before && direct && attempt.SentInReplyTo == (liveness.MessageNumber{}) {
			attempt.SentInReplyTo = machine.LatestHeartbeat()
		}
		if attempt.State == model.AttemptEnded && c.canForget(now, attempt) {
			commands = append(commands, model.Command{Op: model.OpForget, Task: attempt.Task, Attempt: attempt.Number})
		}
	}
	return commands
}

// appendCommands appends the commands that bring one attempt to its wanted state. An unwanted attempt that no
// heartbeat has reported yet is first launched and then stopped. The worker knows it from then on, so a delayed
// duplicate of its launch has no effect (docs/safety.md, "Delayed launches").
func appendCommands(commands []model.Command, attempt *model.Attempt) []model.Command {
	stopping := attempt.State == model.AttemptStopping
	if attempt.State == model.AttemptLaunching || stopping && attempt.Phase == 0 {
		commands = append(commands, model.Command{Op: model.OpLaunch, Task: attempt.Task, Attempt: attempt.Number})
	}
	if stopping && (attempt.Phase != model.PhaseCheckpointing || attempt.GracePeriod == 0) {
		commands = append(commands, model.Command{
			Op: model.OpStop, Task: attempt.Task, Attempt: attempt.Number, GracePeriod: attempt.GracePeriod,
		})
	}
	return commands
}

// canForget reports whether the worker may forget an ended attempt: its completion is durable, and no copy of its
// launch can arrive any more. The network may repeat a direct launch even after it was answered, so a directly
// launched attempt is kept for duplicateRetentionLeases. Otherwise the repeated launch could start a stopped task in
// parallel with its next attempt, or start a task of a cancelled job.
func (c *Core) canForget(now time.Time, attempt *model.Attempt) bool {
	retention := duplicateRetentionLeases * c.settings.WorkerLease
	if attempt.LaunchedDirectly && now.Sub(attempt.EndedAt) < retention {
		return false
	}
	machine := attempt.Machine
	if machine.UnansweredLaunches.MayArrive(attemptKey(attempt)) || machine.FencingToken < c.fencingToken {
		return false
	}
	job := attempt.Job
	if attempt.Cause != model.CauseDone || job == nil || job.Spec.Shape == model.Service {
		return true
	}
	return job.IsDurable(attempt.Task.Index)
}

// canCommandDirectly reports whether commands may be sent directly to a machine now. If not, they are sent in the
// response to its next heartbeat.
func canCommandDirectly(now time.Time, machine *model.Machine) bool {
	return !now.Before(machine.NoDirectCommandBefore) && machine.Epoch != 0 && machine.Epoch > machine.ExpiredEpoch &&
		machine.Addr != "" && machine.State < model.MachineReleasing
}

// sendDirectCommands sends the launches and stops of a machine that no direct command has conveyed yet. It does
// nothing while another command to the machine is in flight.
func (c *Core) sendDirectCommands(now time.Time, machine *model.Machine) {
	if machine.CommandInFlight {
		return
	}
	delete(c.commandsPending, machine)
	if !canCommandDirectly(now, machine) {
		return
	}
	var commands []model.Command
	urgent := false
	launches := launchBudget{machine: machine, directLaunches: -1}
	for _, attempt := range machine.Attempts {
		if !attempt.Active() || attempt.CommandedState == attempt.State || len(commands) >= maxCommands {
			continue
		}
		before := len(commands)
		commands = appendCommands(commands, attempt)
		if len(commands) > before && commands[before].Op == model.OpLaunch {
			if !launches.tryLaunch(attempt) {
				commands = commands[:before] // the launch goes with the response to the next heartbeat
				continue
			}
			urgent = urgent || attempt.Job != nil && attempt.Job.EffectivePriority >= model.PriorityHigh
		}
		attempt.CommandedState = attempt.State
	}
	if len(commands) > 0 {
		c.sendCommands(machine, commands, urgent)
	}
}

// launchBudget enforces maxUnansweredLaunches and maxDirectLaunches for one machine.
type launchBudget struct {
	machine        *model.Machine
	directLaunches int // directly launched attempts on the machine; -1 before they are counted
}

// tryLaunch records that the launch of an attempt is about to be sent directly. It returns false, and records
// nothing, if that would exceed a limit.
func (b *launchBudget) tryLaunch(attempt *model.Attempt) bool {
	if b.directLaunches < 0 {
		b.directLaunches = countDirectLaunches(b.machine)
	}
	key, unanswered := attemptKey(attempt), &b.machine.UnansweredLaunches
	if unanswered.Len() >= maxUnansweredLaunches && !unanswered.MayArrive(key) {
		return false
	}
	if b.directLaunches >= maxDirectLaunches && !attempt.LaunchedDirectly {
		return false
	}
	if !attempt.LaunchedDirectly {
		attempt.LaunchedDirectly = true
		b.directLaunches++
	}
	unanswered.Add(key)
	return true
}

// countDirectLaunches returns the number of attempts on a machine that were launched directly.
func countDirectLaunches(machine *model.Machine) int {
	count := 0
	for _, attempt := range machine.Attempts {
		if attempt.LaunchedDirectly {
			count++
		}
	}
	return count
}

// sendCommands sends commands directly to a worker. A message without commands is a probe.
func (c *Core) sendCommands(machine *model.Machine, commands []model.Command, urgent bool) {
	machine.CommandInFlight = true
	machine.CommandSent()
	c.emit(SendCommands{
		Machine: machine.Name, Addr: machine.Addr, Epoch: machine.Epoch, Commands: commands, Urgent: urgent,
	})
}

// commandCompleted handles the outcome of direct commands or of a probe.
func (c *Core) commandCompleted(now time.Time, event CommandCompleted) {
	isProbe := len(event.Commands) == 0
	if isProbe {
		c.liveness.probeCompleted()
	}
	machine := c.machines[event.Machine]
	if machine == nil {
		return
	}
	machine.CommandInFlight = false
	if isProbe && event.Heartbeat == nil && (event.Outcome == OutcomeUnknown || event.Outcome == OutcomeRefused) {
		machine.ProbeUnanswered = true
		if machine.Detector.ProbeTimedOut(now) {
			c.livenessChanged(machine)
		}
	}
	if event.Outcome == OutcomeUnknown {
		machine.NoDirectCommandBefore = now.Add(c.settings.CommandHoldOff)
	} else if event.Epoch == machine.Epoch {
		for _, command := range event.Commands {
			if command.Op == model.OpLaunch {
				machine.UnansweredLaunches.Remove(model.AttemptKey{Task: command.Task, Number: command.Attempt})
			}
		}
	}
	if event.Heartbeat != nil && event.Heartbeat.Machine == machine.Name {
		c.commandAnswered(now, machine, event.Heartbeat)
	}
	if hasUnsentCommands(machine) {
		c.commandsPending[machine] = true
	}
}

// hasUnsentCommands reports whether a machine has a launch or stop that no direct command has conveyed yet.
func hasUnsentCommands(machine *model.Machine) bool {
	for _, attempt := range machine.Attempts {
		if attempt.CommandedState == attempt.State {
			continue
		}
		if attempt.State == model.AttemptLaunching || attempt.State == model.AttemptStopping {
			return true
		}
	}
	return false
}

// commandAnswered applies the worker state that answers a command or a probe. The worker sent it after it received
// the command.
func (c *Core) commandAnswered(now time.Time, machine *model.Machine, heartbeat *model.Heartbeat) {
	c.proveAlive(now, machine, "it answered a command or probe")
	if known := machine.LatestMessage(); machine.CommandAnswered(heartbeat.Epoch, heartbeat.Seq) {
		c.log.Warn("machine restarted", "machine", machine.Name, "latest", known, "epoch", heartbeat.Epoch,
			"seq", heartbeat.Seq, "attempts", machine.ActiveCount,
			"unanswered_launches", machine.UnansweredLaunches.Len())
		machine.ErrorsByJob = map[string]int{}
		if machine.UnansweredLaunches.Len() > 0 {
			// Launches that were sent to the former incarnation may reach the present one, which does not know their
			// attempts. The attempts stay allocated on the machine until it is released.
			c.startRelease(now, machine, reasonRestarted)
		}
	}
	// If the machine restarted with higher message numbers than were known, its lease may have begun as late as now.
	// The former lease's expiry must not free tasks of the new incarnation.
	machine.LeaseExpiry = c.leaseExpiry(now)
	if heartbeat.Epoch > machine.ExpiredEpoch {
		c.applyHeartbeat(now, machine, heartbeat, true)
	}
}
