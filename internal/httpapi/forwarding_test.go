package httpapi

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/glentiller/glentiller/internal/connquota"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/route"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

func newRouter(hedge time.Duration) *route.Router {
	return route.New(route.Settings{OtherMembers: []string{"b"}, RetryRatio: 0.2, MinHedgeDelay: hedge, MaxConcurrent: 64}, rand.New(rand.NewPCG(1, 2)), nil)
}

// serveForwardingPair has two fronts, with records of their own, of which the first hands over to the second.
func serveForwardingPair(t *testing.T, a, b *fakeJobs, back *fakeBackend, hedge time.Duration) func(method, path string, body any) (int, map[string]any, string) {
	t.Helper()
	other := New(Settings{RetryAfter: time.Second, MaxConns: 10, Router: newRouter(hedge)}, b, &fakeBackend{machineTypes: eightCPUTypes}, time.Now, slog.New(slog.NewTextHandler(io.Discard, nil)))
	back.forward = func(ctx context.Context, member string, q route.Request) route.Response {
		return other.HandleForwarded(ctx, q, time.Second)
	}
	return serveHTTPWith(t, Settings{RetryAfter: time.Second, MaxConns: 10, Router: newRouter(hedge)}, a, back)
}

func TestForwardedRequestIsAnsweredByOtherMember(t *testing.T) {
	b := &fakeJobs{known: map[string]store.JobRecord{"wk-000005": {State: wire.StateQueued, Tasks: 1}, "wk-000009": {State: wire.StateDone, Tasks: 7}}}
	do := serveForwardingPair(t, &fakeJobs{known: map[string]store.JobRecord{}, stateServiceDown: true}, b, &fakeBackend{machineTypes: eightCPUTypes}, 0)
	bad := submissionFields("wk-000003")
	bad["owner"] = "nobody"
	for _, c := range []struct {
		name, method, path string
		body               any
		want               int
		status             string
	}{
		{"new job", "POST", "/api/jobs", submissionFields("wk-000001"), 201, "queued"},
		{"again", "POST", "/api/jobs", submissionFields("wk-000001"), 200, "running"},
		{"can never run", "POST", "/api/jobs", bad, 422, ""},
		{"malformed", "POST", "/api/jobs", []byte("hello"), 400, ""},
		{"poll", "GET", "/api/jobs/wk-000009", nil, 200, "done"},
		{"poll, unheard of", "GET", "/api/jobs/wk-777777", nil, 404, ""},
		{"cancel", "POST", "/api/jobs/wk-000005/withdraw", nil, 200, "withdrawn"},
		{"cancel what is done", "POST", "/api/jobs/wk-000009/withdraw", nil, 200, "done"},
	} {
		code, body, after := do(c.method, c.path, c.body)
		if code != c.want || c.status != "" && body["status"] != c.status || after != "" {
			t.Errorf("%s: got %d %v, Retry-After %q, want %d %s", c.name, code, body, after, c.want, c.status)
		}
	}
	if b.known["wk-000001"].Spec == nil {
		t.Error("the job is on nobody's record")
	}
	b.stateServiceDown = true
	for range 8 {
		code, _, after := do("POST", "/api/jobs", submissionFields("wk-000002"))
		if code != 503 || after == "" {
			t.Errorf("with everybody cut off: %d, Retry-After %q", code, after)
		}
	}
}

// A request that was handed over is not handed on: two members that are both cut off would
// pass it to and fro.
func TestForwardedRequestIsNotForwardedAgain(t *testing.T) {
	var handed atomic.Int32
	b := &fakeBackend{machineTypes: eightCPUTypes, forward: func(context.Context, string, route.Request) route.Response {
		handed.Add(1)
		return route.Response{Outcome: route.TimedOut}
	}}
	s := New(Settings{RetryAfter: time.Second, MaxConns: 10, Router: newRouter(0)}, &fakeJobs{known: map[string]store.JobRecord{}, stateServiceDown: true}, b, time.Now, slog.New(slog.NewTextHandler(io.Discard, nil)))
	for range 5 {
		if a := s.HandleForwarded(t.Context(), route.Request{Kind: route.Poll, ID: "wk-000001"}, time.Second); a.Outcome != route.StateUnavailable {
			t.Errorf("got %+v", a)
		}
	}
	if n := handed.Load(); n != 0 {
		t.Errorf("handed on %d times", n)
	}
}

// slowJobs know of ends, and otherwise do not answer in time.
type slowJobs struct {
	fakeJobs
	ended atomic.Bool
}

func (r *slowJobs) Peek(string) store.JobRecord {
	if r.ended.Load() {
		return store.JobRecord{State: wire.StateDone, Tasks: 3}
	}
	return store.JobRecord{}
}

func (r *slowJobs) Lookup(ctx context.Context, id string) (store.JobRecord, error) {
	if v := r.Peek(id); v.State.Ended() {
		return v, nil
	}
	<-ctx.Done()
	return store.JobRecord{}, ctx.Err()
}

