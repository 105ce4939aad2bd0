package main

import "time"

// watchWaiting checks "no job is left waiting for 90 s while a machine that fits has room and its team is under its
// limit" for one job, from when it is called on. It returns when the job is done, or when the rule is broken.
func (w *world) watchWaiting(j *job, k *worker, usedMax float64, rule string) {
	const bound = 90 * time.Second
	since := time.Now()
	starts := w.startsOf(j.id)
	next := time.Now()
	for {
		time.Sleep(100 * time.Millisecond)
		if time.Now().After(next) {
			next = time.Now().Add(5 * time.Second)
			status, state := w.poll(j.id, 1)
			cores, memory := k.free()
			w.rec.add("user: GET %s: %d %s; %s has %g cores and %g GB free; the team's tasks use %g cores",
				j.id, status, state, k.m.name, cores, memory, w.used(j.owner))
			if state == "done" {
				w.rec.add("%s is done", j.id)
				return
			}
		}
		cores, memory := k.free()
		room := cores >= j.cores && memory >= j.memory && w.used(j.owner)+j.cores <= usedMax
		if n := w.startsOf(j.id); n != starts || !room || w.onMachine(j.id) > 0 {
			since, starts = time.Now(), n
		}
		if time.Since(since) > bound {
			w.breakRule("%s: %s has waited for 90 s while %s fits and has room and its team is under its limit",
				rule, j.id, k.m.name)
			return
		}
	}
}

// used returns the cores that the tasks of a team take.
func (w *world) used(owner string) float64 {
	w.mu.Lock()
	workers := w.workers
	w.mu.Unlock()
	sum := 0.0
	for _, k := range workers {
		k.mu.Lock()
		for _, t := range k.tasks {
			if t.status != "exited" && t.job.owner == owner {
				sum += t.job.cores
			}
		}
		k.mu.Unlock()
	}
	return sum
}

// avoided: a machine fails the tasks that it starts for some seconds, and one job never uses it again.
func avoided(rec *recorder, trouble bool) *world {
	w := newWorld(rec, hangula(), []breed{kudu})
	for _, zone := range kudu.fields {
		w.cloud.initial(0, zone)
	}
	w.startAll()
	for i, zone := range kudu.fields {
		w.submit(lessonServe([]string{"wk-000001", "wk-000002", "wk-000003"}[i], "shikongo-ops", 1, zone), i)
	}
	if !waitFor(20*time.Second, func() bool {
		return w.running("wk-000001")+w.running("wk-000002")+w.running("wk-000003") == 3
	}) {
		cannotRun("the services did not start")
	}
	k := w.inField("windhoek")
	if trouble {
		rec.add("trouble: %s fails every task that it starts", k.m.name)
		k.mu.Lock()
		k.sick = true
		k.mu.Unlock()
	}
	j := markingRuns("wk-000004", "ndapewa-marking", 1, "windhoek", 3*time.Second)
	w.submit(j, 0)
	if trouble {
		if !waitFor(15*time.Second, func() bool { return w.startsOf(j.id) > 0 && w.onMachine(j.id) == 0 }) {
			cannotRun("the task did not start")
		}
		time.Sleep(2 * time.Second)
		k.mu.Lock()
		k.sick = false
		k.mu.Unlock()
		rec.add("trouble over: %s runs tasks again", k.m.name)
	}
	w.watchWaiting(j, k, 176, "waits")
	return w
}

// reserved: a service that does not fit under its team's limit keeps what is left of the limit from all others.
func reserved(rec *recorder, trouble bool) *world {
	d := hangula()
	d.teams = `
[[deployment.teams]]
name = "tjikuua-content"
cpus = 8.0
cpus_max = 12.0
gpus = 0.0
gpus_max = 0.0

[[deployment.teams]]
name = "shikongo-ops"
cpus = 16.0
cpus_max = 24.0
gpus = 0.0
gpus_max = 0.0
`
	w := newWorld(rec, d, []breed{kudu})
	for _, zone := range kudu.fields {
		w.cloud.initial(0, zone)
	}
	w.startAll()
	w.submit(lessonServe("wk-000001", "tjikuua-content", 2, "ondangwa"), 0)
	w.submit(lessonServe("wk-000004", "shikongo-ops", 1, "windhoek"), 1)
	if !waitFor(20*time.Second, func() bool { return w.running("wk-000001") == 2 && w.running("wk-000004") == 1 }) {
		cannotRun("the services did not start")
	}
	if trouble {
		rec.add("trouble: jobs of a class come several times as often")
		w.submit(lessonServe("wk-000002", "tjikuua-content", 2, ""), 1)
	}
	j := markingRuns("wk-000003", "tjikuua-content", 1, "", 3*time.Second)
	w.submit(j, 2)
	k := w.inField("windhoek")
	w.watchWaiting(j, k, 12, "waits")
	return w
}
