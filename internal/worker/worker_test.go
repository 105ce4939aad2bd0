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

// startWorker makes a stand-in worker that answers commands after the gate is open.
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

// maxDirectConnections is how many connections for commands the smallest budget allows.
const maxDirectConnections = 4

// Guards against launches that wait for their workers' next reports, up to several seconds, where every connection was
// used lately and none is in use: at 2,200 starts a second urgent work started after 1.2 s.
func TestUrgentCommandEvictsRecentlyUsedIdleConnection(t *testing.T) {
	open := make(chan struct{})
	close(open)
	c := New(5*time.Second, connquota.New(16, 0, nil).Dialer(connquota.DirectCommands))
	for i := range 4 * maxDirectConnections {
		if r := c.Send(startWorker(t, open), 1, 1, nil, true); !r.Executed {
			t.Fatalf("worker %d: %v", i, r.Err)
		}
	}
	if r := c.Send(startWorker(t, open), 1, 1, nil, false); !errors.Is(r.Err, connquota.ErrFull) {
		t.Errorf("what is not urgent: %+v", r)
	}
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
	for under := 0; under < maxDirectConnections; {
		time.Sleep(10 * time.Millisecond)
		c.mu.Lock()
		under = 0
		for e := c.recentlyUsed.Front(); e != nil; e = e.Next() {
			under += e.Value.(*connection).callsInFlight
		}
		c.mu.Unlock()
	}
	time.Sleep(50 * time.Millisecond) // all of them are connected by now
	if r := c.Send(startWorker(t, gate), 1, 1, nil, true); !errors.Is(r.Err, connquota.ErrFull) {
		t.Errorf("one more: %+v", r)
	}
	close(gate)
	all.Wait()
	for i, r := range replies {
		if !r.Executed {
			t.Errorf("worker %d: %v", i, r.Err)
		}
	}
}
