package controller

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/cloud"
	"github.com/glentiller/glentiller/internal/reconciler"
)

// catalog is the cloud's answer with one machine type, g8 of 8 cores.
const catalog = "\x81\xa6breeds\x91\x82\xa5label\xa2g8\xa5cores\x08"

func TestCatalogIsPublishedOnceRead(t *testing.T) {
	tests := map[string]struct {
		status        int
		wantPublished bool
	}{
		"read":   {http.StatusOK, true},
		"failed": {http.StatusServiceUnavailable, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
				if _, err := w.Write([]byte(catalog)); err != nil {
					t.Error(err)
				}
			}))
			defer server.Close()
			term, _ := newTestTerm(t)
			term.cloud = cloud.New(server.Listener.Addr().String(), 1, time.Second, nil)
			if _, ok := term.execute(reconciler.FetchCatalog{}).(reconciler.CatalogReceived); !ok {
				t.Error("got another event, want CatalogReceived")
			}
			if got := term.machineTypes.Load() != nil; got != test.wantPublished {
				t.Errorf("got published=%v, want %v", got, test.wantPublished)
			}
		})
	}
}
