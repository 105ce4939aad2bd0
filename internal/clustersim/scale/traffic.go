package scale

import "sync"

// traffic counts messages and their bytes by kind.
type traffic struct {
	mu    sync.Mutex // guards kinds
	kinds map[string]*Flow
}

// Flow is how many messages of one kind have passed, and their bytes.
type Flow struct {
	Messages int `json:"messages"`
	BytesIn  int `json:"bytes_in"`  // to the stand-in
	BytesOut int `json:"bytes_out"` // from it
}

func newTraffic() *traffic { return &traffic{kinds: map[string]*Flow{}} }

// count counts a message.
func (t *traffic) count(kind string, in, out int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	flow := t.kinds[kind]
	if flow == nil {
		flow = &Flow{}
		t.kinds[kind] = flow
	}
	flow.Messages++
	flow.BytesIn += in
	flow.BytesOut += out
}

// reset sets all counts to zero. The kinds that were seen stay.
func (t *traffic) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, flow := range t.kinds {
		*flow = Flow{}
	}
}

// messageCount counts the messages of all kinds.
func (t *traffic) messageCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	messages := 0
	for _, flow := range t.kinds {
		messages += flow.Messages
	}
	return messages
}

// sumTraffic sums up the traffic of several stand-ins by kind.
func sumTraffic(all []*traffic) map[string]Flow {
	sum := map[string]Flow{}
	for _, t := range all {
		t.mu.Lock()
		for kind, flow := range t.kinds {
			total := sum[kind]
			sum[kind] = Flow{
				Messages: total.Messages + flow.Messages,
				BytesIn:  total.BytesIn + flow.BytesIn,
				BytesOut: total.BytesOut + flow.BytesOut,
			}
		}
		t.mu.Unlock()
	}
	return sum
}
