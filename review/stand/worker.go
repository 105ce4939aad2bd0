package main

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"review/internal/wire"
)

// worker stands in for the worker of one machine, by "Workers -> controller nodes" of PROTOCOL.
type worker struct {
	world *world
	m     *machine
	breed breed
	addr  string

	mu          sync.Mutex
	alive       bool
	shift, tick uint64
	baton       uint64
	leaseFrom   time.Time
	tasks       map[taskKey]*task
	node        int
	changed     bool
	lastBaton   time.Time
	sick        bool // every task that starts fails
	hung        bool
	deaf        bool    // answers and direct commands to it are lost
	mute        bool    // it reaches no controller
	cut         bool    // nothing arrives or leaves
	blocked     [3]bool // controllers that it does not reach
	uncommanded bool    // no direct command reaches it
	wake        chan struct{}
}

type taskKey struct {
	row string
	try uint64
}

type task struct {
	key    taskKey
	job    *job
	status string
	cause  string
	saved  bool
	since  time.Time // when the present status began
	ends   time.Time // when it ends by itself
	fails  bool
}

func newWorker(w *world, m *machine, b breed) *worker {
	k := &worker{world: w, m: m, breed: b, shift: 1, tasks: map[taskKey]*task{}, wake: make(chan struct{}, 1)}
	k.addr = serve(k)
	return k
}

func (k *worker) begin() {
	k.mu.Lock()
	k.alive, k.leaseFrom = true, time.Now()
	k.mu.Unlock()
	k.world.addWorker(k)
	go k.reportLoop()
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			k.mu.Lock()
			if !k.alive {
				k.mu.Unlock()
				return
			}
			k.advance()
			k.mu.Unlock()
		}
	}()
}

// destroy ends the machine with everything on it.
func (k *worker) destroy() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.alive = false
	k.kill("machine returned")
}

func (k *worker) note(format string, args ...any) {
	k.world.rec.add("worker "+k.m.name+": "+format, args...)
}

func (k *worker) kill(why string) {
	for key, t := range k.tasks {
		if t.status != "exited" {
			k.note("%s try %d killed: %s", key.row, key.try, why)
			k.world.left(k, t)
		}
		delete(k.tasks, key)
	}
}

// advance lets time pass. k.mu is held.
func (k *worker) advance() {
	now := time.Now()
	if now.Sub(k.leaseFrom) > k.world.lease {
		k.kill("lease ended")
		k.shift++
		k.leaseFrom = now
		k.touch()
	}
	if k.hung {
		for _, t := range k.tasks {
			t.ends = t.ends.Add(20 * time.Millisecond)
		}
		return
	}
	for _, t := range k.tasks {
		if t.job != nil && t.job.shape == wire.Ensemble && t.status != "exited" {
			switch whole, broken, done := k.world.gangState(t); {
			case done && t.status != wire.Pulling:
				k.exit(t, "done", false)
				continue
			case whole && t.status == wire.Gathering:
				k.start(t)
			case broken && t.status == "running":
				k.exit(t, wire.MatesGone, false)
				continue
			}
		}
		if t.status == "exited" || t.ends.IsZero() || now.Before(t.ends) {
			continue
		}
		switch t.status {
		case wire.Pulling:
			k.world.arrived(k, t)
			if t.job.shape == wire.Ensemble {
				t.status, t.ends = wire.Gathering, now.Add(k.world.gangWait)
				k.world.gather(t)
				k.touch()
				continue
			}
			k.start(t)
		case wire.Gathering:
			k.exit(t, "incomplete", false)
		case "running":
			if t.fails {
				k.exit(t, "error", false)
			} else {
				k.exit(t, "done", false)
			}
		case "saving":
			k.exit(t, "halted", true)
		}
	}
}

// start begins to run a task whose image is there.
func (k *worker) start(t *task) {
	t.status, t.since = "running", time.Now()
	t.ends = time.Time{}
	if k.sick || t.job.mistaken {
		t.fails = true
		t.ends = t.since.Add(300 * time.Millisecond)
	} else if t.job.run > 0 {
		t.ends = t.since.Add(t.job.run)
		if k.world.isDone(t.key.row) {
			t.ends = t.since
		}
	}
	k.note("%s try %d running", t.key.row, t.key.try)
	k.touch()
}

func (k *worker) exit(t *task, cause string, saved bool) {
	t.status, t.cause, t.saved = "exited", cause, saved
	k.note("%s try %d exited: %s", t.key.row, t.key.try, cause)
	if cause == "done" {
		k.world.completed(t)
	}
	k.world.left(k, t)
	k.touch()
}

func (k *worker) touch() {
	k.changed = true
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *worker) execute(orders []any) {
	for _, o := range orders {
		o := object(o)
		key := taskKey{str(o["row"]), whole(o["try"])}
		t := k.tasks[key]
		switch str(o[wire.Verb]) {
		case "launch":
			if t == nil {
				k.launch(key)
			}
		case "stop":
			if t == nil || t.status == "exited" {
				continue
			}
			down := num(o[wire.WindDownS])
			switch {
			case t.status == "running" && t.job.mark > 0 && down >= t.job.store:
				t.status, t.ends = "saving", time.Now().Add(time.Duration(t.job.store*float64(time.Second)))
				k.note("%s try %d saving", key.row, key.try)
				k.touch()
			case t.status == "saving" && down > 0:
			default:
				k.exit(t, "halted", false)
			}
		case "forget":
			if t != nil && t.status == "exited" {
				delete(k.tasks, key)
				k.touch()
			}
		}
	}
}

