package main

import (
	"strings"
	"time"

	"review/internal/wire"
)

// cancelled: the leader loses the state service and the other controllers, a user cancels a job through one of these,
// and the leader goes on starting its tasks.
func cancelled(rec *recorder, trouble bool) *world {
	w := newWorld(rec, hangula(), []breed{kudu})
	for _, zone := range kudu.fields {
		w.cloud.initial(0, zone)
	}
	w.startAll()
	j := markingRuns("wk-000001", "ndapewa-marking", 45, "", 2*time.Second)
	w.submit(j, 0)
	if !waitFor(30*time.Second, func() bool { return w.startsOf(j.id) >= 9 }) {
		cannotRun("the job did not start")
	}
	leader := w.index(w.state.leader())
	if leader < 0 {
		cannotRun("nobody leads")
	}
	c := w.ctl[leader]
	if trouble {
		rec.add("trouble: %s leads, and loses the state service and the other controllers", c.name)
		c.state.setCut(true)
		for _, p := range c.peers {
			p.setCut(true)
		}
	}
	status, state := 0, ""
	for n := (leader + 1) % 3; status != 200; n = 3 - leader - n {
		if status, state = w.withdraw(j.id, n); status != 200 {
			time.Sleep(time.Second)
		}
	}
	if state != wire.Withdrawn {
		cannotRun("the job was done already")
	}
	told := time.Now()
	rec.add("the user was told that %s is cancelled", j.id)
	// A start command may have been in flight. Nothing is delayed here, so it arrives at once; a second is allowed.
	const inFlight = time.Second
	atBound := 0
	for time.Since(told) < 20*time.Second {
		time.Sleep(20 * time.Millisecond)
		n := w.startsOf(j.id)
		if time.Since(told) < inFlight {
			atBound = n
		} else if n > atBound {
			w.breakRule("started_cancelled: a task of %s was started %.1f s after its user was told that it is cancelled",
				j.id, time.Since(told).Seconds())
			atBound = n
		}
	}
	if trouble {
		c.state.setCut(false)
		for _, p := range c.peers {
			p.setCut(false)
		}
		rec.add("trouble over")
	}
	_, state = w.poll(j.id, leader)
	rec.add("user: GET %s at %s: %s; its tasks on machines: %d; leader: %s", j.id, c.name, state, w.onMachine(j.id),
		strings.TrimSpace(w.state.leader()))
	return w
}
