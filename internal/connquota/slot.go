package connquota

import (
	"container/list"
	"time"
)

// Slot is one socket that counts against the quotas. It is safe for concurrent use.
type Slot struct {
	quotas    *Quotas
	closeConn func() // closes the connection to free its socket; nil if the connection must not be closed

	// The fields below are guarded by the mutex of quotas.
	class       Class
	idleElement *list.Element // element in the list of idle slots of its class; nil if the slot is not idle
	idleSince   time.Time     // when the slot last became idle
	released    bool
}

// Classify moves the slot to a class, which is known when the first request arrives on the connection. It returns
// false if the class is Users and its quota is used up or the occupancy is OccupancyFull. The slot then keeps its
// class, and the connection should be closed after the response.
func (s *Slot) Classify(class Class) bool {
	q := s.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	if s.released || s.class == class {
		return true
	}
	if class == Users && (q.used[class] >= q.quotas[class] || q.occupancy == OccupancyFull) {
		q.rejected[class]++
		return false
	}
	q.removeFromIdleList(s)
	q.used[s.class]--
	s.class = class
	q.used[class]++
	return true
}

// MarkBusy records that a request is in progress on the connection.
func (s *Slot) MarkBusy() {
	s.quotas.mu.Lock()
	defer s.quotas.mu.Unlock()
	s.quotas.removeFromIdleList(s)
}

// MarkIdle records that the connection has been waiting for its next request since now.
func (s *Slot) MarkIdle(now time.Time) {
	q := s.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	q.removeFromIdleList(s)
	if !s.released {
		s.idleSince = now
		s.idleElement = q.idle[s.class].PushBack(s)
	}
}

// KeepAlive reports whether the connection should stay open after the current response. At high occupancy users'
// connections are closed, which frees their sockets for other clients. At full occupancy workers' connections are
// closed too, so that each heartbeat holds a socket only for the duration of the request, however many machines
// there are.
func (s *Slot) KeepAlive() bool {
	q := s.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	switch s.class {
	case Users, Unclassified:
		return q.occupancy == OccupancyLow
	case Heartbeats:
		return q.occupancy != OccupancyFull
	}
	return true
}

// Release stops counting the socket. It is called when the connection is closed; further calls have no effect.
func (s *Slot) Release() {
	s.quotas.mu.Lock()
	defer s.quotas.mu.Unlock()
	s.quotas.release(s)
}
