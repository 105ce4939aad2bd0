package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review/bed/internal/wire"
)

// lostJobs ends the leading controller, which is back at once, while the state service answers slowly for 3 s and
// users submit jobs of one task, four a second. From the end of these troubles on no job may be left waiting for 90 s.
func lostJobs(r run) int {
	const (
		slow    = 400 * time.Millisecond // of each read of several keys or changes
		spell   = 3 * time.Second
		waiting = 90 * time.Second
	)
	b, err := newBed(homework(), r.root, filepath.Join(r.dir, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return couldNotRun
	}
	b.logs = os.Getenv("BED_LOGS")
	defer b.close()
	if err := b.startAll(); err != nil || !b.waitReady(15*time.Second) {
		fmt.Println("the controllers are not ready", err)
		return couldNotRun
	}
	var users sync.WaitGroup
	var stop atomic.Bool
	var every atomic.Int64
	every.Store(int64(250 * time.Millisecond))
	users.Go(func() {
		for !stop.Load() {
			j := b.newJob("shikongo-ops", wire.Array, 1, 1, 5*time.Second)
			users.Go(func() { b.submit(j) })
			time.Sleep(time.Duration(every.Load()))
		}
	})
	time.Sleep(4 * time.Second)
	leader := b.state.Leader()
	if r.trouble {
		b.note("the state service answers slowly")
		b.state.SetFaults(func(_, method, uri string) wire.Fault {
			waits := strings.Contains(uri, "waitMs=") && !strings.HasSuffix(uri, "waitMs=0")
			if method != "GET" || waits || strings.HasPrefix(uri, "/keys/") {
				return wire.Fault{}
			}
			return wire.Fault{Before: slow}
		})
		b.signal(leader, syscall.SIGKILL)
		if err := b.startController(leader); err != nil {
			return couldNotRun
		}
	}
	time.Sleep(spell)
	b.state.SetFaults(nil)
	over := time.Now()
	b.note("all troubles are over, leader %s", b.state.Leader())
	every.Store(int64(2 * time.Second)) // so that machines stay
	b.waitForStarts(over, waiting)
	stop.Store(true)
	return b.verdict()
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
				"now on %s; its team uses %g of 296 CPUs", id, time.Since(since).Seconds(), b.fleet.Room(1, 4),
				b.audit.Used("shikongo-ops"))
		}
	}
}
