package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/peer/peerpb"
	"github.com/glentiller/glentiller/internal/route"
)

// testHandler returns canned responses and passes on the progress that it receives. A heartbeat "hang" or a job ID
// "hang" makes it wait until the request is cancelled.
type testHandler struct {
	progress chan *peerpb.Progress
	hang     chan struct{}
}

func (h *testHandler) HandleHeartbeat(ctx context.Context, heartbeat []byte) *peerpb.RelayAnswer {
	if string(heartbeat) == "hang" {
		select {
		case <-h.hang:
		case <-ctx.Done():
		}
		return &peerpb.RelayAnswer{}
	}
	return &peerpb.RelayAnswer{Act: true, Body: append([]byte("answer to "), heartbeat...)}
}

func (h *testHandler) HandleExplain(_ context.Context, request *peerpb.Ask) *peerpb.AskAnswer {
	return &peerpb.AskAnswer{Act: true, Body: []byte("why " + request.GetExplain())}
}

func (h *testHandler) HandleVoteRequest(_ context.Context, request *peerpb.PromiseAsk) *peerpb.PromiseAnswer {
	return &peerpb.PromiseAnswer{Granted: request.GetToken() > 6, Member: "tiller-1"}
}

func (h *testHandler) HandleForwardedRequest(ctx context.Context, request *peerpb.Hand) *peerpb.HandAnswer {
	if request.GetId() == "hang" {
		<-ctx.Done()
	}
	return &peerpb.HandAnswer{Status: 201, Body: append([]byte("took "), request.GetBody()...)}
}

func (h *testHandler) HandleProgress(p *peerpb.Progress) { h.progress <- p }

// startTestServer serves a testHandler on a local address until the test ends.
func startTestServer(t *testing.T) (*testHandler, string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &testHandler{progress: make(chan *peerpb.Progress, 1), hang: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, l, h) }()
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		if err := <-ended; err != nil {
			t.Errorf("Serve: got error %v, want none", err)
		}
	})
	return h, l.Addr().String()
}

func TestClientRequestsAreAnsweredAndProgressArrives(t *testing.T) {
	h, addr := startTestServer(t)
	c := NewClient(addr, nil)
	explanation, err := c.Explain(t.Context(), &peerpb.Ask{Explain: "wk-000001"})
	if err != nil || string(explanation.GetBody()) != "why wk-000001" {
		t.Fatalf("Explain: got %v, error %v; want \"why wk-000001\" and none", explanation, err)
	}
	vote, err := c.RequestVote(t.Context(), &peerpb.PromiseAsk{Member: "tiller-0", Token: 7})
	if err != nil || !vote.GetGranted() || vote.GetMember() != "tiller-1" {
		t.Fatalf("RequestVote: got %v, error %v; want a vote of tiller-1 and none", vote, err)
	}
	for _, heartbeat := range []string{"one", "two"} {
		a, err := c.RelayHeartbeat(t.Context(), []byte(heartbeat))
		if want := "answer to " + heartbeat; err != nil || !a.GetAct() || string(a.GetBody()) != want {
			t.Fatalf("RelayHeartbeat %s: got %v, error %v; want %q and none", heartbeat, a, err, want)
		}
	}
	jobs := []*peerpb.JobProgress{{Id: "wk-000001", Done: 3}}
	if err := c.SendProgress(&peerpb.Progress{Token: 7, Member: "tiller-1", Jobs: jobs}); err != nil {
		t.Fatalf("SendProgress: got error %v, want none", err)
	}
	if p := <-h.progress; p.GetToken() != 7 || p.GetMember() != "tiller-1" || p.GetJobs()[0].GetDone() != 3 {
		t.Errorf("got progress %v, want token 7 of tiller-1 with 3 tasks done", p)
	}
}

// A request to an unresponsive leader must return when its context ends, and the next request must succeed on a new
// connection. If the client kept the old connection, it could keep sending requests on a dead one.
func TestUnresponsiveLeaderDoesNotBlockNextRequest(t *testing.T) {
	_, addr := startTestServer(t)
	c := NewClient(addr, nil)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(0, cancel)
	if _, err := c.RelayHeartbeat(ctx, []byte("hang")); !errors.Is(err, context.Canceled) {
		t.Fatalf("a cancelled request: got error %v, want context.Canceled", err)
	}
	if a, err := c.RelayHeartbeat(t.Context(), []byte("next")); err != nil || !a.GetAct() {
		t.Errorf("the next request: got %v, error %v; want a response and none", a, err)
	}
}

func TestUnreachableLeaderReturnsError(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	a, err := NewClient(addr, nil).RelayHeartbeat(t.Context(), []byte("x"))
	if err == nil {
		t.Errorf("got response %v and no error, want an error", a)
	}
	if !errors.Is(err, ErrNotSent) {
		t.Errorf("got error %v, want one that matches ErrNotSent", err)
	}
}

// A request that was sent may have been executed even if the connection is lost before the response arrives, so the
// error must not match ErrNotSent.
func TestLostConnectionLeavesOutcomeUnknown(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }() // an error does not affect the test
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = readEnvelope(bufio.NewReader(conn))
		_ = conn.Close()
	}()
	_, err = NewClient(l.Addr().String(), nil).RelayHeartbeat(t.Context(), []byte("x"))
	var requestErr *RequestError
	if !errors.As(err, &requestErr) || !errors.Is(err, ErrConnectionLost) || errors.Is(err, ErrNotSent) {
		t.Errorf("got error %v, want a RequestError that matches ErrConnectionLost and not ErrNotSent", err)
	}
}

// A server with maxConcurrentRequests requests in progress on a connection must reject further forwarded requests
// immediately. Requests that get no response must not affect the others on the same connection.
func TestForwardedRequestOverLimitIsRefusedImmediately(t *testing.T) {
	_, addr := startTestServer(t)
	c := NewClient(addr, nil)
	a, err := c.ForwardRequest(t.Context(), &peerpb.Hand{Body: []byte("it")})
	if err != nil || string(a.GetBody()) != "took it" {
		t.Fatalf("got %v, error %v; want \"took it\" and none", a, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const excess = 5
	refused := make(chan uint32, maxConcurrentRequests+excess)
	failed := make(chan error, maxConcurrentRequests+excess)
	for range maxConcurrentRequests + excess {
		go func() {
			a, err := c.ForwardRequest(ctx, &peerpb.Hand{Id: "hang"})
			if err == nil {
				refused <- a.GetCause()
			} else {
				failed <- err
			}
		}()
	}
	for range excess {
		if cause := route.Outcome(<-refused); cause != route.Overloaded {
			t.Errorf("a request over the limit: got outcome %v, want %v", cause, route.Overloaded)
		}
	}
	cancel()
	for range maxConcurrentRequests {
		if err := <-failed; !errors.Is(err, context.Canceled) {
			t.Errorf("a cancelled request: got error %v, want context.Canceled", err)
		}
	}
}
