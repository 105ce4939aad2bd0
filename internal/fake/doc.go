// Package fake holds in-memory stand-ins for everything outside a controller: the state service (State), the cloud
// (Cloud), the workers (Worker) and the network between them.
//
// A World puts them together with controllers in a simulated time: NewWorld makes the deployment, World.Advance lets
// time pass, and the fields of World, Controller and Worker named after a fault begin and end it. The invariants are
// checked all along; World.Violations lists what was broken. A Fleet is workers alone, for callers that run real
// controllers and carry the messages themselves.
package fake
