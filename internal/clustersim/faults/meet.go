package faults

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/election"
	"github.com/glentiller/glentiller/internal/fake"
	"github.com/glentiller/glentiller/internal/model"
)

// Break is a part that a play leaves out on purpose, to show that its checks can fail.
type Break string

// What can be left out.
const (
	Knows  Break = "knows"  // a leader answers workers whatever it knows of cancellations
	Tokens Break = "tokens" // workers take orders under any token
	Leases Break = "leases" // leaders take workers' leases for a fifth of what they are
	Synced Break = "synced" // a member answers from what it has read last, and not as of now
)

// Breaks lists what can be left out.
var Breaks = []Break{Knows, Tokens, Leases, Synced}

// Meet draws runs in which two or three troubles meet, with tasks that outlast them and jobs of two or
// three tasks that end far apart, while jobs are cancelled and asked about.
func Meet(machines, runs int, seed uint64, atOnce int, without Break) *Result {
	return play(runs, seed, atOnce, func(seed uint64) *Result { return meet(machines, seed, without) })
}

const meetings = 220 * second // from the first submissions to the end of all troubles

func meet(machines int, seed uint64, without Break) *Result {
	r := &run{Rand: rand.New(rand.NewPCG(seed, 2)), res: &Result{Runs: 1, Least: 1, Met: Met{}}, deaf: map[string]time.Time{}, noticed: map[string]bool{}}
	r.w = world([]int{2, 3, 3, 5}[r.IntN(4)], machines)
	w := r.w
	w.Looks = true
	w.Runs = func(id model.TaskID) time.Duration {
		if w.Specs[id.Job].Class == "few" {
			return second + time.Duration(id.Index)*40*second
		}
		return 30*second + time.Duration(id.Index%9)*20*second
	}
	switch without {
	case Knows:
		w.Bound.KeepLeases, w.Bound.StartTasks = time.Hour, time.Hour
	case Tokens:
		w.AnyToken = true
	case Leases:
		w.Lease *= 5
	case Synced:
		w.Unread = true
	}
	w.Pass(8 * second)
	for i := range 2 * machines {
		r.submit(i, machines)
	}
	at := 15 * second
	for at < meetings-70*second {
		r.meeting(at)
		at += 30*second + r.some(45*second)
	}
	r.in(meetings, r.calm)
	r.through(meetings+second, after)
	r.judge()
	return r.res
}

// submit plans the submission of a job.
func (r *run) submit(i, machines int) {
	s := &model.Spec{ID: fmt.Sprintf("wk-%06d", i), Class: "few", Team: [...]string{"red", "blue"}[r.IntN(2)], Shape: model.Array, Priority: model.PriorityNormal, Tasks: 2 + r.IntN(2),
		Demand: model.Resources{CPU: 2, MemGB: 4}, Image: "img", ImageGB: 1, EstimatedRunTime: 40 * second, AllowSpot: true}
	switch r.IntN(5) {
	case 0:
		s.Class, s.Tasks = "arrays", 1+r.IntN(max(machines/3, 2))
		if r.IntN(2) == 0 {
			s.CheckpointInterval, s.CheckpointTime = 10*second, 4*second
		}
	case 1:
		s.Class, s.Shape, s.Tasks = "gangs", model.Gang, 2+r.IntN(3)
	case 2:
		s.Class, s.Shape, s.Priority, s.Spread = "services", model.Service, model.PriorityProduction, true
	}
	var try func()
	try = func() {
		if c := r.member(); c.Up && !c.Frozen && r.w.Submit(c, s) == nil {
			r.jobs = append(r.jobs, &job{spec: s, at: r.w.Now(), answered: r.w.Now()})
			return
		}
		r.in(2*second, try) // a user tries again
	}
	r.in(r.some(meetings/2), try)
}

func (r *run) member() *fake.Controller { return r.w.Controllers[r.IntN(len(r.w.Controllers))] }

// leader is whoever leads, or anybody; now and then anybody all the same.
func (r *run) leader() *fake.Controller {
	if l := r.w.Leader(); l != nil && r.IntN(4) > 0 {
		return l
	}
	return r.member()
}

// some machines, up to a part of them.
func (r *run) machines(part int) []*fake.Worker {
	names := r.w.Names()
	if len(names) == 0 {
		return nil // all were given back
	}
	var out []*fake.Worker
	for range 1 + r.IntN(len(names)/part+1) {
		if k := r.w.Workers[names[r.IntN(len(names))]]; k != nil {
			out = append(out, k)
		}
	}
	return out
}

