// Command stand runs one case: it starts the project's controllers as processes and plays the state service, the cloud,
// the workers and the users on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"review/internal/wire"
)

// limit is the longest time that a case runs.
const limit = 119 * time.Second

func main() {
	cases := map[string]func(rec *recorder, trouble bool) *world{
		"avoided":   avoided,
		"reserved":  reserved,
		"cancelled": cancelled,
		"tiny":      tiny,
		"vanished":  vanished,
		"odd":       odd,
		"mistaken":  mistaken,
		"load":      load,
		"gpu":       gpuRoom,
		"drained":   drained,
		"chaos":     chaos,
	}
	run := cases[os.Args[1]]
	if run == nil {
		cannotRun("no case %q", os.Args[1])
	}
	rec := newRecorder(os.Args[2])
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %v", os.Args[1], trouble)
	time.AfterFunc(limit, func() { cannotRun("the case did not end in time") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() { <-signals; cannotRun("interrupted") }()
	w := run(rec, trouble)
	w.mu.Lock()
	broken := w.broken
	w.mu.Unlock()
	if len(broken) > 0 {
		fmt.Println("broken:", broken[0])
		rec.add("result: the rule was broken")
		finish(1)
	}
	fmt.Println("held")
	rec.add("result: the rule held")
	finish(0)
}

// kudu is the machine type of the site hangula-homework.
var kudu = breed{label: "kudu-eight", cores: 8, memory: 64, price: 0.42, low: 0.09, startup: 15,
	fields: []string{"windhoek", "walvis", "ondangwa"}}

func lessonServe(id, owner string, rows int, field string) *job {
	return &job{id: id, class: "lesson-serve", owner: owner, shape: wire.Daemon, rank: "critical", rows: rows, cores: 4,
		memory: 21, field: field}
}

func markingRuns(id, owner string, rows int, field string, run time.Duration) *job {
	return &job{id: id, class: "marking-runs", owner: owner, shape: "array", rank: "standard", rows: rows, cores: 4,
		memory: 18, field: field, run: run}
}

// free returns the cores and the memory that no task takes on a machine.
func (k *worker) free() (cores, memory float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.alive {
		return 0, 0
	}
	cores, memory = k.breed.cores, k.breed.memory
	for _, t := range k.tasks {
		if t.status != "exited" {
			cores, memory = cores-t.job.cores, memory-t.job.memory
		}
	}
	return cores, memory
}

func (w *world) onMachine(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for row, on := range w.on {
		if len(on) > 0 && len(row) > len(id) && row[:len(id)+1] == id+"/" {
			n++
		}
	}
	return n
}

func (w *world) startsOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[id]
}

// running returns how many tasks of a job run.
func (w *world) running(id string) int {
	w.mu.Lock()
	workers := w.workers
	w.mu.Unlock()
	n := 0
	for _, k := range workers {
		k.mu.Lock()
		for _, t := range k.tasks {
			if t.status == "running" && t.job.id == id {
				n++
			}
		}
		k.mu.Unlock()
	}
	return n
}

// inField returns the worker of the first machine in a zone.
func (w *world) inField(field string) *worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.workers {
		if k.m.field == field {
			return k
		}
	}
	cannotRun("no machine in %s", field)
	return nil
}
