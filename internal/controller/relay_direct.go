package controller

import (
	"context"
	"sync"
	"time"
)

const (
	initialRelayPeriod  = 3 * time.Second  // in which a worker's heartbeats are relayed before it is redirected
	returnWindow        = 10 * time.Second // a worker that is back within it did not reach the leader
	extendedRelayPeriod = 45 * time.Second // in which such a worker's are relayed before it is redirected again
	relayTimeout        = 1500 * time.Millisecond
	storeDownLimit      = time.Second // with the state service unreachable for longer, nothing is relayed through it
)

// relayTracker remembers which workers send their heartbeats here instead of to the leader. These are
// relayed, so that the workers' leases last, and after a moment the workers are redirected to the leader.
// Workers that come back soon do not reach it: theirs are relayed for longer.
type relayTracker struct {
	mu      sync.Mutex // guards workers and their states
	workers map[string]*relayedWorker
}

type relayedWorker struct {
	state relayState
	since time.Time
}

// relayState is what was last done with a worker's heartbeats.
type relayState uint8

// The states of a worker that sends its heartbeats here.
const (
	relayInitial    relayState = iota + 1 // relayed, since it has just come
	relayRedirected                       // the worker was sent to the leader
	relayExtended                         // relayed, since it came back
)

func (w *relayedWorker) transition(state relayState, now time.Time) { w.state, w.since = state, now }

// shouldRelay reports whether a worker's heartbeat is to be relayed, rather than the worker redirected.
func (r *relayTracker) shouldRelay(machine string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.worker(machine, now)
	age := now.Sub(w.since)
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

// worker finds a worker. A new one makes room by removing those that were not here for long. mu is held.
func (r *relayTracker) worker(machine string, now time.Time) *relayedWorker {
	if r.workers == nil {
		r.workers = map[string]*relayedWorker{}
	}
	if w := r.workers[machine]; w != nil {
		return w
	}
	for other, w := range r.workers {
		if now.Sub(w.since) > 2*extendedRelayPeriod {
			delete(r.workers, other)
		}
	}
	w := &relayedWorker{}
	r.workers[machine] = w
	return w
}

// forget has a worker's next heartbeat count as its first.
func (r *relayTracker) forget(machine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.workers, machine)
}

// RelayHeartbeat relays a worker's heartbeat to the leader if the worker seems not to reach it itself, and
// returns the leader's response; ok is false if nothing was relayed. Workers take a response that carries
// the leader's token from any controller.
func (c *Controller) RelayHeartbeat(ctx context.Context, machine string, heartbeat []byte) (response []byte, ok bool) {
	leader := c.leader.current()
	viaStore := c.storeRelay
	if c.store.UnreachableFor(time.Now()) > storeDownLimit {
		// What this member cannot write is never answered: workers had better try another one at once than spend
		// their leases here.
		viaStore = nil
	}
	if viaStore != nil && leader == "" && viaStore.active() {
		return viaStore.send(ctx, heartbeat) // for the next leader
	}
	if c.peers[leader] == nil {
		return nil, false
	}
	now := time.Now()
	// A leader that is new here may be unreachable: workers are not redirected to it before it has sent a
	// message.
	noContact := viaStore != nil && !c.leader.contactedRecently(leader, now)
	unreachable := c.leader.redirectTarget(leader, now) == ""
	switch {
	case unreachable && viaStore == nil:
		return nil, false
	case unreachable, noContact && viaStore.active():
		// What this member does not reach, its workers likely do not reach either.
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
		// Not reached now either, and the worker's lease may not last until the leader counts as unreachable.
		return viaStore.send(ctx, heartbeat)
	}
	c.relayTracker.forget(machine)
	return nil, false
}
