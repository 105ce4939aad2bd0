package httpapi

import (
	"context"
	"io"
	"log/slog"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"
	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/connquota"
	"github.com/glentiller/glentiller/internal/model"
	"github.com/glentiller/glentiller/internal/route"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

// serveForwardingPair runs two servers with separate job records, and returns a client for the first one. The first
// server forwards requests to the second.
func serveForwardingPair(t *testing.T, first, second *fakeJobs) testClient {
	t.Helper()
	machineTypes := eightCPUTypes
	secondServer := New(routedSettings(0), second, &fakeBackend{machineTypes: machineTypes}, time.Now, discardLog())
	forward := func(ctx context.Context, _ string, request route.Request) route.Response {
		return secondServer.HandleForwarded(ctx, request, time.Second)
	}
	return serveHTTPWith(t, routedSettings(0), first, &fakeBackend{machineTypes: machineTypes, forward: forward})
}

func TestForwardedRequestIsAnsweredByOtherMember(t *testing.T) {
	jobs := &fakeJobs{records: map[string]store.JobRecord{
		"wk-000005": {State: wire.StateQueued, Tasks: 1},
		"wk-000009": {State: wire.StateDone, Tasks: 7},
	}}
	do := serveForwardingPair(t, unreadableJobs(), jobs)
	infeasible := submissionFields("wk-000003")
	infeasible["owner"] = "nobody"
	for _, c := range []struct {
		name, method, path string
		body               any
		status             int
		jobStatus          string
	}{
		{"new job", "POST", "/api/jobs", submissionFields("wk-000001"), 201, "queued"},
		{"repeated", "POST", "/api/jobs", submissionFields("wk-000001"), 200, "running"},
		{"infeasible", "POST", "/api/jobs", infeasible, 422, ""},
		{"malformed", "POST", "/api/jobs", []byte("hello"), 400, ""},
		{"poll", "GET", "/api/jobs/wk-000009", nil, 200, "done"},
		{"poll, unknown", "GET", "/api/jobs/wk-777777", nil, 404, ""},
		{"cancel", "POST", "/api/jobs/wk-000005/withdraw", nil, 200, "withdrawn"},
		{"cancel, done", "POST", "/api/jobs/wk-000009/withdraw", nil, 200, "done"},
	} {
		got := do(c.method, c.path, c.body)
		if got.status != c.status || c.jobStatus != "" && got.fields["status"] != c.jobStatus || got.retryAfter != "" {
			t.Errorf("%s: got %d %v, Retry-After %q, want %d %s without Retry-After",
				c.name, got.status, got.fields, got.retryAfter, c.status, c.jobStatus)
		}
	}
	if jobs.records["wk-000001"].Spec == nil {
		t.Error("record of the new job: got none, want one at the other member")
	}
	jobs.stateServiceDown = true
	for range 8 {
		got := do("POST", "/api/jobs", submissionFields("wk-000002"))
		if got.status != 503 || got.retryAfter == "" {
			t.Errorf("both without the state service: got %d, Retry-After %q, want 503 with Retry-After",
				got.status, got.retryAfter)
		}
	}
}

func TestForwardedRequestIsNotForwardedAgain(t *testing.T) {
	var forwarded atomic.Int32
	backend := &fakeBackend{
		machineTypes: eightCPUTypes,
		forward: func(context.Context, string, route.Request) route.Response {
			forwarded.Add(1)
			return route.Response{Outcome: route.TimedOut}
		},
	}
	s := New(routedSettings(0), unreadableJobs(), backend, time.Now, discardLog())
	for range 5 {
		got := s.HandleForwarded(t.Context(), route.Request{Kind: route.Poll, ID: "wk-000001"}, time.Second)
		if got.Outcome != route.StateServiceUnavailable {
			t.Errorf("got %+v, want outcome %v", got, route.StateServiceUnavailable)
		}
	}
	if n := forwarded.Load(); n != 0 {
		t.Errorf("forwarded again: got %d times, want 0", n)
	}
}

// slowJobs answers from its cache once the job has ended. Until then a lookup blocks until its context is done.
type slowJobs struct {
	fakeJobs
	ended atomic.Bool
}

func (j *slowJobs) Peek(string) store.JobRecord {
	if j.ended.Load() {
		return store.JobRecord{State: wire.StateDone, Tasks: 3}
	}
	return store.JobRecord{}
}

func (j *slowJobs) Lookup(ctx context.Context, id string) (store.JobRecord, error) {
	if record := j.Peek(id); record.State.Ended() {
		return record, nil
	}
	<-ctx.Done()
	return store.JobRecord{}, ctx.Err()
}

// Guards against a response that is older than what users may have been told. Another member reads the job as
// unfinished, or accepts it, while this member learns of its end. The other member's response must not be sent.
func TestKnownJobEndOverridesOlderForwardedResponse(t *testing.T) {
	const id = "wk-000001"
	body := msgp.AppendMapHeader(nil, 1)
	body = msgp.AppendString(msgp.AppendString(body, "ref"), id)
	for _, c := range []struct {
		request     route.Request
		older, want route.Response
	}{
		{
			request: route.Request{Kind: route.Poll, ID: id},
			older:   route.Response{Status: 200, Body: wire.AppendJobStatus(nil, id, wire.StateRunning, 1, 1)},
			want:    route.Response{Status: 200, Body: wire.AppendJobStatus(nil, id, wire.StateDone, 3, 0)},
		},
		{
			request: route.Request{Kind: route.Submit, ID: id, Body: body},
			older:   route.Response{Status: 201, Body: wire.AppendJobState(nil, id, wire.StateQueued)},
			want:    route.Response{Status: 200, Body: wire.AppendJobState(nil, id, wire.StateDone)},
		},
	} {
		jobs := &slowJobs{}
		backend := &fakeBackend{
			machineTypes: eightCPUTypes,
			forward: func(context.Context, string, route.Request) route.Response {
				jobs.ended.Store(true)
				return c.older
			},
		}
		s := New(routedSettings(time.Millisecond), jobs, backend, time.Now, discardLog())
		got := s.routeRequest(c.request, c.request.Kind == route.Submit)
		if got.Status != c.want.Status || string(got.Body) != string(c.want.Body) {
			t.Errorf("%v: got %d %q, want %d %q", c.request.Kind, got.Status, got.Body, c.want.Status, c.want.Body)
		}
	}
}

// logHook is a log handler that calls onMessage with the message of each record before the logging call returns.
type logHook struct {
	slog.Handler
	onMessage func(message string)
}

func (h logHook) Enabled(context.Context, slog.Level) bool { return true }

func (h logHook) Handle(_ context.Context, record slog.Record) error {
	h.onMessage(record.Message)
	return nil
}

// blockingJobs blocks each lookup until release is closed.
type blockingJobs struct {
	fakeJobs
	release chan bool
}

func (j *blockingJobs) Lookup(context.Context, string) (store.JobRecord, error) {
	<-j.release
	return store.JobRecord{State: wire.StateDone, Tasks: 3}, nil
}

// Guards against a forwarded attempt that goes to a wrong member because its goroutine starts late. A poll is
// hedged, and the local attempt answers it before that goroutine has run. The forwarded attempt must still go
// to the member that was chosen.
func TestDelayedForwardGoesToChosenMember(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for range 20 {
		jobs := &blockingJobs{release: make(chan bool)}
		members := make(chan string, 1)
		backend := &fakeBackend{
			machineTypes: eightCPUTypes,
			forward: func(_ context.Context, member string, _ route.Request) route.Response {
				members <- member
				return route.Response{Outcome: route.Overloaded}
			},
		}
		onMessage := func(message string) {
			if message == "request forwarded" {
				close(jobs.release)
				time.Sleep(time.Millisecond) // gives the local attempt time to finish first
			}
		}
		log := slog.New(logHook{slog.NewTextHandler(io.Discard, nil), onMessage})
		s := New(routedSettings(time.Millisecond), jobs, backend, time.Now, log)
		if got := s.routeRequest(route.Request{Kind: route.Poll, ID: "wk-000001"}, false); got.Status != 200 {
			t.Fatalf("got %+v, want status 200", got)
		}
		if member := <-members; member != "b" {
			t.Fatalf("forwarded to %q, want %q", member, "b")
		}
	}
}

func TestPanickingAttemptReturnsUnavailable(t *testing.T) {
	backend := &fakeBackend{
		machineTypes: []model.MachineType{{}},
		forward:      func(context.Context, string, route.Request) route.Response { panic("test") },
	}
	do := serveHTTPWith(t, routedSettings(0), unreadableJobs(), backend)
	if got := do("GET", "/api/jobs/wk-000001", nil); got.status != 503 || got.retryAfter == "" {
		t.Errorf("got %d, Retry-After %q, want 503 with Retry-After", got.status, got.retryAfter)
	}
}

// A member whose quota of user connections is used up still reads a request on a new connection, and forwards it to
// another member. It closes the connection after the response.
func TestRequestIsForwardedWhenUserQuotaIsFull(t *testing.T) {
	quotas := connquota.New(200, 1, nil)
	backend := &fakeBackend{
		machineTypes: eightCPUTypes,
		forward: func(_ context.Context, _ string, request route.Request) route.Response {
			return route.Response{Status: 201, Body: wire.AppendJobState(nil, request.ID, wire.StateQueued)}
		},
	}
	settings := Settings{RetryAfter: time.Second, MaxConns: 200, ConnQuotas: quotas, Router: newRouter(0)}
	s := New(settings, noJobs(), backend, time.Now, discardLog())
	for range quotas.Status().Classes[connquota.Users].Quota {
		slot, err := quotas.Acquire(time.Now(), connquota.Unclassified, nil)
		if err != nil || !slot.Classify(connquota.Users) {
			t.Fatalf("user's connection within the quota: got rejected, error %v, want accepted", err)
		}
	}
	listener := listen(t, s)
	client := &fasthttp.HostClient{
		Addr: "controller",
		Dial: func(string) (net.Conn, error) { return listener.Dial() },
	}
	var request fasthttp.Request
	var response fasthttp.Response
	request.Header.SetMethod("POST")
	request.SetRequestURI("http://controller/api/jobs")
	body, err := msgp.AppendIntf(nil, submissionFields("wk-000001"))
	if err != nil {
		t.Fatal(err)
	}
	request.SetBody(body)
	if err := client.Do(&request, &response); err != nil || response.StatusCode() != 201 || !response.ConnectionClose() {
		t.Errorf("submission: got %d, %v, close %v, want 201 and the connection closed",
			response.StatusCode(), err, response.ConnectionClose())
	}
}
