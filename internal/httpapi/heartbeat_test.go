package httpapi

import (
	"testing"

	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/wire"
)

func TestHeartbeatIsAnsweredOnlyWithValidLease(t *testing.T) {
	leaseValid := true
	launch := model.Command{Op: model.OpLaunch, Task: model.TaskID{Job: "wk-000412", Index: 4}, Attempt: 2}
	backend := &fakeBackend{heartbeatResult: HeartbeatResult{
		Leading:      true,
		FencingToken: 41,
		LeaseValid:   func() bool { return leaseValid },
		Commands:     []model.Command{launch},
	}}
	do := serveHTTP(t, &fakeJobs{}, backend)
	got := do("POST", "/v1/report", heartbeatFields())
	commands, _ := got.fields["orders"].([]any)
	if got.status != 200 || len(commands) != 1 || commands[0].(map[string]any)["row"] != "wk-000412/4" {
		t.Errorf("leader: got %d %v, want 200 with one command for wk-000412/4", got.status, got.fields)
	}
	leaseValid = false // the lease expires after the commands were decided
	if got = do("POST", "/v1/report", heartbeatFields()); got.status != 503 || got.fields["orders"] != nil {
		t.Errorf("leader without a lease: got %d %v, want 503 without commands", got.status, got.fields)
	}
	backend.heartbeatResult = HeartbeatResult{Leader: "tiller-2"}
	if got = do("POST", "/v1/report", heartbeatFields()); got.status != 421 || got.fields["foreman"] != "tiller-2" {
		t.Errorf("follower: got %d %v, want 421 with the leader's name", got.status, got.fields)
	}
	backend.relayedResponse = wire.AppendHeartbeatResponse(nil, 42, nil)
	if got = do("POST", "/v1/report", heartbeatFields()); got.status != 200 || got.fields["baton"] == nil {
		t.Errorf("follower that relays: got %d %v, want 200 with a fencing token", got.status, got.fields)
	}
	if got = do("POST", "/v1/report", []byte{0xc1}); got.status != 400 {
		t.Errorf("malformed heartbeat: got %d, want 400", got.status)
	}
}
