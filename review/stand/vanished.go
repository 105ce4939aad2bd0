package main

import (
	"os"
	"time"
)

// vanished: all machines of the deployment are lost at once, some of them spot machines that are taken back. From then
// on the controllers hand the leadership round, and nothing that was accepted runs.
func vanished(rec *recorder, trouble bool) *world {
	w := newWorld(rec, hangula(), []breed{kudu})
	w.cloud.boot = func(breed) time.Duration { return 15 * time.Second }
	for _, zone := range kudu.fields {
		w.cloud.capacity[place("kudu-eight", zone, false)] = 10
		w.cloud.capacity[place("kudu-eight", zone, true)] = 2
	}
	machines := []*machine{w.cloud.initialSpot(0, "windhoek"), w.cloud.initialSpot(0, "walvis"),
		w.cloud.initialSpot(0, "ondangwa"), w.cloud.initialSpot(0, "ondangwa")}
	w.startAll()
	time.Sleep(4 * time.Second) // the machines have reported
	j := &job{id: "wk-000001", class: "reading-lists", owner: "ndapewa-marking", shape: "array", rank: "idle", rows: 16,
		cores: 2, memory: 14, run: 60 * time.Second, mark: 30, store: 4, loaners: true}
	w.submit(j, 0)
	if !waitFor(20*time.Second, func() bool { return w.running(j.id) == j.rows }) {
		cannotRun("the job did not start")
	}
	time.Sleep(3 * time.Second) // the records of the machines are written
	leader, leaders := w.state.leader(), 0
	rec.add("%s leads; all %d tasks run", leader, j.rows)
	asked, starts := w.cloud.asked, w.startsOf(j.id)
	if trouble && os.Getenv("WAVE") == "all" { // not part of the case: one disruption alone, beyond the days' share
		for _, m := range machines {
			w.cloud.take(m)
		}
	} else if trouble {
		w.cloud.take(machines[0])
		w.cloud.take(machines[1])
		w.cloud.die(machines[2])
		w.cloud.die(machines[3])
	}
	const bound = 90 * time.Second
	since := time.Now()
	for next := since; time.Since(since) < bound; time.Sleep(100 * time.Millisecond) {
		if now := w.state.leader(); now != leader && now != "" {
			leader, leaders = now, leaders+1
			rec.add("%s leads now", leader)
		}
		if time.Now().Before(next) {
			continue
		}
		next = next.Add(5 * time.Second)
		status, state := w.poll(j.id, 0)
		w.cloud.mu.Lock()
		requests := w.cloud.asked - asked
		w.cloud.mu.Unlock()
		rec.add("user: GET %s: %d %s; starts since: %d; requests to rent since: %d; changes of leader: %d", j.id, status,
			state, w.startsOf(j.id)-starts, requests, leaders)
		if state == "done" {
			return w
		}
	}
	w.cloud.mu.Lock()
	requests := w.cloud.asked - asked
	w.cloud.mu.Unlock()
	if w.startsOf(j.id) == starts && w.onMachine(j.id) == 0 {
		w.breakRule("must_run: in 90 s no task of %s was started again and %d machines were asked for, while the leader "+
			"changed %d times", j.id, requests, leaders)
	}
	return w
}
