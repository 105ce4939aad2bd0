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
		d := newDisturbedWorld()
		// The order of the names is part of what a seed draws.
		rt.Repeat(map[string]func(*rapid.T){
			"":                                    d.expectNoViolations,
			"a job comes":                         d.submit,
			"a job is cancelled":                  d.cancel,
			"a machine is back at once":           d.restartWorker,
			"a machine is inbound-blocked or not": d.toggleInbound,
			"a machine reaches no controller or does": d.toggleOutbound,
			"answered commands are repeated":          d.repeatCommands,
			"answers are lost or not":                 d.toggleAllInbound,
			"copies of heartbeats come late":          d.replayHeartbeats,
			"held commands arrive":                    d.deliverHeldCommands,
			"somebody polls":                          d.poll,
			"something fails or comes back":           d.toggleFault,
			"time passes":                             d.advance,
		})
		d.endFaults()
		d.expectNoViolations(rt)
	})
}

// disturbedWorld is a deployment whose messages and members are disturbed at random.
type disturbedWorld struct {
	*World
	delivery func() Delivery
	jobs     []string
}

func newDisturbedWorld() *disturbedWorld {
	d := &disturbedWorld{World: newTestWorld(2, 1), delivery: func() Delivery { return Delivered }}
	d.RunTime, d.FetchTime, d.Tick = 6*second, 100*time.Millisecond, 100*time.Millisecond
	d.cloudExhausted = true // what is preempted on one machine starts on another
	d.MaxRetainedHeartbeats = 200
	for _, c := range d.Controllers {
		c.settings.CommandHoldOff = 300 * time.Millisecond // so that a retry follows soon
	}
	d.NextDelivery = func() Delivery { return d.delivery() }
	d.Advance(6 * second)
	return d
}

func (d *disturbedWorld) drawWorker(rt *rapid.T) *Worker {
	if names := d.WorkerNames(); len(names) > 0 {
		return d.Workers[rapid.SampledFrom(names).Draw(rt, "worker")]
	}
	return &Worker{} // all were released
}

func (d *disturbedWorld) drawController(rt *rapid.T) *Controller {
	return d.Controllers[rapid.IntRange(0, len(d.Controllers)-1).Draw(rt, "controller")]
}

func (d *disturbedWorld) advance(rt *rapid.T) {
	deliveries := []Delivery{Delivered, Delivered, AnswerLost, Delayed, Dropped}
	d.delivery = func() Delivery { return rapid.SampledFrom(deliveries).Draw(rt, "way") }
	d.Advance(time.Duration(rapid.IntRange(1, 40).Draw(rt, "tenths")) * 100 * time.Millisecond)
	for len(d.Workers) < 2 {
		addMachine(d.World, "a", false)
	}
}

func (d *disturbedWorld) submit(rt *rapid.T) {
	c := d.drawController(rt)
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
	if c.Up && d.Submit(c, spec) == nil {
		d.jobs = append(d.jobs, spec.ID)
	}
}

// cancel cancels one of the last four jobs.
func (d *disturbedWorld) cancel(rt *rapid.T) {
	if c := d.drawController(rt); c.Up && len(d.jobs) > 0 {
		last := len(d.jobs) - 1
		_, _ = d.Cancel(c, d.jobs[last-min(rapid.IntRange(0, 3).Draw(rt, "job"), last)]) // it need not be answered
	}
}

// poll polls a job: answers are checked against each other.
func (d *disturbedWorld) poll(rt *rapid.T) {
	if c := d.drawController(rt); c.Up && len(d.jobs) > 0 {
		_, _ = d.Poll(c, rapid.SampledFrom(d.jobs).Draw(rt, "job")) // it need not be answered
	}
}

// deliverHeldCommands delivers some of the held commands, in any order.
func (d *disturbedWorld) deliverHeldCommands(rt *rapid.T) {
	for range rapid.IntRange(0, 3).Draw(rt, "how many") {
		if len(d.HeldCommands) == 0 {
			return
		}
		i := rapid.IntRange(0, len(d.HeldCommands)-1).Draw(rt, "which")
		deliver := d.HeldCommands[i]
		d.HeldCommands = append(d.HeldCommands[:i:i], d.HeldCommands[i+1:]...)
		deliver()
		d.CheckInvariants()
	}
}

