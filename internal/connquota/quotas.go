// Package connquota limits the number of open sockets of a process. It divides the sockets that the platform allows
// among classes of connections, each of which has a quota.
//
// Quotas.Acquire counts a socket before it is opened and returns its Slot; Slot.Release stops counting it. Listener and
// Quotas.Dialer do both for connections. The HTTP server assigns a Slot to a class when the first request shows the
// class, and marks it busy or idle together with its connection. Idle connections of users, and connections that have
// not sent a request yet, may be closed to free sockets for others. The package opens no socket and reads no clock.
// It also contains MemoryMonitor, which limits new jobs by memory.
package connquota

import (
	"container/list"
	"errors"
	"sync"
	"time"
)

const (
	// nonConnectionFiles is the number of file descriptors set aside for everything but connections: standard streams,
	// listeners, and files that the runtime opens.
	nonConnectionFiles = 16
	minCapacity        = 16

	// Quotas of the classes with reserved sockets.
	stateServiceQuota = 48 + 8 // the state service's client has 48 connections for requests and 8 for watches
	cloudQuota        = 8      // connections of the cloud's client
	operatorsQuota    = 17     // one more than the operators' interface serves at a time
	// quotaPerPeer allows two connections in each direction, and as many that the peer has abandoned without
	// closing them.
	quotaPerPeer  = 8
	minPeersQuota = 4

	// Quotas as fractions of the shared sockets. Heartbeats and health checks may use all shared sockets.
	usersFraction          = 1.0 / 3
	directCommandsFraction = 1.0 / 6
	unclassifiedFraction   = 1.0 / 4
	minSharedQuota         = 4

	// How long a connection must have been idle before it may be closed to free its socket.
	unclassifiedMinIdle = 5 * time.Second
	usersMinIdle        = time.Second

	// retrySpreadSteps is the number of different values of Retry-After, which are one second apart.
	retrySpreadSteps = 3
)

// ErrQuotaExhausted means that no socket is free: the class has used up its quota, or all shared sockets are in use.
var ErrQuotaExhausted = errors.New("connection quota exhausted")

// Quotas limits and counts the open sockets of a process by class. It is safe for concurrent use.
type Quotas struct {
	capacity          int             // sockets that the process may use
	quotas            [classCount]int // upper bounds by class
	sharedCapacity    int             // sockets that are not reserved for a class
	onOccupancyChange func(from, to Occupancy, used, capacity int)

	mu              sync.Mutex         // guards the fields below and those of all slots
	used            [classCount]int    // sockets in use by class
	rejected        [classCount]uint64 // rejected connections by class since the start
	totalUsed       int                // sockets in use by all classes
	sharedUsed      int                // sockets in use by classes without reserved sockets
	peak            int                // highest value of totalUsed since the start
	occupancy       Occupancy
	idle            [classCount]*list.List // idle slots (*Slot) by class, the one that has been idle longest first
	retryAfterCalls uint64                 // number of calls of RetryAfter
}

// New returns the quotas of a process that may open maxFiles files and communicates with the given number of peers.
// onOccupancyChange is called when the level of occupancy changes, unless it is nil. It is called under a lock, so it
// must not call methods of Quotas or Slot.
func New(maxFiles, peers int, onOccupancyChange func(from, to Occupancy, used, capacity int)) *Quotas {
	q := &Quotas{capacity: max(maxFiles-nonConnectionFiles, minCapacity), onOccupancyChange: onOccupancyChange}
	for class := range q.idle {
		q.idle[class] = list.New()
	}
	q.quotas[StateService] = stateServiceQuota
	q.quotas[Cloud] = cloudQuota
	q.quotas[Operators] = operatorsQuota
	q.quotas[Peers] = quotaPerPeer*peers + minPeersQuota
	shared := q.capacity
	for class := range classCount {
		if class.reserved() {
			shared -= q.quotas[class]
		}
	}
	shared = max(shared, q.capacity/2) // even if the reserved quotas then exceed the rest
	q.sharedCapacity = shared
	fraction := func(f float64) int { return max(int(f*float64(shared)), minSharedQuota) }
	q.quotas[Users] = fraction(usersFraction)
	q.quotas[DirectCommands] = fraction(directCommandsFraction)
	q.quotas[Unclassified] = fraction(unclassifiedFraction)
	q.quotas[Heartbeats] = shared
	q.quotas[HealthChecks] = shared
	return q
}

