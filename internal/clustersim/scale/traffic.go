package scale

import "sync"

// traffic counts the messages of one stand-in, or of all workers or users, and their bytes, by kind of message. It is
// safe for concurrent use.
type traffic struct {
	mu           sync.Mutex // guards countsByKind
	countsByKind map[string]*TrafficCounts
}

// TrafficCounts are the number and the total size of the messages of one kind. A request and its response count as
// one message.
type TrafficCounts struct {
	Messages int `json:"messages"`
	BytesIn  int `json:"bytes_in"`  // received by the stand-in, worker or user
	BytesOut int `json:"bytes_out"` // sent by it
}

// newTraffic returns counters that are zero.
func newTraffic() *traffic { return &traffic{countsByKind: map[string]*TrafficCounts{}} }

// count adds a message of a kind, with the bytes that were received and sent.
func (t *traffic) count(kind string, in, out int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.countsByKind[kind]
	if counts == nil {
		counts = &TrafficCounts{}
		t.countsByKind[kind] = counts
	}
	counts.Messages++
	counts.BytesIn += in
	counts.BytesOut += out
}

// reset sets all counts to zero. Kinds that have been counted before remain, with counts of zero.
func (t *traffic) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, counts := range t.countsByKind {
		*counts = TrafficCounts{}
	}
}

// messageCount returns the number of messages of all kinds.
func (t *traffic) messageCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	messages := 0
	for _, counts := range t.countsByKind {
		messages += counts.Messages
	}
	return messages
}

// sumTraffic returns the sums of several traffic counters by kind of message.
func sumTraffic(counters []*traffic) map[string]TrafficCounts {
	sum := map[string]TrafficCounts{}
	for _, t := range counters {
		t.mu.Lock()
		for kind, counts := range t.countsByKind {
			total := sum[kind]
			sum[kind] = TrafficCounts{
				Messages: total.Messages + counts.Messages,
				BytesIn:  total.BytesIn + counts.BytesIn,
				BytesOut: total.BytesOut + counts.BytesOut,
			}
		}
		t.mu.Unlock()
	}
	return sum
}