// repeatCommands repeats commands that were answered within the last three leases.
func (d *disturbedWorld) repeatCommands(rt *rapid.T) {
	for range rapid.IntRange(0, 3).Draw(rt, "how many") {
		if len(d.RepeatableCommands) == 0 {
			continue
		}
		command := d.RepeatableCommands[rapid.IntRange(0, len(d.RepeatableCommands)-1).Draw(rt, "which")]
		if d.Now().Sub(command.DeliveredAt) < 3*d.Lease {
			command.Repeat()
			d.CheckInvariants()
		}
	}
}

func (d *disturbedWorld) replayHeartbeats(rt *rapid.T) {
	for range rapid.IntRange(0, 4).Draw(rt, "how many") {
		if len(d.RetainedHeartbeats) > 0 {
			c := d.drawController(rt)
			which := rapid.IntRange(0, len(d.RetainedHeartbeats)-1).Draw(rt, "which")
			d.ReplayHeartbeat(c, d.RetainedHeartbeats[which])
		}
	}
}

func (d *disturbedWorld) toggleAllInbound(rt *rapid.T) {
	blocked := rapid.Bool().Draw(rt, "lost")
	for _, worker := range d.Workers {
		worker.InboundBlocked = blocked
	}
}

func (d *disturbedWorld) toggleInbound(rt *rapid.T) {
	worker := d.drawWorker(rt)
	worker.InboundBlocked = !worker.InboundBlocked
}

func (d *disturbedWorld) toggleOutbound(rt *rapid.T) {
	worker := d.drawWorker(rt)
	worker.OutboundBlocked = !worker.OutboundBlocked
}

// restartWorker restarts a machine. Heartbeats of its former incarnation arrive in between, while leaders change or
// not.
func (d *disturbedWorld) restartWorker(rt *rapid.T) {
	worker := d.drawWorker(rt)
	if worker.env == nil {
		return
	}
	d.RestartWorker(worker)
	crash := rapid.IntRange(0, 20).Draw(rt, "crash")
	for i := range rapid.IntRange(0, 60).Draw(rt, "then") {
		d.Advance(100 * time.Millisecond)
		if leader := d.Leader(); leader != nil && i == crash {
			restartController(leader)
		}
		if n := len(d.RetainedHeartbeats); n > 0 && rapid.IntRange(0, 2).Draw(rt, "copy") == 0 {
			heartbeat := d.RetainedHeartbeats[n-1-rapid.IntRange(0, min(n-1, 40)).Draw(rt, "which")]
			if heartbeat.Machine == worker.Name {
				d.ReplayHeartbeat(d.drawController(rt), heartbeat)
			}
		}
	}
}

// toggleFault begins or ends a fault of a controller or a worker.
func (d *disturbedWorld) toggleFault(rt *rapid.T) {
	c := d.drawController(rt)
	switch rapid.IntRange(0, 16).Draw(rt, "what") {
	case 0:
		worker := d.drawWorker(rt)
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
	case 4, 5:
		if c.Up {
			restartController(c)
		}
	case 6:
		c.StateUnreachable, c.PeersUnreachable = !c.StateUnreachable, !c.StateUnreachable
	}
}

// endFaults ends all faults. The commands that are still held arrive last.
func (d *disturbedWorld) endFaults() {
	d.delivery = func() Delivery { return Delivered }
	restoreControllers(d.World)
	for _, worker := range d.Workers {
		worker.InboundBlocked, worker.Partitioned, worker.OutboundBlocked = false, false, false
	}
	d.Advance(d.CancelDeadline + 10*second)
	for _, deliver := range d.HeldCommands {
		deliver()
		d.CheckInvariants()
	}
	d.MarkFaultsEnded()
	d.Advance(maxWaitWithRoom + 5*second)
}

func (d *disturbedWorld) expectNoViolations(rt *rapid.T) {
	for _, violation := range d.Violations {
		rt.Fatalf("broken: %s", violation)
	}
}