func (k *worker) launch(key taskKey) {
	name, _, _ := strings.Cut(key.row, "/")
	j := k.world.job(name)
	t := &task{key: key, job: j, status: "exited", since: time.Now()}
	k.tasks[key] = t
	k.touch()
	if j == nil {
		t.cause = "no_such"
		return
	}
	cores, cards, memory := k.breed.cores, k.breed.cards, k.breed.memory
	for other, o := range k.tasks {
		if o == t || o.status == "exited" {
			continue
		}
		if other.row == key.row {
			t.cause = "busy"
			return
		}
		cores, cards, memory = cores-o.job.cores, cards-o.job.cards, memory-o.job.memory
	}
	if j.cores > cores+1e-9 || j.cards > cards+1e-9 || j.memory > memory+1e-9 {
		t.cause = "no_room"
		return
	}
	t.status, t.ends = wire.Pulling, time.Now().Add(200*time.Millisecond)
	k.note("%s try %d launched", key.row, key.try)
	k.world.launched(k, t)
}

// report returns the worker's report. k.mu is held.
func (k *worker) report() map[string]any {
	k.tick++
	rows := []any{}
	for _, t := range k.tasks {
		r := map[string]any{"row": t.key.row, "try": t.key.try, "status": t.status}
		if t.status == "exited" {
			r["cause"] = t.cause
			if t.saved {
				r["saved"] = true
			}
		}
		rows = append(rows, r)
	}
	return map[string]any{wire.Tiller: k.m.name, "addr": k.addr, wire.Breed: k.m.breed, "field": k.m.field,
		wire.Loaners: k.m.loaners, wire.Shift: k.shift, wire.Tick: k.tick, wire.Baton: k.baton, wire.RecallS: nil, "rows": rows}
}

func (k *worker) accept(baton uint64) bool {
	if baton < k.baton || baton == 0 {
		return false
	}
	if baton > k.baton {
		k.baton = baton
		if time.Since(k.lastBaton) > k.world.lease/2 {
			k.lastBaton = time.Now()
			k.touch()
		}
	}
	return true
}

func (k *worker) reportLoop() {
	k.node = rand.IntN(len(k.world.ctl))
	every := k.world.every
	for {
		k.mu.Lock()
		if !k.alive {
			k.mu.Unlock()
			return
		}
		if k.hung {
			k.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			continue
		}
		sent, shift := time.Now(), k.shift
		k.changed = false
		body, deaf, out := enc(k.report()), k.deaf, k.mute || k.cut || k.blocked[k.node]
		k.mu.Unlock()
		if out {
			time.Sleep(4 * time.Second)
			k.node = (k.node + 1) % len(k.world.ctl)
			continue
		}
		k.world.copyReport(body)
		status, reply := call("POST", "http://"+k.world.ctl[k.node].forWorkers()+"/v1/report", body, 4*time.Second)
		if deaf && status == 200 {
			status = 0
			time.Sleep(max(0, 4*time.Second-time.Since(sent)))
		}
		pause := time.Duration(float64(every) * (0.75 + rand.Float64()/2))
		switch {
		case status == 200:
			k.mu.Lock()
			if k.alive && !k.hung && shift == k.shift && k.accept(whole(reply[wire.Baton])) {
				k.leaseFrom = sent
				k.execute(list(reply["orders"]))
			}
			k.mu.Unlock()
		case status == 421 && k.world.index(str(reply[wire.Foreman])) >= 0 && k.world.index(str(reply[wire.Foreman])) != k.node:
			k.node = k.world.index(str(reply[wire.Foreman]))
			pause = time.Duration(rand.IntN(500)) * time.Millisecond
		default:
			if status == 400 {
				k.world.refusedReport(k, k.node, len(body))
			}
			k.node = (k.node + 1) % len(k.world.ctl)
			time.Sleep(time.Second)
			continue
		}
		k.mu.Lock()
		changed := k.changed
		k.mu.Unlock()
		if !changed {
			select {
			case <-k.wake:
			case <-time.After(pause - time.Since(sent)):
			}
		}
		time.Sleep(500*time.Millisecond - time.Since(sent))
		select {
		case <-k.wake:
		default:
		}
	}
}

// ServeHTTP answers direct commands.
func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := readBody(r)
	for {
		k.mu.Lock()
		if k.alive && !k.hung {
			break
		}
		alive := k.alive
		k.mu.Unlock()
		if !alive {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(20 * time.Millisecond) // a hanging machine executes it if it resumes
	}
	defer k.mu.Unlock()
	if k.deaf || k.cut || k.uncommanded {
		k.mu.Unlock()
		time.Sleep(3 * time.Second)
		k.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	if late := k.world.lateCommand(); late > 0 {
		k.mu.Unlock()
		time.Sleep(late)
		k.mu.Lock()
		if m, _ := dec(body); k.alive && !k.hung && whole(m[wire.Shift]) == k.shift && k.accept(whole(m[wire.Baton])) {
			k.execute(list(m["orders"]))
		}
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/inspect" {
		answer(w, 200, k.report())
		return
	}
	m, _ := dec(body)
	if whole(m[wire.Baton]) == 0 || whole(m[wire.Shift]) == 0 {
		answer(w, 400, map[string]any{})
		return
	}
	if whole(m[wire.Shift]) != k.shift || !k.accept(whole(m[wire.Baton])) {
		answer(w, 409, k.report())
		return
	}
	k.execute(list(m["orders"]))
	answer(w, 200, k.report())
}
