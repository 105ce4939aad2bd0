package model

// UnansweredLaunches counts the launch commands that were sent directly to a worker and have not been answered. Such
// a command may still arrive, with any delay, as long as the worker has the same epoch and fencing token.
//
// All copies of an attempt's launch are counted: the answer to one copy does not show whether another one is delayed
// in the network. A delayed copy would start the task again if the worker had already forgotten the attempt
// (docs/safety.md, "Delayed launches").
//
// The counts belong to the worker's epoch and not to the attempts. They are kept if the leader drops an attempt.
type UnansweredLaunches struct {
	counts map[AttemptKey]int // number of unanswered copies; an attempt without any has no entry
}

// Add records that a copy of an attempt's launch is about to be sent.
func (u *UnansweredLaunches) Add(key AttemptKey) {
	if u.counts == nil {
		u.counts = map[AttemptKey]int{}
	}
	u.counts[key]++
}

// Remove records that one copy of an attempt's launch was answered or certainly will not arrive. It has no effect if
// the attempt has no unanswered copies.
func (u *UnansweredLaunches) Remove(key AttemptKey) {
	switch count := u.counts[key]; {
	case count > 1:
		u.counts[key] = count - 1
	case count == 1:
		delete(u.counts, key)
	}
}

// MayArrive reports whether any copy of an attempt's launch may still arrive.
func (u *UnansweredLaunches) MayArrive(key AttemptKey) bool { return u.counts[key] > 0 }

// Len returns the number of attempts with unanswered copies. The worker has to list these attempts in its heartbeats
// until its epoch ends.
func (u *UnansweredLaunches) Len() int { return len(u.counts) }

// Clear removes all copies. It is called when the worker's epoch has ended, since the worker refuses commands of an
// earlier epoch.
func (u *UnansweredLaunches) Clear() { u.counts = nil }
