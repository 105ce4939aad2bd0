package relay

import (
	"strings"
	"testing"

	"github.com/glentiller/glentiller/internal/golden"
)

// The payload of a batch as it stands in its record.
func TestPackedBatchKeepsItsBytes(t *testing.T) {
	envelopes := []Envelope{
		{1, []byte("abc")},
		{1 << 63, nil},
		{300, []byte{0, 0xff, 0, 0xff}},
		{301, []byte(strings.Repeat("a heartbeat, ", 30))},
	}
	payload, n := Pack(envelopes, 1000)
	if n != len(envelopes) {
		t.Fatalf("packed %d, want %d", n, len(envelopes))
	}
	got, err := Unpack(string(golden.Check(t, "batch.txt", []byte(payload))))
	if err != nil || len(got) != len(envelopes) {
		t.Fatalf("got %d, %v, want %d", len(got), err, len(envelopes))
	}
	for i, e := range got {
		if e.ID != envelopes[i].ID || string(e.Body) != string(envelopes[i].Body) {
			t.Errorf("%d: got %v, want %v", i, e, envelopes[i])
		}
	}
}
