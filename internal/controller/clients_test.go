package controller

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/cloud"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/wire"
)

func TestCatalogIsPublishedOnceRead(t *testing.T) {
	catalog := wire.AppendCatalog(nil, []model.MachineType{{Name: "g8", Capacity: model.Resources{CPU: 8}}})
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
				if _, err := w.Write(catalog); err != nil {
					t.Error(err)
				}
			}))
			defer server.Close()
			term, _ := newTestTerm(t)
			term.cloud = cloud.New(server.Listener.Addr().String(), 1, time.Second, nil)
			if _, ok := term.execute(reconciler.FetchCatalog{}).(reconciler.CatalogReceived); !ok {
				t.Error("got an event of another type, want CatalogReceived")
			}
			types := term.MachineTypes()
			if got := len(types) == 1 && types[0].Name == "g8"; got != test.wantPublished {
				t.Errorf("got types %v, want them published=%v", types, test.wantPublished)
			}
		})
	}
}
