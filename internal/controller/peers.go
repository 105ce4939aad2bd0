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

// relayTracker remembers which workers came here instead of to the leader. Their
// reports are handed on, so that their leases hold, and after a moment they are
// sent to the leader. Those that come back soon do not reach it: theirs are
// handed on for longer.
type relayTracker struct {
	mu      sync.Mutex
	workers map[string]*relayedWorker
}

type relayedWorker struct {
	state relayState
	since time.Time
}

// relayState is where a worker stands that came here.
type relayState uint8

const (
	relayInitial    relayState = iota + 1 // it has just come
	relayRedirected                       // it was sent to the leader
	relayExtended                         // it came back
)

const (
	initialRelayPeriod  = 3 * time.Second  // handing on before a worker is sent to the leader
	returnWindow        = 10 * time.Second // a worker that is back so soon did not reach it
	extendedRelayPeriod = 45 * time.Second // then it is sent again, to try
	relayTimeout        = 1500 * time.Millisecond
	storeDownLimit      = time.Second // without the state service nothing is handed over by way of it
)

// transition changes the state; it is the only place that does.
func (e *relayedWorker) transition(s relayState, now time.Time) { e.state, e.since = s, now }

// shouldRelay tells whether a worker's report is to be handed on.
func (r *relayTracker) shouldRelay(machine string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.workers == nil {
		r.workers = map[string]*relayedWorker{}
	}
	e := r.workers[machine]
	if e == nil {
		for m, old := range r.workers {
			if now.Sub(old.since) > 2*extendedRelayPeriod {
				delete(r.workers, m)
			}
		}
		e = &relayedWorker{}
		r.workers[machine] = e
	}
	age := now.Sub(e.since)
	switch {
	case e.state == relayRedirected && age < returnWindow:
		e.transition(relayExtended, now)
	case e.state == relayInitial && age < initialRelayPeriod, e.state == relayExtended && age < extendedRelayPeriod:
	case e.state == relayInitial, e.state == relayExtended && age < 2*extendedRelayPeriod:
		e.transition(relayRedirected, now)
		return false
	default:
		e.transition(relayInitial, now)
	}
	return true
}

// forget has a worker sent on next time.
func (r *relayTracker) forget(machine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.workers, machine)
}

// RelayHeartbeat hands a worker's report to the leader, if the worker seems not to reach
// it. Workers take an answer with the leader's token from any controller.
func (n *Controller) RelayHeartbeat(ctx context.Context, machine string, report []byte) ([]byte, bool) {
	leader := n.leader.Load()
	mail := n.storeRelay
	if n.store.UnreachableFor(time.Now()) > storeDownLimit {
		// Guards against workers that spend their leases here: what this member cannot write nobody
		// will answer, and they had better ask another one at once.
		mail = nil
	}
	if mail != nil && (leader == nil || *leader == "") && mail.active() {
		return mail.send(ctx, report) // to whoever will lead
	}
	if leader == nil || n.peers[*leader] == nil {
		return nil, false
	}
	now := time.Now()
	h := n.leaderContact.Load()
	// A leader that is new here may be out of reach: its workers are not sent to it blindly.
	unheard := mail != nil && (h == nil || h.leader != *leader || now.Sub(h.at) >= leaderTimeout)
	far := n.redirectTarget(*leader, now) == ""
	switch {
	case far && mail == nil:
		return nil, false
	case far, unheard && mail.active():
		// Out of this member's reach, and so likely out of its worker's.
		return mail.send(ctx, report)
	case !unheard && !n.relayTracker.shouldRelay(machine, now):
		return nil, false
	}
	short, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	a, err := n.peers[*leader].RelayHeartbeat(short, append([]byte(nil), report...))
	switch {
	case err == nil && a.GetAct():
		return a.GetBody(), true
	case err != nil && unheard:
		// Nor is it reached: what is left of the worker's lease may not last until it counts as silent.
		return mail.send(ctx, report)
	}
	n.relayTracker.forget(machine)
	return nil, false
}

// peerHandler answers reports that other controllers hand over, and takes what the
// leader tells of jobs.
type peerHandler struct{ controller *Controller }

// HandleHeartbeat answers a worker's report that another controller hands over.
func (h peerHandler) HandleHeartbeat(ctx context.Context, report []byte) *peerpb.RelayAnswer {
	r, err := wire.DecodeHeartbeat(report)
	if err != nil {
		return &peerpb.RelayAnswer{}
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	v := h.controller.handleHeartbeat(ctx, reconciler.HeartbeatReceived{Heartbeat: r, Relayed: true})
	if !v.Leading || !v.LeaseValid() {
		return &peerpb.RelayAnswer{Leader: v.Leader}
	}
	return &peerpb.RelayAnswer{Act: true, Body: wire.AppendHeartbeatResponse(nil, v.FencingToken, v.Commands)}
}

// HandleProgress takes what the leader tells for display. It also shows that the
// leader is within reach.
func (h peerHandler) HandleProgress(p *peerpb.Progress) {
	h.controller.leaderContact.Store(&leaderContact{p.GetMember(), time.Now(), p.GetOnPromises()})
	if h.controller.storeRelay != nil {
		h.controller.storeRelay.leaderReached()
	}
	if h.controller.lease.Load().valid() {
		return // this controller leads and knows better
	}
	h.controller.storeProgress(p)
}

// storeProgress keeps what polls are answered from.
func (n *Controller) storeProgress(p *peerpb.Progress) {
	m := make(map[string][2]int, len(p.GetJobs()))
	for _, j := range p.GetJobs() {
		m[j.GetId()] = [2]int{int(j.GetDone()), int(j.GetRunning())}
	}
	n.progress.Store(&m)
}

// leaderContact is when a leader has last told anything.
type leaderContact struct {
	leader  string
	at      time.Time
	onVotes bool // its lease had lapsed
}

// leaderTimeout is how long a leader may tell nothing before it counts as out of
// this controller's reach.
const leaderTimeout = 3 * time.Second

// redirectTarget names the leader to a worker, unless the leader is out of reach of
// this controller: then it likely is for workers nearby too, and they had better
// try another controller, which may hand their reports on.
func (n *Controller) redirectTarget(leader string, now time.Time) string {
	h, since := n.leaderContact.Load(), n.leaderSince.Load()
	if since == nil || now.Sub(*since) < leaderTimeout || h != nil && h.leader == leader && now.Sub(h.at) < leaderTimeout {
		return leader
	}
	return ""
}

// progressInterval is how often the leader tells the others how far jobs are.
const progressInterval = time.Second

// publishProgress keeps the display of progress current, here and at the others.
func (n *Controller) publishProgress() error {
	for n.ctx.Err() == nil {
		store.Sleep(n.ctx, progressInterval)
		if !n.lease.Load().valid() {
			continue
		}
		got := make(chan *peerpb.Progress, 1)
		n.post(func(time.Time) {
			p := &peerpb.Progress{}
			if n.reconciler != nil {
				p.Token, p.Member = n.election.FencingToken(), n.platform.Member
				p.OnPromises = n.lease.Load() != nil && n.lease.Load().restsOnVotes(time.Now())
				n.reconciler.EachProgress(func(id string, done, running int) {
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
			n.storeProgress(p)
			for name, c := range n.peers {
				n.spawn(func() {
					if err := c.SendProgress(p); err != nil {
						n.log.Debug("progress not told", "to", name, "err", err)
					}
				})
			}
		case <-n.ctx.Done():
		}
	}
	return nil
}
