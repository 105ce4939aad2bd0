package liveness

import "time"

// State is whether a machine hears the leader.
type State uint8

// The states of a machine's hearing.
const (
	Hears    State = iota // nothing is known against it
	Asked                 // something does not fit: it is asked
	Doubtful              // it has not answered, or does not do what it is told: nothing is placed on it
	Deaf                  // that has lasted: it is to be replaced
)

func (s State) String() string { return [...]string{"hears", "asked", "doubtful", "deaf"}[s] }

// Settings are the times that hearing goes by.
type Settings struct {
	Lease   time.Duration // of the workers
	Gap     time.Duration // between two reports that shows that its worker has waited for an answer in vain
	Replace time.Duration // a doubtful machine on which nothing is known to run is deaf after this
}

// Detector is a failure detector: what a leader knows of whether a machine hears it. Evidence goes in, in
// any order; a proof ends every doubt.
type Detector struct {
	State State
	Since time.Time
	Why   string

	straight time.Time    // when the last report came straight from it and was answered
	left     bool         // others came by way of members since
	told     int          // answers in a row that it shows nothing of
	own      bool         // the doubt rests on what it has shown by itself
	answered [2]time.Time // when the last two reports came that were answered, the later one first
}

// to changes the state; it is the only place that does. It tells whether that is new.
func (d *Detector) to(now time.Time, s State, why string) bool {
	if d.State == s {
		return false
	}
	d.State, d.Since, d.Why = s, now, why
	return true
}

// Prove takes a proof that something that was sent lately has reached the machine.
func (d *Detector) Prove(now time.Time, why string) bool {
	d.told, d.own = 0, false
	return d.to(now, Hears, why)
}

// Untold takes that a machine reports, and has not taken the leader's token in more than a lease.
func (d *Detector) Untold(now time.Time) bool {
	d.own = true
	return d.State < Doubtful && d.to(now, Doubtful, "it has not taken this leader's token")
}

// Suspect has it asked whether it hears. Who is in doubt already stays there.
func (d *Detector) Suspect(now time.Time, why string) bool {
	return d.State == Hears && d.to(now, Asked, why)
}

// Sure tells that the doubt rests on what the machine itself has shown, and not on questions alone.
func (d *Detector) Sure() bool { return d.told >= enough || d.own }

// Strange is a machine that nobody here has rented: nothing is placed on it before it has answered.
func (d *Detector) Strange(now time.Time) { d.to(now, Doubtful, "nobody here has rented it") }

// Sign is what a report tells of the machine's hearing.
type Sign struct {
	Straight bool // it came from the machine itself, not by way of another member
	Shows    bool // it shows something that was sent to it, for the first time
	Lacks    bool // it lacks what the answer to an earlier straight one of the session has told
	Session  bool // the worker has begun a new session
	Quiet    bool // many machines of the zone are silent: a cut explains gaps
}

// Heard takes a fresh report that is answered.
//
// Only answers to straight ones tell anything against a machine, since what is handed on may be
// answered too late. A worker that waits for one in vain turns to another member, so the report that tells
// of it mostly comes by way of that one.
func (d *Detector) Heard(now time.Time, s Sign, set Settings) (changed bool) {
	gap, left := now.Sub(d.straight), d.left
	known := !d.straight.IsZero()
	if d.left = !s.Straight; s.Straight {
		d.straight = now
	}
	// A lease is longer than two reports that were answered are apart: at least one of these answers was lost.
	vain := s.Session && now.Sub(d.answered[1]) < set.Lease
	d.answered = [2]time.Time{now, d.answered[0]}
	switch {
	case s.Shows:
		return d.Prove(now, "it shows what it was told")
	case vain:
		// Also while many are silent. Guards against half a zone that hears nothing and is taken for cut off:
		// work was placed there again and again.
		d.own = true
		return d.Suspect(now, "its lease has run out although two of its reports were answered")
	case s.Lacks:
		if d.told++; d.told >= enough {
			return d.State <= Asked && d.to(now, Doubtful, "it does not do what it is told")
		}
		return d.Suspect(now, "it lacks what it was told")
	case s.Session && known && gap < set.Lease+set.Gap && !s.Quiet:
		return d.Suspect(now, "its lease has run out although its reports were answered")
	case known && !left && gap >= set.Gap && gap < set.Lease && !s.Quiet:
		return d.Suspect(now, "it seems to have waited for an answer in vain")
	case !s.Session && d.State == Doubtful && now.Sub(d.Since) > set.Lease+set.Lease/8:
		return d.Prove(now, "its session has outlived the doubt by a lease")
	}
	if s.Straight {
		d.told = 0
	}
	return false
}

// enough is how many answers in a row that have no effect put a machine in doubt without a question.
const enough = 2

// Silent takes that a question was not answered.
func (d *Detector) Silent(now time.Time) bool {
	return d.State == Asked && d.to(now, Doubtful, d.Why+", and it does not answer")
}

// Wait takes that time passes. holding tells whether anything is known to run on it: that goes on
// until the worker's lease has run out, and is not thrown away before.
func (d *Detector) Wait(now time.Time, holding bool, set Settings) bool {
	long := now.Sub(d.Since)
	if d.State != Doubtful || long < set.Replace || holding && long < set.Lease {
		return false
	}
	return d.to(now, Deaf, d.Why)
}
