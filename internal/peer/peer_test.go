package peer

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/peer/peerpb"
	"github.com/glentiller/glentiller/internal/route"
)

// testLeader answers relayed reports, and notes what it is told.
type testLeader struct {
	progress chan *peerpb.Progress
	hang     chan struct{}
}

func (l *testLeader) HandleHeartbeat(ctx context.Context, report []byte) *peerpb.RelayAnswer {
	if string(report) == "hang" {
		select {
		case <-l.hang:
		case <-ctx.Done():
		}
		return &peerpb.RelayAnswer{}
	}
	return &peerpb.RelayAnswer{Act: true, Body: append([]byte("answer to "), report...)}
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
	if a, err := c.Explain(t.Context(), &peerpb.Ask{Explain: "wk-000001"}); err != nil || string(a.GetBody()) != "why wk-000001" {
		t.Fatalf("a question: got %v, %v", a, err)
	}
	if a, err := c.RequestVote(t.Context(), &peerpb.PromiseAsk{Member: "tiller-0", Token: 7}); err != nil || !a.GetGranted() || a.GetMember() != "tiller-1" {
		t.Fatalf("a promise: got %v, %v", a, err)
	}
	for _, report := range []string{"one", "two"} {
		a, err := c.RelayHeartbeat(t.Context(), []byte(report))
		if err != nil || !a.GetAct() || string(a.GetBody()) != "answer to "+report {
			t.Fatalf("%s: got %v, %v", report, a, err)
		}
	}
	if err := c.SendProgress(&peerpb.Progress{Token: 7, Member: "tiller-1", Jobs: []*peerpb.JobProgress{{Id: "wk-000001", Done: 3}}}); err != nil {
		t.Fatal(err)
	}
	if p := <-h.progress; p.GetToken() != 7 || p.GetMember() != "tiller-1" || p.GetJobs()[0].GetDone() != 3 {
		t.Errorf("told %v", p)
	}
}

// A leader that does not answer holds a report up no longer than its caller
// allows, and the next report gets through on a connection of its own.
func TestUnresponsiveLeaderDoesNotBlockNextRequest(t *testing.T) {
	_, addr := startLeader(t)
	c := NewClient(addr, nil)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(0, cancel)
	if _, err := c.RelayHeartbeat(ctx, []byte("hang")); !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v", err)
	}
	if a, err := c.RelayHeartbeat(t.Context(), []byte("next")); err != nil || !a.GetAct() {
		t.Errorf("the next report: got %v, %v", a, err)
	}
}

func TestUnreachableLeaderReturnsError(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	if a, err := NewClient(addr, nil).RelayHeartbeat(t.Context(), []byte("x")); err == nil {
		t.Errorf("got %v", a)
	}
}

// A member with as many requests as it takes over one connection refuses the next one at once; and
// a request that is not answered costs the others on its connection nothing.
func TestForwardedRequestOverLimitIsRefusedImmediately(t *testing.T) {
	_, addr := startLeader(t)
	c := NewClient(addr, nil)
	if a, err := c.ForwardRequest(t.Context(), &peerpb.Hand{Body: []byte("it")}); err != nil || string(a.GetBody()) != "took it" {
		t.Fatalf("got %v, %v", a, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const more = 5
	refused, ended := make(chan uint32, maxConcurrentRequests+more), make(chan error, maxConcurrentRequests+more)
	for range maxConcurrentRequests + more {
		go func() {
			a, err := c.ForwardRequest(ctx, &peerpb.Hand{Id: "hang"})
			if err == nil {
				refused <- a.GetCause()
			} else {
				ended <- err
			}
		}()
	}
	for range more {
		if cause := <-refused; route.Outcome(cause) != route.Overloaded {
			t.Errorf("one too many: cause %d", cause)
		}
	}
	cancel()
	for range maxConcurrentRequests {
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("one that was given up: %v", err)
		}
	}
}
