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

// Mutation is a part that a play leaves out on purpose, to show that its checks can fail.
type Mutation string

// What can be left out.
const (
	IgnoreStaleness Mutation = "knows"  // a leader answers workers whatever it knows of cancellations
	AcceptAnyToken  Mutation = "tokens" // workers take orders under any token
	ShortLeases     Mutation = "leases" // leaders take workers' leases for a fifth of what they are
	StaleReads      Mutation = "synced" // a member answers from what it has read last, and not as of now
)

// Mutations lists what can be left out.
var Mutations = []Mutation{IgnoreStaleness, AcceptAnyToken, ShortLeases, StaleReads}

// RunOverlapping draws runs in which two or three troubles meet, with tasks that outlast them and jobs of two or
// three tasks that end far apart, while jobs are cancelled and asked about.
func RunOverlapping(machines, runs int, seed uint64, atOnce int, without Mutation) *Result {
	return runAll(runs, seed, atOnce, func(seed uint64) *Result { return runOneOverlapping(machines, seed, without) })
}

const overlapPhase = 220 * second // from the first submissions to the end of all troubles

func runOneOverlapping(machines int, seed uint64, without Mutation) *Result {
	r := &simulation{Rand: rand.New(rand.NewPCG(seed, 2)), result: &Result{Runs: 1, LeastServed: 1, Overlaps: Overlaps{}}, blockedSince: map[string]time.Time{}, detected: map[string]bool{}}
	r.world = newWorld([]int{2, 3, 3, 5}[r.IntN(4)], machines)
	w := r.world
	w.PollOnCommit = true
	w.RunTimeOf = func(id model.TaskID) time.Duration {
		if w.Specs[id.Job].Class == "few" {
			return second + time.Duration(id.Index)*40*second
		}
		return 30*second + time.Duration(id.Index%9)*20*second
	}
	switch without {
	case IgnoreStaleness:
		w.StalenessBound.KeepLeases, w.StalenessBound.StartTasks = time.Hour, time.Hour
	case AcceptAnyToken:
		w.AcceptAnyToken = true
	case ShortLeases:
		w.Lease *= 5
	case StaleReads:
		w.StaleReads = true
	}
	w.Advance(8 * second)
	for i := range 2 * machines {
		r.planSubmission(i, machines)
	}
	at := 15 * second
	for at < overlapPhase-70*second {
		r.planOverlap(at)
		at += 30*second + r.randomUpTo(45*second)
	}
	r.planIn(overlapPhase, r.endFaults)
	r.advance(overlapPhase+second, recoveryPhase)
	r.summarize()
	return r.result
}

// planSubmission plans the submission of a job.
func (r *simulation) planSubmission(i, machines int) {
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
		if c := r.randomController(); c.Up && !c.Frozen && r.world.Submit(c, s) == nil {
			r.jobs = append(r.jobs, &job{spec: s, submittedAt: r.world.Now(), answeredAt: r.world.Now()})
			return
		}
		r.planIn(2*second, try) // a user tries again
	}
	r.planIn(r.randomUpTo(overlapPhase/2), try)
}

func (r *simulation) randomController() *fake.Controller {
	return r.world.Controllers[r.IntN(len(r.world.Controllers))]
}

// leaderOrRandom is whoever leads, or anybody; now and then anybody all the same.
func (r *simulation) leaderOrRandom() *fake.Controller {
	if l := r.world.Leader(); l != nil && r.IntN(4) > 0 {
		return l
	}
	return r.randomController()
}

// some machines, up to a part of them.
func (r *simulation) randomWorkers(part int) []*fake.Worker {
	names := r.world.WorkerNames()
	if len(names) == 0 {
		return nil // all were given back
	}
	var out []*fake.Worker
	for range 1 + r.IntN(len(names)/part+1) {
		if k := r.world.Workers[names[r.IntN(len(names))]]; k != nil {
			out = append(out, k)
		}
	}
	return out
}

