package fake

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/glentiller/glentiller/internal/model"
)

// The network loses, delays and repeats direct commands, answers and heartbeats in every way that the protocol
// allows. Meanwhile jobs are submitted, are cancelled and preempt each other, and leaders change. To run it with
// another seed:
//
//	go test ./internal/fake -run Duplicate -rapid.seed 7 -rapid.checks 3000
func TestDuplicateAndDelayedMessagesKeepInvariants(t *testing.T) {
	flags := map[string]string{"rapid.steps": "40", "rapid.nofailfile": "true"}
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		flags["rapid.seed"], flags["rapid.checks"] = "20261201", "400"
	}
	setRapidFlags(t, flags)
	rapid.Check(t, func(rt *rapid.T) {
		world := newFaultInjectionWorld()
		// Package rapid draws an action by its index in the sorted names, so an action must be renamed in a way that keeps
		// their order. Otherwise a recorded seed no longer reproduces the same run.
		rt.Repeat(map[string]func(*rapid.T){
			"":                   world.expectNoViolations,
			"a job arrives":      world.submit,
			"a job is cancelled": world.cancel,
			"a machine restarts": world.restartWorker,
			"a machine's inbound messages are blocked or unblocked":  world.toggleInbound,
			"a machine's outbound messages are blocked or unblocked": world.toggleOutbound,
			"answered commands are repeated":                         world.repeatCommands,
			"answers to all machines are lost or delivered":          world.toggleAllInbound,
			"copies of heartbeats arrive late":                       world.replayHeartbeats,
			"held commands arrive":                                   world.deliverHeldCommands,
			"jobs are polled":                                        world.poll,
			"some other fault begins or ends":                        world.toggleFault,
			"time passes":                                            world.advance,
		})
		world.endFaults()
		world.expectNoViolations(rt)
	})
}

// faultInjectionWorld is a deployment whose methods package rapid calls as random actions. They inject faults into
// messages, controllers and machines, and submit, cancel and poll jobs as users do.
type faultInjectionWorld struct {
	*World
	drawDelivery func() Delivery // decides how the next direct command is delivered
	jobIDs       []string        // accepted jobs, in the order of their submission
}

func newFaultInjectionWorld() *faultInjectionWorld {
	f := &faultInjectionWorld{World: newTestWorld(2, 1), drawDelivery: func() Delivery { return CommandDelivered }}
	f.RunTime, f.FetchTime, f.Tick = 6*second, 100*time.Millisecond, 100*time.Millisecond
	f.cloudExhausted = true // so that preempted tasks have to start again on the other machine
	f.MaxRetainedMessages = 200
	for _, c := range f.Controllers {
		c.settings.CommandHoldOff = 300 * time.Millisecond // short, so that retries follow soon
	}
	f.NextDelivery = func() Delivery { return f.drawDelivery() }
	f.Advance(6 * second)
	return f
}

func (f *faultInjectionWorld) drawWorker(rt *rapid.T) *Worker {
	if names := f.WorkerNames(); len(names) > 0 {
		return f.Workers[rapid.SampledFrom(names).Draw(rt, "worker")]
	}
	return &Worker{} // all machines have been released; changes to this worker have no effect
}

func (f *faultInjectionWorld) drawController(rt *rapid.T) *Controller {
	return f.Controllers[rapid.IntRange(0, len(f.Controllers)-1).Draw(rt, "controller")]
}

func (f *faultInjectionWorld) advance(rt *rapid.T) {
	deliveries := []Delivery{CommandDelivered, CommandDelivered, CommandAnswerLost, CommandDelayed, CommandDropped}
	f.drawDelivery = func() Delivery { return rapid.SampledFrom(deliveries).Draw(rt, "delivery") }
	f.Advance(time.Duration(rapid.IntRange(1, 40).Draw(rt, "tenths of a second")) * 100 * time.Millisecond)
	for len(f.Workers) < 2 {
		addMachine(f.World, "a", false)
	}
}

func (f *faultInjectionWorld) submit(rt *rapid.T) {
	c := f.drawController(rt)
	shapes := []model.Shape{model.Array, model.Array, model.Service}
	shape, tasks := rapid.SampledFrom(shapes).Draw(rt, "shape"), rapid.IntRange(1, 3).Draw(rt, "tasks")
	spec := newJob(shape, tasks, func(spec *model.Spec) {
		priorities := []model.Priority{model.PriorityLow, model.PriorityNormal, model.PriorityProduction}
		spec.Priority = rapid.SampledFrom(priorities).Draw(rt, "priority")
		spec.Demand.CPU = float64(rapid.SampledFrom([]int{2, 4, 8}).Draw(rt, "CPUs"))
		if rapid.Bool().Draw(rt, "saves checkpoints") {
			spec.CheckpointInterval, spec.CheckpointTime = 2*second, second
		}
	})
	if c.Up && f.Submit(c, spec) == nil {
		f.jobIDs = append(f.jobIDs, spec.ID)
	}
}

// cancel cancels one of the last four accepted jobs.
func (f *faultInjectionWorld) cancel(rt *rapid.T) {
	if c := f.drawController(rt); c.Up && len(f.jobIDs) > 0 {
		last := len(f.jobIDs) - 1
		_, _ = f.Cancel(c, f.jobIDs[last-min(rapid.IntRange(0, 3).Draw(rt, "job"), last)]) // may fail
	}
}

