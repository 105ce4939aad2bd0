package relay

import (
	"strings"
	"testing"

	"github.com/glentiller/glentiller/internal/golden"
)

// Guards the encoding of a batch's payload, which controllers of other versions have to read.
func TestPackedBatchKeepsItsBytes(t *testing.T) {
	envelopes := []Envelope{
		{1, []byte("abc")},
		{1 << 63, nil},
		{300, []byte{0, 0xff, 0, 0xff}},
		{301, []byte(strings.Repeat("a heartbeat, ", 30))},
	}
	payload, count := Pack(envelopes, 1000)
	if count != len(envelopes) {
		t.Fatalf("Pack: got %d envelopes, want %d", count, len(envelopes))
	}
	got, err := Unpack(string(golden.Check(t, "batch.txt", []byte(payload))))
	if err != nil || len(got) != len(envelopes) {
		t.Fatalf("Unpack: got %d envelopes, error %v; want %d and none", len(got), err, len(envelopes))
	}
	for i, e := range got {
		if e.ID != envelopes[i].ID || string(e.Body) != string(envelopes[i].Body) {
			t.Errorf("envelope %d: got %v, want %v", i, e, envelopes[i])
		}
	}
}
