package controller

import (
	"context"

	"github.com/glentiller/glentiller/internal/peer"
	"github.com/glentiller/glentiller/internal/peer/peerpb"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/wire"
)

// peerHandler serves the other controllers. Each of its methods stands beside the code that sends the
// message: heartbeats here, progress in progress.go, votes in votes.go, explanations in explain.go and
// users' requests in forward.go.
type peerHandler struct{ controller *Controller }

var _ peer.Handler = peerHandler{}

// HandleHeartbeat takes a worker's heartbeat that another member relays.
func (h peerHandler) HandleHeartbeat(ctx context.Context, heartbeat []byte) *peerpb.RelayAnswer {
	decoded, err := wire.DecodeHeartbeat(heartbeat)
	if err != nil {
		return &peerpb.RelayAnswer{}
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	result := h.controller.handleHeartbeat(ctx, reconciler.HeartbeatReceived{Heartbeat: decoded, Relayed: true})
	if !result.Leading || !result.LeaseValid() {
		return &peerpb.RelayAnswer{Leader: result.Leader}
	}
	return &peerpb.RelayAnswer{
		Act:  true,
		Body: wire.AppendHeartbeatResponse(nil, result.FencingToken, result.Commands),
	}
}
