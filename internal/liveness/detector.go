package liveness

import "time"

// State is what a failure detector holds of a machine.
type State uint8

// The states of a machine's liveness.
const (
	Alive   State = iota // nothing is known against it
	Probing              // something does not fit: it is probed
	Suspect              // it did not answer, or does not carry out its commands: nothing is placed on it
	Failed               // it was a suspect for long: it is to be replaced
)

// String returns the name of the state.
func (s State) String() string { return [...]string{"alive", "probing", "suspect", "failed"}[s] }

// Settings are the times that a Detector works by.
type Settings struct {
	Lease        time.Duration // of the workers
	HeartbeatGap time.Duration // a gap of this between two heartbeats shows that the worker got no answer
	ReplaceAfter time.Duration // a suspect on which nothing is known to run fails after this
}

// Detector is a failure detector for one machine: what a leader knows of whether the machine receives its messages.
// Evidence is given in any order; a proof that something was received ends every suspicion.
type Detector struct {
	State  State
	Since  time.Time
	Reason string // for people

	lastDirect     time.Time    // when the last heartbeat came directly from the worker and was answered
	relayedSince   bool         // others came by way of members since
	unacknowledged int          // consecutive answers whose commands it did not carry out
	selfEvident    bool         // the suspicion rests on what the machine itself has shown
	answeredAt     [2]time.Time // when the last two answered heartbeats came, the later one first
}

// maxUnacknowledged is how many consecutive answers without effect make a machine a suspect without a probe.
const maxUnacknowledged = 2

// epochMarginDivisor: an epoch that outlives a suspicion by a lease and one part in this many of it was renewed since.
const epochMarginDivisor = 8

// transition changes the state and is the only place that does. It reports whether the state is new.
func (d *Detector) transition(now time.Time, state State, reason string) bool {
	if d.State == state {
		return false
	}
	d.State, d.Since, d.Reason = state, now, reason
	return true
}

// ProveAlive records a proof that something that was sent lately has reached the machine. It reports whether the state
// has changed, as the other methods do.
func (d *Detector) ProveAlive(now time.Time, reason string) bool {
	d.unacknowledged, d.selfEvident = 0, false
	return d.transition(now, Alive, reason)
}

// TokenNotTaken records that a machine sends heartbeats but has not taken the leader's fencing token in more than a
// lease.
func (d *Detector) TokenNotTaken(now time.Time) bool {
	d.selfEvident = true
	return d.State < Suspect && d.transition(now, Suspect, "it has not taken this leader's token")
}

// Probe begins the probing of a machine; the caller sends the probe. One that is probed already, or a suspect, stays
// in its state.
func (d *Detector) Probe(now time.Time, reason string) bool {
	return d.State == Alive && d.transition(now, Probing, reason)
}

// Conclusive reports whether a suspicion rests on what the machine itself has shown, and not on unanswered probes
// alone.
func (d *Detector) Conclusive() bool { return d.unacknowledged >= maxUnacknowledged || d.selfEvident }

// MarkUnexpected records that this leader has not provisioned the machine: it is a suspect until it has answered.
func (d *Detector) MarkUnexpected(now time.Time) {
	d.transition(now, Suspect, "nobody here has rented it")
}

// Evidence is what a heartbeat shows of a machine's liveness.
type Evidence struct {
	Direct          bool // it came from the worker itself, not by way of another member
	Acknowledges    bool // it shows for the first time something that was sent to the machine
	MissesCommands  bool // it lacks what the answer to an earlier direct heartbeat of the epoch commanded
	NewEpoch        bool // the worker has begun a new epoch
	ZonePartitioned bool // many machines of the zone are silent: a network partition explains gaps
}

// ObserveHeartbeat applies the evidence of a fresh heartbeat that is answered, and reports whether the state has
// changed.
//
// Only answers to direct heartbeats count against a machine, since a relayed one may be answered too late. A worker
// that gets no answer turns to another member, so the heartbeat that shows it is mostly a relayed one.
func (d *Detector) ObserveHeartbeat(now time.Time, evidence Evidence, settings Settings) (changed bool) {
	gap, relayedSince := now.Sub(d.lastDirect), d.relayedSince
	known := !d.lastDirect.IsZero()
	if d.relayedSince = !evidence.Direct; evidence.Direct {
		d.lastDirect = now
	}
	// A lease is longer than the time between two answered heartbeats: at least one of their answers was lost.
	expiredThoughAnswered := evidence.NewEpoch && now.Sub(d.answeredAt[1]) < settings.Lease
	d.answeredAt = [2]time.Time{now, d.answeredAt[0]}
	switch {
	case evidence.Acknowledges:
		return d.ProveAlive(now, "it shows what it was told")
	case expiredThoughAnswered:
		// This counts also during a partition. Otherwise half a zone that receives nothing is taken for cut off, and
		// tasks are placed there again and again.
		d.selfEvident = true
		return d.Probe(now, "its lease has run out although two of its reports were answered")
	case evidence.MissesCommands:
		return d.commandsMissed(now)
	case evidence.NewEpoch && known && gap < settings.Lease+settings.HeartbeatGap && !evidence.ZonePartitioned:
		return d.Probe(now, "its lease has run out although its reports were answered")
	case known && !relayedSince && gap >= settings.HeartbeatGap && gap < settings.Lease && !evidence.ZonePartitioned:
		return d.Probe(now, "it seems to have waited for an answer in vain")
	case !evidence.NewEpoch && d.State == Suspect && d.epochOutlivesSuspicion(now, settings.Lease):
		return d.ProveAlive(now, "its session has outlived the doubt by a lease")
	}
	if evidence.Direct {
		d.unacknowledged = 0
	}
	return false
}

// commandsMissed records that a machine did not carry out the commands of an answer.
func (d *Detector) commandsMissed(now time.Time) bool {
	if d.unacknowledged++; d.unacknowledged >= maxUnacknowledged {
		return d.State <= Probing && d.transition(now, Suspect, "it does not do what it is told")
	}
	return d.Probe(now, "it lacks what it was told")
}

// epochOutlivesSuspicion reports that the epoch lasts for longer than a lease after the suspicion began: an answer has
// reached the worker since.
func (d *Detector) epochOutlivesSuspicion(now time.Time, lease time.Duration) bool {
	return now.Sub(d.Since) > lease+lease/epochMarginDivisor
}

// ProbeTimedOut records that a probe was not answered.
func (d *Detector) ProbeTimedOut(now time.Time) bool {
	return d.State == Probing && d.transition(now, Suspect, d.Reason+", and it does not answer")
}

// CheckTimeout fails a machine that has been a suspect for too long, and reports whether the state has changed.
// running says that something is known to run on the machine: that goes on until the worker's lease has expired, and
// the machine is not replaced before.
func (d *Detector) CheckTimeout(now time.Time, running bool, settings Settings) bool {
	suspected := now.Sub(d.Since)
	if d.State != Suspect || suspected < settings.ReplaceAfter || running && suspected < settings.Lease {
		return false
	}
	return d.transition(now, Failed, d.Reason)
}
