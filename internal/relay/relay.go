// Package relay decides how workers' heartbeats reach a leader that this member cannot reach: through
// the state service, in batches. It is pure. The caller passes each heartbeat to Outbox.Add and
// reports whether the leader is reachable with ObserveContact; it takes a batch with TakeBatch when
// NextBatchAt says so, writes it, and passes the responses to AcceptResponses. Why a heartbeat may
// take any path is argued in docs/safety.md, "Relayed heartbeats".
package relay

import "time"

// Path is the path of heartbeats to the leader, as far as this member knows.
type Path uint8

// The paths.
const (
	Direct      Path = iota // the leader is reachable, or nothing shows that it is not
	ViaStore                // it is not: through the state service
	Unreachable             // nor does it answer there
)

// String returns the name that the log uses.
func (p Path) String() string { return [...]string{"direct", "post", "lost"}[p] }

// Settings limit what is relayed.
type Settings struct {
	BatchInterval    time.Duration // between two batches, at least
	MaxQueued        int           // heartbeats that wait for a batch, at most
	MaxQueuedBytes   int           // and their size together
	MaxInFlight      int           // batches without a response, at most
	HeartbeatTimeout time.Duration // after which the response to a heartbeat is of no use
	RetryAfter       time.Duration // before an unreachable leader is tried again
}

// maxUnansweredBatches is how many batches in a row without a response show that nobody takes them.
const maxUnansweredBatches = 4
