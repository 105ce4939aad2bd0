package controller

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/glentiller/glentiller/internal/config"
	"github.com/glentiller/glentiller/internal/relay"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

const (
	// extraResponseWait is by how much longer than usual a worker waits for a response by way of the state
	// service; workers give up after 4 s.
	extraResponseWait = 1400 * time.Millisecond

	relayIdleTimeout     = 15 * time.Second // without a heartbeat, the watch ends and what is left is deleted
	responseWatchTimeout = 2 * time.Second  // of one watch for responses

	flushRetry          = 20 * time.Millisecond // while responses are not watched yet
	relayRevisionRetry  = 200 * time.Millisecond
	watchResponsesRetry = 100 * time.Millisecond
)

// storeRelay is the member's side of relaying heartbeats to a leader that it does not reach, by way of the
// state service (docs/reports.md): it writes batches of heartbeats and watches for the leader's responses.
// relay.Outbox decides what is written when. relay_leader.go is the leader's side.
type storeRelay struct {
	store         *store.Client
	tasks         *taskGroup
	log           *slog.Logger
	member        string
	incarnation   uint64 // of this process, by which it knows the responses that are meant for it
	batchCapacity int    // bytes of envelopes in one record
	maxTxnOps     int

	flushSignal      chan struct{} // for flushBatches: a heartbeat was added
	responseSignal   chan struct{} // for watchResponses: a heartbeat was added
	responsesWatched atomic.Bool   // nothing is written before a response would be seen

	mu      sync.Mutex // guards outbox and waiters
	outbox  *relay.Outbox
	waiters map[uint64]chan []byte // by envelope; a nil response sends the worker elsewhere
}

// newStoreRelay returns nil if the settings turn it off, or if there are no other members.
func newStoreRelay(
	p *config.Platform, o *config.Operator, state *store.Client, tasks *taskGroup, log *slog.Logger,
) *storeRelay {
	settings := config.RelaySettings(p, o)
	if settings == nil || len(p.Members) == 0 {
		return nil
	}
	onPathChange := func(from, to relay.Path, reason string) {
		log.Info("heartbeat path", "from", from.String(), "to", to.String(), "reason", reason)
	}
	return &storeRelay{
		store:          state,
		tasks:          tasks,
		log:            log,
		member:         p.Member,
		incarnation:    rand.Uint64() | 1,
		batchCapacity:  wire.MaxBatchPayload(config.StoreLimits(p).MaxValueBytes),
		maxTxnOps:      p.StateLimits().TxnOps,
		flushSignal:    make(chan struct{}, 1),
		responseSignal: make(chan struct{}, 1),
		outbox:         relay.New(*settings, onPathChange),
		waiters:        map[uint64]chan []byte{},
	}
}

// send relays a heartbeat and waits for its response. It waits for longer than others do, since a worker
// that is sent elsewhere spends much of its lease on members on the other side of the partition.
func (r *storeRelay) send(ctx context.Context, heartbeat []byte) (response []byte, ok bool) {
	now := time.Now()
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(r.tasks.ctx, deadline.Add(extraResponseWait))
		defer cancel()
	}
	id, responses, ok := r.enqueue(now, heartbeat)
	if !ok {
		return nil, false
	}
	for _, signal := range []chan struct{}{r.flushSignal, r.responseSignal} {
		select {
		case signal <- struct{}{}:
		default:
		}
	}
	select {
	case response = <-responses:
		return response, response != nil
	case <-ctx.Done():
		r.mu.Lock()
		defer r.mu.Unlock()
		r.outbox.Cancel(id)
		delete(r.waiters, id)
		return nil, false
	}
}

// enqueue adds a copy of a heartbeat to the outbox, and a waiter for its response; ok is false if the outbox
// takes nothing.
func (r *storeRelay) enqueue(now time.Time, heartbeat []byte) (id uint64, responses <-chan []byte, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outbox.ObserveContact(now, false)
	id, ok = r.outbox.Add(now, append([]byte(nil), heartbeat...))
	if !ok {
		return 0, nil, false
	}
	waiter := make(chan []byte, 1)
	r.waiters[id] = waiter
	return id, waiter, true
}

// active reports whether heartbeats go by way of the state service already.
func (r *storeRelay) active() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outbox.Path() == relay.ViaStore
}

func (r *storeRelay) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outbox.Idle()
}

