package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"

	"review/internal/wire"
)

// chaos plays many troubles at once and checks the rules. It is no case; it looks for some.
func chaos(rec *recorder, trouble bool) *world {
	d := hangula()
	d.teams = `
[[deployment.teams]]
name = "a"
cpus = 16.0
cpus_max = 32.0

[[deployment.teams]]
name = "b"
cpus = 16.0
cpus_max = 24.0
`
	quick := kudu
	quick.startup = 2
	w := newWorld(rec, d, []breed{quick})
	w.lateShare = 0.05
	w.limits["a"], w.limits["b"] = 32, 24
	for _, zone := range kudu.fields {
		w.cloud.capacity[place("kudu-eight", zone, false)] = 3
		w.cloud.capacity[place("kudu-eight", zone, true)] = 1
		w.cloud.initial(0, zone)
		w.cloud.initial(0, zone)
	}
	w.startAll()
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	r := rand.New(rand.NewPCG(seed, 1))
	const until = 75 * time.Second
	begun := time.Now()
	if trouble {
		go w.troubles(rand.New(rand.NewPCG(seed, 2)), begun.Add(until))
	}
	var users sync.WaitGroup
	var ids []string
	for n := 1; time.Since(begun) < until; n++ {
		j := randomJob(r, fmt.Sprintf("wk-%06d", n))
		if len(ids) > 0 && r.IntN(4) == 0 {
			if other := ids[r.IntN(len(ids))]; w.job(other).shape != wire.Daemon {
				j.awaits = []string{other}
			}
		}
		accepted := make(chan bool, 1)
		cancelAfter := time.Duration(-1)
		if r.IntN(3) == 0 || j.shape == wire.Daemon {
			cancelAfter = time.Duration(r.Float64() * float64(20*time.Second))
		}
		users.Add(1)
		go func() {
			defer users.Done()
			w.user(j, cancelAfter, begun.Add(until+25*time.Second), accepted)
		}()
		select {
		case ok := <-accepted:
			if ok {
				ids = append(ids, j.id)
			}
		case <-time.After(3 * time.Second):
		}
		time.Sleep(time.Duration(r.Float64() * float64(1200*time.Millisecond)))
	}
	users.Wait()
	return w
}

func randomJob(r *rand.Rand, id string) *job {
	j := &job{id: id, owner: []string{"a", "b"}[r.IntN(2)], class: "c", shape: "array", rank: "standard",
		rows: 1 + r.IntN(5), cores: float64(1 + r.IntN(4)), memory: 4, loaners: r.IntN(2) == 0}
	j.run = time.Duration(1+r.IntN(12)) * time.Second
	switch r.IntN(6) {
	case 0:
		j.shape, j.rank, j.run, j.rows, j.cores = wire.Daemon, "critical", 0, 1+r.IntN(3), 2
		j.scatter = r.IntN(2) == 0
	case 1:
		j.shape, j.rank, j.rows, j.cores = wire.Ensemble, "urgent", 1+r.IntN(3), 2
		j.oneZone = r.IntN(2) == 0
	case 2:
		j.oneZone = true
	case 3:
		j.field = kudu.fields[r.IntN(3)]
	case 4:
		j.scatter = true
		j.mark, j.store = 3, 1
	}
	return j
}

// user submits a job, asks about it at all controllers, and cancels it after a while.
func (w *world) user(j *job, cancelAfter time.Duration, end time.Time, accepted chan bool) {
	status := w.submit(j, rand.IntN(3))
	if status != 200 && status != 201 {
		if status != 0 {
			w.breakRule("submission of %s got %d", j.id, status)
		}
		accepted <- false
		return
	}
	accepted <- true
	start := time.Now()
	final := ""
	var finalMu sync.Mutex
	look := func(n int) {
		finalMu.Lock()
		known := final
		finalMu.Unlock()
		status, state := w.poll(j.id, n)
		switch {
		case status == 404:
			w.breakRule("forgotten: %s got 404 from %s", j.id, w.ctl[n].name)
		case status != 200:
			return
		case known != "" && state != known:
			w.breakRule("went_back: %s was %s and is %s at %s", j.id, known, state, w.ctl[n].name)
		}
		if state == wire.Withdrawn && cancelAfter < 0 && len(j.awaits) == 0 {
			w.breakRule("went_back: %s is withdrawn at %s, and nobody cancelled it", j.id, w.ctl[n].name)
		}
		if state == "done" {
			for i := range j.rows {
				if !w.isDone(fmt.Sprintf("%s/%d", j.id, i)) {
					w.breakRule("not_done: %s is called done, and task %d is not", j.id, i)
				}
			}
		}
		if state == "done" || state == wire.Withdrawn {
			finalMu.Lock()
			final = state
			finalMu.Unlock()
			if state == wire.Withdrawn {
				w.tell(j.id)
			}
		}
	}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(200+rand.IntN(1500)) * time.Millisecond)
		var all sync.WaitGroup
		for n := range 3 {
			all.Add(1)
			go func() { defer all.Done(); look(n) }()
		}
		all.Wait()
		if cancelAfter >= 0 && time.Since(start) > cancelAfter {
			if status, state := w.withdraw(j.id, rand.IntN(3)); status == 200 {
				finalMu.Lock()
				if final != "" && final != state {
					w.breakRule("went_back: %s was %s, its cancellation is answered with %s", j.id, final, state)
				}
				final = state
				finalMu.Unlock()
				if state == wire.Withdrawn {
					w.tell(j.id)
				}
				cancelAfter = time.Hour
			}
		}
		if rand.IntN(10) == 0 {
			status, reply := call("POST", "http://"+w.ctl[rand.IntN(3)].front+"/api/jobs", j.body(), 5*time.Second)
			if status == 400 || status == 422 {
				w.breakRule("forgotten: repeated submission of %s got %d %v", j.id, status, reply)
			}
		}
		if at, ok := w.toldAt(j.id); ok && time.Since(at) > w.cancelS && w.onMachine(j.id) > 0 {
			w.breakRule("ran_cancelled: %s has tasks on machines", j.id)
		}
	}
}

