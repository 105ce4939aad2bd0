package relay

import (
	"strings"
	"testing"

	"github.com/glentiller/glentiller/internal/golden"
)

// The text of a batch as it stands in its record.
func TestPackedBatchKeepsItsBytes(t *testing.T) {
	letters := []Envelope{{1, []byte("abc")}, {1 << 63, nil}, {300, []byte{0, 0xff, 0, 0xff}}, {301, []byte(strings.Repeat("a heartbeat, ", 30))}}
	text, n := Pack(letters, 1000)
	if n != len(letters) {
		t.Fatalf("packed %d, want %d", n, len(letters))
	}
	got, err := Unpack(string(golden.Check(t, "batch.txt", []byte(text))))
	if err != nil || len(got) != len(letters) {
		t.Fatalf("got %d, %v, want %d", len(got), err, len(letters))
	}
	for i, l := range got {
		if l.ID != letters[i].ID || string(l.Body) != string(letters[i].Body) {
			t.Errorf("%d: got %v, want %v", i, l, letters[i])
		}
	}
}
