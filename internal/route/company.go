package route

import (
	"sync"
	"time"
)

// CompanyState is whether a member that lacks the state service reaches anybody.
type CompanyState uint8

// The states of a member's company.
const (
	Served CompanyState = iota // the state service answers it
	Asking                     // it does not: the other members are asked whether they are there
	Alone                      // nor do they answer
)

func (s CompanyState) String() string { return [...]string{"served", "asking", "alone"}[s] }

const (
	lonely = time.Second     // without the state service before the others are asked
	alone  = 3 * time.Second // without any of them: two questions, and time for a lost packet
)

// Company tells whether a member is cut off from everybody, the state service and all other members.
// One that only lacks the state service hands users' requests on; one that is alone can do nothing for
// them, and had better not be sent any.
type Company struct {
	mu    sync.Mutex
	state CompanyState
	since time.Time // the later one of when the others were first asked, and when one has last answered
}

// to changes the state; it is the only place that does.
func (c *Company) to(s CompanyState) bool {
	was := c.state
	c.state = s
	return was != s
}

// Look takes for how long the state service has been out of reach. It tells whether the others are
// to be asked now, and whether the state has changed.
func (c *Company) Look(now time.Time, down time.Duration) (ask, moved bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case down < lonely:
		return false, c.to(Served)
	case c.state == Served:
		c.since = now
		return true, c.to(Asking)
	case c.state == Asking && now.Sub(c.since) > alone:
		return true, c.to(Alone)
	}
	return true, false
}

// Met takes that another member has answered.
func (c *Company) Met(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.since = now; c.state == Alone {
		c.to(Asking)
	}
}

// State tells whether anybody is reached.
func (c *Company) State() CompanyState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}
