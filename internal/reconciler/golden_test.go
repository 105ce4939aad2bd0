package reconciler

import (
	"testing"

	"github.com/glentiller/glentiller/internal/golden"
)

// Controllers hand an explanation to each other, and to operators.
func TestExplanationKeepsItsJSON(t *testing.T) {
	golden.CheckJSON[Explanation](t, "explanation")
}
