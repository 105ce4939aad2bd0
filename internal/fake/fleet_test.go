package fake

import (
	"fmt"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/reconciler"
)

// newBenchmarkFleet returns a deployment of many machines with four running tasks each, and its leader, which knows
// them all.
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
	w.Advance(time.Duration(machines) * 30 * time.Millisecond) // long enough to write all machine records
	leader := w.Leader()
	if leader == nil || activeTasks(w, spec) != 4*machines {
		b.Fatalf("running tasks of the benchmark fleet: got %d, want %d", activeTasks(w, spec), 4*machines)
	}
	return w, leader
}

// BenchmarkHeartbeat measures how long the leader's reconciler takes for a heartbeat that reports no change, at
// different numbers of machines.
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

// BenchmarkTwoThousandHeartbeatsInASecond measures how long a new leader, which has received no heartbeat yet, takes
// for 2,000 heartbeats and the scheduling passes of the same second.
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

// crashAllControllersFor crashes all controllers and restarts them after the downtime.
func crashAllControllersFor(w *World, downtime time.Duration) {
	for _, c := range w.Controllers {
		c.Crash()
	}
	w.Advance(downtime)
	for _, c := range w.Controllers {
		c.Start()
	}
}

// stopStateServiceFor stops the state service, calls during, and restarts the service after the extra time.
func stopStateServiceFor(w *World, extra time.Duration, during func()) {
	w.State.SetDown(true)
	during()
	w.Advance(extra)
	w.State.SetDown(false)
}

// partitionEveryNth partitions every nth machine if partitioned is true, and reconnects it otherwise.
func partitionEveryNth(w *World, n int, partitioned bool) {
	for i, name := range w.WorkerNames() {
		if i%n == 0 {
			w.Workers[name].Partitioned = partitioned
		}
	}
}

// fleetFaults lists faults that have occurred in production fleets.
var fleetFaults = []struct {
	name         string
	recoveryTime time.Duration // longest allowed time from the end of the fault until all replicas run again
	inject       func(w *World)
}{
	{"all controllers crash twice", 10 * second, func(w *World) {
		crashAllControllersFor(w, 3*second)
		w.Advance(4 * second)
		crashAllControllersFor(w, 3*second)
	}},
	{"rolling restart during a state service outage", 12 * second, func(w *World) {
		stopStateServiceFor(w, 2*second, func() {
			for _, c := range w.Controllers {
				c.Crash()
				w.Advance(3 * second)
				c.Start()
			}
		})
	}},
	{"state service outage just after a restart of all controllers", 10 * second, func(w *World) {
		crashAllControllersFor(w, second)
		stopStateServiceFor(w, 14*second, func() {})
	}},
	{"half of the machines are partitioned for less than their lease", 5 * second, func(w *World) {
		partitionEveryNth(w, 2, true)
		w.Advance(9 * second)
		partitionEveryNth(w, 2, false)
	}},
	{"half of the machines are partitioned for longer than their lease", 20 * second, func(w *World) {
		partitionEveryNth(w, 2, true)
		w.Advance(w.Lease + 3*second)
		partitionEveryNth(w, 2, false)
	}},
	{"machines are partitioned, and then all controllers crash", 20 * second, func(w *World) {
		partitionEveryNth(w, 4, true)
		w.Advance(2 * second)
		crashAllControllersFor(w, 3*second)
		w.Advance(10 * second)
		partitionEveryNth(w, 4, false)
	}},
	{"controllers cannot reach each other", 10 * second, func(w *World) {
		w.ControllersPartitioned = true
		w.Leader().Crash()
		w.Advance(20 * second)
		w.ControllersPartitioned = false
	}},
	{"the leader pauses and resumes", 10 * second, func(w *World) {
		leader := w.Leader()
		leader.Up = false
		w.Advance(20 * second)
		leader.Up = true
	}},
}

// After each fault in a fleet of forty machines, all replicas run again in time, and no invariant is violated
// meanwhile.
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
			fault.inject(w)
			waitUntil(t, w, fault.recoveryTime, "a controller leads and all replicas run", func() bool {
				return w.Leader() != nil && allRun()
			})
			w.Advance(5 * second)
		})
	}
}

// On hundreds of machines, the work that a leader causes is bounded by the number of tasks: each task is started
// once, records are written in batches, and there is about one command per task.
func TestLeaderWorkAtFourHundredMachinesIsBounded(t *testing.T) {
	w := newScaledDeployment(t, 400, 80)
	var specs []*model.Spec
	for i := range 4 {
		spec := newJob(model.Array, 300, func(spec *model.Spec) { spec.Image = fmt.Sprint("img-", i) })
		specs = append(specs, spec)
		submitJob(t, w, spec)
	}
	transactionsBefore := w.State.Transactions
	for _, spec := range specs {
		waitUntil(t, w, 90*second, "the job is done", jobDone(t, w, spec))
	}
	for id, starts := range w.Launches {
		if starts != 1 {
			t.Errorf("task %v was started %d times, want once", id, starts)
		}
	}
	if len(w.Launches) != 1200 {
		t.Errorf("started tasks: got %d, want 1200", len(w.Launches))
	}
	if txns := w.State.Transactions - transactionsBefore; txns > 150 {
		t.Errorf("transactions for 1200 tasks of 4 jobs on 400 machines: got %d, want at most 150", txns)
	}
	if w.DirectCommands > 1500 {
		t.Errorf("commands for 1200 tasks: got %d, want at most 1500", w.DirectCommands)
	}
}
