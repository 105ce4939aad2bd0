package controller

import (
	"context"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/wire"
)

func TestRelayedHeartbeatIsAnsweredOnlyByALeader(t *testing.T) {
	heartbeat := msgp.AppendMapHeader(nil, 2)
	heartbeat = msgp.AppendString(msgp.AppendString(heartbeat, "tiller"), "m") // the machine
	heartbeat = msgp.AppendUint64(msgp.AppendString(heartbeat, "shift"), 1)    // its epoch
	if _, err := wire.DecodeHeartbeat(heartbeat); err != nil {
		t.Fatalf("got %v from the heartbeat, want it well formed", err)
	}
	term, _ := newTestTerm(t)
	handler := peerHandler{term.Controller}
	term.lease.clear()
	term.leader.update(time.Now(), "b")
	if got := handler.HandleHeartbeat(context.Background(), []byte("malformed")); got.GetAct() || got.GetLeader() != "" {
		t.Errorf("malformed: got %v, want an empty answer", got)
	}
	if got := handler.HandleHeartbeat(context.Background(), heartbeat); got.GetAct() || got.GetLeader() != "b" {
		t.Errorf("not leading: got %v, want leader b", got)
	}
	if relayed, _ := term.handleRelayed(context.Background(), heartbeat); relayed != nil {
		t.Errorf("not leading: got a response of %d bytes, want none", len(relayed))
	}
}
