package controller

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/glentiller/glentiller/internal/config"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/relay"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

// storeRelay hands workers' reports to a leader out of reach by way of the state service
// (docs/reports.md): what is decided is in package courier.
type storeRelay struct {
	controller     *Controller
	incarnation    uint64
	batchCapacity  int           // of text in a value
	flushSignal    chan struct{} // something was added: for flush
	answerSignal   chan struct{} // and for answers
	answersWatched atomic.Bool   // answers are watched for

	mu      sync.Mutex
	outbox  *relay.Outbox
	waiters map[uint64]chan []byte
}

const (
	extraAnswerWait         = 1400 * time.Millisecond // than the front does: workers drop answers after 4 s
	relayIdleTimeout        = 15 * time.Second        // after so long without a report nothing is watched, and what was left is removed
	answerWatchTimeout      = 2 * time.Second         // of one watch for answers
	batchWatchTimeout       = 5 * time.Second         // and for reports
	batchAnswerTimeout      = time.Second             // for a leader's loop to answer a batch
	maxConcurrentHeartbeats = 32                      // reports of a batch that wait for the loop at once
)

// newStoreRelay makes it; nil: it is off, or there is nobody to hand anything to.
func newStoreRelay(n *Controller) *storeRelay {
	set := config.RelaySettings(n.platform, n.operator)
	if set == nil || len(n.platform.Members) == 0 {
		return nil
	}
	p := &storeRelay{controller: n, incarnation: rand.Uint64() | 1, batchCapacity: wire.MaxBatchPayload(config.StoreLimits(n.platform).MaxValueBytes), flushSignal: make(chan struct{}, 1), answerSignal: make(chan struct{}, 1), waiters: map[uint64]chan []byte{}}
	p.outbox = relay.New(*set, func(from, to relay.Path, why string) {
		n.log.Info("way of reports", "from", from.String(), "to", to.String(), "why", why)
	})
	return p
}

// send hands a report over and waits for its answer: for longer than for others, as a worker that
// is sent on spends much of its lease on members on the other side of the cut.
func (p *storeRelay) send(ctx context.Context, report []byte) ([]byte, bool) {
	now := time.Now()
	if until, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(p.controller.ctx, until.Add(extraAnswerWait))
		defer cancel()
	}
	p.mu.Lock()
	p.outbox.ObserveContact(now, false)
	id, ok := p.outbox.Add(now, append([]byte(nil), report...))
	if !ok {
		p.mu.Unlock()
		return nil, false
	}
	got := make(chan []byte, 1)
	p.waiters[id] = got
	p.mu.Unlock()
	for _, c := range []chan struct{}{p.flushSignal, p.answerSignal} {
		select {
		case c <- struct{}{}:
		default:
		}
	}
	select {
	case b := <-got:
		return b, b != nil
	case <-ctx.Done():
		p.mu.Lock()
		defer p.mu.Unlock()
		p.outbox.Cancel(id)
		delete(p.waiters, id)
		return nil, false
	}
}

// active tells whether reports go this way already.
func (p *storeRelay) active() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.outbox.Path() == relay.ViaStore
}

// leaderReached takes that the leader is within reach again: nobody waits any more, and workers are sent on.
func (p *storeRelay) leaderReached() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outbox.ObserveContact(time.Now(), true)
	p.rejectWaiters()
}

// leaderChanged takes that another one leads, or nobody.
func (p *storeRelay) leaderChanged(nobody bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outbox.LeaderChanged(time.Now(), nobody)
}

// rejectWaiters has all that wait ask again. The lock is held.
func (p *storeRelay) rejectWaiters() {
	for id, got := range p.waiters {
		got <- nil
		p.outbox.Cancel(id)
	}
	clear(p.waiters)
}

// flushBatches writes batches as they are due.
func (p *storeRelay) flushBatches() error {
	n := p.controller
	for n.ctx.Err() == nil {
		p.mu.Lock()
		now := time.Now()
		p.outbox.Tick(now)
		due, idle := p.outbox.NextBatchAt(now), p.outbox.Idle()
		p.mu.Unlock()
		switch {
		case idle:
			select {
			case <-p.flushSignal:
			case <-n.ctx.Done():
			}
			continue
		case due.IsZero() || !p.answersWatched.Load():
			store.Sleep(n.ctx, 20*time.Millisecond)
			continue
		case now.Before(due):
			store.Sleep(n.ctx, due.Sub(now))
		}
		p.mu.Lock()
		seq, text, count := p.outbox.TakeBatch(time.Now(), p.batchCapacity)
		p.mu.Unlock()
		if count == 0 {
			continue
		}
		err := n.store.PutHeartbeats(n.ctx, store.RelayBatch{Member: n.platform.Member, RelayBatch: wire.RelayBatch{Incarnation: p.incarnation, Seq: seq, Payload: text}})
		if err != nil {
			n.log.Debug("reports not handed over", "count", count, "err", err)
			p.mu.Lock()
			p.outbox.WriteFailed(seq)
			p.mu.Unlock()
		}
	}
	return nil
}

