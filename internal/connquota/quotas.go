// Package connquota divides the sockets that the platform allows a process among the
// classes of its connections, by quotas, and keeps count of them.
//
// Quotas.Acquire counts a socket in before it is opened and returns its Slot;
// Slot.Release counts it out. Listener and Quotas.Dialer do both for connections. The
// server sets the class of a Slot once a request shows it, and marks it busy or idle
// with its connection: idle connections of users are closed to make room. The package
// opens no socket and reads no clock.
package connquota

import (
	"container/list"
	"errors"
	"sync"
	"time"
)

const (
	// processFiles are file descriptors that are not connections: standard streams,
	// listeners, and what the runtime opens.
	processFiles = 16
	minCapacity  = 16

	// Quotas that are reserved for their class.
	stateServiceQuota = 48 + 8
	cloudQuota        = 8
	operatorsQuota    = 17
	// Two connections each way for a peer, and as many that its end has left without
	// closing them.
	quotaPerPeer  = 8
	minPeersQuota = 4

	// Upper bounds as fractions of the shared sockets. Workers and health checks may
	// have any that is free.
	usersFraction          = 1.0 / 3
	directCommandsFraction = 1.0 / 6
	unclassifiedFraction   = 1.0 / 4
	minSharedQuota         = 4

	// How long a connection has to be idle before it may be closed to make room.
	unclassifiedIdleLimit = 5 * time.Second
	usersIdleLimit        = time.Second

	// Number of values, one second apart, among which Retry-After is spread.
	retrySpreadSteps = 3
)

// ErrFull is returned when the quota of a class, or the process, has no socket left.
var ErrFull = errors.New("no socket is free")

// Quotas counts the sockets of a process by class. It is safe for concurrent use.
type Quotas struct {
	capacity          int             // sockets of the process
	quotas            [classCount]int // upper bounds by class
	sharedCapacity    int             // sockets of all classes without a reserved quota
	onOccupancyChange func(from, to Occupancy, used, capacity int)

	mu          sync.Mutex // guards everything below, and the slots
	used        [classCount]int
	rejected    [classCount]uint64 // since the start
	total       int
	sharedUsed  int // of total, by classes without a reserved quota
	peak        int // of total
	occupancy   Occupancy
	idle        [classCount]*list.List // of *Slot, the one that is idle for longest first
	retrySpread uint64                 // number of calls of RetryAfter
}

// New returns the quotas of a process that may open maxFiles files, with some number of
// peers. onOccupancyChange, if not nil, is called under a lock, so it must not call the
// quotas.
func New(maxFiles, peers int, onOccupancyChange func(from, to Occupancy, used, capacity int)) *Quotas {
	q := &Quotas{capacity: max(maxFiles-processFiles, minCapacity), onOccupancyChange: onOccupancyChange}
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
	shared = max(shared, q.capacity/2)
	q.sharedCapacity = shared
	fraction := func(f float64) int { return max(int(f*float64(shared)), minSharedQuota) }
	q.quotas[Users] = fraction(usersFraction)
	q.quotas[DirectCommands] = fraction(directCommandsFraction)
	q.quotas[Unclassified] = fraction(unclassifiedFraction)
	q.quotas[Heartbeats] = shared
	q.quotas[HealthChecks] = shared
	return q
}

// Acquire takes a socket for a class. If there is none, it closes the connection that
// has been idle for longest, of a class that may have to make room; if there is no such
// connection either, it returns ErrFull. closeConn closes the connection from outside;
// nil: it is never closed to make room.
func (q *Quotas) Acquire(now time.Time, class Class, closeConn func()) (*Slot, error) {
	slot, closeEvicted, err := q.acquire(now, class, closeConn)
	if closeEvicted != nil {
		closeEvicted() // not under the lock, since it does input and output
	}
	return slot, err
}

func (q *Quotas) acquire(now time.Time, class Class, closeConn func()) (slot *Slot, closeEvicted func(), err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !class.reserved() && q.sharedUsed >= q.sharedCapacity || q.used[class] >= q.quotas[class] {
		if closeEvicted = q.evictIdle(now, class); closeEvicted == nil {
			q.rejected[class]++
			return nil, nil, ErrFull
		}
	}
	slot = &Slot{quotas: q, class: class, closeConn: closeConn, idleSince: now}
	q.adjust(class, 1)
	if class == Unclassified {
		slot.idleElement = q.idle[class].PushBack(slot)
	}
	return slot, closeEvicted, nil
}

// evictIdle releases an idle slot so that class may have another one, and returns the
// function that closes its connection; nil: there is none to release. q.mu must be
// held.
func (q *Quotas) evictIdle(now time.Time, class Class) func() {
	candidates := []Class{Unclassified, Users}
	if q.used[class] >= q.quotas[class] {
		candidates = []Class{class} // only its own slots count against its quota
	}
	for _, candidate := range candidates {
		idleLimit := usersIdleLimit
		if candidate == Unclassified {
			idleLimit = unclassifiedIdleLimit
		}
		oldest := q.idle[candidate].Front()
		if oldest == nil {
			continue
		}
		slot := oldest.Value.(*Slot)
		if slot.closeConn == nil || now.Sub(slot.idleSince) < idleLimit {
			continue
		}
		q.release(slot)
		return slot.closeConn
	}
	return nil
}

// release counts a slot out. q.mu must be held.
func (q *Quotas) release(slot *Slot) {
	if slot.released {
		return
	}
	q.removeIdle(slot)
	slot.released = true
	q.adjust(slot.class, -1)
}

// removeIdle takes a slot out of the list of idle ones. q.mu must be held.
func (q *Quotas) removeIdle(slot *Slot) {
	if slot.idleElement != nil {
		q.idle[slot.class].Remove(slot.idleElement)
		slot.idleElement = nil
	}
}

// adjust changes the number of slots of a class, and the occupancy with it; nothing
// else changes the occupancy. q.mu must be held.
func (q *Quotas) adjust(class Class, change int) {
	q.used[class] += change
	q.total += change
	q.peak = max(q.peak, q.total)
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
		q.onOccupancyChange(from, to, q.total, q.capacity)
	}
}

// RetryAfter returns when a rejected client is to retry, at least minimum from now. It
// is spread in time, so that clients rejected together do not return together.
func (q *Quotas) RetryAfter(minimum time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.retrySpread++
	return minimum + time.Duration(q.retrySpread%retrySpreadSteps)*time.Second
}

// Occupancy returns the present occupancy.
func (q *Quotas) Occupancy() Occupancy {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.occupancy
}

// Status is a snapshot of the quotas.
type Status struct {
	Occupancy Occupancy
	Used      int
	Peak      int // of Used since the start
	Capacity  int
	Classes   map[Class]ClassStatus
}

// ClassStatus is the part of a Status about one class.
type ClassStatus struct {
	Used     int
	Quota    int
	Rejected uint64 // since the start
}

// Status returns a snapshot.
func (q *Quotas) Status() Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	status := Status{
		Occupancy: q.occupancy,
		Used:      q.total,
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
