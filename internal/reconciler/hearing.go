package reconciler

import (
	"time"

	"github.com/glentiller/glentiller/internal/liveness"
	"github.com/glentiller/glentiller/internal/model"
)

// question asks a machine what it has, where its messages leave a doubt. Its answer is proof of
// what it shows and of its hearing; a report is not. At most one is out for a machine, and few
// altogether: the next report raises it again.
func (c *Core) question(now time.Time, m *model.Machine) bool {
	if m.CommandInFlight || m.Addr == "" || m.State >= model.MachineReleasing || c.asking >= mostAsked || now.Sub(m.ProbedAt) < askEvery {
		return false
	}
	m.ProbedAt = now
	c.asking++
	c.command(m, nil, false)
	return true
}

const (
	mostAsked  = 32              // questions that are out, at the most
	doubtEvery = 2 * time.Second // between questions to a machine in doubt
	dropped    = 4 * time.Second // workers drop answers that come later, by the protocol; reports are a quarter late at most
)

// listen looks after a machine in doubt: it is asked again, and replaced if that lasts.
func (c *Core) listen(now time.Time, m *model.Machine) {
	if now.Sub(m.ProbedAt) >= doubtEvery {
		c.question(now, m)
	}
	runs := false
	for _, a := range m.Attempts {
		runs = runs || a.Active() && a.Phase != 0
	}
	if m.Detector.Wait(now, runs, c.detector) {
		c.hearingMoved(m)
	}
}

// answered takes a worker's report that answers a command: it was sent after the command.
func (c *Core) answered(now time.Time, m *model.Machine, r *model.Heartbeat) {
	c.proved(now, m, "it has answered")
	if known := m.Known(); m.Answered(r.Epoch, r.Seq) {
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
	m.LeaseExpiry = c.leaseEnd(now)
	if r.Epoch > m.DeadSession {
		c.observe(now, m, r, true)
	}
}

// heard takes what a report tells of a machine's hearing.
func (c *Core) heard(now time.Time, m *model.Machine, s liveness.Sign) {
	if s.Shows {
		c.provedAt = now
	}
	if m.Detector.Heard(now, s, c.detector) {
		c.hearingMoved(m)
	}
	if m.Detector.State != liveness.Hears {
		c.question(now, m)
	}
}

// proved takes a proof that a machine hears this leader.
func (c *Core) proved(now time.Time, m *model.Machine, why string) {
	c.provedAt = now
	if m.Detector.Prove(now, why) {
		c.hearingMoved(m)
	}
}

// hearingMoved tells of a change of a machine's hearing, and counts those in doubt.
func (c *Core) hearingMoved(m *model.Machine) {
	was, is := c.inDoubtOf[m], m.Detector.State >= liveness.Doubtful
	if is {
		c.inDoubtOf[m] = true
	} else {
		delete(c.inDoubtOf, m)
	}
	if was || is {
		c.dirty = true
		c.log.Info("hearing", "machine", m.Name, "is", m.Detector.State.String(), "why", m.Detector.Why,
			"holding", m.ActiveCount, "in_doubt", len(c.inDoubtOf))
	}
}

// lacks tells whether a report lacks what the answer to an earlier one has told its worker.
func (c *Core) lacks(m *model.Machine, r *model.Heartbeat) bool {
	told := 0
	for _, a := range m.Attempts {
		if a.State == model.AttemptLaunching && a.SentInReplyTo != (liveness.Mark{}) && a.SentInReplyTo.Before(liveness.Mark{Session: r.Epoch, Seq: r.Seq}) {
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

// hears tells whether work may be placed on a machine as far as its hearing goes. What rests on
// questions alone is not believed of many at once: then the fault is likely here.
func (c *Core) hears(m *model.Machine) bool {
	many := float64(len(c.inDoubtOf)) > max(1, c.set.SilentShare*float64(len(c.machines)))
	return m.Detector.State < liveness.Doubtful || !m.Detector.Sure() && many
}

// fewInDoubt tells that the machines that seem not to hear are few, so that they may be replaced.
func (c *Core) fewInDoubt() bool { return len(c.inDoubtOf) <= max(1, len(c.machines)/fewShare) }

// unheard tells that nothing that this controller sends seems to arrive anywhere, although reports
// do: then it is the one at fault.
func (c *Core) unheard(now time.Time) bool {
	return len(c.inDoubtOf) > 1 && now.Sub(c.provedAt) > c.set.SilentAfter+2*time.Second && len(c.inDoubtOf) >= c.reporting(now)/2
}

// wantsProof tells that machines are in doubt, and that none has proved lately that it hears: one that is
// not in doubt is asked. Guards against a leader that hands over since half of all machines hear nothing,
// while the others had no reason to prove that they do: each takeover then kept work of before waiting anew.
func (c *Core) wantsProof(now time.Time) bool {
	return len(c.inDoubtOf) > 1 && now.Sub(c.provedAt) > c.set.SilentAfter/2
}

// reporting counts the machines that are up and not silent.
func (c *Core) reporting(now time.Time) int {
	n := 0
	for _, m := range c.machines {
		if m.State != model.MachineBooting && m.State < model.MachineReleasing && now.Sub(m.LastHeartbeat) <= c.set.SilentAfter {
			n++
		}
	}
	return n
}

// quietNow tells whether many machines of a zone were silent lately, as in a cut.
func (c *Core) quietNow(now time.Time, zone string) bool {
	return now.Sub(c.quietAt[zone]) < c.set.Lease || now.Sub(c.quietAt[anyZone]) < c.set.Lease
}

// Hearing tells whether a machine hears this leader, as far as it knows.
func (c *Core) Hearing(machine string) liveness.State {
	if m := c.machines[machine]; m != nil {
		return m.Detector.State
	}
	return liveness.Hears
}
