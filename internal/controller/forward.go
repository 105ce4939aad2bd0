package controller

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/glentiller/glentiller/internal/config"
	"github.com/glentiller/glentiller/internal/peer"
	"github.com/glentiller/glentiller/internal/peer/peerpb"
	"github.com/glentiller/glentiller/internal/route"
)

// forwardMargin is the difference between a user's deadline and the deadline of the forwarded request, so that
// the other member gives up before the user does.
const forwardMargin = 50 * time.Millisecond

// newRouter returns the router of users' requests, or nil if requests are answered by the member that receives
// them.
func newRouter(p *config.Platform, o *config.Operator, log *slog.Logger) *route.Router {
	settings := config.RoutingSettings(p, o)
	if settings == nil {
		return nil
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return route.New(*settings, random, func(via string, from, to route.BreakerState) {
		log.Info("request path changed", "via", via, "from", from.String(), "to", to.String())
	})
}

// Forward sends a user's request to another member. The outcome of the response says whether the member
// answered it, and if not, why.
func (c *Controller) Forward(ctx context.Context, member string, userRequest route.Request) route.Response {
	request := &peerpb.Hand{Kind: uint32(userRequest.Kind), Id: userRequest.ID, Body: userRequest.Body}
	if deadline, ok := ctx.Deadline(); ok {
		request.WaitMs = uint32(max(time.Until(deadline)-forwardMargin, forwardMargin).Milliseconds())
	}
	answer, err := c.forwardClients[member].ForwardRequest(ctx, request)
	switch {
	case errors.Is(err, peer.ErrDialing):
		return route.Response{Outcome: route.Overloaded}
	case err != nil && ctx.Err() != nil:
		return route.Response{Outcome: route.TimedOut}
	case err != nil || answer == nil:
		return route.Response{Outcome: route.Unreachable}
	}
	response := route.Response{
		Outcome:    route.Outcome(min(answer.GetCause(), 255)),
		Status:     int(answer.GetStatus()),
		Body:       answer.GetBody(),
		RetryAfter: time.Duration(answer.GetAfterS()) * time.Second,
	}
	failed := response.Status < http.StatusOK || response.Status >= http.StatusInternalServerError
	if response.Outcome == route.Answered && failed {
		return route.Response{Outcome: route.NotReady}
	}
	return response
}

// HandleForwardedRequest answers a user's request that another member could not answer itself and has
// forwarded.
func (h peerHandler) HandleForwardedRequest(ctx context.Context, forwarded *peerpb.Hand) *peerpb.HandAnswer {
	request := route.Request{
		Kind: route.Kind(min(forwarded.GetKind(), 255)),
		ID:   forwarded.GetId(),
		Body: forwarded.GetBody(),
	}
	wait := time.Duration(forwarded.GetWaitMs()) * time.Millisecond
	response := h.controller.httpAPI.HandleForwarded(ctx, request, wait)
	return &peerpb.HandAnswer{
		Cause:  uint32(response.Outcome),
		Status: uint32(response.Status),
		Body:   response.Body,
		AfterS: uint32(response.RetryAfter.Round(time.Second) / time.Second),
	}
}
