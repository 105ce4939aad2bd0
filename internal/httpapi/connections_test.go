package httpapi

import (
	"bufio"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"
	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/connquota"
	"github.com/glentiller/glentiller/internal/store"
	"github.com/glentiller/glentiller/internal/wire"
)

// requestOn sends a request on an open connection, and returns the status and the Retry-After header of the response.
func requestOn(t *testing.T, conn net.Conn, method, path string, body []byte) (status int, retryAfter string) {
	t.Helper()
	var request fasthttp.Request
	var response fasthttp.Response
	request.Header.SetMethod(method)
	request.SetRequestURI("http://controller" + path)
	request.SetBody(body)
	// The error is ignored, since the server may close a rejected connection before the request is written.
	_, _ = request.WriteTo(conn)
	if err := response.Read(bufio.NewReader(conn)); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	return response.StatusCode(), string(response.Header.Peek("Retry-After"))
}

// Guards against clients that starve workers and health checks of connections. Some connections are held open
// without a request, and others use up the quota of users. Workers and health checks must still be served, and
// further clients must get a 503 response with Retry-After.
func TestWorkersConnectWhileUsersHoldConnections(t *testing.T) {
	var elapsedSeconds atomic.Int64
	now := func() time.Time { return time.Unix(1e9+elapsedSeconds.Load(), 0) }
	quotas := connquota.New(200, 1, nil)
	settings := Settings{RetryAfter: time.Second, MaxConns: 200, ConnQuotas: quotas}
	jobs := &fakeJobs{records: map[string]store.JobRecord{"wk-000001": {State: wire.StateQueued}}}
	backend := &fakeBackend{
		heartbeatResult: HeartbeatResult{Leading: true, FencingToken: 41, LeaseValid: func() bool { return true }},
		machineTypes:    eightCPUTypes,
	}
	listener := listen(t, New(settings, jobs, backend, now, discardLog()))
	dial := func() net.Conn {
		t.Helper()
		conn, err := listener.Dial()
		if err != nil {
			t.Fatal(err)
		}
		return conn
	}

	classes := quotas.Status().Classes
	for range classes[connquota.Unclassified].Quota {
		dial()
	}
	for quotas.Status().Classes[connquota.Unclassified].Used < classes[connquota.Unclassified].Quota {
		runtime.Gosched()
	}
	if status, retryAfter := requestOn(t, dial(), "GET", "/healthz", nil); status != 503 || retryAfter == "" {
		t.Errorf("beyond the quota of new connections: got %d, Retry-After %q, want 503 with Retry-After",
			status, retryAfter)
	}
	elapsedSeconds.Add(6) // connections that have sent no request for 5 s may be closed to make room
	var users []net.Conn
	for range classes[connquota.Users].Quota {
		conn := dial()
		users = append(users, conn)
		if status, _ := requestOn(t, conn, "GET", "/api/jobs/wk-000001", nil); status != 200 {
			t.Fatalf("user %d: got %d, want 200", len(users), status)
		}
	}
	if status, retryAfter := requestOn(t, dial(), "GET", "/api/jobs/wk-000001", nil); status != 503 || retryAfter == "" {
		t.Errorf("beyond the quota of users: got %d, Retry-After %q, want 503 with Retry-After", status, retryAfter)
	}
	heartbeat, err := msgp.AppendIntf(nil, heartbeatFields())
	if err != nil {
		t.Fatal(err)
	}
	for i := range 30 {
		if status, _ := requestOn(t, dial(), "POST", "/v1/report", heartbeat); status != 200 {
			t.Errorf("worker %d: got %d, want 200", i, status)
		}
	}
	if status, _ := requestOn(t, dial(), "GET", "/healthz", nil); status != 200 {
		t.Errorf("health check: got %d, want 200", status)
	}
}
