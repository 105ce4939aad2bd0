package worker

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/golden"
	"github.com/glentiller/glentiller/internal/model"
)

func TestRequestsToWorkersKeepTheirBytes(t *testing.T) {
	var requests strings.Builder
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		fmt.Fprintf(&requests, "%s %s %q %x\n", r.Method, r.RequestURI, r.Header.Get("Content-Type"), b)
		if err != nil {
			t.Error(err)
		}
	}))
	defer s.Close()
	c := New(5*time.Second, nil)
	task := model.TaskID{Job: "wk-000412", Index: 3}
	commands := []model.Command{
		{Op: model.OpLaunch, Task: task, Attempt: 2},
		{Op: model.OpStop, Task: task, Attempt: 3, GracePeriod: 7500 * time.Millisecond},
		{Op: model.OpForget, Task: task, Attempt: 4},
	}
	r := c.Send(s.Listener.Addr().String(), 41, 1<<63, commands, true)
	if !r.Executed || r.Heartbeat != nil {
		t.Errorf("an empty answer of 200: got %+v, want executed, without a heartbeat", r)
	}
	golden.Check(t, "requests.txt", []byte(requests.String()))
}
