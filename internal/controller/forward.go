package controller

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/glentiller/glentiller/internal/config"
	"github.com/glentiller/glentiller/internal/peer"
	"github.com/glentiller/glentiller/internal/peer/peerpb"
	"github.com/glentiller/glentiller/internal/route"
)

// newRouter makes what decides where users' requests are answered; nil: where they come.
func (n *Controller) newRouter() *route.Router {
	set := config.RoutingSettings(n.platform, n.operator)
	if set == nil {
		return nil
	}
	return route.New(
		*set,
		rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		func(way string, from, to route.BreakerState) {
			n.log.Info("way of requests", "by", way, "from", from.String(), "to", to.String())
		},
	)
}

// forwardMargin is by how much sooner than its user another member gives a request up.
const forwardMargin = 50 * time.Millisecond

// Forward hands a user's request to another member, and says what became of it.
func (n *Controller) Forward(ctx context.Context, member string, q route.Request) route.Response {
	h := &peerpb.Hand{Kind: uint32(q.Kind), Id: q.ID, Body: q.Body}
	if until, ok := ctx.Deadline(); ok {
		h.WaitMs = uint32(max(time.Until(until)-forwardMargin, forwardMargin).Milliseconds())
	}
	a, err := n.forwardClients[member].ForwardRequest(ctx, h)
	switch {
	case errors.Is(err, peer.ErrDialing):
		return route.Response{Outcome: route.Overloaded}
	case err != nil && ctx.Err() != nil:
		return route.Response{Outcome: route.TimedOut}
	case err != nil || a == nil:
		return route.Response{Outcome: route.Unreachable}
	}
	out := route.Response{
		Outcome:    route.Outcome(min(a.GetCause(), 255)),
		Status:     int(a.GetStatus()),
		Body:       a.GetBody(),
		RetryAfter: time.Duration(a.GetAfterS()) * time.Second,
	}
	if out.Outcome == route.Answered && (out.Status < http.StatusOK || out.Status >= http.StatusInternalServerError) {
		return route.Response{Outcome: route.NotReady}
	}
	return out
}

// LastStateResponse is when the state service has last answered anything.
func (n *Controller) LastStateResponse() time.Time { return n.store.LastContact() }

// HandleForwardedRequest answers a user's request that another member cannot take.
func (h peerHandler) HandleForwardedRequest(ctx context.Context, q *peerpb.Hand) *peerpb.HandAnswer {
	a := h.controller.httpAPI.HandleForwarded(
		ctx,
		route.Request{Kind: route.Kind(min(q.GetKind(), 255)), ID: q.GetId(), Body: q.GetBody()},
		time.Duration(q.GetWaitMs())*time.Millisecond,
	)
	return &peerpb.HandAnswer{
		Cause:  uint32(a.Outcome),
		Status: uint32(a.Status),
		Body:   a.Body,
		AfterS: uint32(a.RetryAfter.Round(time.Second) / time.Second),
	}
}
