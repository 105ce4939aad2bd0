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

// endedJob has a job cancelled, then submits jobs until the state service has made 2,100 changes since, and restarts all
// controllers. From then on the state service takes 800 ms for each answer. Every user that asks about the ended job
// has to be answered at least once in 90 s, as most of those are who ask about others.
func endedJob(r run) int {
	const (
		answer  = 800 * time.Millisecond
		window  = 91 * time.Second
		changes = 2100
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
	ended := b.newJob("ndapewa-marking", wire.Array, 1, 4, time.Minute)
	if !b.submit(ended) || b.withdraw(ended.ID) != wire.Withdrawn {
		return couldNotRun
	}
	first := b.state.Revision()
	others := make([]*wire.Job, 100)
	for i := range others {
		others[i] = b.newJob("shikongo-ops", wire.Array, 1, 2, 2*time.Minute)
		if !b.submit(others[i]) {
			return couldNotRun
		}
	}
	var users sync.WaitGroup
	for i := range 20 {
		node := b.site.Members[i%len(b.site.Members)]
		if i >= 12 {
			node = b.state.Leader()
		}
		users.Go(func() {
			for begin := time.Now(); b.state.Revision() < first+changes && time.Since(begin) < 20*time.Second; {
				j := b.newJob("shikongo-ops", wire.Array, 1, 2, 2*time.Minute)
				if b.users.Submit(j, node, b.fronts[node]) != 201 {
					time.Sleep(time.Second)
				}
			}
		})
	}
	users.Wait()
	if b.state.Revision() < first+changes {
		fmt.Println("too few changes", b.state.Revision()-first)
		return couldNotRun
	}
	b.note("%d changes since the end of %s", b.state.Revision()-first, ended.ID)
	if r.trouble {
		for _, m := range b.site.Members {
			b.signal(m, syscall.SIGKILL)
		}
		time.Sleep(time.Second)
		b.state.SetFaults(func(_, _, _ string) wire.Fault { return wire.Fault{After: answer} })
		b.note("each answer of the state service takes %v", answer)
		if err := b.startAll(); err != nil {
			return couldNotRun
		}
	}
	time.Sleep(7 * time.Second)
	var asked, answered, othersAsked, othersAnswered atomic.Int64
	begin := time.Now()
	for i := 0; time.Since(begin) < window; i++ {
		ask := func(id string, asked, answered *atomic.Int64) {
			node := b.site.Members[i%len(b.site.Members)]
			asked.Add(1)
			if status, _ := b.users.Poll(id, node, b.fronts[node]); status == 200 {
				answered.Add(1)
			}
		}
		users.Go(func() { ask(ended.ID, &asked, &answered) })
		users.Go(func() { ask(others[i%100].ID, &othersAsked, &othersAnswered) })
		time.Sleep(2 * time.Second)
		if answered.Load() > 0 && r.trouble {
			break
		}
	}
	took := time.Since(begin)
	b.note("%d of %d polls for the ended job were answered, %d of %d for others, in %.0f s", answered.Load(), asked.Load(),
		othersAnswered.Load(), othersAsked.Load(), took.Seconds())
	if answered.Load() == 0 && took >= 90*time.Second && 2*othersAnswered.Load() > othersAsked.Load() {
		b.audit.Break("forgotten: none of %d polls for %s, which was called cancelled, was answered in %.0f s; of others %d of %d",
			asked.Load(), ended.ID, took.Seconds(), othersAnswered.Load(), othersAsked.Load())
	}
	return b.verdict()
}
