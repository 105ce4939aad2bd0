package cloud

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/golden"
	"github.com/glentiller/glentiller/internal/model"
)

func TestRequestsToTheCloudKeepTheirBytes(t *testing.T) {
	requests := golden.LogRequests(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.RequestURI, "after") {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		// A page with one machine, which says that more pages follow.
		_, _ = w.Write([]byte("\x82\xa4more\xc3\xa7tillers\x91\x81\xa3ref\xa3n 1"))
	})
	c := New(requests.Addr, 1e6, 5*time.Second, nil)
	if _, err := c.ListMachines(context.Background()); err == nil {
		t.Error("list of machines whose second page was refused: got no error, want one")
	}
	if _, err := c.Catalog(context.Background()); err == nil {
		t.Error("catalog decoded from a list of machines: got no error, want one")
	}
	provisioning := model.Provisioning{Name: "h-1", Type: "g8", Zone: "a", Spot: true, Count: 50}
	if _, _, err := c.Provision(provisioning); err == nil {
		t.Error("names decoded from a list of machines: got no error, want one")
	}
	if err := c.Release([]string{"n-000231", "n-000232"}); err != nil {
		t.Error(err)
	}
	golden.Check(t, "requests.txt", requests.Bytes())
}
