package main

import (
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"review/bed/internal/wire"
)

// Exit codes of a case.
const (
	held = iota
	broken
	couldNotRun
)

// run is what a case gets.
type run struct {
	root, dir string // of the repository and of the case
	trouble   bool
}

var cases = map[string]func(run) int{"explore": explore, "lost-jobs": lostJobs, "memory": memory, "ended-job": endedJob}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bed CASE ROOT DIR")
		os.Exit(couldNotRun)
	}
	root, err1 := filepath.Abs(os.Args[2])
	dir, err2 := filepath.Abs(os.Args[3])
	if err1 != nil || err2 != nil {
		os.Exit(couldNotRun)
	}
	os.Exit(cases[os.Args[1]](run{root, dir, os.Getenv("TROUBLE") != "0"}))
}

// verdict prints what was broken and returns the exit code.
func (b *bed) verdict() int {
	b.audit.Sweep()
	for _, s := range b.audit.Broken {
		fmt.Println("broken:", s)
	}
	fmt.Println("starts:", b.audit.Starts, "limited:", b.state.Limited)
	b.mu.Lock()
	unusable := b.unusable
	b.mu.Unlock()
	if unusable {
		fmt.Println("a controller did not start")
		return couldNotRun
	}
	if len(b.audit.Broken) > 0 {
		return broken
	}
	return held
}

// explore runs traffic with troubles at random.
func explore(r run) int {
	b, err := newBed(homework(), r.root, filepath.Join(r.dir, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return couldNotRun
	}
	b.logs = r.dir
	defer b.close()
	if err := b.startAll(); err != nil || !b.waitReady(20*time.Second) {
		fmt.Println("not ready", err)
		return couldNotRun
	}
	end := time.Now().Add(90 * time.Second)
	for range 4 {
		go func() {
			for time.Now().Before(end) {
				team := []string{"ndapewa-marking", "tjikuua-content", "shikongo-ops"}[rand.Intn(3)]
				j := b.newJob(team, wire.Array, 1+rand.Intn(4), 1, time.Duration(1+rand.Intn(8))*time.Second)
				switch rand.Intn(8) {
				case 0:
					j = b.newJob(team, wire.Service, 1+rand.Intn(4), 2, 0)
				case 1:
					j.OneZone = true
				case 2:
					j.Mark, j.Store = 2, 1
				case 3:
					j.Image, j.ImageGB = "img-2", 1
				}
				go b.life(j, end)
				time.Sleep(time.Duration(rand.Intn(1500)) * time.Millisecond)
			}
		}()
	}
	if r.trouble {
		for time.Now().Before(end) {
			time.Sleep(time.Duration(3+rand.Intn(6)) * time.Second)
			m := b.site.Members[rand.Intn(3)]
			switch rand.Intn(9) {
			case 0:
				b.signal(m, syscall.SIGKILL)
				time.Sleep(time.Duration(rand.Intn(1500)) * time.Millisecond)
				_ = b.startController(m)
			case 1:
				b.signal(m, syscall.SIGSTOP)
				time.Sleep(time.Duration(1+rand.Intn(7)) * time.Second)
				b.signal(m, syscall.SIGCONT)
			case 2:
				l := b.state.Leader()
				b.signal(l, syscall.SIGSTOP)
				time.Sleep(time.Duration(1+rand.Intn(7)) * time.Second)
				b.signal(l, syscall.SIGCONT)
			case 3:
				b.note("slow state service")
				b.state.SetFaults(func(string, string, string) wire.Fault {
					return wire.Fault{Before: time.Duration(rand.Intn(200)) * time.Millisecond, After: time.Duration(rand.Intn(200)) * time.Millisecond}
				})
				time.Sleep(5 * time.Second)
				b.state.SetFaults(nil)
			case 4:
				b.note("late transactions")
				b.state.SetFaults(func(_, method, uri string) wire.Fault {
					if rand.Intn(3) == 0 {
						return wire.Fault{Late: time.Duration(2+rand.Intn(10)) * time.Second, After: time.Duration(rand.Intn(1500)) * time.Millisecond}
					}
					return wire.Fault{}
				})
				time.Sleep(6 * time.Second)
				b.state.SetFaults(nil)
			case 5:
				b.note("lost answers")
				b.state.SetFaults(func(_, method, uri string) wire.Fault { return wire.Fault{Lose: rand.Intn(3) == 0} })
				time.Sleep(6 * time.Second)
				b.state.SetFaults(nil)
			case 6:
				b.note("%s refused", m)
				b.state.SetFaults(func(node, _, uri string) wire.Fault { return wire.Fault{Refuse: node == m} })
				time.Sleep(time.Duration(2+rand.Intn(8)) * time.Second)
				b.state.SetFaults(nil)
			case 7:
				b.note("outage")
				b.state.SetOutage(true)
				time.Sleep(time.Duration(2+rand.Intn(8)) * time.Second)
				b.state.SetOutage(false)
			case 8:
				b.note("hanging and deaf machines")
				for _, m := range b.fleet.Machines() {
					if rand.Intn(3) == 0 {
						m.Hang(time.Duration(2+rand.Intn(9)) * time.Second)
					}
				}
				b.fleet.SetReportFault(func(*wire.Machine) (bool, time.Duration) {
					if rand.Intn(3) == 0 {
						return rand.Intn(2) == 0, time.Duration(2000+rand.Intn(20000)) * time.Millisecond
					}
					return false, 0
				})
				time.Sleep(8 * time.Second)
				b.fleet.SetReportFault(nil)
			}
		}
	}
	time.Sleep(time.Until(end) + 15*time.Second)
	fmt.Println("unstarted:", b.audit.Unstarted())
	return b.verdict()
}

// life is a user's: submits, polls at random controllers, cancels at times.
func (b *bed) life(j *wire.Job, end time.Time) {
	if !b.submit(j) {
		return
	}
	cancelAt := time.Now().Add(time.Duration(rand.Intn(20)) * time.Second)
	cancels := rand.Intn(3) == 0
	for time.Now().Before(end.Add(15 * time.Second)) {
		node := b.anyNode()
		_, state := b.users.Poll(j.ID, node, b.fronts[node])
		if state == "done" || state == wire.Withdrawn {
			for range 3 {
				node := b.anyNode()
				b.users.Poll(j.ID, node, b.fronts[node])
				node = b.anyNode()
				b.users.Submit(j, node, b.fronts[node])
			}
			return
		}
		if cancels && time.Now().After(cancelAt) {
			b.withdraw(j.ID)
		}
		time.Sleep(time.Duration(200+rand.Intn(800)) * time.Millisecond)
	}
}