// leaderReached notes that the leader is reachable again: no worker waits any more, and workers are
// redirected.
func (r *storeRelay) leaderReached() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outbox.ObserveContact(time.Now(), true)
	r.rejectWaiters()
}

// leaderChanged notes that another member leads, or for now none.
func (r *storeRelay) leaderChanged(noLeader bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outbox.LeaderChanged(time.Now(), noLeader)
}

// rejectWaiters ends the wait of all workers, which then try another member. mu is held.
func (r *storeRelay) rejectWaiters() {
	for id, waiter := range r.waiters {
		waiter <- nil
		r.outbox.Cancel(id)
	}
	clear(r.waiters)
}

// flushBatches writes batches of heartbeats as they are due.
func (r *storeRelay) flushBatches() error {
	for r.tasks.running() {
		r.mu.Lock()
		now := time.Now()
		r.outbox.Tick(now)
		due, idle := r.outbox.NextBatchAt(), r.outbox.Idle()
		r.mu.Unlock()
		switch {
		case idle:
			select {
			case <-r.flushSignal:
			case <-r.tasks.ctx.Done():
			}
			continue
		case due.IsZero() || !r.responsesWatched.Load():
			r.tasks.sleep(flushRetry)
			continue
		case now.Before(due):
			r.tasks.sleep(due.Sub(now))
		}
		r.flush()
	}
	return nil
}

// flush writes one batch, if there is any.
func (r *storeRelay) flush() {
	r.mu.Lock()
	seq, payload, count := r.outbox.TakeBatch(time.Now(), r.batchCapacity)
	r.mu.Unlock()
	if count == 0 {
		return
	}
	batch := wire.RelayBatch{Incarnation: r.incarnation, Seq: seq, Payload: payload}
	err := r.store.PutHeartbeats(r.tasks.ctx, store.RelayBatch{Member: r.member, RelayBatch: batch})
	if err == nil {
		return
	}
	r.log.Debug("relaying heartbeats failed", "count", count, "err", err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outbox.WriteFailed(seq)
}

// watchResponses watches for the leader's responses while any are waited for.
func (r *storeRelay) watchResponses() error {
	var revision uint64
	var lastUsed time.Time
	for r.tasks.running() {
		idle := r.idle()
		if now := time.Now(); !idle {
			lastUsed = now
		} else if now.Sub(lastUsed) > relayIdleTimeout {
			revision = 0
			lastUsed = r.waitUntilUsed(lastUsed)
			continue
		}
		var err error
		if revision == 0 {
			if revision, err = r.store.RelayRevision(r.tasks.ctx, r.member); err != nil {
				revision = 0
				r.tasks.sleep(relayRevisionRetry)
				continue
			}
			r.responsesWatched.Store(true)
		}
		batches, next, err := r.store.WatchRelay(r.tasks.ctx, r.member, revision, responseWatchTimeout)
		if err != nil {
			revision = 0
			r.responsesWatched.Store(false)
			r.tasks.sleep(watchResponsesRetry)
			continue
		}
		revision = next
		for _, batch := range batches {
			r.deliver(batch)
		}
	}
	return nil
}

// waitUntilUsed ends the watch, deletes what this member has left at the state service if it has written
// anything, and waits for the next heartbeat. It returns when that came, or lastUsed if the context ended.
func (r *storeRelay) waitUntilUsed(lastUsed time.Time) time.Time {
	r.responsesWatched.Store(false)
	if !lastUsed.IsZero() {
		if err := r.store.DeleteRelayRecords(r.tasks.ctx, r.member, r.maxTxnOps); err != nil {
			r.log.Debug("deleting relay records failed", "err", err)
		}
	}
	select {
	case <-r.responseSignal:
		return time.Now()
	case <-r.tasks.ctx.Done():
		return lastUsed
	}
}

// deliver hands the responses of a batch to their waiters, unless they are for an earlier incarnation.
func (r *storeRelay) deliver(batch store.RelayBatch) {
	envelopes, err := relay.Unpack(batch.Payload)
	if err != nil || batch.Incarnation != r.incarnation {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, envelope := range r.outbox.AcceptResponses(time.Now(), batch.Seq, envelopes) {
		if waiter := r.waiters[envelope.ID]; waiter != nil {
			waiter <- envelope.Body
			delete(r.waiters, envelope.ID)
		}
	}
}
