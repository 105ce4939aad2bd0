// Package fake provides in-memory fakes of everything outside a controller: the state service (State), the cloud
// (Cloud), the workers (Worker) and the network between them.
//
// A World combines the fakes with controllers in simulated time: NewWorld creates the deployment and World.Advance
// moves the time on. A fault is injected by setting the field of World, Controller or Worker that is named after it,
// and ends when the field is cleared. The invariants are checked after every step of the time; World.Violations lists
// those that were broken. A Fleet consists of workers only, for callers that run real controllers and carry the
// messages themselves.
package fake
