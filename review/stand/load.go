package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// load: one-task jobs come four a second, a quarter of them is cancelled, users ask every half second, and the leader is
// killed twice. It is no case; it looks whether any job is left.
func load(rec *recorder, trouble bool) *world {
	w := newWorld(rec, hangula(), []breed{kudu})
	for _, zone := range kudu.fields {
		w.cloud.initial(0, zone)
		w.cloud.initial(0, zone)
	}
	w.startAll()
	time.Sleep(3 * time.Second)
	var users sync.WaitGroup
	var mu sync.Mutex
	left := 0
	begun := time.Now()
	if trouble {
		for _, at := range []time.Duration{15 * time.Second, 35 * time.Second} {
			time.AfterFunc(at, func() {
				if n := w.index(w.state.leader()); n >= 0 {
					rec.add("trouble: %s is killed, and is back after 6 s", w.ctl[n].name)
					w.ctl[n].kill()
					time.Sleep(6 * time.Second)
					w.ctl[n].start()
				}
			})
		}
	}
	for n := 1; time.Since(begun) < 60*time.Second; n++ {
		j := markingRuns(fmt.Sprintf("wk-%06d", n), "shikongo-ops", 1, "", 2*time.Second)
		j.cores, j.memory = 1, 2
		users.Add(1)
		go func() {
			defer users.Done()
			if status := w.submit(j, rand.IntN(3)); status != 200 && status != 201 {
				w.breakRule("submission of %s got %d", j.id, status)
				return
			}
			cancel := rand.IntN(4) == 0
			for time.Since(begun) < 105*time.Second {
				time.Sleep(500 * time.Millisecond)
				if cancel {
					if status, _ := w.withdraw(j.id, rand.IntN(3)); status == 200 {
						return
					}
				}
				status, state := w.poll(j.id, rand.IntN(3))
				if status == 404 {
					w.breakRule("forgotten: %s got 404", j.id)
				}
				if status == 200 && (state == "done") != (state == "done" && w.isDone(j.id+"/0")) {
					w.breakRule("not_done: %s", j.id)
				}
				if state == "done" {
					return
				}
			}
			mu.Lock()
			left++
			mu.Unlock()
		}()
		time.Sleep(250 * time.Millisecond)
	}
	users.Wait()
	rec.add("%d jobs are left after %v", left, time.Since(begun))
	if left > 0 {
		w.breakRule("%d jobs are left", left)
	}
	return w
}
