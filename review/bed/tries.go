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

// try runs random traffic for 90 s with one kind of trouble again and again. The attempts are no cases: the report lists
// them.
func try(s site, trouble func(b *bed)) func(run) int {
	return func(r run) int {
		b, err := newBed(s, r.root, filepath.Join(r.dir, "record.txt"))
		if err != nil {
			return couldNotRun
		}
		b.logs = os.Getenv("BED_LOGS")
		defer b.close()
		if err := b.startAll(); err != nil || !b.waitReady(20*time.Second) {
			return couldNotRun
		}
		end := time.Now().Add(90 * time.Second)
		for range 4 {
			go func() {
				for time.Now().Before(end) {
					team := s.Teams[rand.Intn(len(s.Teams))][0].(string)
					j := b.newJob(team, wire.Array, 1+rand.Intn(4), 1, time.Duration(1+rand.Intn(40))*time.Second)
					if rand.Intn(6) == 0 {
						j = b.newJob(team, wire.Service, 1+rand.Intn(3), 2, 0)
					}
					go b.life(j, end)
					time.Sleep(time.Duration(rand.Intn(1500)) * time.Millisecond)
				}
			}()
		}
		for time.Now().Before(end) {
			time.Sleep(4 * time.Second)
			if r.trouble {
				trouble(b)
			}
			b.audit.Sweep()
		}
		b.state.SetFaults(nil)
		b.state.SetOutage(false)
		for range 15 {
			time.Sleep(time.Second)
			b.audit.Sweep()
		}
		fmt.Println("not started:", b.audit.Unstarted())
		return b.verdict()
	}
}

func init() {
	// Cancellations while the state service refuses the leader alone and is out a second later for longer than cancel_s.
	cases["try-refused-then-out"] = try(homework(), func(b *bed) {
		leader := b.state.Leader()
		for _, m := range b.fleet.Machines() {
			if rand.Intn(3) == 0 {
				m.Hang(time.Duration(2+rand.Intn(9)) * time.Second)
			}
		}
		b.state.SetFaults(func(node, _, _ string) wire.Fault { return wire.Fault{Refuse: node == leader} })
		for _, id := range b.audit.Running(12) {
			go b.withdraw(id)
		}
		time.Sleep(time.Second)
		b.state.SetFaults(nil)
		b.state.SetOutage(true)
		for range 36 {
			time.Sleep(time.Second)
			b.audit.Sweep()
		}
		b.state.SetOutage(false)
	})
	// The same while it answers slowly.
	cases["try-slow-cancel"] = try(homework(), func(b *bed) {
		b.state.SetFaults(func(_, _, _ string) wire.Fault { return wire.Fault{Before: ms(0, 500), After: ms(0, 500)} })
		time.Sleep(2 * time.Second)
		for _, id := range b.audit.Running(12) {
			go b.withdraw(id)
		}
		b.signal(b.state.Leader(), syscall.SIGSTOP)
		time.Sleep(3 * time.Second)
		for _, m := range b.site.Members {
			b.signal(m, syscall.SIGCONT)
		}
		time.Sleep(10 * time.Second)
		b.state.SetFaults(nil)
	})
	// Machines that reach no controller, while direct commands reach them.
	cases["try-mute"] = try(homework(), func(b *bed) {
		b.fleet.SetMute(func(m *wire.Machine) bool { return m.Name[len(m.Name)-1]%3 == 0 })
		time.Sleep(20 * time.Second)
		b.signal(b.state.Leader(), syscall.SIGSTOP)
		time.Sleep(6 * time.Second)
		for _, m := range b.site.Members {
			b.signal(m, syscall.SIGCONT)
		}
		b.fleet.SetMute(nil)
	})
	// Leaders that change every few seconds, also while the state service is out.
	leaders := func(b *bed) {
		leader := b.state.Leader()
		if leader == "" {
			return
		}
		b.signal(leader, syscall.SIGKILL)
		out := rand.Intn(3) == 0
		b.state.SetOutage(out)
		time.Sleep(time.Duration(rand.Intn(4000)) * time.Millisecond)
		_ = b.startController(leader)
		time.Sleep(2 * time.Second)
		b.state.SetOutage(false)
	}
	cases["try-leaders"] = try(homework(), leaders)
	cases["try-five"] = try(fiveControllers(), leaders)
	// The service keeps few changes, and a controller stands still meanwhile.
	cases["try-compacted"] = try(homework(), func(b *bed) {
		wire.KeepChanges(60)
		m := b.anyNode()
		b.signal(m, syscall.SIGSTOP)
		time.Sleep(time.Duration(2+rand.Intn(8)) * time.Second)
		b.signal(m, syscall.SIGCONT)
	})
	// Questions many times as often, while the service is slow.
	cases["try-questions"] = try(homework(), func(b *bed) {
		b.state.SetFaults(func(_, _, _ string) wire.Fault { return wire.Fault{Before: ms(0, 100)} })
		for range 40 {
			go func() {
				for begin := time.Now(); time.Since(begin) < 10*time.Second; time.Sleep(50 * time.Millisecond) {
					for _, id := range b.audit.Running(2) {
						node := b.anyNode()
						b.users.Poll(id, node, b.fronts[node])
					}
					b.users.Poll(fmt.Sprintf("wk-%06d", 900000+rand.Intn(1000)), "tiller-0", b.fronts["tiller-0"])
				}
			}()
		}
		time.Sleep(12 * time.Second)
		b.state.SetFaults(nil)
	})
}

