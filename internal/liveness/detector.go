package liveness

import "time"

// State is a failure detector's verdict on a machine.
type State uint8

// The states of a machine's liveness.
const (
	Alive   State = iota // there is no evidence against the machine
	Probing              // evidence suggests that the machine may receive nothing, so it is being probed
	Suspect              // it did not answer a probe, or does not execute its commands; it gets no tasks
	Failed               // it was a suspect for too long and has to be replaced
)

// String returns the name of the state that log records show.
func (s State) String() string { return [...]string{"alive", "probing", "suspect", "failed"}[s] }

// Settings configure a Detector.
type Settings struct {
	Lease        time.Duration // the duration of workers' leases
	HeartbeatGap time.Duration // a gap of at least this between two heartbeats means that the worker got no response
	ReplaceAfter time.Duration // how long a machine on which no task is known to run may be a suspect before it fails
}

// Detector is a failure detector for one machine. It decides whether the machine receives the messages of the leader.
// Evidence may be recorded in any order. A proof that the machine has received a message ends every suspicion. The
// methods that record evidence and return a bool report whether the state has changed.
type Detector struct {
	State  State
	Since  time.Time // when the machine entered State
	Reason string    // a human-readable reason for State, which logs and explanations show

	lastDirect         time.Time    // when the last answered heartbeat arrived directly from the worker
	lastRelayed        bool         // the last answered heartbeat was relayed by another member
	ignoredResponses   int          // consecutive responses whose commands the machine did not execute
	provenByHeartbeats bool         // the machine's own heartbeats show that it receives nothing
	answeredAt         [2]time.Time // when the last two answered heartbeats arrived, the later one first
}

// maxIgnoredResponses is the number of consecutive responses without effect after which a machine becomes a suspect
// without a probe.
const maxIgnoredResponses = 2

// epochMarginDivisor sets the safety margin of epochOutlivesSuspicion, as the lease duration divided by this number.
const epochMarginDivisor = 8

// transition is the only method that changes the state. It reports whether the state has changed.
func (d *Detector) transition(now time.Time, state State, reason string) bool {
	if d.State == state {
		return false
	}
	d.State, d.Since, d.Reason = state, now, reason
	return true
}

// ProveAlive records a proof that the machine has received a recent message.
func (d *Detector) ProveAlive(now time.Time, reason string) bool {
	d.ignoredResponses, d.provenByHeartbeats = 0, false
	return d.transition(now, Alive, reason)
}

// FencingTokenNotAccepted records that a machine sends heartbeats but has not adopted the leader's fencing token for
// longer than a lease duration.
func (d *Detector) FencingTokenNotAccepted(now time.Time) bool {
	d.provenByHeartbeats = true
	return d.State < Suspect && d.transition(now, Suspect, "it has not taken this leader's token")
}

// Probe records that a machine has to be probed. The caller sends the probe. Only an Alive machine changes its state.
func (d *Detector) Probe(now time.Time, reason string) bool {
	return d.State == Alive && d.transition(now, Probing, reason)
}

// Conclusive reports whether a suspicion is based on what the machine's heartbeats show, and not only on unanswered
// probes.
func (d *Detector) Conclusive() bool {
	return d.ignoredResponses >= maxIgnoredResponses || d.provenByHeartbeats
}

// MarkUnexpected records that this leader has not provisioned the machine. The machine is a suspect until it proves
// that it receives messages.
func (d *Detector) MarkUnexpected(now time.Time) {
	d.transition(now, Suspect, "nobody here has rented it")
}

// Evidence is what a heartbeat shows about the liveness of its machine.
type Evidence struct {
	Direct          bool // the worker sent it to the leader directly, not through another member
	Acknowledges    bool // it shows for the first time that the machine has received a certain message of the leader
	MissesCommands  bool // it shows no effect of the commands in the response to an earlier direct heartbeat
	NewEpoch        bool // the worker has begun a new epoch, so its previous lease has expired
	ZonePartitioned bool // many machines of the zone are unresponsive, so a network partition may explain gaps
}