// Acquire counts a socket for a class and returns its slot. If no socket is free, it closes an idle connection to
// free one. If there is no connection that may be closed, it returns ErrQuotaExhausted. closeConn closes the connection
// that is to use the slot; it may be called by any goroutine. If closeConn is nil, the connection is never closed to
// free its socket.
func (q *Quotas) Acquire(now time.Time, class Class, closeConn func()) (*Slot, error) {
	slot, closeEvicted, err := q.acquire(now, class, closeConn)
	if closeEvicted != nil {
		closeEvicted() // outside the lock, since closing a connection is I/O
	}
	return slot, err
}

func (q *Quotas) acquire(now time.Time, class Class, closeConn func()) (slot *Slot, closeEvicted func(), err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !class.reserved() && q.sharedUsed >= q.sharedCapacity || q.used[class] >= q.quotas[class] {
		if closeEvicted = q.evictIdle(now, class); closeEvicted == nil {
			q.rejected[class]++
			return nil, nil, ErrQuotaExhausted
		}
	}
	slot = &Slot{quotas: q, class: class, closeConn: closeConn, idleSince: now}
	q.adjustUsed(class, 1)
	if class == Unclassified {
		slot.idleElement = q.idle[class].PushBack(slot)
	}
	return slot, closeEvicted, nil
}

// evictIdle releases a slot that has been idle long enough, so that class can acquire another one. It returns the
// function that closes the evicted connection, or nil if no slot can be released. q.mu must be held.
func (q *Quotas) evictIdle(now time.Time, class Class) func() {
	candidates := []Class{Unclassified, Users}
	if q.used[class] >= q.quotas[class] {
		candidates = []Class{class} // only slots of the class itself count against its quota
	}
	for _, candidate := range candidates {
		minIdle := usersMinIdle
		if candidate == Unclassified {
			minIdle = unclassifiedMinIdle
		}
		oldest := q.idle[candidate].Front()
		if oldest == nil {
			continue
		}
		slot := oldest.Value.(*Slot)
		if slot.closeConn == nil || now.Sub(slot.idleSince) < minIdle {
			continue
		}
		q.release(slot)
		return slot.closeConn
	}
	return nil
}

// release stops counting a slot, unless it was released before. q.mu must be held.
func (q *Quotas) release(slot *Slot) {
	if slot.released {
		return
	}
	q.removeFromIdleList(slot)
	slot.released = true
	q.adjustUsed(slot.class, -1)
}

// removeFromIdleList marks a slot as not idle. q.mu must be held.
func (q *Quotas) removeFromIdleList(slot *Slot) {
	if slot.idleElement != nil {
		q.idle[slot.class].Remove(slot.idleElement)
		slot.idleElement = nil
	}
}

// adjustUsed changes the number of sockets that a class uses, and updates the occupancy. No other function changes
// the occupancy. q.mu must be held.
func (q *Quotas) adjustUsed(class Class, change int) {
	q.used[class] += change
	q.totalUsed += change
	q.peak = max(q.peak, q.totalUsed)
	if !class.reserved() {
		q.sharedUsed += change
	}
	from := q.occupancy
	to := from.next(float64(q.sharedUsed) / float64(q.sharedCapacity))
	if to == from {
		return
	}
	q.occupancy = to
	if q.onOccupancyChange != nil {
		q.onOccupancyChange(from, to, q.totalUsed, q.capacity)
	}
}

// RetryAfter returns the delay after which a rejected client should retry: minimum, or up to retrySpreadSteps-1
// seconds more. Successive calls return different delays, so that clients that are rejected together do not
// retry together.
func (q *Quotas) RetryAfter(minimum time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.retryAfterCalls++
	return minimum + time.Duration(q.retryAfterCalls%retrySpreadSteps)*time.Second
}

// Occupancy returns the current occupancy of the shared sockets.
func (q *Quotas) Occupancy() Occupancy {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.occupancy
}

// Status is a snapshot of the quotas and the sockets in use.
type Status struct {
	Occupancy Occupancy
	Used      int // sockets in use
	Peak      int // highest value of Used since the start of the process
	Capacity  int // sockets that the process may use
	Classes   map[Class]ClassStatus
}

// ClassStatus is a snapshot of one class.
type ClassStatus struct {
	Used     int    // sockets in use
	Quota    int    // upper bound of Used
	Rejected uint64 // rejected connections since the start of the process
}

// Status returns a snapshot of the quotas and the sockets in use.
func (q *Quotas) Status() Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	status := Status{
		Occupancy: q.occupancy,
		Used:      q.totalUsed,
		Peak:      q.peak,
		Capacity:  q.capacity,
		Classes:   map[Class]ClassStatus{},
	}
	for class := range classCount {
		status.Classes[class] = ClassStatus{
			Used:     q.used[class],
			Quota:    q.quotas[class],
			Rejected: q.rejected[class],
		}
	}
	return status
}
