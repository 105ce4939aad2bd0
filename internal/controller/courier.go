package controller

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/glentiller/glentiller/internal/config"
	"github.com/glentiller/glentiller/internal/courier"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

// mail hands workers' reports to a leader out of reach by way of the state service
// (docs/reports.md): what is decided is in package courier.
type mail struct {
	n     *Node
	life  uint64
	room  int           // of text in a value
	kick  chan struct{} // something was added: for flush
	wake  chan struct{} // and for answers
	ready atomic.Bool   // answers are watched for

	mu      sync.Mutex
	box     *courier.Outbox
	waiting map[uint64]chan []byte
}

const (
	waitLonger  = 1400 * time.Millisecond // than the front does: workers drop answers after 4 s
	postIdle    = 15 * time.Second        // after so long without a report nothing is watched, and what was left is removed
	postWatch   = 2 * time.Second         // of one watch for answers
	takeWatch   = 5 * time.Second         // and for reports
	answersWait = time.Second             // for a leader's loop to answer a batch
	atOnce      = 32                      // reports of a batch that wait for the loop at once
)

// newMail makes it; nil: it is off, or there is nobody to hand anything to.
func newMail(n *Node) *mail {
	set := config.RelaySettings(n.plat, n.oper)
	if set == nil || len(n.plat.Members) == 0 {
		return nil
	}
	p := &mail{n: n, life: rand.Uint64() | 1, room: wire.MaxBatchPayload(config.StoreLimits(n.plat).Value), kick: make(chan struct{}, 1), wake: make(chan struct{}, 1), waiting: map[uint64]chan []byte{}}
	p.box = courier.New(*set, func(from, to courier.Path, why string) {
		n.log.Info("way of reports", "from", from.String(), "to", to.String(), "why", why)
	})
	return p
}

// send hands a report over and waits for its answer: for longer than for others, as a worker that
// is sent on spends much of its lease on members on the other side of the cut.
func (p *mail) send(ctx context.Context, report []byte) ([]byte, bool) {
	now := time.Now()
	if until, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(p.n.ctx, until.Add(waitLonger))
		defer cancel()
	}
	p.mu.Lock()
	p.box.Look(now, false)
	id, ok := p.box.Add(now, append([]byte(nil), report...))
	if !ok {
		p.mu.Unlock()
		return nil, false
	}
	got := make(chan []byte, 1)
	p.waiting[id] = got
	p.mu.Unlock()
	for _, c := range []chan struct{}{p.kick, p.wake} {
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
		p.box.GiveUp(id)
		delete(p.waiting, id)
		return nil, false
	}
}

// open tells whether reports go this way already.
func (p *mail) open() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.box.Path() == courier.Post
}

// reached takes that the leader is within reach again: nobody waits any more, and workers are sent on.
func (p *mail) reached() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.box.Look(time.Now(), true)
	p.turnAway()
}

// changed takes that another one leads, or nobody.
func (p *mail) changed(nobody bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.box.Changed(time.Now(), nobody)
}

// turnAway has all that wait ask again. The lock is held.
func (p *mail) turnAway() {
	for id, got := range p.waiting {
		got <- nil
		p.box.GiveUp(id)
	}
	clear(p.waiting)
}

// flush writes batches as they are due.
func (p *mail) flush() error {
	n := p.n
	for n.ctx.Err() == nil {
		p.mu.Lock()
		now := time.Now()
		p.box.Tick(now)
		due, idle := p.box.Due(now), p.box.Idle()
		p.mu.Unlock()
		switch {
		case idle:
			select {
			case <-p.kick:
			case <-n.ctx.Done():
			}
			continue
		case due.IsZero() || !p.ready.Load():
			store.Wait(n.ctx, 20*time.Millisecond)
			continue
		case now.Before(due):
			store.Wait(n.ctx, due.Sub(now))
		}
		p.mu.Lock()
		seq, text, count := p.box.Take(time.Now(), p.room)
		p.mu.Unlock()
		if count == 0 {
			continue
		}
		err := n.state.PutReports(n.ctx, store.Batch{Member: n.plat.Member, RelayBatch: wire.RelayBatch{Incarnation: p.life, Seq: seq, Payload: text}})
		if err != nil {
			n.log.Debug("reports not handed over", "count", count, "err", err)
			p.mu.Lock()
			p.box.Failed(seq)
			p.mu.Unlock()
		}
	}
	return nil
}

