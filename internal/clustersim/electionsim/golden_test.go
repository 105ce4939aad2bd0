package electionsim

import (
	"testing"

	"github.com/glentiller/glentiller/internal/golden"
)

func TestResultKeepsItsJSON(t *testing.T) {
	golden.CheckJSON[Result](t, "result")
}