func (w *world) tell(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.told[id]; !ok {
		w.told[id] = time.Now()
	}
}

func (w *world) toldAt(id string) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.told[id]
	return at, ok
}

// troubles plays random troubles until a time.
func (w *world) troubles(r *rand.Rand, until time.Time) {
	var crash sync.Mutex
	for time.Now().Before(until) {
		time.Sleep(time.Duration(500+r.IntN(4000)) * time.Millisecond)
		n := r.IntN(3)
		c := w.ctl[n]
		length := time.Duration(1+r.IntN(12)) * time.Second
		kind := r.IntN(16)
		if only, err := strconv.Atoi(os.Getenv("MOSTLY")); err == nil && r.IntN(2) == 0 {
			kind = only
		}
		w.mu.Lock()
		k := w.workers[r.IntN(len(w.workers))]
		w.mu.Unlock()
		set := func(f func(on bool)) {
			f(true)
			time.AfterFunc(length, func() { f(false) })
		}
		onWorker := func(f func(on bool)) {
			set(func(on bool) { k.mu.Lock(); defer k.mu.Unlock(); f(on) })
		}
		w.rec.add("trouble %d: %s or %s for %v", kind, c.name, k.m.name, length)
		switch kind {
		case 0, 1:
			crash.Lock()
			c.kill()
			time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
			c.start()
			crash.Unlock()
		case 2:
			crash.Lock()
			for _, c := range w.ctl {
				c.kill()
			}
			time.Sleep(time.Duration(r.IntN(6000)) * time.Millisecond)
			for _, c := range w.ctl {
				c.start()
			}
			crash.Unlock()
		case 3:
			crash.Lock()
			c.pause()
			time.Sleep(min(length, 7*time.Second))
			c.resume()
			crash.Unlock()
		case 4:
			set(w.state.setDown)
		case 5:
			set(func(on bool) { w.state.refuse(c.name, on) })
		case 6:
			set(func(on bool) {
				w.state.mu.Lock()
				defer w.state.mu.Unlock()
				w.state.onTxn = nil
				if on {
					w.state.onTxn = func(string, []string) (time.Duration, time.Duration, bool) {
						switch rand.IntN(6) {
						case 0:
							return time.Duration(2+rand.IntN(10)) * time.Second, 0, true
						case 1:
							return 0, 2 * time.Second, true
						}
						return time.Duration(rand.IntN(100)) * time.Millisecond, 0, false
					}
				}
			})
		case 7:
			set(func(on bool) {
				for _, p := range c.peers {
					p.setCut(on)
				}
			})
		case 8:
			set(c.state.setCut)
		case 9:
			onWorker(func(on bool) { k.deaf = on })
		case 10:
			onWorker(func(on bool) { k.hung = on })
		case 11:
			onWorker(func(on bool) { k.mute = on })
		case 12:
			onWorker(func(on bool) { k.cut = on })
		default: // the controller's zone is cut from the other zones, not from the state service
			length = max(length, 8*time.Second)
			set(func(on bool) {
				for _, p := range c.peers {
					p.setCut(on)
				}
				leads := w.index(w.state.leader())
				w.mu.Lock()
				workers := w.workers
				w.mu.Unlock()
				for _, x := range workers {
					x.mu.Lock()
					for i := range w.ctl {
						x.blocked[i] = on && (x.m.field == c.zone) != (i == n)
					}
					x.uncommanded = on && leads >= 0 && x.blocked[leads]
					x.mu.Unlock()
				}
			})
		}
	}
}
