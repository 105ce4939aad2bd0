package controller

import (
	"context"
	"sync"
	"time"

	"github.com/glentiller/glentiller/internal/peer/peerpb"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

// relays remembers which workers came here instead of to the leader. Their
// reports are handed on, so that their leases hold, and after a moment they are
// sent to the leader. Those that come back soon do not reach it: theirs are
// handed on for longer.
type relays struct {
	mu sync.Mutex
	by map[string]*relay
}

type relay struct {
	state relayState
	since time.Time
}

// relayState is where a worker stands that came here.
type relayState uint8

const (
	relayFirst relayState = iota + 1 // it has just come
	relaySent                        // it was sent to the leader
	relayLong                        // it came back
)

const (
	firstTime = 3 * time.Second  // handing on before a worker is sent to the leader
	backSoon  = 10 * time.Second // a worker that is back so soon did not reach it
	longTime  = 45 * time.Second // then it is sent again, to try
	relayWait = 1500 * time.Millisecond
	postless  = time.Second // without the state service nothing is handed over by way of it
)

// to changes the state; it is the only place that does.
func (e *relay) to(s relayState, now time.Time) { e.state, e.since = s, now }

// due tells whether a worker's report is to be handed on.
func (r *relays) due(machine string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.by == nil {
		r.by = map[string]*relay{}
	}
	e := r.by[machine]
	if e == nil {
		for m, old := range r.by {
			if now.Sub(old.since) > 2*longTime {
				delete(r.by, m)
			}
		}
		e = &relay{}
		r.by[machine] = e
	}
	age := now.Sub(e.since)
	switch {
	case e.state == relaySent && age < backSoon:
		e.to(relayLong, now)
	case e.state == relayFirst && age < firstTime, e.state == relayLong && age < longTime:
	case e.state == relayFirst, e.state == relayLong && age < 2*longTime:
		e.to(relaySent, now)
		return false
	default:
		e.to(relayFirst, now)
	}
	return true
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
	mail := n.mail
	if n.state.Down(time.Now()) > postless {
		// Guards against workers that spend their leases here: what this member cannot write nobody
		// will answer, and they had better ask another one at once.
		mail = nil
	}
	if mail != nil && (leader == nil || *leader == "") && mail.open() {
		return mail.send(ctx, report) // to whoever will lead
	}
	if leader == nil || n.peers[*leader] == nil {
		return nil, false
	}
	now := time.Now()
	h := n.heard.Load()
	// A leader that is new here may be out of reach: its workers are not sent to it blindly.
	unheard := mail != nil && (h == nil || h.leader != *leader || now.Sub(h.at) >= outOfReach)
	far := n.redirect(*leader, now) == ""
	switch {
	case far && mail == nil:
		return nil, false
	case far, unheard && mail.open():
		// Out of this member's reach, and so likely out of its worker's.
		return mail.send(ctx, report)
	case !unheard && !n.relays.due(machine, now):
		return nil, false
	}
	short, cancel := context.WithTimeout(ctx, relayWait)
	defer cancel()
	a, err := n.peers[*leader].Relay(short, append([]byte(nil), report...))
	switch {
	case err == nil && a.GetAct():
		return a.GetBody(), true
	case err != nil && unheard:
		// Nor is it reached: what is left of the worker's lease may not last until it counts as silent.
		return mail.send(ctx, report)
	}
	n.relays.failed(machine)
	return nil, false
}

// relayed answers reports that other controllers hand over, and takes what the
// leader tells of jobs.
type relayed struct{ n *Node }

// Relay answers a worker's report that another controller hands over.
func (h relayed) Relay(ctx context.Context, report []byte) *peerpb.RelayAnswer {
	r, err := wire.DecodeHeartbeat(report)
	if err != nil {
		return &peerpb.RelayAnswer{}
	}
	ctx, cancel := context.WithTimeout(ctx, relayWait)
	defer cancel()
	v := h.n.report(ctx, reconciler.HeartbeatReceived{Heartbeat: r, Relayed: true})
	if !v.Act || !v.Valid() {
		return &peerpb.RelayAnswer{Leader: v.Leader}
	}
	return &peerpb.RelayAnswer{Act: true, Body: wire.AppendHeartbeatResponse(nil, v.Token, v.Orders)}
}

// Progress takes what the leader tells for display. It also shows that the
// leader is within reach.
func (h relayed) Progress(p *peerpb.Progress) {
	h.n.heard.Store(&heard{p.GetMember(), time.Now(), p.GetOnPromises()})
	if h.n.mail != nil {
		h.n.mail.reached()
	}
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

// heard is when a leader has last told anything.
type heard struct {
	leader     string
	at         time.Time
	onPromises bool // its lease had lapsed
}

// outOfReach is how long a leader may tell nothing before it counts as out of
// this controller's reach.
const outOfReach = 3 * time.Second

// redirect names the leader to a worker, unless the leader is out of reach of
// this controller: then it likely is for workers nearby too, and they had better
// try another controller, which may hand their reports on.
func (n *Node) redirect(leader string, now time.Time) string {
	h, since := n.heard.Load(), n.leaderSince.Load()
	if since == nil || now.Sub(*since) < outOfReach || h != nil && h.leader == leader && now.Sub(h.at) < outOfReach {
		return leader
	}
	return ""
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
				p.Token, p.Member = n.elect.Token(), n.plat.Member
				p.OnPromises = n.right.Load() != nil && n.right.Load().onPromises(time.Now())
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
