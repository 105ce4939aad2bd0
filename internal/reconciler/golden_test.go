package reconciler

import (
	"testing"

	"github.com/glentiller/glentiller/internal/golden"
)

// The JSON encoding of an explanation is exchanged between controllers and shown to operators.
func TestExplanationKeepsItsJSON(t *testing.T) {
	golden.CheckJSON[Explanation](t, "explanation")
}