// While another member read the job as unfinished, or accepted it, its end has become known here, and others may
// have been told: the older answer must not go out.
func TestKnownJobEndOverridesOlderForwardedResponse(t *testing.T) {
	body := msgp.AppendMapHeader(nil, 1)
	body = msgp.AppendString(msgp.AppendString(body, "ref"), "wk-000001")
	for _, c := range []struct {
		q          route.Request
		older, end route.Response
	}{
		{route.Request{Kind: route.Poll, ID: "wk-000001"},
			route.Response{Status: 200, Body: wire.AppendJobStatus(nil, "wk-000001", wire.StateRunning, 1, 1)},
			route.Response{Status: 200, Body: wire.AppendJobStatus(nil, "wk-000001", wire.StateDone, 3, 0)}},
		{route.Request{Kind: route.Submit, ID: "wk-000001", Body: body},
			route.Response{Status: 201, Body: wire.AppendJobState(nil, "wk-000001", wire.StateQueued)},
			route.Response{Status: 200, Body: wire.AppendJobState(nil, "wk-000001", wire.StateDone)}},
	} {
		views := &slowJobs{}
		b := &fakeBackend{machineTypes: eightCPUTypes}
		set := Settings{RetryAfter: time.Second, MaxConns: 10, Router: newRouter(time.Millisecond)}
		s := New(set, views, b, time.Now, slog.New(slog.NewTextHandler(io.Discard, nil)))
		b.forward = func(context.Context, string, route.Request) route.Response {
			views.ended.Store(true)
			return c.older
		}
		if a := s.routeRequest(c.q, c.q.Kind == route.Submit); a.Status != c.end.Status || string(a.Body) != string(c.end.Body) {
			t.Errorf("%v: got %d %q", c.q.Kind, a.Status, a.Body)
		}
	}
}

// logHook has a word in the log set something off, before what the word is about begins.
type logHook struct {
	slog.Handler
	onMessage func(msg string)
}

func (h logHook) Enabled(context.Context, slog.Level) bool { return true }

func (h logHook) Handle(_ context.Context, r slog.Record) error {
	h.onMessage(r.Message)
	return nil
}

// A poll is handed to another member too, and answered here at that very moment, before the attempt
// there has begun: it still goes to that member.
func TestDelayedForwardGoesToChosenMember(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for range 20 {
		views := &blockingJobs{release: make(chan bool)}
		members := make(chan string, 1)
		b := &fakeBackend{machineTypes: eightCPUTypes, forward: func(_ context.Context, member string, _ route.Request) route.Response {
			members <- member
			return route.Response{Outcome: route.Overloaded}
		}}
		log := slog.New(logHook{slog.NewTextHandler(io.Discard, nil), func(msg string) {
			if msg == "request forwarded" {
				close(views.release)
				time.Sleep(time.Millisecond) // the answer stands ready when the attempt begins
			}
		}})
		s := New(Settings{RetryAfter: time.Second, MaxConns: 10, Router: newRouter(time.Millisecond)}, views, b, time.Now, log)
		if a := s.routeRequest(route.Request{Kind: route.Poll, ID: "wk-000001"}, false); a.Status != 200 {
			t.Fatalf("got %+v", a)
		}
		if member := <-members; member != "b" {
			t.Fatalf("handed to %q", member)
		}
	}
}

// blockingJobs answer once they are told to.
type blockingJobs struct {
	fakeJobs
	release chan bool
}

func (r *blockingJobs) Lookup(context.Context, string) (store.JobRecord, error) {
	<-r.release
	return store.JobRecord{State: wire.StateDone, Tasks: 3}, nil
}

// A mistake of ours in an attempt costs that answer, not the process.
func TestPanickingAttemptReturnsUnavailable(t *testing.T) {
	b := &fakeBackend{machineTypes: []model.MachineType{{}}, forward: func(context.Context, string, route.Request) route.Response { panic("a mistake") }}
	do := serveHTTPWith(t, Settings{RetryAfter: time.Second, MaxConns: 10, Router: newRouter(0)}, &fakeJobs{known: map[string]store.JobRecord{}, stateServiceDown: true}, b)
	if code, _, after := do("GET", "/api/jobs/wk-000001", nil); code != 503 || after == "" {
		t.Errorf("got %d, Retry-After %q", code, after)
	}
}

// At its last users' socket a member takes requests on a newcomer's and has another member answer
// them; what asks for nothing of the sort is told when to come back.
func TestRequestIsForwardedWhenUserQuotaIsFull(t *testing.T) {
	sockets := connquota.New(200, 1, nil)
	b := &fakeBackend{machineTypes: eightCPUTypes, forward: func(_ context.Context, _ string, q route.Request) route.Response {
		return route.Response{Status: 201, Body: wire.AppendJobState(nil, q.ID, wire.StateQueued)}
	}}
	s := New(Settings{RetryAfter: time.Second, MaxConns: 200, ConnQuotas: sockets, Router: newRouter(0)}, &fakeJobs{known: map[string]store.JobRecord{}}, b, time.Now, slog.New(slog.NewTextHandler(io.Discard, nil)))
	for range sockets.Status().Classes[connquota.Users].Quota {
		h, err := sockets.Acquire(time.Now(), connquota.Unclassified, nil)
		if err != nil || !h.Classify(connquota.Users) {
			t.Fatal("no socket for a user")
		}
	}
	l := fasthttputil.NewInmemoryListener()
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	c := &fasthttp.HostClient{Addr: "front", Dial: func(string) (net.Conn, error) { return l.Dial() }}
	var req fasthttp.Request
	var res fasthttp.Response
	req.Header.SetMethod("POST")
	req.SetRequestURI("http://front/api/jobs")
	body, err := msgp.AppendIntf(nil, submissionFields("wk-000001"))
	if err != nil {
		t.Fatal(err)
	}
	req.SetBody(body)
	if err := c.Do(&req, &res); err != nil || res.StatusCode() != 201 || !res.ConnectionClose() {
		t.Errorf("a submission: %d, %v, kept open: %v", res.StatusCode(), err, !res.ConnectionClose())
	}
}
