package httpapi

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/route"
	"github.com/glentiller/glentiller/internal/wire"
)

// Timeouts of user requests. They are shorter than those of clients, which give up on a poll after 2 s and
// on any other request after 5 s.
const (
	userTimeout = 3 * time.Second
	pollTimeout = 1500 * time.Millisecond
)

func requestTimeout(kind route.Kind) time.Duration {
	if kind == route.Poll {
		return pollTimeout
	}
	return userTimeout
}

// routeRequest answers a user's request on this member or through other members, as the router decides. If
// forwardOnly is set, the router makes no local attempt. Without a router, or if the job is known to have ended,
// the request is always answered on this member.
func (s *Server) routeRequest(request route.Request, forwardOnly bool) route.Response {
	timeout := requestTimeout(request.Kind)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	if s.settings.Router == nil || s.jobs.Peek(request.ID).State.Ended() {
		defer cancel()
		return s.answerLocally(ctx, request)
	}
	// An attempt may outlive the response to the user, since the router records the outcome of each one. The
	// attempts therefore use a copy of the body, and only the timeout cancels their context.
	time.AfterFunc(timeout, cancel)
	request.Body = append([]byte(nil), request.Body...)

	now := s.now()
	requestAttempts, action := s.settings.Router.Begin(
		now, now.Add(timeout), s.backend.LastStateServiceResponse(), request, forwardOnly)
	runner := attemptRunner{
		server:   s,
		attempts: requestAttempts,
		results:  make(chan attemptResult),
		answered: make(chan struct{}),
	}
	defer close(runner.answered)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		switch {
		case action.Local:
			runner.start("", func() route.Response { return s.answerLocally(ctx, request) })
		case action.ForwardTo != "":
			// The member is copied, since action may change before the goroutine of the attempt runs.
			member := action.ForwardTo
			s.log.Debug("request forwarded", "kind", request.Kind.String(), "id", request.ID,
				"member", member, "state", requestAttempts.State().String())
			runner.start(member, func() route.Response { return s.backend.Forward(ctx, member, request) })
		case action.Response != nil:
			return s.completeResponse(request, *action.Response)
		}
		timer.Reset(max(requestAttempts.NextTick().Sub(s.now()), time.Millisecond))
		select {
		case result := <-runner.results:
			action = requestAttempts.HandleResponse(s.now(), result.member, result.response)
		case <-timer.C:
			action = requestAttempts.Tick(s.now())
		}
	}
}

// attemptRunner runs the attempts at one request.
type attemptRunner struct {
	server   *Server
	attempts *route.RequestAttempts
	// results is unbuffered, so that no result remains in it unread after answered is closed.
	results  chan attemptResult
	answered chan struct{} // closed when routeRequest returns the user's response
}

// attemptResult is the response of one attempt.
type attemptResult struct {
	member   string // the member that made the attempt; empty for this one
	response route.Response
}

// start runs an attempt in a new goroutine. Its result is sent to results or, if routeRequest has returned by then,
// reported directly to the router.
func (a *attemptRunner) start(member string, attempt func() route.Response) {
	go func() {
		result := attemptResult{member, a.server.runAndRecover(attempt)}
		select {
		case a.results <- result:
		case <-a.answered:
			a.attempts.HandleResponse(a.server.now(), result.member, result.response)
		}
	}()
}

// runAndRecover calls attempt and returns its response. If attempt panics, it logs the panic and returns
// a retryable response.
func (s *Server) runAndRecover(attempt func() route.Response) (response route.Response) {
	defer func() {
		if r := recover(); r != nil {
			s.log.Error("panic while answering user request", "panic", r, "stack", string(debug.Stack()))
			response = unavailableResponse(route.NotReady, "internal error")
		}
	}()
	return attempt()
}

// completeResponse turns the response that the router has chosen into the one that is sent to the user. A response
// without an HTTP status becomes a 503, and one with any outcome but route.Answered gets a Retry-After.
func (s *Server) completeResponse(request route.Request, response route.Response) route.Response {
	if response.Outcome == route.Answered {
		return s.replaceStaleResponse(request, response)
	}
	if response.Status == 0 {
		response.Status = fasthttp.StatusServiceUnavailable
		response.Body = wire.AppendError(nil, "no controller can take it now")
	}
	minRetryAfter := max(response.RetryAfter, s.settings.RetryAfter)
	response.RetryAfter = s.settings.Router.RetryAfter(minRetryAfter, response.Outcome)
	return response
}

// replaceStaleResponse answers the request locally if this member has learned of the job's end while the request
// was under way, and returns response otherwise. The end is newer than the record that another member may have
// read, and may already have been reported to users (docs/safety.md, "Forwarded requests").
func (s *Server) replaceStaleResponse(request route.Request, response route.Response) route.Response {
	ended := s.jobs.Peek(request.ID).State.Ended()
	if !ended || response.Status != fasthttp.StatusOK && response.Status != fasthttp.StatusCreated {
		return response
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout(request.Kind))
	defer cancel()
	return s.answerLocally(ctx, request)
}

// HandleForwarded answers a request that another member has forwarded, within timeout or the timeout of the
// request kind, whichever is shorter. It never forwards the request again, so requests cannot loop between
// members. It is safe for concurrent use.
func (s *Server) HandleForwarded(ctx context.Context, request route.Request, timeout time.Duration) route.Response {
	if request.Kind > route.Cancel {
		return route.Response{Outcome: route.NotReady}
	}
	if request.Kind == route.Submit {
		id, err := validateSubmission(request.Body)
		if err != nil {
			// The forwarding member found the submission well-formed, so the two members run different versions. A
			// final response could reject a job as malformed that the forwarding member has accepted.
			return unavailableResponse(route.NotReady, err.Error())
		}
		request.ID = id
	}
	ctx, cancel := context.WithTimeout(ctx, min(timeout, requestTimeout(request.Kind)))
	defer cancel()
	answer := func() route.Response { return s.answerLocally(ctx, request) }
	if s.settings.Router == nil || s.jobs.Peek(request.ID).State.Ended() {
		return s.runAndRecover(answer)
	}
	completed, outcome := s.settings.Router.AdmitForwarded(s.now(), s.backend.LastStateServiceResponse(), request.Kind)
	if completed == nil {
		return route.Response{Outcome: outcome}
	}
	response := s.runAndRecover(answer)
	completed(s.now(), response.Outcome)
	return response
}
