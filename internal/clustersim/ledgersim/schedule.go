package ledgersim

import (
	"slices"
	"sort"
	"time"
)

// action is a function to call at a simulated time.
type action struct {
	at  time.Time
	run func()
}

// schedule is a list of future actions, ordered by time.
type schedule []action

// append adds an action at the end, regardless of its time. The caller must call sort before insert or runDue.
func (s *schedule) append(at time.Time, run func()) { *s = append(*s, action{at, run}) }

// sort orders the actions by time. Actions for the same time keep their order.
func (s schedule) sort() {
	sort.SliceStable(s, func(i, j int) bool { return s[i].at.Before(s[j].at) })
}

// insert adds an action to a sorted schedule, after all actions for the same time.
func (s *schedule) insert(at time.Time, run func()) {
	i := sort.Search(len(*s), func(i int) bool { return (*s)[i].at.After(at) })
	*s = slices.Insert(*s, i, action{at, run})
}

// runDue removes and runs the actions that are due, including due actions that these add.
func (s *schedule) runDue(now time.Time) {
	for len(*s) > 0 && !(*s)[0].at.After(now) {
		due := (*s)[0]
		*s = (*s)[1:]
		due.run()
	}
}

// dropAfter removes the actions that are scheduled after a time.
func (s *schedule) dropAfter(end time.Time) {
	*s = slices.DeleteFunc(*s, func(a action) bool { return a.at.After(end) })
}
