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

// forwardMargin is by how much sooner than its user another member abandons a forwarded request.
const forwardMargin = 50 * time.Millisecond

// newRouter returns the router of users' requests; nil: they are answered where they arrive.
func newRouter(p *config.Platform, o *config.Operator, log *slog.Logger) *route.Router {
	settings := config.RoutingSettings(p, o)
	if settings == nil {
		return nil
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return route.New(*settings, random, func(via string, from, to route.BreakerState) {
		log.Info("request path", "via", via, "from", from.String(), "to", to.String())
	})
}

// Forward forwards a user's request to another member, and returns its response or why there is none.
func (c *Controller) Forward(ctx context.Context, member string, q route.Request) route.Response {
	request := &peerpb.Hand{Kind: uint32(q.Kind), Id: q.ID, Body: q.Body}
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

// HandleForwardedRequest answers a user's request that another member cannot answer.
func (h peerHandler) HandleForwardedRequest(ctx context.Context, q *peerpb.Hand) *peerpb.HandAnswer {
	request := route.Request{Kind: route.Kind(min(q.GetKind(), 255)), ID: q.GetId(), Body: q.GetBody()}
	wait := time.Duration(q.GetWaitMs()) * time.Millisecond
	response := h.controller.httpAPI.HandleForwarded(ctx, request, wait)
	return &peerpb.HandAnswer{
		Cause:  uint32(response.Outcome),
		Status: uint32(response.Status),
		Body:   response.Body,
		AfterS: uint32(response.RetryAfter.Round(time.Second) / time.Second),
	}
}
