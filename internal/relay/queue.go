package relay

// heartbeatQueue holds heartbeats in the order in which they go into batches.
type heartbeatQueue struct {
	envelopes []Envelope
	bodyBytes int // total size of the bodies
}

func (q *heartbeatQueue) len() int { return len(q.envelopes) }

// hasRoom reports whether the settings allow another heartbeat in the queue.
func (q *heartbeatQueue) hasRoom(s *Settings, heartbeat []byte) bool {
	return len(q.envelopes) < s.MaxQueued && q.bodyBytes+len(heartbeat) <= s.MaxQueuedBytes
}

func (q *heartbeatQueue) push(e Envelope) {
	q.envelopes = append(q.envelopes, e)
	q.bodyBytes += len(e.Body)
}

// pushFront inserts heartbeats before all others. They were queued before, so they are exempt from the limits.
func (q *heartbeatQueue) pushFront(envelopes []Envelope) {
	for _, e := range envelopes {
		q.bodyBytes += len(e.Body)
	}
	q.envelopes = append(envelopes, q.envelopes...)
}

func (q *heartbeatQueue) popFront() Envelope {
	first := q.envelopes[0]
	q.envelopes = q.envelopes[1:]
	q.bodyBytes -= len(first.Body)
	return first
}

// take removes and returns the first count heartbeats.
func (q *heartbeatQueue) take(count int) []Envelope {
	taken := q.envelopes[:count:count]
	for _, e := range taken {
		q.bodyBytes -= len(e.Body)
	}
	q.envelopes = append([]Envelope(nil), q.envelopes[count:]...)
	return taken
}

// filter removes the heartbeats for which keep returns false.
func (q *heartbeatQueue) filter(keep func(Envelope) bool) {
	remaining := q.envelopes[:0]
	for _, e := range q.envelopes {
		if keep(e) {
			remaining = append(remaining, e)
		} else {
			q.bodyBytes -= len(e.Body)
		}
	}
	q.envelopes = remaining
}
