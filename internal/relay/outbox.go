// Package relay decides how workers' reports reach a leader that this member cannot reach: by way
// of the state service, in batches. It is pure: reports and the time go in, batches come out. Why
// a report may take any way is in docs/safety.md, "Reports that are handed on".
package relay

import (
	"cmp"
	"slices"
	"time"
)

// Path is the way to the leader, as far as this member knows.
type Path uint8

// The paths.
const (
	Direct      Path = iota // the leader is heard, or nothing is known against it
	ViaStore                // it is not: by way of the state service
	Unreachable             // nor does it answer there
)

func (p Path) String() string { return [...]string{"direct", "post", "lost"}[p] }

// Settings bound what is sent.
type Settings struct {
	BatchInterval    time.Duration // between batches, at the least
	MaxQueued        int           // reports that wait, at the most
	MaxQueuedBytes   int           // and how large they are together
	MaxInFlight      int           // batches that are not answered, at the most
	HeartbeatTimeout time.Duration // how long a report may take until its answer is of no use
	RetryAfter       time.Duration // before the leader is tried again that has not answered
}

// maxUnansweredBatches is how many batches in a row without an answer show that nobody takes them.
const maxUnansweredBatches = 4

// Envelope is a report on its way, or the answer to one.
type Envelope struct {
	ID   uint64
	Body []byte
}

// Outbox holds the reports that wait for a batch, and what is out. It belongs to one goroutine at
// a time.
type Outbox struct {
	settings          Settings
	path              Path
	pathSince         time.Time
	pathChanged       func(from, to Path, why string)
	queue             []Envelope
	queuedBytes       int                  // of the queue
	receivedAt        map[uint64]time.Time // when reports came that are not answered or given up
	lastID            uint64
	lastSeq           uint64
	inFlight          map[uint64]inFlightBatch // that are not answered
	noLeader          bool                     // nobody leads: reports wait for whoever will
	lastSentAt        time.Time                // when one left
	unansweredBatches int                      // batches in a row that were not answered
}

// inFlightBatch is out.
type inFlightBatch struct {
	sentAt    time.Time
	envelopes []Envelope
}

// New makes an outbox. moved is told of each change of the path, with the evidence.
func New(set Settings, moved func(from, to Path, why string)) *Outbox {
	return &Outbox{settings: set, pathChanged: moved, receivedAt: map[uint64]time.Time{}, inFlight: map[uint64]inFlightBatch{}}
}

// Path tells the way to the leader.
func (o *Outbox) Path() Path { return o.path }

// transition changes the path; it is the only place that does.
func (o *Outbox) transition(now time.Time, p Path, why string) {
	if o.path != p {
		if o.pathChanged != nil {
			o.pathChanged(o.path, p, why)
		}
		o.path, o.pathSince, o.unansweredBatches = p, now, 0
	}
}

// ObserveContact takes whether the leader is within reach of this member by itself. One that is goes before
// everything else.
func (o *Outbox) ObserveContact(now time.Time, reached bool) Path {
	switch {
	case reached:
		o.transition(now, Direct, "the leader is heard")
	case o.path == Direct:
		o.transition(now, ViaStore, "the leader is not heard, or takes nothing that is handed on")
	case o.path == Unreachable && now.Sub(o.pathSince) >= o.settings.RetryAfter:
		o.transition(now, ViaStore, "tried again")
	}
	return o.path
}

// LeaderChanged takes that another one leads, or for now nobody. What kept this member from the last one
// likely keeps it from this one too, until it is heard: guards against workers that are sent in
// vain, for seconds that their leases do not have, to a leader on the other side of the same cut.
// What was out is sent again: the new one reads nothing of before its time.
func (o *Outbox) LeaderChanged(now time.Time, nobody bool) {
	o.noLeader, o.unansweredBatches = nobody, 0
	if o.path == Unreachable {
		o.transition(now, ViaStore, "another one is to lead")
	}
	var again []Envelope
	for seq := range o.inFlight {
		again = append(again, o.reclaim(seq)...)
	}
	slices.SortFunc(again, func(a, b Envelope) int { return cmp.Compare(a.ID, b.ID) })
	o.queue = append(again, o.queue...)
}

// reclaim takes a batch back, as far as somebody still waits for it.
func (o *Outbox) reclaim(seq uint64) (live []Envelope) {
	for _, l := range o.inFlight[seq].envelopes {
		if _, ok := o.receivedAt[l.ID]; ok {
			live = append(live, l)
			o.queuedBytes += len(l.Body)
		}
	}
	delete(o.inFlight, seq)
	return live
}

