// Package reconciler is the state machine of the leading controller. It holds the leader's view of jobs, tasks and
// machines, reconciles that view with the reports of workers, the cloud and the state service, and decides what to do
// next.
//
// The package performs no input or output, starts no goroutines and reads no clock. The event loop of package
// controller owns a Core and drives it:
//
//	core := reconciler.New(now, settings, token, snapshot, machineTypes, logger)
//	for {
//		event := <-events // or reconciler.Tick{} when core.NextTick() is reached
//		for _, effect := range core.Step(now, event) {
//			perform(effect)
//		}
//	}
//
// The result of an effect comes back as an event: SendCommands is answered by CommandCompleted, Commit by
// CommitCompleted, ListMachines by MachineListReceived, and so on. Only HeartbeatResponse has no answer. The slice
// that Step returns is valid until the next call of Step.
//
// A Core holds the leader's view (jobs, machines, usage) and passes each event to the file that handles it. State
// that serves a single purpose has its own struct. It is changed only by that struct's methods and by the methods of
// Core in the same file: pendingCommits (commits.go), finishedTasks (finished.go), takeover (takeover.go),
// dependencyTracker (dependencies.go), livenessTracker (liveness.go), partitionDetector (partitions.go), provisioner
// (provisioning.go), machineReleases (releases.go), cloudInventory (inventory.go), passTimer (pass.go),
// gpuReservations (gpu.go), constraintRegistry (constraints.go), runTimes (runtimes.go) and accounting
// (accounting.go).
package reconciler
