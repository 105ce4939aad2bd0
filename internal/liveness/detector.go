package liveness

import "time"

// State is whether a machine hears the leader.
type State uint8

// The states of a machine's hearing.
const (
	Alive   State = iota // nothing is known against it
	Probing              // something does not fit: it is asked
	Suspect              // it has not answered, or does not do what it is told: nothing is placed on it
	Failed               // that has lasted: it is to be replaced
)

func (s State) String() string { return [...]string{"alive", "probing", "suspect", "failed"}[s] }

// Settings are the times that hearing goes by.
type Settings struct {
	Lease        time.Duration // of the workers
	HeartbeatGap time.Duration // between two reports that shows that its worker has waited for an answer in vain
	ReplaceAfter time.Duration // a doubtful machine on which nothing is known to run is deaf after this
}

// Detector is a failure detector: what a leader knows of whether a machine hears it. Evidence goes in, in
// any order; a proof ends every doubt.
type Detector struct {
	State  State
	Since  time.Time
	Reason string

	lastDirect     time.Time    // when the last report came straight from it and was answered
	relayedSince   bool         // others came by way of members since
	unacknowledged int          // answers in a row that it shows nothing of
	selfEvident    bool         // the doubt rests on what it has shown by itself
	answeredAt     [2]time.Time // when the last two reports came that were answered, the later one first
}

// transition changes the state; it is the only place that does. It tells whether that is new.
func (d *Detector) transition(now time.Time, s State, why string) bool {
	if d.State == s {
		return false
	}
	d.State, d.Since, d.Reason = s, now, why
	return true
}

// ProveAlive takes a proof that something that was sent lately has reached the machine.
func (d *Detector) ProveAlive(now time.Time, why string) bool {
	d.unacknowledged, d.selfEvident = 0, false
	return d.transition(now, Alive, why)
}

// TokenNotTaken takes that a machine reports, and has not taken the leader's token in more than a lease.
func (d *Detector) TokenNotTaken(now time.Time) bool {
	d.selfEvident = true
	return d.State < Suspect && d.transition(now, Suspect, "it has not taken this leader's token")
}

// Probe has it asked whether it hears. Who is in doubt already stays there.
func (d *Detector) Probe(now time.Time, why string) bool {
	return d.State == Alive && d.transition(now, Probing, why)
}

// Conclusive tells that the doubt rests on what the machine itself has shown, and not on questions alone.
func (d *Detector) Conclusive() bool { return d.unacknowledged >= maxUnacknowledged || d.selfEvident }

// MarkUnexpected is a machine that nobody here has rented: nothing is placed on it before it has answered.
func (d *Detector) MarkUnexpected(now time.Time) {
	d.transition(now, Suspect, "nobody here has rented it")
}

// Evidence is what a report tells of the machine's hearing.
type Evidence struct {
	Direct          bool // it came from the machine itself, not by way of another member
	Acknowledges    bool // it shows something that was sent to it, for the first time
	MissesCommands  bool // it lacks what the answer to an earlier straight one of the session has told
	NewEpoch        bool // the worker has begun a new session
	ZonePartitioned bool // many machines of the zone are silent: a cut explains gaps
}

// ObserveHeartbeat takes a fresh report that is answered.
//
// Only answers to straight ones tell anything against a machine, since what is handed on may be
// answered too late. A worker that waits for one in vain turns to another member, so the report that tells
// of it mostly comes by way of that one.
func (d *Detector) ObserveHeartbeat(now time.Time, s Evidence, set Settings) (changed bool) {
	gap, left := now.Sub(d.lastDirect), d.relayedSince
	known := !d.lastDirect.IsZero()
	if d.relayedSince = !s.Direct; s.Direct {
		d.lastDirect = now
	}
	// A lease is longer than two reports that were answered are apart: at least one of these answers was lost.
	vain := s.NewEpoch && now.Sub(d.answeredAt[1]) < set.Lease
	d.answeredAt = [2]time.Time{now, d.answeredAt[0]}
	switch {
	case s.Acknowledges:
		return d.ProveAlive(now, "it shows what it was told")
	case vain:
		// Also while many are silent. Guards against half a zone that hears nothing and is taken for cut off:
		// work was placed there again and again.
		d.selfEvident = true
		return d.Probe(now, "its lease has run out although two of its reports were answered")
	case s.MissesCommands:
		if d.unacknowledged++; d.unacknowledged >= maxUnacknowledged {
			return d.State <= Probing && d.transition(now, Suspect, "it does not do what it is told")
		}
		return d.Probe(now, "it lacks what it was told")
	case s.NewEpoch && known && gap < set.Lease+set.HeartbeatGap && !s.ZonePartitioned:
		return d.Probe(now, "its lease has run out although its reports were answered")
	case known && !left && gap >= set.HeartbeatGap && gap < set.Lease && !s.ZonePartitioned:
		return d.Probe(now, "it seems to have waited for an answer in vain")
	case !s.NewEpoch && d.State == Suspect && now.Sub(d.Since) > set.Lease+set.Lease/8:
		return d.ProveAlive(now, "its session has outlived the doubt by a lease")
	}
	if s.Direct {
		d.unacknowledged = 0
	}
	return false
}

// maxUnacknowledged is how many answers in a row that have no effect put a machine in doubt without a question.
const maxUnacknowledged = 2

// ProbeTimedOut takes that a question was not answered.
func (d *Detector) ProbeTimedOut(now time.Time) bool {
	return d.State == Probing && d.transition(now, Suspect, d.Reason+", and it does not answer")
}

// CheckTimeout takes that time passes. holding tells whether anything is known to run on it: that goes on
// until the worker's lease has run out, and is not thrown away before.
func (d *Detector) CheckTimeout(now time.Time, holding bool, set Settings) bool {
	long := now.Sub(d.Since)
	if d.State != Suspect || long < set.ReplaceAfter || holding && long < set.Lease {
		return false
	}
	return d.transition(now, Failed, d.Reason)
}
