package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/liveness"
	"github.com/glentiller/glentiller/internal/model"
)

// probe asks a machine what it has, where its messages leave a doubt. Its answer is proof of
// what it shows and of its hearing; a report is not. At most one is out for a machine, and few
// altogether: the next report raises it again.
func (c *Core) probe(now time.Time, m *model.Machine) bool {
	if m.CommandInFlight || m.Addr == "" || m.State >= model.MachineReleasing || c.probesInFlight >= maxProbes || now.Sub(m.ProbedAt) < probeInterval {
		return false
	}
	m.ProbedAt = now
	c.probesInFlight++
	c.sendCommands(m, nil, false)
	return true
}

const (
	maxProbes            = 32              // questions that are out, at the most
	suspectProbeInterval = 2 * time.Second // between questions to a machine in doubt
	responseTimeout      = 4 * time.Second // workers drop answers that come later, by the protocol; reports are a quarter late at most
)

// checkSuspect looks after a machine in doubt: it is asked again, and replaced if that lasts.
func (c *Core) checkSuspect(now time.Time, m *model.Machine) {
	if now.Sub(m.ProbedAt) >= suspectProbeInterval {
		c.probe(now, m)
	}
	runs := false
	for _, a := range m.Attempts {
		runs = runs || a.Active() && a.Phase != 0
	}
	if m.Detector.CheckTimeout(now, runs, c.livenessSettings) {
		c.livenessChanged(m)
	}
}

// commandAnswered takes a worker's report that answers a command: it was sent after the command.
func (c *Core) commandAnswered(now time.Time, m *model.Machine, r *model.Heartbeat) {
	c.proveAlive(now, m, "it has answered")
	if known := m.LatestMessage(); m.CommandAnswered(r.Epoch, r.Seq) {
		c.log.Warn("machine has begun anew", "machine", m.Name, "known", known, "session", r.Epoch, "number", r.Seq, "holding", m.ActiveCount, "commands_on_their_way", m.UnansweredLaunches.Len())
		m.ErrorsByJob = map[string]int{}
		if m.UnansweredLaunches.Len() > 0 && m.Transition(now, model.MachineReleasing, "began anew") {
			// Launches that were sent to its former life may reach this one, which does not
			// know them. What they name stays where it is until the machine is gone.
			c.log.Info("returning", "machine", m.Name, "why", m.StateReason, "holding", m.ActiveCount)
		}
	}
	// Its lease may have begun as late as now, if it has begun anew with higher numbers than were known.
	// Guards against tasks of a new life that are freed when the lease of the former one has run out.
	m.LeaseExpiry = c.leaseExpiry(now)
	if r.Epoch > m.ExpiredEpoch {
		c.applyHeartbeat(now, m, r, true)
	}
}

// observeLiveness takes what a report tells of a machine's hearing.
func (c *Core) observeLiveness(now time.Time, m *model.Machine, s liveness.Evidence) {
	if s.Acknowledges {
		c.lastProofAt = now
	}
	if m.Detector.ObserveHeartbeat(now, s, c.livenessSettings) {
		c.livenessChanged(m)
	}
	if m.Detector.State != liveness.Alive {
		c.probe(now, m)
	}
}

// proveAlive takes a proof that a machine hears this leader.
func (c *Core) proveAlive(now time.Time, m *model.Machine, why string) {
	c.lastProofAt = now
	if m.Detector.ProveAlive(now, why) {
		c.livenessChanged(m)
	}
}

// livenessChanged tells of a change of a machine's hearing, and counts those in doubt.
func (c *Core) livenessChanged(m *model.Machine) {
	was, is := c.suspects[m], m.Detector.State >= liveness.Suspect
	if is {
		c.suspects[m] = true
	} else {
		delete(c.suspects, m)
	}
	if was || is {
		c.passNeeded = true
		c.log.Info("hearing", "machine", m.Name, "is", m.Detector.State.String(), "why", m.Detector.Reason,
			"holding", m.ActiveCount, "in_doubt", len(c.suspects))
	}
}

// missesCommands tells whether a report lacks what the answer to an earlier one has told its worker.
func (c *Core) missesCommands(m *model.Machine, r *model.Heartbeat) bool {
	told := 0
	for _, a := range m.Attempts {
		if a.State == model.AttemptLaunching && a.SentInReplyTo != (liveness.MessageNumber{}) && a.SentInReplyTo.Before(liveness.MessageNumber{Epoch: r.Epoch, Seq: r.Seq}) {
			told++
		}
	}
	if told == 0 {
		return false
	}
	for i := range r.Tasks {
		if a := m.Attempts[model.AttemptKey{Task: r.Tasks[i].Task, Number: r.Tasks[i].Attempt}]; a != nil && a.State == model.AttemptLaunching {
			return false // it shows some of it: its report and the answer have crossed
		}
	}
	return true
}

// trustedAlive tells whether work may be placed on a machine as far as its hearing goes. What rests on
// questions alone is not believed of many at once: then the fault is likely here.
func (c *Core) trustedAlive(m *model.Machine) bool {
	many := float64(len(c.suspects)) > max(1, c.settings.MaxUnresponsiveShare*float64(len(c.machines)))
	return m.Detector.State < liveness.Suspect || !m.Detector.Conclusive() && many
}

// fewSuspects tells that the machines that seem not to hear are few, so that they may be replaced.
func (c *Core) fewSuspects() bool { return len(c.suspects) <= max(1, len(c.machines)/minorityDivisor) }

// outboundIsolated tells that nothing that this controller sends seems to arrive anywhere, although reports
// do: then it is the one at fault.
func (c *Core) outboundIsolated(now time.Time) bool {
	return len(c.suspects) > 1 && now.Sub(c.lastProofAt) > c.settings.UnresponsiveAfter+2*time.Second && len(c.suspects) >= c.countReporting(now)/2
}

// needsProof tells that machines are in doubt, and that none has proved lately that it hears: one that is
// not in doubt is asked. Guards against a leader that hands over since half of all machines hear nothing,
// while the others had no reason to prove that they do: each takeover then kept work of before waiting anew.
func (c *Core) needsProof(now time.Time) bool {
	return len(c.suspects) > 1 && now.Sub(c.lastProofAt) > c.settings.UnresponsiveAfter/2
}

// countReporting counts the machines that are up and not silent.
func (c *Core) countReporting(now time.Time) int {
	n := 0
	for _, m := range c.machines {
		if m.State != model.MachineBooting && m.State < model.MachineReleasing && now.Sub(m.LastHeartbeat) <= c.settings.UnresponsiveAfter {
			n++
		}
	}
	return n
}

// recentlyPartitioned tells whether many machines of a zone were silent lately, as in a cut.
func (c *Core) recentlyPartitioned(now time.Time, zone string) bool {
	return now.Sub(c.partitionedAt[zone]) < c.settings.WorkerLease || now.Sub(c.partitionedAt[anyZone]) < c.settings.WorkerLease
}

// Liveness tells whether a machine hears this leader, as far as it knows.
func (c *Core) Liveness(machine string) liveness.State {
	if m := c.machines[machine]; m != nil {
		return m.Detector.State
	}
	return liveness.Alive
}
