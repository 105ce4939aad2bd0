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

func router(hedge time.Duration) *route.Router {
	return route.New(route.Settings{Others: []string{"b"}, Retries: 0.2, Hedge: hedge, Most: 64}, rand.New(rand.NewPCG(1, 2)), nil)
}

// pair has two fronts, with records of their own, of which the first hands over to the second.
func pair(t *testing.T, a, b *records, back *backend, hedge time.Duration) func(method, path string, body any) (int, map[string]any, string) {
	t.Helper()
	other := New(Settings{RetryAfter: time.Second, Conns: 10, Router: router(hedge)}, b, &backend{types: eight}, time.Now, slog.New(slog.NewTextHandler(io.Discard, nil)))
	back.hand = func(ctx context.Context, member string, q route.Request) route.Answer {
		return other.Visit(ctx, q, time.Second)
	}
	return serveWith(t, Settings{RetryAfter: time.Second, Conns: 10, Router: router(hedge)}, a, back)
}

func TestWhatThisMemberCannotTakeAnotherOneDoes(t *testing.T) {
	b := &records{known: map[string]store.JobRecord{"wk-000005": {State: wire.StateQueued, Tasks: 1}, "wk-000009": {State: wire.StateDone, Tasks: 7}}}
	do := pair(t, &records{known: map[string]store.JobRecord{}, down: true}, b, &backend{types: eight}, 0)
	bad := submission("wk-000003")
	bad["owner"] = "nobody"
	for _, c := range []struct {
		name, method, path string
		body               any
		want               int
		status             string
	}{
		{"new job", "POST", "/api/jobs", submission("wk-000001"), 201, "queued"},
		{"again", "POST", "/api/jobs", submission("wk-000001"), 200, "running"},
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
	b.down = true
	for range 8 {
		code, _, after := do("POST", "/api/jobs", submission("wk-000002"))
		if code != 503 || after == "" {
			t.Errorf("with everybody cut off: %d, Retry-After %q", code, after)
		}
	}
}

// A request that was handed over is not handed on: two members that are both cut off would
// pass it to and fro.
func TestAHandedRequestStays(t *testing.T) {
	var handed atomic.Int32
	b := &backend{types: eight, hand: func(context.Context, string, route.Request) route.Answer {
		handed.Add(1)
		return route.Answer{Cause: route.Silent}
	}}
	s := New(Settings{RetryAfter: time.Second, Conns: 10, Router: router(0)}, &records{known: map[string]store.JobRecord{}, down: true}, b, time.Now, slog.New(slog.NewTextHandler(io.Discard, nil)))
	for range 5 {
		if a := s.Visit(t.Context(), route.Request{Kind: route.Poll, ID: "wk-000001"}, time.Second); a.Cause != route.Down {
			t.Errorf("got %+v", a)
		}
	}
	if n := handed.Load(); n != 0 {
		t.Errorf("handed on %d times", n)
	}
}

// slowRecords know of ends, and otherwise do not answer in time.
type slowRecords struct {
	records
	ended atomic.Bool
}

func (r *slowRecords) Peek(string) store.JobRecord {
	if r.ended.Load() {
		return store.JobRecord{State: wire.StateDone, Tasks: 3}
	}
	return store.JobRecord{}
}

func (r *slowRecords) Lookup(ctx context.Context, id string) (store.JobRecord, error) {
	if v := r.Peek(id); v.State.Ended() {
		return v, nil
	}
	<-ctx.Done()
	return store.JobRecord{}, ctx.Err()
}

// While another member read the job as unfinished, or accepted it, its end has become known here, and others may
// have been told: the older answer must not go out.
func TestAnEndThatIsKnownHereGoesBeforeAnOlderAnswer(t *testing.T) {
	body := msgp.AppendMapHeader(nil, 1)
	body = msgp.AppendString(msgp.AppendString(body, "ref"), "wk-000001")
	for _, c := range []struct {
		q          route.Request
		older, end route.Answer
	}{
		{route.Request{Kind: route.Poll, ID: "wk-000001"},
			route.Answer{Status: 200, Body: wire.AppendJobStatus(nil, "wk-000001", wire.StateRunning, 1, 1)},
			route.Answer{Status: 200, Body: wire.AppendJobStatus(nil, "wk-000001", wire.StateDone, 3, 0)}},
		{route.Request{Kind: route.Submit, ID: "wk-000001", Body: body},
			route.Answer{Status: 201, Body: wire.AppendJobState(nil, "wk-000001", wire.StateQueued)},
			route.Answer{Status: 200, Body: wire.AppendJobState(nil, "wk-000001", wire.StateDone)}},
	} {
		views := &slowRecords{}
		b := &backend{types: eight}
		set := Settings{RetryAfter: time.Second, Conns: 10, Router: router(time.Millisecond)}
		s := New(set, views, b, time.Now, slog.New(slog.NewTextHandler(io.Discard, nil)))
		b.hand = func(context.Context, string, route.Request) route.Answer {
			views.ended.Store(true)
			return c.older
		}
		if a := s.away(c.q, c.q.Kind == route.Submit); a.Status != c.end.Status || string(a.Body) != string(c.end.Body) {
			t.Errorf("%v: got %d %q", c.q.Kind, a.Status, a.Body)
		}
	}
}

// told has a word in the log set something off, before what the word is about begins.
type told struct {
	slog.Handler
	on func(msg string)
}

func (h told) Enabled(context.Context, slog.Level) bool { return true }

func (h told) Handle(_ context.Context, r slog.Record) error {
	h.on(r.Message)
	return nil
}

// A poll is handed to another member too, and answered here at that very moment, before the attempt
// there has begun: it still goes to that member.
func TestAnAttemptThatBeginsLateGoesToItsMember(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for range 20 {
		views := &answeringRecords{answer: make(chan bool)}
		members := make(chan string, 1)
		b := &backend{types: eight, hand: func(_ context.Context, member string, _ route.Request) route.Answer {
			members <- member
			return route.Answer{Cause: route.Busy}
		}}
		log := slog.New(told{slog.NewTextHandler(io.Discard, nil), func(msg string) {
			if msg == "request handed over" {
				close(views.answer)
				time.Sleep(time.Millisecond) // the answer stands ready when the attempt begins
			}
		}})
		s := New(Settings{RetryAfter: time.Second, Conns: 10, Router: router(time.Millisecond)}, views, b, time.Now, log)
		if a := s.away(route.Request{Kind: route.Poll, ID: "wk-000001"}, false); a.Status != 200 {
			t.Fatalf("got %+v", a)
		}
		if member := <-members; member != "b" {
			t.Fatalf("handed to %q", member)
		}
	}
}

// answeringRecords answer once they are told to.
type answeringRecords struct {
	records
	answer chan bool
}

func (r *answeringRecords) Lookup(context.Context, string) (store.JobRecord, error) {
	<-r.answer
	return store.JobRecord{State: wire.StateDone, Tasks: 3}, nil
}

// A mistake of ours in an attempt costs that answer, not the process.
func TestAnAttemptThatPanicsIsAnswered(t *testing.T) {
	b := &backend{types: []model.MachineType{{}}, hand: func(context.Context, string, route.Request) route.Answer { panic("a mistake") }}
	do := serveWith(t, Settings{RetryAfter: time.Second, Conns: 10, Router: router(0)}, &records{known: map[string]store.JobRecord{}, down: true}, b)
	if code, _, after := do("GET", "/api/jobs/wk-000001", nil); code != 503 || after == "" {
		t.Errorf("got %d, Retry-After %q", code, after)
	}
}

// At its last users' socket a member takes requests on a newcomer's and has another member answer
// them; what asks for nothing of the sort is told when to come back.
func TestAMemberWithoutSocketsForUsersHandsOver(t *testing.T) {
	sockets := connquota.New(200, 1, nil)
	b := &backend{types: eight, hand: func(_ context.Context, _ string, q route.Request) route.Answer {
		return route.Answer{Status: 201, Body: wire.AppendJobState(nil, q.ID, wire.StateQueued)}
	}}
	s := New(Settings{RetryAfter: time.Second, Conns: 200, Sockets: sockets, Router: router(0)}, &records{known: map[string]store.JobRecord{}}, b, time.Now, slog.New(slog.NewTextHandler(io.Discard, nil)))
	for range sockets.Standing().Owners[connquota.Users].Share {
		h, err := sockets.Enter(time.Now(), connquota.Newcomers, nil)
		if err != nil || !h.Become(connquota.Users) {
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
	body, err := msgp.AppendIntf(nil, submission("wk-000001"))
	if err != nil {
		t.Fatal(err)
	}
	req.SetBody(body)
	if err := c.Do(&req, &res); err != nil || res.StatusCode() != 201 || !res.ConnectionClose() {
		t.Errorf("a submission: %d, %v, kept open: %v", res.StatusCode(), err, !res.ConnectionClose())
	}
}
