package route

import (
	"sync"
	"time"
)

// ReachabilityState says whether a member reaches the state service and the other members.
type ReachabilityState uint8

// The reachability states of a member.
const (
	Connected    ReachabilityState = iota // the state service answers
	ProbingPeers                          // the state service does not answer, and the other members are probed
	Isolated                              // neither the state service nor any other member answers
)

// String returns the name of the state.
func (s ReachabilityState) String() string {
	return [...]string{"connected", "probing_peers", "isolated"}[s]
}

const (
	// probePeersAfter is the time without an answer from the state service after which the other members are probed.
	probePeersAfter = time.Second
	// isolatedAfter is the time of probing without an answer from any other member after which this member counts as
	// isolated. It allows for two probes and a lost packet.
	isolatedAfter = 3 * time.Second
)

// PeerReachability detects whether a member is cut off from the state service and from all other members. A member
// that is cut off from the state service alone forwards users' requests. An isolated member cannot serve them and
// should report itself unhealthy. PeerReachability is safe for concurrent use. The zero value is in state Connected.
type PeerReachability struct {
	mu          sync.Mutex // guards the fields below
	state       ReachabilityState
	lastContact time.Time // the later of the start of probing and the last answer from a peer
}

// transition is the only function that changes the state. It reports whether the new state differs from
// the old one. r.mu must be held.
func (r *PeerReachability) transition(to ReachabilityState) bool {
	from := r.state
	r.state = to
	return from != to
}

// Evaluate updates the state and must be called periodically. stateServiceDown is the time for which the
// state service has not answered. Evaluate reports whether the other members should be probed now, and
// whether the state has changed.
func (r *PeerReachability) Evaluate(now time.Time, stateServiceDown time.Duration) (probe, changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case stateServiceDown < probePeersAfter:
		return false, r.transition(Connected)
	case r.state == Connected:
		r.lastContact = now
		return true, r.transition(ProbingPeers)
	case r.state == ProbingPeers && now.Sub(r.lastContact) > isolatedAfter:
		return true, r.transition(Isolated)
	}
	return true, false
}

// ObserveContact records that another member has answered a probe at the given time. An isolated member
// returns to state ProbingPeers.
func (r *PeerReachability) ObserveContact(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastContact = now; r.state == Isolated {
		r.transition(ProbingPeers)
	}
}

// State returns the state as of the last call of Evaluate or ObserveContact.
func (r *PeerReachability) State() ReachabilityState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}
