package httpapi

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/route"
	"github.com/glentiller/glentiller/internal/wire"
)

// Timeouts of users' requests. Users themselves give up after 5 s, polls after 2 s.
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

// routeRequest answers a user's request here or through other members, as the router
// decides. With forwardOnly this member does not answer it itself.
func (s *Server) routeRequest(request route.Request, forwardOnly bool) route.Response {
	timeout := requestTimeout(request.Kind)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	if s.settings.Router == nil || s.jobs.Peek(request.ID).State.Ended() {
		defer cancel()
		return s.answerLocally(ctx, request) // a known end needs no other member
	}
	// Attempts may outlive the response, since the router learns from each outcome. So
	// they have a copy of the body, and their context ends with the timeout alone.
	time.AfterFunc(timeout, cancel)
	request.Body = append([]byte(nil), request.Body...)

	now := s.now()
	requestAttempts, action := s.settings.Router.Begin(
		now, now.Add(timeout), s.backend.LastStateResponse(), request, forwardOnly)
	attempts := attemptRunner{
		server:   s,
		attempts: requestAttempts,
		results:  make(chan attemptResult),
		answered: make(chan struct{}),
	}
	defer close(attempts.answered)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		switch {
		case action.Local:
			attempts.start("", func() route.Response { return s.answerLocally(ctx, request) })
		case action.ForwardTo != "":
			// A copy: action may have changed by the time the attempt's goroutine runs.
			member := action.ForwardTo
			s.log.Debug("request forwarded", "kind", request.Kind.String(), "id", request.ID,
				"member", member, "state", requestAttempts.State().String())
			attempts.start(member, func() route.Response { return s.backend.Forward(ctx, member, request) })
		case action.Response != nil:
			return s.completeResponse(request, *action.Response)
		}
		timer.Reset(max(requestAttempts.NextTick().Sub(s.now()), time.Millisecond))
		select {
		case result := <-attempts.results:
			action = requestAttempts.Completed(s.now(), result.member, result.response)
		case <-timer.C:
			action = requestAttempts.Tick(s.now())
		}
	}
}

// attemptRunner runs the attempts at one request.
type attemptRunner struct {
	server   *Server
	attempts *route.RequestAttempts
	results  chan attemptResult // unbuffered: none is lost in it once answered is closed
	answered chan struct{}      // closed when the user has a response
}

// attemptResult is the response of one attempt.
type attemptResult struct {
	member   string // "": this one
	response route.Response
}

// start runs an attempt in a goroutine of its own. Its result goes to results or, when
// the user has a response already, directly to the router.
func (a *attemptRunner) start(member string, attempt func() route.Response) {
	go func() {
		result := attemptResult{member, a.server.recoverPanic(attempt)}
		select {
		case a.results <- result:
		case <-a.answered:
			a.attempts.Completed(a.server.now(), result.member, result.response)
		}
	}()
}

// recoverPanic calls attempt and turns a panic into a response.
func (s *Server) recoverPanic(attempt func() route.Response) (response route.Response) {
	defer func() {
		if r := recover(); r != nil {
			s.log.Error("request failed", "panic", r, "stack", string(debug.Stack()))
			response = declined(route.NotReady, "internal error")
		}
	}()
	return attempt()
}

// completeResponse turns the response of an attempt into the one that the user gets.
func (s *Server) completeResponse(request route.Request, response route.Response) route.Response {
	if response.Outcome == route.Answered {
		return s.replaceStale(request, response)
	}
	if response.Status == 0 {
		response.Status = fasthttp.StatusServiceUnavailable
		response.Body = wire.AppendError(nil, "no controller can take it now")
	}
	least := max(response.RetryAfter, s.settings.RetryAfter)
	response.RetryAfter = s.settings.Router.RetryAfter(least, response.Outcome)
	return response
}

// replaceStale answers anew if the job's end has become known here while the request
// was under way: the end is newer than what another member may have read, and may have
// been acknowledged to users (docs/safety.md, "Forwarded requests").
func (s *Server) replaceStale(request route.Request, response route.Response) route.Response {
	ended := s.jobs.Peek(request.ID).State.Ended()
	if !ended || response.Status != fasthttp.StatusOK && response.Status != fasthttp.StatusCreated {
		return response
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout(request.Kind))
	defer cancel()
	return s.answerLocally(ctx, request)
}

// HandleForwarded answers a request that another member forwards. It is never
// forwarded again, so requests cannot go in circles.
func (s *Server) HandleForwarded(ctx context.Context, request route.Request, timeout time.Duration) route.Response {
	if request.Kind > route.Cancel {
		return route.Response{Outcome: route.NotReady}
	}
	if request.Kind == route.Submit {
		id, err := validateSubmission(request.Body)
		if err != nil {
			// The member that forwards it found it well-formed: the versions differ. A
			// final response could call a job malformed that the other has accepted.
			return declined(route.NotReady, err.Error())
		}
		request.ID = id
	}
	ctx, cancel := context.WithTimeout(ctx, min(timeout, requestTimeout(request.Kind)))
	defer cancel()
	answer := func() route.Response { return s.answerLocally(ctx, request) }
	if s.settings.Router == nil || s.jobs.Peek(request.ID).State.Ended() {
		return s.recoverPanic(answer)
	}
	completed, outcome := s.settings.Router.AdmitForwarded(s.now(), s.backend.LastStateResponse(), request.Kind)
	if completed == nil {
		return route.Response{Outcome: outcome}
	}
	response := s.recoverPanic(answer)
	completed(s.now(), response.Outcome)
	return response
}
