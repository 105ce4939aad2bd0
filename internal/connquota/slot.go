package connquota

import (
	"container/list"
	"time"
)

// Slot is one socket that counts against the quotas. It is safe for concurrent use.
type Slot struct {
	quotas    *Quotas
	closeConn func() // closes the connection from outside; nil: never done

	// Guarded by the mutex of quotas.
	class       Class
	idleElement *list.Element // in the list of idle slots of its class; nil: not idle
	idleSince   time.Time     // set when it became idle
	released    bool
}

// Classify moves the slot to the class that a request on its connection shows. It
// reports whether the class has room; if not, the connection should be closed after the
// response.
func (s *Slot) Classify(class Class) bool {
	q := s.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	if s.released || s.class == class {
		return true
	}
	if class == Users && (q.used[class] >= q.quotas[class] || q.occupancy == Full) {
		q.rejected[class]++
		return false
	}
	q.removeIdle(s)
	q.used[s.class]--
	s.class = class
	q.used[class]++
	return true
}

// MarkBusy records that a request is being answered on the connection.
func (s *Slot) MarkBusy() {
	s.quotas.mu.Lock()
	defer s.quotas.mu.Unlock()
	s.quotas.removeIdle(s)
}

// MarkIdle records that the connection waits for its next request.
func (s *Slot) MarkIdle(now time.Time) {
	q := s.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	q.removeIdle(s)
	if !s.released {
		s.idleSince = now
		s.idleElement = q.idle[s.class].PushBack(s)
	}
}

// KeepAlive reports whether the connection is to stay open after the present response.
// At high occupancy users' connections are closed, so that their sockets go to whoever
// asks next. At full occupancy workers' are too: each heartbeat then takes a socket for
// a moment only, however many machines there are.
func (s *Slot) KeepAlive() bool {
	q := s.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	switch s.class {
	case Users, Unclassified:
		return q.occupancy == Low
	case Heartbeats:
		return q.occupancy != Full
	}
	return true
}

// Release counts the socket out when it is closed. Further calls do nothing.
func (s *Slot) Release() {
	s.quotas.mu.Lock()
	defer s.quotas.mu.Unlock()
	s.quotas.release(s)
}