// poll polls a job. World checks that the answer does not contradict earlier ones.
func (f *faultInjectionWorld) poll(rt *rapid.T) {
	if c := f.drawController(rt); c.Up && len(f.jobIDs) > 0 {
		_, _ = f.Poll(c, rapid.SampledFrom(f.jobIDs).Draw(rt, "job")) // may fail
	}
}

// deliverHeldCommands delivers up to three of the held commands in random order.
func (f *faultInjectionWorld) deliverHeldCommands(rt *rapid.T) {
	for range rapid.IntRange(0, 3).Draw(rt, "how many") {
		if len(f.HeldCommands) == 0 {
			return
		}
		i := rapid.IntRange(0, len(f.HeldCommands)-1).Draw(rt, "command")
		deliver := f.HeldCommands[i]
		f.HeldCommands = append(f.HeldCommands[:i:i], f.HeldCommands[i+1:]...)
		deliver()
		f.CheckInvariants()
	}
}

// repeatCommands repeats up to three direct commands that were carried out within the last three lease durations.
func (f *faultInjectionWorld) repeatCommands(rt *rapid.T) {
	for range rapid.IntRange(0, 3).Draw(rt, "how many") {
		if len(f.RepeatableCommands) == 0 {
			continue
		}
		command := f.RepeatableCommands[rapid.IntRange(0, len(f.RepeatableCommands)-1).Draw(rt, "command")]
		if f.Now().Sub(command.DeliveredAt) < 3*f.Lease {
			command.Repeat()
			f.CheckInvariants()
		}
	}
}

func (f *faultInjectionWorld) replayHeartbeats(rt *rapid.T) {
	for range rapid.IntRange(0, 4).Draw(rt, "how many") {
		if len(f.RetainedHeartbeats) > 0 {
			c := f.drawController(rt)
			i := rapid.IntRange(0, len(f.RetainedHeartbeats)-1).Draw(rt, "heartbeat")
			f.ReplayHeartbeat(c, f.RetainedHeartbeats[i])
		}
	}
}

func (f *faultInjectionWorld) toggleAllInbound(rt *rapid.T) {
	blocked := rapid.Bool().Draw(rt, "blocked")
	for _, worker := range f.Workers {
		worker.InboundBlocked = blocked
	}
}

func (f *faultInjectionWorld) toggleInbound(rt *rapid.T) {
	worker := f.drawWorker(rt)
	worker.InboundBlocked = !worker.InboundBlocked
}

func (f *faultInjectionWorld) toggleOutbound(rt *rapid.T) {
	worker := f.drawWorker(rt)
	worker.OutboundBlocked = !worker.OutboundBlocked
}

// restartWorker restarts a machine. In the next seconds copies of its heartbeats from before and after the restart
// may arrive, and the leader may restart.
func (f *faultInjectionWorld) restartWorker(rt *rapid.T) {
	worker := f.drawWorker(rt)
	if worker.env == nil { // all machines have been released
		return
	}
	f.RestartWorker(worker)
	restartTick := rapid.IntRange(0, 20).Draw(rt, "leader restart at tick")
	for tick := range rapid.IntRange(0, 60).Draw(rt, "ticks") {
		f.Advance(100 * time.Millisecond)
		if leader := f.Leader(); leader != nil && tick == restartTick {
			restartController(leader)
		}
		if n := len(f.RetainedHeartbeats); n > 0 && rapid.IntRange(0, 2).Draw(rt, "replay heartbeat") == 0 {
			heartbeat := f.RetainedHeartbeats[n-1-rapid.IntRange(0, min(n-1, 40)).Draw(rt, "heartbeat")]
			if heartbeat.Machine == worker.Name {
				f.ReplayHeartbeat(f.drawController(rt), heartbeat)
			}
		}
	}
}

// toggleFault begins or ends a fault of a controller or of a worker. For some draws it does nothing.
func (f *faultInjectionWorld) toggleFault(rt *rapid.T) {
	c := f.drawController(rt)
	switch rapid.IntRange(0, 16).Draw(rt, "fault") {
	case 0:
		worker := f.drawWorker(rt)
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

// endFaults ends all faults and lets the deployment recover. Then it delivers the commands that are still held and
// waits until a job that starves would have been reported.
func (f *faultInjectionWorld) endFaults() {
	f.drawDelivery = func() Delivery { return CommandDelivered }
	restoreControllers(f.World)
	for _, worker := range f.Workers {
		worker.InboundBlocked, worker.Partitioned, worker.OutboundBlocked = false, false, false
	}
	f.Advance(f.CancelDeadline + 10*second)
	for _, deliver := range f.HeldCommands {
		deliver()
		f.CheckInvariants()
	}
	f.MarkFaultsEnded()
	f.Advance(maxWaitWithRoom + 5*second)
}

func (f *faultInjectionWorld) expectNoViolations(rt *rapid.T) {
	for _, violation := range f.Violations {
		rt.Fatalf("invariant violated: %s", violation)
	}
}