// Each trouble begins, and gives what ends it.
func (r *simulation) faultStarters() map[string]func() (end func()) {
	w := r.world
	member := func(c *fake.Controller, set func(c *fake.Controller, on bool)) func() {
		set(c, true)
		return func() { set(c, false) }
	}
	on := func(part int, set func(k *fake.Worker, on bool)) func() {
		some := r.randomWorkers(part)
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
			r.planIn(in, func() {
				if !c.Up {
					c.Start()
				}
			})
		}
		return func() {}
	}
	return map[string]func() func(){
		"refused": func() func() {
			return member(r.leaderOrRandom(), func(c *fake.Controller, on bool) { c.StateUnreachable = on })
		},
		"refused, then an outage for all": func() func() {
			l := r.leaderOrRandom()
			l.StateUnreachable = true
			ahead := r.randomUpTo(4 * second)
			r.planIn(r.randomUpTo(ahead), func() {
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
			r.planIn(ahead, func() {
				w.State.SetDown(true)
				r.planIn(w.CancelDeadline+10*second, func() { w.State.SetDown(false) })
			})
			return func() { l.StateUnreachable = false }
		},
		"unread": func() func() {
			return member(r.leaderOrRandom(), func(c *fake.Controller, on bool) { c.ReadsBlocked = on })
		},
		"cut off": func() func() {
			return member(r.leaderOrRandom(), func(c *fake.Controller, on bool) { c.StateUnreachable, c.PeersUnreachable = on, on })
		},
		"no workers": func() func() {
			return member(r.leaderOrRandom(), func(c *fake.Controller, on bool) { c.WorkersUnreachable = on })
		},
		"frozen": func() func() { return member(r.leaderOrRandom(), func(c *fake.Controller, on bool) { c.Frozen = on }) },
		"apart":  func() func() { w.ControllersPartitioned = true; return func() { w.ControllersPartitioned = false } },
		"outage": func() func() { w.State.SetDown(true); return func() { w.State.SetDown(false) } },
		"deaf":   func() func() { return on(3, func(k *fake.Worker, on bool) { k.InboundBlocked = on }) },
		"mute":   func() func() { return on(3, func(k *fake.Worker, on bool) { k.OutboundBlocked = on }) },
		"half a zone mute or deaf": func() func() {
			mute, zone := r.IntN(2) == 0, r.IntN(2)
			var some []*fake.Worker
			for _, n := range w.WorkerNames() {
				if k := w.Workers[n]; k.Zone == w.Types[0].Zones[zone] && r.IntN(2) == 0 {
					some = append(some, k)
				}
			}
			set := func(on bool) {
				for _, k := range some {
					if mute {
						k.OutboundBlocked = on
					} else {
						k.InboundBlocked = on
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
				j, c := r.jobs[r.IntN(len(r.jobs))], r.randomController()
				if j.cancelled || !c.Up || c.Frozen {
					continue
				}
				r.cancel(c, j)
				for _, n := range w.WorkerNames() {
					if k := w.Workers[n]; k.CountTasks(j.spec.ID) > 0 && len(hung) < 8 {
						k.Hung = true
						hung = append(hung, k)
					}
				}
			}
			return func() {
				for _, k := range hung {
					k.Hung = false
				}
				w.DeliverHeldCommands()
			}
		},
		"cancelled at the end": func() func() {
			r.cancelAtEnd = 0.5
			return func() { r.cancelAtEnd = 0 }
		},
		"only answers to writes are lost": func() func() {
			w.InterceptCommit = r.loseCommitAnswers
			return func() { w.InterceptCommit = nil }
		},
		"reports for the next leader": func() func() {
			l, kept := w.Leader(), slices.Clone(w.RetainedHeartbeats)
			var wait func()
			wait = func() {
				if now := w.Leader(); now == nil || now == l {
					r.planIn(second/2, wait)
					return
				}
				for _, c := range w.Controllers {
					for _, rep := range kept[max(0, len(kept)-200):] {
						w.ReplayHeartbeat(c, rep)
					}
				}
			}
			r.planIn(second/2, wait)
			return func() {}
		},
		"machines up at once": func() func() {
			was := w.BootTime
			w.BootTime = r.randomUpTo(2 * second)
			return func() { w.BootTime = was }
		},
		"out of reach": func() func() { return on(3, func(k *fake.Worker, on bool) { k.Partitioned = on }) },
		"hung": func() func() {
			end := on(3, func(k *fake.Worker, on bool) { k.Hung = on })
			return func() { end(); w.DeliverHeldCommands() }
		},
		"machines back at once": func() func() {
			for _, k := range r.randomWorkers(4) {
				w.RestartWorker(k)
			}
			return func() {}
		},
		"crash": func() func() { return back(r.leaderOrRandom(), 50*time.Millisecond+r.randomUpTo(5*second)) },
		"blink": func() func() { return back(r.leaderOrRandom(), 50*time.Millisecond+r.randomUpTo(300*time.Millisecond)) },
		"hand over": func() func() {
			w.StepElection(r.leaderOrRandom(), election.Resign{})
			return func() {}
		},
		"all crash": func() func() {
			for _, c := range w.Controllers {
				back(c, 100*time.Millisecond+r.randomUpTo(6*second))
			}
			return func() {}
		},
		"late writes": func() func() {
			w.InterceptCommit = r.delayCommits
			return func() { w.InterceptCommit = nil }
		},
		"late reports": func() func() {
			on := true
			for range 200 {
				r.planIn(r.randomUpTo(40*second), func() {
					if on && len(w.RetainedHeartbeats) > 0 {
						w.ReplayHeartbeat(r.randomController(), w.RetainedHeartbeats[r.IntN(len(w.RetainedHeartbeats))])
					}
				})
			}
			return func() { on = false }
		},
		"held commands": func() func() {
			w.NextDelivery = func() fake.Delivery {
				return []fake.Delivery{fake.Delivered, fake.Delayed, fake.AnswerLost, fake.Dropped}[r.IntN(4)]
			}
			return func() { w.NextDelivery = nil; w.DeliverHeldCommands() }
		},
		"repeated commands": func() func() {
			for range 20 {
				r.planIn(r.randomUpTo(20*second), func() {
					if n := len(w.RepeatableCommands); n > 0 {
						if a := w.RepeatableCommands[r.IntN(n)]; w.Now().Sub(a.DeliveredAt) < 3*w.Lease {
							a.Repeat()
						}
					}
				})
			}
			return func() {}
		},
		"cancellations": func() func() {
			for range 4 + r.IntN(8) {
				r.planIn(r.randomUpTo(12*second), func() {
					if len(r.jobs) == 0 {
						return
					}
					if j, c := r.jobs[r.IntN(len(r.jobs))], r.randomController(); !j.cancelled && c.Up && !c.Frozen {
						r.cancel(c, j)
					}
				})
			}
			return func() {}
		},
	}
}

// delayCommits has the network hold a part of the transactions, which are carried out seconds later.
func (r *simulation) delayCommits(_ *fake.Controller, body []byte) (bool, error) {
	if r.IntN(3) > 0 {
		return false, nil
	}
	body = slices.Clone(body)
	r.planIn(2*second+r.randomUpTo(10*second), func() { _, _ = r.world.State.Call("POST", "/commit", body, second) }) // refused, or not
	return true, context.DeadlineExceeded
}

// loseCommitAnswers has the answers to a part of the transactions lost, which are carried out.
func (r *simulation) loseCommitAnswers(_ *fake.Controller, body []byte) (bool, error) {
	if r.IntN(3) > 0 {
		return false, nil
	}
	_, _ = r.world.State.Call("POST", "/commit", body, second) // refused, or not
	return true, context.DeadlineExceeded
}

// cancelCompleted cancels a part of the jobs whose last task has just ended, before or after the leader knows.
func (r *simulation) cancelCompleted() {
	for _, j := range r.jobs {
		if j.completed || j.cancelled || !r.world.AllCompleted(j.spec.ID) {
			continue
		}
		j.completed = true
		if r.Float64() < r.cancelAtEnd {
			r.planIn(r.randomUpTo(second), func() {
				if c := r.randomController(); c.Up && !c.Frozen {
					r.cancel(c, j)
					r.world.PollAll(j.spec.ID)
				}
			})
		}
	}
}

// planOverlap plans two or three troubles within seconds, and cancellations among them.
func (r *simulation) planOverlap(at time.Duration) {
	all := r.faultStarters()
	names := slices.Sorted(maps.Keys(all))
	r.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	names = names[:2+r.IntN(2)]
	if !slices.Contains(names, "cancellations") {
		names = append(names, "cancellations")
	}
	for i, name := range names {
		for _, other := range names[:i] {
			r.result.Overlaps[min(name, other)+" + "+max(name, other)]++
		}
		long := second + r.randomUpTo(15*second)
		if r.IntN(3) == 0 {
			long = r.randomUpTo(60 * second)
		}
		r.planIn(at+r.randomUpTo(5*second), func() { r.planIn(long, all[name]()) })
	}
}

// endFaults ends what is left of the troubles.
func (r *simulation) endFaults() {
	w := r.world
	w.State.SetDown(false)
	w.InterceptCommit, w.NextDelivery, w.StateLatency, w.ControllersPartitioned = nil, nil, nil, false
	for _, c := range w.Controllers {
		if c.StateUnreachable, c.ReadsBlocked, c.PeersUnreachable, c.WorkersUnreachable, c.Frozen = false, false, false, false, false; !c.Up {
			c.Start()
		}
	}
	for _, k := range w.Workers {
		k.InboundBlocked, k.OutboundBlocked, k.Partitioned, k.Hung = false, false, false, false
	}
	w.DeliverHeldCommands()
	w.MarkFaultsEnded()
}