// watchAnswers watches for the leader's answers while any are waited for.
func (p *storeRelay) watchAnswers() error {
	n := p.controller
	var rev uint64
	var used time.Time
	for n.ctx.Err() == nil {
		p.mu.Lock()
		idle := p.outbox.Idle()
		p.mu.Unlock()
		if now := time.Now(); !idle {
			used = now
		} else if now.Sub(used) > relayIdleTimeout {
			p.answersWatched.Store(false)
			rev = 0
			if !used.IsZero() {
				if err := n.store.DeleteRelayRecords(n.ctx, n.platform.Member, n.settings.MaxTxnOps); err != nil {
					n.log.Debug("what is left of reports by way of the state service stays", "err", err)
				}
			}
			select {
			case <-p.answerSignal:
				used = time.Now()
			case <-n.ctx.Done():
			}
			continue
		}
		var err error
		if rev == 0 {
			if rev, err = n.store.RelayRevision(n.ctx, n.platform.Member); err != nil {
				rev = 0
				store.Sleep(n.ctx, 200*time.Millisecond)
				continue
			}
			p.answersWatched.Store(true)
		}
		batches, at, err := n.store.WatchRelay(n.ctx, n.platform.Member, rev, answerWatchTimeout)
		if err != nil {
			rev = 0
			p.answersWatched.Store(false)
			store.Sleep(n.ctx, 100*time.Millisecond)
			continue
		}
		rev = at
		for _, b := range batches {
			letters, err := relay.Unpack(b.Payload)
			if err != nil || b.Incarnation != p.incarnation {
				continue // for an earlier life of this process
			}
			p.mu.Lock()
			for _, l := range p.outbox.AcceptResponses(time.Now(), b.Seq, letters) {
				if got := p.waiters[l.ID]; got != nil {
					got <- l.Body
					delete(p.waiters, l.ID)
				}
			}
			p.mu.Unlock()
		}
	}
	return nil
}

// watchRelayedBatches has a leader take the reports that members hand over by way of the state service.
func (n *Controller) watchRelayedBatches() error {
	var rev, token uint64
	for n.ctx.Err() == nil {
		r := n.lease.Load()
		if !r.valid() {
			rev = 0
			store.Sleep(n.ctx, 200*time.Millisecond)
			continue
		}
		if r.fencingToken != token {
			rev, token = 0, r.fencingToken
		}
		var err error
		if rev == 0 {
			if rev, err = n.store.RelayRevision(n.ctx, ""); err != nil {
				rev = 0
				store.Sleep(n.ctx, 300*time.Millisecond)
				continue
			}
		}
		batches, at, err := n.store.WatchRelay(n.ctx, "", rev, batchWatchTimeout)
		if err != nil {
			n.log.Debug("reports by way of the state service", "err", err)
			rev = 0
			store.Sleep(n.ctx, 300*time.Millisecond)
			continue
		}
		rev = at
		for _, b := range batches {
			n.spawn(func() { n.answerBatch(b) })
		}
	}
	return nil
}

// answerBatch answers a batch of reports, each as if it had come by itself.
func (n *Controller) answerBatch(b store.RelayBatch) {
	letters, err := relay.Unpack(b.Payload)
	if err != nil {
		n.log.Warn("a batch of reports cannot be read", "member", b.Member, "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, batchAnswerTimeout)
	defer cancel()
	answers := make([][]byte, len(letters))
	var group errgroup.Group
	group.SetLimit(maxConcurrentHeartbeats)
	for i, l := range letters {
		group.Go(func() error {
			r, err := wire.DecodeHeartbeat(l.Body)
			if err != nil {
				return nil // its worker is answered by nobody; the others are
			}
			if v := n.handleHeartbeat(ctx, reconciler.HeartbeatReceived{Heartbeat: r, Relayed: true}); v.Leading && v.LeaseValid() {
				answers[i] = wire.AppendHeartbeatResponse(nil, v.FencingToken, v.Commands)
			}
			return nil
		})
	}
	_ = group.Wait()
	var out []relay.Envelope
	for i, a := range answers {
		if a != nil {
			out = append(out, relay.Envelope{ID: letters[i].ID, Body: a})
		}
	}
	room := wire.MaxBatchPayload(config.StoreLimits(n.platform).MaxValueBytes)
	for len(out) > 0 {
		r := n.lease.Load()
		text, k := relay.Pack(out, room)
		if k == 0 {
			out = out[1:] // more orders than a value holds: told again, fewer at a time
			continue
		}
		if !r.valid() {
			return
		}
		if _, err := n.store.PutHeartbeatResponses(n.ctx, r.tokenVersion, store.RelayBatch{Member: b.Member, RelayBatch: wire.RelayBatch{Incarnation: b.Incarnation, Seq: b.Seq, Payload: text}}); err != nil {
			n.log.Debug("answers not handed over", "member", b.Member, "count", k, "err", err)
			return
		}
		out = out[k:]
	}
}
