package relay

import (
	"cmp"
	"slices"
	"time"
)

// Outbox holds the heartbeats that wait for a batch and the batches that wait for a response. Its methods must not
// be called concurrently.
type Outbox struct {
	settings Settings

	path              Path
	pathSince         time.Time
	pathChanged       func(from, to Path, reason string) // may be nil
	noLeader          bool                               // no member leads; heartbeats wait for the next leader
	unansweredBatches int                                // consecutive batches without a response in time

	lastID       uint64               // ID of the last heartbeat that was added
	awaitedSince map[uint64]time.Time // by heartbeat ID: when it was added, for those whose worker still waits
	queue        heartbeatQueue

	lastSeq    uint64                   // sequence number of the last batch that was taken
	lastSentAt time.Time                // when that batch was taken
	inFlight   map[uint64]inFlightBatch // by sequence number
}

// inFlightBatch is a batch that was taken and has no response yet.
type inFlightBatch struct {
	sentAt    time.Time
	envelopes []Envelope
}

// New returns an empty Outbox on the path PathDirect. If pathChanged is not nil, it is called before each change of the
// path with the reason for it.
func New(settings Settings, pathChanged func(from, to Path, reason string)) *Outbox {
	return &Outbox{
		settings:     settings,
		pathChanged:  pathChanged,
		awaitedSince: map[uint64]time.Time{},
		inFlight:     map[uint64]inFlightBatch{},
	}
}

// Path returns the current path to the leader.
func (o *Outbox) Path() Path { return o.path }

// transition changes the path. All changes go through it.
func (o *Outbox) transition(now time.Time, to Path, reason string) {
	if o.path == to {
		return
	}
	if o.pathChanged != nil {
		o.pathChanged(o.path, to, reason)
	}
	o.path, o.pathSince, o.unansweredBatches = to, now, 0
}

// ObserveContact reports to the outbox whether this member can reach the leader over the network, and returns the
// resulting path. Heartbeats are never relayed to a reachable leader.
func (o *Outbox) ObserveContact(now time.Time, reached bool) Path {
	switch {
	case reached:
		o.transition(now, PathDirect, "leader is reachable")
	case o.path == PathDirect:
		o.transition(now, PathViaStateService, "leader is unreachable or does not accept forwarded heartbeats")
	case o.path == PathNone && now.Sub(o.pathSince) >= o.settings.RetryAfter:
		o.transition(now, PathViaStateService, "retry interval has passed")
	}
	return o.path
}

// LeaderChanged must be called when another member becomes the leader, or with noLeader when the leadership is
// vacant. The path is kept: a partition between this member and the last leader is likely to separate it from the
// new one too, and workers that were redirected to an unreachable leader would wait for seconds, while their leases
// might expire. Only PathNone changes to PathViaStateService, since the new leader may respond. The heartbeats of
// batches in flight are queued again, because a new leader only reads batches that are written after its takeover.
func (o *Outbox) LeaderChanged(now time.Time, noLeader bool) {
	o.noLeader, o.unansweredBatches = noLeader, 0
	if o.path == PathNone {
		o.transition(now, PathViaStateService, "leader has changed")
	}
	var unanswered []Envelope
	for seq := range o.inFlight {
		unanswered = append(unanswered, o.removeInFlight(seq)...)
	}
	slices.SortFunc(unanswered, func(a, b Envelope) int { return cmp.Compare(a.ID, b.ID) })
	o.queue.pushFront(unanswered)
}

// removeInFlight forgets a batch in flight, and returns those of its heartbeats whose worker still waits.
func (o *Outbox) removeInFlight(seq uint64) []Envelope {
	var waiting []Envelope
	for _, e := range o.inFlight[seq].envelopes {
		if _, ok := o.awaitedSince[e.ID]; ok {
			waiting = append(waiting, e)
		}
	}
	delete(o.inFlight, seq)
	return waiting
}

// Add queues a heartbeat and returns its ID. ok is false if the path is not PathViaStateService or the queue is full;
// the worker should then turn to another member at once.
func (o *Outbox) Add(now time.Time, heartbeat []byte) (id uint64, ok bool) {
	if o.path != PathViaStateService || !o.queue.hasRoom(&o.settings, heartbeat) {
		return 0, false
	}
	o.lastID++
	o.queue.push(Envelope{o.lastID, heartbeat})
	o.awaitedSince[o.lastID] = now
	return o.lastID, true
}

