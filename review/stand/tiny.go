package main

import (
	"strings"
	"time"

	"review/internal/wire"
)

// tiny: an array of many small tasks fills a machine until its worker's reports are larger than the controllers accept.
func tiny(rec *recorder, trouble bool) *world {
	d := hangula()
	d.zones = []string{"main-hall"}
	d.report, d.lease, d.cancel, d.gangWait, d.gangPeer = 3, 24, 44, 35, 5
	d.rps, d.writeRPS, d.valueKB, d.cloudRPS, d.listLag = 150, 60, 16, 1.5, 10
	d.teams = `
[[deployment.teams]]
name = "furrow-core-1"
cpus = 86.0
cpus_max = 2500.0
gpus = 8.0
gpus_max = 24.0

[[deployment.teams]]
name = "agri-lab"
cpus = 0.0
cpus_max = 2500.0
gpus = 0.0
gpus_max = 0.0
`
	combine := breed{label: "combine-gpu", cores: 96, cards: 8, memory: 384, price: 28.49, low: 9.02, startup: 60,
		fields: []string{"main-hall"}}
	w := newWorld(rec, d, []breed{combine})
	for _, c := range w.ctl {
		c.zone = "main-hall"
	}
	w.cloud.boot = func(breed) time.Duration { return 2 * time.Second } // "at times machines are up within a second or two"
	w.cloud.capacity[place("combine-gpu", "main-hall", false)] = 1
	w.cloud.initial(0, "main-hall")
	w.startAll()
	gateway := &job{id: "wk-000001", class: "fleet-gateway", owner: "furrow-core-1", shape: wire.Daemon, rank: "critical",
		rows: 1, cores: 2, memory: 5.6}
	w.submit(gateway, 0)
	if !waitFor(20*time.Second, func() bool { return w.running(gateway.id) == 1 }) {
		cannotRun("the service did not start")
	}
	cores, rows := 0.25, 360 // the size of the guest team's class
	if trouble {
		rec.add("trouble: a guest team's massive array, of smaller tasks")
		cores, rows = 0.05, 1800
	}
	j := &job{id: "wk-000002", class: "harvest-atlas", owner: "agri-lab", shape: "array", rank: "idle", rows: rows,
		cores: cores, memory: cores * 3.6, run: 50 * time.Second}
	w.submit(j, 1)
	for end := time.Now().Add(100 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Second) {
		status, state := w.poll(j.id, 2)
		w.mu.Lock()
		k, done := w.workers[len(w.workers)-1], len(w.done)
		w.mu.Unlock()
		k.mu.Lock()
		tasks := len(k.tasks)
		k.mu.Unlock()
		rec.add("user: GET %s: %d %s; %d of its tasks are done; %s lists %d tasks; replicas of %s that run: %d",
			j.id, status, state, done, k.m.name, tasks, gateway.id, w.running(gateway.id))
		if state == "done" {
			break
		}
	}
	w.mu.Lock()
	lost, done := w.starts[gateway.id]-1, len(w.done)
	refused := w.refused
	w.mu.Unlock()
	rec.add("reports that a controller answered with 400: %d; the replica was lost %d times", refused, lost)
	if refused > 0 && lost >= 2 && done == 0 {
		w.breakRule("must_run: after 100 s none of the %d tasks of %s is done, and %s lost its replica %d times, on "+
			"machines that work: the controllers refused %d reports", rows, j.id, gateway.id, lost, refused)
	}
	return w
}

// refusedReport notes a report that a controller has answered with 400.
func (w *world) refusedReport(k *worker, node, size int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.refused++; w.refused <= 20 {
		w.rec.add("worker %s: its report of %d bytes got 400 from %s", k.m.name, size, strings.TrimSpace(w.ctl[node].name))
	}
}
