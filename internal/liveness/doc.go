// Package liveness orders the messages of a worker and detects whether the worker receives the messages of the leader.
//
// An Incarnation orders messages by their numbers. It determines whether a heartbeat is new, a duplicate or a delayed
// copy, and whether the machine has restarted with lower numbers. A Detector is a failure detector. It determines from
// the content of heartbeats and from the responses to probes whether the machine receives any messages.
//
// The package performs no input or output and reads no clock. The caller keeps one Incarnation and one Detector for
// each machine, passes every message to them, and sends the probes. docs/safety.md, "Duplicates and incarnations",
// explains why delayed copies are harmless.
package liveness
