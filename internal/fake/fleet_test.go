package fake

import (
	"fmt"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/reconciler"
)

// newBenchmarkFleet is a deployment of many machines with four tasks each, all known to its leader.
func newBenchmarkFleet(b *testing.B, machines int) (*World, *Controller) {
	b.Helper()
	w := newTestWorld(machines, float64(machines))
	w.Tick, w.RunTime, w.cloudExhausted = 250*time.Millisecond, time.Hour, true
	w.Advance(8 * second)
	spec := newJob(model.Service, 4*machines, func(spec *model.Spec) {
		spec.Demand.CPU, spec.Priority = 2, model.PriorityProduction
	})
	if err := w.Submit(w.Controllers[0], spec); err != nil {
		b.Fatal(err)
	}
	w.Advance(time.Duration(machines) * 30 * time.Millisecond) // writing the records of machines takes a while
	leader := w.Leader()
	if leader == nil || activeTasks(w, spec) != 4*machines {
		b.Fatalf("%d of %d tasks run", activeTasks(w, spec), 4*machines)
	}
	return w, leader
}

// BenchmarkHeartbeat measures a heartbeat without news in the leader's reconciler, at different sizes.
func BenchmarkHeartbeat(b *testing.B) {
	for _, machines := range []int{500, 2000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			w, leader := newBenchmarkFleet(b, machines)
			worker := w.Workers["n-000001"]
			b.ReportAllocs()
			for b.Loop() {
				leader.Reconciler.Step(w.now, reconciler.HeartbeatReceived{Heartbeat: worker.heartbeat()})
			}
		})
	}
}

// BenchmarkTwoThousandHeartbeatsInASecond measures 2,000 heartbeats at a new leader that knows nothing yet, with the
// scheduling passes of that second.
func BenchmarkTwoThousandHeartbeatsInASecond(b *testing.B) {
	w, leader := newBenchmarkFleet(b, 2000)
	for b.Loop() {
		b.StopTimer()
		leader.Crash()
		leader.Start()
		for leader = nil; leader == nil; leader = w.Leader() {
			for _, c := range w.Controllers {
				c.step()
			}
			w.now = w.now.Add(w.Tick)
		}
		b.StartTimer()
		for i, name := range w.WorkerNames() {
			leader.Reconciler.Step(w.now, reconciler.HeartbeatReceived{Heartbeat: w.Workers[name].heartbeat()})
			if i%200 == 199 {
				w.now = w.now.Add(100 * time.Millisecond)
				leader.Reconciler.Step(w.now, reconciler.Tick{})
			}
		}
	}
}

// crashAllFor ends all controllers for some time.
func crashAllFor(w *World, downtime time.Duration) {
	for _, c := range w.Controllers {
		c.Crash()
	}
	w.Advance(downtime)
	for _, c := range w.Controllers {
		c.Start()
	}
}

// outageFor has the state service down while something happens, and for some time after it.
func outageFor(w *World, d time.Duration, during func()) {
	w.State.SetDown(true)
	during()
	w.Advance(d)
	w.State.SetDown(false)
}

// partitionOneIn partitions one machine in a number of them, or ends that.
func partitionOneIn(w *World, number int, partitioned bool) {
	for i, name := range w.WorkerNames() {
		if i%number == 0 {
			w.Workers[name].Partitioned = partitioned
		}
	}
}

// fleetFaults are faults that operators' fleets have seen.
var fleetFaults = []struct {
	name   string
	within time.Duration // after the fault all replicas run again
	play   func(w *World)
}{
	{"all controllers crash, twice", 10 * second, func(w *World) {
		crashAllFor(w, 3*second)
		w.Advance(4 * second)
		crashAllFor(w, 3*second)
	}},
	{"a roll during an outage", 12 * second, func(w *World) {
		outageFor(w, 2*second, func() {
			for _, c := range w.Controllers {
				c.Crash()
				w.Advance(3 * second)
				c.Start()
			}
		})
	}},
	{"an outage just after all have crashed", 10 * second, func(w *World) {
		crashAllFor(w, second)
		outageFor(w, 14*second, func() {})
	}},
	{"half of all machines go and return in one moment", 5 * second, func(w *World) {
		partitionOneIn(w, 2, true)
		w.Advance(9 * second)
		partitionOneIn(w, 2, false)
	}},
	{"half of all machines are gone for longer than their leases", 20 * second, func(w *World) {
		partitionOneIn(w, 2, true)
		w.Advance(w.Lease + 3*second)
		partitionOneIn(w, 2, false)
	}},
	{"machines go, and then all controllers crash", 20 * second, func(w *World) {
		partitionOneIn(w, 4, true)
		w.Advance(2 * second)
		crashAllFor(w, 3*second)
		w.Advance(10 * second)
		partitionOneIn(w, 4, false)
	}},
	{"members that do not reach each other", 10 * second, func(w *World) {
		w.ControllersPartitioned = true
		w.Leader().Crash()
		w.Advance(20 * second)
		w.ControllersPartitioned = false
	}},
	{"the leader stands still and goes on", 10 * second, func(w *World) {
		old := w.Leader()
		old.Up = false
		w.Advance(20 * second)
		old.Up = true
	}},
}

// After each fault, on forty machines, all replicas run again, and no invariant was broken meanwhile.
func TestFleetRecoversFromEachFault(t *testing.T) {
	for _, fault := range fleetFaults {
		t.Run(fault.name, func(t *testing.T) {
			w := newScaledDeployment(t, 40, 40)
			w.cloudExhausted, w.RunTime = true, 20*second
			var services []*model.Spec
			for range 10 {
				spec := newJob(model.Service, 6, func(spec *model.Spec) { spec.Priority = model.PriorityProduction })
				services = append(services, spec)
				submitJob(t, w, spec)
				submitJob(t, w, newJob(model.Array, 3, func(spec *model.Spec) { spec.Priority = model.PriorityLow }))
			}
			allRun := func() bool {
				for _, spec := range services {
					if activeTasks(w, spec) != spec.Tasks {
						return false
					}
				}
				return true
			}
			waitUntil(t, w, 30*second, "all replicas run", allRun)
			fault.play(w)
			waitUntil(t, w, fault.within, "a controller leads and all replicas run", func() bool {
				return w.Leader() != nil && allRun()
			})
			w.Advance(5 * second)
		})
	}
}

// At hundreds of machines the work that a leader causes grows with the number of tasks: each is started once, records
// are written in batches, and there is about one command for each task.
func TestLeaderWorkAtFourHundredMachinesIsBounded(t *testing.T) {
	w := newScaledDeployment(t, 400, 80)
	var all []*model.Spec
	for i := range 4 {
		spec := newJob(model.Array, 300, func(spec *model.Spec) { spec.Image = fmt.Sprint("img-", i) })
		all = append(all, spec)
		submitJob(t, w, spec)
	}
	before := w.State.Transactions
	for _, spec := range all {
		waitUntil(t, w, 90*second, "done", jobDone(t, w, spec))
	}
	for id, n := range w.Starts {
		if n != 1 {
			t.Errorf("%v was started %d times", id, n)
		}
	}
	if len(w.Starts) != 1200 {
		t.Errorf("%d tasks were started", len(w.Starts))
	}
	if txns := w.State.Transactions - before; txns > 150 {
		t.Errorf("%d transactions for 1200 tasks of 4 jobs on 400 machines", txns)
	}
	if w.DirectCommands > 1500 {
		t.Errorf("%d commands for 1200 tasks", w.DirectCommands)
	}
}
