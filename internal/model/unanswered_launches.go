package model

// UnansweredLaunches counts, by attempt, the launches that were sent straight to a worker and were
// not answered: each may still arrive, however late, as long as the worker's session and
// its token are what they were. Each copy counts by itself. Guards against an answer to
// one copy that is taken for the end of all: the row was forgotten, and the first copy,
// which the network had held, started the task a second time (docs/safety.md, "Late
// launches").
//
// They belong to the worker's session and not to the attempt, so that they outlive an
// attempt that the leader has lost sight of.
type UnansweredLaunches struct {
	counts map[AttemptKey]int
}

// Add notes that a copy of an attempt's launch leaves.
func (c *UnansweredLaunches) Add(k AttemptKey) {
	if c.counts == nil {
		c.counts = map[AttemptKey]int{}
	}
	c.counts[k]++
}

// Remove notes that a copy was answered, or will certainly never arrive.
func (c *UnansweredLaunches) Remove(k AttemptKey) {
	switch n := c.counts[k]; {
	case n > 1:
		c.counts[k] = n - 1
	case n == 1:
		delete(c.counts, k)
	}
}

// MayArrive tells whether a copy of an attempt's launch may still arrive.
func (c *UnansweredLaunches) MayArrive(k AttemptKey) bool { return c.counts[k] > 0 }

// Len is of how many attempts copies may still arrive. The worker keeps the rows of
// these in its reports until its session ends.
func (c *UnansweredLaunches) Len() int { return len(c.counts) }

// Clear notes that no copy can be carried out any more: the worker's session is over.
func (c *UnansweredLaunches) Clear() { c.counts = nil }
