package relay

import (
	"cmp"
	"slices"
	"time"
)

// Outbox holds the heartbeats that wait for a batch, and the batches that wait for a response. Its
// owner keeps its methods from being called concurrently.
type Outbox struct {
	settings Settings

	path              Path
	pathSince         time.Time
	pathChanged       func(from, to Path, why string) // nil: not called
	noLeader          bool                            // nobody leads: heartbeats wait for the next leader
	unansweredBatches int                             // batches in a row that got no response in time

	lastID     uint64               // of a heartbeat
	receivedAt map[uint64]time.Time // when heartbeats came whose workers still wait, by id
	queue      heartbeatQueue

	lastSeq    uint64 // of a batch
	lastSentAt time.Time
	inFlight   map[uint64]inFlightBatch // by sequence number
}

// inFlightBatch is a batch that waits for its response.
type inFlightBatch struct {
	sentAt    time.Time
	envelopes []Envelope
}

// New returns an empty outbox. pathChanged, if not nil, is called with each change of the path and
// the reason.
func New(settings Settings, pathChanged func(from, to Path, why string)) *Outbox {
	return &Outbox{
		settings:    settings,
		pathChanged: pathChanged,
		receivedAt:  map[uint64]time.Time{},
		inFlight:    map[uint64]inFlightBatch{},
	}
}

// Path returns the present path to the leader.
func (o *Outbox) Path() Path { return o.path }

// transition changes the path; nothing else does.
func (o *Outbox) transition(now time.Time, to Path, why string) {
	if o.path == to {
		return
	}
	if o.pathChanged != nil {
		o.pathChanged(o.path, to, why)
	}
	o.path, o.pathSince, o.unansweredBatches = to, now, 0
}

// ObserveContact records whether this member reaches the leader itself, and returns the path. A
// leader that is reachable is never relayed to.
func (o *Outbox) ObserveContact(now time.Time, reached bool) Path {
	switch {
	case reached:
		o.transition(now, Direct, "the leader is reachable")
	case o.path == Direct:
		o.transition(now, ViaStore, "the leader is unreachable, or takes no relayed heartbeats")
	case o.path == Unreachable && now.Sub(o.pathSince) >= o.settings.RetryAfter:
		o.transition(now, ViaStore, "tried again")
	}
	return o.path
}

// LeaderChanged says that another member leads, or for now none. The path stays: what separates this
// member from the last leader likely separates it from the new one, and workers that were redirected
// to it in vain would lose seconds that their leases do not have. Batches in flight are sent again,
// since a new leader reads nothing from before its time.
func (o *Outbox) LeaderChanged(now time.Time, noLeader bool) {
	o.noLeader, o.unansweredBatches = noLeader, 0
	if o.path == Unreachable {
		o.transition(now, ViaStore, "the leader changes")
	}
	var again []Envelope
	for seq := range o.inFlight {
		again = append(again, o.reclaim(seq)...)
	}
	slices.SortFunc(again, func(a, b Envelope) int { return cmp.Compare(a.ID, b.ID) })
	o.queue.pushFront(again)
}

// reclaim takes a batch out of flight, and returns the heartbeats whose workers still wait.
func (o *Outbox) reclaim(seq uint64) []Envelope {
	var waiting []Envelope
	for _, e := range o.inFlight[seq].envelopes {
		if _, ok := o.receivedAt[e.ID]; ok {
			waiting = append(waiting, e)
		}
	}
	delete(o.inFlight, seq)
	return waiting
}

// Add queues a heartbeat. It is not accepted if there is no path, or if the queue is full: its worker
// should ask another member at once.
func (o *Outbox) Add(now time.Time, heartbeat []byte) (id uint64, ok bool) {
	if o.path != ViaStore || !o.queue.hasRoom(&o.settings, heartbeat) {
		return 0, false
	}
	o.lastID++
	o.queue.push(Envelope{o.lastID, heartbeat})
	o.receivedAt[o.lastID] = now
	return o.lastID, true
}

// Cancel says that the worker of a heartbeat waits no longer.
func (o *Outbox) Cancel(id uint64) { delete(o.receivedAt, id) }

// NextBatchAt returns when the next batch may be sent; zero: nothing is queued, nobody leads, or too
// many batches are in flight.
func (o *Outbox) NextBatchAt() time.Time {
	if o.noLeader || o.queue.len() == 0 || len(o.inFlight) >= o.settings.MaxInFlight {
		return time.Time{}
	}
	return o.lastSentAt.Add(o.settings.BatchInterval)
}

// TakeBatch takes the next batch: a payload of at most maxBytes with as many heartbeats as fit, the
// oldest first. Those whose workers wait no longer are left out; one that does not fit by itself is
// dropped. count is how many there are; 0: there is no batch.
func (o *Outbox) TakeBatch(now time.Time, maxBytes int) (seq uint64, payload string, count int) {
	o.dropExpired(now)
	for o.queue.len() > 0 {
		if payload, count = Pack(o.queue.envelopes, maxBytes); count > 0 {
			break
		}
		delete(o.receivedAt, o.queue.popFront().ID)
	}
	if count == 0 {
		return 0, "", 0
	}
	o.lastSeq++
	o.inFlight[o.lastSeq] = inFlightBatch{sentAt: now, envelopes: o.queue.take(count)}
	o.lastSentAt = now
	return o.lastSeq, payload, count
}

// WriteFailed says that a batch was not written: its heartbeats go with the next one.
func (o *Outbox) WriteFailed(seq uint64) { o.queue.pushFront(o.reclaim(seq)) }

// AcceptResponses takes responses to a batch, and returns those for which a worker still waits. A
// response that comes later must not reach it.
func (o *Outbox) AcceptResponses(now time.Time, seq uint64, responses []Envelope) []Envelope {
	if _, ok := o.inFlight[seq]; ok {
		delete(o.inFlight, seq)
		o.unansweredBatches = 0
	}
	var awaited []Envelope
	for _, e := range responses {
		if o.isAwaited(now, e.ID) {
			delete(o.receivedAt, e.ID)
			awaited = append(awaited, e)
		}
	}
	return awaited
}

// Tick says that time has passed. Batches without a response in time count against the path.
func (o *Outbox) Tick(now time.Time) {
	if o.noLeader {
		// No batch is taken, so what has expired would fill the queue.
		o.dropExpired(now)
	}
	for seq, batch := range o.inFlight {
		if now.Sub(batch.sentAt) < o.settings.HeartbeatTimeout {
			continue
		}
		delete(o.inFlight, seq)
		if o.unansweredBatches++; o.unansweredBatches >= maxUnansweredBatches && o.path == ViaStore {
			o.transition(now, Unreachable, "no responses through the state service")
		}
	}
	for id, at := range o.receivedAt {
		if now.Sub(at) >= 2*o.settings.HeartbeatTimeout {
			delete(o.receivedAt, id)
		}
	}
}

// isAwaited reports whether a worker still waits for the response to a heartbeat.
func (o *Outbox) isAwaited(now time.Time, id uint64) bool {
	at, ok := o.receivedAt[id]
	return ok && now.Sub(at) < o.settings.HeartbeatTimeout
}

// dropExpired drops the queued heartbeats whose workers wait no longer.
func (o *Outbox) dropExpired(now time.Time) {
	o.queue.keep(func(e Envelope) bool {
		if o.isAwaited(now, e.ID) {
			return true
		}
		delete(o.receivedAt, e.ID)
		return false
	})
}

// Idle reports that nothing is queued, in flight or awaited.
func (o *Outbox) Idle() bool {
	return o.queue.len() == 0 && len(o.inFlight) == 0 && len(o.receivedAt) == 0
}
