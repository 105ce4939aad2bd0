package worker

import (
	"net/http"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/golden"
	"github.com/glentiller/glentiller/internal/model"
)

func TestRequestsToWorkersKeepTheirBytes(t *testing.T) {
	requests := golden.LogRequests(t, func(http.ResponseWriter, *http.Request) {})
	c := New(5*time.Second, nil)
	task := model.TaskID{Job: "wk-000412", Index: 3}
	commands := []model.Command{
		{Op: model.OpLaunch, Task: task, Attempt: 2},
		{Op: model.OpStop, Task: task, Attempt: 3, GracePeriod: 7500 * time.Millisecond},
		{Op: model.OpForget, Task: task, Attempt: 4},
	}
	reply := c.Send(requests.Addr, 41, 1<<63, commands, true)
	if !reply.Executed || reply.Heartbeat != nil {
		t.Errorf("empty response with status 200: got %+v, want the commands executed and no heartbeat", reply)
	}
	golden.Check(t, "requests.txt", requests.Bytes())
}
