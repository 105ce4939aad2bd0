package relay

// heartbeatQueue holds heartbeats in the order in which they go into batches, and their size.
type heartbeatQueue struct {
	envelopes []Envelope
	bytes     int // of all bodies
}

func (q *heartbeatQueue) len() int { return len(q.envelopes) }

// hasRoom reports whether a heartbeat may be added.
func (q *heartbeatQueue) hasRoom(s *Settings, heartbeat []byte) bool {
	return len(q.envelopes) < s.MaxQueued && q.bytes+len(heartbeat) <= s.MaxQueuedBytes
}

func (q *heartbeatQueue) push(e Envelope) {
	q.envelopes = append(q.envelopes, e)
	q.bytes += len(e.Body)
}

// pushFront queues heartbeats before all others, also if there is no room for them.
func (q *heartbeatQueue) pushFront(envelopes []Envelope) {
	for _, e := range envelopes {
		q.bytes += len(e.Body)
	}
	q.envelopes = append(envelopes, q.envelopes...)
}

func (q *heartbeatQueue) popFront() Envelope {
	first := q.envelopes[0]
	q.envelopes = q.envelopes[1:]
	q.bytes -= len(first.Body)
	return first
}

// take removes the first heartbeats.
func (q *heartbeatQueue) take(count int) []Envelope {
	taken := q.envelopes[:count:count]
	for _, e := range taken {
		q.bytes -= len(e.Body)
	}
	q.envelopes = append([]Envelope(nil), q.envelopes[count:]...)
	return taken
}

// keep removes all heartbeats but those that a function keeps.
func (q *heartbeatQueue) keep(kept func(Envelope) bool) {
	remaining := q.envelopes[:0]
	for _, e := range q.envelopes {
		if kept(e) {
			remaining = append(remaining, e)
		} else {
			q.bytes -= len(e.Body)
		}
	}
	q.envelopes = remaining
}
