package controller

import (
	"sync/atomic"
	"time"
)

// leaderTimeout is how long a leader may send nothing before this controller counts it as unreachable.
const leaderTimeout = 3 * time.Second

// leaderView is what this member knows of who leads. The event loop writes name and since, the connections
// of other members write contact, and everybody reads.
type leaderView struct {
	name    atomic.Pointer[string]    // nil until the election has first stepped; empty: nobody is known to lead
	since   atomic.Pointer[time.Time] // when the present leader became known
	contact atomic.Pointer[leaderContact]
}

// leaderContact is the last message of a leader to this member.
type leaderContact struct {
	leader  string
	at      time.Time
	onVotes bool // the leader's lease at the state service had expired
}

// current returns the leader's name; empty: unknown.
func (v *leaderView) current() string {
	if name := v.name.Load(); name != nil {
		return *name
	}
	return ""
}

// update records the leader that the election knows, and reports whether it has changed.
func (v *leaderView) update(now time.Time, leader string) bool {
	if old := v.name.Swap(&leader); old != nil && *old == leader {
		return false
	}
	v.since.Store(&now)
	return true
}

// observe records a message of a leader.
func (v *leaderView) observe(leader string, now time.Time, onVotes bool) {
	v.contact.Store(&leaderContact{leader: leader, at: now, onVotes: onVotes})
}

// contactedRecently reports whether the given leader has sent a message within leaderTimeout.
func (v *leaderView) contactedRecently(leader string, now time.Time) bool {
	contact := v.contact.Load()
	return contact != nil && contact.leader == leader && now.Sub(contact.at) < leaderTimeout
}

// redirectTarget returns the leader that a worker is to be sent to; empty: none. A leader that this member
// does not reach is likely out of reach of workers nearby too: they had better try another member, which
// may relay their heartbeats. One that has just become known has had no time to send anything yet.
func (v *leaderView) redirectTarget(leader string, now time.Time) string {
	since := v.since.Load()
	if since == nil || now.Sub(*since) < leaderTimeout || v.contactedRecently(leader, now) {
		return leader
	}
	return ""
}
