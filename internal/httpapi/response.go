package httpapi

import (
	"errors"

	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/route"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

// finalResponse returns a response that holds whichever member gives it.
func finalResponse(status int, body []byte) route.Response {
	return route.Response{Status: status, Body: body}
}

// rejected returns the final response to a request that can never be accepted.
func rejected(status int, reason string) route.Response {
	return finalResponse(status, wire.AppendError(nil, reason))
}

// malformed rejects a submission that cannot be read.
func malformed(reason string) *route.Response {
	return new(rejected(fasthttp.StatusBadRequest, reason))
}

// infeasible rejects a submission that can be read but never be carried out.
func infeasible(reason string) *route.Response {
	return new(rejected(fasthttp.StatusUnprocessableEntity, reason))
}

// declined returns the response to a request that this member cannot answer now.
func declined(outcome route.Outcome, reason string) route.Response {
	return route.Response{
		Outcome: outcome,
		Status:  fasthttp.StatusServiceUnavailable,
		Body:    wire.AppendError(nil, reason),
	}
}

// stateServiceFailure returns the response when a request to the state service failed.
func stateServiceFailure(err error) route.Response {
	const reason = "the state service does not answer"
	if errors.Is(err, store.ErrRateLimited) {
		return declined(route.Overloaded, reason)
	}
	return declined(route.StateUnavailable, reason)
}
