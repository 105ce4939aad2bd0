package route

import (
	"sync"
	"time"
)

// ReachabilityState is whether a member that lacks the state service reaches anybody.
type ReachabilityState uint8

// The states of a member's company.
const (
	Connected    ReachabilityState = iota // the state service answers it
	ProbingPeers                          // it does not: the other members are asked whether they are there
	Isolated                              // nor do they answer
)

func (s ReachabilityState) String() string { return [...]string{"served", "asking", "alone"}[s] }

const (
	probePeersAfter = time.Second     // without the state service before the others are asked
	isolatedAfter   = 3 * time.Second // without any of them: two questions, and time for a lost packet
)

// PeerReachability tells whether a member is cut off from everybody, the state service and all other members.
// One that only lacks the state service hands users' requests on; one that is alone can do nothing for
// them, and had better not be sent any.
type PeerReachability struct {
	mu          sync.Mutex
	state       ReachabilityState
	lastContact time.Time // the later one of when the others were first asked, and when one has last answered
}

// transition changes the state; it is the only place that does.
func (c *PeerReachability) transition(s ReachabilityState) bool {
	was := c.state
	c.state = s
	return was != s
}

// Evaluate takes for how long the state service has been out of reach. It tells whether the others are
// to be asked now, and whether the state has changed.
func (c *PeerReachability) Evaluate(now time.Time, down time.Duration) (ask, moved bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case down < probePeersAfter:
		return false, c.transition(Connected)
	case c.state == Connected:
		c.lastContact = now
		return true, c.transition(ProbingPeers)
	case c.state == ProbingPeers && now.Sub(c.lastContact) > isolatedAfter:
		return true, c.transition(Isolated)
	}
	return true, false
}

// ObserveContact takes that another member has answered.
func (c *PeerReachability) ObserveContact(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastContact = now; c.state == Isolated {
		c.transition(ProbingPeers)
	}
}

// State tells whether anybody is reached.
func (c *PeerReachability) State() ReachabilityState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}
