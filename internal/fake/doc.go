// Package fake provides in-memory fakes of everything outside a controller: the state service (State), the cloud
// (Cloud), the workers (Worker) and the network between them.
//
// A World combines the fakes with controllers in simulated time: NewWorld creates the deployment and World.Advance
// advances the time. To inject a fault, a caller sets the field of World, Controller or Worker that is named after the
// fault; clearing the field ends it. The invariants are checked after every tick, and World.Violations lists those that
// were broken. A Fleet consists of workers only, for callers that run real controllers and carry the messages
// themselves.
package fake
