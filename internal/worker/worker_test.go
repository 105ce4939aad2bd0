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

// startWorker starts a worker that does not answer commands until the channel unblock is closed, and returns its
// address. The worker accepts connections until the test ends.
func startWorker(t *testing.T, unblock <-chan struct{}) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) { <-unblock }}
	go func() { _ = s.Serve(l) }() // returns when the listener is closed
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// maxDirectConnections is the smallest possible quota of connections for direct commands.
const maxDirectConnections = 4

// Guards against urgent launches that wait for their worker's next heartbeat, up to several seconds, although idle
// connections could be closed. Without the eviction this happens when all connections were used recently: at 2,200
// starts per second, urgent work started after 1.2 s.
func TestUrgentCommandEvictsRecentlyUsedIdleConnection(t *testing.T) {
	unblock := make(chan struct{})
	close(unblock)
	c := New(5*time.Second, connquota.New(16, 0, nil).Dialer(connquota.DirectCommands))
	for i := range 4 * maxDirectConnections {
		if reply := c.Send(startWorker(t, unblock), 1, 1, nil, true); !reply.Executed {
			t.Fatalf("urgent command to worker %d: got %+v, want it executed", i, reply)
		}
	}
	if reply := c.Send(startWorker(t, unblock), 1, 1, nil, false); !errors.Is(reply.Err, connquota.ErrQuotaExhausted) {
		t.Errorf("non-urgent command: got %+v, want %v", reply, connquota.ErrQuotaExhausted)
	}
}

// totalCallsInFlight returns the number of calls to all workers that are in flight.
func (c *Client) totalCallsInFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for e := c.byLastUse.Front(); e != nil; e = e.Next() {
		n += e.Value.(*workerClient).callsInFlight
	}
	return n
}

func TestConnectionInUseIsNotEvicted(t *testing.T) {
	unblock := make(chan struct{})
	c := New(5*time.Second, connquota.New(16, 0, nil).Dialer(connquota.DirectCommands))
	replies := make([]Reply, maxDirectConnections)
	var calls sync.WaitGroup
	for i := range replies {
		addr := startWorker(t, unblock)
		calls.Go(func() { replies[i] = c.Send(addr, 1, 1, nil, true) })
	}
	for c.totalCallsInFlight() < maxDirectConnections {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond) // long enough for all calls to have connected
	if reply := c.Send(startWorker(t, unblock), 1, 1, nil, true); !errors.Is(reply.Err, connquota.ErrQuotaExhausted) {
		t.Errorf("one more command: got %+v, want %v", reply, connquota.ErrQuotaExhausted)
	}
	close(unblock)
	calls.Wait()
	for i, reply := range replies {
		if !reply.Executed {
			t.Errorf("command to worker %d: got %+v, want it executed", i, reply)
		}
	}
}
