package electionsim

import (
	"fmt"
	"time"
)

// checkOffsets are the times after each step at which the invariants are checked: immediately, and twice before the
// next step.
var checkOffsets = []time.Duration{0, 350 * time.Millisecond, 900 * time.Millisecond}

// checkOutcome is the result of checkInvariants for one state.
type checkOutcome struct {
	hasLeader        bool   // at least one member may act as leader
	hasLeaderByVotes bool   // a member may act by votes alone, after its lease may have expired
	violation        string // describes the violated invariant; empty if all invariants hold
}

// checkInvariants checks, for the present moment and until the next step, that at most one member may act as leader,
// that it holds the highest fencing token so far, and that it supports and follows the feature level in force.
func (c *cluster) checkInvariants() checkOutcome {
	var outcome checkOutcome
	for _, offset := range checkOffsets {
		now, leaders := c.now.Add(offset), 0
		for i := range c.members {
			m := &c.members[i]
			if !m.up || !m.stateMachine.LeadershipValid(now) {
				continue
			}
			leaders++
			if violation := c.checkLeader(i); violation != "" {
				return checkOutcome{hasLeader: true, violation: violation}
			}
			c.highestToken = m.stateMachine.FencingToken()
			outcome.hasLeaderByVotes = outcome.hasLeaderByVotes || !now.Before(m.stateMachine.LeaseValidUntil())
		}
		outcome.hasLeader = outcome.hasLeader || leaders > 0
		if leaders > 1 {
			outcome.violation = fmt.Sprintf("%d members may act", leaders)
			return outcome
		}
	}
	return outcome
}

// checkLeader checks the feature level and the fencing token of a member that may act as leader. It returns a
// description of the violation, or an empty string if there is none.
func (c *cluster) checkLeader(i int) string {
	m, name, level := &c.members[i], memberNames[i], c.stateService.level
	switch {
	case !c.settings.FeatureGates:
	case m.withoutFeatureGates && level > 0:
		return fmt.Sprintf("%s may act under level %d with a program from before levels", name, level)
	case !m.withoutFeatureGates && m.stateMachine.Level() != level:
		return fmt.Sprintf("%s may act by level %d, in force is %d", name, m.stateMachine.Level(), level)
	}
	if token := m.stateMachine.FencingToken(); token < c.highestToken {
		return fmt.Sprintf("%s may act with token %d, after %d", name, token, c.highestToken)
	}
	return ""
}
