package fake

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/glentiller/glentiller/internal/model"
)

// The network loses, delays and repeats direct commands, answers and heartbeats in every way that the protocol allows,
// while jobs arrive, are cancelled and preempt each other, and while leaders change. A seed of one's own:
//
//	go test ./internal/fake -run Duplicate -rapid.seed 7 -rapid.checks 3000
func TestDuplicateAndDelayedMessagesKeepInvariants(t *testing.T) {
	flags := map[string]string{"rapid.steps": "40", "rapid.nofailfile": "true"}
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		flags["rapid.seed"], flags["rapid.checks"] = "20261201", "400"
	}
	setRapidFlags(t, flags)
	rapid.Check(t, func(rt *rapid.T) {
		w := newTestWorld(2, 1)
		w.RunTime, w.FetchTime, w.Tick = 6*second, 100*time.Millisecond, 100*time.Millisecond
		w.cloudExhausted = true // what is preempted on one machine starts on another
		w.MaxRetainedHeartbeats = 200
		drawWorker := func(rt *rapid.T) *Worker {
			if names := w.WorkerNames(); len(names) > 0 {
				return w.Workers[rapid.SampledFrom(names).Draw(rt, "worker")]
			}
			return &Worker{} // all were released
		}
		drawController := func(rt *rapid.T) *Controller {
			return w.Controllers[rapid.IntRange(0, len(w.Controllers)-1).Draw(rt, "controller")]
		}
		for _, c := range w.Controllers {
			c.settings.CommandHoldOff = 300 * time.Millisecond // so that a retry follows soon
		}
		delivery := func() Delivery { return Delivered }
		w.NextDelivery = func() Delivery { return delivery() }
		w.Advance(6 * second)
		var ids []string
		poll := func(rt *rapid.T) {
			if c := drawController(rt); c.Up && len(ids) > 0 {
				_, _ = w.Poll(c, rapid.SampledFrom(ids).Draw(rt, "job")) // answers are checked against each other
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"time passes": func(rt *rapid.T) {
				delivery = func() Delivery {
					return rapid.SampledFrom([]Delivery{Delivered, Delivered, AnswerLost, Delayed, Dropped}).Draw(rt, "way")
				}
				w.Advance(time.Duration(rapid.IntRange(1, 40).Draw(rt, "tenths")) * 100 * time.Millisecond)
				for len(w.Workers) < 2 {
					addMachine(w, "a", false)
				}
			},
			"a job comes": func(rt *rapid.T) {
				c := drawController(rt)
				shapes := []model.Shape{model.Array, model.Array, model.Service}
				shape, tasks := rapid.SampledFrom(shapes).Draw(rt, "shape"), rapid.IntRange(1, 3).Draw(rt, "tasks")
				spec := newJob(shape, tasks, func(spec *model.Spec) {
					priorities := []model.Priority{model.PriorityLow, model.PriorityNormal, model.PriorityProduction}
					spec.Priority = rapid.SampledFrom(priorities).Draw(rt, "rank")
					spec.Demand.CPU = float64(rapid.SampledFrom([]int{2, 4, 8}).Draw(rt, "cpus"))
					if rapid.Bool().Draw(rt, "saves") {
						spec.CheckpointInterval, spec.CheckpointTime = 2*second, second
					}
				})
				if c.Up && w.Submit(c, spec) == nil {
					ids = append(ids, spec.ID)
				}
			},
			"a job is cancelled": func(rt *rapid.T) {
				if c := drawController(rt); c.Up && len(ids) > 0 {
					_, _ = w.Cancel(c, ids[len(ids)-1-min(rapid.IntRange(0, 3).Draw(rt, "job"), len(ids)-1)])
				}
			},
			"somebody polls": poll,
			"held commands arrive": func(rt *rapid.T) {
				for range rapid.IntRange(0, 3).Draw(rt, "how many") {
					if len(w.HeldCommands) == 0 {
						return
					}
					i := rapid.IntRange(0, len(w.HeldCommands)-1).Draw(rt, "which")
					f := w.HeldCommands[i]
					w.HeldCommands = append(w.HeldCommands[:i:i], w.HeldCommands[i+1:]...)
					f()
					w.CheckInvariants()
				}
			},
			"answers are lost or not": func(rt *rapid.T) {
				lost := rapid.Bool().Draw(rt, "lost")
				for _, worker := range w.Workers {
					worker.InboundBlocked = lost
				}
			},
			"a machine is inbound-blocked or not": func(rt *rapid.T) {
				worker := drawWorker(rt)
				worker.InboundBlocked = !worker.InboundBlocked
			},
			"a machine reaches no controller or does": func(rt *rapid.T) {
				worker := drawWorker(rt)
				worker.OutboundBlocked = !worker.OutboundBlocked
			},
			"copies of heartbeats come late": func(rt *rapid.T) {
				for range rapid.IntRange(0, 4).Draw(rt, "how many") {
					if len(w.RetainedHeartbeats) > 0 {
						c := drawController(rt)
						which := rapid.IntRange(0, len(w.RetainedHeartbeats)-1).Draw(rt, "which")
						w.ReplayHeartbeat(c, w.RetainedHeartbeats[which])
					}
				}
			},
			"answered commands are repeated": func(rt *rapid.T) {
				for range rapid.IntRange(0, 3).Draw(rt, "how many") {
					if n := len(w.RepeatableCommands); n > 0 {
						if a := w.RepeatableCommands[rapid.IntRange(0, n-1).Draw(rt, "which")]; w.Now().Sub(a.DeliveredAt) < 3*w.Lease {
							a.Repeat()
							w.CheckInvariants()
						}
					}
				}
			},
			"a machine is back at once": func(rt *rapid.T) {
				worker := drawWorker(rt)
				if worker.env == nil {
					return
				}
				w.RestartWorker(worker)
				// Heartbeats of its former epoch arrive in between, while leaders change or not.
				crash := rapid.IntRange(0, 20).Draw(rt, "crash")
				for i := range rapid.IntRange(0, 60).Draw(rt, "then") {
					w.Advance(100 * time.Millisecond)
					if leader := w.Leader(); leader != nil && i == crash {
						leader.Crash()
						leader.Start()
					}
					if n := len(w.RetainedHeartbeats); n > 0 && rapid.IntRange(0, 2).Draw(rt, "copy") == 0 {
						if c := w.RetainedHeartbeats[n-1-rapid.IntRange(0, min(n-1, 40)).Draw(rt, "which")]; c.Machine == worker.Name {
							w.ReplayHeartbeat(drawController(rt), c)
						}
					}
				}
			},
			"something fails or comes back": func(rt *rapid.T) {
				switch c := drawController(rt); rapid.IntRange(0, 16).Draw(rt, "what") {
				case 4, 5:
					if c.Up {
						restartController(c)
					}
				case 6:
					c.StateUnreachable, c.PeersUnreachable = !c.StateUnreachable, !c.StateUnreachable
				case 0:
					worker := drawWorker(rt)
					worker.Partitioned = !worker.Partitioned
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
			"": func(rt *rapid.T) {
				for _, violation := range w.Violations {
					rt.Fatalf("broken: %s", violation)
				}
			},
		})
		// All faults end, and the commands that are still held arrive last.
		delivery = func() Delivery { return Delivered }
		for _, c := range w.Controllers {
			if c.StateUnreachable, c.PeersUnreachable = false, false; !c.Up {
				c.Start()
			}
		}
		for _, worker := range w.Workers {
			worker.InboundBlocked, worker.Partitioned, worker.OutboundBlocked = false, false, false
		}
		w.Advance(w.CancelDeadline + 10*second)
		for _, f := range w.HeldCommands {
			f()
			w.CheckInvariants()
		}
		w.MarkFaultsEnded()
		w.Advance(maxWaitWithRoom + 5*second)
		for _, violation := range w.Violations {
			rt.Fatalf("broken: %s", violation)
		}
	})
}
