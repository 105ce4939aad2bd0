package electionsim

import (
	"fmt"
	"time"
)

// checkTimes are when the invariants are checked after each step: at once, and twice before the next one.
var checkTimes = []time.Duration{0, 350 * time.Millisecond, 900 * time.Millisecond}

// checkOutcome is what check found in one state.
type checkOutcome struct {
	acting    bool   // a member may act
	byVotes   bool   // one may although its lease at the state service may have expired
	violation string // the invariant that does not hold; empty: all hold
}

// check checks which members may act, now and until the next step: at most one, with the highest fencing token
// so far and under the feature level in force.
func (c *cluster) check() checkOutcome {
	var outcome checkOutcome
	for _, after := range checkTimes {
		now, acting := c.now.Add(after), 0
		for i := range c.members {
			m := &c.members[i]
			if !m.up || !m.machine.LeadershipValid(now) {
				continue
			}
			acting++
			if violation := c.checkLeader(i); violation != "" {
				return checkOutcome{acting: true, violation: violation}
			}
			c.highestToken = m.machine.FencingToken()
			outcome.byVotes = outcome.byVotes || !now.Before(m.machine.LeaseValidUntil())
		}
		outcome.acting = outcome.acting || acting > 0
		if acting > 1 {
			outcome.violation = fmt.Sprintf("%d members may act", acting)
			return outcome
		}
	}
	return outcome
}

// checkLeader checks the feature level and the fencing token of a member that may act, and returns what does
// not hold.
func (c *cluster) checkLeader(i int) string {
	m, name, level := &c.members[i], memberNames[i], c.state.level
	switch {
	case !c.settings.FeatureGates:
	case m.withoutFeatureGates && level > 0:
		return fmt.Sprintf("%s may act under level %d with a program from before levels", name, level)
	case !m.withoutFeatureGates && m.machine.Level() != level:
		return fmt.Sprintf("%s may act by level %d, in force is %d", name, m.machine.Level(), level)
	}
	if token := m.machine.FencingToken(); token < c.highestToken {
		return fmt.Sprintf("%s may act with token %d, after %d", name, token, c.highestToken)
	}
	return ""
}
