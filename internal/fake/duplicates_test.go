package fake

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/glentiller/glentiller/internal/model"
)

// fixRandomSeed has a random play draw the same every time, unless a seed is asked for on the command line:
//
//	go test ./internal/fake -run Copies -rapid.seed 7 -rapid.checks 3000
func fixRandomSeed(t *testing.T, checks int) {
	set := map[string]string{"rapid.seed": "20261201", "rapid.checks": fmt.Sprint(checks), "rapid.steps": "40", "rapid.nofailfile": "true"}
	if flag.Lookup("rapid.seed").Value.String() != "0" {
		set = map[string]string{"rapid.steps": "40", "rapid.nofailfile": "true"}
	}
	for name, value := range set {
		old := flag.Lookup(name).Value.String()
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = flag.Set(name, old) })
	}
}

// The network does to direct commands, to answers and to transactions whatever the
// protocol allows, while jobs come, are cancelled and make way for each other, and while
// leaders change. Held commands arrive in any order, however late.
func TestDuplicateAndDelayedMessagesKeepInvariants(t *testing.T) {
	fixRandomSeed(t, 400)
	rapid.Check(t, func(r *rapid.T) {
		w := newTestWorld(2, 1)
		w.RunTime, w.FetchTime, w.Tick = 6*second, 100*time.Millisecond, 100*time.Millisecond
		w.cloudExhausted = true // what makes way on one machine starts on another
		w.MaxRetainedHeartbeats = 200
		worker := func(r *rapid.T) *Worker {
			if names := w.WorkerNames(); len(names) > 0 {
				return w.Workers[rapid.SampledFrom(names).Draw(r, "worker")]
			}
			return &Worker{} // all were given back
		}
		controller := func(r *rapid.T) *Controller {
			return w.Controllers[rapid.IntRange(0, len(w.Controllers)-1).Draw(r, "controller")]
		}
		for _, c := range w.Controllers {
			c.settings.CommandHoldOff = 300 * time.Millisecond // the next copy follows soon
		}
		way := func() Delivery { return Delivered }
		w.NextDelivery = func() Delivery { return way() }
		w.Advance(6 * second)
		var ids []string
		look := func(r *rapid.T) {
			if c := controller(r); c.Up && len(ids) > 0 {
				_, _ = w.Poll(c, rapid.SampledFrom(ids).Draw(r, "job")) // the world holds answers against each other
			}
		}
		r.Repeat(map[string]func(*rapid.T){
			"time passes": func(r *rapid.T) {
				way = func() Delivery {
					return rapid.SampledFrom([]Delivery{Delivered, Delivered, AnswerLost, Delayed, Dropped}).Draw(r, "way")
				}
				w.Advance(time.Duration(rapid.IntRange(1, 40).Draw(r, "tenths")) * 100 * time.Millisecond)
				for len(w.Workers) < 2 {
					w.namedMachines++
					w.AddMachine(model.MachineInfo{Name: fmt.Sprintf("n-%06d", w.namedMachines), Type: "eight", Zone: "a"})
				}
			},
			"a job comes": func(r *rapid.T) {
				c := controller(r)
				s := newJob(rapid.SampledFrom([]model.Shape{model.Array, model.Array, model.Service}).Draw(r, "shape"), rapid.IntRange(1, 3).Draw(r, "tasks"), func(s *model.Spec) {
					s.Priority = rapid.SampledFrom([]model.Priority{model.PriorityLow, model.PriorityNormal, model.PriorityProduction}).Draw(r, "rank")
					s.Demand.CPU = float64(rapid.SampledFrom([]int{2, 4, 8}).Draw(r, "cpus"))
					if rapid.Bool().Draw(r, "saves") {
						s.CheckpointInterval, s.CheckpointTime = 2*second, second
					}
				})
				if c.Up && w.Submit(c, s) == nil {
					ids = append(ids, s.ID)
				}
			},
			"a job is cancelled": func(r *rapid.T) {
				if c := controller(r); c.Up && len(ids) > 0 {
					_, _ = w.Cancel(c, ids[len(ids)-1-min(rapid.IntRange(0, 3).Draw(r, "job"), len(ids)-1)])
				}
			},
			"somebody asks": look,
			"held commands arrive": func(r *rapid.T) {
				for range rapid.IntRange(0, 3).Draw(r, "how many") {
					if len(w.HeldCommands) == 0 {
						return
					}
					i := rapid.IntRange(0, len(w.HeldCommands)-1).Draw(r, "which")
					f := w.HeldCommands[i]
					w.HeldCommands = append(w.HeldCommands[:i:i], w.HeldCommands[i+1:]...)
					f()
					w.CheckInvariants()
				}
			},
			"answers are lost or not": func(r *rapid.T) {
				lost := rapid.Bool().Draw(r, "lost")
				for _, k := range w.Workers {
					k.InboundBlocked = lost
				}
			},
			"a machine is deaf or not": func(r *rapid.T) {
				k := worker(r)
				k.InboundBlocked = !k.InboundBlocked
			},
			"a machine reaches no controller or does": func(r *rapid.T) {
				k := worker(r)
				k.OutboundBlocked = !k.OutboundBlocked
			},
			"copies of reports come late": func(r *rapid.T) {
				for range rapid.IntRange(0, 4).Draw(r, "how many") {
					if len(w.RetainedHeartbeats) > 0 {
						w.ReplayHeartbeat(controller(r), w.RetainedHeartbeats[rapid.IntRange(0, len(w.RetainedHeartbeats)-1).Draw(r, "which")])
					}
				}
			},
			"answered commands are repeated": func(r *rapid.T) {
				for range rapid.IntRange(0, 3).Draw(r, "how many") {
					if n := len(w.RepeatableCommands); n > 0 {
						if a := w.RepeatableCommands[rapid.IntRange(0, n-1).Draw(r, "which")]; w.Now().Sub(a.DeliveredAt) < 3*w.Lease {
							a.Repeat()
							w.CheckInvariants()
						}
					}
				}
			},
			"a machine is back at once": func(r *rapid.T) {
				k := worker(r)
				if k.env == nil {
					return
				}
				w.RestartWorker(k)
				// What its former life has sent comes in between, while leaders change or not.
				crash := rapid.IntRange(0, 20).Draw(r, "crash")
				for i := range rapid.IntRange(0, 60).Draw(r, "then") {
					w.Advance(100 * time.Millisecond)
					if l := w.Leader(); l != nil && i == crash {
						l.Crash()
						l.Start()
					}
					if n := len(w.RetainedHeartbeats); n > 0 && rapid.IntRange(0, 2).Draw(r, "copy") == 0 {
						if c := w.RetainedHeartbeats[n-1-rapid.IntRange(0, min(n-1, 40)).Draw(r, "which")]; c.Machine == k.Name {
							w.ReplayHeartbeat(controller(r), c)
						}
					}
				}
			},
			"something fails or comes back": func(r *rapid.T) {
				switch c := controller(r); rapid.IntRange(0, 16).Draw(r, "what") {
				case 4, 5:
					if c.Up {
						c.Crash()
						c.Start()
					}
				case 6:
					c.StateUnreachable, c.PeersUnreachable = !c.StateUnreachable, !c.StateUnreachable
				case 0:
					k := worker(r)
					k.Partitioned = !k.Partitioned
				case 1:
					c.StateUnreachable = !c.StateUnreachable
				case 2:
					if c.Up {
						c.Crash()
					}
				case 3:
					if !c.Up {
						c.Start()
					}
				}
			},
			"": func(r *rapid.T) {
				for _, b := range w.Violations {
					r.Fatalf("broken: %s", b)
				}
			},
		})
		// Everything comes back, and what is still held arrives when all else is long over.
		way = func() Delivery { return Delivered }
		for _, c := range w.Controllers {
			if c.StateUnreachable, c.PeersUnreachable = false, false; !c.Up {
				c.Start()
			}
		}
		for _, k := range w.Workers {
			k.InboundBlocked, k.Partitioned, k.OutboundBlocked = false, false, false
		}
		w.Advance(w.CancelDeadline + 10*second)
		for _, f := range w.HeldCommands {
			f()
			w.CheckInvariants()
		}
		w.MarkFaultsEnded()
		w.Advance(maxWaitWithRoom + 5*second)
		for _, b := range w.Violations {
			r.Fatalf("broken: %s", b)
		}
	})
}