func ms(from, to int) time.Duration {
	return time.Duration(from+rand.Intn(to-from+1)) * time.Millisecond
}

// tryCatalogue accepts a job for a machine type, changes the catalogue, restarts the controllers and submits it again.
func tryCatalogue(r run) int {
	b, err := newBed(homework(), r.root, filepath.Join(r.dir, "record.txt"))
	if err != nil {
		return couldNotRun
	}
	defer b.close()
	if err := b.startAll(); err != nil || !b.waitReady(20*time.Second) {
		return couldNotRun
	}
	j := b.newJob("tjikuua-content", wire.Array, 1, 6, time.Hour)
	other := b.newJob("tjikuua-content", wire.Array, 1, 6, time.Hour)
	if !b.submit(j) {
		return couldNotRun
	}
	small := wire.Kudu(b.site.Zones)
	small.Name, small.Cores = "kudu-two", 2
	b.fleet.SetBreeds([]*wire.Breed{small})
	for _, m := range b.site.Members {
		b.signal(m, syscall.SIGKILL)
		_ = b.startController(m)
	}
	b.waitReady(20 * time.Second)
	time.Sleep(2 * time.Second)
	for _, m := range b.site.Members {
		fmt.Println(m, "known:", b.users.Submit(j, m, b.fronts[m]), "new:", b.users.Submit(other, m, b.fronts[m]))
		status, state := b.users.Poll(j.ID, m, b.fronts[m])
		fmt.Println(m, "poll:", status, state)
	}
	return b.verdict()
}

func init() { cases["try-catalogue"] = tryCatalogue }

// tryUniform is the case of the lost jobs without the pipelines, and with a shorter wait.
func tryUniform(r run) int {
	b, err := newBed(homework(), r.root, filepath.Join(r.dir, "record.txt"))
	if err != nil {
		return couldNotRun
	}
	defer b.close()
	if err := b.startAll(); err != nil || !b.waitReady(20*time.Second) {
		return couldNotRun
	}
	end := time.Now().Add(10 * time.Second)
	go func() {
		for time.Now().Before(end) {
			j := b.newJob("shikongo-ops", wire.Array, 1, 1, 5*time.Second)
			go b.submit(j)
			time.Sleep(125 * time.Millisecond)
		}
	}()
	time.Sleep(3 * time.Second)
	leader := b.state.Leader()
	b.state.SetFaults(func(_, _, _ string) wire.Fault { return wire.Fault{Before: ms(0, 300), After: ms(0, 300)} })
	b.signal(leader, syscall.SIGKILL)
	if err := b.startController(leader); err != nil {
		return couldNotRun
	}
	time.Sleep(6 * time.Second)
	b.state.SetFaults(nil)
	time.Sleep(30 * time.Second)
	if left := b.audit.Unstarted(); len(left) > 0 {
		b.audit.Break("not started after 30 s: %v", left)
	}
	return b.verdict()
}

func init() { cases["try-uniform"] = tryUniform }

