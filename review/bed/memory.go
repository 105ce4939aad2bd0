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

// held returns the memory that a controller holds for itself alone (anonymous pages), in MB.
func (b *bed) held(member string) float64 {
	b.mu.Lock()
	cmd := b.procs[member]
	b.mu.Unlock()
	if cmd == nil {
		return 0
	}
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			var kb float64
			_, _ = fmt.Sscanf(strings.TrimSpace(rest), "%f", &kb)
			return kb / 1024
		}
	}
	return 0
}

// memory submits arrays with the published number of tasks. As on the platform, a controller that holds more than its
// memory is killed and back 5 s later.
func memory(r run) int {
	const (
		arrays  = 12
		apart   = 500 * time.Millisecond
		restart = 5 * time.Second
		after   = 60 * time.Second // from the last array on
	)
	b, err := newBed(exams(), r.root, filepath.Join(r.dir, "record.txt"))
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
	var stop atomic.Bool
	var ends atomic.Int64
	var platform sync.WaitGroup
	for _, m := range b.site.Members {
		platform.Go(func() {
			for ; !stop.Load(); time.Sleep(50 * time.Millisecond) {
				held := b.held(m)
				if held <= b.site.MemMB {
					continue
				}
				ends.Add(1)
				b.note("%s holds %.0f MB of %.0f: the platform ends it", m, held, b.site.MemMB)
				b.signal(m, syscall.SIGKILL)
				time.Sleep(restart)
				if !stop.Load() {
					_ = b.startController(m)
				}
			}
		})
	}
	count := 1
	if r.trouble {
		count = arrays
	}
	for i := range arrays {
		if i < count {
			j := b.newJob("naango-scoring", wire.Array, 100_000, 8, 15*time.Second)
			j.Class, j.Mem, j.Mark, j.Store = "script-tally", 9.3, 15, 1
			go b.submit(j)
		}
		time.Sleep(apart)
	}
	atLast := ends.Load()
	b.note("the last array was submitted; %d ends for memory so far", atLast)
	over := time.Now()
	for time.Since(over) < after {
		for _, m := range b.site.Members {
			b.note("%s holds %.0f MB", m, b.held(m))
		}
		time.Sleep(2 * time.Second)
	}
	stop.Store(true)
	later := ends.Load() - atLast
	if later >= 3 {
		b.audit.Break("keeps_ending: controllers were ended for memory %d times, %d of them after the last submission",
			ends.Load(), later)
	}
	platform.Wait()
	return b.verdict()
}
