// Package liveness decides what a worker's messages tell a leader, and whether the leader's messages reach the worker.
//
// An Incarnation orders messages by their numbers: which heartbeat is newer than what is known, which is a duplicate
// or a delayed copy, and whether the machine has restarted with lower numbers. A Detector is a failure detector: from
// what heartbeats show and lack, and from answers to probes, it decides whether the machine receives anything.
//
// The package is pure: message numbers and times go in, states come out. The caller keeps one Incarnation and one
// Detector for each machine, passes every message to them, and sends the probes. docs/safety.md, "Duplicates and
// incarnations", argues why delayed copies are harmless.
package liveness
