package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review/bed/internal/wire"
)

// lostJobs ends the leading controller, which is back at once, while 3,100 jobs of pipelines wait for another job, the
// state service takes 300 ms for each answer, and users submit jobs of one task, four a second. From the end of these
// troubles on no job that waits for no other one may be left waiting for 90 s.
func lostJobs(r run) int {
	const (
		pipelines = 3100
		half      = 150 * time.Millisecond // of each answer's time: a request is carried out after it, and answered after it again
		spell     = 5 * time.Second
		waiting   = 90 * time.Second
	)
	b, err := newBed(fleetSite(), r.root, filepath.Join(r.dir, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return couldNotRun
	}
	b.logs = os.Getenv("BED_LOGS")
	defer b.close()
	if err := b.startAll(); err != nil || !b.waitReady(10*time.Second) {
		fmt.Println("the controllers are not ready", err)
		return couldNotRun
	}
	first := b.newJob("ndapewa-marking", wire.Array, 1, 4, time.Hour)
	if !b.submit(first) {
		return couldNotRun
	}
	b.submitPipelines(first, pipelines)
	b.note("%d jobs wait for %s", pipelines, first.ID)
	var stop atomic.Bool
	var every atomic.Int64
	every.Store(int64(250 * time.Millisecond))
	go func() {
		for !stop.Load() {
			go b.submit(b.newJob("shikongo-ops", wire.Array, 1, 1, 5*time.Second))
			time.Sleep(time.Duration(every.Load()))
		}
	}()
	time.Sleep(time.Second)
	if r.trouble {
		leader := b.state.Leader()
		b.note("each answer of the state service takes %v", 2*half)
		b.state.SetFaults(func(_, _, _ string) wire.Fault { return wire.Fault{Before: half, After: half} })
		b.signal(leader, syscall.SIGKILL)
		if err := b.startController(leader); err != nil {
			return couldNotRun
		}
	}
	time.Sleep(spell)
	b.state.SetFaults(nil)
	over := time.Now()
	b.note("all troubles are over, leader %s", b.state.Leader())
	every.Store(int64(2 * time.Second))
	b.waitForStarts(over, waiting)
	stop.Store(true)
	return b.verdict()
}

// submitPipelines submits jobs that wait for another one, as fast as the state service's limits allow.
func (b *bed) submitPipelines(first *wire.Job, count int) {
	const connections = 24
	var users sync.WaitGroup
	var left atomic.Int64
	left.Store(int64(count))
	leader := b.state.Leader()
	for i := range connections {
		node := b.site.Members[i%len(b.site.Members)]
		if i >= connections/2 {
			node = leader
		}
		users.Go(func() {
			for left.Add(-1) >= 0 {
				j := b.newJob("ndapewa-marking", wire.Array, 1, 2, time.Minute)
				j.Awaits = []string{first.ID}
				for status := 0; status != 200 && status != 201; {
					if status = b.users.Submit(j, node, b.fronts[node]); status != 200 && status != 201 {
						time.Sleep(time.Second)
					}
				}
			}
		})
	}
	users.Wait()
}

// waitForStarts waits until all jobs that were accepted before the troubles were over have started. It reports those
// that have waited for longer than they may while a machine had room for them all the time.
func (b *bed) waitForStarts(over time.Time, waiting time.Duration) {
	left := func() []string {
		var ids []string
		for _, id := range b.audit.Unstarted() {
			if b.audit.Accepted(id).Before(over) {
				ids = append(ids, id)
			}
		}
		return ids
	}
	time.Sleep(2 * time.Second)
	since := time.Now()
	for round := 0; len(left()) > 0 && time.Since(since) < waiting; round++ {
		if b.fleet.Room(1, 4) == "" {
			since = time.Now()
		}
		if round%10 == 0 {
			for _, id := range left() {
				for _, m := range b.site.Members {
					b.users.Poll(id, m, b.fronts[m])
				}
			}
		}
		time.Sleep(time.Second)
	}
	for _, id := range left() {
		if time.Since(since) >= waiting {
			b.audit.Break("left_waiting: %s was accepted, has not started and has waited for %.0f s with room on a machine; "+
				"now on %s; its team uses %g of 9000 CPUs", id, time.Since(since).Seconds(), b.fleet.Room(1, 4),
				b.audit.Used("shikongo-ops"))
		}
	}
}
