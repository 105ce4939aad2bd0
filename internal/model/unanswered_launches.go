package model

// UnansweredLaunches counts, by attempt, the launches that were sent directly to
// a worker and not answered. Each may still arrive, however late, as long as the
// worker's epoch and its fencing token are the same. Every copy counts by itself:
// an answer to one says nothing of another that the network delays, and which
// would start the task a second time once the attempt is forgotten
// (docs/safety.md, "Delayed launches").
//
// They belong to the worker's epoch and not to the attempt, so they outlive an
// attempt that the leader no longer knows.
type UnansweredLaunches struct {
	counts map[AttemptKey]int
}

// Add counts a copy of an attempt's launch that is about to be sent.
func (u *UnansweredLaunches) Add(key AttemptKey) {
	if u.counts == nil {
		u.counts = map[AttemptKey]int{}
	}
	u.counts[key]++
}

// Remove takes off a copy that was answered, or certainly never arrives.
func (u *UnansweredLaunches) Remove(key AttemptKey) {
	switch n := u.counts[key]; {
	case n > 1:
		u.counts[key] = n - 1
	case n == 1:
		delete(u.counts, key)
	}
}

// MayArrive reports whether a copy of an attempt's launch may still arrive.
func (u *UnansweredLaunches) MayArrive(key AttemptKey) bool { return u.counts[key] > 0 }

// Len is the number of attempts of which copies may still arrive. The worker
// lists these in its heartbeats until its epoch ends.
func (u *UnansweredLaunches) Len() int { return len(u.counts) }

// Clear removes all copies: the worker's epoch is over, and none can be executed.
func (u *UnansweredLaunches) Clear() { u.counts = nil }
