package route

import (
	"sync"
	"time"
)

// ReachabilityState is what a member reaches.
type ReachabilityState uint8

// The states.
const (
	Connected    ReachabilityState = iota // the state service answers the member
	ProbingPeers                          // it does not: the other members are probed
	Isolated                              // no other member answers either
)

// String returns the name of the state.
func (s ReachabilityState) String() string {
	return [...]string{"connected", "probing_peers", "isolated"}[s]
}

const (
	probePeersAfter = time.Second     // without the state service
	isolatedAfter   = 3 * time.Second // without any peer: two probes, and time for a lost packet
)

// PeerReachability decides whether a member is cut off from the state service and from
// all other members. A member that lacks only the state service forwards users'
// requests; an isolated one cannot serve them and should report itself unhealthy. It is
// safe for concurrent use; the zero value is Connected.
type PeerReachability struct {
	mu          sync.Mutex // guards the fields below
	state       ReachabilityState
	lastContact time.Time // when probing began or, if later, a peer last answered
}

// transition changes the state, and reports whether it was another one. Nothing else
// changes the state.
func (r *PeerReachability) transition(to ReachabilityState) bool {
	from := r.state
	r.state = to
	return from != to
}

// Evaluate is called regularly; stateDown is how long the state service has not
// answered. It reports whether the peers are to be probed now, and whether the state
// has changed.
func (r *PeerReachability) Evaluate(now time.Time, stateDown time.Duration) (probe, changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case stateDown < probePeersAfter:
		return false, r.transition(Connected)
	case r.state == Connected:
		r.lastContact = now
		return true, r.transition(ProbingPeers)
	case r.state == ProbingPeers && now.Sub(r.lastContact) > isolatedAfter:
		return true, r.transition(Isolated)
	}
	return true, false
}

// ObserveContact records that a peer has answered a probe.
func (r *PeerReachability) ObserveContact(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastContact = now; r.state == Isolated {
		r.transition(ProbingPeers)
	}
}

// State returns what the member reaches.
func (r *PeerReachability) State() ReachabilityState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}
