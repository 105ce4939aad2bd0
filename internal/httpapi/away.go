package httpapi

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/route"
	"github.com/glentiller/glentiller/internal/wire"
)

func waitOf(k route.Kind) time.Duration {
	if k == route.Poll {
		return pollWait
	}
	return userWait
}

// away answers a user's request here or by way of another member, as the router decides. elsewhere
// has it answered by another member in any case.
func (s *Server) away(q route.Request, elsewhere bool) route.Answer {
	wait := waitOf(q.Kind)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	if s.set.Router == nil || s.jobs.Peek(q.ID).State.Ended() {
		defer cancel()
		return s.here(ctx, q) // an end that is known needs nobody
	}
	// Attempts may go on when the user has an answer: what becomes of them tells how the ways
	// stand. So the body is theirs, and the time ends by itself.
	time.AfterFunc(wait, cancel)
	q.Body = append([]byte(nil), q.Body...)
	type back struct {
		from string
		a    route.Answer
	}
	now := s.now()
	t, m := s.set.Router.Begin(now, now.Add(wait), s.back.Reached(), q, elsewhere)
	backs := make(chan back) // unbuffered: what is not taken here is told by its own goroutine
	over := make(chan struct{})
	defer close(over)
	attempt := func(from string, do func() route.Answer) {
		go func() {
			b := back{from, s.guard(do)}
			select {
			case backs <- b:
			case <-over:
				t.Back(s.now(), b.from, b.a)
			}
		}()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		switch {
		case m.Here:
			attempt("", func() route.Answer { return s.here(ctx, q) })
		case m.Member != "":
			// A name of its own: guards against an attempt that begins only when the next move is
			// known already, and goes to that one's member, or to none.
			member := m.Member
			s.log.Debug("request handed over", "kind", q.Kind.String(), "id", q.ID, "to", member, "state", t.State().String())
			attempt(member, func() route.Answer { return s.back.Hand(ctx, member, q) })
		case m.Answer != nil:
			return s.told(q, *m.Answer)
		}
		timer.Reset(max(t.Wake().Sub(s.now()), time.Millisecond))
		select {
		case b := <-backs:
			m = t.Back(s.now(), b.from, b.a)
		case <-timer.C:
			m = t.Tick(s.now())
		}
	}
}

// guard has an attempt that trips over a mistake of ours answer, rather than end the process.
func (s *Server) guard(do func() route.Answer) (a route.Answer) {
	defer func() {
		if r := recover(); r != nil {
			s.log.Error("request failed", "panic", r, "stack", string(debug.Stack()))
			a = not(route.Unready, "internal error")
		}
	}()
	return do()
}

// told makes what a user is told of what became of a request.
func (s *Server) told(q route.Request, a route.Answer) route.Answer {
	if a.Cause == route.Taken {
		// An end that has become known here meanwhile is newer than whatever another member
		// read, and than that the job was accepted: docs/safety.md, "Answers that never go back".
		if v := s.jobs.Peek(q.ID); v.State.Ended() && (a.Status == fasthttp.StatusOK || a.Status == fasthttp.StatusCreated) {
			ctx, cancel := context.WithTimeout(context.Background(), waitOf(q.Kind))
			defer cancel()
			return s.here(ctx, q)
		}
		return a
	}
	if a.Status == 0 {
		a.Status, a.Body = fasthttp.StatusServiceUnavailable, wire.AppendError(nil, "no controller can take it now")
	}
	a.After = s.set.Router.Later(max(a.After, s.set.RetryAfter), a.Cause)
	return a
}

// Visit answers a request that another member hands over. It is never handed on.
func (s *Server) Visit(ctx context.Context, q route.Request, wait time.Duration) route.Answer {
	if q.Kind > route.Cancel {
		return route.Answer{Cause: route.Unready}
	}
	if q.Kind == route.Submit {
		id, why := malformedBody(q.Body)
		if why != "" {
			// Where it came it was well formed: the versions differ. Guards against a job that
			// another version has accepted, and that is called malformed here.
			return not(route.Unready, why)
		}
		q.ID = id
	}
	ctx, cancel := context.WithTimeout(ctx, min(wait, waitOf(q.Kind)))
	defer cancel()
	if s.set.Router == nil || s.jobs.Peek(q.ID).State.Ended() {
		return s.guard(func() route.Answer { return s.here(ctx, q) })
	}
	ended, c := s.set.Router.Visit(s.now(), s.back.Reached(), q.Kind)
	if ended == nil {
		return route.Answer{Cause: c}
	}
	a := s.guard(func() route.Answer { return s.here(ctx, q) })
	ended(s.now(), a.Cause)
	return a
}
