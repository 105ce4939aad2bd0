package controller

import (
	"context"

	"github.com/glentiller/glentiller/internal/peer"
	"github.com/glentiller/glentiller/internal/peer/peerpb"
	"github.com/glentiller/glentiller/internal/reconciler"
	"github.com/glentiller/glentiller/internal/wire"
)

// peerHandler serves requests from the other controllers. Except for HandleHeartbeat, each method is in the
// file with the code that sends the request: progress in progress.go, votes in votes.go, explanations in
// explain.go and users' requests in forward.go.
type peerHandler struct{ controller *Controller }

var _ peer.Handler = peerHandler{}

// HandleHeartbeat answers a worker's heartbeat that another member has relayed.
func (h peerHandler) HandleHeartbeat(ctx context.Context, heartbeat []byte) *peerpb.RelayAnswer {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	response, leader := h.controller.handleRelayed(ctx, heartbeat)
	return &peerpb.RelayAnswer{Act: response != nil, Body: response, Leader: leader}
}

// handleRelayed processes an encoded heartbeat that another member has relayed, and returns the encoded
// response. The response is nil if the heartbeat is malformed or if this controller must not respond. In the
// latter case leader is the name of the current leader if it is known.
func (c *Controller) handleRelayed(ctx context.Context, heartbeat []byte) (response []byte, leader string) {
	decoded, err := wire.DecodeHeartbeat(heartbeat)
	if err != nil {
		return nil, ""
	}
	result := c.handleHeartbeat(ctx, reconciler.HeartbeatReceived{Heartbeat: decoded, Relayed: true})
	if !result.Leading || !result.LeaseValid() {
		return nil, result.Leader
	}
	return wire.AppendHeartbeatResponse(nil, result.FencingToken, result.Commands), ""
}