// Each trouble begins, and gives what ends it.
func (r *run) troubles() map[string]func() (end func()) {
	w := r.w
	member := func(c *fake.Controller, set func(c *fake.Controller, on bool)) func() {
		set(c, true)
		return func() { set(c, false) }
	}
	on := func(part int, set func(k *fake.Worker, on bool)) func() {
		some := r.machines(part)
		for _, k := range some {
			set(k, true)
		}
		return func() {
			for _, k := range some {
				set(k, false)
			}
		}
	}
	back := func(c *fake.Controller, in time.Duration) func() {
		if c.Up {
			c.Crash()
			r.in(in, func() {
				if !c.Up {
					c.Start()
				}
			})
		}
		return func() {}
	}
	return map[string]func() func(){
		"refused": func() func() { return member(r.leader(), func(c *fake.Controller, on bool) { c.NoNet = on }) },
		"refused, then an outage for all": func() func() {
			l := r.leader()
			l.NoNet = true
			ahead := r.some(4 * second)
			r.in(r.some(ahead), func() {
				for _, c := range w.Controllers {
					if c == l || !c.Up {
						continue
					}
					if len(r.jobs) > 0 && !c.Frozen {
						r.cancel(c, r.jobs[r.IntN(len(r.jobs))])
					}
					if r.IntN(2) == 0 { // it forgets whom it told
						c.Crash()
						c.Start()
					}
				}
			})
			r.in(ahead, func() {
				w.State.SetDown(true)
				r.in(w.CancelIn+10*second, func() { w.State.SetDown(false) })
			})
			return func() { l.NoNet = false }
		},
		"unread": func() func() { return member(r.leader(), func(c *fake.Controller, on bool) { c.NoRead = on }) },
		"cut off": func() func() {
			return member(r.leader(), func(c *fake.Controller, on bool) { c.NoNet, c.Alone = on, on })
		},
		"no workers": func() func() { return member(r.leader(), func(c *fake.Controller, on bool) { c.Deaf = on }) },
		"frozen":     func() func() { return member(r.leader(), func(c *fake.Controller, on bool) { c.Frozen = on }) },
		"apart":      func() func() { w.Apart = true; return func() { w.Apart = false } },
		"outage":     func() func() { w.State.SetDown(true); return func() { w.State.SetDown(false) } },
		"deaf":       func() func() { return on(3, func(k *fake.Worker, on bool) { k.Deaf = on }) },
		"mute":       func() func() { return on(3, func(k *fake.Worker, on bool) { k.Mute = on }) },
		"half a zone mute or deaf": func() func() {
			mute, zone := r.IntN(2) == 0, r.IntN(2)
			var some []*fake.Worker
			for _, n := range w.Names() {
				if k := w.Workers[n]; k.Zone == w.Types[0].Zones[zone] && r.IntN(2) == 0 {
					some = append(some, k)
				}
			}
			set := func(on bool) {
				for _, k := range some {
					if mute {
						k.Mute = on
					} else {
						k.Deaf = on
					}
				}
			}
			set(true)
			return func() { set(false) }
		},
		"cancelled and hung at once": func() func() {
			var hung []*fake.Worker
			for range 4 + r.IntN(8) {
				if len(r.jobs) == 0 {
					break
				}
				j, c := r.jobs[r.IntN(len(r.jobs))], r.member()
				if j.gone || !c.Up || c.Frozen {
					continue
				}
				r.cancel(c, j)
				for _, n := range w.Names() {
					if k := w.Workers[n]; k.Of(j.spec.ID) > 0 && len(hung) < 8 {
						k.Hung = true
						hung = append(hung, k)
					}
				}
			}
			return func() {
				for _, k := range hung {
					k.Hung = false
				}
				w.Release()
			}
		},
		"cancelled at the end": func() func() {
			r.atEnd = 0.5
			return func() { r.atEnd = 0 }
		},
		"only answers to writes are lost": func() func() {
			w.Net = r.atOnce
			return func() { w.Net = nil }
		},
		"reports for the next leader": func() func() {
			l, kept := w.Leader(), slices.Clone(w.Copied)
			var wait func()
			wait = func() {
				if now := w.Leader(); now == nil || now == l {
					r.in(second/2, wait)
					return
				}
				for _, c := range w.Controllers {
					for _, rep := range kept[max(0, len(kept)-200):] {
						w.Late(c, rep)
					}
				}
			}
			r.in(second/2, wait)
			return func() {}
		},
		"machines up at once": func() func() {
			was := w.Boot
			w.Boot = r.some(2 * second)
			return func() { w.Boot = was }
		},
		"out of reach": func() func() { return on(3, func(k *fake.Worker, on bool) { k.Cut = on }) },
		"hung": func() func() {
			end := on(3, func(k *fake.Worker, on bool) { k.Hung = on })
			return func() { end(); w.Release() }
		},
		"machines back at once": func() func() {
			for _, k := range r.machines(4) {
				w.Blink(k)
			}
			return func() {}
		},
		"crash": func() func() { return back(r.leader(), 50*time.Millisecond+r.some(5*second)) },
		"blink": func() func() { return back(r.leader(), 50*time.Millisecond+r.some(300*time.Millisecond)) },
		"hand over": func() func() {
			w.Elect(r.leader(), election.Resign{})
			return func() {}
		},
		"all crash": func() func() {
			for _, c := range w.Controllers {
				back(c, 100*time.Millisecond+r.some(6*second))
			}
			return func() {}
		},
		"late writes": func() func() {
			w.Net = r.late
			return func() { w.Net = nil }
		},
		"late reports": func() func() {
			on := true
			for range 200 {
				r.in(r.some(40*second), func() {
					if on && len(w.Copied) > 0 {
						w.Late(r.member(), w.Copied[r.IntN(len(w.Copied))])
					}
				})
			}
			return func() { on = false }
		},
		"held commands": func() func() {
			w.Way = func() fake.Fate { return []fake.Fate{fake.Answered, fake.Held, fake.Unanswered, fake.Lost}[r.IntN(4)] }
			return func() { w.Way = nil; w.Release() }
		},
		"repeated commands": func() func() {
			for range 20 {
				r.in(r.some(20*second), func() {
					if n := len(w.Again); n > 0 {
						if a := w.Again[r.IntN(n)]; w.Now().Sub(a.At) < 3*w.Lease {
							a.Do()
						}
					}
				})
			}
			return func() {}
		},
		"cancellations": func() func() {
			for range 4 + r.IntN(8) {
				r.in(r.some(12*second), func() {
					if len(r.jobs) == 0 {
						return
					}
					if j, c := r.jobs[r.IntN(len(r.jobs))], r.member(); !j.gone && c.Up && !c.Frozen {
						r.cancel(c, j)
					}
				})
			}
			return func() {}
		},
	}
}