// Cancel must be called when a heartbeat's worker stops waiting. Its response is no longer delivered.
func (o *Outbox) Cancel(id uint64) { delete(o.awaitedSince, id) }

// NextBatchAt returns when the next batch may be taken. It returns the zero time if nothing is queued, no member
// leads, or too many batches are in flight.
func (o *Outbox) NextBatchAt() time.Time {
	if o.noLeader || o.queue.len() == 0 || len(o.inFlight) >= o.settings.MaxInFlight {
		return time.Time{}
	}
	return o.lastSentAt.Add(o.settings.BatchInterval)
}

// TakeBatch removes the next batch from the queue and returns it as a payload of at most maxBytes with the count
// oldest heartbeats. Heartbeats whose worker no longer waits are dropped, and so is one that does not fit into a
// batch of its own. A count of 0 means that there is no batch.
func (o *Outbox) TakeBatch(now time.Time, maxBytes int) (seq uint64, payload string, count int) {
	o.dropExpired(now)
	for o.queue.len() > 0 {
		if payload, count = Pack(o.queue.envelopes, maxBytes); count > 0 {
			break
		}
		delete(o.awaitedSince, o.queue.popFront().ID)
	}
	if count == 0 {
		return 0, "", 0
	}
	o.lastSeq++
	o.inFlight[o.lastSeq] = inFlightBatch{sentAt: now, envelopes: o.queue.take(count)}
	o.lastSentAt = now
	return o.lastSeq, payload, count
}

// WriteFailed must be called when a batch could not be written. Its heartbeats go into the next batch.
func (o *Outbox) WriteFailed(seq uint64) { o.queue.pushFront(o.removeInFlight(seq)) }

// AcceptResponses records responses to a batch, and returns those whose worker still waits. Others must not be
// delivered: they arrive after the worker has stopped waiting.
func (o *Outbox) AcceptResponses(now time.Time, seq uint64, responses []Envelope) []Envelope {
	if _, ok := o.inFlight[seq]; ok {
		delete(o.inFlight, seq)
		o.unansweredBatches = 0
	}
	var awaited []Envelope
	for _, e := range responses {
		if o.isAwaited(now, e.ID) {
			delete(o.awaitedSince, e.ID)
			awaited = append(awaited, e)
		}
	}
	return awaited
}

// Tick must be called regularly with the current time. It drops batches that got no response in time; after
// maxUnansweredBatches of them in a row the leader counts as unreachable.
func (o *Outbox) Tick(now time.Time) {
	if o.noLeader {
		// TakeBatch, which drops expired heartbeats otherwise, is not called, so they would fill the queue.
		o.dropExpired(now)
	}
	for seq, batch := range o.inFlight {
		if now.Sub(batch.sentAt) < o.settings.HeartbeatTimeout {
			continue
		}
		delete(o.inFlight, seq)
		if o.unansweredBatches++; o.unansweredBatches >= maxUnansweredBatches && o.path == PathViaStateService {
			o.transition(now, PathNone, "leader does not respond through the state service")
		}
	}
	for id, at := range o.awaitedSince {
		if now.Sub(at) >= 2*o.settings.HeartbeatTimeout {
			delete(o.awaitedSince, id)
		}
	}
}

// isAwaited reports whether a worker still waits for the response to a heartbeat.
func (o *Outbox) isAwaited(now time.Time, id uint64) bool {
	at, ok := o.awaitedSince[id]
	return ok && now.Sub(at) < o.settings.HeartbeatTimeout
}

// dropExpired removes the queued heartbeats whose worker no longer waits.
func (o *Outbox) dropExpired(now time.Time) {
	o.queue.filter(func(e Envelope) bool {
		if o.isAwaited(now, e.ID) {
			return true
		}
		delete(o.awaitedSince, e.ID)
		return false
	})
}

// Idle reports whether no heartbeat is queued, in flight or awaited by a worker.
func (o *Outbox) Idle() bool {
	return o.queue.len() == 0 && len(o.inFlight) == 0 && len(o.awaitedSince) == 0
}
