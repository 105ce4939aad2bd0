package model

// Copies counts, by attempt, the launches that were sent straight to a worker and were
// not answered: each may still arrive, however late, as long as the worker's session and
// its token are what they were. Each copy counts by itself. Guards against an answer to
// one copy that is taken for the end of all: the row was forgotten, and the first copy,
// which the network had held, started the task a second time (docs/safety.md, "Late
// launches").
//
// They belong to the worker's session and not to the attempt, so that they outlive an
// attempt that the leader has lost sight of.
type Copies struct {
	out map[AttemptKey]int
}

// Send notes that a copy of an attempt's launch leaves.
func (c *Copies) Send(k AttemptKey) {
	if c.out == nil {
		c.out = map[AttemptKey]int{}
	}
	c.out[k]++
}

// Land notes that a copy was answered, or will certainly never arrive.
func (c *Copies) Land(k AttemptKey) {
	switch n := c.out[k]; {
	case n > 1:
		c.out[k] = n - 1
	case n == 1:
		delete(c.out, k)
	}
}

// Out tells whether a copy of an attempt's launch may still arrive.
func (c *Copies) Out(k AttemptKey) bool { return c.out[k] > 0 }

// Attempts is of how many attempts copies may still arrive. The worker keeps the rows of
// these in its reports until its session ends.
func (c *Copies) Attempts() int { return len(c.out) }

// Void notes that no copy can be carried out any more: the worker's session is over.
func (c *Copies) Void() { c.out = nil }
