package controller

import (
	"sync/atomic"
	"time"
)

// leaderContactTimeout is the time since a leader's last message after which this controller treats the leader
// as unreachable.
const leaderContactTimeout = 3 * time.Second

// leaderView is what this member knows about the current leader. The event loop writes name and changedAt, the
// connections of other members write contact, and any goroutine may read.
type leaderView struct {
	name      atomic.Pointer[string]        // nil before the first step of the election; empty if no leader is known
	changedAt atomic.Pointer[time.Time]     // when name last changed; nil before the first step of the election
	contact   atomic.Pointer[leaderContact] // nil before the first message
}

// leaderContact describes the last message from a leader to this member.
type leaderContact struct {
	leader      string
	at          time.Time
	votesOnly   bool // the leader's lease at the state service had expired, and only votes held its leadership
	memoryShort bool // the leader was under memory pressure
}

// current returns the leader's name, or an empty string if no leader is known.
func (v *leaderView) current() string {
	if name := v.name.Load(); name != nil {
		return *name
	}
	return ""
}

// update records the leader according to the election and reports whether it has changed.
func (v *leaderView) update(now time.Time, leader string) bool {
	if old := v.name.Swap(&leader); old != nil && *old == leader {
		return false
	}
	v.changedAt.Store(&now)
	return true
}

// observe records a message from a leader.
func (v *leaderView) observe(contact leaderContact) { v.contact.Store(&contact) }

// underMemoryPressure reports whether the leader is short of memory, as far as this member knows. Only the leader
// holds the states of all tasks, so its memory may be short while that of every other member is not.
func (v *leaderView) underMemoryPressure(now time.Time) bool {
	contact := v.contact.Load()
	return contact != nil && contact.memoryShort && now.Sub(contact.at) < leaderContactTimeout
}

// contactedRecently reports whether the given leader has sent a message to this member within
// leaderContactTimeout.
func (v *leaderView) contactedRecently(leader string, now time.Time) bool {
	contact := v.contact.Load()
	return contact != nil && contact.leader == leader && now.Sub(contact.at) < leaderContactTimeout
}

// redirectTarget returns the leader that a worker should be redirected to, or an empty string if there is none.
// A leader that this member does not reach is likely unreachable for nearby workers too. Such workers should
// try another member, which may relay their heartbeats. A leader that became known within leaderContactTimeout
// is returned even without a message, because it may not have had time to send one.
func (v *leaderView) redirectTarget(leader string, now time.Time) string {
	since := v.changedAt.Load()
	if since == nil || now.Sub(*since) < leaderContactTimeout || v.contactedRecently(leader, now) {
		return leader
	}
	return ""
}
