package httpapi

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/route"
	"github.com/glentiller/glentiller/internal/wire"
)

func requestTimeout(k route.Kind) time.Duration {
	if k == route.Poll {
		return pollTimeout
	}
	return userTimeout
}

// routeRequest answers a user's request here or by way of another member, as the router decides. elsewhere
// has it answered by another member in any case.
func (s *Server) routeRequest(q route.Request, elsewhere bool) route.Response {
	wait := requestTimeout(q.Kind)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	if s.settings.Router == nil || s.jobs.Peek(q.ID).State.Ended() {
		defer cancel()
		return s.answerLocally(ctx, q) // an end that is known needs nobody
	}
	// Attempts may go on when the user has an answer: what becomes of them tells how the ways
	// stand. So the body is theirs, and the time ends by itself.
	time.AfterFunc(wait, cancel)
	q.Body = append([]byte(nil), q.Body...)
	type back struct {
		from string
		a    route.Response
	}
	now := s.now()
	t, m := s.settings.Router.Begin(now, now.Add(wait), s.backend.LastStateResponse(), q, elsewhere)
	backs := make(chan back) // unbuffered: what is not taken here is told by its own goroutine
	over := make(chan struct{})
	defer close(over)
	attempt := func(from string, do func() route.Response) {
		go func() {
			b := back{from, s.recoverPanic(do)}
			select {
			case backs <- b:
			case <-over:
				t.Completed(s.now(), b.from, b.a)
			}
		}()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		switch {
		case m.Local:
			attempt("", func() route.Response { return s.answerLocally(ctx, q) })
		case m.ForwardTo != "":
			// A name of its own: guards against an attempt that begins only when the next move is
			// known already, and goes to that one's member, or to none.
			member := m.ForwardTo
			s.log.Debug("request handed over", "kind", q.Kind.String(), "id", q.ID, "to", member, "state", t.State().String())
			attempt(member, func() route.Response { return s.backend.Forward(ctx, member, q) })
		case m.Response != nil:
			return s.completeResponse(q, *m.Response)
		}
		timer.Reset(max(t.NextTick().Sub(s.now()), time.Millisecond))
		select {
		case b := <-backs:
			m = t.Completed(s.now(), b.from, b.a)
		case <-timer.C:
			m = t.Tick(s.now())
		}
	}
}

// recoverPanic has an attempt that trips over a mistake of ours answer, rather than end the process.
func (s *Server) recoverPanic(do func() route.Response) (a route.Response) {
	defer func() {
		if r := recover(); r != nil {
			s.log.Error("request failed", "panic", r, "stack", string(debug.Stack()))
			a = notTaken(route.NotReady, "internal error")
		}
	}()
	return do()
}

// completeResponse makes what a user is told of what became of a request.
func (s *Server) completeResponse(q route.Request, a route.Response) route.Response {
	if a.Outcome == route.Answered {
		// An end that has become known here meanwhile is newer than whatever another member
		// read, and than that the job was accepted: docs/safety.md, "Answers that never go back".
		if v := s.jobs.Peek(q.ID); v.State.Ended() && (a.Status == fasthttp.StatusOK || a.Status == fasthttp.StatusCreated) {
			ctx, cancel := context.WithTimeout(context.Background(), requestTimeout(q.Kind))
			defer cancel()
			return s.answerLocally(ctx, q)
		}
		return a
	}
	if a.Status == 0 {
		a.Status, a.Body = fasthttp.StatusServiceUnavailable, wire.AppendError(nil, "no controller can take it now")
	}
	a.RetryAfter = s.settings.Router.RetryAfter(max(a.RetryAfter, s.settings.RetryAfter), a.Outcome)
	return a
}

// HandleForwarded answers a request that another member hands over. It is never handed on.
func (s *Server) HandleForwarded(ctx context.Context, q route.Request, wait time.Duration) route.Response {
	if q.Kind > route.Cancel {
		return route.Response{Outcome: route.NotReady}
	}
	if q.Kind == route.Submit {
		id, why := validateBody(q.Body)
		if why != "" {
			// Where it came it was well formed: the versions differ. Guards against a job that
			// another version has accepted, and that is called malformed here.
			return notTaken(route.NotReady, why)
		}
		q.ID = id
	}
	ctx, cancel := context.WithTimeout(ctx, min(wait, requestTimeout(q.Kind)))
	defer cancel()
	if s.settings.Router == nil || s.jobs.Peek(q.ID).State.Ended() {
		return s.recoverPanic(func() route.Response { return s.answerLocally(ctx, q) })
	}
	ended, c := s.settings.Router.AdmitForwarded(s.now(), s.backend.LastStateResponse(), q.Kind)
	if ended == nil {
		return route.Response{Outcome: c}
	}
	a := s.recoverPanic(func() route.Response { return s.answerLocally(ctx, q) })
	ended(s.now(), a.Outcome)
	return a
}
