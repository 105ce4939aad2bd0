package worker

import (
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/glentiller/glentiller/internal/connquota"
)

// startWorker starts a worker that answers commands once the gate is closed, and returns its address.
func startWorker(t *testing.T, gate <-chan struct{}) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) { <-gate }}
	go func() { _ = s.Serve(l) }() // it ends as the listener is closed
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// maxDirectConnections is how many connections for commands the smallest quota allows.
const maxDirectConnections = 4

// Without the eviction an urgent launch waits for its worker's next heartbeat, up to several seconds, where every
// connection was used recently and none is in use: at 2,200 starts a second urgent work started after 1.2 s.
func TestUrgentCommandEvictsRecentlyUsedIdleConnection(t *testing.T) {
	gate := make(chan struct{})
	close(gate)
	c := New(5*time.Second, connquota.New(16, 0, nil).Dialer(connquota.DirectCommands))
	for i := range 4 * maxDirectConnections {
		if r := c.Send(startWorker(t, gate), 1, 1, nil, true); !r.Executed {
			t.Fatalf("urgent command to worker %d: got %+v, want it executed", i, r)
		}
	}
	if r := c.Send(startWorker(t, gate), 1, 1, nil, false); !errors.Is(r.Err, connquota.ErrFull) {
		t.Errorf("command that is not urgent: got %+v, want %v", r, connquota.ErrFull)
	}
}

// totalCallsInFlight sums up the calls to all workers.
func (c *Client) totalCallsInFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for e := c.recentlyUsed.Front(); e != nil; e = e.Next() {
		n += e.Value.(*connection).callsInFlight
	}
	return n
}

func TestConnectionInUseIsNotEvicted(t *testing.T) {
	gate := make(chan struct{})
	c := New(5*time.Second, connquota.New(16, 0, nil).Dialer(connquota.DirectCommands))
	replies := make([]Reply, maxDirectConnections)
	var all sync.WaitGroup
	for i := range replies {
		addr := startWorker(t, gate)
		all.Go(func() { replies[i] = c.Send(addr, 1, 1, nil, true) })
	}
	for c.totalCallsInFlight() < maxDirectConnections {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond) // all of them are connected by now
	if r := c.Send(startWorker(t, gate), 1, 1, nil, true); !errors.Is(r.Err, connquota.ErrFull) {
		t.Errorf("one command more: got %+v, want %v", r, connquota.ErrFull)
	}
	close(gate)
	all.Wait()
	for i, r := range replies {
		if !r.Executed {
			t.Errorf("command to worker %d: got %+v, want it executed", i, r)
		}
	}
}
