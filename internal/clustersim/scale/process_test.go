package scale

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// TestLongestHoldReadsEventLoopStatistics guards against a log message that longestHold no longer recognizes: it would
// report no hold at all, and every bound on the longest hold would pass. The lines have the form that
// internal/controller/hold.go writes and its test checks.
func TestLongestHoldReadsEventLoopStatistics(t *testing.T) {
	const (
		skipped = `level=INFO msg="event loop statistics" longest_hold=1h0m0s by=pass event=Tick inbox=0` + "\n"
		log     = skipped +
			`level=INFO msg="event loop statistics" longest_hold=30ms by=pass event=Tick inbox=0` + "\n" +
			`level=INFO msg="another message" longest_hold=2s by=pass event=Tick inbox=0` + "\n" +
			`level=INFO msg="event loop statistics" longest_hold=20ms by=jobs event="" inbox=7` + "\n"
	)
	path := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(path, []byte(log), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := (&controller{logPath: path}).longestHold(int64(len(skipped)))
	if want := (eventLoopHold{duration: 30 * time.Millisecond, holder: "pass Tick"}); err != nil || got != want {
		t.Errorf("got %v, %v, want %v", got, err, want)
	}
}
