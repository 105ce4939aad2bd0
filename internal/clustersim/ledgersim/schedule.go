package ledgersim

import (
	"slices"
	"sort"
	"time"
)

// action happens at a time.
type action struct {
	at time.Time
	do func()
}

// schedule is a list of actions to come, in the order of their times.
type schedule []action

// append adds an action out of order; sort has to follow.
func (s *schedule) append(at time.Time, do func()) { *s = append(*s, action{at, do}) }

// sort orders the actions by time. Those of one time keep their order.
func (s schedule) sort() {
	sort.SliceStable(s, func(i, j int) bool { return s[i].at.Before(s[j].at) })
}

// insert adds an action after those of the same time.
func (s *schedule) insert(at time.Time, do func()) {
	i := sort.Search(len(*s), func(i int) bool { return (*s)[i].at.After(at) })
	*s = slices.Insert(*s, i, action{at, do})
}

// runDue takes out and performs the actions that are due, those they add included.
func (s *schedule) runDue(now time.Time) {
	for len(*s) > 0 && !(*s)[0].at.After(now) {
		due := (*s)[0]
		*s = (*s)[1:]
		due.do()
	}
}

// dropAfter drops the actions after a time.
func (s *schedule) dropAfter(end time.Time) {
	*s = slices.DeleteFunc(*s, func(a action) bool { return a.at.After(end) })
}
