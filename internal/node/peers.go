package node

import (
	"context"
	"sync"
	"time"

	"github.com/glentiller/glentiller/internal/peer/peerpb"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

// relays remembers which workers were sent to the leader and came back: those
// do not reach it, so their reports are handed on.
type relays struct {
	mu sync.Mutex
	by map[string]*relay
}

type relay struct {
	sent  time.Time // when it was last sent to the leader
	since time.Time // since when its reports are handed on; zero: they are not
}

const (
	backSoon  = 10 * time.Second // a worker that is back so soon did not reach the leader
	relayTime = 45 * time.Second // then it is sent to the leader again, to try
	relayWait = 1500 * time.Millisecond
)

// due tells whether a worker's report is to be handed on.
func (r *relays) due(machine string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.by == nil {
		r.by = map[string]*relay{}
	}
	for m, e := range r.by {
		if now.Sub(e.sent) > 2*relayTime {
			delete(r.by, m)
		}
	}
	e := r.by[machine]
	switch {
	case e == nil:
		r.by[machine] = &relay{sent: now}
		return false
	case e.since.IsZero() && now.Sub(e.sent) < backSoon:
		e.since = now
		return true
	case !e.since.IsZero() && now.Sub(e.since) < relayTime:
		return true
	}
	*e = relay{sent: now}
	return false
}

// failed has a worker sent on next time.
func (r *relays) failed(machine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.by, machine)
}

// Relay hands a worker's report to the leader, if the worker seems not to reach
// it. Workers take an answer with the leader's token from any controller.
func (n *Node) Relay(ctx context.Context, machine string, report []byte) ([]byte, bool) {
	leader := n.leader.Load()
	if leader == nil || n.peers[*leader] == nil || !n.relays.due(machine, time.Now()) {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, relayWait)
	defer cancel()
	a, err := n.peers[*leader].Relay(ctx, append([]byte(nil), report...))
	if err != nil || !a.GetAct() {
		n.relays.failed(machine)
		return nil, false
	}
	return a.GetBody(), true
}

// relayed answers reports that other controllers hand over, and takes what the
// leader tells of jobs.
type relayed struct{ n *Node }

// Relay answers a worker's report that another controller hands over.
func (h relayed) Relay(ctx context.Context, report []byte) *peerpb.RelayAnswer {
	r, err := wire.DecodeReport(report)
	if err != nil {
		return &peerpb.RelayAnswer{}
	}
	ctx, cancel := context.WithTimeout(ctx, relayWait)
	defer cancel()
	v := h.n.Report(ctx, r)
	if !v.Act || !v.Valid() {
		return &peerpb.RelayAnswer{Leader: v.Leader}
	}
	return &peerpb.RelayAnswer{Act: true, Body: wire.AppendReportAnswer(nil, v.Token, v.Orders)}
}

// Progress takes what the leader tells for display.
func (h relayed) Progress(p *peerpb.Progress) {
	if h.n.right.Load().holds() {
		return // this controller leads and knows better
	}
	h.n.showProgress(p)
}

// showProgress keeps what polls are answered from.
func (n *Node) showProgress(p *peerpb.Progress) {
	m := make(map[string][2]int, len(p.GetJobs()))
	for _, j := range p.GetJobs() {
		m[j.GetId()] = [2]int{int(j.GetDone()), int(j.GetRunning())}
	}
	n.progress.Store(&m)
}

// progressEvery is how often the leader tells the others how far jobs are.
const progressEvery = time.Second

// tellProgress keeps the display of progress current, here and at the others.
func (n *Node) tellProgress() error {
	for n.ctx.Err() == nil {
		store.Wait(n.ctx, progressEvery)
		if !n.right.Load().holds() {
			continue
		}
		got := make(chan *peerpb.Progress, 1)
		n.post(func(time.Time) {
			p := &peerpb.Progress{}
			if n.core != nil {
				p.Token = n.elect.Token()
				n.core.EachProgress(func(id string, done, running int) {
					p.Jobs = append(p.Jobs, &peerpb.JobProgress{Id: id, Done: uint32(done), Running: uint32(running)})
				})
			}
			got <- p
		})
		select {
		case p := <-got:
			if p.GetToken() == 0 {
				continue
			}
			n.showProgress(p)
			for name, c := range n.peers {
				n.spawn(func() {
					if err := c.Progress(p); err != nil {
						n.log.Debug("progress not told", "to", name, "err", err)
					}
				})
			}
		case <-n.ctx.Done():
		}
	}
	return nil
}
