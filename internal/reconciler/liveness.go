package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/liveness"
	"github.com/glentiller/glentiller/internal/model"
)

// livenessTracker is what a leader knows of its machines' liveness beyond the failure detector of each of them.
type livenessTracker struct {
	settings        liveness.Settings
	suspects        map[*model.Machine]bool // machines that seem to receive nothing from this leader
	lastProofAt     time.Time               // when any machine last proved that it receives something
	probesInFlight  int
	foreignLoggedAt time.Time // when a heartbeat of another machine by a known name was last logged
}

// The probing of machines. Their answers prove what they show; a heartbeat may be a delayed copy.
const (
	maxProbes            = 32                     // in flight
	probeInterval        = 500 * time.Millisecond // between probes to one machine
	suspectProbeInterval = 2 * time.Second        // between probes to a suspect
)

// foreignLogInterval is the time between log lines about heartbeats of another machine by a known name.
const foreignLogInterval = 10 * time.Second

// responseTimeout is how long a worker waits for the answer to a heartbeat, by the protocol. Heartbeats are late by a
// quarter of their interval at most.
const responseTimeout = 4 * time.Second

func newLivenessTracker(now time.Time, settings *Settings) livenessTracker {
	return livenessTracker{
		settings: liveness.Settings{
			Lease:        settings.WorkerLease,
			HeartbeatGap: max(responseTimeout, settings.HeartbeatInterval+settings.HeartbeatInterval/2),
			ReplaceAfter: settings.UnresponsiveAfter,
		},
		suspects:    map[*model.Machine]bool{},
		lastProofAt: now,
	}
}

// update counts a machine among the suspects or not, and reports whether it was or is one.
func (t *livenessTracker) update(machine *model.Machine) (wasOrIs bool) {
	was, is := t.suspects[machine], machine.Detector.State >= liveness.Suspect
	if is {
		t.suspects[machine] = true
	} else {
		delete(t.suspects, machine)
	}
	return was || is
}

// probeSent and probeCompleted count the probes in flight.
func (t *livenessTracker) probeSent()      { t.probesInFlight++ }
func (t *livenessTracker) probeCompleted() { t.probesInFlight-- }

// mayLogForeign reports whether a heartbeat of another machine by a known name is to be logged now.
func (t *livenessTracker) mayLogForeign(now time.Time) bool {
	if now.Sub(t.foreignLoggedAt) <= foreignLogInterval {
		return false
	}
	t.foreignLoggedAt = now
	return true
}

// remove forgets a machine that is gone.
func (t *livenessTracker) remove(machine *model.Machine) { delete(t.suspects, machine) }

// canProbe reports whether a probe can be sent to a machine.
func canProbe(machine *model.Machine) bool {
	return !machine.CommandInFlight && machine.Addr != "" && machine.State < model.MachineReleasing
}

// probe requests the state of a machine where its messages leave it uncertain. One probe is in flight for a machine,
// and few altogether: the next heartbeat requests it again. It reports whether a probe was sent.
func (c *Core) probe(now time.Time, machine *model.Machine) bool {
	if !canProbe(machine) || c.liveness.probesInFlight >= maxProbes || now.Sub(machine.ProbedAt) < probeInterval {
		return false
	}
	c.sendProbe(now, machine)
	return true
}

func (c *Core) sendProbe(now time.Time, machine *model.Machine) {
	machine.ProbedAt = now
	c.liveness.probeSent()
	c.sendCommands(machine, nil, false)
}

// checkSuspect probes a machine that is not alive again, and has it replaced if that lasts.
func (c *Core) checkSuspect(now time.Time, machine *model.Machine) {
	if now.Sub(machine.ProbedAt) >= suspectProbeInterval {
		c.probe(now, machine)
	}
	running := false
	for _, attempt := range machine.Attempts {
		running = running || attempt.Active() && attempt.Phase != 0
	}
	if machine.Detector.CheckTimeout(now, running, c.liveness.settings) {
		c.livenessChanged(machine)
	}
}

// observeLiveness passes the evidence of a heartbeat to the machine's failure detector.
func (c *Core) observeLiveness(now time.Time, machine *model.Machine, evidence liveness.Evidence) {
	if evidence.Acknowledges {
		c.liveness.lastProofAt = now
	}
	if machine.Detector.ObserveHeartbeat(now, evidence, c.liveness.settings) {
		c.livenessChanged(machine)
	}
	if machine.Detector.State != liveness.Alive {
		c.probe(now, machine)
	}
}

// proveAlive records a proof that a machine receives what this leader sends.
func (c *Core) proveAlive(now time.Time, machine *model.Machine, reason string) {
	c.liveness.lastProofAt = now
	if machine.Detector.ProveAlive(now, reason) {
		c.livenessChanged(machine)
	}
}

// livenessChanged notes that the state of a machine's failure detector has changed.
func (c *Core) livenessChanged(machine *model.Machine) {
	if c.liveness.update(machine) {
		c.passes.request()
		c.log.Info("machine liveness", "machine", machine.Name, "state", machine.Detector.State.String(),
			"reason", machine.Detector.Reason, "attempts", machine.ActiveCount, "suspects", len(c.liveness.suspects))
	}
}

// missesCommands reports whether a heartbeat lacks the launches that the response to an earlier one held.
func missesCommands(machine *model.Machine, heartbeat *model.Heartbeat) bool {
	number := liveness.MessageNumber{Epoch: heartbeat.Epoch, Seq: heartbeat.Seq}
	commanded := 0
	for _, attempt := range machine.Attempts {
		sent := attempt.SentInReplyTo
		if attempt.State == model.AttemptLaunching && sent != (liveness.MessageNumber{}) && sent.Before(number) {
			commanded++
		}
	}
	if commanded == 0 {
		return false
	}
	for i := range heartbeat.Tasks {
		key := statusKey(&heartbeat.Tasks[i])
		if attempt := machine.Attempts[key]; attempt != nil && attempt.State == model.AttemptLaunching {
			return false // it shows some of it: the heartbeat and the response have crossed
		}
	}
	return true
}

// trustedAlive reports whether tasks may be placed on a machine as far as its liveness goes. Unanswered probes alone
// do not count against many machines at once: then the fault is likely this controller's.
func (c *Core) trustedAlive(machine *model.Machine) bool {
	limit := max(1, c.settings.MaxUnresponsiveShare*float64(len(c.machines)))
	many := float64(len(c.liveness.suspects)) > limit
	return machine.Detector.State < liveness.Suspect || !machine.Detector.Conclusive() && many
}

// needsProof reports that there are suspects, and that no machine has proved lately that it receives anything. Then
// one that is alive is probed. Otherwise a leader would take itself for isolated when half of all machines receive
// nothing, while the others had no reason to prove that they do.
func (c *Core) needsProof(now time.Time) bool {
	return len(c.liveness.suspects) > 1 && now.Sub(c.liveness.lastProofAt) > c.settings.UnresponsiveAfter/2
}

// Liveness returns the state of a machine's failure detector; a machine that is not known counts as alive.
func (c *Core) Liveness(machine string) liveness.State {
	if m := c.machines[machine]; m != nil {
		return m.Detector.State
	}
	return liveness.Alive
}
