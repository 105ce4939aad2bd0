// Package reconciler is the state machine of a leading controller. It holds the leader's view of jobs, tasks and
// machines, reconciles it with the reports of workers, the cloud and the state service, and decides what happens
// next.
//
// The package does no input or output, starts no goroutine and reads no clock. The event loop of package controller
// owns a Core and drives it:
//
//	core := reconciler.New(now, settings, token, snapshot, machineTypes, logger)
//	for {
//		event := <-events // or reconciler.Tick{}, once core.NextTick() has come
//		for _, effect := range core.Step(now, event) {
//			perform(effect)
//		}
//	}
//
// What became of an effect comes back as an event: SendCommands is answered by CommandCompleted, Commit by
// CommitCompleted, ListMachines by MachineListReceived, and so on. Only HeartbeatResponse is answered by nothing. The
// slice that Step returns is valid until the next Step.
//
// A Core holds the leader's view (jobs, machines, usage) and passes each event to the file that handles it. State
// that serves one purpose is a struct of its own, changed by its own methods and by the Core's methods in the same
// file: pendingCommits (commits.go), finishedTasks (finished.go), takeover, dependencyTracker (dependencies.go),
// livenessTracker (liveness.go), partitionDetector (partitions.go), provisioner and machineReleases (provisioning.go,
// releases.go), cloudInventory (inventory.go), passTimer (pass.go), gpuReservations (gpu.go), constraintRegistry
// (constraints.go), runTimes and accounting.
package reconciler