// Add takes a report. Where too much waits already, or there is no path, it is not taken: its worker
// had better ask another member.
func (o *Outbox) Add(now time.Time, report []byte) (id uint64, ok bool) {
	if o.path != ViaStore || len(o.queue) >= o.settings.MaxQueued || o.queuedBytes+len(report) > o.settings.MaxQueuedBytes {
		return 0, false
	}
	o.lastID++
	o.queuedBytes += len(report)
	o.queue = append(o.queue, Envelope{o.lastID, report})
	o.receivedAt[o.lastID] = now
	return o.lastID, true
}

// Cancel forgets a report whose worker waits no more.
func (o *Outbox) Cancel(id uint64) { delete(o.receivedAt, id) }

// NextBatchAt is when the next batch may leave; zero: nothing waits, or too much is out.
func (o *Outbox) NextBatchAt(now time.Time) time.Time {
	if o.noLeader || len(o.queue) == 0 || len(o.inFlight) >= o.settings.MaxInFlight {
		return time.Time{}
	}
	return o.lastSentAt.Add(o.settings.BatchInterval)
}

// TakeBatch makes the next batch, as many reports as fit into a size of text, the oldest first. What
// nobody waits for any more is left out; what is too large by itself is dropped.
func (o *Outbox) TakeBatch(now time.Time, size int) (seq uint64, text string, n int) {
	o.dropExpired(now)
	for len(o.queue) > 0 {
		if text, n = Pack(o.queue, size); n > 0 {
			break
		}
		delete(o.receivedAt, o.queue[0].ID) // more than a value holds
		o.queuedBytes -= len(o.queue[0].Body)
		o.queue = o.queue[1:]
	}
	if n == 0 {
		return 0, "", 0
	}
	sent := o.queue[:n:n]
	for _, l := range sent {
		o.queuedBytes -= len(l.Body)
	}
	o.queue = append([]Envelope(nil), o.queue[n:]...)
	o.lastSeq++
	o.inFlight[o.lastSeq], o.lastSentAt = inFlightBatch{now, sent}, now
	return o.lastSeq, text, n
}

// dropExpired drops what nobody waits for any more.
func (o *Outbox) dropExpired(now time.Time) {
	live := o.queue[:0]
	for _, l := range o.queue {
		if at, ok := o.receivedAt[l.ID]; ok && now.Sub(at) < o.settings.HeartbeatTimeout {
			live = append(live, l)
		} else {
			delete(o.receivedAt, l.ID)
			o.queuedBytes -= len(l.Body)
		}
	}
	o.queue = live
}

// WriteFailed takes that a batch was not written: it goes with the next one.
func (o *Outbox) WriteFailed(seq uint64) { o.queue = append(o.reclaim(seq), o.queue...) }

// AcceptResponses takes the answers to a batch. It tells which of them somebody still waits for: an answer
// that comes after its worker has given up must not reach it.
func (o *Outbox) AcceptResponses(now time.Time, seq uint64, letters []Envelope) (live []Envelope) {
	if _, ok := o.inFlight[seq]; ok {
		delete(o.inFlight, seq)
		o.unansweredBatches = 0
	}
	for _, l := range letters {
		if at, ok := o.receivedAt[l.ID]; ok && now.Sub(at) < o.settings.HeartbeatTimeout {
			delete(o.receivedAt, l.ID)
			live = append(live, l)
		}
	}
	return live
}

// Tick takes that time has passed: batches without an answer in time count against the path.
func (o *Outbox) Tick(now time.Time) {
	if o.noLeader {
		o.dropExpired(now) // no batch leaves: what was given up must not take the place of what comes
	}
	for seq, b := range o.inFlight {
		if now.Sub(b.sentAt) < o.settings.HeartbeatTimeout {
			continue
		}
		delete(o.inFlight, seq)
		if o.unansweredBatches++; o.unansweredBatches >= maxUnansweredBatches && o.path == ViaStore {
			o.transition(now, Unreachable, "nobody answers by way of the state service")
		}
	}
	for id, at := range o.receivedAt {
		if now.Sub(at) >= 2*o.settings.HeartbeatTimeout {
			delete(o.receivedAt, id)
		}
	}
}

// Idle tells that nothing waits and nothing is out.
func (o *Outbox) Idle() bool {
	return len(o.queue) == 0 && len(o.inFlight) == 0 && len(o.receivedAt) == 0
}