// tryUpgrade begins with the former version (BED_OLD) on all controllers and replaces them one after the other, with
// kills, stops and a slow state service in between.
func tryUpgrade(r run) int {
	b, err := newBed(homework(), r.root, filepath.Join(r.dir, "record.txt"))
	if err != nil || os.Getenv("BED_OLD") == "" {
		return couldNotRun
	}
	b.logs = os.Getenv("BED_LOGS")
	defer b.close()
	b.old = map[string]bool{}
	for _, m := range b.site.Members {
		b.old[m] = true
	}
	if err := b.startAll(); err != nil || !b.waitReady(20*time.Second) {
		return couldNotRun
	}
	end := time.Now().Add(80 * time.Second)
	for range 3 {
		go func() {
			for time.Now().Before(end) {
				team := b.site.Teams[rand.Intn(3)][0].(string)
				j := b.newJob(team, wire.Array, 1+rand.Intn(4), 1, time.Duration(1+rand.Intn(15))*time.Second)
				if rand.Intn(6) == 0 {
					j = b.newJob(team, wire.Service, 1+rand.Intn(3), 2, 0)
				}
				go b.life(j, end)
				time.Sleep(time.Duration(rand.Intn(1500)) * time.Millisecond)
			}
		}()
	}
	trouble := func() {
		m := b.site.Members[rand.Intn(3)]
		switch rand.Intn(4) {
		case 0:
			b.signal(m, syscall.SIGKILL)
			time.Sleep(time.Duration(rand.Intn(2000)) * time.Millisecond)
			_ = b.startController(m)
		case 1:
			b.signal(m, syscall.SIGSTOP)
			time.Sleep(time.Duration(1+rand.Intn(6)) * time.Second)
			b.signal(m, syscall.SIGCONT)
		case 2:
			b.state.SetFaults(func(_, _, _ string) wire.Fault { return wire.Fault{Before: ms(0, 200), Lose: rand.Intn(5) == 0} })
			time.Sleep(4 * time.Second)
			b.state.SetFaults(nil)
		case 3:
			b.state.SetOutage(true)
			time.Sleep(time.Duration(1+rand.Intn(6)) * time.Second)
			b.state.SetOutage(false)
		}
	}
	for _, m := range b.site.Members {
		trouble()
		time.Sleep(2 * time.Second)
		b.signal(m, syscall.SIGKILL)
		b.old[m] = false
		time.Sleep(time.Second)
		_ = b.startController(m)
		time.Sleep(3 * time.Second)
	}
	for time.Now().Before(end) {
		trouble()
		time.Sleep(2 * time.Second)
	}
	time.Sleep(20 * time.Second)
	fmt.Println("not started:", b.audit.Unstarted())
	return b.verdict()
}

func init() { cases["try-upgrade"] = tryUpgrade }

func init() {
	// New machines are up within two seconds and get work at once while writes lag, and the leader ends.
	quick := homework()
	quick.MachinesByZone = 0
	quick.Breed = func(zones []string) *wire.Breed {
		breed := wire.Kudu(zones)
		breed.Boot = 1200 * time.Millisecond
		return breed
	}
	cases["try-quick-boots"] = try(quick, func(b *bed) {
		b.state.SetFaults(func(_, method, uri string) wire.Fault {
			if uri == "/commit" {
				return wire.Fault{Before: ms(0, 1500), Lose: rand.Intn(6) == 0}
			}
			return wire.Fault{}
		})
		for _, m := range b.fleet.Machines() {
			if rand.Intn(4) == 0 {
				m.Hang(time.Duration(5+rand.Intn(15)) * time.Second)
			}
		}
		time.Sleep(3 * time.Second)
		leader := b.state.Leader()
		if leader == "" {
			return
		}
		b.signal(leader, syscall.SIGKILL)
		time.Sleep(time.Duration(rand.Intn(3000)) * time.Millisecond)
		_ = b.startController(leader)
	})
	// One-task jobs at four a second, a quarter cancelled, at the smallest limits of the state service.
	smallest := homework()
	smallest.RPS, smallest.Writes = 150, 60
	cases["try-load"] = func(r run) int {
		stop := time.Now().Add(75 * time.Second)
		return try(smallest, func(b *bed) {
			if time.Now().After(stop) {
				return
			}
			for time.Now().Before(stop) {
				j := b.newJob("shikongo-ops", wire.Array, 1, 1, time.Duration(2+rand.Intn(10))*time.Second)
				go b.life(j, stop.Add(20*time.Second))
				if rand.Intn(4) == 0 {
					time.AfterFunc(time.Duration(rand.Intn(4000))*time.Millisecond, func() { b.withdraw(j.ID) })
				}
				time.Sleep(250 * time.Millisecond)
				if rand.Intn(60) == 0 {
					leader := b.state.Leader()
					b.signal(leader, syscall.SIGKILL)
					_ = b.startController(leader)
				}
			}
		})(r)
	}
}
