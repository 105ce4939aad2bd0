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

// testLeader answers requests, and keeps the progress that it receives.
type testLeader struct {
	progress chan *peerpb.Progress
	hang     chan struct{}
}

func (l *testLeader) HandleHeartbeat(ctx context.Context, heartbeat []byte) *peerpb.RelayAnswer {
	if string(heartbeat) == "hang" {
		select {
		case <-l.hang:
		case <-ctx.Done():
		}
		return &peerpb.RelayAnswer{}
	}
	return &peerpb.RelayAnswer{Act: true, Body: append([]byte("answer to "), heartbeat...)}
}

func (l *testLeader) HandleExplain(_ context.Context, q *peerpb.Ask) *peerpb.AskAnswer {
	return &peerpb.AskAnswer{Act: true, Body: []byte("why " + q.GetExplain())}
}

func (l *testLeader) HandleVoteRequest(_ context.Context, q *peerpb.PromiseAsk) *peerpb.PromiseAnswer {
	return &peerpb.PromiseAnswer{Granted: q.GetToken() > 6, Member: "tiller-1"}
}

func (l *testLeader) HandleForwardedRequest(ctx context.Context, q *peerpb.Hand) *peerpb.HandAnswer {
	if q.GetId() == "hang" {
		<-ctx.Done()
	}
	return &peerpb.HandAnswer{Status: 201, Body: append([]byte("took "), q.GetBody()...)}
}

func (l *testLeader) HandleProgress(p *peerpb.Progress) { l.progress <- p }

func startLeader(t *testing.T) (*testLeader, string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &testLeader{progress: make(chan *peerpb.Progress, 1), hang: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, l, h) }()
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		if err := <-ended; err != nil {
			t.Errorf("serving ended with %v", err)
		}
	})
	return h, l.Addr().String()
}

func TestClientRequestsAreAnsweredAndProgressArrives(t *testing.T) {
	h, addr := startLeader(t)
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

// A leader that does not answer holds a request up no longer than its caller allows, and the next
// request gets through on a new connection.
func TestUnresponsiveLeaderDoesNotBlockNextRequest(t *testing.T) {
	_, addr := startLeader(t)
	c := NewClient(addr, nil)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(0, cancel)
	if _, err := c.RelayHeartbeat(ctx, []byte("hang")); !errors.Is(err, context.Canceled) {
		t.Fatalf("a request that is given up: got error %v, want context.Canceled", err)
	}
	if a, err := c.RelayHeartbeat(t.Context(), []byte("next")); err != nil || !a.GetAct() {
		t.Errorf("the next request: got %v, error %v; want an answer and none", a, err)
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
		t.Errorf("got answer %v and no error, want an error", a)
	}
	if !errors.Is(err, ErrNotSent) {
		t.Errorf("got error %v, want one that is ErrNotSent", err)
	}
}

// A request that was sent may be carried out, also when the connection breaks before its answer.
func TestLostConnectionLeavesOutcomeUnknown(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }() // nothing was written that could be lost
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
		t.Errorf("got error %v, want a RequestError that is ErrConnectionLost and not ErrNotSent", err)
	}
}

// A member that answers as many requests of one connection as it can refuses the next one at once,
// and a request that is not answered does not disturb the others on its connection.
func TestForwardedRequestOverLimitIsRefusedImmediately(t *testing.T) {
	_, addr := startLeader(t)
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
			t.Errorf("a request that is given up: got error %v, want context.Canceled", err)
		}
	}
}
