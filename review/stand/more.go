package main

import (
	"time"

	"review/internal/wire"
)

// gpuRoom: a small task waits beside a machine with room that is kept for GPU work, while its own type is sold out.
func gpuRoom(rec *recorder, trouble bool) *world {
	d := hangula()
	d.zones = []string{"main-hall"}
	d.teams = `
[[deployment.teams]]
name = "furrow-core-1"
cpus = 86.0
cpus_max = 2500.0
gpus = 8.0
gpus_max = 24.0
`
	hall := []string{"main-hall"}
	w := newWorld(rec, d, []breed{
		{label: "combine-gpu", cores: 96, cards: 8, memory: 384, price: 28.49, low: 9.02, startup: 60, fields: hall},
		{label: "sprout-four", cores: 4, memory: 16, price: 0.17, low: 0.05, startup: 2, fields: hall},
	})
	if !trouble {
		w.cloud.capacity[place("sprout-four", "main-hall", false)] = 1
	}
	w.cloud.initial(0, "main-hall")
	w.startAll()
	w.submit(&job{id: "wk-000001", class: "yield-train", owner: "furrow-core-1", shape: wire.Ensemble, rank: "urgent", rows: 1,
		cores: 86, cards: 8, memory: 310, run: 200 * time.Second, mark: 30, store: 4}, 0)
	if !waitFor(20*time.Second, func() bool { return w.running("wk-000001") == 1 }) {
		cannotRun("the gang did not start")
	}
	j := &job{id: "wk-000002", class: "track-merge", owner: "furrow-core-1", shape: "array", rank: "standard", rows: 1,
		cores: 2, memory: 5.7, run: 3 * time.Second}
	w.submit(j, 1)
	w.watchWaiting(j, w.workers[0], 2500, "waits")
	return w
}

// drained: a machine that failed two tasks of a job is drained for good, and the replica on it keeps it from being
// replaced.
func drained(rec *recorder, trouble bool) *world {
	w := newWorld(rec, hangula(), []breed{kudu})
	for _, zone := range kudu.fields {
		w.cloud.initial(0, zone)
	}
	w.startAll()
	w.submit(lessonServe("wk-000001", "shikongo-ops", 1, "windhoek"), 0)
	if !waitFor(20*time.Second, func() bool { return w.running("wk-000001") == 1 }) {
		cannotRun("the service did not start")
	}
	k := w.inField("windhoek")
	first := markingRuns("wk-000002", "ndapewa-marking", 6, "windhoek", time.Second)
	first.cores = 2
	w.submit(first, 1)
	if !waitFor(20*time.Second, func() bool { return w.isDone("wk-000002/0") || w.isDone("wk-000002/1") }) {
		cannotRun("the array did not start")
	}
	if trouble {
		rec.add("trouble: %s fails every task that it starts", k.m.name)
		k.mu.Lock()
		k.sick = true
		k.mu.Unlock()
		time.Sleep(3 * time.Second)
		k.mu.Lock()
		k.sick = false
		k.mu.Unlock()
		rec.add("trouble over")
	}
	j := markingRuns("wk-000003", "ndapewa-marking", 1, "windhoek", 2*time.Second)
	w.submit(j, 2)
	w.watchWaiting(j, k, 176, "waits")
	return w
}

// mistaken: two jobs that were submitted with a mistake fail on a healthy machine until their users cancel them after
// 50 s. It records whether the machine is used again; 90 s of waiting after that do not fit into a case.
func mistaken(rec *recorder, trouble bool) *world {
	w := newWorld(rec, hangula(), []breed{kudu})
	for _, zone := range kudu.fields {
		w.cloud.initial(0, zone)
	}
	w.startAll()
	w.submit(lessonServe("wk-000001", "shikongo-ops", 1, "windhoek"), 0)
	if !waitFor(20*time.Second, func() bool { return w.running("wk-000001") == 1 }) {
		cannotRun("the service did not start")
	}
	if trouble {
		for _, id := range []string{"wk-000002", "wk-000003"} {
			j := markingRuns(id, "ndapewa-marking", 1, "windhoek", time.Second)
			j.cores, j.mistaken = 2, true
			w.submit(j, 1)
		}
		time.Sleep(50 * time.Second)
		w.withdraw("wk-000002", 1)
		w.withdraw("wk-000003", 2)
	}
	j := markingRuns("wk-000004", "ndapewa-marking", 1, "windhoek", 2*time.Second)
	w.submit(j, 2)
	since := time.Now()
	for time.Since(since) < 60*time.Second {
		time.Sleep(5 * time.Second)
		status, state := w.poll(j.id, 0)
		cores, memory := w.inField("windhoek").free()
		rec.add("user: GET %s: %d %s; the machine has %g cores and %g GB free", j.id, status, state, cores, memory)
		if state == "done" {
			return w
		}
	}
	w.breakRule("%s waits for 60 s beside a healthy machine, after the mistaken jobs were cancelled", j.id)
	return w
}