// answers watches for the leader's answers while any are waited for.
func (p *mail) answers() error {
	n := p.n
	var rev uint64
	var used time.Time
	for n.ctx.Err() == nil {
		p.mu.Lock()
		idle := p.box.Idle()
		p.mu.Unlock()
		if now := time.Now(); !idle {
			used = now
		} else if now.Sub(used) > postIdle {
			p.ready.Store(false)
			rev = 0
			if !used.IsZero() {
				if err := n.state.DropRelay(n.ctx, n.plat.Member, n.set.MaxTxnOps); err != nil {
					n.log.Debug("what is left of reports by way of the state service stays", "err", err)
				}
			}
			select {
			case <-p.wake:
				used = time.Now()
			case <-n.ctx.Done():
			}
			continue
		}
		var err error
		if rev == 0 {
			if rev, err = n.state.RelayNow(n.ctx, n.plat.Member); err != nil {
				rev = 0
				store.Wait(n.ctx, 200*time.Millisecond)
				continue
			}
			p.ready.Store(true)
		}
		batches, at, err := n.state.Relayed(n.ctx, n.plat.Member, rev, postWatch)
		if err != nil {
			rev = 0
			p.ready.Store(false)
			store.Wait(n.ctx, 100*time.Millisecond)
			continue
		}
		rev = at
		for _, b := range batches {
			letters, err := courier.Unpack(b.Payload)
			if err != nil || b.Incarnation != p.life {
				continue // for an earlier life of this process
			}
			p.mu.Lock()
			for _, l := range p.box.Answered(time.Now(), b.Seq, letters) {
				if got := p.waiting[l.ID]; got != nil {
					got <- l.Body
					delete(p.waiting, l.ID)
				}
			}
			p.mu.Unlock()
		}
	}
	return nil
}

// takeRelayed has a leader take the reports that members hand over by way of the state service.
func (n *Node) takeRelayed() error {
	var rev, token uint64
	for n.ctx.Err() == nil {
		r := n.right.Load()
		if !r.holds() {
			rev = 0
			store.Wait(n.ctx, 200*time.Millisecond)
			continue
		}
		if r.token != token {
			rev, token = 0, r.token
		}
		var err error
		if rev == 0 {
			if rev, err = n.state.RelayNow(n.ctx, ""); err != nil {
				rev = 0
				store.Wait(n.ctx, 300*time.Millisecond)
				continue
			}
		}
		batches, at, err := n.state.Relayed(n.ctx, "", rev, takeWatch)
		if err != nil {
			n.log.Debug("reports by way of the state service", "err", err)
			rev = 0
			store.Wait(n.ctx, 300*time.Millisecond)
			continue
		}
		rev = at
		for _, b := range batches {
			n.spawn(func() { n.answerRelayed(b) })
		}
	}
	return nil
}

// answerRelayed answers a batch of reports, each as if it had come by itself.
func (n *Node) answerRelayed(b store.Batch) {
	letters, err := courier.Unpack(b.Payload)
	if err != nil {
		n.log.Warn("a batch of reports cannot be read", "member", b.Member, "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, answersWait)
	defer cancel()
	answers := make([][]byte, len(letters))
	var group errgroup.Group
	group.SetLimit(atOnce)
	for i, l := range letters {
		group.Go(func() error {
			r, err := wire.DecodeHeartbeat(l.Body)
			if err != nil {
				return nil // its worker is answered by nobody; the others are
			}
			if v := n.report(ctx, reconciler.HeartbeatReceived{Heartbeat: r, Relayed: true}); v.Act && v.Valid() {
				answers[i] = wire.AppendHeartbeatResponse(nil, v.Token, v.Orders)
			}
			return nil
		})
	}
	_ = group.Wait()
	var out []courier.Letter
	for i, a := range answers {
		if a != nil {
			out = append(out, courier.Letter{ID: letters[i].ID, Body: a})
		}
	}
	room := wire.MaxBatchPayload(config.StoreLimits(n.plat).Value)
	for len(out) > 0 {
		r := n.right.Load()
		text, k := courier.Pack(out, room)
		if k == 0 {
			out = out[1:] // more orders than a value holds: told again, fewer at a time
			continue
		}
		if !r.holds() {
			return
		}
		if _, err := n.state.PutAnswers(n.ctx, r.version, store.Batch{Member: b.Member, RelayBatch: wire.RelayBatch{Incarnation: b.Incarnation, Seq: b.Seq, Payload: text}}); err != nil {
			n.log.Debug("answers not handed over", "member", b.Member, "count", k, "err", err)
			return
		}
		out = out[k:]
	}
}
