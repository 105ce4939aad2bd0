package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/liveness"
	"github.com/glentiller/glentiller/internal/model"
)

// livenessTracker holds the state that concerns the liveness of all machines together. Each machine has a failure
// detector of its own.
type livenessTracker struct {
	settings                 liveness.Settings
	suspects                 map[*model.Machine]bool // machines that appear to receive nothing from this leader
	lastProofAt              time.Time               // when a machine last proved that it receives messages
	probesInFlight           int
	identityMismatchLoggedAt time.Time // when a heartbeat refused for an identity mismatch was last logged
}

// Limits on probes. The answer to a probe is proof of the state it shows, whereas a heartbeat may be a delayed copy.
const (
	maxProbes            = 32                     // probes in flight
	probeInterval        = 500 * time.Millisecond // minimum time between two probes of a machine
	suspectProbeInterval = 2 * time.Second        // minimum time between two probes of a suspect
)

// identityMismatchLogInterval is the minimum time between two log records about heartbeats refused for an identity
// mismatch.
const identityMismatchLogInterval = 10 * time.Second

// responseTimeout is the time that a worker waits for the response to a heartbeat, as the protocol defines it.
const responseTimeout = 4 * time.Second

func newLivenessTracker(now time.Time, settings *Settings) livenessTracker {
	return livenessTracker{
		settings: liveness.Settings{
			Lease: settings.WorkerLease,
			// A heartbeat is late by at most a quarter of the interval, so a gap of 1.5 intervals is too long.
			HeartbeatGap: max(responseTimeout, settings.HeartbeatInterval+settings.HeartbeatInterval/2),
			ReplaceAfter: settings.UnresponsiveAfter,
		},
		suspects:    map[*model.Machine]bool{},
		lastProofAt: now,
	}
}

// update adds a machine to the suspects or removes it, by the state of its failure detector. It reports whether the
// machine was or is a suspect.
func (t *livenessTracker) update(machine *model.Machine) (wasOrIs bool) {
	was, is := t.suspects[machine], machine.Detector.State >= liveness.Suspect
	if is {
		t.suspects[machine] = true
	} else {
		delete(t.suspects, machine)
	}
	return was || is
}

// probeSent and probeCompleted maintain the number of probes in flight.
func (t *livenessTracker) probeSent()      { t.probesInFlight++ }
func (t *livenessTracker) probeCompleted() { t.probesInFlight-- }

// mayLogIdentityMismatch reports whether a heartbeat refused for an identity mismatch may be logged now, and if so,
// records it as logged.
func (t *livenessTracker) mayLogIdentityMismatch(now time.Time) bool {
	if now.Sub(t.identityMismatchLoggedAt) <= identityMismatchLogInterval {
		return false
	}
	t.identityMismatchLoggedAt = now
	return true
}

// remove removes a released machine from the suspects.
func (t *livenessTracker) remove(machine *model.Machine) { delete(t.suspects, machine) }

// canProbe reports whether a probe can be sent to a machine now.
func canProbe(machine *model.Machine) bool {
	return !machine.CommandInFlight && machine.Addr != "" && machine.State < model.MachineReleasing
}

// probe sends a probe to a machine whose messages leave its state uncertain, and reports whether it did. It sends
// none if one is in flight to the machine, if the last one was sent less than probeInterval ago, or if maxProbes are
// in flight. The next heartbeat then triggers another try.
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

// checkSuspect probes a machine that is not considered alive, and marks it as failed if it stays a suspect for too
// long.
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

// proveAlive records a proof that a machine receives this leader's messages.
func (c *Core) proveAlive(now time.Time, machine *model.Machine, reason string) {
	c.liveness.lastProofAt = now
	if machine.Detector.ProveAlive(now, reason) {
		c.livenessChanged(machine)
	}
}

// livenessChanged records that the state of a machine's failure detector has changed.
func (c *Core) livenessChanged(machine *model.Machine) {
	if c.liveness.update(machine) {
		c.passes.request()
		c.log.Info("machine liveness changed", "machine", machine.Name, "state", machine.Detector.State.String(),
			"reason", machine.Detector.Reason, "attempts", machine.ActiveCount, "suspects", len(c.liveness.suspects))
	}
}

// missesCommands reports whether a heartbeat shows none of the launches that responses to earlier heartbeats
// contained. It is false if there were no such launches.
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
			return false // it shows some of the launches: the heartbeat and the response have crossed
		}
	}
	return true
}

// livenessAllowsPlacement reports whether a machine's liveness allows tasks to be placed on it. If many machines are
// suspects at once, unanswered probes alone do not count against them, since the fault is then likely this
// controller's.
func (c *Core) livenessAllowsPlacement(machine *model.Machine) bool {
	limit := max(1, c.settings.MaxUnresponsiveShare*float64(len(c.machines)))
	many := float64(len(c.liveness.suspects)) > limit
	return machine.Detector.State < liveness.Suspect || !machine.Detector.Conclusive() && many
}

// needsReachabilityProof reports whether there are several suspects while no machine has recently proved that it
// receives messages. A machine that is alive is then probed. Otherwise, if half of the machines received nothing, the
// leader would consider itself isolated, because the other half had no occasion to prove that they receive its
// messages.
func (c *Core) needsReachabilityProof(now time.Time) bool {
	return len(c.liveness.suspects) > 1 && now.Sub(c.liveness.lastProofAt) > c.settings.UnresponsiveAfter/2
}

// Liveness returns the state of a machine's failure detector. An unknown machine counts as alive.
func (c *Core) Liveness(machine string) liveness.State {
	if m := c.machines[machine]; m != nil {
		return m.Detector.State
	}
	return liveness.Alive
}
