package reconciler

import "time"

// commitRetryDelay is the pause after a transaction that was not carried out, or not answered.
const commitRetryDelay = 300 * time.Millisecond

// fenceCompleted takes what became of a fence. A transaction that was not answered may be carried out late, after
// newer ones. So before the next one a fence is asked for: the token's record is written anew, with the
// same content, and what was sent under its former version fails from then on. Guards against finished
// tasks that a late copy of an older record makes unfinished, and machines that it brings back to the
// records: docs/safety.md, "Late transactions".
func (c *Core) fenceCompleted(now time.Time, ev FenceCompleted) {
	c.commitInFlight = false
	if ev.Outcome == OK {
		c.fenceNeeded = false
		return
	}
	c.commitAt = now.Add(commitRetryDelay)
}
