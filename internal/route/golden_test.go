package route

import (
	"testing"

	"github.com/glentiller/glentiller/internal/golden"
)

// Controllers send kinds and outcomes to each other as numbers, so the numbers must stay the same in all versions.
func TestKindsAndOutcomesKeepTheirNumbers(t *testing.T) {
	for i, want := range []string{"submit", "poll", "cancel"} {
		if got := Kind(i).String(); got != want {
			t.Errorf("kind %d: got %s, want %s", i, got, want)
		}
	}
	numbers := []Outcome{Answered, StateServiceUnavailable, Overloaded, OutOfMemory, NotReady, TimedOut, Unreachable}
	for i, want := range []string{"taken", "down", "busy", "short", "unready", "silent", "refused"} {
		if got := Outcome(i); got.String() != want || numbers[i] != got {
			t.Errorf("outcome %d: got %v, want %s; the constant expected here has the number %d", i, got, want, numbers[i])
		}
	}
}

func TestStatusOfRoutesKeepsItsJSON(t *testing.T) {
	golden.CheckJSON[Status](t, "status")
}
