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
	// extraResponseWait extends the usual wait for a response if the heartbeat is relayed through the state
	// service. Workers give up after 4 s.
	extraResponseWait = 1400 * time.Millisecond

	relayIdleTimeout     = 15 * time.Second // time without heartbeats until the watch ends and the records are deleted
	responseWatchTimeout = 2 * time.Second  // of a single watch for responses

	flushRetryDelay          = 20 * time.Millisecond // while no batch is due or the watch for responses is not established
	relayRevisionRetryDelay  = 200 * time.Millisecond
	watchResponsesRetryDelay = 100 * time.Millisecond
)

// storeRelay relays heartbeats through the state service to a leader that this member does not reach
// (docs/reports.md). It writes batches of heartbeats and watches for the leader's responses. relay.Outbox
// decides when to write which heartbeats. relay_leader.go contains the leader's side.
type storeRelay struct {
	store         *store.Client
	tasks         *taskGroup
	log           *slog.Logger
	member        string
	incarnation   uint64 // identifies this process, so that it can recognize the responses to its own batches
	batchCapacity int    // bytes of envelopes in one record
	maxTxnOps     int

	flushSignal      chan struct{} // signals flushBatches that a heartbeat was added
	responseSignal   chan struct{} // signals watchResponses that a heartbeat was added
	responsesWatched atomic.Bool   // batches are written only while this is true, so that no response is missed

	mu      sync.Mutex // guards outbox and waiters
	outbox  *relay.Outbox
	waiters map[uint64]chan []byte // by envelope ID; a nil response makes the worker try another member
}

// newStoreRelay returns nil if the settings disable relaying through the state service or if there are no other
// members.
func newStoreRelay(
	p *config.Platform, o *config.Operator, state *store.Client, tasks *taskGroup, log *slog.Logger,
) *storeRelay {
	settings := config.RelaySettings(p, o)
	if settings == nil || len(p.Members) == 0 {
		return nil
	}
	onPathChange := func(from, to relay.Path, reason string) {
		log.Info("heartbeat relay path changed", "from", from.String(), "to", to.String(), "reason", reason)
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

// send relays a heartbeat and waits for the response. It waits extraResponseWait beyond the deadline of ctx,
// because a worker that gets no response here spends much of its lease on members on the other side of the
// partition. ok is false if there is no response.
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

// enqueue adds a copy of a heartbeat to the outbox and registers a waiter for the response. ok is false if the
// outbox does not accept the heartbeat.
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

// active reports whether heartbeats are currently relayed through the state service.
func (r *storeRelay) active() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outbox.Path() == relay.PathViaStateService
}

func (r *storeRelay) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outbox.Idle()
}

// onLeaderReachable records that the leader is reachable again. The waiting workers get no response any more,
// and workers are redirected to the leader from now on.
func (r *storeRelay) onLeaderReachable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outbox.ObserveContact(time.Now(), true)
	r.rejectWaiters()
}

// onLeaderChanged records that another member leads, or that there is currently no leader.
func (r *storeRelay) onLeaderChanged(noLeader bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outbox.LeaderChanged(time.Now(), noLeader)
}

// rejectWaiters ends the wait of all workers, which then try another member. The caller must hold mu.
func (r *storeRelay) rejectWaiters() {
	for id, waiter := range r.waiters {
		waiter <- nil
		r.outbox.Cancel(id)
	}
	clear(r.waiters)
}

// flushBatches writes batches of heartbeats when they are due.
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
			r.tasks.sleep(flushRetryDelay)
			continue
		case now.Before(due):
			r.tasks.sleep(due.Sub(now))
		}
		r.flush()
	}
	return nil
}

// flush writes one batch if any heartbeats are queued.
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

// watchResponses watches for the leader's responses. It pauses if no heartbeat has waited for a response within
// relayIdleTimeout.
func (r *storeRelay) watchResponses() error {
	var revision uint64
	var lastUsed time.Time
	for r.tasks.running() {
		idle := r.idle()
		if now := time.Now(); !idle {
			lastUsed = now
		} else if now.Sub(lastUsed) > relayIdleTimeout {
			revision = 0
			lastUsed = r.pauseUntilHeartbeat(lastUsed)
			continue
		}
		var err error
		if revision == 0 {
			if revision, err = r.store.RelayRevision(r.tasks.ctx, r.member); err != nil {
				revision = 0
				r.tasks.sleep(relayRevisionRetryDelay)
				continue
			}
			r.responsesWatched.Store(true)
		}
		batches, next, err := r.store.WatchRelay(r.tasks.ctx, r.member, revision, responseWatchTimeout)
		if err != nil {
			revision = 0
			r.responsesWatched.Store(false)
			r.tasks.sleep(watchResponsesRetryDelay)
			continue
		}
		revision = next
		for _, batch := range batches {
			r.deliver(batch)
		}
	}
	return nil
}

// pauseUntilHeartbeat ends the watch, deletes this member's relay records from the state service if any
// heartbeat was queued, and waits for the next heartbeat. It returns the time of that heartbeat, or lastUsed if
// the context is cancelled.
func (r *storeRelay) pauseUntilHeartbeat(lastUsed time.Time) time.Time {
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

// deliver passes the responses of a batch to their waiters. It ignores responses to an earlier incarnation of
// this member and malformed ones.
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
