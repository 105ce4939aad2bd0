package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/liveness"
	"github.com/glentiller/glentiller/internal/model"
)

// maxCommands bounds the commands of one message, which keeps it far below the published size limit.
const maxCommands = 200

// duplicateRetentionLeases is for how many leases an ended attempt is kept that was launched directly: the network
// may repeat its launch.
const duplicateRetentionLeases = 3

// maxUnansweredLaunches bounds of how many attempts on a machine unanswered launches may be out. The worker keeps
// these attempts in its heartbeats until its epoch ends. Beyond the bound launches go with responses to heartbeats,
// which are never carried out late. So a network that swallows answers for hours does not make heartbeats exceed the
// published size limit.
const maxUnansweredLaunches = 64

// maxDirectLaunches bounds how many attempts that were launched directly are known on a machine. Beyond it, too,
// launches go with responses to heartbeats: those are not repeated, so their attempts need not be kept.
const maxDirectLaunches = 256

// responseCommands lists everything that a worker is to do, for the response to a heartbeat. direct says that the
// heartbeat came from the worker itself and not by way of another member.
func (c *Core) responseCommands(now time.Time, machine *model.Machine, direct bool) []model.Command {
	var commands []model.Command
	for _, attempt := range machine.Attempts {
		// Stops go first: a response that is full before them would renew the lease of a machine that still holds
		// tasks of a cancelled job.
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

// appendCommands appends the commands that bring one attempt to where it should be. An unwanted attempt that no
// heartbeat has shown yet is launched and stopped: then the worker knows it, and a delayed duplicate of its launch
// has no effect (docs/safety.md, "Delayed launches").
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

// canForget reports whether the worker may forget an ended attempt: what it did is durable, and no copy of its launch
// can arrive any more. The network may repeat a launch that was sent directly even after it was answered, so that
// attempt is kept for some leases. Otherwise the repeat could start a stopped task beside its next attempt, or one of
// a cancelled job.
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

// canCommandDirectly reports whether commands may be sent directly to a machine now. If not, the response to its next
// heartbeat carries them.
func canCommandDirectly(now time.Time, machine *model.Machine) bool {
	return !now.Before(machine.NoDirectCommandBefore) && machine.Epoch != 0 && machine.Epoch > machine.ExpiredEpoch &&
		machine.Addr != "" && machine.State < model.MachineReleasing
}

// sendDirectCommands sends new launches and stops directly to a worker.
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
	launches := launchBudget{machine: machine, launched: -1}
	for _, attempt := range machine.Attempts {
		if !attempt.Active() || attempt.CommandedState == attempt.State || len(commands) >= maxCommands {
			continue
		}
		before := len(commands)
		commands = appendCommands(commands, attempt)
		if len(commands) > before && commands[before].Op == model.OpLaunch {
			if !launches.take(attempt) {
				commands = commands[:before] // the response to the next heartbeat carries it
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

// launchBudget bounds the direct launches on one machine.
type launchBudget struct {
	machine  *model.Machine
	launched int // attempts on it that were launched directly; below zero: not counted yet
}

// take notes that a launch leaves directly, and reports false where that is one too many.
func (b *launchBudget) take(attempt *model.Attempt) bool {
	if b.launched < 0 {
		b.launched = countDirectLaunches(b.machine)
	}
	key, unanswered := attemptKey(attempt), &b.machine.UnansweredLaunches
	if unanswered.Len() >= maxUnansweredLaunches && !unanswered.MayArrive(key) {
		return false
	}
	if b.launched >= maxDirectLaunches && !attempt.LaunchedDirectly {
		return false
	}
	if !attempt.LaunchedDirectly {
		attempt.LaunchedDirectly = true
		b.launched++
	}
	unanswered.Add(key)
	return true
}

// countDirectLaunches counts the attempts on a machine that were launched directly.
func countDirectLaunches(machine *model.Machine) int {
	count := 0
	for _, attempt := range machine.Attempts {
		if attempt.LaunchedDirectly {
			count++
		}
	}
	return count
}

// sendCommands sends commands directly to a worker; without any it is a probe.
func (c *Core) sendCommands(machine *model.Machine, commands []model.Command, urgent bool) {
	machine.CommandInFlight = true
	machine.CommandSent()
	c.emit(SendCommands{
		Machine: machine.Name, Addr: machine.Addr, Epoch: machine.Epoch, Commands: commands, Urgent: urgent,
	})
}

// commandCompleted handles the answer to direct commands or a probe, or that there was none.
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
	if isProbe && event.Heartbeat == nil && (event.Outcome == Unknown || event.Outcome == Refused) {
		machine.ProbeUnanswered = true
		if machine.Detector.ProbeTimedOut(now) {
			c.livenessChanged(machine)
		}
	}
	if event.Outcome == Unknown {
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

// hasUnsentCommands reports whether a launch or a stop has not been sent to its worker yet.
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

// commandAnswered applies a worker's state that answers a command or probe: it was sent after the command.
func (c *Core) commandAnswered(now time.Time, machine *model.Machine, heartbeat *model.Heartbeat) {
	c.proveAlive(now, machine, "it has answered")
	if known := machine.LatestMessage(); machine.CommandAnswered(heartbeat.Epoch, heartbeat.Seq) {
		c.log.Warn("machine restarted", "machine", machine.Name, "latest", known, "epoch", heartbeat.Epoch,
			"seq", heartbeat.Seq, "attempts", machine.ActiveCount,
			"unanswered_launches", machine.UnansweredLaunches.Len())
		machine.ErrorsByJob = map[string]int{}
		if machine.UnansweredLaunches.Len() > 0 {
			// Launches that were sent to its former incarnation may reach the present one, which does not know them.
			// Their attempts count on the machine until it is gone.
			c.startRelease(now, machine, reasonRestarted)
		}
	}
	// If it has restarted with higher numbers than were known, its lease may have begun as late as now. The deadline
	// of the former lease must not free tasks of the new incarnation.
	machine.LeaseExpiry = c.leaseExpiry(now)
	if heartbeat.Epoch > machine.ExpiredEpoch {
		c.applyHeartbeat(now, machine, heartbeat, true)
	}
}
