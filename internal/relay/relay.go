// Package relay decides how workers' heartbeats reach a leader to which this member has no connection: in batches
// through the state service. The package performs no I/O and reads no clock. The caller passes each heartbeat to
// Outbox.Add and reports with ObserveContact whether the leader is reachable. When NextBatchAt says that a batch is
// due, the caller takes it with TakeBatch and writes it; it passes the responses to AcceptResponses. For the
// reasons why a heartbeat may take any path see docs/safety.md, "Relayed heartbeats".
package relay

import "time"

// Path is the path that heartbeats take from this member to the leader.
type Path uint8

// The paths to the leader.
const (
	PathDirect          Path = iota // over the network; the leader is reachable, or nothing shows that it is not
	PathViaStateService             // through the state service, because the leader is unreachable
	PathNone                        // none, because the leader does not respond through the state service either
)

// String returns the path's name for logs.
func (p Path) String() string { return [...]string{"direct", "post", "lost"}[p] }

// Settings bound the heartbeats and batches in an Outbox.
type Settings struct {
	BatchInterval    time.Duration // minimum time between two batches
	MaxQueued        int           // maximum number of heartbeats that wait for a batch
	MaxQueuedBytes   int           // maximum size of all queued heartbeats together
	MaxInFlight      int           // maximum number of batches without a response
	HeartbeatTimeout time.Duration // time after which a heartbeat's response is useless to the worker
	RetryAfter       time.Duration // time after which the state service is tried again as a path to the leader
}

// maxUnansweredBatches is the number of consecutive batches without a response after which the leader counts as
// unreachable through the state service.
const maxUnansweredBatches = 4
