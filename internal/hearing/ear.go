package hearing

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

// Ear is what a leader knows of whether a machine hears it. Evidence goes in, in any order; a proof
// ends every doubt.
type Ear struct {
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
func (e *Ear) to(now time.Time, s State, why string) bool {
	if e.State == s {
		return false
	}
	e.State, e.Since, e.Why = s, now, why
	return true
}

// Prove takes a proof that something that was sent lately has reached the machine.
func (e *Ear) Prove(now time.Time, why string) bool {
	e.told, e.own = 0, false
	return e.to(now, Hears, why)
}

// Untold takes that a machine reports, and has not taken the leader's token in more than a lease.
func (e *Ear) Untold(now time.Time) bool {
	e.own = true
	return e.State < Doubtful && e.to(now, Doubtful, "it has not taken this leader's token")
}

// Suspect has it asked whether it hears. Who is in doubt already stays there.
func (e *Ear) Suspect(now time.Time, why string) bool {
	return e.State == Hears && e.to(now, Asked, why)
}

// Sure tells that the doubt rests on what the machine itself has shown, and not on questions alone.
func (e *Ear) Sure() bool { return e.told >= enough || e.own }

// Strange is a machine that nobody here has rented: nothing is placed on it before it has answered.
func (e *Ear) Strange(now time.Time) { e.to(now, Doubtful, "nobody here has rented it") }

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
func (e *Ear) Heard(now time.Time, s Sign, set Settings) (changed bool) {
	gap, left := now.Sub(e.straight), e.left
	known := !e.straight.IsZero()
	if e.left = !s.Straight; s.Straight {
		e.straight = now
	}
	// A lease is longer than two reports that were answered are apart: at least one of these answers was lost.
	vain := s.Session && now.Sub(e.answered[1]) < set.Lease
	e.answered = [2]time.Time{now, e.answered[0]}
	switch {
	case s.Shows:
		return e.Prove(now, "it shows what it was told")
	case vain:
		// Also while many are silent. Guards against half a zone that hears nothing and is taken for cut off:
		// work was placed there again and again.
		e.own = true
		return e.Suspect(now, "its lease has run out although two of its reports were answered")
	case s.Lacks:
		if e.told++; e.told >= enough {
			return e.State <= Asked && e.to(now, Doubtful, "it does not do what it is told")
		}
		return e.Suspect(now, "it lacks what it was told")
	case s.Session && known && gap < set.Lease+set.Gap && !s.Quiet:
		return e.Suspect(now, "its lease has run out although its reports were answered")
	case known && !left && gap >= set.Gap && gap < set.Lease && !s.Quiet:
		return e.Suspect(now, "it seems to have waited for an answer in vain")
	case !s.Session && e.State == Doubtful && now.Sub(e.Since) > set.Lease+set.Lease/8:
		return e.Prove(now, "its session has outlived the doubt by a lease")
	}
	if s.Straight {
		e.told = 0
	}
	return false
}

// enough is how many answers in a row that have no effect put a machine in doubt without a question.
const enough = 2

// Silent takes that a question was not answered.
func (e *Ear) Silent(now time.Time) bool {
	return e.State == Asked && e.to(now, Doubtful, e.Why+", and it does not answer")
}

// Wait takes that time passes. holding tells whether anything is known to run on it: that goes on
// until the worker's lease has run out, and is not thrown away before.
func (e *Ear) Wait(now time.Time, holding bool, set Settings) bool {
	long := now.Sub(e.Since)
	if e.State != Doubtful || long < set.Replace || holding && long < set.Lease {
		return false
	}
	return e.to(now, Deaf, e.Why)
}
