package cloud

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/rpc"
	"github.com/glentiller/glentiller/internal/wire"
)

func TestProvisionReportsRefusals(t *testing.T) {
	for _, c := range []struct {
		name    string
		status  int
		body    []byte
		refused bool
		errored bool
	}{
		{"provisioned", http.StatusOK, wire.AppendMachineNames(nil, []string{"n-1"}), false, false},
		{"malformed response", http.StatusOK, []byte{0xc1}, false, true},
		{"invalid request", http.StatusBadRequest, nil, true, false},
		{"no capacity", http.StatusServiceUnavailable, wire.AppendError(nil, "no capacity"), true, true},
		{"rate limited", http.StatusServiceUnavailable, wire.AppendError(nil, "slow down"), false, true},
		{"other status", http.StatusInternalServerError, wire.AppendError(nil, "no capacity"), false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write(c.body) // an incomplete body makes the checks below fail
			}))
			defer s.Close()
			client := New(s.Listener.Addr().String(), 1e6, 5*time.Second, nil)
			names, refused, err := client.Provision(model.Provisioning{Name: "h-1", Type: "g8", Count: 1})
			if refused != c.refused || (err != nil) != c.errored {
				t.Errorf("got refused %v, error %v, want refused %v, an error: %v", refused, err, c.refused, c.errored)
			}
			if provisioned := c.status == http.StatusOK && !c.errored; (len(names) > 0) != provisioned {
				t.Errorf("got machines %q, want at least one: %v", names, provisioned)
			}
			if want := c.status; want != http.StatusOK && c.errored && rpc.StatusCode(err) != want {
				t.Errorf("got status %d, want %d", rpc.StatusCode(err), want)
			}
		})
	}
}