// late has the network hold a part of the transactions, which are carried out seconds later.
func (r *run) late(_ *fake.Controller, body []byte) (error, bool) {
	if r.IntN(3) > 0 {
		return nil, false
	}
	body = slices.Clone(body)
	r.in(2*second+r.some(10*second), func() { _, _ = r.w.State.Call("POST", "/commit", body, second) }) // refused, or not
	return context.DeadlineExceeded, true
}

// atOnce has the answers to a part of the transactions lost, which are carried out.
func (r *run) atOnce(_ *fake.Controller, body []byte) (error, bool) {
	if r.IntN(3) > 0 {
		return nil, false
	}
	_, _ = r.w.State.Call("POST", "/commit", body, second) // refused, or not
	return context.DeadlineExceeded, true
}

// ends cancels a part of the jobs whose last task has just ended, before or after the leader knows.
func (r *run) ends() {
	for _, j := range r.jobs {
		if j.over || j.gone || !r.w.AllDone(j.spec.ID) {
			continue
		}
		j.over = true
		if r.Float64() < r.atEnd {
			r.in(r.some(second), func() {
				if c := r.member(); c.Up && !c.Frozen {
					r.cancel(c, j)
					r.w.AskAll(j.spec.ID)
				}
			})
		}
	}
}

// meeting plans two or three troubles within seconds, and cancellations among them.
func (r *run) meeting(at time.Duration) {
	all := r.troubles()
	names := slices.Sorted(maps.Keys(all))
	r.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	names = names[:2+r.IntN(2)]
	if !slices.Contains(names, "cancellations") {
		names = append(names, "cancellations")
	}
	for i, name := range names {
		for _, other := range names[:i] {
			r.res.Met[min(name, other)+" + "+max(name, other)]++
		}
		long := second + r.some(15*second)
		if r.IntN(3) == 0 {
			long = r.some(60 * second)
		}
		r.in(at+r.some(5*second), func() { r.in(long, all[name]()) })
	}
}

// calm ends what is left of the troubles.
func (r *run) calm() {
	w := r.w
	w.State.SetDown(false)
	w.Net, w.Way, w.Slow, w.Apart = nil, nil, nil, false
	for _, c := range w.Controllers {
		if c.NoNet, c.NoRead, c.Alone, c.Deaf, c.Frozen = false, false, false, false, false; !c.Up {
			c.Start()
		}
	}
	for _, k := range w.Workers {
		k.Deaf, k.Mute, k.Cut, k.Hung = false, false, false, false
	}
	w.Release()
	w.Calm()
}
