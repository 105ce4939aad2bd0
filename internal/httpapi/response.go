package httpapi

import (
	"errors"

	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/route"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

// finalResponse returns a response with outcome route.Answered, after which no other member is asked.
func finalResponse(status int, body []byte) route.Response {
	return route.Response{Status: status, Body: body}
}

// rejectedResponse returns a final response with an HTTP error status, whose body gives the reason.
func rejectedResponse(status int, reason string) route.Response {
	return finalResponse(status, wire.AppendError(nil, reason))
}

// malformedResponse returns the response to a submission that cannot be decoded or parsed, with status 400.
func malformedResponse(reason string) *route.Response {
	return new(rejectedResponse(fasthttp.StatusBadRequest, reason))
}

// infeasibleResponse returns the response to a well-formed submission whose job could never run, with status 422.
func infeasibleResponse(reason string) *route.Response {
	return new(rejectedResponse(fasthttp.StatusUnprocessableEntity, reason))
}

// unavailableResponse returns the response to a request that this member cannot answer at present, with status 503.
// outcome says why; it must not be route.Answered. The router may have another member answer the request.
func unavailableResponse(outcome route.Outcome, reason string) route.Response {
	return route.Response{
		Outcome: outcome,
		Status:  fasthttp.StatusServiceUnavailable,
		Body:    wire.AppendError(nil, reason),
	}
}

// stateServiceErrorResponse returns the response to a user's request for which a request to the state service has
// failed with err. If this member's share of the rate limits held that request back, the outcome is route.Overloaded.
func stateServiceErrorResponse(err error) route.Response {
	const reason = "the state service does not answer"
	if errors.Is(err, store.ErrRateLimited) {
		return unavailableResponse(route.Overloaded, reason)
	}
	return unavailableResponse(route.StateServiceUnavailable, reason)
}