// ObserveHeartbeat applies the evidence of a fresh heartbeat that is answered, and reports whether the state has
// changed.
//
// A single response counts against a machine only if the heartbeat was direct, since the response to a relayed
// heartbeat may arrive too late. A worker that gets no response turns to another member, so the heartbeat that shows
// the missing response is usually a relayed one.
func (d *Detector) ObserveHeartbeat(now time.Time, evidence Evidence, settings Settings) (changed bool) {
	gap, wasRelayed := now.Sub(d.lastDirect), d.lastRelayed
	hasDirect := !d.lastDirect.IsZero()
	if d.lastRelayed = !evidence.Direct; evidence.Direct {
		d.lastDirect = now
	}
	// Two heartbeats were answered within the last lease duration, and the lease has expired nevertheless. So at least
	// one of the two responses was lost.
	expiredThoughAnswered := evidence.NewEpoch && now.Sub(d.answeredAt[1]) < settings.Lease
	d.answeredAt = [2]time.Time{now, d.answeredAt[0]}
	switch {
	case evidence.Acknowledges:
		return d.ProveAlive(now, "it shows what it was told")
	case expiredThoughAnswered:
		// This counts even if the zone seems to be partitioned. Otherwise, when half of the machines of a zone receive
		// nothing, the leader takes that for a partition and places tasks on these machines again and again.
		d.provenByHeartbeats = true
		return d.Probe(now, "its lease has run out although two of its reports were answered")
	case evidence.MissesCommands:
		return d.commandsMissed(now)
	case evidence.NewEpoch && hasDirect && gap < settings.Lease+settings.HeartbeatGap && !evidence.ZonePartitioned:
		return d.Probe(now, "its lease has run out although its reports were answered")
	case hasDirect && !wasRelayed && gap >= settings.HeartbeatGap && gap < settings.Lease && !evidence.ZonePartitioned:
		return d.Probe(now, "it seems to have waited for an answer in vain")
	case !evidence.NewEpoch && d.State == Suspect && d.epochOutlivesSuspicion(now, settings.Lease):
		return d.ProveAlive(now, "its session has outlived the doubt by a lease")
	}
	if evidence.Direct {
		d.ignoredResponses = 0
	}
	return false
}

// commandsMissed records that a machine did not execute the commands of a response.
func (d *Detector) commandsMissed(now time.Time) bool {
	if d.ignoredResponses++; d.ignoredResponses >= maxIgnoredResponses {
		return d.State <= Probing && d.transition(now, Suspect, "it does not do what it is told")
	}
	return d.Probe(now, "it lacks what it was told")
}

// epochOutlivesSuspicion reports whether the epoch has lasted for longer than a lease duration plus a margin since the
// suspicion began. That proves that the worker has received a response in the meantime.
func (d *Detector) epochOutlivesSuspicion(now time.Time, lease time.Duration) bool {
	return now.Sub(d.Since) > lease+lease/epochMarginDivisor
}

// ProbeTimedOut records that the machine did not answer a probe in time. A machine that is probed becomes a suspect.
func (d *Detector) ProbeTimedOut(now time.Time) bool {
	return d.State == Probing && d.transition(now, Suspect, d.Reason+", and it does not answer")
}

// CheckTimeout changes the state to Failed if the machine has been a suspect for too long, and reports whether the
// state has changed. running tells whether tasks are known to run on the machine. They run until the worker's lease has
// expired, so the machine is not replaced before.
func (d *Detector) CheckTimeout(now time.Time, running bool, settings Settings) bool {
	suspected := now.Sub(d.Since)
	if d.State != Suspect || suspected < settings.ReplaceAfter || running && suspected < settings.Lease {
		return false
	}
	return d.transition(now, Failed, d.Reason)
}
