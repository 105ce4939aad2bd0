package controller

import (
	"context"
	"sync"
	"time"
)

const (
	// A new worker's heartbeats are relayed for initialRelayPeriod before the worker is redirected. A worker
	// that returns within returnWindow did not reach the leader. Its heartbeats are relayed for
	// extendedRelayPeriod before it is redirected again.
	initialRelayPeriod  = 3 * time.Second
	returnWindow        = 10 * time.Second
	extendedRelayPeriod = 45 * time.Second
	// relayTimeout bounds the relaying of a heartbeat to the leader.
	relayTimeout = 1500 * time.Millisecond
	// maxStateServiceOutage is how long the state service may be unreachable before heartbeats are no longer relayed
	// through it.
	maxStateServiceOutage = time.Second
)

// relayTracker tracks the workers that send their heartbeats to this member instead of to the leader. Their
// heartbeats are relayed at first, so that the workers' leases do not expire, and shortly afterwards the
// workers are redirected to the leader. A worker that returns soon does not reach the leader, so its heartbeats
// are relayed for longer.
type relayTracker struct {
	mu      sync.Mutex // guards workers and their states
	workers map[string]*relayedWorker
}

type relayedWorker struct {
	state     relayState
	changedAt time.Time
}

// relayState is how a worker's last heartbeats were handled.
type relayState uint8

// The states of a worker that sends its heartbeats to this member.
const (
	relayInitial    relayState = iota + 1 // relayed because the worker is new here
	relayRedirected                       // the worker was redirected to the leader
	relayExtended                         // relayed for longer because the worker returned
)

func (w *relayedWorker) transition(state relayState, now time.Time) {
	w.state, w.changedAt = state, now
}

// shouldRelay reports whether a worker's heartbeat should be relayed. Otherwise the worker should be
// redirected.
func (r *relayTracker) shouldRelay(machine string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.worker(machine, now)
	age := now.Sub(w.changedAt)
	switch {
	case w.state == relayRedirected && age < returnWindow:
		w.transition(relayExtended, now)
	case w.state == relayInitial && age < initialRelayPeriod,
		w.state == relayExtended && age < extendedRelayPeriod:
	case w.state == relayInitial, w.state == relayExtended && age < 2*extendedRelayPeriod:
		w.transition(relayRedirected, now)
		return false
	default:
		w.transition(relayInitial, now)
	}
	return true
}

// worker returns the entry of a worker. If there is none, it adds one and removes the entries that have not
// changed for twice extendedRelayPeriod. The caller must hold mu.
func (r *relayTracker) worker(machine string, now time.Time) *relayedWorker {
	if r.workers == nil {
		r.workers = map[string]*relayedWorker{}
	}
	if w := r.workers[machine]; w != nil {
		return w
	}
	for other, w := range r.workers {
		if now.Sub(w.changedAt) > 2*extendedRelayPeriod {
			delete(r.workers, other)
		}
	}
	w := &relayedWorker{}
	r.workers[machine] = w
	return w
}

// forget removes a worker, so that its next heartbeat is treated as its first.
func (r *relayTracker) forget(machine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.workers, machine)
}

// RelayHeartbeat relays a worker's heartbeat to the leader if the worker does not seem to reach the leader
// itself. It returns the leader's response; ok is false if there is none. Workers accept a response that
// carries the leader's fencing token from any controller.
func (c *Controller) RelayHeartbeat(ctx context.Context, machine string, heartbeat []byte) (response []byte, ok bool) {
	leader := c.leader.current()
	viaStore := c.storeRelay
	if c.store.UnreachableFor(time.Now()) > maxStateServiceOutage {
		// Heartbeats that this member cannot write are never answered. Workers should try another member
		// immediately instead of using up their leases here.
		viaStore = nil
	}
	if viaStore != nil && leader == "" && viaStore.active() {
		return viaStore.send(ctx, heartbeat) // the next leader responds to it
	}
	if c.peers[leader] == nil {
		return nil, false
	}
	now := time.Now()
	// The workers are not redirected to a new leader before it has sent a message to this member, because it
	// may be unreachable.
	noContact := viaStore != nil && !c.leader.contactedRecently(leader, now)
	unreachable := c.leader.redirectTarget(leader, now) == ""
	switch {
	case unreachable && viaStore == nil:
		return nil, false
	case unreachable, noContact && viaStore.active():
		// A leader that this member does not reach is likely unreachable for nearby workers too.
		return viaStore.send(ctx, heartbeat)
	case !noContact && !c.relayTracker.shouldRelay(machine, now):
		return nil, false
	}
	relayCtx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	answer, err := c.peers[leader].RelayHeartbeat(relayCtx, append([]byte(nil), heartbeat...))
	switch {
	case err == nil && answer.GetAct():
		return answer.GetBody(), true
	case err != nil && noContact:
		// The leader could not be reached now either, and the worker's lease may expire before the leader is
		// treated as unreachable.
		return viaStore.send(ctx, heartbeat)
	}
	c.relayTracker.forget(machine)
	return nil, false
}
